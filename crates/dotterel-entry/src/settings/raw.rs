//! Settings as written in TOML, and their validation.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use compact_str::{CompactString, format_compact};
use dotterel_coord::{RawTerms, Terms};
use dotterel_kernel::{DataCentre, FieldError, Millis, NodeId, Region};
use dotterel_mesh::{Identity, Peer};
use serde::{Deserialize, Serialize};

use super::{HttpSettings, LogFormat, LogSettings, MeshSettings, Settings};

const MAX_NAME_LENGTH: usize = 63;
const MAX_BODY_BYTES: usize = 16 << 20;
const MAX_REQUEST_LIMIT: usize = 1 << 20;
const MAX_GRACE_MS: u64 = 3_600_000;
const PEM_PREFIX: &str = "-----BEGIN";

/// Settings as written in TOML.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawSettings {
    /// See [`Settings::node`].
    pub node: CompactString,
    /// See [`Settings::data_centre`].
    pub data_centre: CompactString,
    /// See [`Settings::region`].
    pub region: CompactString,
    /// See [`Settings::platform`].
    pub platform: CompactString,
    /// See [`Settings::http`].
    pub http: RawHttp,
    /// See [`Settings::mesh`].
    pub mesh: RawMesh,
    /// See [`Settings::log`].
    #[serde(default)]
    pub log: RawLog,
    /// See [`Settings::plugins`].
    #[serde(default)]
    pub policy: RawPolicy,
    /// See [`Settings::lease_terms`].
    #[serde(default)]
    pub lease: RawTerms,
    /// See [`Settings::grace_period`].
    #[serde(default)]
    pub shutdown: RawShutdown,
    /// See [`MeshSettings::peers`].
    #[serde(default, rename = "peer")]
    pub peers: Vec<RawPeer>,
}

/// The table `http`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawHttp {
    /// See [`HttpSettings::listen`].
    pub listen: CompactString,
    /// See [`HttpSettings::body_limit`].
    #[serde(default = "body_default")]
    pub body_limit_bytes: usize,
    /// See [`HttpSettings::request_limit`].
    #[serde(default = "requests_default")]
    pub request_limit: usize,
}

/// The table `mesh`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawMesh {
    /// See [`MeshSettings::listen`].
    pub listen: CompactString,
    /// See [`MeshSettings::advertise`].
    #[serde(default)]
    pub advertise: Option<CompactString>,
    /// The node's certificate: PEM text or the path of a PEM file.
    pub certificate: String,
    /// The node's private key: PEM text or the path of a PEM file.
    pub key: String,
    /// The certificates of the trusted authorities: PEM text or the path of a PEM file.
    pub authorities: String,
}

/// A table of the array `peer`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RawPeer {
    /// The peer's name.
    pub node: CompactString,
    /// The address of its mesh.
    pub addr: CompactString,
}

/// The table `log`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawLog {
    /// See [`LogSettings::level`].
    pub level: CompactString,
    /// See [`LogSettings::format`].
    pub format: CompactString,
}

/// The table `policy`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawPolicy {
    /// See [`Settings::plugins`].
    pub plugins: Vec<CompactString>,
}

/// The table `shutdown`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct RawShutdown {
    /// See [`Settings::grace_period`].
    pub grace_ms: u64,
}

impl Default for RawLog {
    fn default() -> Self {
        Self {
            level: "info".into(),
            format: "text".into(),
        }
    }
}

impl Default for RawPolicy {
    fn default() -> Self {
        let plugins = dotterel_policies::STANDARD;
        Self {
            plugins: plugins.iter().map(|name| (*name).into()).collect(),
        }
    }
}

impl Default for RawShutdown {
    fn default() -> Self {
        Self { grace_ms: 60_000 }
    }
}

const fn body_default() -> usize {
    1 << 20
}

const fn requests_default() -> usize {
    20_000
}

impl TryFrom<RawSettings> for Settings {
    type Error = FieldError;

    fn try_from(raw: RawSettings) -> Result<Self, Self::Error> {
        let node = NodeId(check_name("node", &raw.node)?);
        let mesh = check_mesh(&node, &raw.mesh, &raw.peers)?;
        Ok(Self {
            data_centre: DataCentre(check_name("data_centre", &raw.data_centre)?),
            region: Region(check_name("region", &raw.region)?),
            platform: check_addr("platform", &raw.platform)?,
            http: check_http(&raw.http)?,
            mesh,
            log: check_log(&raw.log)?,
            plugins: check_plugins(raw.policy.plugins)?,
            lease_terms: check_terms(raw.lease)?,
            grace_period: Millis(check_range(
                "shutdown.grace_ms",
                raw.shutdown.grace_ms,
                1,
                MAX_GRACE_MS,
            )?),
            node,
        })
    }
}

