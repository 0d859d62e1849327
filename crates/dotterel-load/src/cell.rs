//! Fakes of the platform and workers of a cell of any size, and settings files for its entry nodes.
//!
//! The entry nodes are not started here. The operator runs each one as a process of its own.

use std::fmt::Write as _;
use std::fs;
use std::io::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;

use anyhow::{Context, Result, ensure};
use clap::Args;
use compact_str::{CompactString, format_compact};
use dotterel_coord::feed::{self, ApplyOutcome, Feed};
use dotterel_kernel::{Clock, Millis, NodeId, Service, Size};
use dotterel_mesh::keys::Authority;
use dotterel_platform::{ListedVm, Role, VmState};
use dotterel_standin::Cluster;
use tokio::signal::unix::{SignalKind, signal};

const REGION: &str = "region-1";
const HTTP_PORT_OFFSET: u16 = 100;
const MESH_PORT_OFFSET: u16 = 400;
const APPLY_TIMEOUT: Millis = Millis::secs(10);

/// Size of the cell.
#[derive(Args, Debug)]
pub struct Options {
    /// Directory for the settings files of the nodes: `node-001.toml`, `node-002.toml` and so on.
    #[arg(long)]
    dir: PathBuf,
    /// Number of entry nodes.
    #[arg(long, default_value_t = 1)]
    nodes: u16,
    /// Number of data centres; nodes and workers are distributed evenly over them.
    #[arg(long, default_value_t = 1)]
    data_centres: u16,
    /// Number of fake workers to run.
    #[arg(long, default_value_t = 48)]
    workers: u32,
    /// Number of workers of another data centre that are listed but not run.
    #[arg(long, default_value_t = 0)]
    listed: u32,
    /// Number of service documents; the first one is for the service `quotes`.
    #[arg(long, default_value_t = 1)]
    documents: u32,
    /// Task slots of each worker.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Port of the platform; callers connect to nodes at ports from 100 above it, peers from 400.
    #[arg(long, default_value_t = 17_000)]
    port: u16,
}

/// Runs the fakes of the cell until SIGTERM or SIGINT arrives.
///
/// # Errors
///
/// Returns an error when a port is in use or the directory cannot be written.
pub async fn run(options: &Options) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let cluster = start_cluster(options).await?;
    apply_documents(options, &cluster).await?;
    write_settings(options)?;
    println!("ready platform={}", cluster.platform_addr());
    std::io::stdout().flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    Ok(())
}

async fn start_cluster(options: &Options) -> Result<Cluster> {
    let capacity = Size {
        milli_cores: 32_000,
        memory_mb: 65_536,
        accelerators: 0,
        slots: options.slots,
        connections: 64,
    };
    let mut builder = Cluster::builder(Clock::system()).platform(loopback_addr(options.port));
    let data_centres = u32::from(options.data_centres);
    for index in 0..options.data_centres {
        let worker_count = options.workers / data_centres;
        builder = builder.workers(&data_centre_name(index), REGION, worker_count, capacity);
    }
    let cluster = builder.start().await.context("stand-ins")?;
    for index in 0..options.listed {
        cluster.vms().put(ListedVm {
            id: format_compact!("far-w{index:04}"),
            role: Role::Worker,
            state: VmState::Live,
            data_centre: "far".into(),
            region: REGION.into(),
            addr: "192.0.2.1:7000".into(),
        });
    }
    for index in 0..options.nodes {
        cluster.vms().put(ListedVm {
            id: node_id(index).0,
            role: Role::Entry,
            state: VmState::Live,
            data_centre: data_centre_name(index % options.data_centres)
                .as_str()
                .into(),
            region: REGION.into(),
            addr: format_compact!("{}", loopback_addr(options.port + MESH_PORT_OFFSET + index)),
        });
    }
    Ok(cluster)
}

async fn apply_documents(options: &Options, cluster: &Cluster) -> Result<()> {
    let clock = Clock::system();
    let feed = Feed::new(
        Arc::new(cluster.table().clone()),
        clock,
        feed::Config::default(),
    );
    for index in 0..options.documents {
        let service = service_name(index);
        let text = document_text(&service);
        let author = NodeId::from("operator");
        let deadline = clock.now() + APPLY_TIMEOUT;
        let applied = feed.apply(&service, &text, None, &author, deadline).await;
        let accepted = matches!(applied, ApplyOutcome::Accepted { .. });
        ensure!(accepted, "document of {service}: {applied:?}");
    }
    Ok(())
}

fn write_settings(options: &Options) -> Result<()> {
    fs::create_dir_all(&options.dir)?;
    let authority = Authority::generate().context("certificate authority")?;
    for index in 0..options.nodes {
        let keys = authority
            .issue(&node_id(index))
            .context("node certificate")?;
        let mut text = String::new();
        writeln!(text, "node = \"{}\"", node_id(index))?;
        let data_centre = data_centre_name(index % options.data_centres);
        writeln!(text, "data_centre = \"{data_centre}\"")?;
        writeln!(text, "region = \"{REGION}\"")?;
        writeln!(text, "platform = \"{}\"", loopback_addr(options.port))?;
        let listen = loopback_addr(options.port + HTTP_PORT_OFFSET + index);
        writeln!(text, "[http]\nlisten = \"{listen}\"")?;
        let listen = loopback_addr(options.port + MESH_PORT_OFFSET + index);
        writeln!(text, "[mesh]\nlisten = \"{listen}\"")?;
        writeln!(text, "certificate = '''{}'''", keys.certificate)?;
        writeln!(text, "key = '''{}'''", keys.key)?;
        writeln!(text, "authorities = '''{}'''", authority.pem())?;
        writeln!(text, "[log]\nlevel = \"info\"")?;
        let path = options.dir.join(format!("node-{:03}.toml", index + 1));
        fs::write(&path, text).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

fn document_text(service: &Service) -> String {
    format!(
        "service = \"{service}\"\n\
         team = \"team\"\n\
         [[class]]\n\
         name = \"count\"\n\
         kind = \"interactive\"\n\
         urgency = \"urgent\"\n\
         start_ms = 1400\n\
         typical_ms = 50\n\
         size = {{ cores = 0.5, memory_mb = 256 }}\n\
         [[class]]\n\
         name = \"order\"\n\
         kind = \"interactive\"\n\
         repeatable = false\n\
         start_ms = 5000\n\
         typical_ms = 50\n\
         size = {{ cores = 0.5, memory_mb = 256 }}\n"
    )
}

fn service_name(index: u32) -> Service {
    match index {
        0 => "quotes".into(),
        _ => Service(format_compact!("service-{index:04}")),
    }
}

fn node_id(index: u16) -> NodeId {
    NodeId(format_compact!("entry-{:03}", index + 1))
}

fn data_centre_name(index: u16) -> CompactString {
    format_compact!("dc-{:02}", index + 1)
}

fn loopback_addr(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
