//! Claims alone: two nodes over one table, and a caller that retries at the other node.
//!
//! Run with `cargo run -p dotterel-coord --example claims`. The table is an in-memory stand-in;
//! anything that implements `dotterel_platform::Table` takes its place.

use std::sync::Arc;

use bytes::Bytes;
use dotterel_coord::claims::{ClaimRequest, Config, State, digest};
use dotterel_coord::{ClaimKey, ClaimOutcome, Claims, RecordedOutcome};
use dotterel_kernel::{Clock, Incarnation, Millis, RequestId};
use dotterel_platform::Owner;
use dotterel_standin::FakeTable;

/// A node's claims over the shared table.
fn node(table: &FakeTable, clock: Clock, name: &str) -> Claims {
    let owner = Owner {
        node: name.into(),
        incarnation: Incarnation(1),
    };
    Claims::new(Arc::new(table.clone()), clock, owner, Config::default())
}

/// A caller's order, under the caller's own key.
fn order(clock: Clock) -> ClaimRequest {
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

    let ClaimOutcome::Won(claim) = first.claim(order(clock)).await else {
        anyhow::bail!("a fresh key is free");
    };
    println!("entry-1 may dispatch request {}", claim.entry().request);

    if let ClaimOutcome::Repeat(entry) = second.claim(order(clock)).await {
        println!("entry-2 must not: request {} is in flight", entry.request);
    }

    let body = Bytes::from_static(b"accepted");
    let outcome = RecordedOutcome::inline(200, "text/plain".into(), body);
    let written = first
        .settle(&claim, outcome, clock.now() + Millis::secs(1))
        .await;
    println!("entry-1 recorded the outcome: {written:?}");

    if let ClaimOutcome::Repeat(entry) = second.claim(order(clock)).await
        && let State::Done(outcome) = entry.state
    {
        println!("entry-2 answers from the record: status {}", outcome.status);
    }
    Ok(())
}
