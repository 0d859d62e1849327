//! Generates a certificate authority and node certificates for tests and evaluation.
//!
//! Nothing is stored: the caller decides what to do with the PEM.

use dotterel_kernel::NodeId;
use rcgen::{BasicConstraints, CertificateParams, DnType, Error, IsCa, Issuer, KeyPair};

/// A certificate authority for one cluster.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    pem: String,
}

/// A node's certificate and private key as PEM.
#[derive(Clone, Debug)]
pub struct NodeKeys {
    /// The certificate.
    pub certificate: String,
    /// The private key.
    pub key: String,
}

impl Authority {
    /// Generates a new authority.
    ///
    /// # Errors
    ///
    /// Returns an error if the key cannot be generated.
    pub fn generate() -> Result<Self, Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::default();
        params
            .distinguished_name
            .push(DnType::CommonName, "dotterelrelay cluster");
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let pem = params.self_signed(&key)?.pem();
        Ok(Self {
            issuer: Issuer::new(params, key),
            pem,
        })
    }

    /// Returns the authority's certificate as PEM.
    #[must_use]
    pub fn pem(&self) -> &str {
        &self.pem
    }

    /// Issues a certificate for one node.
    ///
    /// # Errors
    ///
    /// Returns an error if the node's name is not a DNS name or the key cannot be generated.
    pub fn issue(&self, node: &NodeId) -> Result<NodeKeys, Error> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![node.to_string()])?;
        params
            .distinguished_name
            .push(DnType::CommonName, node.as_str());
        let certificate = params.signed_by(&key, &self.issuer)?;
        Ok(NodeKeys {
            certificate: certificate.pem(),
            key: key.serialize_pem(),
        })
    }
}
