//! A test cluster: workers, VM owners and nodes that run jobs, on one table.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_coord::Jobs;
use dotterel_coord::jobs::{
    AttemptRecord, AttemptState, CancelOutcome, CapacityProvider, Config, EngineHandle, JobHost,
    JobSpec, LaunchOutcome, Phase, Progress, SubmitOutcome, TaskStart,
};
use dotterel_kernel::{Clock, Incarnation, JobId, Kind, Millis, Reason, Size, TaskId, Urgency};
use dotterel_platform::{
    Owner, Refusal, StartRequest, StartResponse, StopResponse, TaskSignal, TaskState, Upstream,
};
use dotterel_standin::checker::{self, Run};
use dotterel_standin::{FakeTable, FakeWorker};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::owner::VmOwner;

const START_TIME: Millis = Millis::secs(86_400);
const CALL_TIMEOUT: Duration = Duration::from_millis(500);
pub(crate) const TASK_TTL: Millis = Millis(10_000);

pub(crate) const CONFIG: Config = Config {
    shards: 2,
    round_interval: Millis(200),
    lease_ttl: Millis(6_000),
    call_timeout: Millis(1_000),
    hold_ttl: Millis(5_000),
    backoff: Millis(1_000),
    poll_interval: Millis(1_000),
    clock_margin: Millis(1_000),
    retention: Millis::secs(3_600),
    batch_rows: 64,
};

/// The table, workers, VM owners and job nodes of one test.
pub(crate) struct Cluster {
    pub(crate) clock: Clock,
    pub(crate) table: FakeTable,
    pub(crate) workers: Vec<FakeWorker>,
    owners: Vec<Arc<VmOwner>>,
    pub(crate) nodes: Vec<Node>,
}

/// A node that runs jobs.
pub(crate) struct Node {
    pub(crate) name: String,
    pub(crate) jobs: Jobs,
    pub(crate) commands: EngineHandle,
    pub(crate) starts_allowed: watch::Sender<bool>,
    pub(crate) start_delay: watch::Sender<Millis>,
    stop: watch::Sender<bool>,
    engine: JoinHandle<()>,
}

/// The job host of one node; it can reach every VM owner.
struct Host {
    owners: Vec<Arc<VmOwner>>,
    largest: Size,
    /// Starts block while this is false, as on a paused node.
    starts_allowed: watch::Receiver<bool>,
    /// The network delay of starts to the VM.
    start_delay: watch::Receiver<Millis>,
}

pub(crate) fn slots(count: u32) -> Size {
    Size {
        slots: count,
        ..Size::ZERO
    }
}

impl Cluster {
    /// Creates the workers and two VM owners that divide them between themselves.
    pub(crate) fn new(workers: u32, size: u32) -> Self {
        let clock = Clock::starting_at(START_TIME);
        let workers: Vec<_> = (1..=workers)
            .map(|n| FakeWorker::new(format!("w{n}").as_str().into(), slots(size), clock))
            .collect();
        let (left, right) = workers.split_at(workers.len().div_ceil(2));
        let owners = vec![
            VmOwner::new("x", clock, left),
            VmOwner::new("y", clock, right),
        ];
        Self {
            clock,
            table: FakeTable::new(clock),
            workers,
            owners,
            nodes: Vec::new(),
        }
    }

    pub(crate) fn start_node(&mut self, name: &str, incarnation: u64) {
        let owner = Owner {
            node: name.into(),
            incarnation: Incarnation(incarnation),
        };
        let jobs = Jobs::new(
            Arc::new(self.table.for_caller(name)),
            self.clock,
            owner,
            CONFIG,
        );
        let (starts_allowed, allowed) = watch::channel(true);
        let (start_delay, start_delay_receiver) = watch::channel(Millis::ZERO);
        let host = Host {
            owners: self.owners.clone(),
            largest: self.workers[0].capacity(),
            starts_allowed: allowed,
            start_delay: start_delay_receiver,
        };
        let engine = jobs.engine(Arc::new(host));
        let (stop, stopped) = watch::channel(false);
        self.nodes.push(Node {
            name: name.to_owned(),
            jobs,
            commands: engine.handle(),
            starts_allowed,
            start_delay,
            stop,
            engine: tokio::spawn(engine.run(stopped)),
        });
    }

    pub(crate) fn node(&self, name: &str) -> &Node {
        let found = self.nodes.iter().find(|node| node.name == name);
        found.expect("the node was started")
    }

    /// Makes the VM owners refuse new holds, or accept them again.
    pub(crate) fn set_refuse_holds(&self, refuse_holds: bool) {
        for owner in &self.owners {
            owner.refuse_holds.store(refuse_holds, Ordering::SeqCst);
        }
    }

