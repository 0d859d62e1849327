//! What callers are told is true.

use dotterel_kernel::{Fate, Millis, Reason};
use dotterel_standin::checker;
use http::StatusCode;

use crate::support::{DOCUMENT, Entry, Site, settled, until};

const COUNTS: &str = "/v1/services/quotes/requests/bracket-count";
const ORDERS: &str = "/v1/services/quotes/requests/roof-order";

async fn one_node(document: &str) -> (Site, Entry) {
    let site = Site::start(1).await;
    let entry = site.entry("entry-a");
    settled(&site, &[&entry]).await;
    entry.apply(document, &[&entry]).await;
    (site, entry)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_task_stopped_at_its_limit_is_never_told_as_not_run() {
    let limited = DOCUMENT.replace("typical_ms = 500", "typical_ms = 50\ntimeout_ms = 300");
    let (_site, entry) = one_node(&limited).await;

    let answer = entry.post(COUNTS, &[], r#"{"run_ms": 60000}"#).await;

    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.header("dotterelrelay-fate"), "unknown");
    let record = entry.record(&answer).await;
    assert_eq!(record.fate, Some(Fate::Unknown));
    assert_eq!(record.attempts[0].outcome, "cut");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_order_whose_claim_cannot_be_made_durable_does_not_run() {
    let (site, entry) = one_node(DOCUMENT).await;
    let headers = [
        ("idempotency-key", "o-1"),
        ("dotterelrelay-deadline-ms", "500"),
    ];
    let cluster = &site.cluster;
    cluster
        .table()
        .set_faults(|faults| faults.down_until = Millis::MAX);

    let refused = entry.post(ORDERS, &headers, "{}").await;
    let counted = entry.post(COUNTS, &[], "{}").await;
    let ran = checker::runs(&cluster.workers()).len();
    cluster
        .table()
        .set_faults(|faults| faults.down_until = Millis::ZERO);
    until(async || entry.post(ORDERS, &headers, "{}").await.status == StatusCode::OK).await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.header("dotterelrelay-reason"), "claim-unavailable");
    assert!(!refused.header("retry-after").is_empty());
    let fate = entry.record(&refused).await.fate;
    assert_eq!(fate, Some(Fate::NotRun(Reason::ClaimUnavailable)));
    assert_eq!(
        counted.status,
        StatusCode::OK,
        "work that needs no claim goes on"
    );
    assert_eq!(ran, 1, "only the count ran");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_on_a_silent_connection_still_arrives() {
    let (site, entry) = one_node(DOCUMENT).await;
    let bodies = [r#"{"run_ms": 1500}"#.to_owned()];

    let answers = entry.post_all(COUNTS, &bodies);
    let silence = async {
        until(async || !checker::runs(&site.cluster.workers()).is_empty()).await;
        site.cluster.stall_worker(0);
    };
    let (answers, ()) = tokio::join!(answers, silence);

    assert_eq!(answers[0].status, StatusCode::OK, "{:?}", answers[0]);
    assert_eq!(answers[0].body, bodies[0].as_bytes());
    assert_eq!(checker::runs(&site.cluster.workers()).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_cannot_start_in_time_is_told_so_and_never_runs() {
    let (site, entry) = one_node(DOCUMENT).await;
    let slots: Vec<String> = (0..8)
        .map(|number| format!("{{\"run_ms\": 2500, \"index\": {number}}}"))
        .collect();
    let wait = [("dotterelrelay-deadline-ms", "300")];

    let full = entry.post_all(COUNTS, &slots);
    let late = async {
        until(async || checker::runs(&site.cluster.workers()).len() == slots.len()).await;
        entry.post(COUNTS, &wait, r#"{"index": 99}"#).await
    };
    let (full, late) = tokio::join!(full, late);

    assert!(full.iter().all(|answer| answer.status == StatusCode::OK));
    assert_eq!(late.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(late.header("dotterelrelay-fate"), "not-run");
    assert_eq!(late.header("dotterelrelay-reason"), "deadline");
    assert_eq!(checker::runs(&site.cluster.workers()).len(), slots.len());
}
