//! A constant open-loop load: requests are sent at fixed times, whether or not earlier ones have
//! completed.

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

const MAX_LATENCY_MS: u64 = 60_000;

/// Sends requests at a constant rate until it is stopped.
pub(super) struct LoadGenerator {
    task: JoinHandle<()>,
    stats: Arc<Mutex<LoadStats>>,
}

/// Counts and latencies of the completed requests.
#[derive(Clone)]
pub(super) struct LoadStats {
    /// Responses with status 200.
    ran: u64,
    /// Other responses, and requests without a response.
    other: u64,
    /// Milliseconds from the intended send time to the response.
    latency: Histogram<u64>,
}

/// Sends requests of one class and run time.
struct RequestSender {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
    class: String,
    run_ms: u64,
    stats: Arc<Mutex<LoadStats>>,
}

impl LoadStats {
    fn new() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_MS, 3);
        Self {
            ran: 0,
            other: 0,
            latency: latency.expect("the bounds are in order"),
        }
    }
}

impl LoadGenerator {
    /// Starts sending `rate` requests per second; zero sends none.
    pub(super) fn start(entries: Vec<SocketAddr>, rate: u64, class: &str, run_ms: u64) -> Self {
        let stats = Arc::new(Mutex::new(LoadStats::new()));
        let sender = RequestSender {
            client: Client::builder(TokioExecutor::new()).build_http(),
            entries,
            class: class.to_owned(),
            run_ms,
            stats: stats.clone(),
        };
        let task = tokio::spawn(send_at_rate(Arc::new(sender), rate));
        Self { task, stats }
    }

    /// Discards the counts and latencies recorded so far.
    pub(super) fn reset(&self) {
        *lock(&self.stats) = LoadStats::new();
    }

    /// Stops sending and returns the statistics of the completed requests; those in flight are not
    /// counted.
    pub(super) fn stop(self) -> LoadStats {
        self.task.abort();
        lock(&self.stats).clone()
    }
}

async fn send_at_rate(sender: Arc<RequestSender>, rate: u64) {
    if rate == 0 {
        return;
    }
    let start = Instant::now();
    for number in 0.. {
        let due = start + Duration::from_nanos(number * 1_000_000_000 / rate);
        tokio::time::sleep_until(due).await;
        tokio::spawn(send(sender.clone(), number, due));
    }
}

async fn send(sender: Arc<RequestSender>, number: u64, due: Instant) {
    let entry = sender.entries[number as usize % sender.entries.len()];
    let status = sender.call(entry).await;
    let latency_ms = due.elapsed().as_millis() as u64;
    let mut stats = lock(&sender.stats);
    match status {
        Some(StatusCode::OK) => stats.ran += 1,
        _ => stats.other += 1,
    }
    stats.latency.saturating_record(latency_ms.max(1));
}

impl RequestSender {
    async fn call(&self, entry: SocketAddr) -> Option<StatusCode> {
        let path = format!("http://{entry}/v1/services/quotes/requests/{}", self.class);
        let key: u128 = rand::rng().random();
        let body = format!("{{\"run_ms\":{}}}", self.run_ms);
        let request = Request::post(path)
            .header("idempotency-key", format!("{key:032x}"))
            .header("content-type", "application/json")
            .body(Full::new(body.into()))
            .ok()?;
        let response = self.client.request(request).await.ok()?;
        let status = response.status();
        response.into_body().collect().await.ok()?;
        Some(status)
    }
}

impl fmt::Display for LoadStats {
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

fn lock(stats: &Mutex<LoadStats>) -> std::sync::MutexGuard<'_, LoadStats> {
    stats.lock().unwrap_or_else(PoisonError::into_inner)
}
