//! Reads and validates the node's settings.
//!
//! ```
//! let text = r#"
//!     node = "entry-1"
//!     ip = "127.0.0.1"
//!     peer_port = 7720
//!     front = "127.0.0.1:8161"
//!     ready = "127.0.0.1:8167"
//!     [platform]
//!     store = "127.0.0.1:8169"
//! "#;
//! let settings = dotterel_node::Settings::parse(text).expect("the settings are valid");
//! assert_eq!(settings.peer.to_string(), "127.0.0.1:7720");
//! ```
//!
//! `peers` names some nodes of the cluster by the address on which they accept connections from other
//! nodes, which `peer` sets. While the store turns this node away, it asks them for the leader, four at
//! most. They may be gone, and the list may name the node itself.
//!
//! ```
//! # let text = r#"
//! #     node = "entry-1"
//! #     ip = "10.1.0.13"
//! #     peer_port = 7720
//! #     front = "10.1.0.13:8161"
//! #     ready = "10.1.0.13:8167"
//! peer = "10.1.0.13:8166"
//! peers = ["10.1.0.13:8166", "10.2.0.30:8166"]
//! #     [platform]
//! #     store = "10.200.1.7:8169"
//! # "#;
//! # let settings = dotterel_node::Settings::parse(text).expect("the settings are valid");
//! # assert_eq!(settings.peer.to_string(), "10.1.0.13:8166");
//! # assert_eq!(settings.peers[1].to_string(), "10.2.0.30:8166");
//! ```
//!
//! `memory_mb` and `max_fds` tell what the machine gives the process. From them follow the limits on
//! connections and on the bytes that callers make the node hold, see [`crate::http::limits`].
//!
//! ```
//! use dotterel_node::http::limits::LimitSizes;
//!
//! let sizes = LimitSizes::of(Some(120), Some(3075));
//! assert_eq!(sizes.caller_bytes, 16 << 20);
//! assert_eq!(sizes.front_connections, 1024);
//! ```

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use compact_str::{CompactString, format_compact};
use dotterel_cell::fitness::{Fitness, NodeShape};
use dotterel_kernel::Millis;
use serde::Deserialize;

/// Settings as written in TOML. Omitted fields default to the platform's usual values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// The node's name.
    pub node: CompactString,
    /// The node's IP address.
    pub ip: CompactString,
    /// The port for connections from other nodes, unless `peer` is set.
    pub peer_port: u16,
    /// The address for connections from other nodes; `ip` and `peer_port` if omitted.
    #[serde(default)]
    pub peer: Option<CompactString>,
    /// Addresses on which other nodes accept connections from nodes; none if omitted.
    #[serde(default)]
    pub peers: Vec<CompactString>,
    /// The address for callers' requests.
    pub front: CompactString,
    /// The address for the load balancer's readiness checks.
    pub ready: CompactString,
    /// The address for reading metrics; none if omitted.
    #[serde(default)]
    pub metrics: Option<CompactString>,
    /// The log level.
    #[serde(default)]
    pub log: Option<CompactString>,
    /// The share of a CPU core that the node has.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// The bandwidth of the node's network link, in Mbit/s.
    #[serde(default)]
    pub link_mbps: Option<f64>,
    /// The memory of the process, in MB. Sizes what is held for callers and peers; fixed generous sizes
    /// apply if omitted.
    #[serde(default)]
    pub memory_mb: Option<u32>,
    /// The maximum number of file descriptors of the process, of which 200 are for files. Sizes the
    /// number of connections; a fixed generous number applies if omitted.
    #[serde(default)]
    pub max_fds: Option<u32>,
    /// Keeps tasks apart that slow each other down on one VM.
    #[serde(default)]
    pub keep_apart: bool,
    /// The platform's services.
    pub platform: RawPlatform,
    /// Limits that the platform states.
    #[serde(default)]
    pub bounds: RawBounds,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlatform {
    /// The store's address.
    pub store: CompactString,
    /// The advice service's address; empty for none.
    #[serde(default)]
    pub advice: CompactString,
}

/// Limits that the platform states.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawBounds {
    /// The maximum lease on a VM, in ms; 10 s if it isn't known.
    pub lease_max_ms: Option<u64>,
    /// The maximum time to stop a run, in ms.
    pub stop_ms: Option<u64>,
    /// How long the state of an ended job is kept, in s.
    pub status_s: Option<u64>,
    /// Time from SIGTERM to SIGKILL, in s.
    pub grace_s: Option<f64>,
    /// How many times as long the tasks of a gang take on several racks that should run in one; 2 if
    /// omitted.
    pub cross_rack_factor: Option<f64>,
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub node: CompactString,
    /// The address for connections from other nodes.
    pub peer: SocketAddr,
    /// Nodes that are asked for the leader while the store can't be read.
    pub peers: Vec<SocketAddr>,
    /// The address for callers' requests.
    pub front: SocketAddr,
    /// The address for the load balancer's readiness checks.
    pub ready: SocketAddr,
    /// The address for reading metrics.
    pub metrics: Option<SocketAddr>,
    /// The log level.
    pub log: log::LevelFilter,
    /// The node's share of CPU, in thousandths of a core.
    pub milli_cores: u32,
    /// The bandwidth of the node's network link, in thousandths of a Mbit/s; `None` if unknown.
    pub link_kbps: Option<u32>,
    /// The memory of the process, in MB; `None` if unknown.
    pub memory_mb: Option<u32>,
    /// The maximum number of file descriptors of the process; `None` if unknown.
    pub max_fds: Option<u32>,
    /// The store's address.
    pub store: CompactString,
    /// The advice service's address; empty for none.
    pub advice: CompactString,
    /// The cell's limits.
    pub limits: dotterel_cell::Limits,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Millis,
}

