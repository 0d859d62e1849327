//! Invalid input gets a 4xx response that names the field, and has no effect.

use dotterel_standin::checker;
use http::{Method, StatusCode};

use crate::support::{DOCUMENT, EntryProcess, Response, TestBed, call, wait_until_converged};

const ORDER_PATH: &str = "/v1/services/quotes/requests/roof-order";
const REPEATABLE_PATH: &str = "/v1/services/quotes/requests/bracket-count";
const DOCUMENT_PATH: &str = "/v1/documents/quotes";

async fn one_node() -> (TestBed, EntryProcess) {
    let testbed = TestBed::start(1).await;
    let entry = testbed.start_entry("entry-a");
    wait_until_converged(&testbed, &[&entry]).await;
    entry.apply(DOCUMENT, &[&entry]).await;
    (testbed, entry)
}

fn assert_refused(response: &Response, status: StatusCode, field: &str) {
    assert_eq!(response.status, status, "{response:?}");
    let error = response.error();
    assert_eq!(error.field, field, "{error:?}");
    assert!(!error.reason.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_without_effect() {
    let (testbed, entry) = one_node().await;
    let long_body = "x".repeat(5000);
    let key = [("idempotency-key", "k-1")];

    let unknown_service = entry.post("/v1/services/none/requests/x", &[], "").await;
    let unknown_class = entry.post("/v1/services/quotes/requests/x", &[], "").await;
    let keyless = entry.post(ORDER_PATH, &[], "{}").await;
    let bad_key = entry
        .post(ORDER_PATH, &[("idempotency-key", "a b")], "{}")
        .await;
    let deadline = [("dotterelrelay-deadline-ms", "soon")];
    let bad_deadline = entry.post(REPEATABLE_PATH, &deadline, "{}").await;
    let deadline = [("dotterelrelay-deadline-ms", "5001")];
    let long_deadline = entry.post(REPEATABLE_PATH, &deadline, "{}").await;
    let too_long = entry.post(ORDER_PATH, &key, &long_body).await;
    let bad_id = entry.get("/v1/requests/7").await;
    let bad_since = entry.get("/v1/account?since_ms=yesterday").await;
    let unknown_path = entry.get("/v2").await;
    let wrong_method = call(entry.http, Method::DELETE, REPEATABLE_PATH, &[], "").await;

    assert_refused(&unknown_service, StatusCode::NOT_FOUND, "service");
    assert_refused(&unknown_class, StatusCode::NOT_FOUND, "class");
    assert_eq!(
        unknown_class.error().allowed.as_deref(),
        Some("bracket-count, roof-order")
    );
    assert_refused(&keyless, StatusCode::BAD_REQUEST, "idempotency-key");
    assert_refused(&bad_key, StatusCode::BAD_REQUEST, "idempotency-key");
    assert_refused(
        &bad_deadline,
        StatusCode::BAD_REQUEST,
        "dotterelrelay-deadline-ms",
    );
    assert_refused(
        &long_deadline,
        StatusCode::BAD_REQUEST,
        "dotterelrelay-deadline-ms",
    );
    assert_refused(&too_long, StatusCode::PAYLOAD_TOO_LARGE, "body");
    assert_refused(&bad_id, StatusCode::BAD_REQUEST, "id");
    assert_refused(&bad_since, StatusCode::BAD_REQUEST, "since_ms");
    assert_refused(&unknown_path, StatusCode::NOT_FOUND, "path");
    assert_refused(&wrong_method, StatusCode::METHOD_NOT_ALLOWED, "method");
    assert_eq!(checker::runs(&testbed.cluster.workers()), Vec::new());
    assert_eq!(entry.account().await.lines, Vec::new());
    let first = entry.post(ORDER_PATH, &key, "{}").await;
    assert_eq!(
        first.status,
        StatusCode::OK,
        "refused calls do not claim the key"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_repeated_order_gets_the_recorded_response_and_does_not_run() {
    let (testbed, entry) = one_node().await;
    let key = [("idempotency-key", "order-1")];

    let first = entry.post(ORDER_PATH, &key, r#"{"run_ms": 5}"#).await;
    let repeat = entry.post(ORDER_PATH, &key, r#"{"run_ms": 5}"#).await;
    let other = entry.post(ORDER_PATH, &key, r#"{"run_ms": 6}"#).await;
    let other_key = [("idempotency-key", "order-2")];
    let same_body = entry.post(ORDER_PATH, &other_key, r#"{"run_ms": 5}"#).await;

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!((repeat.status, &repeat.body), (first.status, &first.body));
    let id = |response: &Response| response.header("dotterelrelay-request").to_owned();
    assert_eq!(id(&repeat), id(&first));
    assert_refused(&other, StatusCode::CONFLICT, "idempotency-key");
    assert_eq!(same_body.status, StatusCode::OK);
    assert_eq!(
        entry.record(&same_body).await.flags.len(),
        1,
        "flagged as a duplicate"
    );
    assert_eq!(checker::runs(&testbed.cluster.workers()).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_edits_are_refused_and_leave_the_document_unchanged() {
    let (_testbed, entry) = one_node().await;
    let current = [("if-match", "\"1\"")];

    let invalid_toml = entry.put(DOCUMENT_PATH, &current, "class = [").await;
    let invalid = DOCUMENT.replace("cores = 0.5", "cores = -1");
    let bad_value = entry.put(DOCUMENT_PATH, &current, &invalid).await;
    let other = DOCUMENT.replace("\"quotes\"", "\"other\"");
    let bad_service = entry.put(DOCUMENT_PATH, &current, &other).await;
    let unconditional = entry.put(DOCUMENT_PATH, &[], DOCUMENT).await;
    let stale = entry
        .put(DOCUMENT_PATH, &[("if-match", "\"7\"")], DOCUMENT)
        .await;
    let existing = entry
        .put(DOCUMENT_PATH, &[("if-none-match", "*")], DOCUMENT)
        .await;
    let bad_tag = entry
        .put(DOCUMENT_PATH, &[("if-match", "new")], DOCUMENT)
        .await;
    let too_long = entry
        .put(DOCUMENT_PATH, &current, &"#".repeat(300_000))
        .await;

    assert_refused(&invalid_toml, StatusCode::BAD_REQUEST, "document");
    assert_refused(
        &bad_value,
        StatusCode::BAD_REQUEST,
        "class.bracket-count.size.cores",
    );
    assert_refused(&bad_service, StatusCode::BAD_REQUEST, "service");
    assert_refused(
        &unconditional,
        StatusCode::PRECONDITION_REQUIRED,
        "if-match",
    );
    assert_refused(&stale, StatusCode::PRECONDITION_FAILED, "if-match");
    assert_eq!(stale.error().revision.map(|revision| revision.0), Some(1));
    assert_refused(&existing, StatusCode::PRECONDITION_FAILED, "if-match");
    assert_refused(&bad_tag, StatusCode::BAD_REQUEST, "if-match");
    assert_refused(&too_long, StatusCode::PAYLOAD_TOO_LARGE, "body");
    let document = entry.get(DOCUMENT_PATH).await;
    assert_eq!(document.header("etag"), "\"1\"");
    assert_eq!(document.body, DOCUMENT.as_bytes());
}
