//! Incoming connections, with one task for each connection and one for each call.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use dotterel_kernel::NodeId;
use quinn::{Connection, ConnectionError, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use rustls::pki_types::CertificateDer;
use tokio::time::timeout;

use crate::counters::MeshMetrics;
use crate::endpoint::Protocol;
use crate::error::MeshError;
use crate::identity;
use crate::wire::{self, Hello};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const NAME_MISMATCH: VarInt = VarInt::from_u32(2);

/// Serves the calls of peers.
pub trait Handler<P: Protocol>: Send + Sync + 'static {
    /// Serves one call. It runs to completion even if the peer disconnects.
    fn handle(&self, from: NodeId, call: P::Call) -> impl Future<Output = P::Reply> + Send;
}

/// The server side of a mesh. It accepts no connections until [`Listener::serve`] is called.
pub struct Listener {
    pub(crate) endpoint: Endpoint,
    pub(crate) metrics: Arc<MeshMetrics>,
}

impl Listener {
    /// Accepts connections and serves their calls until the mesh is closed.
    pub async fn serve<P: Protocol, H: Handler<P>>(self, handler: Arc<H>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let metrics = self.metrics.clone();
            tokio::spawn(serve_connection::<P, H>(incoming, handler.clone(), metrics));
        }
    }
}

async fn serve_connection<P: Protocol, H: Handler<P>>(
    incoming: Incoming,
    handler: Arc<H>,
    metrics: Arc<MeshMetrics>,
) {
    let remote = incoming.remote_address();
    let handshake = timeout(HANDSHAKE_TIMEOUT, accept_peer(incoming)).await;
    let (connection, from) = match handshake {
        Ok(Ok(accepted)) => accepted,
        Ok(Err(AcceptError::Refused(cause))) => {
            metrics.record_refused_peer();
            log::warn!(remote:% = remote, cause = cause.as_str(); "peer refused");
            return;
        }
        Ok(Err(AcceptError::Closed)) | Err(_) => return,
    };
    let _meter = metrics.meter(&connection);
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(serve_call::<P, H>(
            send,
            receive,
            from.clone(),
            handler.clone(),
        ));
    }
}

/// The reason why an incoming connection is not served.
enum AcceptError {
    /// The TLS handshake failed, or the certificate is not for the name that the peer states.
    Refused(CompactString),
    /// The connection ended before the peer was accepted.
    Closed,
}

impl From<MeshError> for AcceptError {
    fn from(_: MeshError) -> Self {
        Self::Closed
    }
}

/// Completes the handshake and checks that the certificate is for the name that the peer states.
async fn accept_peer(incoming: Incoming) -> Result<(Connection, NodeId), AcceptError> {
    let connection = incoming.await.map_err(|err| match err {
        ConnectionError::TransportError(cause) => AcceptError::Refused(format_compact!("{cause}")),
        _ => AcceptError::Closed,
    })?;
    let (mut send, mut receive) = connection
        .accept_bi()
        .await
        .map_err(|_| AcceptError::Closed)?;
    let hello: Hello = wire::read(&mut receive).await?;
    let chain = connection
        .peer_identity()
        .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok());
    let leaf = chain.as_ref().and_then(|certificates| certificates.first());
    if !leaf.is_some_and(|certificate| identity::matches_name(certificate, &hello.node)) {
        connection.close(NAME_MISMATCH, b"the certificate has another name");
        let cause = format_compact!("the certificate is not for `{}`", hello.node);
        return Err(AcceptError::Refused(cause));
    }
    log::debug!(peer = hello.node.as_str(), incarnation = hello.incarnation.0; "peer connected");
    wire::write(&mut send, &wire::encode(&())?).await?;
    Ok((connection, hello.node))
}

async fn serve_call<P: Protocol, H: Handler<P>>(
    mut send: SendStream,
    mut receive: RecvStream,
    from: NodeId,
    handler: Arc<H>,
) {
    let call: P::Call = match wire::read(&mut receive).await {
        Ok(call) => call,
        Err(err) => {
            log::debug!(peer = from.as_str(), fault:% = err; "failed to read call");
            return;
        }
    };
    let reply = handler.handle(from.clone(), call).await;
    let sent = match wire::encode(&reply) {
        Ok(bytes) => wire::write(&mut send, &bytes).await,
        Err(err) => Err(err),
    };
    if let Err(err) = sent {
        // Without the reset, the peer could mistake a truncated reply for a complete one.
        let _ = send.reset(wire::CALL_CANCELLED);
        log::debug!(peer = from.as_str(), fault:% = err; "failed to send reply");
    }
}
