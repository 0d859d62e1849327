//! `POST /v1/services/{service}/jobs/{class}`, `GET` and `DELETE /v1/jobs/{id}`.

use std::sync::Arc;

use compact_str::format_compact;
use dotterel_coord::claims::{
    self, Claim, ClaimKey, ClaimOutcome, ClaimRequest, RecordedOutcome, State,
};
use dotterel_coord::jobs::{CancelOutcome, JobSpec, SubmitOutcome};
use dotterel_kernel::{CallerKey, Class, JobId, Kind, Millis, RequestId, Service};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, handler};
use serde::{Deserialize, Serialize};

use super::response::{ErrorResponse, json};
use super::{KEY_HEADER, requests};
use crate::app::App;

/// The timeout for calls to the platform's table.
const TABLE_TIMEOUT: Millis = Millis::secs(5);

/// The response body for an accepted job.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct AcceptedJob {
    job: JobId,
}

/// Submits a job; responds with 202 once the job is durable.
pub(super) struct Post(pub(super) Arc<App>);

#[handler]
impl Post {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        match post(&self.0, req).await {
            Ok(job) => json(res, StatusCode::ACCEPTED, &AcceptedJob { job }),
            Err(err) => err.write(res),
        }
    }
}

async fn post(app: &Arc<App>, req: &mut Request) -> Result<JobId, ErrorResponse> {
    let service = Service(req.param::<String>("service").unwrap_or_default().into());
    let name = req.param::<String>("class").unwrap_or_default();
    let class = requests::find_class(app, &service, &name)?;
    if class.kind == Kind::Interactive {
        let reason = format_compact!("class {name} runs as requests, not as jobs");
        return Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "class", reason)
            .allowed("classes of kind batch, gang or service"));
    }
    let key = requests::idempotency_key(req)?;
    if key.is_none() && !class.repeatable {
        return Err(requests::key_required(&name));
    }
    let body = requests::read_body(app, req).await?;
    let origin = app.settings.data_centre.clone();
    let task_ttl = app.settings.lease_terms.task_ttl();
    let spec = JobSpec::new(service, &class, origin, task_ttl, body).map_err(|err| {
        ErrorResponse::new(StatusCode::BAD_REQUEST, "job", format_compact!("{err}"))
    })?;
    match key {
        None => submit(app, &spec).await,
        Some(key) => submit_with_key(app, &class, key, &spec).await,
    }
}

/// Submits a job under an idempotency key. A repeated call returns the same job.
async fn submit_with_key(
    app: &App,
    class: &Class,
    key: CallerKey,
    spec: &JobSpec,
) -> Result<JobId, ErrorResponse> {
    let now = app.clock.now();
    let claim_request = ClaimRequest {
        key: ClaimKey {
            service: spec.service.clone(),
            key,
        },
        digest: claims::digest(&spec.body),
        request: RequestId::generate(),
        window: class.key_window,
        deadline: now + TABLE_TIMEOUT,
    };
    match app.claims.claim(claim_request).await {
        ClaimOutcome::Won(claim) => submit_claimed(app, claim, spec).await,
        ClaimOutcome::Unavailable => Err(not_accepted()),
        ClaimOutcome::Mismatch(_) => Err(ErrorResponse::new(
            StatusCode::CONFLICT,
            KEY_HEADER,
            "used before with another body",
        )),
        ClaimOutcome::Repeat(entry) => match entry.state {
            State::Claimed => Err(ErrorResponse::new(
                StatusCode::GATEWAY_TIMEOUT,
                KEY_HEADER,
                "a call with this key has no recorded outcome yet",
            )),
            State::Done(outcome) => recorded_job(app, &outcome).await,
        },
    }
}

