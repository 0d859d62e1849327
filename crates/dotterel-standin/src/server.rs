//! HTTP servers for the fakes.

mod admin;
mod body;
mod platform;
mod worker;

use std::convert::Infallible;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_platform::api;
use http::{Method, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::faults::ANY_CALLER;
pub(crate) use admin::AdminApi;
pub(crate) use body::{Reply, ReplyBody};
pub(crate) use platform::PlatformApi;
pub(crate) use worker::WorkerApi;

/// A received HTTP request.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) caller: String,
    pub(crate) body: Bytes,
}

/// Handles the calls to a server.
#[async_trait]
pub(crate) trait Api: Send + Sync + 'static {
    async fn respond(&self, call: Call) -> Reply;
}

/// A running HTTP server; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    /// Connections accepted in an older generation are stalled.
    current_generation: Arc<AtomicU64>,
    _stop: watch::Sender<()>,
}

impl Server {
    pub(crate) async fn start(addr: SocketAddr, api: impl Api) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let current_generation = Arc::new(AtomicU64::new(0));
        let (stop, stopped) = watch::channel(());
        tokio::spawn(accept(
            listener,
            Arc::new(api),
            current_generation.clone(),
            stopped,
        ));
        Ok(Self {
            addr,
            current_generation,
            _stop: stop,
        })
    }

    /// Returns the address that the server listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Permanently stalls all connections that are open now; new ones work.
    pub fn stall_connections(&self) {
        self.current_generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the counter whose increment stalls all open connections.
    pub(crate) fn connection_generation(&self) -> Arc<AtomicU64> {
        self.current_generation.clone()
    }
}

async fn accept<A: Api>(
    listener: TcpListener,
    api: Arc<A>,
    current_generation: Arc<AtomicU64>,
    mut stopped: watch::Receiver<()>,
) {
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopped.changed() => return,
        };
        let Ok((stream, _)) = stream else {
            continue;
        };
        let connection = Connection {
            api: api.clone(),
            generation: current_generation.load(Ordering::SeqCst),
            current_generation: current_generation.clone(),
        };
        tokio::spawn(serve(stream, connection, stopped.clone()));
    }
}

struct Connection<A> {
    api: Arc<A>,
    generation: u64,
    current_generation: Arc<AtomicU64>,
}

async fn serve<A: Api>(
    stream: TcpStream,
    connection: Connection<A>,
    mut stopped: watch::Receiver<()>,
) {
    // With Nagle's algorithm, small replies would wait for the peer's delayed acknowledgement.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = &connection;
    let service = service_fn(|request| connection.handle(request));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A caller that closes the connection needs no handling.
        _ = serving => {}
        _ = stopped.changed() => {}
    }
}

impl<A: Api> Connection<A> {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Response<ReplyBody>> {
        self.wait_if_stalled().await;
        let call = read_call(request).await?;
        let reply = self.api.respond(call).await;
        self.wait_if_stalled().await;
        reply.response()
    }

    /// Never returns on a stalled connection.
    async fn wait_if_stalled(&self) {
        if self.generation < self.current_generation.load(Ordering::SeqCst) {
            let never: Infallible = pending().await;
            match never {}
        }
    }
}

async fn read_call(request: Request<Incoming>) -> io::Result<Call> {
    let (head, body) = request.into_parts();
    let caller = head.headers.get(api::CALLER_HEADER);
    let caller = caller.and_then(|value| value.to_str().ok());
    let body = body.collect().await.map_err(io::Error::other)?.to_bytes();
    Ok(Call {
        method: head.method,
        path: head.uri.path().to_owned(),
        caller: caller.unwrap_or(ANY_CALLER).to_owned(),
        body,
    })
}
