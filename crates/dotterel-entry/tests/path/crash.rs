//! Requests whose tasks run on the workers of a node that crashes.

use dotterel_kernel::Fate;
use dotterel_standin::checker;
use http::StatusCode;

use crate::support::{DOCUMENT, TestBed, wait_until, wait_until_converged};

const PATH: &str = "/v1/services/quotes/requests/bracket-count";

#[tokio::test(flavor = "multi_thread")]
async fn callers_get_the_responses_of_tasks_whose_owner_crashed() {
    let testbed = TestBed::start(4).await;
    let (a, b) = (
        testbed.start_entry("entry-a"),
        testbed.start_entry("entry-b"),
    );
    wait_until_converged(&testbed, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;
    let bodies: Vec<String> = (0..28)
        .map(|number| format!("{{\"run_ms\": 6000, \"index\": {number}}}"))
        .collect();
    let workers = testbed.cluster.workers();

    let responses = a.post_all(PATH, &bodies);
    let crash = async {
        wait_until(async || checker::runs(&workers).len() == bodies.len()).await;
        drop(b);
        wait_until(async || a.status().await.vms.len() == 4).await;
    };
    let (responses, ()) = tokio::join!(responses, crash);

    for (response, body) in responses.iter().zip(&bodies) {
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert_eq!(response.body, body.as_bytes());
        assert_eq!(a.record(response).await.fate, Some(Fate::Ran));
    }
    assert_eq!(checker::runs(&workers).len(), bodies.len(), "each ran once");
    assert_eq!(checker::over_capacity(&workers), Vec::new());
}
