//! The VMs, the store, and the leaders of all terms.

use dotterel_cell::cell::DueStart;
use dotterel_cell::{JobId, JobRecord, Order, RunOutcome, StartAnswer, TaskName, VmKey};
use dotterel_kernel::Millis;

use super::leader::{Leader, Poll};
use super::process::{Process, Run};
use super::{VMS, Who};
use crate::support::{Store, gang, independent_tasks, record, size, step, vm_info};

/// Terms that a sequence of events has at most.
const MAX_TERMS: u32 = 4;
/// The job whose task lasts.
pub(super) const LASTING: JobId = JobId(2);
/// The first of the urgent jobs that arrive later, and how many there are at most.
const URGENT: u64 = 100;
const MAX_URGENT: u64 = 3;
/// Attempts of each task; the random events fail some tasks several times.
const MAX_ATTEMPTS: u8 = 200;

/// The VMs, the store, and the leaders of all terms.
pub(super) struct World {
    pub(super) now: Millis,
    pub(super) store: Store,
    pub(super) processes: [Process; VMS],
    pub(super) leaders: Vec<Leader>,
    /// Tasks with an acknowledged end as done.
    pub(super) done: Vec<TaskName>,
    pub(super) urgent_jobs: u64,
}

impl World {
    /// Returns a world with running tasks, in which a second node has just taken over while the VMs hold
    /// polls of the first one.
    pub(super) fn new() -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            store: Store::default(),
            processes: Default::default(),
            leaders: Vec::new(),
            done: Vec::new(),
            urgent_jobs: 0,
        };
        world.take_over();
        for vm in 0..VMS {
            world.poll(0, vm);
            world.reply(0, vm);
        }
        for (id, record) in (0..).zip(jobs()) {
            world.leaders[0].bench.submit(id, record);
        }
        world.plan(0);
        while !world.leaders[0].orders.is_empty() {
            world.deliver(0, 0, false, true);
        }
        world.advance(Millis(100));
        for vm in 0..VMS {
            world.poll(0, vm);
            world.reply(0, vm);
            world.poll(0, vm);
        }
        world.take_over();
        world
    }

    pub(super) fn leader(&self, who: Who) -> Option<usize> {
        let behind = match who {
            Who::Newest => 1,
            Who::Former => 2,
        };
        let found = self.leaders.len().checked_sub(behind);
        found.filter(|at| !self.leaders[*at].is_over)
    }

    pub(super) fn advance(&mut self, span: Millis) {
        self.now += span;
        let newest = self.leaders.len() - 1;
        for process in &mut self.processes {
            process.advance(self.now);
        }
        for (at, leader) in self.leaders.iter_mut().enumerate() {
            leader.bench.now = self.now;
            if at == newest {
                leader.leadership.renew(self.now);
                leader.bench.cell.leadership_confirmed(self.now);
            }
        }
    }

    pub(super) fn take_over(&mut self) {
        let term = u32::try_from(self.leaders.len()).expect("terms are few") + 1;
        if term <= MAX_TERMS {
            let leader = Leader::new(term, &self.store, &self.processes, self.now);
            self.leaders.push(leader);
        }
    }

    pub(super) fn poll(&mut self, at: usize, vm: usize) {
        let leader = &mut self.leaders[at];
        let Some(key) = leader.key(vm) else {
            return;
        };
        if leader.cut[vm] {
            leader.bench.cell.vm_unresponsive(key, None, self.now);
            return;
        }
        if leader.polls[vm].is_some() {
            return;
        }
        let remaining = leader.remaining(self.now);
        let process = &mut self.processes[vm];
        if !process.obeys(leader.term) {
            leader.is_over = true;
            return;
        }
        let poll = leader.polls[vm].insert(Poll {
            sent: self.now,
            report: None,
        });
        let cell = &mut leader.bench.cell;
        let known = cell
            .vm(key)
            .filter(|known| known.info.incarnation == process.incarnation() && known.has_replied());
        // A life that hasn't replied yet gets neither a lease nor acknowledgements, and is asked to reply at once.
        let Some(acked) = known.map(|known| known.durable_end) else {
            poll.report = Some(process.report(self.now));
            return;
        };
        let lease = cell.extend_lease(key, remaining, self.now);
        process.lease_end = process.lease_end.max(lease.unwrap_or_default());
        let acked = process.ends.extract_if(.., |end| end.number <= acked);
        let lapsed = process.lapsed_end;
        let done = acked.filter(|end| end.number > lapsed && end.outcome == RunOutcome::Done);
        let done = done.map(|end| end.task);
        self.done.extend(done.filter(|task| task.job != LASTING));
    }

    /// A VM replies to a poll although a newer leader may have called since.
    pub(super) fn reply(&mut self, at: usize, vm: usize) {
        let leader = &mut self.leaders[at];
        let Some(key) = leader.key(vm).filter(|_| !leader.cut[vm]) else {
            return;
        };
        if let Some(Poll { sent, report }) = leader.polls[vm].take() {
            let report = report.unwrap_or_else(|| self.processes[vm].report(self.now));
            let cell = &mut leader.bench.cell;
            cell.apply_report(key, &report, sent, self.now);
        }
    }

    pub(super) fn plan(&mut self, at: usize) {
        let has_store = at + 1 == self.leaders.len();
        let leader = &mut self.leaders[at];
        let cell = &mut leader.bench.cell;
        while has_store && (cell.has_new_rows() || cell.has_rows(0, self.now)) {
            let batch = cell.take_batch(0, self.now);
            self.store.apply(&batch);
            cell.batch_committed(&batch);
        }
        leader.plan();
    }

    /// Has an order reach its VM, unless it is lost.
    pub(super) fn deliver(&mut self, at: usize, order: usize, is_lost: bool, is_answered: bool) {
        let leader = &mut self.leaders[at];
        if leader.orders.is_empty() {
            return;
        }
        let order = leader.orders.remove(order % leader.orders.len());
        let (Order::Start { vm, .. } | Order::Stop { vm, .. }) = &order else {
            return;
        };
        let id = leader.bench.cell.vm_id(*vm);
        let vm = (0..VMS).find(|vm| id == Some(vm_info(*vm).id.as_str()));
        let Some(vm) = vm else {
            return;
        };
        let is_cut = leader.cut[vm];
        let (is_lost, is_answered) = (is_lost || is_cut, is_answered && !is_cut);
        match order {
            Order::Start {
                vm: key, task, run, ..
            } => {
                self.start(at, vm, (key, task, run), is_lost, is_answered);
            }
            Order::Stop {
                vm: key, task, run, ..
            } => {
                let obeys = !is_lost && self.processes[vm].obeys(leader.term);
                if obeys {
                    self.processes[vm].stop(task, run, self.now);
                }
                if obeys && is_answered {
                    let cell = &mut self.leaders[at].bench.cell;
                    cell.stop_answered(key, task, run, self.now);
                }
            }
            Order::RequestAdvice(_) => {}
        }
    }

    pub(super) fn start(
        &mut self,
        at: usize,
        vm: usize,
        (key, task, run): (VmKey, TaskName, u32),
        is_lost: bool,
        is_answered: bool,
    ) {
        let leader = &mut self.leaders[at];
        let remaining = leader.remaining(self.now);
        let start = DueStart {
            vm: key,
            task,
            run,
            ticket: "",
        };
        let lease = leader
            .bench
            .cell
            .authorize_start(start, remaining, self.now);
        let Ok(lease) = lease else {
            let cell = &mut leader.bench.cell;
            cell.start_answered(key, task, run, StartAnswer::Withheld, self.now);
            return;
        };
        let process = &mut self.processes[vm];
        let is_barred = |&(barred, highest): &(TaskName, u32)| barred == task && run <= highest;
        let answer = if is_lost {
            StartAnswer::Unknown
        } else if !process.obeys(leader.term) {
            leader.is_over = true;
            StartAnswer::Fenced
        } else if process.barred.iter().any(is_barred) {
            StartAnswer::Old
        } else if process.clock(self.now) >= lease {
            StartAnswer::Late
        } else {
            process.lease_end = process.lease_end.max(lease);
            self.check_start(task);
            self.processes[vm].runs.push(Run {
                task,
                run,
                stops_at: None,
            });
            StartAnswer::Started
        };
        let answer = if is_answered {
            answer
        } else {
            StartAnswer::Unknown
        };
        let cell = &mut self.leaders[at].bench.cell;
        cell.start_answered(key, task, run, answer, self.now);
    }

    pub(super) fn check_start(&self, task: TaskName) {
        let mut runs = self.processes.iter().flat_map(|process| &process.runs);
        let other = runs.find(|other| other.task == task);
        let other = other.map(|other| other.run);
        assert_eq!(other, None, "{task} starts while another run of it goes on");
        assert!(
            !self.done.contains(&task),
            "{task} starts after it was done"
        );
    }

    pub(super) fn end(&mut self, vm: usize, at: usize, outcome: RunOutcome) {
        let process = &mut self.processes[vm];
        if !process.runs.is_empty() {
            process.end_run(at % process.runs.len(), outcome);
        }
    }

    pub(super) fn drain(&mut self, vm: usize) {
        let process = &mut self.processes[vm];
        process.drains = !process.drains;
        for leader in &mut self.leaders {
            leader.bench.cell.vm_listed(process.info(vm), self.now);
        }
    }

    /// Submits a job that needs most of each VM.
    pub(super) fn submit_urgent(&mut self) {
        if self.urgent_jobs < MAX_URGENT {
            let mut step = step(2, 500);
            step.size = size(24_000, 1024);
            let mut job = record(0, vec![step]);
            job.policy.max_attempts = MAX_ATTEMPTS;
            let newest = self.leaders.len() - 1;
            let bench = &mut self.leaders[newest].bench;
            bench.submit(URGENT + self.urgent_jobs, job);
            self.urgent_jobs += 1;
            self.plan(newest);
        }
    }

    pub(super) fn restart(&mut self, vm: usize) {
        let former = std::mem::take(&mut self.processes[vm]);
        let process = &mut self.processes[vm];
        process.restarts = former.restarts + 1;
        process.started_at = self.now;
        process.drains = former.drains;
        let newest = self.leaders.len() - 1;
        for (at, leader) in self.leaders.iter_mut().enumerate() {
            leader.polls[vm] = None;
            // Whether an order that a former leader has sent to one life can reach the next isn't known.
            leader.cut[vm] |= at < newest;
            let id = vm_info(vm).id;
            let cell = &leader.bench.cell;
            leader
                .orders
                .retain(|order| !matches!(order, Order::Start { vm, .. } | Order::Stop { vm, .. } if cell.vm_id(*vm) == Some(&*id)));
            leader.bench.cell.vm_listed(process.info(vm), self.now);
        }
    }

    /// Lets the newest leader work undisturbed, on VMs whose runs are all done soon.
    pub(super) fn settle(&mut self) {
        let newest = self.leaders.len() - 1;
        self.leaders[newest].cut = [false; VMS];
        for vm in 0..VMS {
            if self.processes[vm].drains {
                self.drain(vm);
            }
        }
        for round in 0..300 {
            self.advance(Millis(100));
            for vm in 0..VMS {
                self.poll(newest, vm);
                self.reply(newest, vm);
                if (20..200).contains(&round) {
                    self.end(vm, 0, RunOutcome::Done);
                    self.end(vm, 1, RunOutcome::Done);
                }
            }
            self.plan(newest);
            while !self.leaders[newest].orders.is_empty() {
                self.deliver(newest, 0, false, true);
            }
        }
    }
}

/// Returns jobs of independent tasks, of a gang, of a task that lasts, and of tasks that can resume, which fill
/// half of a VM each.
pub(super) fn jobs() -> Vec<JobRecord> {
    let mut lasting = independent_tasks(1, 2000);
    lasting.spec.steps[0].long_running = true;
    let mut resuming = independent_tasks(2, 2000);
    resuming.spec.steps[0].checkpoint = true;
    resuming.spec.steps[0].size = size(16_000, 4096);
    let mut jobs = vec![independent_tasks(2, 2000), gang(2, 2000), lasting, resuming];
    for job in &mut jobs {
        job.policy.max_attempts = MAX_ATTEMPTS;
    }
    jobs
}
