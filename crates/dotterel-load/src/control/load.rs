//! A steady open-loop load: requests leave at their times, whatever the answers do.

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::RngExt;
use tokio::task::JoinHandle;
use tokio::time::Instant;

const MOST_MS: u64 = 60_000;

/// A load that runs until it is stopped.
pub(super) struct Load {
    task: JoinHandle<()>,
    outcome: Arc<Mutex<Outcome>>,
}

/// What became of the requests.
#[derive(Clone)]
pub(super) struct Outcome {
    ran: u64,
    other: u64,
    /// Milliseconds from the intended start to the answer.
    latency: Histogram<u64>,
}

/// One kind of request, as it is sent again and again.
struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
    class: String,
    run_ms: u64,
    outcome: Arc<Mutex<Outcome>>,
}

impl Outcome {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MOST_MS, 3);
        Self {
            ran: 0,
            other: 0,
            latency: latency.expect("the bounds are in order"),
        }
    }
}

impl Load {
    /// Starts `rate` requests a second; zero starts none.
    pub(super) fn start(entries: Vec<SocketAddr>, rate: u64, class: &str, run_ms: u64) -> Self {
        let outcome = Arc::new(Mutex::new(Outcome::new()));
        let caller = Caller {
            client: Client::builder(TokioExecutor::new()).build_http(),
            entries,
            class: class.to_owned(),
            run_ms,
            outcome: outcome.clone(),
        };
        let task = tokio::spawn(drive(Arc::new(caller), rate));
        Self { task, outcome }
    }

    /// Forgets what has been counted.
    pub(super) fn reset(&self) {
        *lock(&self.outcome) = Outcome::new();
    }

    /// Ends the load and returns what became of the answered requests.
    pub(super) fn stop(self) -> Outcome {
        self.task.abort();
        lock(&self.outcome).clone()
    }
}

async fn drive(caller: Arc<Caller>, rate: u64) {
    if rate == 0 {
        return;
    }
    let start = Instant::now();
    for number in 0.. {
        let due = start + Duration::from_nanos(number * 1_000_000_000 / rate);
        tokio::time::sleep_until(due).await;
        tokio::spawn(send(caller.clone(), number, due));
    }
}

async fn send(caller: Arc<Caller>, number: u64, due: Instant) {
    let entry = caller.entries[number as usize % caller.entries.len()];
    let status = caller.call(entry).await;
    let spent = due.elapsed().as_millis() as u64;
    let mut outcome = lock(&caller.outcome);
    match status {
        Some(StatusCode::OK) => outcome.ran += 1,
        _ => outcome.other += 1,
    }
    outcome.latency.saturating_record(spent.max(1));
}

impl Caller {
    async fn call(&self, entry: SocketAddr) -> Option<StatusCode> {
        let path = format!("http://{entry}/v1/services/quotes/requests/{}", self.class);
        let key: u128 = rand::rng().random();
        let body = format!("{{\"run_ms\":{}}}", self.run_ms);
        let request = Request::post(path)
            .header("idempotency-key", format!("{key:032x}"))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .ok()?;
        let answer = self.client.request(request).await.ok()?;
        let status = answer.status();
        answer.into_body().collect().await.ok()?;
        Some(status)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "load: ran {}, other {}, answer p50 {} ms, p99 {} ms, p99.9 {} ms",
            self.ran,
            self.other,
            self.latency.value_at_quantile(0.5),
            self.latency.value_at_quantile(0.99),
            self.latency.value_at_quantile(0.999),
        )
    }
}

fn lock(outcome: &Mutex<Outcome>) -> std::sync::MutexGuard<'_, Outcome> {
    outcome.lock().unwrap_or_else(PoisonError::into_inner)
}
