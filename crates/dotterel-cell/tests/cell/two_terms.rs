//! Property test: a leader that has been replaced acts on until a VM rejects its fencing token, while its
//! successor already polls the same VMs. Polls, replies, orders, ends and losses come in any order.

use dotterel_cell::job::Round;
use dotterel_cell::leadership::{Leadership, recovery_wait};
use dotterel_cell::{
    Cell, JobId, JobRecord, Limits, Order, Report, ReportedEnd, RunOutcome, StartAnswer, TaskName,
    VmInfo, VmKey,
};
use dotterel_kernel::Millis;
use proptest::prelude::{BoxedStrategy, Just, Strategy, any};
use proptest::prop_oneof;
use proptest::test_runner::{Config, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::support::{Bench, Store, ended, gang, independent_tasks, running, vm_info};

const VMS: usize = 3;
/// Terms that a sequence of events has at most.
const MAX_TERMS: u32 = 4;
/// Time that a VM takes to stop a run.
const STOP_TIME: Millis = Millis(350);
/// The job whose task lasts.
const LASTING: JobId = JobId(2);
/// Attempts of each task; the random events fail some tasks several times.
const MAX_ATTEMPTS: u8 = 200;

/// A leader: the newest one, or the one before.
#[derive(Clone, Copy, Debug)]
enum Who {
    Newest,
    Former,
}

#[derive(Clone, Debug)]
enum Event {
    /// Time passes.
    Advance(u64),
    /// A poll reaches a VM, which holds it.
    Poll(Who, usize),
    /// A VM replies to the poll that it holds, and the leader plans.
    Reply(Who, usize),
    /// A VM replies to a poll at once, and the leader plans.
    Exchange(Who, usize),
    /// A leader commits its rows, if it has the store, and plans.
    Plan(Who),
    /// An order reaches its VM, and the reply reaches the leader.
    Deliver(Who, usize),
    /// The reply to an order is lost, and the order itself as well unless it is carried out.
    Lose(Who, usize, bool),
    /// A run ends, upon which its VM may reply to the poll of a leader that it holds.
    End(usize, usize, RunOutcome, Option<Who>),
    /// Another node becomes the leader.
    TakeOver,
    /// A VM is cut off from a leader, or is reached again.
    Cut(Who, usize),
    /// A VM begins to drain, or no longer does.
    Drain(usize),
    /// A VM restarts under its id. What was sent to its former life is lost.
    Restart(usize),
}

struct Events;

impl ReferenceStateMachine for Events {
    type State = ();
    type Transition = Event;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_state: &()) -> BoxedStrategy<Event> {
        let who = || prop_oneof![Just(Who::Newest), Just(Who::Former)];
        // A poll that a VM rejects ends the former leader.
        let poller = || prop_oneof![8 => Just(Who::Newest), 1 => Just(Who::Former)];
        let outcome = prop_oneof![
            8 => Just(RunOutcome::Failed),
            1 => Just(RunOutcome::Done),
        ];
        // Favours the order of events in which only the former leader learns of an end.
        let replied = prop_oneof![
            1 => Just(None),
            1 => Just(Some(Who::Newest)),
            3 => Just(Some(Who::Former)),
        ];
        prop_oneof![
            8 => (1..200u64).prop_map(Event::Advance),
            2 => (200..2000u64).prop_map(Event::Advance),
            6 => (poller(), 0..VMS).prop_map(|(who, vm)| Event::Poll(who, vm)),
            6 => (who(), 0..VMS).prop_map(|(who, vm)| Event::Reply(who, vm)),
            12 => (poller(), 0..VMS).prop_map(|(who, vm)| Event::Exchange(who, vm)),
            1 => who().prop_map(Event::Plan),
            12 => (who(), 0..8usize).prop_map(|(who, at)| Event::Deliver(who, at)),
            1 => (who(), 0..8usize, any::<bool>())
                .prop_map(|(who, at, is_done)| Event::Lose(who, at, is_done)),
            6 => (0..VMS, 0..4usize, outcome, replied)
                .prop_map(|(vm, at, outcome, who)| Event::End(vm, at, outcome, who)),
            2 => Just(Event::TakeOver),
            1 => (who(), 0..VMS).prop_map(|(who, vm)| Event::Cut(who, vm)),
            1 => (0..VMS).prop_map(Event::Drain),
            1 => (0..VMS).prop_map(Event::Restart),
        ]
        .boxed()
    }

    fn apply(_state: (), _event: &Event) {}
}

/// A run on a VM.
struct Run {
    task: TaskName,
    run: u32,
    /// Set once the VM was told to stop it.
    stops_at: Option<Millis>,
}

/// A VM as it is, whatever the leaders know of it.
#[derive(Default)]
struct Process {
    /// Number of its restarts.
    restarts: u64,
    /// Its clock starts at zero.
    started_at: Millis,
    fence: u32,
    /// On its clock.
    lease_end: Millis,
    runs: Vec<Run>,
    /// Runs up to this number can't start any more.
    barred: Vec<(TaskName, u32)>,
    /// Ends that are not acknowledged.
    ends: Vec<ReportedEnd>,
    last_end: u64,
    /// The last end before its lease was last found expired. Up to there, an acknowledgement counts for nothing.
    lapsed_end: u64,
    drains: bool,
}

