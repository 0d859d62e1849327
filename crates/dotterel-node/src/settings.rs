//! The node's settings, checked.
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
//! let settings = dotterel_node::Settings::parse(text).expect("the settings are sound");
//! assert_eq!(settings.peer.to_string(), "127.0.0.1:7720");
//! ```

use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use compact_str::{CompactString, format_compact};
use dotterel_kernel::Millis;
use serde::Deserialize;

/// Settings as written in TOML. Fields that are left out have the platform's usual values.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// The node's name.
    pub node: CompactString,
    /// Its address.
    pub ip: CompactString,
    /// The port on which nodes talk to each other.
    pub peer_port: u16,
    /// Where callers come in.
    pub front: CompactString,
    /// Where the balancer asks whether the node is ready.
    pub ready: CompactString,
    /// Where metrics are read; none when left out.
    #[serde(default)]
    pub metrics: Option<CompactString>,
    /// The level of the log.
    #[serde(default)]
    pub log: Option<CompactString>,
    /// The share of a processor core that the node has.
    #[serde(default)]
    pub cpu_share: Option<f64>,
    /// The platform's services.
    pub platform: RawPlatform,
    /// The platform's figures.
    #[serde(default)]
    pub bounds: RawBounds,
}

/// Addresses of the platform's services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPlatform {
    /// The store.
    pub store: CompactString,
    /// The advice service; empty for none.
    #[serde(default)]
    pub advice: CompactString,
}

/// Figures that the platform states.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RawBounds {
    /// The longest lease of a VM, in ms.
    pub lease_max_ms: Option<u64>,
    /// How long a stop may take, in ms.
    pub stop_ms: Option<u64>,
    /// How long the state of an ended job is kept, in s.
    pub status_s: Option<u64>,
    /// Time from SIGTERM to SIGKILL, in s.
    pub grace_s: Option<f64>,
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The node's name.
    pub node: CompactString,
    /// Where nodes talk to each other.
    pub peer: SocketAddr,
    /// Where callers come in.
    pub front: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where metrics are read.
    pub metrics: Option<SocketAddr>,
    /// The level of the log.
    pub log: log::LevelFilter,
    /// Thousandths of a processor core that the node has.
    pub milli_cores: u32,
    /// The store's address.
    pub store: CompactString,
    /// The advice service's address; empty for none.
    pub advice: CompactString,
    /// The cell's figures.
    pub limits: dotterel_cell::Limits,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Millis,
}

/// What is wrong with settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError(CompactString);

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SettingsError {}

/// The lease asked for where the platform allows it: a successor has this long to be in office
/// before running work is lost, and work on a silent VM starts elsewhere this much later.
const LEASE: Millis = Millis(4000);
/// The shortest lease that survives a lost answer between two questions to a VM.
const LEASE_MIN: Millis = Millis(1500);
const GRACE_DEFAULT_S: f64 = 6.0;

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, with the field's name.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path)
            .map_err(|fault| SettingsError(format_compact!("{fault}")))?;
        Self::parse(&text)
    }

    /// Checks settings in TOML.
    ///
    /// # Errors
    ///
    /// Returns what is wrong, with the field's name.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let raw: RawSettings =
            toml::from_str(text).map_err(|fault| SettingsError(format_compact!("{fault}")))?;
        Self::try_from(raw)
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
            .map_err(|_| SettingsError(format_compact!("ip: {} is no address", raw.ip)))?;
        let bounds = raw.bounds;
        let defaults = dotterel_cell::Limits::default();
        let lease_max = bounds.lease_max_ms.map_or(LEASE, Millis);
        if lease_max < LEASE_MIN {
            let text = format_compact!("bounds.lease_max_ms: must be at least {}", LEASE_MIN.0);
            return Err(SettingsError(text));
        }
        let level = raw.log.as_deref().unwrap_or("info");
        let limits = dotterel_cell::Limits {
            lease_ttl: LEASE.min(lease_max),
            stop_timeout: bounds.stop_ms.map_or(defaults.stop_timeout, Millis),
            retention: bounds.status_s.map_or(defaults.retention, Millis::secs),
        };
        Ok(Self {
            node: raw.node,
            peer: SocketAddr::new(ip, raw.peer_port),
            front: address("front", &raw.front)?,
            ready: address("ready", &raw.ready)?,
            metrics: raw
                .metrics
                .map(|text| address("metrics", &text))
                .transpose()?,
            log: level
                .parse()
                .map_err(|_| SettingsError(format_compact!("log: {level} is no level")))?,
            milli_cores: to_millis("cpu_share", raw.cpu_share.unwrap_or(1.0))?
                .0
                .try_into()
                .unwrap_or(u32::MAX),
            store: raw.platform.store,
            advice: raw.platform.advice,
            limits,
            grace: to_millis("bounds.grace_s", bounds.grace_s.unwrap_or(GRACE_DEFAULT_S))?,
        })
    }
}

fn address(field: &str, text: &str) -> Result<SocketAddr, SettingsError> {
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
fn to_millis(field: &str, seconds: f64) -> Result<Millis, SettingsError> {
    if !(0.0..=86_400.0).contains(&seconds) {
        return Err(SettingsError(format_compact!(
            "{field}: {seconds} is out of range"
        )));
    }
    Ok(Millis((seconds * 1000.0) as u64))
}
