//! The steps of `features/jobs.feature`.

use cucumber::writer::Stats as _;
use cucumber::{World as _, given, then, when};
use dotterel_coord::jobs::{CancelOutcome, Phase};
use dotterel_kernel::{JobId, Kind, Millis, Reason, Urgency};
use dotterel_platform::TaskSignal;
use dotterel_standin::checker::{self, RunEnd};
use dotterel_standin::{ANY_CALLER, CutCause};

use crate::cluster::{Cluster, sleep_for, slots, spec};

#[derive(Default, cucumber::World)]
struct World {
    cluster: Option<Cluster>,
    jobs: Vec<JobId>,
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("World").field("jobs", &self.jobs).finish()
    }
}

impl World {
    fn cluster(&mut self) -> &mut Cluster {
        self.cluster
            .as_mut()
            .expect("a step declares the workers first")
    }

    fn job(&self) -> JobId {
        *self.jobs.last().expect("a job was submitted")
    }

    async fn submit(&mut self, kind: Kind, tasks: u32, run: Millis) {
        let job = self.cluster().submit(&spec(kind, tasks, run)).await;
        self.jobs.push(job);
    }

    async fn wait_for_phase(&mut self, phase: Phase, seconds: u64) {
        let job = self.job();
        self.cluster().wait_for_phase(job, phase, seconds).await;
        self.cluster().assert_invariants();
    }

    fn runs(&mut self) -> Vec<checker::Run> {
        let job = self.job();
        checker::runs_of_job(&self.cluster().workers, job)
    }
}

#[given(expr = "{int} workers of {int} slots")]
async fn workers(world: &mut World, count: u32, size: u32) {
    world.cluster = Some(Cluster::new(count, size));
    // Give the VM owners time to acquire the worker leases.
    sleep_for(Millis(100)).await;
}

#[given(expr = "node {word}")]
#[when(expr = "node {word} starts")]
async fn node(world: &mut World, name: String) {
    world.cluster().start_node(&name, 1);
}

#[given(expr = "the starts of node {word} are blocked")]
async fn block_starts(world: &mut World, name: String) {
    world
        .cluster()
        .node(&name)
        .starts_allowed
        .send_replace(false);
}

#[when(expr = "the starts of node {word} are unblocked")]
async fn unblock_starts(world: &mut World, name: String) {
    world
        .cluster()
        .node(&name)
        .starts_allowed
        .send_replace(true);
}

#[given(expr = "the starts of node {word} are delayed by {int} ms")]
async fn delay_starts(world: &mut World, name: String, span: u64) {
    let cluster = world.cluster();
    cluster.node(&name).start_delay.send_replace(Millis(span));
}

#[when(expr = "a batch of {int} tasks of {int} ms is submitted")]
async fn batch(world: &mut World, tasks: u32, run: u64) {
    world.submit(Kind::Batch, tasks, Millis(run)).await;
}

#[when(expr = "{int} overnight batches and then an urgent one are submitted")]
async fn overnight_then_urgent(world: &mut World, count: u32) {
    let urgencies = (0..count).map(|_| Urgency::Overnight);
    for urgency in urgencies.chain([Urgency::Urgent]) {
        let mut spec = spec(Kind::Batch, 1, Millis(3000));
        spec.urgency = urgency;
        let job = world.cluster().submit(&spec).await;
        world.jobs.push(job);
    }
}

#[then("the job ran first")]
async fn ran_first(world: &mut World) {
    let job = world.job();
    let runs = world.cluster().runs();
    let first = runs.iter().min_by_key(|run| run.from);
    assert_eq!(first.and_then(|run| run.info.job), Some(job));
}

#[when(expr = "an unrepeatable batch of {int} tasks of {int} ms is submitted")]
async fn unrepeatable(world: &mut World, tasks: u32, run: u64) {
    let mut spec = spec(Kind::Batch, tasks, Millis(run));
    spec.repeatable = false;
    let job = world.cluster().submit(&spec).await;
    world.jobs.push(job);
}

#[when(expr = "a batch of {int} tasks of {int} ms and {int} slots is submitted")]
async fn batch_of_size(world: &mut World, tasks: u32, run: u64, size: u32) {
    let mut spec = spec(Kind::Batch, tasks, Millis(run));
    spec.size = slots(size);
    let job = world.cluster().submit(&spec).await;
    world.jobs.push(job);
}

#[when(expr = "a gang of {int} tasks of {int} ms is submitted")]
async fn gang(world: &mut World, tasks: u32, run: u64) {
    world.submit(Kind::Gang, tasks, Millis(run)).await;
}

#[when(expr = "a service of {int} tasks is submitted")]
async fn service(world: &mut World, tasks: u32) {
    world.submit(Kind::Service, tasks, Millis::MAX).await;
}

#[when(expr = "{int} services of {int} task are submitted")]
async fn services(world: &mut World, count: u32, tasks: u32) {
    for _ in 0..count {
        world.submit(Kind::Service, tasks, Millis::MAX).await;
    }
}

#[when(expr = "{int} ms pass")]
async fn time_passes(world: &mut World, span: u64) {
    sleep_for(Millis(span)).await;
    world.cluster().assert_invariants();
}

#[when(expr = "node {word} is killed")]
async fn kill(world: &mut World, name: String) {
    world.cluster().kill(&name);
}

#[when(expr = "node {word} stops")]
async fn stop(world: &mut World, name: String) {
    world.cluster().stop_node(&name);
}

#[when(expr = "node {word} is disconnected from the table")]
async fn disconnect(world: &mut World, name: String) {
    world.cluster().cut_table(&name, true);
}

