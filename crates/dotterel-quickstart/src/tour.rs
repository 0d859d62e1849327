//! What the quickstart shows: documents in force, a few requests and the account of them.

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
const START_LIMIT: Duration = Duration::from_secs(15);
const POLL: Duration = Duration::from_millis(100);
const COUNT_PATH: &str = "/v1/services/quotes/requests/bracket-count";
const ORDER_PATH: &str = "/v1/services/booking/requests/palette-order";
const COUNTS: u32 = 3;
const ACCOUNT_HOURS: u64 = 1;

/// Shows the cell at work.
pub(crate) async fn show(cell: &Cell) -> anyhow::Result<()> {
    let client = Client::new(&cell.entry().to_string(), CALL_TIMEOUT_MS);
    println!(
        "{} entry nodes, {} workers, 1 platform",
        cell.node_count(),
        cell.worker_count()
    );
    wait_ready(&client, cell).await?;
    for (service, text) in DOCUMENTS {
        apply(&client, service, text).await?;
    }
    wait_documents(&client).await?;
    requests(&client).await?;
    println!("\n{}", read(status::run(&client, false).await)?);
    println!(
        "{}",
        read(account::run(&client, None, ACCOUNT_HOURS, false).await)?
    );
    invite(cell.entry());
    Ok(())
}

/// Waits until the nodes hear each other and the first one owns all workers of its data centre.
async fn wait_ready(client: &Client, cell: &Cell) -> anyhow::Result<()> {
    let ready = |status: &Status| {
        let heard = status.peers.iter().filter(|peer| peer.alive).count() + 1;
        heard == cell.node_count() && status.vms.len() * cell.node_count() == cell.worker_count()
    };
    wait_until(client, "the nodes did not get ready", ready).await
}

/// Waits until every node reports all documents.
async fn wait_documents(client: &Client) -> anyhow::Result<()> {
    let in_force = |status: &Status| {
        let complete = |documents: &[_]| documents.len() == DOCUMENTS.len();
        complete(&status.documents) && status.peers.iter().all(|peer| complete(&peer.documents))
    };
    wait_until(client, "the documents did not reach all nodes", in_force).await
}

async fn wait_until(
    client: &Client,
    fault: &str,
    met: impl Fn(&Status) -> bool,
) -> anyhow::Result<()> {
    let give_up = Instant::now() + START_LIMIT;
    loop {
        let now: Result<Status, _> = client.get_json("/v1/status").await;
        if now.as_ref().is_ok_and(&met) {
            return Ok(());
        }
        if Instant::now() > give_up {
            bail!("{fault} within {} s", START_LIMIT.as_secs());
        }
        sleep(POLL).await;
    }
}

async fn apply(client: &Client, service: &str, text: &str) -> anyhow::Result<()> {
    let path = format!("/v1/documents/{service}");
    let first = ("if-none-match", "*".to_owned());
    let reply = client
        .call(Method::PUT, &path, &[first], Bytes::from(text.to_owned()))
        .await;
    let reply =
        read(reply.and_then(Reply::error_for_status)).with_context(|| format!("PUT {path}"))?;
    println!(
        "document {service}: revision {} in force",
        reply.revision().unwrap_or_default()
    );
    Ok(())
}

async fn requests(client: &Client) -> anyhow::Result<()> {
    for count in 1..=COUNTS {
        post(
            client,
            COUNT_PATH,
            &[],
            &format!("{{\"run_ms\": 40, \"roof\": {count}}}"),
        )
        .await?;
    }
    // The repeat of a finished key gets the recorded answer and runs nothing.
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
    let reply = read(reply)?;
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

fn invite(entry: SocketAddr) {
    println!("Send a request yourself:\n");
    println!("  curl -i http://{entry}{COUNT_PATH} -d '{{\"run_ms\": 40, \"roof\": 7}}'\n");
    println!("Ask what became of it, with the id from its Dotterelrelay-Request header:\n");
    println!("  curl -s http://{entry}/v1/requests/ID\n");
    println!("Ctrl-C stops.");
}

fn read<T>(outcome: Result<T, dotterelctl::CommandError>) -> anyhow::Result<T> {
    outcome.map_err(|exit| anyhow::anyhow!("{exit}"))
}
