//! Case: a task fails while the leader is replaced, and two leaders start it again.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;

use crate::cluster::HOLD_MAX;
use crate::vm::{Plan, Seen, Work};
use crate::world::{COUNT, SERVICE, World, config, route};

/// How often the leader is cut off from the store, for how long, and the pause after that.
const OUTAGES: u64 = 20;
const OUTAGE: Duration = Duration::from_millis(1700);
const PAUSE: Duration = Duration::from_millis(1900);
/// Jobs and their tasks start this long before the store falls silent.
const LEAD: Duration = Duration::from_millis(700);
const JOBS: u64 = 4;
const TASKS: u64 = 30;
/// One task of so many fails, in its first run.
const FAILING: u64 = 12;
/// A run that fails does so after this time, or shortly after its worker has heard from another leader.
const FAILING_RUN: Duration = Duration::from_millis(2600);
/// The other first runs are done soon after the leader has been replaced; they take up to 0.2 s longer.
const FIRST_RUN: Duration = Duration::from_millis(2080);
const NEXT_RUN: Duration = Duration::from_millis(300);
const FINISH: Duration = Duration::from_secs(5);

pub fn run(folder: &Path) -> io::Result<bool> {
    let runs = Mutex::new(HashMap::<String, u32>::new());
    let plan = Plan {
        service: SERVICE,
        milli_cores: 32_000,
        memory_mb: 65_536,
        hold_max: HOLD_MAX,
        stop_time: Duration::from_millis(350),
        fail_after_takeover: Some(Duration::from_millis(2)),
        regions: 3,
        work: Box::new(move |_, task| {
            let mut runs = runs.lock().unwrap();
            let count = runs.entry(task.to_owned()).or_default();
            *count += 1;
            let is_first = *count == 1;
            let hash = task.bytes().fold(7u64, |hash, byte| {
                (hash ^ u64::from(byte)).wrapping_mul(0x9e37_79b9_7f4a_7c15)
            });
            let fails = is_first && (hash >> 32) % FAILING == 0;
            let takes = match (is_first, fails) {
                (true, true) => FAILING_RUN,
                (true, false) => FIRST_RUN + Duration::from_millis((hash >> 40) % 200),
                (false, _) => NEXT_RUN,
            };
            Work { takes, fails }
        }),
    };
    let routes = [route("r-count", COUNT, 0, 4)];
    let labels = ["a"; 48];
    let world = World::start(folder, 3, &labels, plan, &config(1, &routes))?;
    let mut next = 1;
    for _ in 0..OUTAGES {
        let fence = world.vms.iter().map(|vm| vm.highest_fence()).max();
        let leader = fence.and_then(|fence| world.store.holder(fence));
        let begin = world.record.now() + LEAD;
        for _ in 0..JOBS {
            let body = format!(
                "{{\"spec\":\"count\",\"steps\":[{{\"count\":{TASKS},\"cpu\":1000,\"mem_mb\":800,\"est_ms\":1500,\"max_per_server\":1}}]}}"
            );
            world.submit(next as usize, COUNT, next, &body);
            next += 1;
        }
        sleep(begin.saturating_sub(world.record.now()));
        let name = leader.map(|leader| world.cluster.nodes[leader].name.clone());
        world.record.say(&format!("the leader is {name:?}, fence {fence:?}"));
        if let Some(leader) = leader.filter(|_| world.trouble) {
            world.store.silence(leader, true);
            sleep(OUTAGE);
            world.store.silence(leader, false);
        } else {
            sleep(OUTAGE);
        }
        sleep(PAUSE - LEAD);
    }
    sleep(FINISH);
    let seen = world.seen.lock().unwrap().clone();
    let mut tasks: HashMap<&str, Vec<&Seen>> = HashMap::new();
    for run in &seen {
        tasks.entry(&run.task).or_default().push(run);
    }
    let mut broken = 0;
    for runs in tasks.values() {
        for (at, run) in runs.iter().enumerate() {
            let other = runs[..at]
                .iter()
                .find(|other| other.ended.is_none_or(|(ended, _)| ended > run.began));
            let Some(other) = other else {
                continue;
            };
            broken += 1;
            world.record.say(&format!(
                "TWICE: {} run {} has run on {} since {:.3} s and ends at {:.3} s, {}; run {} starts on {} at {:.3} s",
                run.task,
                other.run,
                world.vms[other.vm].id,
                other.began.as_secs_f64(),
                other.ended.map_or(0.0, |(ended, _)| ended.as_secs_f64()),
                other.ended.map_or("still running", |(_, how)| how),
                run.run,
                world.vms[run.vm].id,
                run.began.as_secs_f64(),
            ));
        }
    }
    world
        .record
        .say(&format!("TWICE is broken {broken} times, of {} runs", seen.len()));
    Ok(broken == 0)
}
