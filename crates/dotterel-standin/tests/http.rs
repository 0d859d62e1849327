//! The errors of the HTTP clients state whether a failed call may have had an effect.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use dotterel_kernel::{Clock, Epoch, Incarnation, Millis, Size, TaskId};
use dotterel_platform::{
    AcquireRequest, AcquireResponse, CallError, Commit, HttpStore, HttpTable, HttpUpstream,
    HttpVmList, Limits, Listing, ObjectStore, Owner, Refusal, StartRequest, StartResponse, Table,
    TaskState, Traffic, Upstream, Version, VmList, Write,
};
use dotterel_standin::{ANY_CALLER, Cluster, checker};

const LIMITS: Limits = Limits {
    connect_timeout: Millis(1000),
    call_timeout: Millis(2000),
    max_connections: 4,
};

const CAPACITY: Size = Size {
    milli_cores: 8000,
    memory_mb: 8192,
    accelerators: 0,
    slots: 8,
    connections: 64,
};

async fn cluster() -> Cluster {
    Cluster::builder(Clock::system())
        .workers("dc1", "r1", 1, CAPACITY)
        .start()
        .await
        .expect("loopback has free ports")
}

fn table(cluster: &Cluster) -> HttpTable {
    HttpTable::new(cluster.platform_addr(), &"a".into(), LIMITS)
}

fn upstream(cluster: &Cluster) -> HttpUpstream {
    HttpUpstream::new(cluster.worker_addrs()[0], &"a".into(), LIMITS)
}

async fn acquire_lease(upstream: &HttpUpstream) -> Epoch {
    let request = AcquireRequest {
        owner: Owner {
            node: "a".into(),
            incarnation: Incarnation(1),
        },
        ttl: Millis::secs(60),
    };
    match upstream.acquire(&request).await {
        Ok(AcquireResponse::Granted(grant)) => grant.epoch,
        other => panic!("{other:?}"),
    }
}

fn start(epoch: Epoch) -> StartRequest {
    StartRequest {
        epoch,
        task: TaskId::generate(),
        request: None,
        job: None,
        service: "quotes".into(),
        class: "count".into(),
        size: Size {
            slots: 1,
            ..Size::ZERO
        },
        task_ttl: Millis::secs(60),
        timeout: Millis::secs(60),
    }
}

fn put(key: &str) -> Vec<Write> {
    vec![Write {
        key: key.into(),
        expect: Version::ABSENT,
        value: Some(Bytes::from_static(b"value")),
    }]
}

/// Returns a loopback address that nothing listens on.
fn closed_addr() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("the listener is bound")
}

#[tokio::test]
async fn the_platform_is_served_over_http() {
    let cluster = cluster().await;
    let (addr, node) = (cluster.platform_addr(), "a".into());
    let store = HttpStore::new(addr, &node, LIMITS);
    let vms = HttpVmList::new(addr, &node, LIMITS);
    let table = table(&cluster);

    let commit = table.commit(&put("k")).await;
    let row = table.get("k").await;
    let rows = table.scan("", "", 9).await;
    let stored = store.put("o", Bytes::from_static(b"x")).await;
    let names = store.list("", "", 9).await;
    let object = store.get("o").await;
    let listing = vms.list().await;
    let changes = vms.changes(&[]).await;

    assert!(matches!(commit, Ok(Commit::Applied(_))));
    assert_eq!(rows, row.map(|row| row.into_iter().collect()));
    assert_eq!(stored, Ok(()));
    assert_eq!(names, Ok(vec!["o".into()]));
    assert_eq!(object, Ok(Some(Bytes::from_static(b"x"))));
    assert!(matches!(&listing, Ok(listing) if listing.vms[0].id == "dc1-w001"));
    let mut known = Listing::default();
    known.apply(changes.expect("no fault is set"));
    assert_eq!(known.vms, listing.expect("no fault is set").vms);
    let unchanged = vms.changes(&known.hashes()).await;
    assert!(unchanged.is_ok_and(|changes| changes.data_centres.is_empty()));
}

#[tokio::test]
async fn a_refused_connection_is_reported_as_not_sent() {
    let table = HttpTable::new(closed_addr(), &"a".into(), LIMITS);

    let commit = table.commit(&put("k")).await;

    assert!(matches!(commit, Err(CallError::NotSent(_))), "{commit:?}");
}

#[tokio::test]
async fn an_outage_is_reported_as_unavailable() {
    let cluster = cluster().await;
    cluster
        .table()
        .set_faults(|faults| faults.down_until = Millis::MAX);

    let commit = table(&cluster).commit(&put("k")).await;

    assert!(
        matches!(commit, Err(CallError::Unavailable(_))),
        "{commit:?}"
    );
    assert_eq!(cluster.table().peek(""), []);
}

#[tokio::test]
async fn a_lost_reply_has_an_unknown_outcome() {
    let cluster = cluster().await;
    cluster.table().set_faults(|faults| faults.lose_answers = 1);

    let commit = table(&cluster).commit(&put("k")).await;

    assert!(matches!(commit, Err(CallError::Unknown(_))), "{commit:?}");
    assert_eq!(cluster.table().peek("").len(), 1);
}

#[tokio::test]
async fn a_dropped_call_has_an_unknown_outcome() {
    let cluster = cluster().await;
    cluster.table().set_faults(|faults| faults.drop_calls = 1);

    let commit = table(&cluster).commit(&put("k")).await;

    assert!(matches!(commit, Err(CallError::Unknown(_))), "{commit:?}");
    assert_eq!(cluster.table().peek(""), []);
}

