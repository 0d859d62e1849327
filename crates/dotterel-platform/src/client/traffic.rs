//! Counts the calls and bytes of an endpoint's connections.

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

/// Counters of calls and bytes. Bytes include HTTP headers but not TCP and IP headers.
#[derive(Debug, Default)]
pub struct Traffic {
    calls: AtomicU64,
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
}

impl Traffic {
    /// Returns the number of calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes sent.
    #[must_use]
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_sent.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes received.
    #[must_use]
    pub fn bytes_received(&self) -> u64 {
        self.bytes_received.load(Ordering::Relaxed)
    }

    pub(super) fn record_call(&self) {
        self.calls.fetch_add(1, Ordering::Relaxed);
    }

    fn record_sent(&self, count: usize) {
        self.bytes_sent.fetch_add(count as u64, Ordering::Relaxed);
    }

    fn record_received(&self, count: usize) {
        self.bytes_received
            .fetch_add(count as u64, Ordering::Relaxed);
    }
}

/// A connector whose connections count the bytes they transfer.
#[derive(Clone, Debug)]
pub(super) struct CountingConnector {
    connector: HttpConnector,
    traffic: Arc<Traffic>,
}

impl CountingConnector {
    pub(super) const fn new(connector: HttpConnector, traffic: Arc<Traffic>) -> Self {
        Self { connector, traffic }
    }
}

type ConnectFuture = Pin<Box<dyn Future<Output = io::Result<TokioIo<CountingStream>>> + Send>>;

impl Service<Uri> for CountingConnector {
    type Response = TokioIo<CountingStream>;
    type Error = io::Error;
    type Future = ConnectFuture;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connector.poll_ready(context).map_err(io::Error::other)
    }

    fn call(&mut self, uri: Uri) -> ConnectFuture {
        let connecting = self.connector.call(uri);
        let traffic = self.traffic.clone();
        Box::pin(async move {
            let inner = connecting.await.map_err(io::Error::other)?.into_inner();
            Ok(TokioIo::new(CountingStream { inner, traffic }))
        })
    }
}

/// A TCP stream that counts the bytes it transfers.
#[derive(Debug)]
pub(super) struct CountingStream {
    inner: TcpStream,
    traffic: Arc<Traffic>,
}

impl Connection for CountingStream {
    fn connected(&self) -> Connected {
        self.inner.connected()
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        self.traffic.record_received(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write(context, bytes))?;
        self.traffic.record_sent(count);
        Poll::Ready(Ok(count))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let count = ready!(Pin::new(&mut self.inner).poll_write_vectored(context, slices))?;
        self.traffic.record_sent(count);
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
