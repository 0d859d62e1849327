//! Claims the idempotency keys of unrepeatable requests.

use dotterel_coord::claims::{
    self, Claim, ClaimKey, ClaimOutcome, ClaimRequest, Durability, RecordedOutcome, State,
};
use dotterel_kernel::{Millis, Reason};

use super::{Outcome, Request};
use crate::app::App;

/// Maximum time that the answer is delayed until its record is durable.
const RECORD_TIMEOUT: Millis = Millis(500);

/// Claims the key of an unrepeatable request; a repeatable one needs no claim.
///
/// # Errors
///
/// Returns the outcome to report if the request must not be dispatched.
pub(super) async fn claim(app: &App, request: &Request) -> Result<Option<Claim>, Outcome> {
    if request.class.repeatable {
        return Ok(None);
    }
    let Some(key) = request.key.clone() else {
        return Err(Outcome::NotRun(Reason::ClaimUnavailable));
    };
    let claim_request = ClaimRequest {
        key: ClaimKey {
            service: request.service.clone(),
            key,
        },
        digest: claims::digest(&request.body),
        request: request.id,
        window: request.class.key_window,
        deadline: request.deadline,
    };
    match app.claims.claim(claim_request).await {
        ClaimOutcome::Won(claim) => Ok(Some(claim)),
        ClaimOutcome::Mismatch(earlier) => Err(Outcome::Mismatch(earlier)),
        ClaimOutcome::Unavailable => Err(Outcome::NotRun(Reason::ClaimUnavailable)),
        ClaimOutcome::Repeat(entry) => match entry.state {
            State::Claimed => Err(Outcome::Unrecorded(entry)),
            State::Done(outcome) => Err(Outcome::Recorded {
                request: entry.request,
                outcome: with_body(app, outcome).await,
            }),
        },
    }
}

/// Returns the recorded outcome with its full body if that can be read, else without it.
async fn with_body(app: &App, outcome: RecordedOutcome) -> RecordedOutcome {
    match app.claims.body(&outcome).await {
        Ok(Some(body)) => RecordedOutcome::inline(outcome.status, outcome.content_type, body),
        Ok(None) | Err(_) => outcome,
    }
}

/// Records the outcome in the claim, or releases the claim if the request did not run.
pub(super) async fn settle_claim(
    app: &App,
    request: &Request,
    claim: Option<Claim>,
    outcome: &Outcome,
) {
    let Some(claim) = claim else {
        return;
    };
    let until = app.clock.now() + RECORD_TIMEOUT;
    let written = match outcome {
        Outcome::Ran { answer, .. } => {
            let recorded = RecordedOutcome::inline(
                answer.status,
                answer.content_type.clone(),
                answer.body.clone(),
            );
            app.claims.settle(&claim, recorded, until).await
        }
        Outcome::NotRun(_) => app.claims.release(claim, until).await,
        // The key stays claimed, because the request may have run.
        _ => Durability::Durable,
    };
    if written == Durability::Pending {
        log::warn!(request:% = request.id; "claim outcome not yet durable");
    }
}