/// Why settings were rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(CompactString);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

/// The lease requested from VMs, unless the platform's maximum is lower. A successor has this long
/// to take over before running work is lost, and work on an unresponsive VM restarts elsewhere this
/// much later.
const LEASE_TTL: Millis = Millis(4000);
/// The shortest lease that survives a lost reply between two polls of a VM.
const MIN_LEASE_TTL: Millis = Millis(1500);
const DEFAULT_GRACE_S: f64 = 6.0;

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text =
            std::fs::read_to_string(path).map_err(|err| SettingsError(format_compact!("{err}")))?;
        Self::parse(&text)
    }

    /// Parses and validates settings in TOML.
    ///
    /// # Errors
    ///
    /// Returns an error that names the invalid field.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings =
            toml::from_str(text).map_err(|err| SettingsError(format_compact!("{err}")))?;
        Self::try_from(raw)
    }

    /// Returns the resources that the settings state.
    #[must_use]
    pub const fn shape(&self) -> NodeShape {
        NodeShape {
            milli_cores: self.milli_cores,
            link_kbps: self.link_kbps,
            memory_mb: self.memory_mb,
            max_fds: self.max_fds,
        }
    }

    /// Returns how well the node can lead a cell.
    #[must_use]
    pub fn fitness(&self) -> Fitness {
        Fitness::of(&self.shape())
    }
}

impl TryFrom<RawSettings> for Settings {
    type Error = SettingsError;

    fn try_from(raw: RawSettings) -> Result<Self, SettingsError> {
        if raw.node.is_empty() {
            return Err(SettingsError("node: must not be empty".into()));
        }
        let ip: IpAddr = raw
            .ip
            .parse()
            .map_err(|_| SettingsError(format_compact!("ip: {} is not an IP address", raw.ip)))?;
        let bounds = raw.bounds;
        let defaults = dotterel_cell::Limits::default();
        let max_lease = bounds.lease_max_ms.map_or(defaults.lease_max, Millis);
        if max_lease < MIN_LEASE_TTL {
            let message =
                format_compact!("bounds.lease_max_ms: must be at least {}", MIN_LEASE_TTL.0);
            return Err(SettingsError(message));
        }
        let level = raw.log.as_deref().unwrap_or("info");
        let limits = dotterel_cell::Limits {
            lease_ttl: LEASE_TTL.min(max_lease),
            lease_max: max_lease,
            leadership_ttl: defaults.leadership_ttl,
            stop_timeout: bounds.stop_ms.map_or(defaults.stop_timeout, Millis),
            retention: bounds.status_s.map_or(defaults.retention, Millis::secs),
            cross_rack_pct: match bounds.cross_rack_factor {
                Some(factor) => to_percent("bounds.cross_rack_factor", factor)?,
                None => defaults.cross_rack_pct,
            },
            keep_apart: raw.keep_apart,
        };
        Ok(Self {
            node: raw.node,
            peer: match raw.peer {
                Some(text) => parse_address("peer", &text)?,
                None => SocketAddr::new(ip, raw.peer_port),
            },
            peers: raw
                .peers
                .iter()
                .map(|text| parse_address("peers", text))
                .collect::<Result<_, _>>()?,
            front: parse_address("front", &raw.front)?,
            ready: parse_address("ready", &raw.ready)?,
            metrics: raw
                .metrics
                .map(|text| parse_address("metrics", &text))
                .transpose()?,
            log: level
                .parse()
                .map_err(|_| SettingsError(format_compact!("log: {level} is not a log level")))?,
            milli_cores: to_thousandths("cpu_share", raw.cpu_share.unwrap_or(1.0))?
                .0
                .try_into()
                .unwrap_or(u32::MAX),
            link_kbps: raw
                .link_mbps
                .map(|mbps| to_thousandths("link_mbps", mbps))
                .transpose()?
                .map(|kbps| u32::try_from(kbps.0).unwrap_or(u32::MAX)),
            memory_mb: raw.memory_mb,
            max_fds: raw.max_fds,
            store: raw.platform.store,
            advice: raw.platform.advice,
            limits,
            grace: to_thousandths("bounds.grace_s", bounds.grace_s.unwrap_or(DEFAULT_GRACE_S))?,
        })
    }
}

fn parse_address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
    text.parse().map_err(|_| {
        SettingsError(format_compact!(
            "{field}: {text} is not an address with a port"
        ))
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the range is checked first"
)]
fn to_percent(field: &str, factor: f64) -> Result<u32, SettingsError> {
    if !(1.0..=1000.0).contains(&factor) {
        return Err(SettingsError(format_compact!(
            "{field}: {factor} is out of range"
        )));
    }
    Ok((factor * 100.0).round() as u32)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the range is checked first"
)]
fn to_thousandths(field: &str, value: f64) -> Result<Millis, SettingsError> {
    if !(0.0..=86_400.0).contains(&value) {
        return Err(SettingsError(format_compact!(
            "{field}: {value} is out of range"
        )));
    }
    Ok(Millis((value * 1000.0) as u64))
}