#[when(expr = "node {word} is reconnected to the table")]
async fn reconnect(world: &mut World, name: String) {
    world.cluster().cut_table(&name, false);
}

#[when(expr = "the table is down for {int} ms")]
async fn table_down(world: &mut World, span: u64) {
    let until = world.cluster().clock.now() + Millis(span);
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.down_until = until);
}

#[when(expr = "the table loses {int} responses")]
async fn table_loses_responses(world: &mut World, count: u32) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.lose_answers = count);
}

#[when(expr = "the table drops {int} transactions")]
async fn table_drops_transactions(world: &mut World, count: u32) {
    let table = &world.cluster().table;
    table.set_faults(|faults| faults.drop_commits = count);
}

#[given("no VM has free capacity")]
async fn no_free_capacity(world: &mut World) {
    world.cluster().set_refuse_holds(true);
}

#[when("the VMs have free capacity")]
async fn free_capacity(world: &mut World) {
    world.cluster().set_refuse_holds(false);
}

#[when("the worker of the job stops responding")]
async fn worker_stops_responding(world: &mut World) {
    let vm = world.runs()[0].vm.clone();
    let workers = &world.cluster().workers;
    let worker = workers.iter().find(|worker| worker.vm() == vm);
    let worker = worker.expect("the VM of a run is a worker of the cluster");
    worker.set_faults(|faults| faults.silent.push(ANY_CALLER.into()));
}

#[when(expr = "worker {int} restarts")]
async fn worker_restarts(world: &mut World, number: usize) {
    world.cluster().workers[number - 1].restart();
}

#[when(expr = "task {int} of the job is checkpointed")]
async fn checkpoint(world: &mut World, index: u32) {
    let job = world.job();
    for node in &world.cluster().nodes {
        node.commands
            .signal(job, index, TaskSignal::Checkpoint)
            .await;
    }
}

#[when(expr = "all jobs are cancelled while the table loses {int} responses")]
async fn cancel(world: &mut World, count: u32) {
    let jobs = world.jobs.clone();
    let cluster = world.cluster();
    cluster
        .table
        .set_faults(|faults| faults.lose_answers = count);
    assert_eq!(cluster.cancel(&jobs).await, CancelOutcome::Durable);
}

#[then(expr = "the job is finished within {int} s")]
async fn finished(world: &mut World, seconds: u64) {
    world.wait_for_phase(Phase::Finished, seconds).await;
}

#[then(expr = "the job is failed within {int} s")]
async fn failed(world: &mut World, seconds: u64) {
    world.wait_for_phase(Phase::Failed, seconds).await;
}

#[then("the job is parked")]
async fn parked(world: &mut World) {
    world
        .wait_for_phase(Phase::Parked(Reason::TooLarge), 5)
        .await;
}

#[then(expr = "all jobs are cancelled within {int} s")]
async fn cancelled(world: &mut World, seconds: u64) {
    for job in world.jobs.clone() {
        let cluster = world.cluster();
        cluster.wait_for_phase(job, Phase::Cancelled, seconds).await;
    }
    world.cluster().assert_invariants();
}

#[then("the table holds no rows of the job")]
async fn no_rows_left(world: &mut World) {
    let job = world.job().to_string();
    let rows = world.cluster().table.peek("jobs/");
    assert!(rows.iter().all(|row| !row.key.contains(&job)), "{rows:?}");
}

#[then("no task runs")]
async fn no_task_runs(world: &mut World) {
    let runs = world.cluster().runs();
    assert!(runs.iter().all(|run| run.end.is_some()), "{runs:#?}");
}

#[then("every task ran once")]
async fn ran_once(world: &mut World) {
    let job = world.job();
    let progress = world.cluster().progress(job).await;
    let mut indices: Vec<_> = world.runs().iter().filter_map(|r| r.info.index).collect();
    indices.sort_unstable();
    let tasks = match progress {
        Some(progress) => progress.tasks.len(),
        // The table is unavailable.
        None => indices.len().max(1),
    };
    let all: Vec<_> = (0..u32::try_from(tasks).expect("the number of tasks fits in u32")).collect();
    assert_eq!(indices, all, "{:#?}", world.runs());
}

#[then(expr = "the job has {int} run(s)")]
async fn has_runs(world: &mut World, count: usize) {
    let runs = world.runs();
    assert_eq!(runs.len(), count, "{runs:#?}");
}

#[then("the first run was cut because its lease expired")]
async fn lease_expired(world: &mut World) {
    let end = world.runs()[0].end.expect("the first run is over");
    assert_eq!(end.1, RunEnd::Cut(CutCause::Lapsed));
}

#[then("all its runs started together")]
async fn started_together(world: &mut World) {
    let runs = world.runs();
    assert!(runs.iter().all(|run| run.from == runs[0].from), "{runs:#?}");
}

#[then(expr = "{int} tasks run on {int} workers")]
async fn spread(world: &mut World, tasks: usize, workers: usize) {
    let job = world.job();
    let running = world.cluster().running(job);
    let mut vms: Vec<_> = running.iter().map(|run| run.vm.clone()).collect();
    vms.sort();
    vms.dedup();
    assert_eq!((running.len(), vms.len()), (tasks, workers));
}

#[tokio::test(start_paused = true)]
async fn jobs_complete_and_never_run_twice_under_failures() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/features/jobs.feature");
    let outcome = World::cucumber()
        .max_concurrent_scenarios(1)
        .fail_on_skipped()
        .with_default_cli()
        .run(path)
        .await;
    assert!(!outcome.execution_has_failed());
}
