//! Properties of the scheduler under the standard policy, for random sequences of operations.

use dotterel_kernel::{
    DataCentre, Epoch, HoldKey, Kind, Millis, NodeId, PendingKey, PendingTask, Placement,
    QuotaPool, Scheduler, Service, Size, SubmitOutcome, TaskSpec, Team, Urgency, Vm, VmId, VmKey,
};
use quickcheck::{Gen, QuickCheck, TestResult};

const SEED: u64 = 0x5eed_0001;
const CASES: u64 = 300;
const STEPS: usize = 400;
const TEAMS: u8 = 4;

/// An operation and its two operands.
type Step = (u8, u8, u8);

fn check(property: fn(Vec<Step>) -> TestResult) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, SEED))
        .tests(CASES)
        .quickcheck(property);
}

fn size(cores: u32, memory_mb: u32) -> Size {
    Size {
        milli_cores: cores * 1000,
        memory_mb,
        accelerators: 0,
        slots: 1,
        connections: 1,
    }
}

fn worker(name: &str, slots: u32) -> Vm {
    let capacity = Size {
        milli_cores: slots * 4000,
        memory_mb: slots * 8192,
        accelerators: 0,
        slots,
        connections: slots * 8,
    };
    Vm::new(VmId::from(name), DataCentre::from("a"), capacity, Epoch(1))
}

fn service(number: u8) -> Service {
    Service(format!("service-{}", number % TEAMS).into())
}

fn task(step: Step, now: Millis) -> PendingTask {
    let (_, a, b) = step;
    let is_long = b.is_multiple_of(3);
    let urgency = [Urgency::Urgent, Urgency::Normal, Urgency::Overnight][usize::from(b % 3)];
    let run_ms = if is_long { 60_000 } else { 50 };
    PendingTask {
        service: service(a),
        class: if is_long {
            "long".into()
        } else {
            "short".into()
        },
        spec: TaskSpec {
            kind: if is_long {
                Kind::Batch
            } else {
                Kind::Interactive
            },
            urgency,
            size: size(1 + u32::from(b % 40), 256 << (b % 6)),
            expected_run: Millis(run_ms),
            is_long,
        },
        arrived: now,
        deadline: now + Millis(run_ms * 4),
    }
}

/// The expected state of the scheduler and counts of the submitted tasks by outcome.
#[derive(Default)]
struct Model {
    now: Millis,
    vms: Vec<VmKey>,
    holds: Vec<(HoldKey, VmKey, u8, Size)>,
    pending: Vec<PendingKey>,
    submitted: usize,
    placed: usize,
    refused: usize,
    expired: usize,
    withdrawn: usize,
}

impl Model {
    fn place(&mut self, scheduler: &Scheduler, placement: &Placement, team: u8) {
        let hold = scheduler
            .fleet()
            .get_hold(placement.hold)
            .expect("the hold exists");
        self.placed += 1;
        self.holds
            .push((placement.hold, placement.vm, team, hold.size));
    }

    fn remove_pending(&mut self, key: PendingKey) -> bool {
        let before = self.pending.len();
        self.pending.retain(|pending| *pending != key);
        self.pending.len() + 1 == before
    }

    /// Applies one step. Returns false if a task left the queue twice.
    fn step(&mut self, scheduler: &mut Scheduler, step: Step) -> bool {
        let (op, a, b) = step;
        self.now += Millis(u64::from(b) * 4);
        match op % 12 {
            0..=5 => {
                self.submitted += 1;
                let task = task(step, self.now);
                match scheduler.submit(task, self.now) {
                    SubmitOutcome::Placed(placed) => self.place(scheduler, &placed, a % TEAMS),
                    SubmitOutcome::Queued(key) => self.pending.push(key),
                    SubmitOutcome::Refused(_) => self.refused += 1,
                }
            }
            6 | 7 if !self.holds.is_empty() => {
                let (hold, ..) = self.holds.swap_remove(usize::from(a) % self.holds.len());
                scheduler.finish(hold, self.now);
            }
            8 => {
                while let Some((key, task, placement)) = scheduler.place_next(self.now) {
                    let number = task.service.as_str().as_bytes()[8] - b'0';
                    self.place(scheduler, &placement, number);
                    if !self.remove_pending(key) {
                        return false;
                    }
                }
            }
            9 => {
                for (key, _) in scheduler.expire(self.now) {
                    self.expired += 1;
                    if !self.remove_pending(key) {
                        return false;
                    }
                }
            }
            10 if !self.pending.is_empty() => {
                let key = self.pending[usize::from(a) % self.pending.len()];
                if scheduler.withdraw(key).is_none() || !self.remove_pending(key) {
                    return false;
                }
                self.withdrawn += 1;
            }
            11 => self.change_fleet(scheduler, a, b),
            _ => {}
        }
        true
    }

    fn change_fleet(&mut self, scheduler: &mut Scheduler, a: u8, b: u8) {
        let vm_key = self.vms[usize::from(a) % self.vms.len()];
        if b.is_multiple_of(4) && self.vms.len() > 1 {
            scheduler.fleet_mut().remove(vm_key);
            self.vms.retain(|vm| *vm != vm_key);
            self.holds.retain(|hold| hold.1 != vm_key);
        } else if b % 4 == 1 {
            let vm = worker(&format!("late-{a}"), 1 + u32::from(b % 8));
            self.vms.push(scheduler.fleet_mut().insert(vm));
        } else {
            scheduler.fleet_mut().set_accepting(vm_key, b % 4 == 2);
        }
    }
}

