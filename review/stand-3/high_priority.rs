//! Case: a version of the configuration in which the queues are numbered 100, 200, 300.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::cluster::HOLD_MAX;
use crate::vm::{Plan, Work};
use crate::world::{BATCH, COUNT, SERVICE, World, config, route};

/// `config_ms` of the site.
const CONFIG_TIME: Duration = Duration::from_millis(2500);

pub fn run(folder: &Path) -> io::Result<bool> {
    let plan = Plan {
        service: SERVICE,
        milli_cores: 32_000,
        memory_mb: 65_536,
        hold_max: HOLD_MAX,
        stop_time: Duration::from_millis(50),
        fail_after_takeover: None,
        regions: 0,
        work: Box::new(|_, _| Work {
            takes: Duration::from_millis(540),
            fails: false,
        }),
    };
    let first = config(3, &[route("r-batch", BATCH, 2, 4)]);
    let mut world = World::start(folder, 3, &["a"; 6], plan, &first)?;
    let body = "{\"spec\":\"sound\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":1000,\"est_ms\":540}]}";
    let nodes = world.cluster.nodes.len();
    for node in 0..nodes {
        let status = world.submit(node, BATCH, 1 + node as u64, body);
        if status != Some(200) {
            return Err(io::Error::other(format!("version 3 isn't in force: {status:?}")));
        }
    }
    let priority = if world.trouble { 300 } else { 3 };
    // The queue of version 3 is dropped, and another one is added.
    let second = config(7, &[route("r-count", COUNT, priority, 4)]);
    world.store.put("op", "config", &second);
    world.record.say(&format!(
        "version 7 is acknowledged: queue r-count with priority {priority}, no queue r-batch"
    ));
    // Far longer than the bound, even with the most by which an unstable store would stretch it.
    sleep(CONFIG_TIME + Duration::from_millis(7500));
    let mut broken = 0;
    for round in 0..5u64 {
        for node in 0..nodes {
            let id = 0x1000 + round * 16 + node as u64;
            let new = world.send(node, "POST", &format!("{COUNT}{id:016x}"), body);
            if new.as_ref().is_some_and(|(status, _)| *status == 404) {
                broken += 1;
                world.record.say(&format!(
                    "CONFIG: {} refuses job {id:016x} with 404, and the route is there",
                    world.cluster.nodes[node].name
                ));
            }
            let id = 0x2000 + round * 16 + node as u64;
            let old = world.send(node, "POST", &format!("{BATCH}{id:016x}"), body);
            if old.as_ref().is_some_and(|(status, _)| *status == 200) {
                broken += 1;
                world.record.say(&format!(
                    "CONFIG: {} takes job {id:016x} with the dropped route",
                    world.cluster.nodes[node].name
                ));
            }
        }
        sleep(Duration::from_millis(500));
    }
    sleep(Duration::from_secs(3));
    let seen = world.seen.lock().unwrap();
    let dropped = seen.iter().filter(|run| run.task.starts_with("00000000000020"));
    let dropped = dropped.count();
    drop(seen);
    world
        .record
        .say(&format!("{dropped} tasks of the dropped route have run on workers"));
    let ended = world.cluster.ended();
    world.record.say(&format!("{ended} processes have ended"));
    if let Some(line) = world.cluster.has_logged(&["invalid configuration"]) {
        world.record.say(&line);
    }
    world
        .record
        .say(&format!("CONFIG is broken for {broken} requests"));
    Ok(broken == 0)
}
