//! The check of documents.

use dotterel_kernel::{Document, FieldError, Kind, Spill, Urgency};
use quickcheck::{Gen, QuickCheck};

fn document(class_line: &str) -> String {
    format!(
        "service = \"quotes\"\nteam = \"consorcio\"\n[[class]]\nname = \"count\"\n\
         kind = \"interactive\"\ntypical_ms = 40\nsize = {{ cores = 0.5, memory_mb = 256 }}\n\
         {class_line}\n"
    )
}

fn fault(text: &str) -> FieldError {
    Document::parse(text).expect_err("the document is faulty")
}

#[test]
fn left_out_fields_get_defaults() {
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
fn a_fault_names_field_value_and_allowed_range() {
    let fault = fault(&document("start_ms = 0"));

    assert_eq!(fault.field, "class.count.start_ms");
    assert_eq!(fault.value, "0");
    assert_eq!(fault.allowed, "1 to 604800000 ms");
}

#[test]
fn an_unknown_field_is_a_fault() {
    let fault = fault(&document("strat_ms = 5"));

    assert!(fault.value.contains("strat_ms"), "{fault}");
}

#[test]
fn several_tasks_need_a_kind_that_has_several() {
    let fault = fault(&document("tasks = 3"));

    assert_eq!(fault.field, "class.count.tasks");
}

#[test]
fn a_key_is_remembered_as_long_as_its_request_may_live() {
    let fault = fault(&document(
        "repeatable = false\nstart_ms = 9000\nkey_window_ms = 60000",
    ));

    assert_eq!(fault.field, "class.count.key_window_ms");
    assert_eq!(fault.value, "60000");
}

#[test]
fn a_class_name_stands_once() {
    let twice =
        document("") + &document("").replace("service = \"quotes\"\nteam = \"consorcio\"\n", "");

    let fault = fault(&twice);

    assert_eq!(fault.field, "class.name");
}

#[test]
fn no_text_makes_the_parser_panic() {
    fn parses_or_tells(text: String) -> bool {
        match Document::parse(&text) {
            Ok(document) => !document.service.as_str().is_empty(),
            Err(fault) => !fault.field.is_empty(),
        }
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(500)
        .quickcheck(parses_or_tells as fn(String) -> bool);
}

#[test]
fn every_number_in_a_span_is_accepted_or_named() {
    fn accepted_or_named(span: u64) -> bool {
        match Document::parse(&document(&format!("timeout_ms = {span}"))) {
            Ok(document) => document.class("count").is_some_and(|c| c.timeout.0 == span),
            Err(fault) => fault.field == "class.count.timeout_ms" || fault.field == "document",
        }
    }

    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 11))
        .tests(500)
        .quickcheck(accepted_or_named as fn(u64) -> bool);
}

#[test]
fn the_sample_documents_are_valid() {
    let samples = [
        include_str!("../../../docs/samples/quotes.toml"),
        include_str!("../../../docs/samples/booking.toml"),
    ];

    let checked = samples.map(Document::parse);

    assert!(checked.iter().all(Result::is_ok), "{checked:?}");
}
