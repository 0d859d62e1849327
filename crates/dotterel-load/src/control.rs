//! Resource usage of running entry nodes: CPU time, memory and traffic by purpose.
//!
//! Reads the node processes through `/proc` and their counters through `/metrics`, once at the start
//! and once at the end of the measurement. It does not start any node.

mod load;
mod sample;

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Result, ensure};
use clap::Args;

use load::LoadGenerator;
use sample::Sample;

const BYTES_PER_KB: f64 = 1000.0;

/// Nodes to measure and the load to send.
#[derive(Args, Debug)]
pub struct Options {
    /// HTTP addresses of the nodes, in the order of their process ids.
    #[arg(long = "entry", value_delimiter = ',', required = true)]
    entries: Vec<SocketAddr>,
    /// Process ids of the nodes, in the order of their addresses.
    #[arg(long = "pid", value_delimiter = ',', required = true)]
    pids: Vec<u32>,
    /// Duration of the measurement, in seconds.
    #[arg(long, default_value_t = 30)]
    seconds: u64,
    /// Seconds under load before the measurement starts.
    #[arg(long, default_value_t = 5)]
    warmup: u64,
    /// Requests per second, sent to the nodes in round-robin order; 0 measures idle nodes.
    #[arg(long, default_value_t = 0)]
    rate: u64,
    /// Class of the requests, in the service `quotes`.
    #[arg(long, default_value = "count")]
    class: String,
    /// Run time of each request on its worker, in milliseconds.
    #[arg(long, default_value_t = 50)]
    run_ms: u64,
    /// Label in the second column of the CSV line, to distinguish runs.
    #[arg(long, default_value = "run")]
    label: String,
}

/// Measures the nodes and prints one line per node, one with their means and the means as CSV.
///
/// # Errors
///
/// Returns an error when the numbers of addresses and process ids differ, or when the metrics or the
/// process of a node cannot be read.
pub async fn run(options: &Options) -> Result<()> {
    ensure!(
        options.entries.len() == options.pids.len(),
        "each entry needs a process id"
    );
    let load = LoadGenerator::start(
        options.entries.clone(),
        options.rate,
        &options.class,
        options.run_ms,
    );
    tokio::time::sleep(Duration::from_secs(options.warmup)).await;
    load.reset();
    let before = take_samples(options).await?;
    tokio::time::sleep(Duration::from_secs(options.seconds)).await;
    let after = take_samples(options).await?;
    let load_stats = load.stop();
    let purposes = after[0].purposes();
    print!("{:>21} {:>6} {:>6} {:>6}", "entry", "cpu %", "MB", "peak");
    purposes.iter().for_each(|purpose| print!(" {purpose:>8}"));
    println!(" {:>8} {:>8}", "control", "calls/s");
    let usages: Vec<Usage> = before
        .iter()
        .zip(&after)
        .map(|(before, after)| Usage::between(before, after))
        .collect();
    for (entry, usage) in options.entries.iter().zip(&usages) {
        println!("{:>21} {}", entry.to_string(), usage.table_row());
    }
    let mean = Usage::mean(&usages);
    println!("{:>21} {}", "mean", mean.table_row());
    println!("csv,{},{}", options.label, mean.csv_fields());
    if options.rate > 0 {
        println!("{load_stats}");
    }
    Ok(())
}

async fn take_samples(options: &Options) -> Result<Vec<Sample>> {
    let mut samples = Vec::new();
    for (entry, pid) in options.entries.iter().zip(&options.pids) {
        samples.push(Sample::take(*entry, *pid).await?);
    }
    Ok(samples)
}

/// Resource usage of a node between two samples.
struct Usage {
    /// CPU time, in percent of one core.
    cpu_percent: f64,
    memory_mb: f64,
    peak_mb: f64,
    /// KB per second, sent and received, by purpose.
    kb: Vec<(String, f64)>,
    calls_per_second: f64,
}

impl Usage {
    fn between(before: &Sample, after: &Sample) -> Self {
        let span = (after.at - before.at).as_secs_f64();
        let kb = after.bytes.iter().map(|(purpose, bytes)| {
            let earlier = before.bytes_of(purpose);
            let kb = (bytes - earlier) / span / BYTES_PER_KB;
            (purpose.clone(), kb)
        });
        Self {
            cpu_percent: 100.0 * (after.cpu_seconds - before.cpu_seconds) / span,
            memory_mb: after.memory_mb,
            peak_mb: after.peak_mb,
            kb: kb.collect(),
            calls_per_second: (after.calls - before.calls) / span,
        }
    }

    fn mean(usages: &[Self]) -> Self {
        let count = usages.len() as f64;
        let mean_of = |field: fn(&Self) -> f64| usages.iter().map(field).sum::<f64>() / count;
        let kb = usages[0]
            .kb
            .iter()
            .enumerate()
            .map(|(index, (purpose, _))| {
                let sum: f64 = usages.iter().map(|usage| usage.kb[index].1).sum();
                (purpose.clone(), sum / count)
            });
        Self {
            cpu_percent: mean_of(|usage| usage.cpu_percent),
            memory_mb: mean_of(|usage| usage.memory_mb),
            peak_mb: mean_of(|usage| usage.peak_mb),
            kb: kb.collect(),
            calls_per_second: mean_of(|usage| usage.calls_per_second),
        }
    }

    /// Returns the KB per second of control traffic: everything but `runs`, which carries the callers'
    /// own requests.
    fn control_kb(&self) -> f64 {
        let control_traffic = self.kb.iter().filter(|(purpose, _)| purpose != "runs");
        control_traffic.map(|(_, kb)| kb).sum()
    }

    fn table_row(&self) -> String {
        let kb: String = self
            .kb
            .iter()
            .map(|(_, kb)| format!(" {kb:>8.2}"))
            .collect();
        format!(
            "{:>6.2} {:>6.1} {:>6.1}{kb} {:>8.2} {:>8.1}",
            self.cpu_percent,
            self.memory_mb,
            self.peak_mb,
            self.control_kb(),
            self.calls_per_second
        )
    }

    fn csv_fields(&self) -> String {
        let kb: String = self
            .kb
            .iter()
            .map(|(purpose, kb)| format!(",{purpose}={kb:.3}"))
            .collect();
        format!(
            "cpu={:.3},mb={:.2},peak={:.2}{kb},control={:.3},calls={:.2}",
            self.cpu_percent,
            self.memory_mb,
            self.peak_mb,
            self.control_kb(),
            self.calls_per_second
        )
    }
}
