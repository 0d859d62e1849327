//! Incoming connections: one task each, and one for each call on it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use dotterel_kernel::NodeId;
use quinn::{Connection, ConnectionError, Endpoint, Incoming, RecvStream, SendStream, VarInt};
use rustls::pki_types::CertificateDer;
use tokio::time::timeout;

use crate::counted::Counted;
use crate::endpoint::Protocol;
use crate::error::MeshError;
use crate::identity;
use crate::wire::{self, Hello};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(3);
const WRONG_NAME: VarInt = VarInt::from_u32(2);

/// Serves the calls of peers.
pub trait Handler<P: Protocol>: Send + Sync + 'static {
    /// Serves one call; it runs to its end even when the peer has gone.
    fn handle(&self, from: NodeId, call: P::Call) -> impl Future<Output = P::Reply> + Send;
}

/// The accepting side of a mesh, which serves nothing until [`Listener::serve`] is called.
pub struct Listener {
    pub(crate) endpoint: Endpoint,
    pub(crate) counted: Arc<Counted>,
}

impl Listener {
    /// Serves peers until the mesh is closed.
    pub async fn serve<P: Protocol, H: Handler<P>>(self, handler: Arc<H>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let counted = self.counted.clone();
            tokio::spawn(connection::<P, H>(incoming, handler.clone(), counted));
        }
    }
}

async fn connection<P: Protocol, H: Handler<P>>(
    incoming: Incoming,
    handler: Arc<H>,
    counted: Arc<Counted>,
) {
    let remote = incoming.remote_address();
    let greeting = timeout(HANDSHAKE_TIMEOUT, greet(incoming)).await;
    let (connection, from) = match greeting {
        Ok(Ok(greeted)) => greeted,
        Ok(Err(Rejected::Refused(cause))) => {
            counted.refused();
            log::warn!(remote:% = remote, cause = cause.as_str(); "peer refused");
            return;
        }
        Ok(Err(Rejected::Gone)) | Err(_) => return,
    };
    let _metered = counted.meter(&connection);
    while let Ok((send, receive)) = connection.accept_bi().await {
        tokio::spawn(serve::<P, H>(send, receive, from.clone(), handler.clone()));
    }
}

/// Why an incoming connection is not served.
enum Rejected {
    /// The peer has no known certificate or not the name that it gives.
    Refused(CompactString),
    /// The connection ended by itself.
    Gone,
}

impl From<MeshError> for Rejected {
    fn from(_: MeshError) -> Self {
        Self::Gone
    }
}

/// Completes the handshake and checks that the certificate carries the name that the peer gives.
async fn greet(incoming: Incoming) -> Result<(Connection, NodeId), Rejected> {
    let connection = incoming.await.map_err(|fault| match fault {
        ConnectionError::TransportError(cause) => Rejected::Refused(format_compact!("{cause}")),
        _ => Rejected::Gone,
    })?;
    let (mut send, mut receive) = connection.accept_bi().await.map_err(|_| Rejected::Gone)?;
    let hello: Hello = wire::read(&mut receive).await?;
    let shown = connection
        .peer_identity()
        .and_then(|identity| identity.downcast::<Vec<CertificateDer<'static>>>().ok());
    let first = shown.as_ref().and_then(|chain| chain.first());
    if !first.is_some_and(|certificate| identity::names(certificate, &hello.node)) {
        connection.close(WRONG_NAME, b"the certificate has another name");
        let cause = format_compact!("the certificate is not for `{}`", hello.node);
        return Err(Rejected::Refused(cause));
    }
    log::debug!(peer = hello.node.as_str(), incarnation = hello.incarnation.0; "peer connected");
    wire::write(&mut send, &wire::encode(&())?).await?;
    Ok((connection, hello.node))
}

async fn serve<P: Protocol, H: Handler<P>>(
    mut send: SendStream,
    mut receive: RecvStream,
    from: NodeId,
    handler: Arc<H>,
) {
    let call: P::Call = match wire::read(&mut receive).await {
        Ok(call) => call,
        Err(fault) => {
            log::debug!(peer = from.as_str(), fault:% = fault; "call dropped");
            return;
        }
    };
    let reply = handler.handle(from.clone(), call).await;
    let sent = match wire::encode(&reply) {
        Ok(bytes) => wire::write(&mut send, &bytes).await,
        Err(fault) => Err(fault),
    };
    if let Err(fault) = sent {
        // An incomplete answer must not look like one that ended.
        let _ = send.reset(wire::GIVEN_UP);
        log::debug!(peer = from.as_str(), fault:% = fault; "answer lost");
    }
}
