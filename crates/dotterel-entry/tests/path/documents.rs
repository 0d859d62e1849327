//! Documents come in force on all nodes and never revert.

use std::time::{Duration, Instant};

use dotterel_kernel::{Millis, Revision};
use http::StatusCode;

use crate::support::{DOCUMENT, Entry, Site, settled, until};

const PATH: &str = "/v1/documents/quotes";

/// An accepted document is in force everywhere within this time.
const IN_FORCE: Duration = Duration::from_secs(3);

async fn revision(entry: &Entry) -> Option<Revision> {
    let documents = entry.status().await.documents;
    documents.first().map(|(_, revision)| *revision)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_in_force_everywhere_and_survives_a_restart_in_an_outage() {
    let site = Site::start(2).await;
    let (a, b) = (site.entry("entry-a"), site.entry("entry-b"));
    settled(&site, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;

    let edited = DOCUMENT.replace("start_ms = 5000", "start_ms = 4000");
    let applied = a.put(PATH, &[("if-match", "\"1\"")], &edited).await;
    let accepted = Instant::now();
    until(async || revision(&b).await == Some(Revision(2))).await;
    let taken = accepted.elapsed();
    let cluster = &site.cluster;
    cluster
        .table()
        .set_faults(|faults| faults.down_until = Millis::MAX);
    cluster
        .store()
        .set_faults(|faults| faults.down_until = Millis::MAX);
    cluster
        .vms()
        .set_faults(|faults| faults.down_until = Millis::MAX);
    drop(a);
    let again = site.entry_beside("entry-a", &[&b]);
    until(async || revision(&again).await.is_some()).await;
    let refused = again.put(PATH, &[("if-match", "\"2\"")], DOCUMENT).await;
    let body = r#"{"run_ms": 5}"#;
    let served = again
        .post("/v1/services/quotes/requests/bracket-count", &[], body)
        .await;

    assert_eq!(applied.status, StatusCode::OK);
    assert!(taken < IN_FORCE, "{taken:?}");
    assert_eq!(revision(&again).await, Some(Revision(2)));
    assert_eq!(
        refused.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{refused:?}"
    );
    assert_eq!(revision(&b).await, Some(Revision(2)));
    assert_eq!(served.status, StatusCode::OK, "{served:?}");
}
