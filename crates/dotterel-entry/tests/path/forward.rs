//! Requests that are forwarded to another node, and their records and account.

use dotterel_kernel::Fate;
use http::StatusCode;

use crate::support::{DOCUMENT, TestBed, wait_until_converged};

const PATH: &str = "/v1/services/quotes/requests/bracket-count";

/// More than the total slots of the workers of either node.
const CALLS: usize = 28;

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_slots_of_one_node_run_on_another_node() {
    let testbed = TestBed::start(4).await;
    let (a, b) = (
        testbed.start_entry("entry-a"),
        testbed.start_entry("entry-b"),
    );
    wait_until_converged(&testbed, &[&a, &b]).await;
    a.apply(DOCUMENT, &[&a, &b]).await;

    let bodies: Vec<String> = (0..CALLS)
        .map(|number| format!("{{\"run_ms\": 600, \"index\": {number}}}"))
        .collect();
    let responses = a.post_all(PATH, &bodies).await;

    let mut owners = Vec::new();
    for (response, body) in responses.iter().zip(&bodies) {
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
        assert_eq!(
            response.body,
            body.as_bytes(),
            "the complete response to this request"
        );
        assert_eq!(response.header("dotterelrelay-fate"), "ran");
        let record = a.record(response).await;
        assert_eq!(record.fate, Some(Fate::Ran));
        let attempt = record.attempts.last().expect("the request was started");
        assert_eq!(
            attempt.vm.as_str(),
            response.header("dotterelrelay-upstream")
        );
        let id = record.request.to_string();
        let owner = if attempt.owner == a.node { &a } else { &b };
        assert_eq!(
            owner.log_lines(&["\"placed\"", &id]).len(),
            1,
            "one log line per placement"
        );
        owners.push(attempt.owner.clone());
    }
    assert!(
        owners.contains(&a.node),
        "some ran on workers of the receiving node"
    );
    assert!(
        owners.contains(&b.node),
        "some ran on workers of the other node"
    );
    let account = b.account().await;
    let line = &account.lines[0];
    assert_eq!(line.service.as_str(), "quotes");
    assert_eq!((line.arrived, line.ran), (CALLS as u64, CALLS as u64));
    assert_eq!(account.gaps, Vec::new());
}
