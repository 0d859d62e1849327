//! Planned stops.

use std::time::Duration;

use dotterel_standin::checker;
use http::StatusCode;

use crate::support::{DOCUMENT, TestBed, wait_until, wait_until_converged};

const PATH: &str = "/v1/services/quotes/requests/bracket-count";

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_completes_requests_and_hands_over_leases() {
    let testbed = TestBed::start(4).await;
    let (mut a, b) = (
        testbed.start_entry("entry-a"),
        testbed.start_entry("entry-b"),
    );
    wait_until_converged(&testbed, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;
    let bodies: Vec<String> = (0..24)
        .map(|number| format!("{{\"run_ms\": 1500, \"index\": {number}}}"))
        .collect();

    let at_a = a.post_all(PATH, &bodies[..16]);
    let at_b = b.post_all(PATH, &bodies[16..]);
    let stop = async {
        // By then all requests are in flight and their tasks are running on the workers.
        wait_until(async || checker::runs(&testbed.cluster.workers()).len() == bodies.len()).await;
        a.terminate();
        wait_until(async || b.status().await.vms.len() == 4).await;
    };
    let (at_a, at_b, ()) = tokio::join!(at_a, at_b, stop);

    for (response, body) in at_a.iter().chain(&at_b).zip(&bodies) {
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert_eq!(response.body, body.as_bytes());
    }
    assert_eq!(a.wait_for_exit().await, Some(0));
    let workers = testbed.cluster.workers();
    assert_eq!(checker::over_capacity(&workers), Vec::new());
    assert_eq!(checker::runs(&workers).len(), bodies.len(), "each ran once");
    wait_until(async || {
        b.account()
            .await
            .lines
            .first()
            .is_some_and(|line| line.ran == 24)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_is_not_ready_but_still_serves_new_requests() {
    let testbed = TestBed::start(2).await;
    let (mut a, b) = (
        testbed.start_entry("entry-a"),
        testbed.start_entry("entry-b"),
    );
    wait_until_converged(&testbed, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;
    let slow = [r#"{"run_ms": 1000}"#.to_owned()];

    let in_flight = a.post_all(PATH, &slow);
    let late = async {
        wait_until(async || !checker::runs(&testbed.cluster.workers()).is_empty()).await;
        a.terminate();
        wait_until(async || a.get("/readyz").await.status == StatusCode::SERVICE_UNAVAILABLE).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        a.post(PATH, &[], "{}").await
    };
    let (in_flight, late) = tokio::join!(in_flight, late);

    assert_eq!(in_flight[0].status, StatusCode::OK);
    assert_eq!(late.status, StatusCode::OK, "{late:?}");
    assert_eq!(a.wait_for_exit().await, Some(0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_leaves_no_gap_in_the_account() {
    let testbed = TestBed::start(2).await;
    let (mut a, b) = (
        testbed.start_entry("entry-a"),
        testbed.start_entry("entry-b"),
    );
    wait_until_converged(&testbed, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;
    let response = a.post(PATH, &[], "{}").await;
    assert_eq!(response.status, StatusCode::OK, "{response:?}");

    a.terminate();
    assert_eq!(a.wait_for_exit().await, Some(0));
    wait_until(async || b.status().await.peers.iter().all(|peer| !peer.alive)).await;
    let account = b.account().await;

    assert_eq!(account.gaps, Vec::new());
    assert_eq!(
        account.lines.first().map(|line| line.ran),
        Some(1),
        "{account:?}"
    );
}
