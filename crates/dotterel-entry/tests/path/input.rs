//! Bad input gets a 4xx that names the field, and leaves nothing behind.

use dotterel_standin::checker;
use http::{Method, StatusCode};

use crate::support::{Answer, DOCUMENT, Entry, Site, call, settled};

const ORDERS: &str = "/v1/services/quotes/requests/roof-order";
const COUNTS: &str = "/v1/services/quotes/requests/bracket-count";
const DOCUMENTS: &str = "/v1/documents/quotes";

async fn one_node() -> (Site, Entry) {
    let site = Site::start(1).await;
    let entry = site.entry("entry-a");
    settled(&site, &[&entry]).await;
    entry.apply(DOCUMENT, &[&entry]).await;
    (site, entry)
}

fn refused(answer: &Answer, status: StatusCode, field: &str) {
    assert_eq!(answer.status, status, "{answer:?}");
    let error = answer.error();
    assert_eq!(error.field, field, "{error:?}");
    assert!(!error.reason.is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_and_leave_nothing_behind() {
    let (site, entry) = one_node().await;
    let long = "x".repeat(5000);
    let key = [("idempotency-key", "k-1")];

    let unknown = entry.post("/v1/services/none/requests/x", &[], "").await;
    let class = entry.post("/v1/services/quotes/requests/x", &[], "").await;
    let keyless = entry.post(ORDERS, &[], "{}").await;
    let bad_key = entry
        .post(ORDERS, &[("idempotency-key", "a b")], "{}")
        .await;
    let deadline = [("dotterelrelay-deadline-ms", "soon")];
    let bad_wait = entry.post(COUNTS, &deadline, "{}").await;
    let deadline = [("dotterelrelay-deadline-ms", "5001")];
    let long_wait = entry.post(COUNTS, &deadline, "{}").await;
    let too_long = entry.post(ORDERS, &key, &long).await;
    let bad_id = entry.get("/v1/requests/7").await;
    let bad_since = entry.get("/v1/account?since_ms=yesterday").await;
    let no_path = entry.get("/v2").await;
    let no_method = call(entry.http, Method::DELETE, COUNTS, &[], "").await;

    refused(&unknown, StatusCode::NOT_FOUND, "service");
    refused(&class, StatusCode::NOT_FOUND, "class");
    assert_eq!(
        class.error().allowed.as_deref(),
        Some("bracket-count, roof-order")
    );
    refused(&keyless, StatusCode::BAD_REQUEST, "idempotency-key");
    refused(&bad_key, StatusCode::BAD_REQUEST, "idempotency-key");
    refused(
        &bad_wait,
        StatusCode::BAD_REQUEST,
        "dotterelrelay-deadline-ms",
    );
    refused(
        &long_wait,
        StatusCode::BAD_REQUEST,
        "dotterelrelay-deadline-ms",
    );
    refused(&too_long, StatusCode::PAYLOAD_TOO_LARGE, "body");
    refused(&bad_id, StatusCode::BAD_REQUEST, "id");
    refused(&bad_since, StatusCode::BAD_REQUEST, "since_ms");
    refused(&no_path, StatusCode::NOT_FOUND, "path");
    refused(&no_method, StatusCode::METHOD_NOT_ALLOWED, "method");
    assert_eq!(checker::runs(&site.cluster.workers()), Vec::new());
    assert_eq!(entry.account().await.lines, Vec::new());
    let first = entry.post(ORDERS, &key, "{}").await;
    assert_eq!(
        first.status,
        StatusCode::OK,
        "no refused call holds the key"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unrepeatable_request_runs_once_and_its_repeat_gets_the_recorded_answer() {
    let (site, entry) = one_node().await;
    let key = [("idempotency-key", "order-1")];

    let first = entry.post(ORDERS, &key, r#"{"run_ms": 5}"#).await;
    let again = entry.post(ORDERS, &key, r#"{"run_ms": 5}"#).await;
    let other = entry.post(ORDERS, &key, r#"{"run_ms": 6}"#).await;
    let other_key = [("idempotency-key", "order-2")];
    let same_body = entry.post(ORDERS, &other_key, r#"{"run_ms": 5}"#).await;

    assert_eq!(first.status, StatusCode::OK);
    assert_eq!((again.status, &again.body), (first.status, &first.body));
    let id = |answer: &Answer| answer.header("dotterelrelay-request").to_owned();
    assert_eq!(id(&again), id(&first));
    refused(&other, StatusCode::CONFLICT, "idempotency-key");
    assert_eq!(same_body.status, StatusCode::OK);
    assert_eq!(
        entry.record(&same_body).await.flags.len(),
        1,
        "flagged as a duplicate"
    );
    assert_eq!(checker::runs(&site.cluster.workers()).len(), 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_edits_are_refused_and_the_document_stays() {
    let (_site, entry) = one_node().await;
    let current = [("if-match", "\"1\"")];

    let no_toml = entry.put(DOCUMENTS, &current, "class = [").await;
    let faulty = DOCUMENT.replace("cores = 0.5", "cores = -1");
    let bad_value = entry.put(DOCUMENTS, &current, &faulty).await;
    let other = DOCUMENT.replace("\"quotes\"", "\"other\"");
    let bad_service = entry.put(DOCUMENTS, &current, &other).await;
    let blind = entry.put(DOCUMENTS, &[], DOCUMENT).await;
    let stale = entry
        .put(DOCUMENTS, &[("if-match", "\"7\"")], DOCUMENT)
        .await;
    let taken = entry
        .put(DOCUMENTS, &[("if-none-match", "*")], DOCUMENT)
        .await;
    let bad_tag = entry.put(DOCUMENTS, &[("if-match", "new")], DOCUMENT).await;
    let too_long = entry.put(DOCUMENTS, &current, &"#".repeat(300_000)).await;

    refused(&no_toml, StatusCode::BAD_REQUEST, "document");
    refused(
        &bad_value,
        StatusCode::BAD_REQUEST,
        "class.bracket-count.size.cores",
    );
    refused(&bad_service, StatusCode::BAD_REQUEST, "service");
    refused(&blind, StatusCode::PRECONDITION_REQUIRED, "if-match");
    refused(&stale, StatusCode::PRECONDITION_FAILED, "if-match");
    assert_eq!(stale.error().revision.map(|revision| revision.0), Some(1));
    refused(&taken, StatusCode::PRECONDITION_FAILED, "if-match");
    refused(&bad_tag, StatusCode::BAD_REQUEST, "if-match");
    refused(&too_long, StatusCode::PAYLOAD_TOO_LARGE, "body");
    let document = entry.get(DOCUMENTS).await;
    assert_eq!(document.header("etag"), "\"1\"");
    assert_eq!(document.body, DOCUMENT.as_bytes());
}
