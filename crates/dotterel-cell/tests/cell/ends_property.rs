//! Property test: under random reports, cut-off lists of ends, silent VMs, store outages and takeovers.

use dotterel_cell::{
    Batch, Cell, JobRecord, Limits, Order, ReportedEnd, RunOutcome, StartAnswer, TaskName, VmKey,
};
use dotterel_kernel::Millis;

use crate::support::{
    Bench, Random, Store, ended, gang, independent_tasks, running, step, vm_info,
};

const SEEDS: u64 = 60;
const VMS: usize = 3;
const MAX_ATTEMPTS: usize = 2;
/// Ends that a VM lists at most.
const PAGE_ENDS: usize = 3;
/// How far the wall clock of a leader may be behind that of the first one.
const MAX_CLOCK_LAG_MS: u64 = 5000;

#[derive(Default)]
struct Process {
    is_silent: bool,
    lease_end: Millis,
    /// Number of the event at which its lease was last found expired.
    lapsed: u64,
    runs: Vec<(TaskName, u32, Millis)>,
    /// Ends that are not acknowledged, numbered as events.
    ends: Vec<ReportedEnd>,
}

impl Process {
    fn end_run(&mut self, at: usize, outcome: RunOutcome, event: u64) {
        let (task, run, _) = self.runs.remove(at);
        self.ends.push(ended(event, task, run, outcome));
    }
}