impl Process {
    fn clock(&self, now: Millis) -> Millis {
        now.since(self.started_at)
    }

    /// Returns false if a newer leader has called.
    fn obeys(&mut self, fence: u32) -> bool {
        self.fence = self.fence.max(fence);
        self.fence == fence
    }

    fn end_run(&mut self, at: usize, outcome: RunOutcome) {
        let Run { task, run, .. } = self.runs.remove(at);
        self.last_end += 1;
        self.ends.push(ended(self.last_end, task, run, outcome));
        self.barred.push((task, run));
    }

    /// Ends the runs whose lease or stop is due.
    fn advance(&mut self, now: Millis) {
        let has_lapsed = self.clock(now) >= self.lease_end;
        if has_lapsed {
            self.lapsed_end = self.last_end;
        }
        for at in (0..self.runs.len()).rev() {
            if has_lapsed {
                self.end_run(at, RunOutcome::Lapsed);
            } else if self.runs[at].stops_at.is_some_and(|due| now >= due) {
                self.end_run(at, RunOutcome::Stopped);
            }
        }
    }

    fn stop(&mut self, task: TaskName, run: u32, now: Millis) {
        let mut runs = self.runs.iter_mut();
        match runs.find(|other| (other.task, other.run) == (task, run)) {
            Some(found) => {
                found.stops_at.get_or_insert(now + STOP_TIME);
            }
            None => self.barred.push((task, run)),
        }
    }

    fn report(&self, now: Millis) -> Report {
        let listed = self.runs.iter().filter(|run| run.stops_at.is_none());
        Report {
            incarnation: self.incarnation(),
            clock: self.clock(now),
            running: listed.map(|run| running(run.task, run.run, 10)).collect(),
            ended: self.ends.clone(),
            has_more_ends: false,
        }
    }

    fn incarnation(&self) -> u64 {
        7 + self.restarts
    }

    fn info(&self, vm: usize) -> VmInfo {
        VmInfo {
            incarnation: self.incarnation(),
            draining: self.drains,
            remaining: self.drains.then_some(Millis::secs(60)),
            ..vm_info(vm)
        }
    }
}

/// A poll whose reply has not arrived.
struct Poll {
    sent: Millis,
    /// The report, unless the VM holds the poll.
    report: Option<Report>,
}

/// A leader, which keeps acting once it has been replaced until a VM rejects its fencing token.
struct Leader {
    bench: Bench,
    term: u32,
    leadership: Leadership,
    polls: [Option<Poll>; VMS],
    cut: [bool; VMS],
    orders: Vec<Order>,
    is_over: bool,
}

impl Leader {
    fn new(term: u32, store: &Store, processes: &[Process; VMS], now: Millis) -> Self {
        let limits = Limits::default();
        let mut bench = Bench::new(0);
        bench.now = now;
        bench.cell = Cell::new(limits, term, now, now + recovery_wait(&limits));
        let vms = (0..VMS).zip(processes);
        bench.vms = vms
            .map(|(vm, process)| bench.cell.vm_listed(process.info(vm), now))
            .collect();
        store.restore(&mut bench.cell, Millis::ZERO, now);
        if term > 1 {
            store.restore_stop_list(&mut bench.cell);
        }
        Self {
            bench,
            term,
            leadership: Leadership::acquired(now),
            polls: Default::default(),
            cut: [false; VMS],
            orders: Vec::new(),
            is_over: false,
        }
    }

    fn remaining(&self, now: Millis) -> Millis {
        self.leadership.remaining(&Limits::default(), now)
    }

    fn key(&self, vm: usize) -> Option<VmKey> {
        self.bench.cell.vm_by_id(&vm_info(vm).id)
    }

    fn plan(&mut self) {
        let now = self.bench.now;
        self.bench.cell.tick(now);
        self.bench.plan();
        self.orders.extend(self.bench.cell.take_orders());
    }
}

/// The VMs, the store, and the leaders of all terms.
struct World {
    now: Millis,
    store: Store,
    processes: [Process; VMS],
    leaders: Vec<Leader>,
    /// Tasks with an acknowledged end as done.
    done: Vec<TaskName>,
}

