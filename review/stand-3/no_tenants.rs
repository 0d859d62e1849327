//! Case: the operator takes the last tenant out of the configuration.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::cluster::HOLD_MAX;
use crate::vm::{Plan, Work};
use crate::world::{BATCH, SERVICE, World, config, route};

/// `config_ms` and `max_stretch_ms` of the site.
const CONFIG_TIME: Duration = Duration::from_millis(4000 + 6000);
const DROPPED_KEY: &str = "k-acme-5b1f0c";
const FOREIGN_KEY: &str = "k-nobody-000000";

pub fn run(folder: &Path) -> io::Result<bool> {
    let plan = Plan {
        service: SERVICE,
        milli_cores: 64_000,
        memory_mb: 262_144,
        hold_max: HOLD_MAX,
        stop_time: Duration::from_millis(50),
        fail_after_takeover: None,
        regions: 0,
        work: Box::new(|_, _| Work {
            takes: Duration::from_millis(800),
            fails: false,
        }),
    };
    let version = |number, tenants: &str| {
        let text = config(number, &[route("r-batch", BATCH, 2, 4)]);
        let open = text.trim_end_matches('}');
        format!("{open}}},\"tenants\":{tenants}}}")
    };
    let tenants = format!("[{{\"name\":\"acme\",\"weight\":5,\"api_keys\":[\"{DROPPED_KEY}\"]}}]");
    let mut world = World::start(folder, 3, &["a"; 6], plan, &version(3, &tenants))?;
    let body = "{\"spec\":\"sound\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":1000,\"est_ms\":800}]}";
    let job = |id: u64| format!("{BATCH}{id:016x}");
    let status = |answer: &Option<(u16, String)>| answer.as_ref().map(|(status, _)| *status);
    let first = world.send_with_key(0, "POST", &job(1), body, DROPPED_KEY);
    let unknown = world.send_with_key(1, "POST", &job(2), body, FOREIGN_KEY);
    if status(&first) != Some(200) || status(&unknown) != Some(401) {
        return Err(io::Error::other("version 3 isn't in force"));
    }
    let left = if world.trouble {
        "[]"
    } else {
        "[{\"name\":\"acme\",\"weight\":5,\"api_keys\":[]}]"
    };
    world.store.put("op", "config", &version(7, left));
    world
        .record
        .say(&format!("version 7 is acknowledged, its tenants: {left}"));
    sleep(CONFIG_TIME);
    let (mut config_broken, mut route_broken, mut foreign) = (0, 0, 0);
    let mut id = 0x1000;
    for _ in 0..5 {
        for node in 0..world.cluster.nodes.len() {
            let name = world.cluster.nodes[node].name.clone();
            id += 1;
            let dropped = world.send_with_key(node, "POST", &job(id), body, DROPPED_KEY);
            if status(&dropped) == Some(200) {
                config_broken += 1;
                world
                    .record
                    .line(&format!("CONFIG: {name} runs job {id:x} with the dropped key"));
            }
            id += 1;
            let unheld = world.send_with_key(node, "POST", &job(id), body, FOREIGN_KEY);
            if status(&unheld) == Some(200) {
                route_broken += 1;
                world.record.line(&format!(
                    "ROUTE: {name} runs job {id:x} with a key that no version has held"
                ));
            }
            let state = world.send_with_key(node, "GET", &job(1), "", FOREIGN_KEY);
            if status(&state) == Some(200) {
                foreign += 1;
                world.record.line(&format!(
                    "ROUTE: {name} shows the job of acme to a caller whose key no version has held"
                ));
            }
        }
        sleep(Duration::from_millis(500));
    }
    sleep(Duration::from_secs(3));
    let seen = world.seen.lock().unwrap();
    let started = seen.iter().filter(|run| run.task.starts_with("000000000000"));
    let started = started.filter(|run| !run.task.starts_with("0000000000000001"));
    let started = started.count();
    drop(seen);
    let ended = world.cluster.ended();
    world.record.say(&format!(
        "{config_broken} requests ran with the dropped key, {route_broken} with a key that no version has held; \
         {foreign} times such a caller was shown the job of acme; {started} of these jobs' tasks have run on workers; \
         {ended} processes have ended"
    ));
    Ok(config_broken + route_broken + foreign == 0)
}