#[tokio::test]
async fn a_truncated_reply_has_an_unknown_outcome() {
    let cluster = cluster().await;
    let upstream = upstream(&cluster);
    let epoch = acquire_lease(&upstream).await;
    let worker = &cluster.workers()[0];
    worker.set_faults(|faults| faults.truncate = true);
    let start = start(epoch);

    let cut = upstream.run(&start, Bytes::from(vec![7; 10_000])).await;
    worker.set_faults(|faults| faults.truncate = false);
    let state = upstream.state(start.task).await;

    assert!(matches!(cut, Err(CallError::Unknown(_))), "{cut:?}");
    assert!(matches!(state, Ok(TaskState::Finished(answer)) if answer.body.len() == 10_000));
}

#[tokio::test]
async fn a_call_to_an_unresponsive_platform_times_out_as_unknown() {
    let cluster = cluster().await;
    let table = table(&cluster);
    cluster
        .table()
        .set_faults(|faults| faults.silent.push(ANY_CALLER.into()));

    let silent = table.commit(&put("k")).await;
    cluster.table().set_faults(|faults| faults.silent.clear());
    let later = table.commit(&put("k")).await;

    assert!(matches!(silent, Err(CallError::Unknown(_))), "{silent:?}");
    assert!(matches!(later, Ok(Commit::Applied(_))), "{later:?}");
}

#[tokio::test]
async fn stalled_connections_are_replaced() {
    let cluster = cluster().await;
    let table = table(&cluster);
    table.get("k").await.expect("no fault is set");
    cluster.stall_platform();

    let stalled = table.get("k").await;
    let replaced = table.get("k").await;

    assert!(matches!(stalled, Err(CallError::Unknown(_))), "{stalled:?}");
    assert_eq!(replaced, Ok(None));
}

#[tokio::test]
async fn a_run_on_a_stalled_connection_still_gets_its_answer() {
    let cluster = cluster().await;
    let upstream = upstream(&cluster);
    let start = start(acquire_lease(&upstream).await);
    let body = Bytes::from_static(br#"{"run_ms":3000}"#);
    let stall = async {
        while checker::runs(&cluster.workers()).is_empty() {
            tokio::task::yield_now().await;
        }
        cluster.stall_worker(0);
    };

    let (outcome, ()) = tokio::join!(upstream.run(&start, body.clone()), stall);

    let Ok(StartResponse::Finished(answer)) = outcome else {
        panic!("{outcome:?}");
    };
    assert_eq!(answer.body, body);
    assert_eq!(checker::runs(&cluster.workers()).len(), 1);
}

#[tokio::test]
async fn a_run_that_never_arrived_is_unknown_and_can_be_barred() {
    let cluster = cluster().await;
    let upstream = upstream(&cluster);
    let start = start(acquire_lease(&upstream).await);
    // This run leaves an idle connection behind, which is stalled before the next run uses it.
    let warmup = StartRequest {
        task: TaskId::generate(),
        ..start.clone()
    };
    upstream
        .run(&warmup, Bytes::new())
        .await
        .expect("no fault is set");
    cluster.stall_worker(0);

    let lost = upstream.run(&start, Bytes::new()).await;
    let stopped = upstream.stop(start.task).await;
    let again = upstream.run(&start, Bytes::new()).await;

    assert!(matches!(lost, Err(CallError::Unknown(_))), "{lost:?}");
    assert_eq!(stopped, Ok(dotterel_platform::StopResponse::Barred));
    assert_eq!(again, Ok(StartResponse::Refused(Refusal::Stopped)));
    assert_eq!(checker::runs(&cluster.workers()).len(), 1);
}

#[tokio::test]
async fn runs_beyond_the_connection_limit_are_not_sent() {
    let cluster = cluster().await;
    let upstream = upstream(&cluster);
    let epoch = acquire_lease(&upstream).await;
    let long = Bytes::from_static(br#"{"run_ms":60000}"#);
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..LIMITS.max_connections {
        let (upstream, start, body) = (upstream.clone(), start(epoch), long.clone());
        running.spawn(async move { upstream.run(&start, body).await });
    }
    while cluster.workers()[0].used().slots < 4 {
        tokio::task::yield_now().await;
    }

    let beyond = upstream.run(&start(epoch), long).await;

    assert!(matches!(beyond, Err(CallError::NotSent(_))), "{beyond:?}");
    assert_eq!(cluster.workers()[0].used().slots, 4);
}

#[tokio::test]
async fn a_client_counts_its_calls_and_bytes() {
    const BODY: u64 = 10_000;
    let cluster = cluster().await;
    let traffic = Arc::new(Traffic::default());
    let store = HttpStore::new(cluster.platform_addr(), &"a".into(), LIMITS).with_traffic(&traffic);

    let put = store.put("x", vec![0; BODY as usize].into()).await;
    let (sent, received) = (traffic.bytes_sent(), traffic.bytes_received());
    let got = store.get("x").await;

    assert_eq!(put, Ok(()));
    assert!(sent > BODY && received < BODY, "{sent} {received}");
    assert!(got.is_ok_and(|value| value.is_some()));
    assert!(traffic.bytes_received() > BODY, "{traffic:?}");
    assert_eq!(traffic.calls(), 2);
}
