//! A node's certificate and key, and the authorities that it trusts.

use std::fmt;
use std::sync::Arc;

use dotterel_kernel::NodeId;
use rustls::RootCertStore;
use rustls::client::verify_server_name;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use rustls::server::ParsedCertificate;

/// The TLS credentials of a node and the authorities that it trusts.
#[derive(Clone)]
pub struct Identity {
    pub(crate) chain: Vec<CertificateDer<'static>>,
    pub(crate) key: Arc<PrivateKeyDer<'static>>,
    pub(crate) roots: Arc<RootCertStore>,
}

/// The error of reading an [`Identity`] from PEM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdentityError {
    /// The certificate chain is missing or unreadable.
    Certificate(String),
    /// The private key is missing or unreadable.
    Key(String),
    /// The trusted authorities are missing or unreadable.
    Authority(String),
    /// The certificate is not for the node's name.
    Name(String),
}

impl Identity {
    /// Reads a certificate chain, its private key and the trusted authorities from PEM.
    ///
    /// # Errors
    ///
    /// Returns an error if an item is missing or unreadable, or the certificate is not for `node`.
    pub fn from_pem(
        node: &NodeId,
        certificate: &str,
        key: &str,
        authorities: &str,
    ) -> Result<Self, IdentityError> {
        let chain = certificates(certificate).map_err(IdentityError::Certificate)?;
        let key = PrivateKeyDer::from_pem_slice(key.as_bytes())
            .map_err(|err| IdentityError::Key(err.to_string()))?;
        let mut roots = RootCertStore::empty();
        for root in certificates(authorities).map_err(IdentityError::Authority)? {
            roots
                .add(root)
                .map_err(|err| IdentityError::Authority(err.to_string()))?;
        }
        if !matches_name(&chain[0], node) {
            return Err(IdentityError::Name(node.to_string()));
        }
        Ok(Self {
            chain,
            key: Arc::new(key),
            roots: Arc::new(roots),
        })
    }
}

/// Returns true if the certificate is valid for the node's name.
pub(crate) fn matches_name(certificate: &CertificateDer<'_>, node: &NodeId) -> bool {
    let Ok(name) = ServerName::try_from(node.as_str()) else {
        return false;
    };
    ParsedCertificate::try_from(certificate)
        .is_ok_and(|parsed| verify_server_name(&parsed, &name).is_ok())
}

fn certificates(pem: &str) -> Result<Vec<CertificateDer<'static>>, String> {
    let certs = CertificateDer::pem_slice_iter(pem.as_bytes())
        .collect::<Result<Vec<_>, _>>()
        .map_err(|err| err.to_string())?;
    if certs.is_empty() {
        return Err("no certificate in the text".to_owned());
    }
    Ok(certs)
}

impl fmt::Debug for Identity {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Identity")
            .field("chain", &self.chain.len())
            .field("roots", &self.roots.len())
            .finish_non_exhaustive()
    }
}

impl fmt::Display for IdentityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Certificate(cause) => write!(f, "certificate: {cause}"),
            Self::Key(cause) => write!(f, "private key: {cause}"),
            Self::Authority(cause) => write!(f, "trusted authority: {cause}"),
            Self::Name(node) => write!(f, "the certificate is not for node `{node}`"),
        }
    }
}

impl std::error::Error for IdentityError {}
