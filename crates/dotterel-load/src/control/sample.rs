//! A sample of a node's process statistics and traffic counters.

use std::fs;
use std::net::SocketAddr;
use std::time::Instant;

use anyhow::{Context, Result};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Clock ticks per second in `/proc`, the same on all Linux systems.
const TICKS_PER_SECOND: f64 = 100.0;
const KB_PER_MB: f64 = 1024.0;
const BYTES_METRIC: &str = "dotterel_traffic_bytes_total";
const CALLS_METRIC: &str = "dotterel_traffic_calls_total";

/// A node's totals since its start and its present memory use.
pub(super) struct Sample {
    pub(super) at: Instant,
    pub(super) cpu_seconds: f64,
    pub(super) memory_mb: f64,
    pub(super) peak_mb: f64,
    /// Bytes sent and received by purpose, sorted by purpose.
    pub(super) bytes: Vec<(String, f64)>,
    pub(super) calls: f64,
}

impl Sample {
    /// Reads the metrics at `entry` and the statistics of the process `pid`.
    pub(super) async fn take(entry: SocketAddr, pid: u32) -> Result<Self> {
        let text = scrape(entry).await?;
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let mut bytes: Vec<(String, f64)> = Vec::new();
        for (purpose, value) in metric_values(&text, BYTES_METRIC) {
            match bytes.binary_search_by(|entry| entry.0.cmp(&purpose)) {
                Ok(index) => bytes[index].1 += value,
                Err(index) => bytes.insert(index, (purpose, value)),
            }
        }
        Ok(Self {
            at: Instant::now(),
            cpu_seconds: cpu_seconds(pid)?,
            memory_mb: field_mb(&status, "VmRSS:")?,
            peak_mb: field_mb(&status, "VmHWM:")?,
            bytes,
            calls: metric_values(&text, CALLS_METRIC)
                .map(|(_, value)| value)
                .sum(),
        })
    }

    pub(super) fn purposes(&self) -> Vec<String> {
        self.bytes
            .iter()
            .map(|(purpose, _)| purpose.clone())
            .collect()
    }

    pub(super) fn bytes_of(&self, purpose: &str) -> f64 {
        let found = self.bytes.iter().find(|(name, _)| name == purpose);
        found.map_or(0.0, |(_, bytes)| *bytes)
    }
}

async fn scrape(entry: SocketAddr) -> Result<String> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let request = Request::get(format!("http://{entry}/metrics")).body(Empty::<Bytes>::new())?;
    let response = client.request(request).await.context("metrics")?;
    let body = response.into_body().collect().await?.to_bytes();
    Ok(String::from_utf8(body.to_vec())?)
}

/// Returns each value of a metric with its `purpose` label.
fn metric_values<'a>(text: &'a str, metric: &'a str) -> impl Iterator<Item = (String, f64)> + 'a {
    text.lines().filter_map(move |line| {
        let labels = line.strip_prefix(metric)?;
        let (_, rest) = labels.split_once("purpose=\"")?;
        let (purpose, _) = rest.split_once('"')?;
        let (_, value) = labels.rsplit_once(' ')?;
        Some((purpose.to_owned(), value.parse().ok()?))
    })
}

fn cpu_seconds(pid: u32) -> Result<f64> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The program name, in parentheses, may contain spaces, so fields are counted after it.
    let (_, fields) = stat.rsplit_once(')').context("stat")?;
    let mut fields = fields.split_whitespace().skip(11);
    let user: f64 = fields.next().context("utime")?.parse()?;
    let system: f64 = fields.next().context("stime")?.parse()?;
    Ok((user + system) / TICKS_PER_SECOND)
}

fn field_mb(status: &str, field: &str) -> Result<f64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field));
    let kb = line.and_then(|line| line.split_whitespace().next());
    let kb: f64 = kb.context("memory")?.parse()?;
    Ok(kb / KB_PER_MB)
}
