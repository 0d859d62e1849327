//! Tests of the administrator's interface: injecting faults and reading event logs.

use std::net::SocketAddr;

use dotterel_kernel::{Clock, Size};
use dotterel_platform::{CallError, Table};
use dotterel_standin::{Cluster, Event};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn cluster() -> Cluster {
    Cluster::builder(Clock::system())
        .admin(SocketAddr::from(([127, 0, 0, 1], 0)))
        .workers("dc1", "r1", 2, Size::ZERO)
        .start()
        .await
        .expect("loopback has free ports")
}

/// Sends a request to the administrator's interface and returns the raw response.
async fn call(cluster: &Cluster, line: &str, body: &str) -> String {
    let addr = cluster.admin_addr().expect("the interface is enabled");
    let mut stream = TcpStream::connect(addr).await.expect("the port listens");
    let request = format!(
        "{line} HTTP/1.1\r\nhost: {addr}\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the connection is open");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("the connection is open");
    response
}

#[tokio::test]
async fn faults_are_set_and_cleared() {
    let cluster = cluster().await;

    let set = call(&cluster, "PUT /v1/faults/table", r#"{"down_ms":3600000}"#).await;
    let down = cluster.table().get("k").await;
    let cleared = call(&cluster, "PUT /v1/faults/table", "{}").await;
    let up = cluster.table().get("k").await;

    assert!(set.starts_with("HTTP/1.1 200") && cleared.starts_with("HTTP/1.1 200"));
    assert!(matches!(down, Err(CallError::Unavailable(_))));
    assert_eq!(up, Ok(None));
}

#[tokio::test]
async fn workers_leave_and_restart_on_request() {
    let cluster = cluster().await;

    call(&cluster, "PUT /v1/leaving/dc1-w002", "true").await;
    call(&cluster, "POST /v1/restart/dc1-w002", "").await;
    let response = call(&cluster, "GET /v1/witness/dc1-w002", "").await;

    let log = cluster.workers()[1].event_log();
    let events: Vec<_> = log.into_iter().map(|logged| logged.event).collect();
    assert_eq!(events, [Event::Leaving(true), Event::Restarted]);
    assert!(response.contains("Restarted"));
}

#[tokio::test]
async fn unknown_fakes_paths_and_bad_bodies_are_rejected() {
    let cluster = cluster().await;

    let unknown = call(&cluster, "PUT /v1/faults/w9", "{}").await;
    let bad = call(&cluster, "PUT /v1/faults/table", "down").await;
    let path = call(&cluster, "GET /v1/nothing", "").await;

    assert!(unknown.starts_with("HTTP/1.1 400") && unknown.contains("w9"));
    assert!(bad.starts_with("HTTP/1.1 400"));
    assert!(path.starts_with("HTTP/1.1 404"));
}
