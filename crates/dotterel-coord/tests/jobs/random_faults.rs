//! Property test under random faults: no task runs in two places, and every job ends.

use dotterel_coord::jobs::{JobSpec, SubmitOutcome};
use dotterel_kernel::{JobId, Kind, Millis};
use dotterel_platform::TaskSignal;
use dotterel_standin::{ANY_CALLER, checker};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::cluster::{Cluster, sleep_for, spec};

const NODES: [&str; 3] = ["a", "b", "c"];
const WORKERS: u32 = 4;
const TESTS: u64 = 120;
const SEED: u64 = 0x6a6f_6273;

/// The maximum time in seconds for all jobs to end after the faults were removed.
const RECOVERY_TIMEOUT_S: u64 = 900;

/// An action and its delay after the previous step.
#[derive(Clone, Copy, Debug)]
struct Step {
    gap: Millis,
    action: Action,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Submit(u8),
    Cancel(u8),
    Checkpoint(u8),
    Kill(u8),
    StopNode(u8),
    BlockStarts(u8, bool),
    DelayStarts(u8, Millis),
    CutTable(u8, bool),
    TableDown(Millis),
    TableDelay(Millis),
    TableLoseResponses(u32),
    TableDropCalls(u32),
    TableDropCommits(u32),
    Silent(u8, bool),
    Mute(u8, bool),
    Restart(u8),
    Delay(u8, Millis),
    LoseResponses(u8, u32),
    FailTasks(u8, bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let gap = Millis(u64::arbitrary(g) % 6_000);
        let action = Action::arbitrary(g);
        Self { gap, action }
    }
}

impl Arbitrary for Action {
    fn arbitrary(g: &mut Gen) -> Self {
        let n = u8::arbitrary(g);
        let flag = bool::arbitrary(g);
        let few = u32::arbitrary(g) % 3 + 1;
        let many = if flag { few } else { few * 40 };
        let actions = [
            Self::Submit(n),
            Self::Submit(n),
            Self::Submit(n),
            Self::Cancel(n),
            Self::Checkpoint(n),
            Self::Kill(n),
            Self::StopNode(n),
            Self::BlockStarts(n, flag),
            Self::DelayStarts(n, Millis(u64::arbitrary(g) % 12_000)),
            Self::CutTable(n, flag),
            Self::TableDown(Millis(u64::arbitrary(g) % 30_000)),
            Self::TableDelay(Millis(u64::arbitrary(g) % 900)),
            Self::TableLoseResponses(few),
            Self::TableDropCalls(many),
            Self::TableDropCommits(many),
            Self::Silent(n, flag),
            Self::Mute(n, flag),
            Self::Restart(n),
            Self::Delay(n, Millis(u64::arbitrary(g) % 400)),
            Self::LoseResponses(n, few),
            Self::FailTasks(n, flag),
        ];
        *g.choose(&actions).expect("the list is not empty")
    }
}

/// The state of one run of a schedule.
struct TestRun {
    cluster: Cluster,
    jobs: Vec<(JobId, JobSpec)>,
    accepted: Vec<JobId>,
    incarnation: u64,
}

impl TestRun {
    fn new() -> Self {
        let mut cluster = Cluster::new(WORKERS, 2);
        for name in NODES {
            cluster.start_node(name, 1);
        }
        Self {
            cluster,
            jobs: Vec::new(),
            accepted: Vec::new(),
            incarnation: 1,
        }
    }

    fn job(&self, n: u8) -> Option<JobId> {
        let index = usize::from(n).checked_rem(self.jobs.len())?;
        Some(self.jobs[index].0)
    }

    async fn apply(&mut self, action: Action) {
        let name = |n: u8| NODES[usize::from(n) % NODES.len()];
        let worker = |n: u8| &self.cluster.workers[usize::from(n) % WORKERS as usize];
        let table = &self.cluster.table;
        match action {
            Action::Submit(n) => return self.submit(n).await,
            Action::Cancel(n) => return self.cancel(n).await,
            Action::Checkpoint(n) => return self.checkpoint(n).await,
            Action::Kill(n) => self.restart_node(name(n)),
            Action::StopNode(n) => self.cluster.stop_node(name(n)),
            Action::BlockStarts(n, blocked) => {
                self.cluster
                    .node(name(n))
                    .starts_allowed
                    .send_replace(!blocked);
            }
            Action::DelayStarts(n, span) => {
                self.cluster.node(name(n)).start_delay.send_replace(span);
            }
            Action::CutTable(n, cut) => self.cluster.cut_table(name(n), cut),
            Action::TableDown(span) => {
                let until = self.cluster.clock.now() + span;
                table.set_faults(|f| f.down_until = until);
            }
            Action::TableDelay(span) => table.set_faults(|f| f.delay = span),
            Action::TableLoseResponses(count) => table.set_faults(|f| f.lose_answers = count),
            Action::TableDropCalls(count) => table.set_faults(|f| f.drop_calls = count),
            Action::TableDropCommits(count) => {
                table.set_faults(|f| f.drop_commits = count);
            }
            Action::Silent(n, on) => worker(n).set_faults(|f| set_for_all(&mut f.silent, on)),
            Action::Mute(n, on) => worker(n).set_faults(|f| set_for_all(&mut f.mute, on)),
            Action::Restart(n) => worker(n).restart(),
            Action::Delay(n, span) => worker(n).set_faults(|f| f.delay = span),
            Action::LoseResponses(n, count) => worker(n).set_faults(|f| f.lose_answers = count),
            Action::FailTasks(n, on) => worker(n).set_faults(|f| f.fail_tasks = on),
        }
    }

