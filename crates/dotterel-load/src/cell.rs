//! Stand-ins for a cell of any size, with settings for its entry nodes.
//!
//! The entry nodes themselves are started by whoever measures them, one process each.

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
const HTTP_OFFSET: u16 = 100;
const MESH_OFFSET: u16 = 400;
const APPLY_LIMIT: Millis = Millis::secs(10);

/// What the cell consists of.
#[derive(Args, Debug)]
pub struct Options {
    /// Directory for the settings of the nodes, `node-001.toml` and on.
    #[arg(long)]
    dir: PathBuf,
    /// Entry nodes.
    #[arg(long, default_value_t = 1)]
    nodes: u16,
    /// Data centres, over which nodes and workers are spread evenly.
    #[arg(long, default_value_t = 1)]
    data_centres: u16,
    /// Workers that are run.
    #[arg(long, default_value_t = 48)]
    workers: u32,
    /// Workers of another data centre that are only listed.
    #[arg(long, default_value_t = 0)]
    listed: u32,
    /// Documents, of which the first is the service `quotes`.
    #[arg(long, default_value_t = 1)]
    documents: u32,
    /// Slots of each worker.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Port of the platform; nodes serve callers 100 and peers 400 ports above.
    #[arg(long, default_value_t = 17_000)]
    port: u16,
}

/// Runs the cell until it is interrupted.
///
/// # Errors
///
/// Returns an error when a port is in use or the directory cannot be written.
pub async fn run(options: &Options) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let cluster = start(options).await?;
    apply(options, &cluster).await?;
    write_settings(options)?;
    println!("ready platform={}", cluster.platform_addr());
    std::io::stdout().flush()?;
    tokio::select! {
        _ = terminate.recv() => {}
        outcome = tokio::signal::ctrl_c() => outcome?,
    }
    Ok(())
}

async fn start(options: &Options) -> Result<Cluster> {
    let capacity = Size {
        milli_cores: 32_000,
        memory_mb: 65_536,
        accelerators: 0,
        slots: options.slots,
        connections: 64,
    };
    let mut builder = Cluster::builder(Clock::system()).platform(addr(options.port));
    let centres = u32::from(options.data_centres);
    for index in 0..options.data_centres {
        let share = options.workers / centres;
        builder = builder.workers(&data_centre(index), REGION, share, capacity);
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
            id: node(index).0,
            role: Role::Entry,
            state: VmState::Live,
            data_centre: data_centre(index % options.data_centres).as_str().into(),
            region: REGION.into(),
            addr: format_compact!("{}", addr(options.port + MESH_OFFSET + index)),
        });
    }
    Ok(cluster)
}

async fn apply(options: &Options, cluster: &Cluster) -> Result<()> {
    let clock = Clock::system();
    let feed = Feed::new(
        Arc::new(cluster.table().clone()),
        clock,
        feed::Config::default(),
    );
    for index in 0..options.documents {
        let service = service(index);
        let text = document(&service);
        let by = NodeId::from("operator");
        let deadline = clock.now() + APPLY_LIMIT;
        let applied = feed.apply(&service, &text, None, &by, deadline).await;
        let accepted = matches!(applied, ApplyOutcome::Accepted { .. });
        ensure!(accepted, "document of {service}: {applied:?}");
    }
    Ok(())
}

fn write_settings(options: &Options) -> Result<()> {
    fs::create_dir_all(&options.dir)?;
    let authority = Authority::generate().context("certificate authority")?;
    for index in 0..options.nodes {
        let keys = authority.issue(&node(index)).context("node certificate")?;
        let mut text = String::new();
        writeln!(text, "node = \"{}\"", node(index))?;
        let centre = data_centre(index % options.data_centres);
        writeln!(text, "data_centre = \"{centre}\"")?;
        writeln!(text, "region = \"{REGION}\"")?;
        writeln!(text, "platform = \"{}\"", addr(options.port))?;
        let listen = addr(options.port + HTTP_OFFSET + index);
        writeln!(text, "[http]\nlisten = \"{listen}\"")?;
        let listen = addr(options.port + MESH_OFFSET + index);
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

fn document(service: &Service) -> String {
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

fn service(index: u32) -> Service {
    match index {
        0 => "quotes".into(),
        _ => Service(format_compact!("service-{index:04}")),
    }
}

fn node(index: u16) -> NodeId {
    NodeId(format_compact!("entry-{:03}", index + 1))
}

fn data_centre(index: u16) -> CompactString {
    format_compact!("dc-{:02}", index + 1)
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
