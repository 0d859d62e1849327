//! QUIC and TLS configuration.

use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{ClientConfig, Endpoint, EndpointConfig, ServerConfig, TransportConfig, VarInt};
use rustls::crypto::ring;
use rustls::server::WebPkiClientVerifier;

use crate::identity::{Identity, IdentityError};

/// Longer than the heartbeat interval, so that only connections without heartbeats send
/// keep-alives.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(1_400);
const IDLE_TIMEOUT_MS: u32 = 3_000;

/// The maximum number of concurrent calls from one peer. Every connection reserves memory for each
/// permitted stream.
const MAX_CONCURRENT_CALLS: u32 = 1_024;
const ALPN_PROTOCOL: &[u8] = b"dotterelrelay/1";

/// Returns the configuration of outgoing connections.
pub(crate) fn client_config(identity: &Identity) -> Result<ClientConfig, IdentityError> {
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(key_error)?
        .with_root_certificates(identity.roots.clone())
        .with_client_auth_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(key_error)?;
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let quic = QuicClientConfig::try_from(tls).map_err(key_error)?;
    let mut config = ClientConfig::new(Arc::new(quic));
    // No incoming streams: peers make their calls over their own outgoing connections.
    config.transport_config(transport(0));
    Ok(config)
}

/// Returns the configuration of incoming connections, which requires client certificates.
pub(crate) fn server_config(identity: &Identity) -> Result<ServerConfig, IdentityError> {
    let provider = Arc::new(ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(identity.roots.clone(), provider.clone())
            .build()
            .map_err(|err| IdentityError::Authority(err.to_string()))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(key_error)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain.clone(), identity.key.clone_key())
        .map_err(key_error)?;
    tls.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
    let quic = QuicServerConfig::try_from(tls).map_err(key_error)?;
    let mut config = ServerConfig::with_crypto(Arc::new(quic));
    config.transport_config(transport(MAX_CONCURRENT_CALLS));
    Ok(config)
}

/// Returns an endpoint on a new ephemeral port for one outgoing connection.
///
/// Firewalls and other devices that track flows may have dropped the state of an earlier
/// connection. A new source port makes them treat the connection as a new flow. The endpoint binds
/// to `own`, the IP address that the node listens on, unless the peer's address is of another
/// family.
pub(crate) fn client_endpoint(own: IpAddr, peer: SocketAddr) -> std::io::Result<Endpoint> {
    let local = match (own.is_ipv4(), peer.is_ipv4()) {
        (true, true) | (false, false) => own,
        (_, true) => Ipv4Addr::UNSPECIFIED.into(),
        (_, false) => Ipv6Addr::UNSPECIFIED.into(),
    };
    Endpoint::client((local, 0).into())
}

/// Returns an endpoint that accepts connections on a bound socket.
pub(crate) fn server_endpoint(
    socket: std::net::UdpSocket,
    config: ServerConfig,
) -> std::io::Result<Endpoint> {
    let runtime = Arc::new(quinn::TokioRuntime);
    Endpoint::new(EndpointConfig::default(), Some(config), socket, runtime)
}

/// Returns the transport configuration of a connection on which the peer may open `max_streams`
/// concurrent streams.
fn transport(max_streams: u32) -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config
        .keep_alive_interval(Some(KEEP_ALIVE_INTERVAL))
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(VarInt::from_u32(max_streams))
        .max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(config)
}

fn key_error(err: impl std::fmt::Display) -> IdentityError {
    IdentityError::Key(err.to_string())
}
