//! Runs a fake platform and its workers in a process of its own.

use std::io::Write as _;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use anyhow::{Context, anyhow, bail};
use clap::Parser;
use compact_str::CompactString;
use dotterel_kernel::{Clock, Size};
use dotterel_standin::{Cluster, WorkerConfig};
use serde::Deserialize;
use tokio::signal::unix::{SignalKind, signal};

const EXAMPLES: &str = "\
Examples:
  dotterel-standin --platform 127.0.0.1:7000 --worker w1=127.0.0.1:7101 --worker w2=127.0.0.1:7102
  dotterel-standin --file cluster.toml --admin 127.0.0.1:7001
  curl -X PUT http://127.0.0.1:7001/v1/faults/table -d '{\"down_ms\":5000}'

A file lists workers:
  [[worker]]
  id = \"w1\"
  addr = \"127.0.0.1:7101\"
  data_centre = \"dc1\"   # this and all following fields default to the options
  region = \"region-1\"
  slots = 8
  connections = 64
  milli_cores = 32000
  memory_mb = 65536
  accelerators = 0";

/// Fake platform and workers with fault injection, for tests and experiments.
#[derive(Debug, Parser)]
#[command(version, after_help = EXAMPLES)]
struct Options {
    /// Address of the platform: table, object store and VM list.
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:7000")]
    platform: SocketAddr,
    /// Name and address of a worker; may be repeated.
    #[arg(long = "worker", value_name = "ID=ADDR")]
    workers: Vec<WorkerArg>,
    /// TOML file that lists more workers.
    #[arg(long, value_name = "FILE")]
    file: Option<PathBuf>,
    /// Address of the administrator's interface, which injects faults; off by default.
    #[arg(long, value_name = "ADDR")]
    admin: Option<SocketAddr>,
    /// Data centre of the workers.
    #[arg(long, default_value = "dc1")]
    data_centre: CompactString,
    /// Region of the workers.
    #[arg(long, default_value = "region-1")]
    region: CompactString,
    /// Task slots of each worker.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Connections of each worker.
    #[arg(long, default_value_t = 64)]
    connections: u32,
    /// CPU of each worker in thousandths of a core.
    #[arg(long, default_value_t = 32_000)]
    milli_cores: u32,
    /// Memory of each worker in megabytes.
    #[arg(long, default_value_t = 65_536)]
    memory_mb: u32,
    /// Accelerators of each worker.
    #[arg(long, default_value_t = 0)]
    accelerators: u32,
}

/// The value of `--worker`.
#[derive(Clone, Debug)]
struct WorkerArg {
    id: CompactString,
    addr: SocketAddr,
}

impl std::str::FromStr for WorkerArg {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (id, addr) = text
            .split_once('=')
            .ok_or_else(|| anyhow!("`{text}` is not of the form ID=ADDR"))?;
        if id.is_empty() {
            bail!("the worker's name is empty");
        }
        Ok(Self {
            id: id.into(),
            addr: addr.parse().with_context(|| format!("address `{addr}`"))?,
        })
    }
}

/// Contents of the file given by `--file`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFile {
    #[serde(default)]
    worker: Vec<RawWorker>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawWorker {
    id: CompactString,
    addr: SocketAddr,
    data_centre: Option<CompactString>,
    region: Option<CompactString>,
    slots: Option<u32>,
    connections: Option<u32>,
    milli_cores: Option<u32>,
    memory_mb: Option<u32>,
    accelerators: Option<u32>,
}

impl Options {
    fn capacity(&self) -> Size {
        Size {
            milli_cores: self.milli_cores,
            memory_mb: self.memory_mb,
            accelerators: self.accelerators,
            slots: self.slots,
            connections: self.connections,
        }
    }

    fn worker_config(&self, id: &CompactString, addr: SocketAddr) -> WorkerConfig {
        WorkerConfig {
            vm: id.as_str().into(),
            data_centre: self.data_centre.as_str().into(),
            region: self.region.as_str().into(),
            capacity: self.capacity(),
            addr,
        }
    }

    fn file_worker_config(&self, raw: &RawWorker) -> WorkerConfig {
        let base = self.capacity();
        let mut config = self.worker_config(&raw.id, raw.addr);
        config.capacity = Size {
            milli_cores: raw.milli_cores.unwrap_or(base.milli_cores),
            memory_mb: raw.memory_mb.unwrap_or(base.memory_mb),
            accelerators: raw.accelerators.unwrap_or(base.accelerators),
            slots: raw.slots.unwrap_or(base.slots),
            connections: raw.connections.unwrap_or(base.connections),
        };
        if let Some(name) = &raw.data_centre {
            config.data_centre = name.as_str().into();
        }
        if let Some(name) = &raw.region {
            config.region = name.as_str().into();
        }
        config
    }

    fn worker_configs(&self) -> anyhow::Result<Vec<WorkerConfig>> {
        let args = self.workers.iter();
        let mut worker_configs: Vec<_> = args
            .map(|arg| self.worker_config(&arg.id, arg.addr))
            .collect();
        if let Some(path) = &self.file {
            let file = read_file(path)?;
            worker_configs.extend(file.worker.iter().map(|raw| self.file_worker_config(raw)));
        }
        Ok(worker_configs)
    }
}

fn read_file(path: &Path) -> anyhow::Result<RawFile> {
    let text = std::fs::read_to_string(path).with_context(|| path.display().to_string())?;
    toml::from_str(&text).with_context(|| path.display().to_string())
}

fn main() -> ExitCode {
    match run(&Options::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("dotterel-standin: {err:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn run(options: &Options) -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut builder = Cluster::builder(Clock::system()).platform(options.platform);
    if let Some(addr) = options.admin {
        builder = builder.admin(addr);
    }
    for config in options.worker_configs()? {
        builder = builder.worker(config);
    }
    let cluster = builder.start().await?;
    print_ready_line(&cluster)?;
    tokio::select! {
        _ = terminate.recv() => {}
        outcome = tokio::signal::ctrl_c() => outcome?,
    }
    Ok(())
}

/// Prints one line with all addresses, so that a parent process can wait until the servers listen.
fn print_ready_line(cluster: &Cluster) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    write!(out, "ready platform={}", cluster.platform_addr())?;
    if let Some(addr) = cluster.admin_addr() {
        write!(out, " admin={addr}")?;
    }
    for (worker, addr) in cluster.workers().iter().zip(cluster.worker_addrs()) {
        write!(out, " {}={addr}", worker.vm())?;
    }
    writeln!(out)?;
    out.flush()
}
