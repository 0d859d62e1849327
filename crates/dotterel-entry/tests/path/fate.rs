//! The fates reported to callers are true.

use dotterel_kernel::{Fate, Millis, Reason};
use dotterel_standin::checker;
use http::StatusCode;

use crate::support::{DOCUMENT, EntryProcess, TestBed, wait_until, wait_until_converged};

const REPEATABLE_PATH: &str = "/v1/services/quotes/requests/bracket-count";
const ORDER_PATH: &str = "/v1/services/quotes/requests/roof-order";

async fn one_node(document: &str) -> (TestBed, EntryProcess) {
    let testbed = TestBed::start(1).await;
    let entry = testbed.start_entry("entry-a");
    wait_until_converged(&testbed, &[&entry]).await;
    entry.apply(document, &[&entry]).await;
    (testbed, entry)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_stopped_at_its_timeout_is_not_reported_as_not_run() {
    let limited = DOCUMENT.replace("typical_ms = 500", "typical_ms = 50\ntimeout_ms = 300");
    let (_testbed, entry) = one_node(&limited).await;

    let response = entry
        .post(REPEATABLE_PATH, &[], r#"{"run_ms": 60000}"#)
        .await;

    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(response.header("dotterelrelay-fate"), "unknown");
    let record = entry.record(&response).await;
    assert_eq!(record.fate, Some(Fate::Unknown));
    assert_eq!(record.attempts[0].outcome, "cut");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_claim_cannot_be_made_durable_does_not_run() {
    let (testbed, entry) = one_node(DOCUMENT).await;
    let headers = [
        ("idempotency-key", "o-1"),
        ("dotterelrelay-deadline-ms", "500"),
    ];
    let cluster = &testbed.cluster;
    cluster
        .table()
        .set_faults(|faults| faults.down_until = Millis::MAX);

    let refused = entry.post(ORDER_PATH, &headers, "{}").await;
    let repeatable = entry.post(REPEATABLE_PATH, &[], "{}").await;
    let ran = checker::runs(&cluster.workers()).len();
    cluster
        .table()
        .set_faults(|faults| faults.down_until = Millis::ZERO);
    wait_until(async || entry.post(ORDER_PATH, &headers, "{}").await.status == StatusCode::OK)
        .await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.header("dotterelrelay-reason"), "claim-unavailable");
    assert!(!refused.header("retry-after").is_empty());
    let fate = entry.record(&refused).await.fate;
    assert_eq!(fate, Some(Fate::NotRun(Reason::ClaimUnavailable)));
    assert_eq!(
        repeatable.status,
        StatusCode::OK,
        "repeatable requests need no claim"
    );
    assert_eq!(ran, 1, "only the repeatable request ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_gets_the_response_after_a_connection_stalled() {
    let (testbed, entry) = one_node(DOCUMENT).await;
    let bodies = [r#"{"run_ms": 1500}"#.to_owned()];

    let responses = entry.post_all(REPEATABLE_PATH, &bodies);
    let stall = async {
        wait_until(async || !checker::runs(&testbed.cluster.workers()).is_empty()).await;
        testbed.cluster.stall_worker(0);
    };
    let (responses, ()) = tokio::join!(responses, stall);

    assert_eq!(responses[0].status, StatusCode::OK, "{:?}", responses[0]);
    assert_eq!(responses[0].body, bodies[0].as_bytes());
    assert_eq!(checker::runs(&testbed.cluster.workers()).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_past_its_start_deadline_is_not_run_and_never_runs() {
    let (testbed, entry) = one_node(DOCUMENT).await;
    let bodies: Vec<String> = (0..8)
        .map(|number| format!("{{\"run_ms\": 2500, \"index\": {number}}}"))
        .collect();
    let deadline = [("dotterelrelay-deadline-ms", "300")];

    let full = entry.post_all(REPEATABLE_PATH, &bodies);
    let late = async {
        wait_until(async || checker::runs(&testbed.cluster.workers()).len() == bodies.len()).await;
        entry
            .post(REPEATABLE_PATH, &deadline, r#"{"index": 99}"#)
            .await
    };
    let (full, late) = tokio::join!(full, late);

    assert!(
        full.iter()
            .all(|response| response.status == StatusCode::OK)
    );
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(late.header("dotterelrelay-fate"), "not-run");
    assert_eq!(late.header("dotterelrelay-reason"), "deadline");
    assert_eq!(
        checker::runs(&testbed.cluster.workers()).len(),
        bodies.len()
    );
}