    pub(crate) fn kill(&mut self, name: &str) {
        self.node(name).engine.abort();
        self.nodes.retain(|node| node.name != name);
    }

    pub(crate) fn stop_node(&self, name: &str) {
        self.node(name).stop.send_replace(true);
    }

    /// Disconnects a node from the table, or reconnects it.
    pub(crate) fn cut_table(&self, name: &str, cut: bool) {
        self.table.set_faults(|faults| {
            faults.cut.retain(|other| other != name);
            if cut {
                faults.cut.push(name.into());
            }
        });
    }

    /// Submits a job through the newest node and expects it to be accepted.
    pub(crate) async fn submit(&self, spec: &JobSpec) -> JobId {
        let client = &self.nodes.last().expect("a node was started").jobs;
        let deadline = self.clock.now() + Millis::secs(5);
        match client.submit(spec, deadline).await {
            SubmitOutcome::Accepted(job) => job,
            other => panic!("{other:?}"),
        }
    }

    pub(crate) async fn cancel(&self, jobs: &[JobId]) -> CancelOutcome {
        let client = &self.nodes.last().expect("a node was started").jobs;
        client
            .cancel(jobs, self.clock.now() + Millis::secs(5))
            .await
    }

    pub(crate) async fn progress(&self, job: JobId) -> Option<Progress> {
        let owner = Owner {
            node: "reader".into(),
            incarnation: Incarnation(1),
        };
        let reader = Jobs::new(Arc::new(self.table.clone()), self.clock, owner, CONFIG);
        reader.progress(job).await.ok().flatten()
    }

    pub(crate) async fn phase(&self, job: JobId) -> Option<Phase> {
        self.progress(job).await.map(|progress| progress.phase)
    }

    /// Polls the condition until it holds; panics after this many seconds of the cluster's clock.
    pub(crate) async fn wait_until(
        &self,
        what: &str,
        seconds: u64,
        condition: impl AsyncFn() -> bool,
    ) {
        for _ in 0..seconds * 10 {
            if condition().await {
                return;
            }
            sleep_for(Millis(100)).await;
        }
        panic!("{what}: not reached within {seconds} s; {}", self.summary());
    }

    /// Summarizes the runs, the job rows of the table and the VM owners, for panic messages.
    pub(crate) fn summary(&self) -> String {
        let since = |time: Millis| time - START_TIME;
        let runs = self.runs().into_iter().map(|run| {
            let (from, end) = (since(run.from), run.end.map(|end| (since(end.0), end.1)));
            let job = run.info.job.expect("every run belongs to a job");
            format!("{job} {:?} {} {from} {end:?}", run.info.index, run.vm)
        });
        let rows = self.table.peek("jobs/").into_iter().map(|row| {
            let progress: Option<Progress> = postcard::from_bytes(&row.value).ok();
            format!("{} {progress:?}", row.key)
        });
        let mut lines: Vec<_> = runs.collect();
        lines.sort();
        lines.extend(rows);
        lines.extend(self.owners.iter().map(|owner| format!("{owner:?}")));
        lines.join("\n")
    }

    pub(crate) async fn wait_for_phase(&self, job: JobId, phase: Phase, seconds: u64) {
        let condition = async || self.phase(job).await == Some(phase);
        self.wait_until(&format!("phase {phase:?}"), seconds, condition)
            .await;
    }

    pub(crate) fn runs(&self) -> Vec<Run> {
        checker::runs(&self.workers)
    }

    pub(crate) fn running(&self, job: JobId) -> Vec<Run> {
        let mut runs = checker::runs_of_job(&self.workers, job);
        runs.retain(|run| run.end.is_none());
        runs
    }

    /// Asserts that no task runs in two places and no VM runs over its capacity.
    pub(crate) fn assert_invariants(&self) {
        assert_eq!(checker::overlapping_runs(&self.workers), []);
        assert_eq!(checker::over_capacity(&self.workers), []);
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for node in &self.nodes {
            node.engine.abort();
        }
    }
}

pub(crate) async fn sleep_for(span: Millis) {
    tokio::time::sleep(span.duration()).await;
}

/// Returns a job of this kind whose tasks run for `run`.
pub(crate) fn spec(kind: Kind, tasks: u32, run: Millis) -> JobSpec {
    JobSpec {
        service: "quotes".into(),
        class: "roof".into(),
        origin: "dc-1".into(),
        kind,
        urgency: Urgency::Normal,
        tasks,
        size: slots(1),
        repeatable: true,
        max_failures: 3,
        task_ttl: TASK_TTL,
        timeout: Millis::secs(36_000),
        body: Bytes::from(run.0.to_string()),
    }
}

impl Host {
    fn owner(&self, attempt: &AttemptRecord) -> (&VmOwner, &FakeWorker) {
        let found = self.owners.iter().find_map(|owner| {
            let worker = owner.worker(&attempt.vm)?;
            Some((&**owner, worker))
        });
        found.expect("every VM has an owner")
    }

