//! Counts the bytes that an endpoint's connections carry.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

/// Calls and bytes since the start: HTTP with its headers, without those of TCP and IP.
#[derive(Debug, Default)]
pub struct Traffic {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Returns the number of calls made.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the bytes sent.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Returns the bytes received.
    #[must_use]
    pub fn bytes_received(&self) -> u64 {
        self.received.load(Ordering::Relaxed)
    }

    pub(super) fn call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    fn send(&self, count: usize) {
        self.sent.fetch_add(count as u64, Ordering::Relaxed);
    }

    fn receive(&self, count: usize) {
        self.received.fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// A connector whose connections count their bytes.
#[derive(Clone, Debug)]
pub(super) struct Counted {
    connector: HttpConnector,
    traffic: Arc<Traffic>,
}

impl Counted {
    pub(super) const fn new(connector: HttpConnector, traffic: Arc<Traffic>) -> Self {
        Self { connector, traffic }
    }
}

type Opening = Pin<Box<dyn Future<Output = io::Result<TokioIo<Stream>>> + Send>>;

impl Service<Uri> for Counted {
    type Response = TokioIo<Stream>;
    type Error = io::Error;
    type Future = Opening;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connector.poll_ready(context).map_err(io::Error::other)
    }

    fn call(&mut self, uri: Uri) -> Opening {
        let opening = self.connector.call(uri);
        let traffic = self.traffic.clone();
        Box::pin(async move {
            let inner = opening.await.map_err(io::Error::other)?.into_inner();
            Ok(TokioIo::new(Stream { inner, traffic }))
        })
    }
}

/// A connection that counts its bytes.
#[derive(Debug)]
pub(super) struct Stream {
    inner: TcpStream,
    traffic: Arc<Traffic>,
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        self.inner.connected()
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.traffic.receive(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write(context, bytes))?;
        self.traffic.send(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write_vectored(context, slices))?;
        self.traffic.send(count);
        Poll::Ready(Ok(count))
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
