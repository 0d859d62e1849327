//! Reads and validates a node's settings.
//!
//! [`RawSettings`] holds the values as written in TOML, [`Settings`] the validated ones. An error
//! names the field, its value and what is allowed.

mod raw;

use std::net::SocketAddr;
use std::path::Path;

use compact_str::CompactString;
use dotterel_coord::Terms;
use dotterel_kernel::{DataCentre, FieldError, Millis, NodeId, Region};
use dotterel_mesh::{Identity, Peer};

pub use raw::{RawHttp, RawLog, RawMesh, RawPeer, RawPolicy, RawSettings, RawShutdown};

/// Validated settings of a node.
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
    /// The HTTP API for callers and operators.
    pub http: HttpSettings,
    /// Connections to other nodes.
    pub mesh: MeshSettings,
    /// Logging.
    pub log: LogSettings,
    /// The names of the placement plug-ins.
    pub plugins: Vec<CompactString>,
    /// The durations of leases.
    pub lease_terms: Terms,
    /// How long a graceful shutdown waits for requests in flight.
    pub grace_period: Millis,
}

/// Settings of the HTTP API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HttpSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The maximum length of a request body in bytes.
    pub body_limit: usize,
    /// The maximum number of requests in flight.
    pub request_limit: usize,
}

/// Settings of the mesh, the connections to other nodes.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// The address to listen on.
    pub listen: SocketAddr,
    /// The address that peers connect to; defaults to the one that the mesh listens on.
    pub advertise: Option<SocketAddr>,
    /// The node's certificate and key, and the trusted authorities.
    pub identity: Identity,
    /// Nodes known at the start; the others come from the platform's VM list.
    pub peers: Vec<Peer>,
}

/// Settings of logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The maximum verbosity that is logged.
    pub level: log::LevelFilter,
    /// The format of log lines.
    pub format: LogFormat,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl Settings {
    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, with its value and what is allowed.
    pub fn parse(text: &str) -> Result<Self, FieldError> {
        let raw: RawSettings = toml::from_str(text)
            .map_err(|err| FieldError::new("settings", err.message(), "settings in TOML"))?;
        Self::try_from(raw)
    }

    /// Reads, parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field, or an error on `file` if the file can't be read.
    pub fn read(path: &Path) -> Result<Self, FieldError> {
        let text = std::fs::read_to_string(path).map_err(|err| {
            let value = compact_str::format_compact!("{}: {err}", path.display());
            FieldError::new("file", value, "a readable file")
        })?;
        Self::parse(&text)
    }
}