struct World {
    random: Random,
    bench: Bench,
    term: u32,
    processes: [Process; VMS],
    store: Store,
    store_away: bool,
    in_flight: Option<Batch>,
    events: u64,
    /// Started tasks, with the numbers of the events.
    starts: Vec<(TaskName, u64)>,
    /// Acknowledged ends.
    acked: Vec<ReportedEnd>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut world = Self {
            random: Random::new(seed),
            bench: Bench::new(0),
            term: 0,
            processes: Default::default(),
            store: Store::default(),
            store_away: false,
            in_flight: None,
            events: 0,
            starts: Vec::new(),
            acked: Vec::new(),
        };
        world.take_over();
        world
    }

    /// The next leader restores what is stored; a transaction in flight may have been applied.
    fn take_over(&mut self) {
        if let Some(batch) = self.in_flight.take().filter(|_| self.random.one_in(2)) {
            self.store.apply(&batch);
        }
        self.term += 1;
        let now = self.bench.now;
        let cell = &mut self.bench.cell;
        *cell = Cell::new(Limits::default(), self.term, now, now + Millis(4500));
        let vms = (0..VMS).map(|vm| cell.vm_listed(vm_info(vm), now));
        self.bench.vms = vms.collect();
        let lag = Millis(self.random.below(MAX_CLOCK_LAG_MS));
        self.store.restore(cell, lag, now);
    }

    fn step(&mut self) {
        if self.store_away {
            self.bench.advance_unrenewed(100);
        } else {
            self.bench.advance(100);
        }
        for vm in 0..VMS {
            self.run_vm(vm);
            self.poll(vm);
        }
        self.bench.cell.tick(self.bench.now);
        let batch = self.in_flight.take();
        let batch = batch.unwrap_or_else(|| self.bench.cell.take_batch(0, self.bench.now));
        if self.store_away {
            self.in_flight = Some(batch);
        } else {
            self.store.apply(&batch);
            self.bench.cell.batch_committed(&batch);
        }
        self.bench.plan();
        for order in self.bench.cell.take_orders() {
            match order {
                Order::Start { vm, task, run, .. } => self.start(vm, task, run),
                Order::Stop { vm, task, run, .. } => self.stop(vm, task, run),
                Order::RequestAdvice(_) => {}
            }
        }
    }

    fn run_vm(&mut self, vm: usize) {
        let process = &mut self.processes[vm];
        self.events += 1;
        let has_lapsed = self.bench.now >= process.lease_end;
        if has_lapsed {
            process.lapsed = self.events;
        }
        for at in (0..process.runs.len()).rev() {
            self.events += 1;
            if has_lapsed {
                process.end_run(at, RunOutcome::Lapsed, self.events);
            } else if self.bench.now >= process.runs[at].2 {
                let has_failed = usize::from(self.random.one_in(10));
                let outcome = [RunOutcome::Done, RunOutcome::Failed][has_failed];
                process.end_run(at, outcome, self.events);
            }
        }
    }

    fn poll(&mut self, vm: usize) {
        let now = self.bench.now;
        let key = self.bench.vms[vm];
        let process = &mut self.processes[vm];
        if process.is_silent {
            self.bench.cell.vm_unresponsive(key, None, now);
            return;
        }
        let acked = self.bench.vm(vm).durable_end;
        let acked = process.ends.extract_if(.., |end| end.number <= acked);
        self.acked
            .extend(acked.filter(|end| end.number > process.lapsed));
        let lease = self.bench.extend_lease(key).unwrap_or_default();
        process.lease_end = process.lease_end.max(lease);
        let runs = process.runs.iter().map(|(task, run, ends_at)| {
            let left = u8::try_from(ends_at.since(now).0 / 100).expect("runs are short");
            running(*task, *run, 100 - left)
        });
        let runs: Vec<_> = runs.collect();
        let ends: Vec<_> = process.ends.iter().take(PAGE_ENDS).cloned().collect();
        let has_more = ends.len() == PAGE_ENDS;
        self.bench.report_page(vm, &runs, &ends, has_more);
    }

    fn start(&mut self, key: VmKey, task: TaskName, run: u32) {
        let now = self.bench.now;
        let lease = self.bench.extend_lease(key).unwrap_or_default();
        let mut runs = self.processes.iter().flat_map(|process| &process.runs);
        let is_running = runs.any(|other| other.0 == task);
        let process = &mut self.processes[self.bench.index_of(key)];
        process.lease_end = process.lease_end.max(lease);
        let is_unanswered = process.is_silent || self.random.one_in(20);
        if !is_unanswered || self.random.one_in(2) {
            assert!(!is_running, "{task} runs twice at once");
            let duration = Millis(100 + self.random.below(2000));
            process.runs.push((task, run, now + duration));
            self.events += 1;
            self.starts.push((task, self.events));
        }
        let answer = [StartAnswer::Started, StartAnswer::Unknown][usize::from(is_unanswered)];
        self.bench.cell.start_answered(key, task, run, answer, now);
    }

    fn stop(&mut self, key: VmKey, task: TaskName, run: u32) {
        let process = &mut self.processes[self.bench.index_of(key)];
        if !process.is_silent {
            let mut runs = process.runs.iter();
            if let Some(at) = runs.position(|other| (other.0, other.1) == (task, run)) {
                self.events += 1;
                process.end_run(at, RunOutcome::Stopped, self.events);
            }
            let now = self.bench.now;
            self.bench.cell.stop_answered(key, task, run, now);
        }
    }

    fn disturb(&mut self) {
        if self.random.one_in(100) {
            self.take_over();
        }
        self.store_away ^= self.random.one_in(25);
        for process in &mut self.processes {
            process.is_silent ^= self.random.one_in(if process.is_silent { 40 } else { 150 });
        }
    }

    /// Returns the starts after an acknowledged end as done, or after the last attempt.
    fn wrong_starts(&self) -> Vec<(TaskName, u64)> {
        let is_wrong = |(task, started): &&(TaskName, u64)| {
            let earlier = |end: &&ReportedEnd| end.task == *task && end.number < *started;
            let earlier = || self.acked.iter().filter(earlier).map(|end| end.outcome);
            let failures = earlier().filter(|outcome| *outcome == RunOutcome::Failed);
            failures.count() >= MAX_ATTEMPTS || earlier().any(|outcome| outcome == RunOutcome::Done)
        };
        self.starts.iter().filter(is_wrong).copied().collect()
    }
}

fn random_job(random: &mut Random) -> JobRecord {
    let mut record = match random.below(7) {
        0..2 => gang(2, 2000),
        count => independent_tasks(u32::try_from(count).unwrap_or_default(), 2000),
    };
    if random.one_in(2) {
        let mut next = step(2, 2000);
        next.after.push(0);
        record.spec.steps.push(next);
    }
    if random.one_in(3) {
        record.spec.repeats = 3;
        record.spec.period = Millis::secs(10);
        record.spec.first_due = Millis(1_000_000);
    }
    record
}

// Guards against acknowledged ends that are lost between a VM's pages, terms and the store.
#[test]
fn no_task_starts_after_an_acknowledged_end() {
    for seed in 1..=SEEDS {
        let mut world = World::new(seed);

        for at in 0..600 {
            if at % 20 == 0 {
                world.bench.submit(at, random_job(&mut world.random));
            }
            world.disturb();
            world.step();
        }
        world.store_away = false;
        let processes = world.processes.iter_mut();
        processes.for_each(|process| process.is_silent = false);
        (0..400).for_each(|_| world.step());

        assert_eq!(world.wrong_starts(), [], "seed {seed}");
        let mut jobs = world.bench.cell.jobs();
        assert!(jobs.all(|job| job.state().is_final()), "seed {seed}");
    }
}
