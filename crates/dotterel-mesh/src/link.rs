//! The outgoing connection to one peer, kept by one task.

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

use crate::counted::Counted;
use crate::endpoint::Peer;
use crate::error::MeshError;
use crate::transport;
use crate::wire::{self, Hello};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const RETRY_FIRST: Duration = Duration::from_millis(50);
const RETRY_MOST: Duration = Duration::from_secs(2);

/// A peer with the task that keeps a connection to it.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) peer: Peer,
    current: watch::Receiver<Option<Connection>>,
    task: JoinHandle<()>,
}

/// What the task of a link needs.
pub(crate) struct Dial {
    pub(crate) peer: Peer,
    pub(crate) own: NodeId,
    /// The IP address to connect from.
    pub(crate) addr: IpAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) config: ClientConfig,
    pub(crate) counted: Arc<Counted>,
}

impl Link {
    /// Starts the task.
    pub(crate) fn open(dial: Dial) -> Self {
        let (sender, current) = watch::channel(None);
        Self {
            peer: dial.peer.clone(),
            current,
            task: tokio::spawn(dial.keep(sender)),
        }
    }

    /// Returns true while a connection stands.
    pub(crate) fn connected(&self) -> bool {
        self.current.borrow().is_some()
    }

    /// Returns a handle for calls.
    pub(crate) fn line(&self) -> Line {
        Line(self.current.clone())
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A link as a call uses it.
pub(crate) struct Line(watch::Receiver<Option<Connection>>);

impl Line {
    /// Makes a call and waits for its answer, at most for `limit`.
    pub(crate) async fn call<Q, A>(mut self, call: &Q, limit: Duration) -> Result<A, MeshError>
    where
        Q: Serialize,
        A: DeserializeOwned,
    {
        let bytes = wire::encode(call)?;
        let end = Instant::now() + limit;
        let connection = timeout_at(end, self.connection())
            .await
            .map_err(|_| MeshError::not_sent("not connected in time"))??;
        let opened = timeout_at(end, send(&connection, &bytes)).await;
        let mut receive = opened.map_err(|_| MeshError::not_sent("not sent in time"))??;
        timeout_at(end, wire::read(&mut receive))
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

/// Sends one message on a stream of its own.
async fn send(connection: &Connection, bytes: &[u8]) -> Result<RecvStream, MeshError> {
    let (send, receive) = connection.open_bi().await.map_err(MeshError::not_sent)?;
    let mut send = Unfinished(Some(send));
    send.write(bytes).await?;
    Ok(receive)
}

/// A send stream that is reset, not finished, when its call is given up half-way.
struct Unfinished(Option<quinn::SendStream>);

impl Unfinished {
    async fn write(&mut self, bytes: &[u8]) -> Result<(), MeshError> {
        if let Some(stream) = &mut self.0 {
            wire::write(stream, bytes).await?;
        }
        self.0 = None;
        Ok(())
    }
}

impl Drop for Unfinished {
    fn drop(&mut self) {
        if let Some(stream) = &mut self.0 {
            // An error means that the connection is gone, and the stream with it.
            let _ = stream.reset(wire::GIVEN_UP);
        }
    }
}

impl Dial {
    async fn keep(self, sender: watch::Sender<Option<Connection>>) {
        let mut pause = RETRY_FIRST;
        loop {
            match timeout(CONNECT_TIMEOUT, self.connect()).await {
                Ok(Ok((_endpoint, connection))) => {
                    pause = RETRY_FIRST;
                    let _metered = self.counted.meter(&connection);
                    sender.send_replace(Some(connection.clone()));
                    let cause = connection.closed().await;
                    sender.send_replace(None);
                    self.counted.lost();
                    log::info!(peer = self.peer.node.as_str(), cause:% = cause; "link lost");
                }
                Ok(Err(fault)) => {
                    log::debug!(peer = self.peer.node.as_str(), fault:% = fault; "no link");
                }
                Err(_) => {
                    log::debug!(peer = self.peer.node.as_str(); "no link in time");
                }
            }
            sleep(pause).await;
            pause = RETRY_MOST.min(pause * 2);
        }
    }

    async fn connect(&self) -> Result<(Endpoint, Connection), MeshError> {
        let endpoint = transport::dialer(self.addr, self.peer.addr).map_err(MeshError::not_sent)?;
        let connection = endpoint
            .connect_with(self.config.clone(), self.peer.addr, self.peer.node.as_str())
            .map_err(MeshError::not_sent)?
            .await
            .map_err(MeshError::not_sent)?;
        let hello = wire::encode(&Hello {
            node: self.own.clone(),
            incarnation: self.incarnation,
        })?;
        // The peer checks the certificate after its side of the handshake; its answer shows that
        // the check is over.
        let mut receive = send(&connection, &hello).await?;
        wire::read::<()>(&mut receive).await?;
        Ok((endpoint, connection))
    }
}
