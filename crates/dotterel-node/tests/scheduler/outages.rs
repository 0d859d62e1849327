//! A store that is silent, slow, or rejects the leader.

use std::rc::Rc;
use std::time::Duration;

use compact_str::format_compact;
use dotterel_cell::record;
use dotterel_kernel::Millis;
use dotterel_node::election::{LEADER_KEY, LeaderRow, RENEWAL_KEY};
use dotterel_node::link::{CellNo, SchedulerMessage};
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep, timeout};

use crate::support::{OneVm, connect, follow, next_message, run, start_scheduler, submit};

/// Pattern: callers wait for an outage of the store to end, and the scheduler waits for the reply to
/// a transaction that was lost in it.
#[test]
fn a_silent_store_is_used_again_as_soon_as_it_replies() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        submit(&mut front, 1).await;
        platform.store_silent.set(true);
        sleep(Duration::from_millis(900)).await;
        platform.store_silent.set(false);
        let ended_at = Instant::now();

        submit(&mut front, 2).await;

        let waited = ended_at.elapsed();
        assert!(
            waited < Duration::from_millis(600),
            "accepted after {waited:?}"
        );
    });
}

/// Pattern: the store is slow, so that a new leader needs seconds to restore the cell's state; the
/// fronts take it for dead and take over one after the other.
#[test]
fn waiting_fronts_are_told_that_the_state_is_being_restored() {
    let platform = OneVm::new();
    platform.store_delay.set(Millis(700));
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        let mut last = Instant::now();
        let mut longest = Duration::ZERO;

        let welcome = loop {
            let message = next_message(&mut front).await;
            longest = longest.max(last.elapsed());
            last = Instant::now();
            match message {
                SchedulerMessage::Pong { store_available } => assert!(store_available),
                other => break other,
            }
        };

        assert!(matches!(welcome, SchedulerMessage::Welcome { .. }));
        assert!(
            longest < dotterel_node::link::IDLE_TIMEOUT.duration(),
            "no message for {longest:?}"
        );
    });
}

/// Pattern: a planned stop of the leader while the store is slow leaves the callers without a
/// scheduler for seconds.
#[test]
fn a_planned_stop_keeps_the_leadership_while_the_store_is_slow() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        platform.store_delay.set(Millis(200));
        submit(&mut front, 1).await;
        let release = scheduler.host.release_all(Millis(3000));
        let watch = async {
            sleep(Duration::from_millis(800)).await;
            let kept = scheduler.host.leads(CellNo(0));
            platform.store_delay.set(Millis(5));
            kept
        };

        let started_at = Instant::now();
        let ((), kept) = futures_util::future::join(release, watch).await;

        assert!(kept, "released while the store was slow");
        assert!(started_at.elapsed() < Duration::from_millis(2500));
    });
}

#[test]
fn a_planned_stop_gives_up_waiting_for_a_slow_store() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        platform.store_delay.set(Millis(200));
        submit(&mut front, 1).await;

        let started_at = Instant::now();
        scheduler.host.release_all(Millis(600)).await;

        assert!(started_at.elapsed() < Duration::from_millis(2200));
    });
}

#[test]
fn fronts_are_told_without_asking_when_the_store_rejects_the_leader() {
    let platform = OneVm::new();
    run(async {
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;
        submit(&mut front, 1).await;
        platform.store_rejects.set(true);
        let since = Instant::now();

        while !matches!(
            next_message(&mut front).await,
            SchedulerMessage::Pong {
                store_available: false
            }
        ) {}

        // Renewals are 400 ms apart, and the report follows 250 ms after the first rejection.
        assert!(since.elapsed() < Duration::from_millis(1200));
    });
}

/// Submits a job while the store loses something, and returns how long its acceptance takes.
async fn time_to_accept(platform: &Rc<OneVm>, lose: impl Fn(&OneVm)) -> Duration {
    let scheduler = start_scheduler(platform).await;
    let mut front = connect(&scheduler.address).await;
    submit(&mut front, 1).await;
    // Renewals are transactions as well.
    sleep(Duration::from_millis(100)).await;
    lose(platform);
    let since = Instant::now();
    submit(&mut front, 2).await;
    since.elapsed()
}

/// Pattern: a third of the store's replies is lost, and callers wait for the timeout of each
/// transaction, or are refused.
#[test]
fn a_transaction_whose_reply_is_lost_is_found_by_a_read() {
    let platform = OneVm::new();
    run(async {
        let waited = time_to_accept(&platform, |platform| platform.lost_replies.set(1)).await;

        assert!(waited < Duration::from_millis(400), "after {waited:?}");
    });
}

