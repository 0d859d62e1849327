//! Updates the attempts and flags in a request's record.

use dotterel_kernel::{Attempt, Flag, Millis, Record, RequestId};

use super::Request;
use crate::app::App;
use crate::messages::Verdict;

/// Records the start of an attempt, which may still be refused.
pub(crate) fn record_start(app: &App, request: RequestId, attempt: &Attempt) {
    app.journal.update(request, |record| {
        if position(record, attempt).is_none() {
            record.started = Some(attempt.sent);
            record.attempts.push(attempt.clone());
        }
    });
}

/// Records the end of an attempt.
pub(super) fn record_end(app: &App, request: RequestId, attempt: &Attempt, verdict: &Verdict) {
    app.journal.update(request, |record| {
        match position(record, attempt) {
            Some(index) => record.attempts[index] = attempt.clone(),
            None => record.attempts.push(attempt.clone()),
        }
        record.started = match verdict {
            Verdict::NotRun(_) => None,
            Verdict::Ran(_) | Verdict::Cut | Verdict::Unknown => Some(attempt.sent),
        };
    });
}

/// Flags a request that waited for the start limit of its class or longer, if the class has a
/// sign-off for delays.
pub(super) fn flag_delay(app: &App, request: &Request, waited: Millis) {
    let Some(sign_off) = &request.class.sign_off else {
        return;
    };
    if waited < request.class.start {
        return;
    }
    app.journal.update(request.id, |record| {
        record.flags.push(Flag::Delayed {
            sign_off: sign_off.clone(),
        });
    });
}

fn position(record: &Record, attempt: &Attempt) -> Option<usize> {
    let mut attempts = record.attempts.iter();
    attempts.position(|known| known.task == attempt.task)
}
