//! HTTP server whose shutdown lets requests in flight complete.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use dotterel_kernel::Millis;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body as _, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;

use super::limits::{Connection, ConnectionGuard, ConnectionLimits, Refusal};

/// The body of a response.
pub type Body = Full<Bytes>;

/// Pause after a failed accept, so that running out of file descriptors doesn't cause a busy loop.
const ACCEPT_RETRY_DELAY: Millis = Millis(20);
/// The smallest buffer that hyper accepts.
const MIN_BUFFER_BYTES: usize = 8192;
/// Retry-After while the bytes for callers are exhausted, in s: slow uploads are closed within seconds.
pub const BUDGET_RETRY_AFTER_S: u64 = 2;

/// The body of a request. What is taken of it counts as the progress of its connection.
#[derive(Debug)]
pub struct RequestBody {
    incoming: Incoming,
    connection: Rc<Connection>,
}

impl hyper::body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(cx);
        match &polled {
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                self.connection.body_taken(bytes);
            }
            Poll::Ready(None) => self.connection.body_ended(),
            Poll::Ready(Some(Err(_))) | Poll::Pending => {}
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Handles HTTP requests.
pub trait Service: 'static {
    /// Handles one request.
    fn handle(&self, request: Request<RequestBody>) -> impl Future<Output = Response<Body>>;

    /// Returns the timeout for reading the headers of a request.
    fn header_timeout(&self) -> Millis {
        Millis::secs(3)
    }

    /// Returns how long a connection may be idle.
    fn idle_timeout(&self) -> Millis {
        Millis::secs(15)
    }

    /// Returns the maximum size of a head in bytes.
    fn max_head_bytes(&self) -> usize {
        16_384
    }
}

/// Returns a response with a JSON body, or without a body if it is empty.
#[must_use]
pub fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let has_body = !body.is_empty();
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if has_body {
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
    }
    response
}

/// Pending connections that the kernel accepts: a burst of some hundreds of callers.
pub const ACCEPT_BACKLOG: u32 = 1024;

/// Listens on an address. `backlog` is the number of pending connections that the kernel accepts, and `buffer` sets the size of the socket buffers in each direction, which accepted
/// connections inherit: bytes that the kernel has received and the process hasn't read count towards
/// the memory of the machine, as do bytes that the caller hasn't read.
///
/// # Errors
///
/// Returns an error when the address can't be bound.
pub fn listen(address: SocketAddr, backlog: u32, buffer: Option<u32>) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = buffer {
        socket.set_recv_buffer_size(bytes)?;
        socket.set_send_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(backlog)
}

/// Serves callers under control until `stop` becomes true; open connections then end after the request in
/// flight.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>, stop: watch::Receiver<bool>) {
    serve_limited(listener, service, stop, ConnectionLimits::unlimited()).await;
}

/// Serves until `stop` becomes true; open connections then end after the request in flight.
pub async fn serve_limited<S: Service>(
    listener: TcpListener,
    service: Rc<S>,
    stop: watch::Receiver<bool>,
    limits: Rc<ConnectionLimits>,
) {
    let mut stopping = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, address)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            continue;
        };
        let head_timeout = service.header_timeout();
        let Some(guard) = limits.admit(address.ip(), head_timeout, service.idle_timeout()) else {
            // Lets connections that are being closed end.
            tokio::task::yield_now().await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let service = Rc::clone(&service);
        let limits = Rc::clone(&limits);
        tokio::task::spawn_local(serve_connection(
            stream,
            guard,
            service,
            limits,
            stop.clone(),
        ));
    }
}

pub(super) async fn serve_connection<S: Service>(
    stream: TcpStream,
    guard: ConnectionGuard,
    service: Rc<S>,
    limits: Rc<ConnectionLimits>,
    mut stop: watch::Receiver<bool>,
) {
    let max_head = service.max_head_bytes();
    let max_buffer = max_head.max(MIN_BUFFER_BYTES);
    let tracked = Rc::clone(guard.connection());
    let budget = Rc::clone(limits.budget());
    let handler = service_fn(move |request: Request<Incoming>| {
        let service = Rc::clone(&service);
        let budget = Rc::clone(&budget);
        let connection = Rc::clone(&tracked);
        async move {
            connection.begin_request();
            if !request.body().is_end_stream() {
                connection.begin_body();
            }
            let request = request.map(|incoming| RequestBody {
                incoming,
                connection: Rc::clone(&connection),
            });
            let mut response = service.handle(request).await;
            let bytes = response.body().size_hint().exact().unwrap_or_default();
            let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
            if !connection.begin_reply(&budget, bytes) {
                budget.record(Refusal::UnreadReply);
                response = json_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
                let retry_after = HeaderValue::from(BUDGET_RETRY_AFTER_S);
                response
                    .headers_mut()
                    .insert(header::RETRY_AFTER, retry_after);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let io = Tracked {
        stream,
        connection: Rc::clone(guard.connection()),
        limits: Rc::clone(&limits),
        // A buffer of bytes that were read ahead, and trailers or an extension of the size of a head.
        max_framing: max_buffer + max_head,
    };
    // The buffer bounds a head with the empty lines before it. The time for a head is bounded by the
    // sweeps of the limits, since hyper's timer also closes idle connections.
    let connection = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_buffer)
        .max_header_size(max_head)
        .serve_connection(TokioIo::new(io), handler);
    let mut connection = std::pin::pin!(connection);
    // A connection that is being closed must not begin a request, whose caller would get no answer.
    tokio::select! {
        biased;
        () = guard.connection().closed() => return,
        // Other errors of a connection aren't logged: each request is logged on its own.
        ended = connection.as_mut() => {
            if ended.is_err_and(|err| err.is_parse_too_large()) {
                limits.record(Refusal::LargeHead);
            }
            return;
        }
        _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
    }
    tokio::select! {
        biased;
        () = guard.connection().closed() => {}
        _ = connection => {}
    }
}

/// A stream that reports its progress to the limits.
struct Tracked {
    stream: TcpStream,
    connection: Rc<Connection>,
    limits: Rc<ConnectionLimits>,
    max_framing: usize,
}

impl Tracked {
    fn note_written(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.connection.sent();
        }
    }
}

impl AsyncRead for Tracked {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let Some(turns) = self.limits.turns()
            && !turns.may_read(&self.connection, cx)
        {
            return Poll::Pending;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        let bytes = buf.filled().len() - before;
        if bytes == 0 {
            return read;
        }
        if let Some(turns) = self.limits.turns() {
            turns.count(bytes);
        }
        if let Err(refusal) = self
            .connection
            .received(bytes, buf.capacity(), self.max_framing)
        {
            self.limits.record(refusal);
            return Poll::Ready(Err(io::Error::other(refusal.name())));
        }
        read
    }
}

impl AsyncWrite for Tracked {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(cx);
        if matches!(flushed, Poll::Ready(Ok(()))) {
            self.connection.flushed();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
