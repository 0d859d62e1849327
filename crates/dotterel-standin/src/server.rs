//! HTTP servers around the models.

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

/// A call as it came in.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) caller: String,
    pub(crate) body: Bytes,
}

/// Answers calls.
#[async_trait]
pub(crate) trait Api: Send + Sync + 'static {
    async fn answer(&self, call: Call) -> Reply;
}

/// A running HTTP server; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Server {
    addr: SocketAddr,
    /// Connections accepted under an older number are silent.
    hush: Arc<AtomicU64>,
    _stop: watch::Sender<()>,
}

impl Server {
    pub(crate) async fn start(addr: SocketAddr, api: impl Api) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let hush = Arc::new(AtomicU64::new(0));
        let (stop, stopped) = watch::channel(());
        tokio::spawn(accept(listener, Arc::new(api), hush.clone(), stopped));
        Ok(Self {
            addr,
            hush,
            _stop: stop,
        })
    }

    /// Returns the address that the server listens at.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Makes all connections that are open now silent for good; new ones work.
    pub fn stall_connections(&self) {
        self.hush.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns a function that does what [`Server::stall_connections`] does.
    pub(crate) fn husher(&self) -> Arc<AtomicU64> {
        self.hush.clone()
    }
}

async fn accept<A: Api>(
    listener: TcpListener,
    api: Arc<A>,
    hush: Arc<AtomicU64>,
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
            born: hush.load(Ordering::SeqCst),
            hush: hush.clone(),
        };
        tokio::spawn(serve(stream, connection, stopped.clone()));
    }
}

struct Connection<A> {
    api: Arc<A>,
    born: u64,
    hush: Arc<AtomicU64>,
}

async fn serve<A: Api>(
    stream: TcpStream,
    connection: Connection<A>,
    mut stopped: watch::Receiver<()>,
) {
    // Without this, small answers wait for the other side's delayed acknowledgement.
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let connection = &connection;
    let service = service_fn(|request| connection.handle(request));
    let serving = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        // A caller that goes away ends the connection; nothing is left to be done.
        _ = serving => {}
        _ = stopped.changed() => {}
    }
}

impl<A: Api> Connection<A> {
    async fn handle(&self, request: Request<Incoming>) -> io::Result<Response<ReplyBody>> {
        self.pass().await;
        let call = read(request).await?;
        let reply = self.api.answer(call).await;
        self.pass().await;
        reply.response()
    }

    /// Waits for ever on a silent connection.
    async fn pass(&self) {
        if self.born < self.hush.load(Ordering::SeqCst) {
            let never: Infallible = pending().await;
            match never {}
        }
    }
}

async fn read(request: Request<Incoming>) -> io::Result<Call> {
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
