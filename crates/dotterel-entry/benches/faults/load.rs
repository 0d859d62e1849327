//! Open-loop load: calls are sent at scheduled times, whether or not earlier ones have ended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use dotterel_kernel::{Clock, Millis};
use http::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::callers::{Outcome, WAIT_TIMEOUT, send};
use crate::cell::Balancer;

/// Minimum and maximum run time of a task, in milliseconds.
const RUN_MS: (u64, u64) = (240, 720);

/// The classes of the calls, each with its share in percent and whether it is repeatable.
const CLASSES: [(&str, u32, bool); 3] = [
    ("bracket-count", 35, true),
    ("layout", 35, true),
    ("roof-order", 30, false),
];

/// How a call ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The task ran and succeeded.
    Ran,
    /// The task ran and failed.
    Failed,
    /// The request did not run, for this reason.
    NotRun(String),
    /// It is unknown whether the request ran.
    Unknown,
    /// The node refused the call without a fate.
    Refused(StatusCode),
    /// The connection could not be opened.
    NotSent,
    /// The connection closed, or timed out, before the response was complete.
    Lost,
}

/// One completed call.
#[derive(Clone, Debug)]
pub(crate) struct Sample {
    /// The scheduled send time.
    pub(crate) due: Millis,
    /// The time at which the call ended.
    pub(crate) ended: Millis,
    /// The node that the call was sent to.
    pub(crate) node: String,
    pub(crate) repeatable: bool,
    pub(crate) end: End,
}

/// A running load generator.
pub(crate) struct Load {
    samples: Arc<Mutex<Vec<Sample>>>,
    task: tokio::task::JoinHandle<()>,
}

impl Load {
    /// Starts to send calls to the balancer's nodes in turn, at exponentially distributed
    /// intervals.
    pub(crate) fn start(
        balancer: Balancer,
        clock: Clock,
        per_second: f64,
        span: Duration,
        seed: u64,
    ) -> Self {
        let samples = Arc::default();
        let send = send_all(
            balancer,
            clock,
            per_second,
            span,
            seed,
            Arc::clone(&samples),
        );
        let task = tokio::spawn(send);
        Self { samples, task }
    }

    /// Waits until all calls have ended and returns them.
    pub(crate) async fn finish(self) -> Vec<Sample> {
        self.task.await.expect("the load does not panic");
        let mut samples = self.samples.lock().expect("the lock is not poisoned");
        std::mem::take(&mut *samples)
    }
}

async fn send_all(
    balancer: Balancer,
    clock: Clock,
    per_second: f64,
    span: Duration,
    seed: u64,
    samples: Arc<Mutex<Vec<Sample>>>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    let (begin, mut offset) = (tokio::time::Instant::now(), Duration::ZERO);
    let origin = clock.now();
    let mut calls = JoinSet::new();
    let mut number = 0_usize;
    loop {
        let uniform: f64 = rng.random();
        offset += Duration::from_secs_f64(-(1.0 - uniform).ln() / per_second);
        let (class, repeatable) = pick(rng.random_range(0..100));
        let run = rng.random_range(RUN_MS.0..=RUN_MS.1);
        if offset >= span {
            break;
        }
        tokio::time::sleep_until(begin + offset).await;
        let nodes = balancer.lock().expect("the lock is not poisoned").clone();
        let (node, addr) = nodes[number % nodes.len()].clone();
        let key = (!repeatable).then(|| format!("{seed}-{number}"));
        let due =
            origin + Millis(u64::try_from(offset.as_millis()).expect("the offset fits in 64 bits"));
        let samples = samples.clone();
        calls.spawn(async move {
            let end = call(addr, class, key.as_deref(), run).await;
            let sample = Sample {
                due,
                ended: clock.now(),
                node,
                repeatable,
                end,
            };
            samples
                .lock()
                .expect("the lock is not poisoned")
                .push(sample);
        });
        number += 1;
    }
    while calls.join_next().await.is_some() {}
}

fn pick(mut number: u32) -> (&'static str, bool) {
    for (class, share, repeatable) in CLASSES {
        if number < share {
            return (class, repeatable);
        }
        number -= share;
    }
    unreachable!("the shares add up to 100")
}

async fn call(addr: SocketAddr, class: &str, key: Option<&str>, run: u64) -> End {
    let path = format!("/v1/services/quotes/requests/{class}");
    let headers: Vec<_> = key
        .map(|key| ("idempotency-key", key))
        .into_iter()
        .collect();
    let body = Bytes::from(format!("{{\"run_ms\": {run}}}"));
    let response = send(addr, Method::POST, &path, &headers, body);
    let (status, headers, _) = match timeout(WAIT_TIMEOUT, response).await {
        Ok(Ok(response)) => response,
        Ok(Err(Outcome::NotSent)) => return End::NotSent,
        Ok(Err(_)) | Err(_) => return End::Lost,
    };
    let header = |name| headers.get(name).and_then(|value| value.to_str().ok());
    match header("dotterelrelay-fate") {
        Some("ran") if status.is_success() => End::Ran,
        Some("ran") => End::Failed,
        Some("not-run") => End::NotRun(
            header("dotterelrelay-reason")
                .unwrap_or_default()
                .to_owned(),
        ),
        Some("unknown") => End::Unknown,
        _ => End::Refused(status),
    }
}
