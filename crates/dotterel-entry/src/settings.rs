//! Settings of a node, checked.
//!
//! [`RawSettings`] is the TOML as written. [`Settings`] is the same after every value has been
//! checked; the error names the field, the value and what is allowed.

mod raw;

use std::net::SocketAddr;
use std::path::Path;

use compact_str::CompactString;
use dotterel_coord::Terms;
use dotterel_kernel::{DataCentre, FieldError, Millis, NodeId, Region};
use dotterel_mesh::{Identity, Peer};

pub use raw::{RawHttp, RawLog, RawMesh, RawPeer, RawPolicy, RawSettings, RawShutdown};

/// The checked settings of a node.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node's name.
    pub node: NodeId,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// The IP address and port of the platform's services.
    pub platform: SocketAddr,
    /// Callers' HTTP.
    pub http: HttpSettings,
    /// Links to other nodes.
    pub mesh: MeshSettings,
    /// The log.
    pub log: LogSettings,
    /// The names of the plug-ins that place work.
    pub plugins: Vec<CompactString>,
    /// How long leases last.
    pub lease_terms: Terms,
    /// The longest that a planned stop waits for requests in flight.
    pub grace_period: Millis,
}

/// Settings of callers' HTTP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// The longest request body in bytes.
    pub body_limit: usize,
    /// The most requests in flight at one time.
    pub request_limit: usize,
}

/// Settings of the links to other nodes.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Where to listen.
    pub listen: SocketAddr,
    /// Where peers reach this node; none means where it listens.
    pub advertise: Option<SocketAddr>,
    /// The node's certificate, key and trusted authorities.
    pub identity: Identity,
    /// Nodes known from the start; others are found by the platform's list.
    pub peers: Vec<Peer>,
}

/// Settings of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The lowest level that is written.
    pub level: log::LevelFilter,
    /// How lines look.
    pub format: LogFormat,
}

/// How log lines look.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl Settings {
    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Returns the first fault found, with its field, value and allowed range.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        let raw: RawSettings = toml::from_str(text)
            .map_err(|fault| FieldError::new("settings", fault.message(), "settings in TOML"))?;
        Self::try_from(raw)
    }

    /// Reads, parses and checks a file.
    ///
    /// # Errors
    ///
    /// As for [`Settings::parse`]; a file that cannot be read is a fault of its own.
    pub fn read(path: &Path) -> Result<Self, FieldError> {
        let text = std::fs::read_to_string(path).map_err(|fault| {
            let value = compact_str::format_compact!("{}: {fault}", path.display());
            FieldError::new("file", value, "a readable file")
        })?;
        Self::parse(&text)
    }
}