    async fn submit(&mut self, n: u8) {
        let run = Millis(u64::from(n) * 100);
        let mut spec = match n % 4 {
            0 => spec(Kind::Gang, 3, run),
            1 => spec(Kind::Service, 2, Millis::MAX),
            _ => spec(Kind::Batch, 3, run),
        };
        spec.repeatable = n % 4 != 3;
        let client = &self.cluster.node(NODES[usize::from(n) % 3]).jobs;
        let deadline = self.cluster.clock.now() + Millis::secs(3);
        let submitted = client.submit(&spec, deadline).await;
        match submitted {
            SubmitOutcome::Accepted(job) => {
                self.accepted.push(job);
                self.jobs.push((job, spec));
            }
            SubmitOutcome::Unknown(job) => self.jobs.push((job, spec)),
            SubmitOutcome::Unavailable | SubmitOutcome::Refused(_) => {}
        }
    }

    async fn cancel(&self, n: u8) {
        if let Some(job) = self.job(n) {
            self.cluster.cancel(&[job]).await;
        }
    }

    async fn checkpoint(&self, n: u8) {
        let Some(job) = self.job(n) else {
            return;
        };
        let unrepeatable = |entry: &(JobId, JobSpec)| entry.0 == job && !entry.1.repeatable;
        if self.jobs.iter().any(unrepeatable) {
            return;
        }
        for node in &self.cluster.nodes {
            node.commands.signal(job, 0, TaskSignal::Checkpoint).await;
        }
    }

    /// Kills a node and starts its next incarnation.
    fn restart_node(&mut self, name: &str) {
        self.incarnation += 1;
        self.cluster.kill(name);
        self.cluster.start_node(name, self.incarnation);
    }

    /// Removes all faults and waits until every job has ended.
    async fn recover_and_finish(&mut self) {
        self.cluster.table.set_faults(|f| *f = Default::default());
        for worker in &self.cluster.workers {
            worker.set_faults(|f| *f = Default::default());
        }
        for name in NODES {
            self.restart_node(name);
        }
        let jobs = &self.jobs;
        let services = jobs.iter().filter(|entry| entry.1.kind == Kind::Service);
        let services: Vec<_> = services.map(|entry| entry.0).collect();
        self.cluster.cancel(&services).await;
        for (job, _) in jobs {
            // Only a job whose submission had an unknown outcome may be missing.
            let accepted = self.accepted.contains(job);
            let is_over = async || match self.cluster.phase(*job).await {
                Some(phase) => phase.is_final(),
                None => !accepted,
            };
            self.cluster
                .wait_until("job ended", RECOVERY_TIMEOUT_S, is_over)
                .await;
        }
        sleep_for(Millis::secs(1)).await;
    }

    fn assert_invariants(&self) {
        self.cluster.assert_invariants();
        let runs = self.cluster.runs();
        let unfinished: Vec<_> = runs.iter().filter(|run| run.end.is_none()).collect();
        assert!(
            unfinished.is_empty(),
            "tasks still run after their jobs ended: {unfinished:#?}"
        );
        for (job, spec) in &self.jobs {
            let runs = checker::runs_of_job(&self.cluster.workers, *job);
            let max_runs = (0..spec.tasks)
                .map(|index| runs.iter().filter(|r| r.info.index == Some(index)).count())
                .max();
            assert!(spec.repeatable || max_runs <= Some(1), "{runs:#?}");
        }
    }
}

fn set_for_all(callers: &mut Vec<compact_str::CompactString>, on: bool) {
    callers.clear();
    if on {
        callers.push(ANY_CALLER.into());
    }
}

fn keeps_invariants(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime can be built");
    runtime.block_on(async {
        let mut test_run = TestRun::new();
        for step in steps {
            sleep_for(step.gap).await;
            test_run.apply(step.action).await;
            test_run.cluster.assert_invariants();
        }
        test_run.recover_and_finish().await;
        test_run.assert_invariants();
    });
    true
}

#[test]
fn random_faults_run_no_task_twice_at_once_and_all_jobs_end() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(TESTS)
        .quickcheck(keeps_invariants as fn(Vec<Step>) -> bool);
}
