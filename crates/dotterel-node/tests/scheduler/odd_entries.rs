//! Registry entries that another writer has left under the id of a VM.

use std::time::Duration;

use dotterel_cell::VmInfo;
use tokio::time::sleep;

use crate::support::run_paused;
use crate::two_leaders::{TASK, lead, store_job};
use crate::world::{World, address, vm_info};

/// Returns entries under the id `near` that don't hold.
fn odd_entries() -> [VmInfo; 4] {
    let later = VmInfo {
        incarnation: 8,
        ..vm_info("near")
    };
    let moved = VmInfo {
        address: address("far"),
        ..vm_info("near")
    };
    let both = VmInfo {
        address: address("far"),
        ..later.clone()
    };
    let nowhere = VmInfo {
        address: address("nowhere"),
        ..later.clone()
    };
    [later, moved, both, nowhere]
}

/// Guards against a task that runs twice: an odd entry under a VM's id released what ran there.
#[test]
fn an_odd_entry_of_a_running_vm_starts_nothing_elsewhere() {
    for entry in odd_entries() {
        run_paused(async {
            let world = World::new();
            store_job(&world);
            world.add_vm("near");
            let view = world.view();
            let _leader = lead(&view, "entry-1", 1).await;
            sleep(Duration::from_secs(3)).await;
            world.add_vm("far");
            sleep(Duration::from_secs(1)).await;

            world.odd_entry.replace(Some(entry.clone()));
            sleep(Duration::from_secs(12)).await;
            world.odd_entry.replace(None);
            sleep(Duration::from_secs(2)).await;

            assert_eq!(*world.overlaps.borrow(), Vec::<String>::new(), "{entry:?}");
            assert_eq!(world.starts.borrow().len(), 1, "{entry:?}");
            assert_eq!(world.vms_running(TASK), ["near"]);
        });
    }
}

/// Guards against a successor that reads an odd entry as the end of what an earlier term started.
#[test]
fn a_successor_adopts_the_run_of_a_vm_with_an_odd_entry() {
    for entry in odd_entries() {
        run_paused(async {
            let world = World::new();
            store_job(&world);
            world.add_vm("near");
            let (old, new) = (world.view(), world.view());
            let _first = lead(&old, "entry-1", 1).await;
            sleep(Duration::from_secs(3)).await;
            world.add_vm("far");
            sleep(Duration::from_secs(1)).await;

            world.odd_entry.replace(Some(entry.clone()));
            let _second = lead(&new, "entry-2", 2).await;
            sleep(Duration::from_secs(12)).await;

            assert_eq!(*world.overlaps.borrow(), Vec::<String>::new(), "{entry:?}");
            assert_eq!(world.starts.borrow().len(), 1, "{entry:?}");
            assert_eq!(world.vms_running(TASK), ["near"]);
        });
    }
}

/// Guards against a restarted VM that is found late, as it isn't polled when its entry is read.
#[test]
fn a_restart_is_found_when_the_registry_shows_it() {
    /// The registry is read every 400 ms; the rest is for the calls.
    const LIMIT: Duration = Duration::from_millis(450);
    for down_ms in (1600..3000).step_by(100) {
        run_paused(async {
            let world = World::new();
            store_job(&world);
            world.add_vm("near");
            let view = world.view();
            let _leader = lead(&view, "entry-1", 1).await;
            sleep(Duration::from_secs(3)).await;
            world.add_vm("far");
            sleep(Duration::from_secs(1)).await;

            world.crash_vm("near");
            sleep(Duration::from_millis(down_ms)).await;
            world.restart_vm("near");
            sleep(LIMIT).await;

            assert_eq!(*world.overlaps.borrow(), Vec::<String>::new());
            assert_eq!(world.vms_running(TASK).len(), 1, "down for {down_ms} ms");
        });
    }
}
