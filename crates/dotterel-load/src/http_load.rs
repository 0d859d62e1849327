//! The command that loads running entry nodes and counts the fates they tell.
//!
//! Requests leave at their drawn times, whatever the answers do, and each answer's time counts from
//! the time drawn.

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

/// How long an answer is waited for.
const ANSWER_LIMIT: Duration = Duration::from_secs(60);

/// What to send where.
#[derive(Args, Debug)]
pub struct Options {
    /// Addresses of entry nodes, called in turn.
    #[arg(long = "entry", value_delimiter = ',', required = true)]
    entries: Vec<SocketAddr>,
    /// The service that is called.
    #[arg(long, default_value = "quotes")]
    service: String,
    /// Classes, each as `NAME:REQUESTS_A_SECOND:RUN_MS`.
    #[arg(long = "class", value_delimiter = ',', required = true)]
    classes: Vec<Class>,
    /// How long requests are sent.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Multiplies all rates in the middle third of that time.
    #[arg(long, default_value_t = 1.0)]
    crest: f64,
    /// Seeds the times at which requests are sent.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// One class of requests.
#[derive(Clone, Debug)]
struct Class {
    name: String,
    rate: f64,
    run_ms: u64,
}

/// Answers of one class by the fate told.
#[derive(Default)]
struct Fates {
    answers: BTreeMap<String, Histogram<u64>>,
}

type Shared = Arc<Mutex<BTreeMap<String, Fates>>>;

impl FromStr for Class {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self> {
        let mut parts = text.split(':');
        let mut part = || parts.next().context("expected NAME:RATE:RUN_MS");
        Ok(Self {
            name: part()?.to_owned(),
            rate: part()?.parse()?,
            run_ms: part()?.parse()?,
        })
    }
}

/// Sends the load and prints one line for each class and fate.
///
/// # Errors
///
/// Returns an error when a rate is not above zero.
pub async fn run(options: &Options) -> Result<()> {
    let shared = Shared::default();
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut drivers = JoinSet::new();
    for (index, class) in options.classes.iter().enumerate() {
        if class.rate <= 0.0 {
            return Err(anyhow!("class {}: the rate must be above zero", class.name));
        }
        let caller = Caller {
            client: client.clone(),
            entries: options.entries.clone(),
            service: options.service.clone(),
            class: class.clone(),
            shared: shared.clone(),
        };
        let random = StdRng::seed_from_u64(options.seed + index as u64);
        drivers.spawn(drive(caller, random, options.seconds as f64, options.crest));
    }
    drivers.join_all().await;
    print(&shared, options.seed);
    Ok(())
}

#[derive(Clone)]
struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
    entries: Vec<SocketAddr>,
    service: String,
    class: Class,
    shared: Shared,
}

async fn drive(caller: Caller, mut random: StdRng, seconds: f64, crest: f64) {
    let start = Instant::now();
    let mut time = 0.0;
    let mut number = 0;
    let mut calls = JoinSet::new();
    loop {
        let middle = (seconds / 3.0..seconds * 2.0 / 3.0).contains(&time);
        let factor = if middle { crest } else { 1.0 };
        let draw = random.random::<f64>().max(f64::MIN_POSITIVE);
        time -= draw.ln() / (caller.class.rate * factor);
        if time >= seconds {
            break;
        }
        let due = start + Duration::from_secs_f64(time);
        let key = format!("{:032x}", random.random::<u128>());
        sleep_until(due).await;
        let entry = caller.entries[number % caller.entries.len()];
        calls.spawn(send(caller.clone(), entry, key, due));
        while calls.try_join_next().is_some() {}
        number += 1;
    }
    calls.join_all().await;
}

async fn send(caller: Caller, entry: SocketAddr, key: String, due: Instant) {
    let fate = match timeout(ANSWER_LIMIT, caller.call(entry, key)).await {
        Ok(Ok(fate)) => fate,
        Ok(Err(_)) => "cut".to_owned(),
        Err(_) => "silent".to_owned(),
    };
    let spent = due.elapsed().as_millis() as u64;
    let mut shared = caller.shared.lock().unwrap_or_else(PoisonError::into_inner);
    let fates = shared.entry(caller.class.name.clone()).or_default();
    let answers = fates.answers.entry(fate).or_insert_with(histogram);
    answers.saturating_record(spent);
}

impl Caller {
    /// Calls and returns the fate told, with its reason.
    async fn call(&self, entry: SocketAddr, key: String) -> Result<String> {
        let (service, class) = (&self.service, &self.class.name);
        let path = format!("http://{entry}/v1/services/{service}/requests/{class}");
        let body = format!("{{\"run_ms\":{}}}", self.class.run_ms);
        let request = Request::post(path)
            .header("idempotency-key", key)
            .header("content-type", "application/json")
            .body(Full::new(body.into()))?;
        let answer = self.client.request(request).await?;
        let fate = fate(&answer);
        answer.into_body().collect().await?;
        Ok(fate)
    }
}

fn fate(answer: &Response<Incoming>) -> String {
    let header = |name| Some(answer.headers().get(name)?.to_str().ok()?.to_owned());
    let Some(fate) = header("dotterelrelay-fate") else {
        return format!("status {}", answer.status().as_u16());
    };
    match header("dotterelrelay-reason") {
        Some(reason) => format!("{fate} ({reason})"),
        None => fate,
    }
}

fn histogram() -> Histogram<u64> {
    let limit = ANSWER_LIMIT.as_millis() as u64;
    Histogram::new_with_bounds(1, limit, 3).expect("the bounds are in order")
}

fn print(shared: &Shared, seed: u64) {
    println!("seed {seed}");
    println!(
        "{:<20} {:<24} {:>8} {:>7} {:>7} {:>7}",
        "class", "fate", "answers", "p50 ms", "p99 ms", "p99.9"
    );
    let shared = shared.lock().unwrap_or_else(PoisonError::into_inner);
    for (class, fates) in shared.iter() {
        for (fate, answers) in &fates.answers {
            println!(
                "{class:<20} {fate:<24} {:>8} {:>7} {:>7} {:>7}",
                answers.len(),
                answers.value_at_quantile(0.5),
                answers.value_at_quantile(0.99),
                answers.value_at_quantile(0.999),
            );
        }
    }
}
