//! Jobs over HTTP, on the workers of two nodes.

use dotterel_coord::jobs::{Phase, Progress};
use dotterel_standin::checker;
use http::{Method, StatusCode};

use crate::support::{
    DOCUMENT, EntryProcess, Response, TestBed, call, wait_until, wait_until_converged,
};

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

async fn submit(
    entry: &EntryProcess,
    class: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Response {
    let path = format!("/v1/services/quotes/jobs/{class}");
    entry.post(&path, headers, body).await
}

/// Returns the identifier of an accepted job.
fn id(response: &Response) -> String {
    assert_eq!(response.status, StatusCode::ACCEPTED, "{response:?}");
    let body: serde_json::Value = response.json();
    body["job"]
        .as_str()
        .expect("the response contains the job identifier")
        .to_owned()
}

async fn phase(entry: &EntryProcess, job: &str) -> Phase {
    let progress: Progress = entry.get(&format!("/v1/jobs/{job}")).await.json();
    progress.phase
}

/// Returns the sum of the used slots that the nodes report.
async fn used_slots(nodes: &[&EntryProcess]) -> u32 {
    let mut used = 0;
    for node in nodes {
        let vms = node.status().await.vms;
        used += vms.iter().map(|vm| vm.used.slots).sum::<u32>();
    }
    used
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_of_every_kind_run_beside_a_job_that_fits_no_vm() {
    let testbed = TestBed::start(4).await;
    let (a, b) = (
        testbed.start_entry("entry-a"),
        testbed.start_entry("entry-b"),
    );
    wait_until_converged(&testbed, &[&a, &b]).await;
    a.apply(&format!("{DOCUMENT}{CLASSES}"), &[&a, &b]).await;

    let key = [("idempotency-key", "night-1")];
    let oversized = id(&submit(&a, "vast", &[], "{}").await);
    let batch = id(&submit(&a, "simulation", &key, r#"{"run_ms": 400}"#).await);
    let repeat = id(&submit(&b, "simulation", &key, r#"{"run_ms": 400}"#).await);
    let conflict = submit(&b, "simulation", &key, "{}").await;
    let gang = id(&submit(&b, "layout", &[], r#"{"run_ms": 400}"#).await);
    let interactive = submit(&a, "bracket-count", &[], "{}").await;
    wait_until(async || phase(&b, &batch).await == Phase::Finished).await;
    wait_until(async || phase(&a, &gang).await == Phase::Finished).await;
    // The service can be spread over all VMs only if they are idle when it is submitted.
    wait_until(async || used_slots(&[&a, &b]).await == 0).await;
    let service = id(&submit(&a, "renderer", &[], r#"{"run_ms": 600000}"#).await);
    let workers = testbed.cluster.workers();
    let runs = |job: &str| checker::runs_of_job(&workers, job.parse().expect("a job identifier"));
    wait_until(async || runs(&service).len() == 4).await;
    let service_slots = used_slots(&[&a, &b]).await;
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
    wait_until(async || phase(&b, &service).await == Phase::Cancelled).await;

    assert_eq!(repeat, batch, "a repeat returns the same job");
    assert_eq!(conflict.status, StatusCode::CONFLICT);
    assert_eq!(interactive.status, StatusCode::BAD_REQUEST);
    assert_eq!(cancelled.status, StatusCode::ACCEPTED);
    assert_eq!(runs(&batch).len(), 1);
    assert_eq!(runs(&gang).len(), 10);
    assert_eq!(
        service_slots, 4,
        "the owners count the slots of running tasks"
    );
    assert_eq!(vms.len(), 4, "a service is spread over the VMs");
    assert!(matches!(phase(&a, &oversized).await, Phase::Parked(_)));
    assert_eq!(runs(&oversized).len(), 0);
    assert_eq!(checker::over_capacity(&workers), Vec::new());
    assert_eq!(checker::overlapping_runs(&workers), Vec::new());
}
