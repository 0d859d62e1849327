//! The death of a node with work under way.

use dotterel_kernel::Fate;
use dotterel_standin::checker;
use http::StatusCode;

use crate::support::{DOCUMENT, Site, settled, until};

const PATH: &str = "/v1/services/quotes/requests/bracket-count";

#[tokio::test(flavor = "multi_thread")]
async fn callers_get_the_answers_of_tasks_that_outlive_their_node() {
    let site = Site::start(4).await;
    let (a, b) = (site.entry("entry-a"), site.entry("entry-b"));
    settled(&site, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;
    let bodies: Vec<String> = (0..28)
        .map(|number| format!("{{\"run_ms\": 6000, \"index\": {number}}}"))
        .collect();
    let workers = site.cluster.workers();

    let answers = a.post_all(PATH, &bodies);
    let death = async {
        until(async || checker::runs(&workers).len() == bodies.len()).await;
        drop(b);
        until(async || a.status().await.vms.len() == 4).await;
    };
    let (answers, ()) = tokio::join!(answers, death);

    for (answer, body) in answers.iter().zip(&bodies) {
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(answer.body, body.as_bytes());
        assert_eq!(a.record(answer).await.fate, Some(Fate::Ran));
    }
    assert_eq!(checker::runs(&workers).len(), bodies.len(), "each ran once");
    assert_eq!(checker::over_capacity(&workers), Vec::new());
}