async fn submit_claimed(app: &App, claim: Claim, spec: &JobSpec) -> Result<JobId, ErrorResponse> {
    let deadline = app.clock.now() + TABLE_TIMEOUT;
    match app.jobs.submit(spec, deadline).await {
        SubmitOutcome::Accepted(job) => {
            let body = serde_json::to_vec(&AcceptedJob { job }).unwrap_or_default();
            let status = StatusCode::ACCEPTED.as_u16();
            let outcome = RecordedOutcome::inline(status, "application/json".into(), body.into());
            let deadline = app.clock.now() + TABLE_TIMEOUT;
            app.claims.settle(&claim, outcome, deadline).await;
            Ok(job)
        }
        // The job may have been accepted, so the key stays claimed.
        SubmitOutcome::Unknown(job) => Err(outcome_unknown(job)),
        SubmitOutcome::Refused(err) => {
            app.claims.release(claim, deadline).await;
            let text = format_compact!("{err}");
            Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "job", text))
        }
        SubmitOutcome::Unavailable => {
            app.claims.release(claim, deadline).await;
            Err(not_accepted())
        }
    }
}

async fn submit(app: &App, spec: &JobSpec) -> Result<JobId, ErrorResponse> {
    let deadline = app.clock.now() + TABLE_TIMEOUT;
    match app.jobs.submit(spec, deadline).await {
        SubmitOutcome::Accepted(job) => Ok(job),
        SubmitOutcome::Unknown(job) => Err(outcome_unknown(job)),
        SubmitOutcome::Unavailable => Err(not_accepted()),
        SubmitOutcome::Refused(err) => {
            let text = format_compact!("{err}");
            Err(ErrorResponse::new(StatusCode::BAD_REQUEST, "job", text))
        }
    }
}

/// Returns the job that an earlier call with the same key submitted.
async fn recorded_job(app: &App, outcome: &RecordedOutcome) -> Result<JobId, ErrorResponse> {
    let body = app.claims.body(outcome).await.ok().flatten();
    let accepted = body.and_then(|body| serde_json::from_slice::<AcceptedJob>(&body).ok());
    accepted.map(|accepted| accepted.job).ok_or_else(|| {
        ErrorResponse::new(
            StatusCode::CONFLICT,
            KEY_HEADER,
            "used before for something other than a job",
        )
    })
}

fn not_accepted() -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "job",
        "not accepted: the platform's table did not answer",
    )
}

fn outcome_unknown(job: JobId) -> ErrorResponse {
    ErrorResponse::new(
        StatusCode::GATEWAY_TIMEOUT,
        "job",
        format_compact!("may have been accepted; ask /v1/jobs/{job}"),
    )
}

/// Returns the progress of a job.
pub(super) struct Get(pub(super) Arc<App>);

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let found = match job_id(req) {
            Ok(job) => self.0.jobs.progress(job).await,
            Err(err) => return err.write(res),
        };
        match found {
            Ok(Some(progress)) => json(res, StatusCode::OK, &progress),
            Ok(None) => ErrorResponse::new(StatusCode::NOT_FOUND, "id", "no such job").write(res),
            Err(err) => {
                let text = format_compact!("the platform's table did not answer: {err}");
                ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "id", text).write(res);
            }
        }
    }
}

/// Cancels a job.
pub(super) struct Delete(pub(super) Arc<App>);

#[handler]
impl Delete {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let job = match job_id(req) {
            Ok(job) => job,
            Err(err) => return err.write(res),
        };
        let deadline = self.0.clock.now() + TABLE_TIMEOUT;
        match self.0.jobs.cancel(&[job], deadline).await {
            CancelOutcome::Durable => json(res, StatusCode::ACCEPTED, &AcceptedJob { job }),
            CancelOutcome::Unavailable => {
                let text = "the platform's table did not answer; cancel again";
                ErrorResponse::new(StatusCode::SERVICE_UNAVAILABLE, "id", text).write(res);
            }
        }
    }
}

fn job_id(req: &Request) -> Result<JobId, ErrorResponse> {
    let text = req.param::<String>("id").unwrap_or_default();
    text.parse().map_err(|_| {
        ErrorResponse::new(StatusCode::BAD_REQUEST, "id", "not a job's identifier")
            .allowed("a UUID, as in the answer to the submission")
    })
}
