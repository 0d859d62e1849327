//! The demonstration: applies documents, sends a few requests and prints the status and the account.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use dotterel_kernel::Status;
use dotterelctl::command::{account, status};
use dotterelctl::{Client, Reply};
use http::Method;
use tokio::time::{Instant, sleep};

use crate::cell::Cell;

const DOCUMENTS: [(&str, &str); 2] = [
    ("quotes", include_str!("../../../docs/samples/quotes.toml")),
    (
        "booking",
        include_str!("../../../docs/samples/booking.toml"),
    ),
];

const CALL_TIMEOUT_MS: u64 = 10_000;
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(100);
const COUNT_PATH: &str = "/v1/services/quotes/requests/bracket-count";
const ORDER_PATH: &str = "/v1/services/booking/requests/palette-order";
const COUNT_REQUESTS: u32 = 3;
const ACCOUNT_HOURS: u64 = 1;

/// Runs the demonstration on a started cell and prints its steps.
pub(crate) async fn run(cell: &Cell) -> anyhow::Result<()> {
    let client = Client::new(&cell.entry_addr().to_string(), CALL_TIMEOUT_MS);
    println!(
        "{} entry nodes, {} workers, 1 platform",
        cell.node_count(),
        cell.worker_count()
    );
    wait_ready(&client, cell).await?;
    for (service, text) in DOCUMENTS {
        apply_document(&client, service, text).await?;
    }
    wait_documents(&client).await?;
    send_requests(&client).await?;
    println!("\n{}", into_anyhow(status::run(&client, false).await)?);
    println!(
        "{}",
        into_anyhow(account::run(&client, None, ACCOUNT_HOURS, false).await)?
    );
    print_next_steps(cell.entry_addr());
    Ok(())
}

/// Waits until the first node receives the heartbeats of all others and owns all workers of its data
/// centre.
async fn wait_ready(client: &Client, cell: &Cell) -> anyhow::Result<()> {
    let is_ready = |status: &Status| {
        let alive = status.peers.iter().filter(|peer| peer.alive).count() + 1;
        alive == cell.node_count() && status.vms.len() * cell.node_count() == cell.worker_count()
    };
    wait_until(client, "the nodes did not get ready", is_ready).await
}

/// Waits until all documents are in force on every node.
async fn wait_documents(client: &Client) -> anyhow::Result<()> {
    let all_in_force = |status: &Status| {
        let is_complete = |documents: &[_]| documents.len() == DOCUMENTS.len();
        is_complete(&status.documents)
            && status.peers.iter().all(|peer| is_complete(&peer.documents))
    };
    wait_until(
        client,
        "the documents did not reach all nodes",
        all_in_force,
    )
    .await
}

async fn wait_until(
    client: &Client,
    failure: &str,
    is_met: impl Fn(&Status) -> bool,
) -> anyhow::Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    loop {
        let status: Result<Status, _> = client.get_json("/v1/status").await;
        if status.as_ref().is_ok_and(&is_met) {
            return Ok(());
        }
        if Instant::now() > deadline {
            bail!("{failure} within {} s", READY_TIMEOUT.as_secs());
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn apply_document(client: &Client, service: &str, text: &str) -> anyhow::Result<()> {
    let path = format!("/v1/documents/{service}");
    let create_only = ("if-none-match", "*".to_owned());
    let reply = client
        .call(
            Method::PUT,
            &path,
            &[create_only],
            Bytes::from(text.to_owned()),
        )
        .await;
    let reply = into_anyhow(reply.and_then(Reply::error_for_status))
        .with_context(|| format!("PUT {path}"))?;
    println!(
        "document {service}: revision {} in force",
        reply.revision().unwrap_or_default()
    );
    Ok(())
}

async fn send_requests(client: &Client) -> anyhow::Result<()> {
    for count in 1..=COUNT_REQUESTS {
        post(
            client,
            COUNT_PATH,
            &[],
            &format!("{{\"run_ms\": 40, \"roof\": {count}}}"),
        )
        .await?;
    }
    // The second request has the idempotency key of a completed one, so it gets the recorded response
    // and does not run.
    let key = ("idempotency-key", "palette-week-49".to_owned());
    for _ in 0..2 {
        let headers = std::slice::from_ref(&key);
        post(
            client,
            ORDER_PATH,
            headers,
            "{\"run_ms\": 60, \"artist\": \"Alva\"}",
        )
        .await?;
    }
    Ok(())
}

async fn post(
    client: &Client,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> anyhow::Result<()> {
    let reply = client
        .call(Method::POST, path, headers, Bytes::from(body.to_owned()))
        .await;
    let reply = into_anyhow(reply)?;
    let header = |name: &str| {
        let value = reply
            .headers
            .get(name)
            .and_then(|value| value.to_str().ok());
        value.unwrap_or("-").to_owned()
    };
    println!(
        "POST {path}: {} fate {} request {} upstream {}",
        reply.status.as_u16(),
        header("dotterelrelay-fate"),
        header("dotterelrelay-request"),
        header("dotterelrelay-upstream"),
    );
    Ok(())
}

fn print_next_steps(entry: SocketAddr) {
    println!("Send a request yourself:\n");
    println!("  curl -i http://{entry}{COUNT_PATH} -d '{{\"run_ms\": 40, \"roof\": 7}}'\n");
    println!("Ask what became of it, with the id from its Dotterelrelay-Request header:\n");
    println!("  curl -s http://{entry}/v1/requests/ID\n");
    println!("Ctrl-C stops.");
}

fn into_anyhow<T>(result: Result<T, dotterelctl::CommandError>) -> anyhow::Result<T> {
    result.map_err(|err| anyhow::anyhow!("{err}"))
}
