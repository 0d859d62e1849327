//! A leader that is deposed, paused, flooded with changes, or receives what it can't read.

use std::time::Duration;

use dotterel_node::link::CellNo;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::support::{OneVm, connect, run, start_scheduler, submit, submit_sized};

#[test]
fn a_leader_that_a_vm_rejects_sends_no_further_orders() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        submit(&mut front, 1).await;
        sleep(Duration::from_millis(150)).await;
        let before = platform.starts.get();
        platform.fenced.set(true);
        submit(&mut front, 2).await;
        sleep(Duration::from_millis(600)).await;

        assert_eq!(platform.starts.get(), before + 1, "only the rejected one");
        assert!(!scheduler.host.leads(CellNo(0)));
    });
}

/// Pattern: the leader's process is paused; meanwhile another node may have taken over.
#[test]
fn a_leader_starts_nothing_after_a_pause_until_its_leadership_is_confirmed() {
    let platform = OneVm::new();
    platform.runs_last.set(true);
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        submit_sized(&mut front, 1, 16_000).await;
        submit_sized(&mut front, 2, 16_000).await;
        sleep(Duration::from_millis(300)).await;
        assert_eq!(platform.starts.get(), 1, "the VM has no room for the other");
        platform.store_silent.set(true);
        std::thread::sleep(Duration::from_millis(1200));
        platform.finish_runs();
        sleep(Duration::from_millis(1000)).await;
        let unconfirmed = platform.starts.get();
        platform.store_silent.set(false);
        sleep(Duration::from_millis(1500)).await;

        assert_eq!(unconfirmed, 1, "the store has not confirmed the leadership");
        assert_eq!(platform.starts.get(), 2);
    });
}

#[test]
fn a_malformed_message_ends_only_its_link() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        for bytes in [&[0xff; 64][..], &[0, 0, 0, 3, 9, 9, 9], &[0, 0]] {
            let mut stranger = TcpStream::connect(scheduler.address.as_str())
                .await
                .expect("it listens");
            stranger.write_all(bytes).await.expect("it reads");
            let mut peer = connect(&scheduler.address).await;
            peer.write_all(bytes).await.expect("it reads");
        }
        sleep(Duration::from_millis(100)).await;

        submit(&mut front, 1).await;

        assert!(scheduler.host.leads(CellNo(0)));
    });
}

#[test]
fn a_panic_in_a_task_of_the_scheduler_ends_its_term_alone() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        submit(&mut front, 1).await;

        platform.panics.set(true);
        sleep(Duration::from_millis(1000)).await;

        assert!(!scheduler.host.leads(CellNo(0)), "another node takes over");
    });
}

/// Pattern: thousands of VMs write more heartbeats between two polls than a response holds; the leader
/// falls behind and starts tasks on VMs that have announced that they leave.
#[test]
fn a_full_response_of_the_registry_is_followed_by_the_next_soon() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        submit(&mut front, 1).await;
        platform.registry_backlog.set(6);

        sleep(Duration::from_millis(1500)).await;

        assert_eq!(platform.registry_backlog.get(), 0);
    });
}