impl World {
    /// Returns a world with running tasks, in which a second node has just taken over while the VMs hold
    /// polls of the first one.
    fn new() -> Self {
        let mut world = Self {
            now: Millis(1_000_000),
            store: Store::default(),
            processes: Default::default(),
            leaders: Vec::new(),
            done: Vec::new(),
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

    fn leader(&self, who: Who) -> Option<usize> {
        let behind = match who {
            Who::Newest => 1,
            Who::Former => 2,
        };
        let found = self.leaders.len().checked_sub(behind);
        found.filter(|at| !self.leaders[*at].is_over)
    }

    fn advance(&mut self, span: Millis) {
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

    fn take_over(&mut self) {
        let term = u32::try_from(self.leaders.len()).expect("terms are few") + 1;
        if term <= MAX_TERMS {
            let leader = Leader::new(term, &self.store, &self.processes, self.now);
            self.leaders.push(leader);
        }
    }

    fn poll(&mut self, at: usize, vm: usize) {
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
    fn reply(&mut self, at: usize, vm: usize) {
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

    fn plan(&mut self, at: usize) {
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
    fn deliver(&mut self, at: usize, order: usize, is_lost: bool, is_answered: bool) {
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

    fn start(
        &mut self,
        at: usize,
        vm: usize,
        (key, task, run): (VmKey, TaskName, u32),
        is_lost: bool,
        is_answered: bool,
    ) {
        let leader = &mut self.leaders[at];
        let remaining = leader.remaining(self.now);
        let start = dotterel_cell::cell::DueStart {
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

    fn check_start(&self, task: TaskName) {
        let mut runs = self.processes.iter().flat_map(|process| &process.runs);
        let other = runs.find(|other| other.task == task);
        let other = other.map(|other| other.run);
        assert_eq!(other, None, "{task} starts while another run of it goes on");
        assert!(
            !self.done.contains(&task),
            "{task} starts after it was done"
        );
    }

    fn end(&mut self, vm: usize, at: usize, outcome: RunOutcome) {
        let process = &mut self.processes[vm];
        if !process.runs.is_empty() {
            process.end_run(at % process.runs.len(), outcome);
        }
    }

    fn drain(&mut self, vm: usize) {
        let process = &mut self.processes[vm];
        process.drains = !process.drains;
        for leader in &mut self.leaders {
            leader.bench.cell.vm_listed(process.info(vm), self.now);
        }
    }

    fn restart(&mut self, vm: usize) {
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
    fn settle(&mut self) {
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

/// Returns jobs of independent tasks, of a gang and of a task that lasts.
fn jobs() -> Vec<JobRecord> {
    let mut lasting = independent_tasks(1, 2000);
    lasting.spec.steps[0].long_running = true;
    let mut jobs = vec![independent_tasks(2, 2000), gang(2, 2000), lasting];
    for job in &mut jobs {
        job.policy.max_attempts = MAX_ATTEMPTS;
    }
    jobs
}

impl StateMachineTest for World {
    type SystemUnderTest = Self;
    type Reference = Events;

    fn init_test(_state: &()) -> Self {
        Self::new()
    }

    fn apply(mut world: Self, _state: &(), event: Event) -> Self {
        let who = match event {
            Event::Poll(who, _)
            | Event::Reply(who, _)
            | Event::Exchange(who, _)
            | Event::Plan(who)
            | Event::Deliver(who, _)
            | Event::Lose(who, ..)
            | Event::Cut(who, _) => who,
            _ => Who::Newest,
        };
        let Some(at) = world.leader(who) else {
            return world;
        };
        match event {
            Event::Advance(ms) => world.advance(Millis(ms)),
            Event::Poll(_, vm) => world.poll(at, vm),
            Event::Reply(_, vm) => {
                world.reply(at, vm);
                world.plan(at);
            }
            Event::Exchange(_, vm) => {
                world.poll(at, vm);
                world.reply(at, vm);
                world.plan(at);
            }
            Event::Plan(_) => world.plan(at),
            Event::Deliver(_, order) => world.deliver(at, order, false, true),
            Event::Lose(_, order, is_done) => world.deliver(at, order, !is_done, false),
            Event::End(vm, run, outcome, who) => {
                world.end(vm, run, outcome);
                if let Some(at) = who.and_then(|who| world.leader(who)) {
                    world.reply(at, vm);
                    world.plan(at);
                }
            }
            Event::TakeOver => world.take_over(),
            Event::Cut(_, vm) => world.leaders[at].cut[vm] ^= true,
            Event::Drain(vm) => world.drain(vm),
            Event::Restart(vm) => world.restart(vm),
        }
        world
    }

    fn teardown(mut world: Self, _state: ()) {
        world.settle();
        let newest = world.leaders.last().expect("there is a leader");
        for job in newest.bench.cell.jobs() {
            // A task that was lost with two VMs counts as the cause, also one that lasts.
            let is_at_work = |round: &Round| round.steps[0].placed().count() == 1;
            let is_running = job.id == LASTING && job.rounds.iter().all(is_at_work);
            assert!(
                job.state().is_final() || is_running,
                "job {} is left over",
                job.id
            );
        }
    }
}

/// The seed and the number of cases can be set with `PROPTEST_RNG_SEED` and `PROPTEST_CASES`.
fn config() -> Config {
    const CASES: u32 = 1000;
    let is_set = |name| std::env::var_os(name).is_some();
    let mut config = Config {
        failure_persistence: None,
        ..Config::default()
    };
    if !is_set("PROPTEST_CASES") {
        config.cases = CASES;
    }
    if !is_set("PROPTEST_RNG_SEED") {
        config.rng_seed = RngSeed::Fixed(4);
    }
    config
}

prop_state_machine! {
    #![proptest_config(config())]

    // Guards against a task that is started by a leader while a run that its predecessor started hasn't
    // ended, and against one that is never started again.
    #[test]
    fn a_task_has_one_run_at_a_time_in_two_terms(sequential 10..50 => World);
}
