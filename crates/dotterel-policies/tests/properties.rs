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

/// One step: an operation with two operands.
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
    let span = if is_long { 60_000 } else { 50 };
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
            expected_run: Millis(span),
            is_long,
        },
        arrived: now,
        deadline: now + Millis(span * 4),
    }
}

/// What became of the submitted tasks, as the test counts it.
#[derive(Default)]
struct World {
    now: Millis,
    vms: Vec<VmKey>,
    holds: Vec<(HoldKey, VmKey, u8, Size)>,
    waits: Vec<PendingKey>,
    submitted: usize,
    placed: usize,
    refused: usize,
    expired: usize,
    withdrawn: usize,
}

impl World {
    fn place(&mut self, scheduler: &Scheduler, placement: &Placement, team: u8) {
        let held = scheduler.fleet().get_hold(placement.hold).expect("held");
        self.placed += 1;
        self.holds
            .push((placement.hold, placement.vm, team, held.size));
    }

    fn leave_queue(&mut self, key: PendingKey) -> bool {
        let before = self.waits.len();
        self.waits.retain(|wait| *wait != key);
        self.waits.len() + 1 == before
    }

    /// Takes one step; false when a task left the queue twice.
    fn step(&mut self, scheduler: &mut Scheduler, step: Step) -> bool {
        let (op, a, b) = step;
        self.now += Millis(u64::from(b) * 4);
        match op % 12 {
            0..=5 => {
                self.submitted += 1;
                let task = task(step, self.now);
                match scheduler.submit(task, self.now) {
                    SubmitOutcome::Placed(placed) => self.place(scheduler, &placed, a % TEAMS),
                    SubmitOutcome::Queued(key) => self.waits.push(key),
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
                    if !self.leave_queue(key) {
                        return false;
                    }
                }
            }
            9 => {
                for (key, _) in scheduler.expire(self.now) {
                    self.expired += 1;
                    if !self.leave_queue(key) {
                        return false;
                    }
                }
            }
            10 if !self.waits.is_empty() => {
                let key = self.waits[usize::from(a) % self.waits.len()];
                if scheduler.withdraw(key).is_none() || !self.leave_queue(key) {
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
        let chosen = self.vms[usize::from(a) % self.vms.len()];
        if b.is_multiple_of(4) && self.vms.len() > 1 {
            scheduler.fleet_mut().remove(chosen);
            self.vms.retain(|vm| *vm != chosen);
            self.holds.retain(|hold| hold.1 != chosen);
        } else if b % 4 == 1 {
            let vm = worker(&format!("late-{a}"), 1 + u32::from(b % 8));
            self.vms.push(scheduler.fleet_mut().insert(vm));
        } else {
            scheduler.fleet_mut().set_accepting(chosen, b % 4 == 2);
        }
    }
}

fn scheduler(world: &mut World) -> Scheduler {
    let mut scheduler = Scheduler::new(dotterel_policies::standard());
    for (number, slots) in [(0, 2), (1, 4), (2, 8)] {
        let vm = worker(&format!("vm-{number}"), slots);
        world.vms.push(scheduler.fleet_mut().insert(vm));
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

fn run(steps: &[Step], holds: fn(&World, &mut Scheduler) -> bool) -> TestResult {
    let mut world = World::default();
    let mut scheduler = scheduler(&mut world);
    for step in steps {
        if !world.step(&mut scheduler, *step) || !holds(&world, &mut scheduler) {
            return TestResult::failed();
        }
    }
    TestResult::passed()
}

#[test]
fn no_vm_holds_more_than_its_capacity() {
    fn holds(world: &World, scheduler: &mut Scheduler) -> bool {
        scheduler.fleet().iter().all(|(key, vm)| {
            let mine = world.holds.iter().filter(|hold| hold.1 == key);
            let sum = mine.fold(Size::ZERO, |sum, hold| sum.plus(&hold.3));
            sum == vm.used && sum.fits(&vm.capacity)
        })
    }
    check(|steps| run(&steps, holds));
}

#[test]
fn totals_match_the_vms() {
    fn holds(_: &World, scheduler: &mut Scheduler) -> bool {
        let fleet = scheduler.fleet();
        let running: u32 = fleet.iter().map(|(_, vm)| vm.used.slots).sum();
        let long: u32 = fleet.iter().map(|(_, vm)| vm.long_slots).sum();
        let accepting = fleet.iter().filter(|(_, vm)| vm.accepting);
        let slots: u32 = accepting.map(|(_, vm)| vm.capacity.slots).sum();
        let free = fleet.iter().filter(|(_, vm)| {
            vm.accepting && vm.available().slots.min(vm.available().connections) > 0
        });
        let rooms = fleet
            .iter()
            .map(|(_, vm)| vm.short_task_capacity(fleet.short_task_size()));
        let short_task_capacity: u32 = rooms.sum();
        let totals = fleet.totals();
        totals.used.slots == running
            && totals.long_used.slots == long
            && totals.short_task_capacity == short_task_capacity
            && totals.capacity.slots == slots
            && fleet.fullest_first(false).count() == free.count()
    }
    check(|steps| run(&steps, holds));
}

#[test]
fn every_task_ends_in_exactly_one_way() {
    fn holds(world: &World, scheduler: &mut Scheduler) -> bool {
        let gone = world.placed + world.refused + world.expired + world.withdrawn;
        world.submitted == gone + world.waits.len()
            && world
                .waits
                .iter()
                .all(|key| scheduler.pending(*key).is_some())
    }
    check(|steps| run(&steps, holds));
}

#[test]
fn no_team_holds_more_than_its_quota() {
    fn holds(world: &World, scheduler: &mut Scheduler) -> bool {
        scheduler.quotas().iter().all(|(_, allotment)| {
            let number = allotment.team.as_str().as_bytes()[5] - b'0';
            let mine = world.holds.iter().filter(|hold| hold.2 == number);
            let sum = mine.fold(Size::ZERO, |sum, hold| sum.plus(&hold.3));
            sum.fits(&allotment.limit)
        })
    }
    check(|steps| run(&steps, holds));
}

#[test]
fn finished_work_gives_all_quota_back() {
    fn property(steps: Vec<Step>) -> TestResult {
        let mut world = World::default();
        let mut scheduler = scheduler(&mut world);
        for step in steps {
            world.step(&mut scheduler, step);
        }
        for (hold, ..) in &world.holds {
            scheduler.finish(*hold, world.now);
        }
        // A finish also collects the holds that went with their VMs.
        scheduler.finish(HoldKey::default(), world.now);
        TestResult::from_bool(scheduler.quotas().iter().all(|(_, a)| a.used == Size::ZERO))
    }
    check(property);
}

#[test]
fn pieces_lent_never_exceed_the_quota() {
    fn property(steps: Vec<Step>) -> TestResult {
        let total = Size {
            connections: 0,
            ..size(64, 1 << 16)
        };
        let mut lender = QuotaPool::new(total);
        for (op, a, b) in steps {
            let node = NodeId(format!("node-{}", a % 5).into());
            let piece = Size {
                slots: 0,
                connections: 0,
                ..size(u32::from(b % 32), 512)
            };
            if op % 3 == 0 {
                lender.reclaim(&node, piece);
            } else {
                lender.grant(&node, piece);
            }
            if !lender.granted().fits(&total) {
                return TestResult::failed();
            }
        }
        TestResult::passed()
    }
    check(property);
}
