//! Parsing and validation of documents.

use dotterel_kernel::{Document, FieldError, Kind, Spill, Urgency};
use quickcheck::{Gen, QuickCheck};

fn document(class_line: &str) -> String {
    format!(
        "service = \"quotes\"\nteam = \"consorcio\"\n[[class]]\nname = \"count\"\n\
         kind = \"interactive\"\ntypical_ms = 40\nsize = {{ cores = 0.5, memory_mb = 256 }}\n\
         {class_line}\n"
    )
}

fn parse_error(text: &str) -> FieldError {
    Document::parse(text).expect_err("the document is invalid")
}

#[test]
fn omitted_fields_get_defaults() {
    let document = Document::parse(&document("")).expect("the document is well formed");

    let class = document.class("count").expect("the class is declared");

    assert_eq!(class.kind, Kind::Interactive);
    assert_eq!(class.urgency, Urgency::Normal);
    assert_eq!(class.spill, Spill::Region);
    assert!(class.repeatable);
    assert_eq!(class.size.milli_cores, 500);
    assert_eq!(class.tasks, 1);
}

#[test]
fn error_states_field_value_and_allowed_range() {
    let err = parse_error(&document("start_ms = 0"));

    assert_eq!(err.field, "class.count.start_ms");
    assert_eq!(err.value, "0");
    assert_eq!(err.allowed, "1 to 604800000 ms");
}

#[test]
fn unknown_field_is_rejected() {
    let err = parse_error(&document("strat_ms = 5"));

    assert!(err.value.contains("strat_ms"), "{err}");
}

#[test]
fn task_count_above_one_needs_a_gang_or_service() {
    let err = parse_error(&document("tasks = 3"));

    assert_eq!(err.field, "class.count.tasks");
}

#[test]
fn key_window_must_cover_start_and_timeout() {
    let err = parse_error(&document(
        "repeatable = false\nstart_ms = 9000\nkey_window_ms = 60000",
    ));

    assert_eq!(err.field, "class.count.key_window_ms");
    assert_eq!(err.value, "60000");
}

#[test]
fn repeated_class_name_is_rejected() {
    let repeated =
        document("") + &document("").replace("service = \"quotes\"\nteam = \"consorcio\"\n", "");

    let err = parse_error(&repeated);

    assert_eq!(err.field, "class.name");
}

#[test]
fn parser_does_not_panic_on_arbitrary_text() {
    fn parses_or_reports(text: String) -> bool {
        match Document::parse(&text) {
            Ok(document) => !document.service.as_str().is_empty(),
            Err(err) => !err.field.is_empty(),
        }
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(500)
        .quickcheck(parses_or_reports as fn(String) -> bool);
}

#[test]
fn every_duration_is_accepted_or_reported() {
    fn accepted_or_reported(duration_ms: u64) -> bool {
        match Document::parse(&document(&format!("timeout_ms = {duration_ms}"))) {
            Ok(document) => document
                .class("count")
                .is_some_and(|c| c.timeout.0 == duration_ms),
            Err(err) => err.field == "class.count.timeout_ms" || err.field == "document",
        }
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(500)
        .quickcheck(accepted_or_reported as fn(u64) -> bool);
}

#[test]
fn sample_documents_are_valid() {
    let samples = [
        include_str!("../../../docs/samples/quotes.toml"),
        include_str!("../../../docs/samples/booking.toml"),
    ];

    let checked = samples.map(Document::parse);

    assert!(checked.iter().all(Result::is_ok), "{checked:?}");
}
