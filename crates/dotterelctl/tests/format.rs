//! The text output of the commands, for fixed records.

use dotterel_kernel::{
    Account, Attempt, Fate, Flag, Gap, Hour, Incarnation, Millis, NodeId, Reason, Record,
    RequestId, Summary, TaskId,
};
use dotterelctl::command::{account, get, why};
use uuid::Uuid;

const ARRIVAL: Millis = Millis(21_600_000);

fn record() -> Record {
    Record {
        request: RequestId(Uuid::from_u128(7)),
        service: "quotes".into(),
        class: "roof-simulation".into(),
        key: Some("roof-12".into()),
        node: "a".into(),
        arrived: ARRIVAL,
        deadline: ARRIVAL + Millis::secs(60),
        started: None,
        ended: None,
        fate: None,
        attempts: Vec::new(),
        flags: Vec::new(),
    }
}

fn attempt(outcome: &str) -> Attempt {
    Attempt {
        task: TaskId(Uuid::from_u128(8)),
        vm: "w1".into(),
        owner: "b".into(),
        sent: ARRIVAL + Millis(40),
        ended: Some(ARRIVAL + Millis(90)),
        outcome: outcome.into(),
    }
}

#[test]
fn why_shows_that_a_waiting_request_was_sent_to_no_vm() {
    let record = record();

    let text = why::format(&record);

    assert!(text.contains("waited    still waiting"), "{text}");
    assert!(text.contains("fate      not settled yet"), "{text}");
    assert!(
        text.contains("attempts  none: nothing was sent to a VM"),
        "{text}"
    );
}

#[test]
fn why_shows_attempts_fate_and_flags() {
    let mut record = record();
    record.started = Some(ARRIVAL + Millis(40));
    record.fate = Some(Fate::Ran);
    record.attempts = vec![attempt("cut"), attempt("finished")];
    record.flags = vec![Flag::Delayed {
        sign_off: "field-safety".into(),
    }];

    let text = why::format(&record);

    assert!(text.contains("waited    40 ms"), "{text}");
    assert!(text.contains("fate      ran"), "{text}");
    assert!(text.contains("delayed; field-safety signs off"), "{text}");
    assert!(
        text.lines()
            .last()
            .is_some_and(|line| line.ends_with("50 ms  finished")),
        "{text}"
    );
}

#[test]
fn account_shows_drops_growth_and_gaps() {
    let account = Account {
        as_of: ARRIVAL,
        nodes: vec![NodeId::from("a")],
        gaps: vec![Gap {
            node: "b".into(),
            incarnation: Incarnation(3),
            since: ARRIVAL,
            cause: "node lost before it shipped its journal".into(),
        }],
        lines: vec![Summary {
            service: "quotes".into(),
            class: "bracket-count".into(),
            arrived: 9,
            ran: 5,
            not_run: vec![(Reason::Deadline, 3)],
            hours: vec![Hour {
                start: ARRIVAL,
                arrived: 9,
                started: 5,
                dropped: 3,
            }],
            ..Summary::default()
        }],
    };

    let text = account::format(&account);

    assert!(text.contains("bracket-count  deadline         3"), "{text}");
    assert!(
        text.contains("06:00       9        5        3        +1"),
        "{text}"
    );
    assert!(
        text.contains("node lost before it shipped its journal"),
        "{text}"
    );
}

#[test]
fn the_revision_of_a_printed_document_is_split_off() {
    let printed = "# revision 12\nservice = \"quotes\"\n";

    let (revision, document) = get::split_revision(printed);

    assert_eq!(revision, Some(12));
    assert_eq!(document, "service = \"quotes\"\n");
}

#[test]
fn a_document_without_a_revision_line_is_unchanged() {
    let text = "# our quotes\nservice = \"quotes\"\n";

    let (revision, document) = get::split_revision(text);

    assert_eq!(revision, None);
    assert_eq!(document, text);
}
