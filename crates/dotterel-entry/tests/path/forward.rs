//! One request through two nodes, and what the account says of it.

use dotterel_kernel::Fate;
use http::StatusCode;

use crate::support::{DOCUMENT, Site, settled};

const PATH: &str = "/v1/services/quotes/requests/bracket-count";

/// More than the slots of the workers of either node.
const CALLS: usize = 28;

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_one_nodes_slots_run_on_the_workers_of_the_other() {
    let site = Site::start(4).await;
    let (a, b) = (site.entry("entry-a"), site.entry("entry-b"));
    settled(&site, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;

    let bodies: Vec<String> = (0..CALLS)
        .map(|number| format!("{{\"run_ms\": 600, \"index\": {number}}}"))
        .collect();
    let answers = a.post_all(PATH, &bodies).await;

    let mut owners = Vec::new();
    for (answer, body) in answers.iter().zip(&bodies) {
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        assert_eq!(
            answer.body,
            body.as_bytes(),
            "the whole answer to its own request"
        );
        assert_eq!(answer.header("dotterelrelay-fate"), "ran");
        let record = a.record(answer).await;
        assert_eq!(record.fate, Some(Fate::Ran));
        let attempt = record.attempts.last().expect("it was started");
        assert_eq!(attempt.vm.as_str(), answer.header("dotterelrelay-upstream"));
        let id = record.request.to_string();
        let owner = if attempt.owner == a.node { &a } else { &b };
        assert_eq!(
            owner.lines(&["\"placed\"", &id]).len(),
            1,
            "one line a decision"
        );
        owners.push(attempt.owner.clone());
    }
    assert!(
        owners.contains(&a.node),
        "some ran on the node's own workers"
    );
    assert!(owners.contains(&b.node), "some ran on the other's");
    let account = b.account().await;
    let line = &account.lines[0];
    assert_eq!(line.service.as_str(), "quotes");
    assert_eq!((line.arrived, line.ran), (CALLS as u64, CALLS as u64));
    assert_eq!(account.gaps, Vec::new());
}
