//! Documents take effect on all nodes and never revert to an older revision.

use std::time::{Duration, Instant};

use dotterel_kernel::{Millis, Revision};
use http::StatusCode;

use crate::support::{DOCUMENT, EntryProcess, TestBed, wait_until, wait_until_converged};

const PATH: &str = "/v1/documents/quotes";

/// Limit for an accepted document to take effect on all nodes.
const PROPAGATION_LIMIT: Duration = Duration::from_secs(3);

async fn revision(entry: &EntryProcess) -> Option<Revision> {
    let documents = entry.status().await.documents;
    documents.first().map(|(_, revision)| *revision)
}

#[tokio::test(flavor = "multi_thread")]
async fn documents_reach_all_nodes_and_survive_a_restart_in_an_outage() {
    let testbed = TestBed::start(2).await;
    let (a, b) = (
        testbed.start_entry("entry-a"),
        testbed.start_entry("entry-b"),
    );
    wait_until_converged(&testbed, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;

    let edited = DOCUMENT.replace("start_ms = 5000", "start_ms = 4000");
    let applied = a.put(PATH, &[("if-match", "\"1\"")], &edited).await;
    let accepted = Instant::now();
    wait_until(async || revision(&b).await == Some(Revision(2))).await;
    let elapsed = accepted.elapsed();
    let cluster = &testbed.cluster;
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
    let restarted = testbed.start_entry_with_peers("entry-a", &[&b]);
    wait_until(async || revision(&restarted).await.is_some()).await;
    let refused = restarted
        .put(PATH, &[("if-match", "\"2\"")], DOCUMENT)
        .await;
    let body = r#"{"run_ms": 5}"#;
    let served = restarted
        .post("/v1/services/quotes/requests/bracket-count", &[], body)
        .await;

    assert_eq!(applied.status, StatusCode::OK);
    assert!(elapsed < PROPAGATION_LIMIT, "{elapsed:?}");
    assert_eq!(revision(&restarted).await, Some(Revision(2)));
    assert_eq!(
        refused.status,
        StatusCode::SERVICE_UNAVAILABLE,
        "{refused:?}"
    );
    assert_eq!(revision(&b).await, Some(Revision(2)));
    assert_eq!(served.status, StatusCode::OK, "{served:?}");
}
