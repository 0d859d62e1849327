//! Case: a few broken workers crash soon after each start; the jobs are sound.

use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::cluster::HOLD_MAX;
use crate::vm::{Plan, Work};
use crate::world::{BATCH, SERVICE, World, config, route};

const WORKERS: usize = 22;
/// 0.136 of the workers; the site states 0.14.
const BROKEN: usize = 3;
/// How long a broken worker works before it crashes.
const WORKS: Duration = Duration::from_millis(80);
/// How long it is down; the site states 4.5 s.
const DOWN: Duration = Duration::from_millis(700);
const TRAFFIC: Duration = Duration::from_secs(45);
/// Jobs of six tasks that run until they are cancelled.
const LASTING: [u64; 3] = [0xaaaa, 0xaaab, 0xaaac];
const FINISH: Duration = Duration::from_secs(14);

pub fn run(folder: &Path) -> io::Result<bool> {
    let plan = Plan {
        service: SERVICE,
        milli_cores: 32_000,
        memory_mb: 65_536,
        hold_max: HOLD_MAX,
        stop_time: Duration::from_millis(50),
        fail_after_takeover: None,
        regions: 0,
        work: Box::new(|spec, _| Work {
            takes: Duration::from_millis(if spec == "lasting" { 600_000 } else { 2000 }),
            fails: false,
        }),
    };
    let routes = [route("r-batch", BATCH, 2, 4)];
    let labels = ["a"; WORKERS];
    let world = World::start(folder, 3, &labels, plan, &config(1, &routes))?;
    let world = Arc::new(world);
    let over = Arc::new(AtomicBool::new(false));
    let mut crashing = Vec::new();
    for number in 0..BROKEN {
        if !world.trouble {
            break;
        }
        let (world, over) = (Arc::clone(&world), Arc::clone(&over));
        crashing.push(thread::spawn(move || {
            let vm = &world.vms[number * 7];
            while !over.load(Ordering::SeqCst) {
                if vm.is_idle() {
                    sleep(Duration::from_millis(2));
                    continue;
                }
                sleep(WORKS);
                vm.crash();
                sleep(DOWN);
                vm.restart();
            }
        }));
    }
    let begin = world.record.now();
    let mut accepted = Vec::new();
    for id in LASTING {
        let body = "{\"spec\":\"lasting\",\"steps\":[{\"count\":6,\"cpu\":4000,\"mem_mb\":2000,\"long_running\":true}]}";
        if world.submit(0, BATCH, id, body) == Some(200) {
            accepted.push(id);
        }
    }
    let mut next = 1u64;
    let body = "{\"spec\":\"sound\",\"steps\":[{\"count\":2,\"cpu\":8000,\"mem_mb\":4000,\"est_ms\":2000}]}";
    while world.record.now() - begin < TRAFFIC {
        if world.submit(next as usize, BATCH, next, body) == Some(200) {
            accepted.push(next);
        }
        next += 1;
        sleep(Duration::from_millis(60));
    }
    over.store(true, Ordering::SeqCst);
    for thread in crashing {
        let _ = thread.join();
    }
    world.record.say(&format!(
        "end of the traffic, {} of {} jobs accepted",
        accepted.len(),
        next - 1 + LASTING.len() as u64
    ));
    sleep(FINISH);
    let mut broken = 0;
    for id in &accepted {
        let state = world.state(*id as usize, BATCH, *id);
        let what = match state {
            None => "no answer".to_owned(),
            Some((410, _)) => "not known".to_owned(),
            Some((_, state)) if state == "completed" => continue,
            Some((_, state)) if state == "running" && LASTING.contains(id) => continue,
            Some((_, state)) => format!("shown as {state}"),
        };
        broken += 1;
        let seen = world.seen.lock().unwrap();
        let prefix = format!("{id:016x}.");
        let runs = seen.iter().filter(|run| run.task.starts_with(&prefix));
        let runs: Vec<String> = runs
            .map(|run| {
                let how = run.ended.map_or("open", |(_, how)| how);
                let after = run.ended.map_or(0, |(at, _)| (at - run.began).as_millis());
                format!("{} run {} on {}: {how} after {after} ms", run.task, run.run, run.vm)
            })
            .collect();
        drop(seen);
        world.record.say(&format!("LOST: job {id:016x} is {what}; {}", runs.join("; ")));
    }
    if let Some(line) = world.cluster.has_logged(&["task crashes its VMs"]) {
        world.record.say(&line);
    }
    world.record.say(&format!("LOST is broken for {broken} jobs"));
    Ok(broken == 0)
}
