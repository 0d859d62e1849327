//! The outgoing connection to one peer, maintained by a task that reconnects with backoff.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterel_kernel::{Incarnation, NodeId};
use quinn::{ClientConfig, Connection, Endpoint, RecvStream};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::counters::MeshMetrics;
use crate::endpoint::Peer;
use crate::error::MeshError;
use crate::transport;
use crate::wire::{self, Hello};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// A peer and the task that maintains the connection to it. Dropping the link ends the task.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) peer: Peer,
    current: watch::Receiver<Option<Connection>>,
    task: JoinHandle<()>,
}

/// Establishes the connection of a link.
pub(crate) struct Connector {
    pub(crate) peer: Peer,
    pub(crate) own_node: NodeId,
    /// The local IP address to connect from.
    pub(crate) own_addr: IpAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) client_config: ClientConfig,
    pub(crate) metrics: Arc<MeshMetrics>,
}

impl Link {
    /// Starts the task that maintains the connection.
    pub(crate) fn open(connector: Connector) -> Self {
        let (sender, current) = watch::channel(None);
        Self {
            peer: connector.peer.clone(),
            current,
            task: tokio::spawn(connector.maintain(sender)),
        }
    }

    /// Returns true while a connection is established.
    pub(crate) fn is_connected(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// Returns a handle for making calls.
    pub(crate) fn handle(&self) -> LinkHandle {
        LinkHandle(self.current.clone())
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A handle for making calls over a link.
pub(crate) struct LinkHandle(watch::Receiver<Option<Connection>>);

impl LinkHandle {
    /// Makes a call and waits for the reply, for up to `limit`.
    pub(crate) async fn call<Q, A>(mut self, call: &Q, limit: Duration) -> Result<A, MeshError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let bytes = wire::encode(call)?;
        let deadline = Instant::now() + limit;
        let connection = timeout_at(deadline, self.connection())
            .await
            .map_err(|_| MeshError::not_sent("not connected in time"))??;
        let opened = timeout_at(deadline, send(&connection, &bytes)).await;
        let mut receive = opened.map_err(|_| MeshError::not_sent("not sent in time"))??;
        timeout_at(deadline, wire::read(&mut receive))
            .await
            .map_err(|_| MeshError::unknown("no answer in time"))?
    }

    async fn connection(&mut self) -> Result<Connection, MeshError> {
        let current = self
            .0
            .wait_for(Option::is_some)
            .await
            .map_err(MeshError::not_sent)?;
        current
            .clone()
            .ok_or_else(|| MeshError::not_sent("not connected"))
    }
}

/// Sends one message on a new stream.
async fn send(connection: &Connection, bytes: &[u8]) -> Result<RecvStream, MeshError> {
    let (send, receive) = connection.open_bi().await.map_err(MeshError::not_sent)?;
    let mut send = ResetOnDrop(Some(send));
    send.write(bytes).await?;
    Ok(receive)
}

/// A send stream that is reset instead of finished if its call is cancelled while sending.
///
/// The peer thereby discards the truncated message.
struct ResetOnDrop(Option<quinn::SendStream>);

impl ResetOnDrop {
    async fn write(&mut self, bytes: &[u8]) -> Result<(), MeshError> {
        if let Some(stream) = &mut self.0 {
            wire::write(stream, bytes).await?;
        }
        self.0 = None;
        Ok(())
    }
}

impl Drop for ResetOnDrop {
    fn drop(&mut self) {
        if let Some(stream) = &mut self.0 {
            // An error means that the connection, and so the stream, is already closed.
            let _ = stream.reset(wire::CALL_CANCELLED);
        }
    }
}

impl Connector {
    async fn maintain(self, sender: watch::Sender<Option<Connection>>) {
        let mut backoff = INITIAL_BACKOFF;
        loop {
            match timeout(CONNECT_TIMEOUT, self.connect()).await {
                Ok(Ok((_endpoint, connection))) => {
                    backoff = INITIAL_BACKOFF;
                    let _meter = self.metrics.meter(&connection);
                    sender.send_replace(Some(connection.clone()));
                    let cause = connection.closed().await;
                    sender.send_replace(None);
                    self.metrics.record_lost_link();
                    log::info!(peer = self.peer.node.as_str(), cause:% = cause; "link lost");
                }
                Ok(Err(err)) => {
                    log::debug!(peer = self.peer.node.as_str(), fault:% = err; "failed to connect");
                }
                Err(_) => {
                    log::debug!(peer = self.peer.node.as_str(); "connection attempt timed out");
                }
            }
            sleep(backoff).await;
            backoff = MAX_BACKOFF.min(backoff * 2);
        }
    }

    async fn connect(&self) -> Result<(Endpoint, Connection), MeshError> {
        let endpoint = transport::client_endpoint(self.own_addr, self.peer.addr)
            .map_err(MeshError::not_sent)?;
        let connection = endpoint
            .connect_with(
                self.client_config.clone(),
                self.peer.addr,
                self.peer.node.as_str(),
            )
            .map_err(MeshError::not_sent)?
            .await
            .map_err(MeshError::not_sent)?;
        let hello = wire::encode(&Hello {
            node: self.own_node.clone(),
            incarnation: self.incarnation,
        })?;
        // The peer checks the certificate's name after the handshake. Its reply confirms that the
        // check has passed.
        let mut receive = send(&connection, &hello).await?;
        wire::read::<()>(&mut receive).await?;
        Ok((endpoint, connection))
    }
}
