//! Random schedules of faults: nothing runs in two places, and everything ends in the end.

use dotterel_coord::jobs::{JobSpec, SubmitOutcome};
use dotterel_kernel::{JobId, Kind, Millis};
use dotterel_platform::TaskSignal;
use dotterel_standin::{EVERYONE, witness};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use crate::cluster::{Cluster, pass, spec};

const NODES: [&str; 3] = ["a", "b", "c"];
const WORKERS: u32 = 4;
const TESTS: u64 = 120;
const SEED: u64 = 0x6a6f_6273;

/// How long everything may take to end once all faults are over.
const END_SECONDS: u64 = 900;

/// Something that happens, and how long after the step before.
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
    HoldStarts(u8, bool),
    Travel(u8, Millis),
    CutTable(u8, bool),
    TableDown(Millis),
    TableDelay(Millis),
    TableLoses(u32),
    TableDrops(u32),
    CommitsDropped(u32),
    Silent(u8, bool),
    Mute(u8, bool),
    Restart(u8),
    Delay(u8, Millis),
    Loses(u8, u32),
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
        let yes = bool::arbitrary(g);
        let few = u32::arbitrary(g) % 3 + 1;
        let many = if yes { few } else { few * 40 };
        let actions = [
            Self::Submit(n),
            Self::Submit(n),
            Self::Submit(n),
            Self::Cancel(n),
            Self::Checkpoint(n),
            Self::Kill(n),
            Self::StopNode(n),
            Self::HoldStarts(n, yes),
            Self::Travel(n, Millis(u64::arbitrary(g) % 12_000)),
            Self::CutTable(n, yes),
            Self::TableDown(Millis(u64::arbitrary(g) % 30_000)),
            Self::TableDelay(Millis(u64::arbitrary(g) % 900)),
            Self::TableLoses(few),
            Self::TableDrops(many),
            Self::CommitsDropped(many),
            Self::Silent(n, yes),
            Self::Mute(n, yes),
            Self::Restart(n),
            Self::Delay(n, Millis(u64::arbitrary(g) % 400)),
            Self::Loses(n, few),
            Self::FailTasks(n, yes),
        ];
        *g.choose(&actions).expect("there are actions")
    }
}

/// A run of one schedule.
struct Trial {
    cluster: Cluster,
    jobs: Vec<(JobId, JobSpec)>,
    accepted: Vec<JobId>,
    lives: u64,
}

impl Trial {
    fn new() -> Self {
        let mut cluster = Cluster::new(WORKERS, 2);
        for name in NODES {
            cluster.start_node(name, 1);
        }
        Self {
            cluster,
            jobs: Vec::new(),
            accepted: Vec::new(),
            lives: 1,
        }
    }

    fn job(&self, n: u8) -> Option<JobId> {
        let index = usize::from(n).checked_rem(self.jobs.len())?;
        Some(self.jobs[index].0)
    }

    async fn act(&mut self, action: Action) {
        let name = |n: u8| NODES[usize::from(n) % NODES.len()];
        let worker = |n: u8| &self.cluster.workers[usize::from(n) % WORKERS as usize];
        let table = &self.cluster.table;
        match action {
            Action::Submit(n) => return self.submit(n).await,
            Action::Cancel(n) => return self.cancel(n).await,
            Action::Checkpoint(n) => return self.checkpoint(n).await,
            Action::Kill(n) => self.replace(name(n)),
            Action::StopNode(n) => self.cluster.stop_node(name(n)),
            Action::HoldStarts(n, held) => {
                self.cluster.node(name(n)).launches.send_replace(!held);
            }
            Action::Travel(n, span) => {
                self.cluster.node(name(n)).travel.send_replace(span);
            }
            Action::CutTable(n, cut) => self.cluster.cut_table(name(n), cut),
            Action::TableDown(span) => {
                let until = self.cluster.clock.now() + span;
                table.set_faults(|faults| faults.down_until = until);
            }
            Action::TableDelay(span) => table.set_faults(|faults| faults.delay = span),
            Action::TableLoses(count) => table.set_faults(|faults| faults.lose_answers = count),
            Action::TableDrops(count) => table.set_faults(|faults| faults.drop_calls = count),
            Action::CommitsDropped(count) => {
                table.set_faults(|faults| faults.drop_commits = count);
            }
            Action::Silent(n, on) => worker(n).set_faults(|faults| switch(&mut faults.silent, on)),
            Action::Mute(n, on) => worker(n).set_faults(|faults| switch(&mut faults.mute, on)),
            Action::Restart(n) => worker(n).restart(),
            Action::Delay(n, span) => worker(n).set_faults(|faults| faults.delay = span),
            Action::Loses(n, count) => worker(n).set_faults(|faults| faults.lose_answers = count),
            Action::FailTasks(n, on) => worker(n).set_faults(|faults| faults.fail_tasks = on),
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
        let through = &self.cluster.node(NODES[usize::from(n) % 3]).jobs;
        let deadline = self.cluster.clock.now() + Millis::secs(3);
        let submitted = through.submit(&spec, deadline).await;
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
            node.commands.press(job, 0, TaskSignal::Checkpoint).await;
        }
    }

    /// Kills a node and starts its next life.
    fn replace(&mut self, name: &str) {
        self.lives += 1;
        self.cluster.kill(name);
        self.cluster.start_node(name, self.lives);
    }

    /// Ends all faults and waits until every job is over.
    async fn end(&mut self) {
        self.cluster
            .table
            .set_faults(|faults| *faults = Default::default());
        for worker in &self.cluster.workers {
            worker.set_faults(|faults| *faults = Default::default());
        }
        for name in NODES {
            self.replace(name);
        }
        let jobs = &self.jobs;
        let services = jobs.iter().filter(|entry| entry.1.kind == Kind::Service);
        let services: Vec<_> = services.map(|entry| entry.0).collect();
        self.cluster.cancel(&services).await;
        for (job, _) in jobs {
            // Only a job whose submission is unknown may not exist.
            let accepted = self.accepted.contains(job);
            let over = async || match self.cluster.phase(*job).await {
                Some(phase) => phase.is_final(),
                None => !accepted,
            };
            self.cluster.until("job over", END_SECONDS, over).await;
        }
        pass(Millis::secs(1)).await;
    }

    fn judge(&self) {
        self.cluster.judge();
        let runs = self.cluster.runs();
        let open: Vec<_> = runs.iter().filter(|run| run.end.is_none()).collect();
        assert!(open.is_empty(), "runs on after its job is over: {open:#?}");
        for (job, spec) in &self.jobs {
            let runs = witness::runs_of_job(&self.cluster.workers, *job);
            let most = (0..spec.tasks)
                .map(|index| runs.iter().filter(|r| r.info.index == Some(index)).count())
                .max();
            assert!(spec.repeatable || most <= Some(1), "{runs:#?}");
        }
    }
}

fn switch(callers: &mut Vec<compact_str::CompactString>, on: bool) {
    callers.clear();
    if on {
        callers.push(EVERYONE.into());
    }
}

fn holds(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime with a timer alone needs nothing");
    runtime.block_on(async {
        let mut trial = Trial::new();
        for step in steps {
            pass(step.gap).await;
            trial.act(step.action).await;
            trial.cluster.judge();
        }
        trial.end().await;
        trial.judge();
    });
    true
}

#[test]
fn no_schedule_of_faults_runs_a_task_in_two_places() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(TESTS)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
