//! An HTTP server that ends without cutting off a request.

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

/// The body of an answer.
pub type Body = Full<Bytes>;

/// Pause after a failed accept, so that a shortage of descriptors doesn't take the processor.
const ACCEPT_PAUSE: Millis = Millis(20);

/// Answers requests.
pub trait Service: 'static {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Response<Body>>;

    /// Returns how long the headers of a request may take.
    fn header_timeout(&self) -> Millis {
        Millis::secs(3)
    }
}

/// Returns an answer with a body in JSON, or none.
#[must_use]
pub fn json_response(status: StatusCode, body: Bytes) -> Response<Body> {
    let typed = !body.is_empty();
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    if typed {
        response.headers_mut().insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
    }
    response
}

/// Serves until `stop` turns true; connections then end after the request under way.
pub async fn serve<S: Service>(listener: TcpListener, service: Rc<S>, stop: watch::Receiver<bool>) {
    let mut ending = stop.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ending.wait_for(|stop| *stop) => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE.duration()).await;
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
                // The peer's end of a connection needs no line: each request has its own.
                _ = connection.as_mut() => return,
                _ = stop.wait_for(|stop| *stop) => connection.as_mut().graceful_shutdown(),
            }
            let _ = connection.await;
        });
    }
}
