//! What running entry nodes spend: processor time, memory and bytes by purpose.
//!
//! The nodes run already; their processes are read through `/proc` and their counters through
//! `/metrics`, once at the beginning and once at the end of the span.

mod load;
mod sample;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use clap::Args;

use load::Load;
use sample::Sample;

const BYTES_PER_KB: f64 = 1000.0;

/// What is sampled, and under which load.
#[derive(Args, Debug)]
pub struct Options {
    /// Addresses of the nodes' HTTP, in the order of their processes.
    #[arg(long = "entry", value_delimiter = ',', required = true)]
    entries: Vec<SocketAddr>,
    /// Process ids of the nodes.
    #[arg(long = "pid", value_delimiter = ',', required = true)]
    pids: Vec<u32>,
    /// How long the nodes are watched.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// How long to wait, under the load, before the first sample.
    #[arg(long, default_value_t = 5)]
    warmup: u64,
    /// Requests a second, spread over the nodes in turn.
    #[arg(long, default_value_t = 0)]
    rate: u64,
    /// The class that is called.
    #[arg(long, default_value = "count")]
    class: String,
    /// How long each request runs on its worker.
    #[arg(long, default_value_t = 50)]
    run_ms: u64,
    /// Words put in front of each line of CSV, to tell runs apart.
    #[arg(long, default_value = "run")]
    label: String,
}

/// Samples the nodes and prints one line for each and one line of CSV for their means.
///
/// # Errors
///
/// Returns an error when a node cannot be read.
pub async fn run(options: &Options) -> Result<()> {
    ensure!(
        options.entries.len() == options.pids.len(),
        "each entry needs a process id"
    );
    let load = Load::start(
        options.entries.clone(),
        options.rate,
        &options.class,
        options.run_ms,
    );
    tokio::time::sleep(Duration::from_secs(options.warmup)).await;
    load.reset();
    let before = samples(options).await?;
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let after = samples(options).await?;
    let outcome = load.stop();
    let purposes = after[0].purposes();
    print!("{:>21} {:>6} {:>6} {:>6}", "entry", "cpu %", "MB", "peak");
    purposes.iter().for_each(|purpose| print!(" {purpose:>8}"));
    println!(" {:>8} {:>8}", "control", "calls/s");
    let costs: Vec<Cost> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| Cost::between(before, after))
        .collect();
    for (entry, cost) in options.entries.iter().zip(&costs) {
        println!("{:>21} {}", entry.to_string(), cost.line());
    }
    let mean = Cost::mean(&costs);
    println!("{:>21} {}", "mean", mean.line());
    println!("csv,{},{}", options.label, mean.csv());
    if options.rate > 0 {
        println!("{outcome}");
    }
    Ok(())
}

async fn samples(options: &Options) -> Result<Vec<Sample>> {
    let mut samples = Vec::new();
    for (entry, pid) in options.entries.iter().zip(&options.pids) {
        samples.push(Sample::take(*entry, *pid).await?);
    }
    Ok(samples)
}

/// What a node spent between two samples.
struct Cost {
    /// Processor time in hundredths of a core.
    cpu: f64,
    memory_mb: f64,
    peak_mb: f64,
    /// KB a second, sent and received, by purpose.
    kb: Vec<(String, f64)>,
    calls: f64,
}

impl Cost {
    fn between(before: &Sample, after: &Sample) -> Self {
        let span = (after.at - before.at).as_secs_f64();
        let kb = after.bytes.iter().map(|(purpose, bytes)| {
            let earlier = before.bytes_of(purpose);
            let kb = (bytes - earlier) / span / BYTES_PER_KB;
            (purpose.clone(), kb)
        });
        Self {
            cpu: 100.0 * (after.cpu_seconds - before.cpu_seconds) / span,
            memory_mb: after.memory_mb,
            peak_mb: after.peak_mb,
            kb: kb.collect(),
            calls: (after.calls - before.calls) / span,
        }
    }

    fn mean(costs: &[Self]) -> Self {
        let count = costs.len() as f64;
        let of = |field: fn(&Self) -> f64| costs.iter().map(field).sum::<f64>() / count;
        let kb = costs[0].kb.iter().enumerate().map(|(index, (purpose, _))| {
            let sum: f64 = costs.iter().map(|cost| cost.kb[index].1).sum();
            (purpose.clone(), sum / count)
        });
        Self {
            cpu: of(|cost| cost.cpu),
            memory_mb: of(|cost| cost.memory_mb),
            peak_mb: of(|cost| cost.peak_mb),
            kb: kb.collect(),
            calls: of(|cost| cost.calls),
        }
    }

    /// All bytes but those of runs, which are the callers' own.
    fn control(&self) -> f64 {
        let control = self.kb.iter().filter(|(purpose, _)| purpose != "runs");
        control.map(|(_, kb)| kb).sum()
    }

    fn line(&self) -> String {
        let kb: String = self
            .kb
            .iter()
            .map(|(_, kb)| format!(" {kb:>8.2}"))
            .collect();
        format!(
            "{:>6.2} {:>6.1} {:>6.1}{kb} {:>8.2} {:>8.1}",
            self.cpu,
            self.memory_mb,
            self.peak_mb,
            self.control(),
            self.calls
        )
    }

    fn csv(&self) -> String {
        let kb: String = self
            .kb
            .iter()
            .map(|(purpose, kb)| format!(",{purpose}={kb:.3}"))
            .collect();
        format!(
            "cpu={:.3},mb={:.2},peak={:.2}{kb},control={:.3},calls={:.2}",
            self.cpu,
            self.memory_mb,
            self.peak_mb,
            self.control(),
            self.calls
        )
    }
}
