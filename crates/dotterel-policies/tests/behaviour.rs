//! Queueing, placement and refusal of tasks under the standard policy.

use dotterel_kernel::{
    DataCentre, Epoch, HoldKey, Kind, Millis, PendingTask, Reason, Scheduler, Service, Size,
    SubmitOutcome, TaskSpec, Team, Urgency, Vm, VmId, VmKey,
};

const SLOTS: u32 = 8;
const STEP: Millis = Millis(10);

fn capacity() -> Size {
    Size {
        milli_cores: 32_000,
        memory_mb: 65_536,
        accelerators: 0,
        slots: SLOTS,
        connections: 64,
    }
}

fn scheduler(vms: u32) -> Scheduler {
    let mut scheduler = Scheduler::new(dotterel_policies::standard());
    for number in 0..vms {
        add_vm(&mut scheduler, number, capacity());
    }
    scheduler
}

fn add_vm(scheduler: &mut Scheduler, number: u32, capacity: Size) -> VmKey {
    let id = VmId(format!("vm-{number}").into());
    let vm = Vm::new(id, DataCentre::from("a"), capacity, Epoch(1));
    scheduler.fleet_mut().insert(vm)
}

fn task(class: &str, cores: u32, now: Millis) -> PendingTask {
    PendingTask {
        service: Service::from("quotes"),
        class: class.into(),
        spec: TaskSpec {
            kind: Kind::Interactive,
            urgency: Urgency::Urgent,
            size: Size {
                milli_cores: cores * 1000,
                memory_mb: 256,
                accelerators: 0,
                slots: 1,
                connections: 1,
            },
            expected_run: Millis(50),
            is_long: false,
        },
        arrived: now,
        deadline: now + Millis(1400),
    }
}

fn batch(class: &str, cores: u32, now: Millis) -> PendingTask {
    let mut task = task(class, cores, now);
    task.spec.kind = Kind::Batch;
    task.spec.urgency = Urgency::Overnight;
    task.spec.expected_run = Millis::secs(60);
    task.spec.is_long = true;
    task.deadline = now + Millis::secs(600);
    task
}

fn place(scheduler: &mut Scheduler, task: PendingTask, now: Millis) -> Option<HoldKey> {
    match scheduler.submit(task, now) {
        SubmitOutcome::Placed(placement) => Some(placement.hold),
        SubmitOutcome::Queued(_) | SubmitOutcome::Refused(_) => None,
    }
}

#[test]
fn unplaceable_tasks_do_not_block_others() {
    // Arrange: the only VM that is large enough for the large tasks is leaving.
    let mut scheduler = scheduler(1);
    let large = add_vm(&mut scheduler, 1, capacity().plus(&capacity()));
    scheduler.fleet_mut().set_accepting(large, false);
    let now = Millis::secs(1);
    for number in 0..500 {
        let mut large = task(&format!("large-{number}"), 64, now);
        large.deadline = now + Millis::secs(6000);
        assert!(place(&mut scheduler, large, now).is_none());
    }
    let now = now + Millis(1);

    // Act: fill the other VM, queue one more task and finish one.
    let holds: Vec<_> = (0..SLOTS)
        .filter_map(|_| place(&mut scheduler, task("count", 1, now), now))
        .collect();
    let queued = place(&mut scheduler, task("count", 1, now), now);
    scheduler.finish(holds[0], now);
    let started = scheduler.place_next(now);

    // Assert
    assert_eq!(holds.len(), SLOTS as usize);
    assert!(queued.is_none());
    assert_eq!(started.expect("a slot is free").1.class, "count");
}

#[test]
fn tasks_over_quota_do_not_block_others() {
    // Arrange: one team has used up its quota and has another task queued.
    let mut scheduler = scheduler(1);
    let now = Millis::secs(1);
    let limit = Size {
        slots: 1,
        ..capacity()
    };
    let team = scheduler.quotas_mut().set(&Team::from("renders"), limit);
    let service = Service::from("renders");
    scheduler.quotas_mut().assign(&service, team);
    let team_task = |now| {
        let mut task = batch("render", 1, now);
        task.service = service.clone();
        task
    };
    assert!(place(&mut scheduler, team_task(now), now).is_some());
    assert!(place(&mut scheduler, team_task(now), now).is_none());
    let mut holds: Vec<_> = (0..7)
        .filter_map(|_| place(&mut scheduler, task("count", 1, now), now))
        .collect();
    assert!(place(&mut scheduler, task("count", 1, now), now).is_none());

    // Act
    scheduler.finish(holds.pop().expect("seven tasks were placed"), now);
    let started = scheduler.place_next(now);

    // Assert
    assert_eq!(started.expect("a slot is free").1.class, "count");
}

#[test]
fn task_larger_than_any_vm_is_refused_at_once() {
    let mut scheduler = scheduler(2);
    let now = Millis::secs(1);

    let outcome = scheduler.submit(batch("huge", 33, now), now);

    assert_eq!(outcome, SubmitOutcome::Refused(Reason::TooLarge));
}