fn scheduler(model: &mut Model) -> Scheduler {
    let mut scheduler = Scheduler::new(dotterel_policies::standard());
    for (number, slots) in [(0, 2), (1, 4), (2, 8)] {
        let vm = worker(&format!("vm-{number}"), slots);
        model.vms.push(scheduler.fleet_mut().insert(vm));
    }
    for number in 0..TEAMS {
        let team = Team(format!("team-{number}").into());
        let limit = Size {
            slots: u32::from(number) * 2,
            ..size(u32::from(number) * 16, 64 << 10)
        };
        let connections = u32::MAX;
        let limit = Size {
            connections,
            ..limit
        };
        let key = scheduler.quotas_mut().set(&team, limit);
        scheduler.quotas_mut().assign(&service(number), key);
    }
    scheduler
}

fn run(steps: &[Step], invariant: fn(&Model, &mut Scheduler) -> bool) -> TestResult {
    let mut model = Model::default();
    let mut scheduler = scheduler(&mut model);
    for step in steps {
        if !model.step(&mut scheduler, *step) || !invariant(&model, &mut scheduler) {
            return TestResult::failed();
        }
    }
    TestResult::passed()
}

#[test]
fn no_vm_holds_more_than_its_capacity() {
    fn invariant(model: &Model, scheduler: &mut Scheduler) -> bool {
        scheduler.fleet().iter().all(|(key, vm)| {
            let counted = model.holds.iter().filter(|hold| hold.1 == key);
            let sum = counted.fold(Size::ZERO, |sum, hold| sum.plus(&hold.3));
            sum == vm.used && sum.fits(&vm.capacity)
        })
    }
    check(|steps| run(&steps, invariant));
}

#[test]
fn totals_match_the_vms() {
    fn invariant(_: &Model, scheduler: &mut Scheduler) -> bool {
        let fleet = scheduler.fleet();
        let running: u32 = fleet.iter().map(|(_, vm)| vm.used.slots).sum();
        let long: u32 = fleet.iter().map(|(_, vm)| vm.long_slots).sum();
        let accepting = fleet.iter().filter(|(_, vm)| vm.accepting);
        let slots: u32 = accepting.map(|(_, vm)| vm.capacity.slots).sum();
        let free = fleet.iter().filter(|(_, vm)| {
            vm.accepting && vm.available().slots.min(vm.available().connections) > 0
        });
        let capacities = fleet
            .iter()
            .map(|(_, vm)| vm.short_task_capacity(fleet.short_task_size()));
        let short_task_capacity: u32 = capacities.sum();
        let totals = fleet.totals();
        totals.used.slots == running
            && totals.long_used.slots == long
            && totals.short_task_capacity == short_task_capacity
            && totals.capacity.slots == slots
            && fleet.fullest_first(false).count() == free.count()
    }
    check(|steps| run(&steps, invariant));
}

#[test]
fn every_task_ends_in_exactly_one_way() {
    fn invariant(model: &Model, scheduler: &mut Scheduler) -> bool {
        let settled = model.placed + model.refused + model.expired + model.withdrawn;
        model.submitted == settled + model.pending.len()
            && model
                .pending
                .iter()
                .all(|key| scheduler.pending(*key).is_some())
    }
    check(|steps| run(&steps, invariant));
}

#[test]
fn no_team_holds_more_than_its_quota() {
    fn invariant(model: &Model, scheduler: &mut Scheduler) -> bool {
        scheduler.quotas().iter().all(|(_, team_quota)| {
            let number = team_quota.team.as_str().as_bytes()[5] - b'0';
            let counted = model.holds.iter().filter(|hold| hold.2 == number);
            let sum = counted.fold(Size::ZERO, |sum, hold| sum.plus(&hold.3));
            sum.fits(&team_quota.limit)
        })
    }
    check(|steps| run(&steps, invariant));
}

#[test]
fn finished_tasks_release_all_quota() {
    fn property(steps: Vec<Step>) -> TestResult {
        let mut model = Model::default();
        let mut scheduler = scheduler(&mut model);
        for step in steps {
            model.step(&mut scheduler, step);
        }
        for (hold, ..) in &model.holds {
            scheduler.finish(*hold, model.now);
        }
        // A call of `finish` also collects the holds of removed VMs.
        scheduler.finish(HoldKey::default(), model.now);
        TestResult::from_bool(scheduler.quotas().iter().all(|(_, a)| a.used == Size::ZERO))
    }
    check(property);
}

#[test]
fn grants_never_exceed_the_quota() {
    fn property(steps: Vec<Step>) -> TestResult {
        let total = Size {
            connections: 0,
            ..size(64, 1 << 16)
        };
        let mut pool = QuotaPool::new(total);
        for (op, a, b) in steps {
            let node = NodeId(format!("node-{}", a % 5).into());
            let amount = Size {
                slots: 0,
                connections: 0,
                ..size(u32::from(b % 32), 512)
            };
            if op % 3 == 0 {
                pool.reclaim(&node, amount);
            } else {
                pool.grant(&node, amount);
            }
            if !pool.granted().fits(&total) {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    check(property);
}