fn check_name(field: &str, name: &CompactString) -> Result<CompactString, FieldError> {
    let is_allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    let has_outer_hyphen = name.starts_with('-') || name.ends_with('-');
    if name.is_empty()
        || name.len() > MAX_NAME_LENGTH
        || has_outer_hyphen
        || !name.chars().all(is_allowed)
    {
        let range = "1 to 63 characters of a-z, 0-9 and -, no - at the start or the end";
        return Err(FieldError::new(field, name, range));
    }
    Ok(name.clone())
}

fn check_addr(field: impl Into<CompactString>, text: &str) -> Result<SocketAddr, FieldError> {
    SocketAddr::from_str(text)
        .map_err(|_| FieldError::new(field, text, "an IP address and port, such as 10.0.0.1:8080"))
}

fn check_range<T>(field: &str, value: T, min: T, max: T) -> Result<T, FieldError>
where
    T: PartialOrd + fmt::Display,
{
    if value < min || value > max {
        let range = format_compact!("{min} to {max}");
        return Err(FieldError::new(field, value, range));
    }
    Ok(value)
}

fn check_http(raw: &RawHttp) -> Result<HttpSettings, FieldError> {
    let body = raw.body_limit_bytes;
    let requests = raw.request_limit;
    Ok(HttpSettings {
        listen: check_addr("http.listen", &raw.listen)?,
        body_limit: check_range("http.body_limit_bytes", body, 1, MAX_BODY_BYTES)?,
        request_limit: check_range("http.request_limit", requests, 1, MAX_REQUEST_LIMIT)?,
    })
}

fn check_mesh(node: &NodeId, raw: &RawMesh, peers: &[RawPeer]) -> Result<MeshSettings, FieldError> {
    let certificate = check_pem("mesh.certificate", &raw.certificate)?;
    let key = check_pem("mesh.key", &raw.key)?;
    let authorities = check_pem("mesh.authorities", &raw.authorities)?;
    let identity = Identity::from_pem(node, &certificate, &key, &authorities)
        .map_err(|err| FieldError::new("mesh", err, "a certificate for this node"))?;
    let advertise = raw.advertise.as_deref();
    Ok(MeshSettings {
        listen: check_addr("mesh.listen", &raw.listen)?,
        advertise: advertise
            .map(|text| check_addr("mesh.advertise", text))
            .transpose()?,
        identity,
        peers: peers.iter().map(check_peer).collect::<Result<_, _>>()?,
    })
}

fn check_peer(raw: &RawPeer) -> Result<Peer, FieldError> {
    Ok(Peer {
        node: NodeId(check_name("peer.node", &raw.node)?),
        addr: check_addr(format_compact!("peer.{}.addr", raw.node), &raw.addr)?,
    })
}

fn check_pem(field: &str, text: &str) -> Result<String, FieldError> {
    if text.trim_start().starts_with(PEM_PREFIX) {
        return Ok(text.to_owned());
    }
    std::fs::read_to_string(text).map_err(|err| {
        let value = format_compact!("{text}: {err}");
        FieldError::new(field, value, "PEM text or a readable file")
    })
}

fn check_log(raw: &RawLog) -> Result<LogSettings, FieldError> {
    let level = raw.level.parse().map_err(|_| {
        let range = "off, error, warn, info, debug or trace";
        FieldError::new("log.level", &raw.level, range)
    })?;
    let format = match raw.format.as_str() {
        "text" => LogFormat::Text,
        "json" => LogFormat::Json,
        other => return Err(FieldError::new("log.format", other, "text or json")),
    };
    Ok(LogSettings { level, format })
}

fn check_plugins(names: Vec<CompactString>) -> Result<Vec<CompactString>, FieldError> {
    for name in &names {
        if dotterel_kernel::PolicySet::from_names([name.as_str()]).is_err() {
            let range = "names of registered plug-ins";
            return Err(FieldError::new("policy.plugins", name, range));
        }
    }
    Ok(names)
}

fn check_terms(raw: RawTerms) -> Result<Terms, FieldError> {
    Terms::try_from(raw).map_err(|err| {
        let field = format_compact!("lease.{}", err.field);
        let range = format_compact!("{} to {}", err.min, err.max);
        FieldError::new(field, err.value, range)
    })
}
