//! Uses the claims on their own: two nodes share one table, and a caller retries at the other node.
//!
//! Run with `cargo run -p dotterel-coord --example claims`. The table is an in-memory
//! stand-in; any implementation of `dotterel_platform::Table` can replace it.

use std::sync::Arc;

use bytes::Bytes;
use dotterel_coord::claims::{ClaimRequest, Config, State, digest};
use dotterel_coord::{ClaimKey, ClaimOutcome, Claims, RecordedOutcome};
use dotterel_kernel::{Clock, Incarnation, Millis, RequestId};
use dotterel_platform::Owner;
use dotterel_standin::FakeTable;

/// Creates the claims of a node on the shared table.
fn node(table: &FakeTable, clock: Clock, name: &str) -> Claims {
    let owner = Owner {
        node: name.into(),
        incarnation: Incarnation(1),
    };
    Claims::new(Arc::new(table.clone()), clock, owner, Config::default())
}

/// Creates a claim request for an order, with the idempotency key of the caller.
fn order_claim(clock: Clock) -> ClaimRequest {
    ClaimRequest {
        key: ClaimKey {
            service: "booking".into(),
            key: "palette-2024-17".into(),
        },
        digest: digest(b"twelve colours"),
        request: RequestId::generate(),
        window: Millis::secs(86_400),
        deadline: clock.now() + Millis::secs(1),
    }
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let clock = Clock::system();
    let table = FakeTable::new(clock);
    let (first, second) = (
        node(&table, clock, "entry-1"),
        node(&table, clock, "entry-2"),
    );

    let ClaimOutcome::Won(claim) = first.claim(order_claim(clock)).await else {
        anyhow::bail!("expected to win a new key");
    };
    println!("entry-1 may dispatch request {}", claim.entry().request);

    if let ClaimOutcome::Repeat(entry) = second.claim(order_claim(clock)).await {
        println!("entry-2 must not: request {} is in flight", entry.request);
    }

    let body = Bytes::from_static(b"accepted");
    let outcome = RecordedOutcome::inline(200, "text/plain".into(), body);
    let durability = first
        .settle(&claim, outcome, clock.now() + Millis::secs(1))
        .await;
    println!("entry-1 recorded the outcome: {durability:?}");

    if let ClaimOutcome::Repeat(entry) = second.claim(order_claim(clock)).await
        && let State::Done(outcome) = entry.state
    {
        println!("entry-2 answers from the record: status {}", outcome.status);
    }
    Ok(())
}
