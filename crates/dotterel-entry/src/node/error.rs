//! Errors of starting a node.

use std::fmt;
use std::net::SocketAddr;

use dotterel_kernel::plugin::UnknownPlugin;
use dotterel_mesh::OpenError;

/// An error of starting a node.
#[derive(Debug)]
pub enum StartError {
    /// Listening on an address failed.
    Listen(SocketAddr, std::io::Error),
    /// The mesh failed to open.
    Mesh(OpenError),
    /// A plug-in is not registered.
    Plugin(UnknownPlugin),
}

impl From<OpenError> for StartError {
    fn from(err: OpenError) -> Self {
        Self::Mesh(err)
    }
}

impl From<UnknownPlugin> for StartError {
    fn from(err: UnknownPlugin) -> Self {
        Self::Plugin(err)
    }
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(addr, err) => write!(f, "failed to listen on {addr}: {err}"),
            Self::Mesh(err) => err.fmt(f),
            Self::Plugin(err) => err.fmt(f),
        }
    }
}

impl std::error::Error for StartError {}