#[test]
fn a_lost_transaction_is_sent_again_once_the_store_has_replied_to_a_read() {
    let platform = OneVm::new();
    run(async {
        let waited = time_to_accept(&platform, |platform| platform.lost_transactions.set(1)).await;

        assert!(waited < Duration::from_millis(400), "after {waited:?}");
    });
}

/// Accepts links and never replies, like a node without power. Returns its address.
async fn silent_node() -> String {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    tokio::task::spawn_local(async move {
        let mut links = Vec::new();
        while let Ok((link, _)) = listener.accept().await {
            links.push(link);
        }
    });
    address.to_string()
}

/// Pattern: a leader is replaced, and the nodes that still watch its row replace its successor while
/// that restores the state.
#[test]
fn a_node_follows_a_successor_instead_of_replacing_it() {
    let platform = OneVm::new();
    run(async {
        let silent = silent_node().await;
        let successor = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let address = successor.local_addr().expect("it has an address");
        let host = follow(&platform, &silent);
        sleep(Duration::from_millis(100)).await;
        let leader = LeaderRow {
            node: "entry-8".into(),
            incarnation: 1,
            address: format_compact!("{address}"),
            term: 2,
            acquired_at: Millis::ZERO,
            released: false,
            largest_node: 1000,
        };
        platform.put_role(LEADER_KEY, &record::encode(&leader));

        let linked = timeout(Duration::from_secs(3), successor.accept()).await;

        assert!(linked.is_ok(), "the node links to the successor");
        assert!(!host.leads(CellNo(0)));
    });
}

/// Pattern: replies of the store are lost, and the cell has no scheduler for the timeouts of the
/// takeover.
#[test]
fn a_takeover_whose_reply_is_lost_is_found_by_a_read() {
    let platform = OneVm::new();
    run(async {
        let address = silent_node().await;
        platform.lost_replies.set(1);
        let since = Instant::now();

        let host = follow(&platform, &address);
        while !host.leads(CellNo(0)) && since.elapsed() < Duration::from_secs(5) {
            sleep(Duration::from_millis(5)).await;
        }

        // The silence of the link, unchanged renewals, and the lost reply.
        let waited = since.elapsed();
        assert!(waited < Duration::from_millis(1500), "after {waited:?}");
    });
}

#[test]
fn lanes_whose_replies_are_lost_delay_the_recovery_by_a_read_only() {
    let platform = OneVm::new();
    run(async {
        platform.lost_replies.set(3);
        let since = Instant::now();
        let scheduler = start_scheduler(&platform).await;
        let mut front = connect(&scheduler.address).await;

        submit(&mut front, 1).await;

        let waited = since.elapsed();
        assert!(waited < Duration::from_millis(600), "after {waited:?}");
    });
}

/// Guards against a wait that is too short: a successor counts leases from when it saw the renewal row
/// for the first time, so its takeover has to fail if that row has changed since.
#[test]
fn a_takeover_of_a_silent_leader_expects_its_renewal_unchanged() {
    let platform = OneVm::new();
    run(async {
        let address = silent_node().await;
        let _host = follow(&platform, &address);
        while platform.expected_keys.borrow().is_empty() {
            sleep(Duration::from_millis(1)).await;
        }

        let transactions = platform.expected_keys.take();

        assert_eq!(transactions[0], [LEADER_KEY, RENEWAL_KEY]);
    });
}

/// Pattern: the leader's node loses power just after an outage of the store, and the others still wait
/// for it to recover.
#[test]
fn a_leader_lost_in_an_outage_is_replaced_soon_after_it() {
    let platform = OneVm::new();
    run(async {
        let address = silent_node().await;
        let host = follow(&platform, &address);
        sleep(Duration::from_millis(100)).await;
        platform.store_silent.set(true);
        sleep(Duration::from_millis(1500)).await;
        platform.store_silent.set(false);
        let ended_at = Instant::now();

        while !host.leads(CellNo(0)) && ended_at.elapsed() < Duration::from_secs(5) {
            sleep(Duration::from_millis(20)).await;
        }

        // A read in flight, the next one, and the time that the leader has to recover.
        let waited = ended_at.elapsed();
        assert!(waited < Duration::from_millis(2100), "after {waited:?}");
    });
}
