//! Case: a large job whose tasks all fail.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::cluster::HOLD_MAX;
use crate::vm::{Plan, Work};
use crate::world::{BATCH, COUNT, SERVICE, World, config, route};

const LARGE_TASKS: usize = 10_000;
const LARGE: u64 = 0x5c0e_7a21_d94b_36f8;
/// `finish_s` of the site.
const FINISH: Duration = Duration::from_secs(14);

pub fn run(folder: &Path) -> io::Result<bool> {
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let plan = Plan {
        service: SERVICE,
        milli_cores: 32_000,
        memory_mb: 65_536,
        hold_max: HOLD_MAX,
        stop_time: Duration::from_millis(50),
        fail_after_takeover: None,
        regions: 0,
        work: Box::new(move |spec, _| Work {
            takes: Duration::from_millis(if spec == "large" { 8000 } else { 540 }),
            fails: trouble && spec == "large",
        }),
    };
    let routes = [route("r-batch", BATCH, 2, 4), route("r-count", COUNT, 0, 4)];
    let labels = ["a"; 24];
    let mut world = World::start(folder, 3, &labels, plan, &config(1, &routes))?;
    let small = |world: &World, id: u64| {
        let body = "{\"spec\":\"small\",\"steps\":[{\"count\":2,\"cpu\":2800,\"mem_mb\":4000,\"est_ms\":540}]}";
        world.submit(id as usize, COUNT, id, body)
    };
    let large = format!(
        "{{\"spec\":\"large\",\"steps\":[{{\"count\":{LARGE_TASKS},\"cpu\":60,\"mem_mb\":64,\"est_ms\":8000}}]}}"
    );
    let mut accepted = Vec::new();
    let begin = world.record.now();
    let mut next = 1;
    let mut sent = false;
    while world.record.now() - begin < Duration::from_secs(60) {
        if !sent && world.record.now() - begin > Duration::from_secs(5) {
            sent = true;
            let status = world.submit(0, BATCH, LARGE, &large);
            world.record.say(&format!("large job: {status:?}"));
            if status == Some(200) {
                accepted.push((BATCH, LARGE));
            }
        }
        let status = small(&world, next);
        if status == Some(200) {
            accepted.push((COUNT, next));
        } else {
            world.record.say(&format!("small job {next}: {status:?}"));
        }
        next += 1;
        sleep(Duration::from_millis(400));
    }
    world.record.say(&format!(
        "end of the traffic, {} jobs accepted, {} runs at the moment",
        accepted.len(),
        world.running()
    ));
    sleep(FINISH);
    let mut broken = Vec::new();
    let mut open = Vec::new();
    for (at, (prefix, id)) in accepted.iter().enumerate() {
        match world.state(at, prefix, *id) {
            None => broken.push(format!("no answer about job {id:016x}")),
            Some((410, _)) => broken.push(format!("job {id:016x} isn't known")),
            Some((_, state)) if state == "queued" || state == "running" => {
                open.push((*prefix, *id));
            }
            Some((_, state)) if state != "completed" && *id != LARGE => {
                broken.push(format!("job {id:016x} is shown as {state}"));
            }
            Some((_, state)) if *id == LARGE => {
                world.record.say(&format!("large job is shown as {state}"));
            }
            Some(_) => {}
        }
    }
    // For 3 s nothing runs anywhere, so more than half of the room is free, and jobs wait.
    let mut idle = true;
    for _ in 0..30 {
        idle &= world.running() == 0;
        sleep(Duration::from_millis(100));
    }
    if idle {
        for (prefix, id) in open {
            let state = world.state(0, prefix, id);
            if state.is_none_or(|(_, state)| state == "queued" || state == "running") {
                broken.push(format!("nothing of job {id:016x} runs, and no worker is in use"));
            }
        }
    }
    let ended = world.cluster.ended();
    world.record.say(&format!(
        "{} transactions broke a limit of the store, {ended} processes have ended",
        world.store.rejected()
    ));
    if let Some(line) = world.cluster.has_logged(&["store rejected transaction"]) {
        world.record.say(&line);
    }
    let count = broken.len();
    for line in broken.iter().take(10) {
        world.record.say(&format!("LOST: {line}"));
    }
    world.record.say(&format!("LOST is broken for {count} jobs"));
    Ok(count == 0)
}