#[test]
fn a_task_that_needs_a_whole_vm_starts_before_its_deadline() {
    // Arrange: small tasks fill all VMs, and two more arrive for each one that finishes.
    let mut scheduler = scheduler(3);
    let small = |now| {
        let mut task = task("small", 4, now);
        task.spec.urgency = Urgency::Normal;
        task.deadline = now + Millis::secs(5);
        task
    };
    let mut running: Vec<(Millis, HoldKey)> = Vec::new();
    let mut now = Millis::secs(1);
    let deadline = now + Millis::secs(600);
    for index in 0..3 * SLOTS {
        let hold = place(&mut scheduler, small(now), now).expect("all slots are free");
        running.push((now + Millis(50 + u64::from(index) * 7), hold));
    }
    assert!(place(&mut scheduler, batch("whole", 32, now), now).is_none());

    // Act
    let mut started = None;
    while started.is_none() && now < deadline {
        now += STEP;
        let (finished, still_running): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|run| run.0 <= now);
        running = still_running;
        for (_, hold) in finished {
            scheduler.finish(hold, now);
            for _ in 0..2 {
                let hold = place(&mut scheduler, small(now), now);
                running.extend(hold.map(|hold| (now + Millis(50), hold)));
            }
        }
        scheduler.expire(now);
        while let Some((_, task, placement)) = scheduler.place_next(now) {
            if task.class == "whole" {
                started = Some(now);
            }
            running.push((now + Millis(50), placement.hold));
        }
    }

    // Assert
    assert!(started.is_some_and(|time| time < deadline));
}

#[test]
fn measured_run_times_override_the_declared_one() {
    // Arrange
    let mut scheduler = scheduler(1);
    let mut now = Millis::secs(1);
    for _ in 0..20 {
        let hold =
            place(&mut scheduler, task("declared-short", 1, now), now).expect("a slot is free");
        now += Millis::secs(30);
        scheduler.finish(hold, now);
    }

    // Act
    place(&mut scheduler, task("declared-short", 1, now), now).expect("a slot is free");

    // Assert
    let (_, vm) = scheduler
        .fleet()
        .iter()
        .next()
        .expect("the scheduler has one VM");
    assert_eq!(vm.long_slots, 1);
}

#[test]
fn long_work_leaves_slots_for_the_peak_of_short_work() {
    // Arrange: three short tasks ran at the same time shortly before.
    let mut scheduler = scheduler(1);
    let now = Millis::secs(1);
    let holds: Vec<_> = (0..3)
        .filter_map(|_| place(&mut scheduler, task("count", 1, now), now))
        .collect();
    for hold in holds {
        scheduler.finish(hold, now + Millis(50));
    }

    // Act
    let now = now + Millis(100);
    let long = (0..SLOTS).filter(|_| place(&mut scheduler, batch("roof", 1, now), now).is_some());

    // Assert
    assert_eq!(long.count(), 5);
    for _ in 0..3 {
        assert!(place(&mut scheduler, task("count", 1, now), now).is_some());
    }
}

#[test]
fn task_that_cannot_start_in_time_is_refused_at_once() {
    // Arrange: one VM, tasks of 0.9 s each and a deadline of 1.4 s.
    let mut scheduler = scheduler(1);
    let now = Millis::secs(1);
    let slow = || {
        let mut task = task("slow", 1, now);
        task.spec.expected_run = Millis(900);
        task
    };

    // Act
    let outcomes: Vec<_> = (0..100).map(|_| scheduler.submit(slow(), now)).collect();

    // Assert: eight tasks run, a few are queued, the others are refused at once.
    let refused = |outcome: &&SubmitOutcome| **outcome == SubmitOutcome::Refused(Reason::Deadline);
    let queued = |outcome: &&SubmitOutcome| matches!(**outcome, SubmitOutcome::Queued(_));
    assert!(outcomes.iter().filter(queued).count() <= 2 * SLOTS as usize);
    assert!(outcomes.iter().filter(refused).count() >= 100 - 3 * SLOTS as usize);
    assert_eq!(
        outcomes.last(),
        Some(&SubmitOutcome::Refused(Reason::Deadline))
    );
}

#[test]
fn team_with_many_classes_cannot_fill_the_queue() {
    // Arrange: two teams with equal quotas, one slot each; one team queues tasks of 64 classes.
    let mut scheduler = scheduler(1);
    let now = Millis::secs(1);
    let limit = Size {
        slots: 1,
        ..capacity()
    };
    for name in ["greedy", "modest"] {
        let team = scheduler.quotas_mut().set(&Team::from(name), limit);
        scheduler.quotas_mut().assign(&Service::from(name), team);
    }
    let team_task = |service: &str, class: &str| {
        let mut task = batch(class, 1, now);
        task.service = Service::from(service);
        task
    };
    assert!(place(&mut scheduler, team_task("modest", "render"), now).is_some());
    for index in 0..25_000 {
        scheduler.submit(team_task("greedy", &format!("class-{}", index % 64)), now);
    }

    // Act
    let outcome = scheduler.submit(team_task("modest", "render"), now);

    // Assert
    assert!(matches!(outcome, SubmitOutcome::Queued(_)));
}