    fn no_reply(&self, attempt: &AttemptRecord) -> AttemptState {
        let last_renewal = self.owner(attempt).0.abandon(attempt.task);
        AttemptState::NoReply { last_renewal }
    }

    fn ended(&self, attempt: &AttemptRecord, state: AttemptState) -> AttemptState {
        self.owner(attempt).0.free_task(attempt.task);
        state
    }
}

#[async_trait]
impl JobHost for Host {
    fn should_own(&self, _: u32) -> bool {
        true
    }

    fn check_runnable(&self, spec: &JobSpec) -> Result<(), Reason> {
        match spec.size.fits(&self.largest) {
            true => Ok(()),
            false => Err(Reason::TooLarge),
        }
    }

    fn owners(&self) -> Vec<Arc<dyn CapacityProvider>> {
        let owners = self.owners.iter().cloned();
        owners
            .map(|owner| owner as Arc<dyn CapacityProvider>)
            .collect()
    }

    async fn launch(&self, start: TaskStart) -> LaunchOutcome {
        let mut starts_allowed = self.starts_allowed.clone();
        if starts_allowed.wait_for(|allowed| *allowed).await.is_err() {
            return LaunchOutcome::Unknown;
        }
        let (owner, worker) = self.owner(&start.attempt);
        let task = start.attempt.task;
        let Some(epoch) = owner.begin_start(&start.attempt.vm, start.hold, task) else {
            return LaunchOutcome::NotRun;
        };
        let run_ms = String::from_utf8_lossy(&start.body);
        let body = format!("{{\"run_ms\":{run_ms},\"index\":{}}}", start.index);
        let start = StartRequest {
            epoch,
            task,
            request: None,
            job: Some(start.job),
            service: start.service,
            class: start.class,
            size: start.size,
            task_ttl: start.task_ttl,
            timeout: start.timeout,
        };
        let (worker, start_delay) = (worker.clone(), *self.start_delay.borrow());
        // A start in flight still arrives after its sender timed out or was aborted.
        let call = tokio::spawn(async move {
            sleep_for(start_delay).await;
            worker.launch(&start, body.into()).await
        });
        let call = async { call.await.expect("a launch does not panic") };
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(StartResponse::Accepted)) => LaunchOutcome::Running,
            Ok(Ok(StartResponse::Refused(Refusal::Seen))) => LaunchOutcome::Unknown,
            Ok(Ok(StartResponse::Refused(_))) => {
                owner.free_task(task);
                LaunchOutcome::NotRun
            }
            Ok(Err(err)) if err.had_no_effect() => {
                owner.free_task(task);
                LaunchOutcome::NotRun
            }
            _ => LaunchOutcome::Unknown,
        }
    }

    async fn query_attempts(&self, attempts: &[AttemptRecord]) -> Vec<AttemptState> {
        let mut states = Vec::new();
        for attempt in attempts {
            let call = self.owner(attempt).1.state(attempt.task);
            let state = match tokio::time::timeout(CALL_TIMEOUT, call).await {
                Ok(Ok(TaskState::Running)) => AttemptState::Running,
                Ok(Ok(TaskState::Unseen)) => AttemptState::Unseen,
                Ok(Ok(TaskState::Finished(a))) => {
                    self.ended(attempt, AttemptState::Finished(a.status))
                }
                Ok(Ok(TaskState::Cut)) => self.ended(attempt, AttemptState::Cut),
                Ok(Ok(TaskState::Barred)) => self.ended(attempt, AttemptState::Barred),
                _ => self.no_reply(attempt),
            };
            states.push(state);
        }
        states
    }

    async fn stop(&self, attempt: &AttemptRecord) -> AttemptState {
        let call = self.owner(attempt).1.stop(attempt.task);
        match tokio::time::timeout(CALL_TIMEOUT, call).await {
            Ok(Ok(StopResponse::Finished(response))) => {
                self.ended(attempt, AttemptState::Finished(response.status))
            }
            Ok(Ok(StopResponse::Cut)) => self.ended(attempt, AttemptState::Cut),
            Ok(Ok(StopResponse::Barred)) => self.ended(attempt, AttemptState::Barred),
            _ => self.no_reply(attempt),
        }
    }

    async fn signal(&self, attempt: &AttemptRecord, signal: TaskSignal) {
        let (owner, worker) = self.owner(attempt);
        if let Some(epoch) = owner.epoch_of(&attempt.vm) {
            let call = worker.signal(epoch, attempt.task, signal);
            // A lost call is not retried.
            drop(tokio::time::timeout(CALL_TIMEOUT, call).await);
        }
    }

    fn ends_recorded(&self, _: &[TaskId]) {}
}
