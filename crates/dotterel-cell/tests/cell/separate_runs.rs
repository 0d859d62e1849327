//! Tasks that were lost with their VMs several times, long after they had started.

use std::collections::BTreeSet;

use dotterel_cell::vm::Caution;
use dotterel_cell::{JobId, JobRecord, JobState, VmKey};

use crate::crashing_vms::World;
use crate::support::{independent_tasks, size, task};

const SERVICES: u64 = 8;
/// Time for which the rules let a task wait that could run.
const MAX_WAIT: u64 = 3000;

fn service(cores: u32) -> JobRecord {
    let mut record = independent_tasks(1, 600_000);
    record.spec.steps[0].long_running = true;
    record.spec.steps[0].size = size(cores * 1000, 1024);
    record
}

/// Returns a world in which some services have lost their VMs three times, and have started again.
fn after_losses(vms: usize, services: u64, record: &JobRecord) -> World {
    let mut world = World::new(vms);
    for id in 0..services {
        world.submit(100 + id, record.clone());
    }
    for _ in 0..3 {
        world.run_for(15_000);
        for id in 0..services {
            world.crash_vms_of(100 + id, vms);
        }
    }
    world.run_for(15_000);
    world
}

fn started(world: &World, id: u64) -> bool {
    world.starts.contains_key(&task(id, 0))
}

/// Returns the VMs of the services.
fn hosts(world: &World, services: u64) -> Vec<VmKey> {
    let vms = world.bench.cell.vms();
    let runs = vms.flat_map(|(key, vm)| vm.runs.iter().map(move |run| (key, run)));
    let ids = 100..100 + services;
    let own = runs.filter(|(_, run)| ids.contains(&run.task.job.0));
    own.map(|(key, _)| key).collect()
}

// Guards against services that each keep a VM to themselves for good, so that accepted jobs of others are
// never started on VMs that are nearly idle.
#[test]
fn services_that_were_lost_often_share_their_vms() {
    let mut world = after_losses(8, SERVICES, &service(2));
    let runs = hosts(&world, SERVICES).len();

    for id in 0..10 {
        world.submit(id, independent_tasks(1, 300));
    }
    world.run_for(MAX_WAIT);

    assert_eq!(runs, 8, "all services are back");
    for id in 0..10 {
        let state = world.bench.cell.state(JobId(id));
        assert_eq!(state, Some(JobState::Completed), "job {id}");
    }
}

// Guards against such tasks that wait for each other, as there are more of them than VMs.
#[test]
fn more_tasks_than_vms_start_again() {
    let mut world = after_losses(3, 24, &service(2));
    world.run_for(MAX_WAIT);

    assert_eq!(hosts(&world, 24).len(), 24);
}

// The same for a batch job whose tasks go on for long.
#[test]
fn long_batch_tasks_that_were_lost_often_share_their_vms() {
    let mut world = after_losses(4, 4, &independent_tasks(8, 600_000));

    world.submit(1, independent_tasks(4, 1000));
    world.run_for(MAX_WAIT);

    assert!(started(&world, 1));
}

// The same for a gang, which needs room on several VMs at once.
#[test]
fn a_gang_starts_beside_services_that_were_lost_often() {
    let mut world = after_losses(4, 4, &service(2));
    let mut gang = independent_tasks(4, 1000);
    gang.spec.steps[0].gang = true;
    gang.spec.steps[0].size = size(20_000, 1024);

    world.submit(1, gang);
    world.run_for(MAX_WAIT);

    assert!(started(&world, 1));
}

// Guards against a crash late in a run that counts against other tasks which were lost before.
#[test]
fn tasks_that_were_lost_often_run_on_different_vms() {
    let world = after_losses(8, 4, &service(2));

    let hosts = hosts(&world, 4);
    let distinct: BTreeSet<VmKey> = hosts.iter().copied().collect();
    assert_eq!((hosts.len(), distinct.len()), (4, 4));
}

// Guards against a crash late in a run that takes other work along although there is room elsewhere.
#[test]
fn other_work_prefers_vms_without_tasks_that_were_lost_often() {
    let mut world = after_losses(4, 2, &service(2));
    let hosts = hosts(&world, 2);

    for id in 1..20 {
        world.submit(id, independent_tasks(1, 5000));
    }
    world.run_for(1000);

    for key in hosts {
        let vm = world.bench.cell.vm(key).expect("the VM is known");
        let cautions: Vec<Caution> = vm.runs.iter().map(|run| run.caution).collect();
        assert_eq!(cautions, [Caution::Separate]);
    }
    assert!((1..20).all(|id| started(&world, id)));
}

/// Time from the loss of a service's run until it has to run again, if it can.
const MAX_SERVICE_WAIT: u64 = 9000;

// Guards against a service that stands still since nobody can tell whether a VM that is lost for good has
// crashed.
#[test]
fn a_service_starts_again_after_a_vm_was_lost_for_good() {
    let mut world = World::new(8);
    world.submit(100, service(2));
    for _ in 0..2 {
        world.run_for(15_000);
        world.crash_vms_of(100, 8);
    }
    world.run_for(15_000);

    world.lose_vms_of(100);
    world.run_for(MAX_SERVICE_WAIT);

    assert_eq!(hosts(&world, 1).len(), 1);
}

// Guards against more starts of a task that crashes its VMs for good than of one whose VMs return.
#[test]
fn a_task_that_destroys_its_vms_is_given_up() {
    let mut world = World::new(12);
    world.submit(100, independent_tasks(1, 600_000));

    for _ in 0..600 {
        world.run_for(100);
        world.lose_vms_of(100);
    }

    assert_eq!(world.bench.cell.state(JobId(100)), Some(JobState::Failed));
    let starts = world.starts[&task(100, 0)];
    assert!(starts <= 5, "{starts} VMs lost");
}

// Guards against giving up a sound task whose VMs lose power one after the other while it goes on for seconds.
#[test]
fn a_service_is_not_given_up_for_losses_long_after_its_starts() {
    let mut world = World::new(8);
    world.submit(100, service(2));

    for _ in 0..8 {
        world.run_for(12_000);
        world.crash_vms_of(100, 8);
    }
    world.run_for(12_000);

    let state = world.bench.cell.state(JobId(100));
    assert_eq!(state, Some(JobState::Running));
    assert_eq!(hosts(&world, 1).len(), 1);
}

// Guards against blaming a task for VMs that fall silent within a second of its start: only their last replies
// tell when they were up.
#[test]
fn a_task_is_not_given_up_for_two_vms_that_lose_power() {
    let mut world = World::new(8);
    world.submit(100, independent_tasks(1, 4000));

    for losses in 1..=2 {
        while world.starts.get(&task(100, 0)) != Some(&losses) {
            world.run_for(50);
        }
        world.run_for(50);
        world.darken_vms_of(100);
    }
    world.run_for(20_000);

    let state = world.bench.cell.state(JobId(100));
    assert_eq!(state, Some(JobState::Completed));
}

// Guards against a suspect that waits for ever for a VM on which nothing has just started, as other work keeps
// starting on all of them.
#[test]
fn a_suspect_starts_although_other_work_keeps_starting() {
    let mut world = World::new(2);
    world.submit(100, independent_tasks(1, 60_000));
    world.run_for(100);
    world.darken_vms_of(100);

    let mut flood = independent_tasks(2, 150);
    flood.spec.steps[0].max_per_vm = 1;
    flood.spec.steps[0].size = size(1000, 100);
    for id in 1000..1170 {
        world.submit(id, flood.clone());
        world.run_for(50);
    }

    assert_eq!(world.starts[&task(100, 0)], 2);
}
