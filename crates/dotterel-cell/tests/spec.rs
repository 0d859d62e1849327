//! Validation of what callers submit.

use dotterel_cell::{JobId, JobSpec, RawJob, RawStep, SpecError, Step, TaskName};

// Guards against a job that runs under the name of another one, whose id differs in the case of a letter.
#[test]
fn ids_have_one_spelling() {
    let lower = "5c0e7a21d94b36f8".parse::<JobId>();
    let upper = "5C0E7A21D94B36F8".parse::<JobId>();
    let mixed = "5c0e7a21d94b36F8".parse::<JobId>();

    assert_eq!(lower, Ok(JobId(0x5c0e_7a21_d94b_36f8)));
    assert_eq!((upper, mixed), (Err(SpecError::Id), Err(SpecError::Id)));
    assert_eq!(
        "5C0E7A21D94B36F8.0.0.0".parse::<TaskName>(),
        Err(SpecError::Id)
    );
}

#[test]
fn an_id_is_written_as_it_was_read() {
    for text in ["0000000000000000", "5c0e7a21d94b36f8", "ffffffffffffffff"] {
        let id: JobId = text.parse().expect("the id is valid");

        assert_eq!(id.to_string(), text);
    }
}

/// Returns a job with steps of 20,000 tasks each.
fn job_of(steps: usize) -> RawJob {
    let step = Step {
        count: 20_000,
        ..Step::default()
    };
    let raw = RawStep {
        step,
        after: Vec::new(),
    };
    RawJob {
        steps: vec![raw; steps],
        ..RawJob::default()
    }
}

// Guards against a job whose progress can't be stored, so that its ends are never acknowledged.
#[test]
fn a_job_too_large_to_be_stored_is_rejected() {
    let accepted = JobSpec::try_from(job_of(10));
    let rejected = JobSpec::try_from(job_of(11));

    assert!(accepted.is_ok());
    assert_eq!(rejected, Err(SpecError::JobTaskCount));
}

// Guards against a job whose own row the store refuses: its steps come after all earlier ones, or its names are long.
#[test]
fn a_job_whose_row_would_be_too_long_is_rejected() {
    let mut raw = job_of(1);
    raw.steps[0].step.count = 1;
    raw.steps = vec![raw.steps[0].clone(); 256];
    for (number, step) in (0..).zip(&mut raw.steps) {
        step.after = (0..number).collect();
        step.step.image = "a".repeat(40).into();
    }
    let mut named = job_of(1);
    named.steps[0].step.label = "a".repeat(57_000).into();
    let mut long = job_of(1);
    long.text = "a".repeat(4000).into();

    assert_eq!(JobSpec::try_from(raw).err(), Some(SpecError::TooLong));
    assert_eq!(JobSpec::try_from(named).err(), Some(SpecError::TooLong));
    assert_eq!(JobSpec::try_from(long).err(), None);
}
