//! Why a node did not start.

use std::fmt;
use std::net::SocketAddr;

use dotterel_kernel::plugin::UnknownPlugin;
use dotterel_mesh::OpenError;

/// Why a node did not start.
#[derive(Debug)]
pub enum StartError {
    /// An address cannot be listened at.
    Listen(SocketAddr, std::io::Error),
    /// The mesh cannot be opened.
    Mesh(OpenError),
    /// A plug-in is not registered.
    Plugin(UnknownPlugin),
}

impl From<OpenError> for StartError {
    fn from(fault: OpenError) -> Self {
        Self::Mesh(fault)
    }
}

impl From<UnknownPlugin> for StartError {
    fn from(fault: UnknownPlugin) -> Self {
        Self::Plugin(fault)
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(addr, fault) => write!(f, "cannot listen at {addr}: {fault}"),
            Self::Mesh(fault) => fault.fmt(f),
            Self::Plugin(fault) => fault.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}
