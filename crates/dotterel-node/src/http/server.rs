//! HTTP server whose shutdown lets requests in flight complete.

use std::convert::Infallible;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use dotterel_kernel::Millis;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::watch;

/// The body of a response.
pub type Body = Full<Bytes>;

/// Pause after a failed accept, so that running out of file descriptors doesn't cause a busy loop.
const ACCEPT_RETRY_DELAY: Millis = Millis(20);

/// Handles HTTP requests.
pub trait Service: 'static {
    /// Handles one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// Returns the timeout for reading the headers of a request.
    fn header_timeout(&self) -> Millis {
        Millis::secs(3)
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

/// Serves until `stop` becomes true; open connections then end after the request in flight.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>, stop: watch::Receiver<bool>) {
    let mut stopping = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = stopping.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY.duration()).await;
            continue;
        };
        if stream.set_nodelay(true).is_err() {
            continue;
        }
        let service = Rc::clone(&service);
        let mut stop = stop.clone();
        tokio::task::spawn_local(async move {
            let header_timeout = service.header_timeout();
            let handler = service_fn(move |request| {
                let service = Rc::clone(&service);
                async move { Ok::<_, Infallible>(service.handle(request).await) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(header_timeout.duration())
                .serve_connection(TokioIo::new(stream), handler);
            let mut connection = std::pin::pin!(connection);
            tokio::select! {
                // Errors of a connection aren't logged: each request is logged on its own.
                _ = connection.as_mut() => return,
                _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        });
    }
}
