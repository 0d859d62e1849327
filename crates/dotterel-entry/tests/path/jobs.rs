//! Jobs over HTTP, on the workers of two nodes.

use dotterel_coord::jobs::{Phase, Progress};
use dotterel_standin::checker;
use http::{Method, StatusCode};

use crate::support::{Answer, DOCUMENT, Entry, Site, call, settled, until};

const CLASSES: &str = r#"
[[class]]
name = "simulation"
kind = "batch"
typical_ms = 400
size = { cores = 1, memory_mb = 512 }

[[class]]
name = "layout"
kind = "gang"
tasks = 10
typical_ms = 400
size = { cores = 1, memory_mb = 512 }

[[class]]
name = "renderer"
kind = "service"
tasks = 4
typical_ms = 60000
size = { cores = 1, memory_mb = 512 }

[[class]]
name = "vast"
kind = "batch"
typical_ms = 400
size = { cores = 1000, memory_mb = 512 }
"#;

async fn submit(entry: &Entry, class: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let path = format!("/v1/services/quotes/jobs/{class}");
    entry.post(&path, headers, body).await
}

fn id(answer: &Answer) -> String {
    assert_eq!(answer.status, StatusCode::ACCEPTED, "{answer:?}");
    let body: serde_json::Value = answer.json();
    body["job"].as_str().expect("the job is named").to_owned()
}

async fn phase(entry: &Entry, job: &str) -> Phase {
    let progress: Progress = entry.get(&format!("/v1/jobs/{job}")).await.json();
    progress.phase
}

/// Returns the slots that the nodes count as used.
async fn used(nodes: &[&Entry]) -> u32 {
    let mut used = 0;
    for node in nodes {
        let vms = node.status().await.vms;
        used += vms.iter().map(|vm| vm.used.slots).sum::<u32>();
    }
    used
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_every_kind_run_and_what_cannot_run_blocks_nothing() {
    let site = Site::start(4).await;
    let (a, b) = (site.entry("entry-a"), site.entry("entry-b"));
    settled(&site, &[&a, &b]).await;
    a.apply(&format!("{DOCUMENT}{CLASSES}"), &[&a, &b]).await;

    let key = [("idempotency-key", "night-1")];
    let vast = id(&submit(&a, "vast", &[], "{}").await);
    let batch = id(&submit(&a, "simulation", &key, r#"{"run_ms": 400}"#).await);
    let again = id(&submit(&b, "simulation", &key, r#"{"run_ms": 400}"#).await);
    let other = submit(&b, "simulation", &key, "{}").await;
    let gang = id(&submit(&b, "layout", &[], r#"{"run_ms": 400}"#).await);
    let interactive = submit(&a, "bracket-count", &[], "{}").await;
    until(async || phase(&b, &batch).await == Phase::Finished).await;
    until(async || phase(&a, &gang).await == Phase::Finished).await;
    // Only now does every VM have room, so that the service can be spread over all of them.
    until(async || used(&[&a, &b]).await == 0).await;
    let service = id(&submit(&a, "renderer", &[], r#"{"run_ms": 600000}"#).await);
    let workers = site.cluster.workers();
    let runs = |job: &str| checker::runs_of_job(&workers, job.parse().expect("an identifier"));
    until(async || runs(&service).len() == 4).await;
    let held = used(&[&a, &b]).await;
    let mut vms: Vec<_> = runs(&service).into_iter().map(|run| run.vm).collect();
    vms.sort();
    vms.dedup();
    let cancelled = call(
        a.http,
        Method::DELETE,
        &format!("/v1/jobs/{service}"),
        &[],
        "",
    )
    .await;
    until(async || phase(&b, &service).await == Phase::Cancelled).await;

    assert_eq!(again, batch, "a repeat gets the same job");
    assert_eq!(other.status, StatusCode::CONFLICT);
    assert_eq!(interactive.status, StatusCode::BAD_REQUEST);
    assert_eq!(cancelled.status, StatusCode::ACCEPTED);
    assert_eq!(runs(&batch).len(), 1);
    assert_eq!(runs(&gang).len(), 10);
    assert_eq!(held, 4, "running tasks are counted by the owners");
    assert_eq!(vms.len(), 4, "a service is spread over the VMs");
    assert!(matches!(phase(&a, &vast).await, Phase::Parked(_)));
    assert_eq!(runs(&vast).len(), 0);
    assert_eq!(checker::over_capacity(&workers), Vec::new());
    assert_eq!(checker::overlapping_runs(&workers), Vec::new());
}
