//! Counts the transactions, rows and reads of the table for a steady stream of job starts.
//!
//! Runs in virtual time, so the counts are the same on every machine; only the CPU time depends on
//! the machine. Usage: `cargo run --release -p dotterel-coord --example job_writes`.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use async_trait::async_trait;
use dotterel_coord::Jobs;
use dotterel_coord::jobs::{
    AttemptRecord, AttemptState, CapacityProvider, Config, HeldVms, HoldError, HoldId, HoldRequest,
    JobHost, JobSpec, LaunchOutcome, TaskStart,
};
use dotterel_kernel::{Clock, Incarnation, Kind, Millis, NodeId, Reason, Size, TaskId, Urgency};
use dotterel_platform::{Owner, TaskSignal};
use dotterel_standin::FakeTable;
use tokio::sync::watch;

/// The measured time, in seconds.
const MEASURED_S: u64 = 60;
/// How long a task runs.
const RUN_TIME: Millis = Millis(20_000);

/// A node whose VMs always have capacity and whose tasks finish after `RUN_TIME`.
struct Host {
    clock: Clock,
    node: NodeId,
    number: u32,
    nodes: u32,
    started: Mutex<Vec<(TaskId, Millis)>>,
}

#[async_trait]
impl CapacityProvider for Host {
    fn node(&self) -> &NodeId {
        &self.node
    }

    async fn hold(&self, hold_request: &HoldRequest) -> Result<HeldVms, HoldError> {
        let vms = (0..hold_request.count).map(|_| "w1".into()).collect();
        Ok(HeldVms { vms })
    }

    async fn commit(&self, _: HoldId) -> bool {
        true
    }

    async fn release(&self, _: HoldId) {}
}

struct SharedHost(Arc<Host>);

#[async_trait]
impl JobHost for SharedHost {
    fn should_own(&self, shard: u32) -> bool {
        shard % self.0.nodes == self.0.number
    }

    fn check_runnable(&self, _: &JobSpec) -> Result<(), Reason> {
        Ok(())
    }

    fn owners(&self) -> Vec<Arc<dyn CapacityProvider>> {
        vec![Arc::clone(&self.0) as Arc<dyn CapacityProvider>]
    }

    async fn launch(&self, start: TaskStart) -> LaunchOutcome {
        let now = self.0.clock.now();
        let mut started = self.0.started.lock().expect("the lock is not poisoned");
        started.push((start.attempt.task, now));
        LaunchOutcome::Running
    }

    async fn query_attempts(&self, attempts: &[AttemptRecord]) -> Vec<AttemptState> {
        let now = self.0.clock.now();
        let mut started = self.0.started.lock().expect("the lock is not poisoned");
        started.sort_unstable();
        let state = |attempt: &AttemptRecord| {
            let index = started.binary_search_by_key(&attempt.task, |entry| entry.0);
            match index {
                Ok(index) if now.since(started[index].1) < RUN_TIME => AttemptState::Running,
                Ok(_) => AttemptState::Finished(200),
                Err(_) => AttemptState::Unseen,
            }
        };
        attempts.iter().map(state).collect()
    }

    async fn stop(&self, _: &AttemptRecord) -> AttemptState {
        AttemptState::Barred
    }

    async fn signal(&self, _: &AttemptRecord, _: TaskSignal) {}

    fn ends_recorded(&self, tasks: &[TaskId]) {
        let mut started = self.0.started.lock().expect("the lock is not poisoned");
        started.retain(|entry| !tasks.contains(&entry.0));
    }
}

fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        service: "quotes".into(),
        class: "roof".into(),
        origin: "dc-1".into(),
        kind: Kind::Batch,
        urgency: Urgency::Normal,
        tasks,
        size: Size::ZERO,
        repeatable: true,
        max_failures: 3,
        task_ttl: Millis(15_000),
        timeout: Millis::secs(3_600),
        body: vec![0; 200].into(),
    }
}

/// Submits jobs of 20 tasks each at a fixed rate and prints one line of the result.
async fn measure(nodes: u32, jobs_per_second: u64) {
    let clock = Clock::starting_at(Millis::secs(86_400));
    let table = FakeTable::new(clock);
    let (_stop, stopped) = watch::channel(false);
    let mut handles = Vec::new();
    for number in 0..nodes {
        let node: NodeId = format!("n{number}").as_str().into();
        let owner = Owner {
            node: node.clone(),
            incarnation: Incarnation(1),
        };
        let jobs = Jobs::new(Arc::new(table.clone()), clock, owner, Config::default());
        let host = Host {
            clock,
            node,
            number,
            nodes,
            started: Mutex::default(),
        };
        let engine = jobs.engine(Arc::new(SharedHost(Arc::new(host))));
        tokio::spawn(engine.run(stopped.clone()));
        handles.push(jobs);
    }
    tokio::time::sleep(Millis::secs(5).duration()).await;
    let (before, start_time) = (table.counts(), Instant::now());
    for number in 0..MEASURED_S * jobs_per_second {
        let node_jobs = &handles[(number % u64::from(nodes)) as usize];
        let deadline = clock.now() + Millis::secs(5);
        node_jobs.submit(&spec(20), deadline).await;
        tokio::time::sleep(Millis(1000 / jobs_per_second).duration()).await;
    }
    let (after, elapsed) = (table.counts(), start_time.elapsed());
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let rate = |count: u64| count as f64 / MEASURED_S as f64;
    println!(
        "{nodes:5} {:10} {:12.1} {:10.1} {:10.1} {:18.1}",
        jobs_per_second * 20,
        rate(after.commits - before.commits),
        rate(after.rows - before.rows),
        rate(after.reads - before.reads),
        elapsed.as_secs_f64() * 1000.0 / MEASURED_S as f64 / f64::from(nodes),
    );
}

fn main() {
    println!("nodes   starts/s transactions/s     rows/s    reads/s  cpu ms/s and node");
    for (nodes, jobs) in [(8, 1), (8, 4), (8, 16), (8, 32), (4, 32), (16, 32)] {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("the runtime can be built");
        runtime.block_on(measure(nodes, jobs));
    }
}
