//! What the standard policy promises about waiting.

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
fn work_that_no_vm_can_take_blocks_nobody() {
    // Arrange: the only VM that could hold the large tasks is leaving.
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

    // Act: fill the other VM, queue one more and end one.
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
fn work_over_its_quota_blocks_nobody() {
    // Arrange: one team has used its quota up and has more work queued.
    let mut scheduler = scheduler(1);
    let now = Millis::secs(1);
    let limit = Size {
        slots: 1,
        ..capacity()
    };
    let team = scheduler.quotas_mut().set(&Team::from("renders"), limit);
    let service = Service::from("renders");
    scheduler.quotas_mut().assign(&service, team);
    let mine = |now| {
        let mut task = batch("render", 1, now);
        task.service = service.clone();
        task
    };
    assert!(place(&mut scheduler, mine(now), now).is_some());
    assert!(place(&mut scheduler, mine(now), now).is_none());
    let mut holds: Vec<_> = (0..7)
        .filter_map(|_| place(&mut scheduler, task("count", 1, now), now))
        .collect();
    assert!(place(&mut scheduler, task("count", 1, now), now).is_none());

    // Act
    scheduler.finish(holds.pop().expect("seven were placed"), now);
    let started = scheduler.place_next(now);

    // Assert
    assert_eq!(started.expect("a slot is free").1.class, "count");
}

#[test]
fn work_larger_than_any_vm_is_refused_at_once() {
    let mut scheduler = scheduler(2);
    let now = Millis::secs(1);

    let answer = scheduler.submit(batch("huge", 33, now), now);

    assert_eq!(answer, SubmitOutcome::Refused(Reason::TooLarge));
}

#[test]
fn a_task_that_needs_a_whole_vm_starts_before_its_deadline() {
    // Arrange: small tasks fill all VMs and each one that ends is followed by two.
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
        let hold = place(&mut scheduler, small(now), now).expect("room for all");
        running.push((now + Millis(50 + u64::from(index) * 7), hold));
    }
    assert!(place(&mut scheduler, batch("whole", 32, now), now).is_none());

    // Act
    let mut started = None;
    while started.is_none() && now < deadline {
        now += STEP;
        let (ended, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|run| run.0 <= now);
        running = left;
        for (_, hold) in ended {
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
fn a_class_that_runs_long_counts_as_long_whatever_it_declares() {
    // Arrange
    let mut scheduler = scheduler(1);
    let mut now = Millis::secs(1);
    for _ in 0..20 {
        let hold = place(&mut scheduler, task("declared-short", 1, now), now).expect("room");
        now += Millis::secs(30);
        scheduler.finish(hold, now);
    }

    // Act
    place(&mut scheduler, task("declared-short", 1, now), now).expect("room");

    // Assert
    let (_, vm) = scheduler.fleet().iter().next().expect("one VM");
    assert_eq!(vm.long_slots, 1);
}

#[test]
fn long_work_leaves_the_slots_that_short_work_used() {
    // Arrange: three short tasks at a time, a moment ago.
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
fn what_cannot_start_in_time_is_refused_at_once() {
    // Arrange: one VM, tasks of a second each, and a deadline of 1.4 s.
    let mut scheduler = scheduler(1);
    let now = Millis::secs(1);
    let slow = || {
        let mut task = task("slow", 1, now);
        task.spec.expected_run = Millis(900);
        task
    };

    // Act
    let answers: Vec<_> = (0..100).map(|_| scheduler.submit(slow(), now)).collect();

    // Assert: eight run, a few wait, the rest is told now.
    let refused = |answer: &&SubmitOutcome| **answer == SubmitOutcome::Refused(Reason::Deadline);
    let queued = |answer: &&SubmitOutcome| matches!(**answer, SubmitOutcome::Queued(_));
    assert!(answers.iter().filter(queued).count() <= 2 * SLOTS as usize);
    assert!(answers.iter().filter(refused).count() >= 100 - 3 * SLOTS as usize);
    assert_eq!(
        answers.last(),
        Some(&SubmitOutcome::Refused(Reason::Deadline))
    );
}

#[test]
fn a_team_with_many_classes_leaves_queue_room_to_others() {
    // Arrange: two teams with equal quotas, both used up; one queues work of 64 classes.
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
    let work = |service: &str, class: &str| {
        let mut task = batch(class, 1, now);
        task.service = Service::from(service);
        task
    };
    assert!(place(&mut scheduler, work("modest", "render"), now).is_some());
    for index in 0..25_000 {
        scheduler.submit(work("greedy", &format!("class-{}", index % 64)), now);
    }

    // Act
    let answer = scheduler.submit(work("modest", "render"), now);

    // Assert
    assert!(matches!(answer, SubmitOutcome::Queued(_)));
}
