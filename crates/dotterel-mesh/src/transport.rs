//! QUIC and TLS parameters.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Endpoint, EndpointConfig, ServerConfig, TransportConfig, VarInt};
use rustls::crypto::ring;
use rustls::server::WebPkiClientVerifier;

use crate::identity::{Identity, IdentityError};

/// Longer than the time between two heartbeats, so that only connections without any are probed.
const KEEP_ALIVE: Duration = Duration::from_millis(1_400);
const IDLE_TIMEOUT_MS: u32 = 3_000;

/// Calls of one peer under way at once; each allowed one costs memory on every connection.
const STREAM_LIMIT: u32 = 1_024;
const PROTOCOL_NAME: &[u8] = b"dotterelrelay/1";

/// Returns the settings of outgoing connections.
pub(crate) fn client(identity: &Identity) -> Result<ClientConfig, IdentityError> {
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(key_fault)?
        .with_root_certificates(identity.roots.clone())
        .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(key_fault)?;
    tls.alpn_protocols = vec![PROTOCOL_NAME.to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(key_fault)?;
    let mut config = ClientConfig::new(Arc::new(quic));
    // Peers call on connections of their own.
    config.transport_config(transport(0));
    Ok(config)
}

/// Returns the settings of incoming connections, which need a certificate.
pub(crate) fn server(identity: &Identity) -> Result<ServerConfig, IdentityError> {
    let provider = Arc::new(ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(identity.roots.clone(), provider.clone())
            .build()
            .map_err(|fault| IdentityError::Authority(fault.to_string()))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(key_fault)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(key_fault)?;
    tls.alpn_protocols = vec![PROTOCOL_NAME.to_vec()];
    let quic = QuicServerConfig::try_from(tls).map_err(key_fault)?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport(STREAM_LIMIT));
    Ok(config)
}

/// Returns an endpoint on a fresh port for one outgoing connection.
///
/// A port of its own gives every new connection a new path through whatever keeps track of flows
/// between the nodes, which may have forgotten the old one. It has the IP address `own` that the
/// node listens at, unless the peer's is of another family.
pub(crate) fn dialer(own: IpAddr, peer: SocketAddr) -> std::io::Result<Endpoint> {
    let local = match (own.is_ipv4(), peer.is_ipv4()) {
        (true, true) | (false, false) => own,
        (_, true) => Ipv4Addr::UNSPECIFIED.into(),
        (_, false) => Ipv6Addr::UNSPECIFIED.into(),
    };
    Endpoint::client((local, 0).into())
}

/// Returns an endpoint that accepts connections on a bound socket.
pub(crate) fn listener(
    socket: std::net::UdpSocket,
    config: ServerConfig,
) -> std::io::Result<Endpoint> {
    let runtime = Arc::new(quinn::TokioRuntime);
    Endpoint::new(EndpointConfig::default(), Some(config), socket, runtime)
}

/// Returns the settings of connections on which the peer may have so many calls under way.
fn transport(calls: u32) -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config
        .keep_alive_interval(Some(KEEP_ALIVE))
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(VarInt::from_u32(calls))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(config)
}

fn key_fault(fault: impl std::fmt::Display) -> IdentityError {
    IdentityError::Key(fault.to_string())
}
