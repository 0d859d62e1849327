//! The `run` command: sends requests to running entry nodes and counts the responses by fate.
//!
//! The load is open-loop. Send times are drawn at random, requests are sent whether or not earlier
//! ones have completed, and each latency is measured from the intended send time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use anyhow::{Context, Result, anyhow};
use bytes::Bytes;
use clap::Args;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Load to send and its targets.
#[derive(Args, Debug)]
pub struct Options {
    /// HTTP addresses of entry nodes, called in round-robin order.
    #[arg(long = "entry", value_delimiter = ',', required = true)]
    entries: Vec<SocketAddr>,
    /// Service of the requests.
    #[arg(long, default_value = "quotes")]
    service: String,
    /// Classes of requests, each as `NAME:REQUESTS_PER_SECOND:RUN_MS`.
    #[arg(long = "class", value_delimiter = ',', required = true)]
    classes: Vec<Class>,
    /// Duration of the load, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Factor for all rates during the middle third of the duration.
    #[arg(long, default_value_t = 1.0)]
    crest: f64,
    /// Seed for the send times and the idempotency keys.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Requests to send of one class.
#[derive(Clone, Debug)]
struct Class {
    name: String,
    rate: f64,
    run_ms: u64,
}

/// Response latencies of one class in milliseconds, by fate.
#[derive(Default)]
struct ClassStats {
    latencies: BTreeMap<String, Histogram<u64>>,
}

type SharedStats = Arc<Mutex<BTreeMap<String, ClassStats>>>;

impl FromStr for Class {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.split(':');
        let mut next_part = || parts.next().context("expected NAME:RATE:RUN_MS");
        Ok(Self {
            name: next_part()?.to_owned(),
            rate: next_part()?.parse()?,
            run_ms: next_part()?.parse()?,
        })
    }
}

/// Sends the load and prints one line per class and fate.
///
/// # Errors
///
/// Returns an error when a rate is not positive.
pub async fn run(options: &Options) -> Result<()> {
    let stats = SharedStats::default();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut senders = JoinSet::new();
    for (index, class) in options.classes.iter().enumerate() {
        if class.rate <= 0.0 {
            return Err(anyhow!("class {}: the rate must be positive", class.name));
        }
        let sender = RequestSender {
            client: client.clone(),
            entries: options.entries.clone(),
            service: options.service.clone(),
            class: class.clone(),
            stats: stats.clone(),
        };
        let rng = StdRng::seed_from_u64(options.seed + index as u64);
        senders.spawn(send_load(
            sender,
            rng,
            options.seconds as f64,
            options.crest,
        ));
    }
    senders.join_all().await;
    print_stats(&stats, options.seed);
    Ok(())
}

#[derive(Clone)]
struct RequestSender {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
    service: String,
    class: Class,
    stats: SharedStats,
}

async fn send_load(sender: RequestSender, mut rng: StdRng, seconds: f64, crest: f64) {
    let start = Instant::now();
    let mut time = 0.0;
    let mut number = 0;
    let mut calls = JoinSet::new();
    loop {
        let in_crest = (seconds / 3.0..seconds * 2.0 / 3.0).contains(&time);
        let factor = if in_crest { crest } else { 1.0 };
        let draw = rng.random::<f64>().max(f64::MIN_POSITIVE);
        time -= draw.ln() / (sender.class.rate * factor);
        if time >= seconds {
            break;
        }
        let due = start + Duration::from_secs_f64(time);
        let key = format!("{:032x}", rng.random::<u128>());
        sleep_until(due).await;
        let entry = sender.entries[number % sender.entries.len()];
        calls.spawn(send(sender.clone(), entry, key, due));
        while calls.try_join_next().is_some() {}
        number += 1;
    }
    calls.join_all().await;
}

async fn send(sender: RequestSender, entry: SocketAddr, key: String, due: Instant) {
    let fate = match timeout(RESPONSE_TIMEOUT, sender.call(entry, key)).await {
        Ok(Ok(fate)) => fate,
        Ok(Err(_)) => "cut".to_owned(),
        Err(_) => "silent".to_owned(),
    };
    let latency_ms = due.elapsed().as_millis() as u64;
    let mut stats = sender.stats.lock().unwrap_or_else(PoisonError::into_inner);
    let class_stats = stats.entry(sender.class.name.clone()).or_default();
    let latencies = class_stats
        .latencies
        .entry(fate)
        .or_insert_with(latency_histogram);
    latencies.saturating_record(latency_ms);
}

impl RequestSender {
    /// Sends one request and returns the fate in its response, with the reason if there is one.
    async fn call(&self, entry: SocketAddr, key: String) -> Result<String> {
        let (service, class) = (&self.service, &self.class.name);
        let path = format!("http://{entry}/v1/services/{service}/requests/{class}");
        let body = format!("{{\"run_ms\":{}}}", self.class.run_ms);
        let request = Request::post(path)
            .header("idempotency-key", key)
            .header("content-type", "application/json")
            .body(Full::new(body.into()))?;
        let response = self.client.request(request).await?;
        let fate = response_fate(&response);
        response.into_body().collect().await?;
        Ok(fate)
    }
}

fn response_fate(response: &Response<Incoming>) -> String {
    let header = |name| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let Some(fate) = header("dotterelrelay-fate") else {
        return format!("status {}", response.status().as_u16());
    };
    match header("dotterelrelay-reason") {
        Some(reason) => format!("{fate} ({reason})"),
        None => fate,
    }
}

fn latency_histogram() -> Histogram<u64> {
    let max_ms = RESPONSE_TIMEOUT.as_millis() as u64;
    Histogram::new_with_bounds(1, max_ms, 3).expect("the bounds are in order")
}

fn print_stats(stats: &SharedStats, seed: u64) {
    println!("seed {seed}");
    println!(
        "{:<20} {:<24} {:>8} {:>7} {:>7} {:>7}",
        "class", "fate", "answers", "p50 ms", "p99 ms", "p99.9"
    );
    let stats = stats.lock().unwrap_or_else(PoisonError::into_inner);
    for (class, class_stats) in stats.iter() {
        for (fate, latencies) in &class_stats.latencies {
            println!(
                "{class:<20} {fate:<24} {:>8} {:>7} {:>7} {:>7}",
                latencies.len(),
                latencies.value_at_quantile(0.5),
                latencies.value_at_quantile(0.99),
                latencies.value_at_quantile(0.999),
            );
        }
    }
}
