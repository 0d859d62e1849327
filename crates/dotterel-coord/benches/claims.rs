//! Measures claims per table write, and the writes of claims and journals at 650 starts per second.
//!
//! Time is virtual, so the figures depend on the delays below and not on the machine. Every request
//! is unrepeatable, which is the worst case: each one is claimed and then settled.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::format_compact;
use dotterel_coord::claims::{
    Change, ChangeOutcome, ClaimRequest, Config, Counters, Peers, digest,
};
use dotterel_coord::journal::{self, ShipOutcome};
use dotterel_coord::{ClaimKey, ClaimOutcome, Claims, Journal, RecordedOutcome, rendezvous};
use dotterel_kernel::{Clock, Fate, Incarnation, Millis, NodeId, Record, RequestId};
use dotterel_platform::{CallError, Owner};
use dotterel_standin::{FakeStore, FakeTable};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

/// One-way delay between a node and the table.
const TABLE_DELAY: Millis = Millis(5);

/// One-way delay between nodes of different regions.
const MESH_DELAY: Millis = Millis(8);

/// How long a request runs.
const RUN_TIME: Millis = Millis(40);

/// How long a caller waits for its claim.
const CLAIM_TIMEOUT: Millis = Millis(1400);

/// How long a key stays claimed: one day.
const WINDOW: Millis = Millis::secs(86_400);

/// The warm-up time, which is not measured, in seconds.
const WARM_UP_S: u64 = 5;

/// The measured time, in seconds.
const MEASURED_S: u64 = 20;

/// The request rates to measure, in requests per second.
const RATES: [u64; 5] = [1, 10, 50, 200, 650];

/// The peak rate that the system is designed for, in starts per second.
const PEAK_RATE: u64 = 650;

/// The write limit of the platform for the whole system, in writes per second.
const WRITE_LIMIT: f64 = 300.0;

/// The network between nodes, as one node reaches it.
struct Mesh {
    own_name: NodeId,
    names: Arc<Vec<NodeId>>,
    nodes: Arc<OnceLock<Vec<Claims>>>,
}

#[async_trait]
impl Peers for Mesh {
    fn writer(&self, shard: u32) -> Option<NodeId> {
        let key = format_compact!("shard-{shard}");
        let writer = rendezvous(&key, self.names.iter(), |name| name.as_str())?;
        (*writer != self.own_name).then(|| writer.clone())
    }

    async fn forward(&self, to: &NodeId, change: &Change) -> Result<ChangeOutcome, CallError> {
        let index = self.names.iter().position(|name| name == to);
        let nodes = self.nodes.get().expect("the nodes are set");
        let claims = &nodes[index.expect("the peer is in the cluster")];
        tokio::time::sleep(MESH_DELAY.duration()).await;
        let change_outcome = claims.serve(change.clone()).await;
        tokio::time::sleep(MESH_DELAY.duration()).await;
        Ok(change_outcome)
    }
}

/// All nodes, their table and their object store.
struct Cluster {
    clock: Clock,
    table: FakeTable,
    store: FakeStore,
    claims: Vec<Claims>,
    journals: Vec<Journal>,
    segments: Arc<AtomicU64>,
}

/// The counts of a run per second, the latencies of its claims, and the number of claims not won.
struct Cost {
    claims: f64,
    writes: f64,
    conflicts: f64,
    rows: f64,
    bytes: f64,
    reads: f64,
    segments: f64,
    median: Millis,
    p99: Millis,
    refused: usize,
}

impl Cluster {
    fn new(count: usize, forwarding: bool) -> Self {
        let clock = Clock::starting_at(WINDOW);
        let table = FakeTable::new(clock);
        table.set_faults(|faults| {
            faults.delay = TABLE_DELAY;
            faults.answer_delay = TABLE_DELAY;
        });
        let store = FakeStore::new(clock);
        let names: Vec<NodeId> = (0..count)
            .map(|index| NodeId(format_compact!("entry-{index}")))
            .collect();
        let (names, nodes) = (Arc::new(names), Arc::new(OnceLock::new()));
        let node = |own_name: &NodeId| {
            let owner = Owner {
                node: own_name.clone(),
                incarnation: Incarnation(1),
            };
            let claims = Claims::new(Arc::new(table.clone()), clock, owner, Config::default());
            if !forwarding {
                return claims;
            }
            claims.with_peers(Arc::new(Mesh {
                own_name: own_name.clone(),
                names: names.clone(),
                nodes: nodes.clone(),
            }))
        };
        let claims: Vec<Claims> = names.iter().map(node).collect();
        assert!(nodes.set(claims.clone()).is_ok());
        let journal = |own_name: &NodeId| {
            let store = Arc::new(store.clone());
            let config = journal::Config::default();
            Journal::new(own_name.clone(), Incarnation(1), clock, store, config)
        };
        let journals = names.iter().map(journal).collect();
        Self {
            clock,
            table,
            store,
            claims,
            journals,
            segments: Arc::default(),
        }
    }

    /// Ships each journal once per interval and counts the segments.
    fn ship(&self) {
        for journal in &self.journals {
            let (journal, segments) = (journal.clone(), self.segments.clone());
            tokio::spawn(async move {
                loop {
                    tokio::time::sleep(journal::Config::default().ship_interval.duration()).await;
                    if matches!(journal.ship().await, ShipOutcome::Segment(_)) {
                        segments.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    }

    /// Handles one request at a node; returns the latency of its claim, or `None` if the claim was
    /// not won.
    fn request(&self, node: usize) -> impl Future<Output = Option<Millis>> + use<> {
        let (claims, journal) = (self.claims[node].clone(), self.journals[node].clone());
        let clock = self.clock;
        async move {
            let request = RequestId::generate();
            journal.open(record(request, clock.now()));
            let claim_sent = clock.now();
            let claim_request = ClaimRequest {
                key: ClaimKey {
                    service: "booking".into(),
                    key: request.to_string().as_str().into(),
                },
                digest: digest(b"palette"),
                request,
                window: WINDOW,
                deadline: claim_sent + CLAIM_TIMEOUT,
            };
            let ClaimOutcome::Won(claim) = claims.claim(claim_request).await else {
                return None;
            };
            let latency = clock.now() - claim_sent;
            tokio::time::sleep(RUN_TIME.duration()).await;
            journal.close(request, Fate::Ran);
            let body = Bytes::from_static(b"{\"order\":\"accepted\"}");
            let outcome = RecordedOutcome::inline(200, "application/json".into(), body);
            claims
                .settle(&claim, outcome, clock.now() + CLAIM_TIMEOUT)
                .await;
            Some(latency)
        }
    }

    fn total(&self, counter: impl Fn(&Counters) -> &AtomicU64) -> u64 {
        let counters = self.claims.iter().map(Claims::counters);
        counters
            .map(|counters| counter(counters).load(Ordering::Relaxed))
            .sum()
    }

    fn totals(&self) -> [u64; 7] {
        let counts = self.table.counts();
        [
            self.total(|counters| &counters.won),
            counts.commits + counts.conflicts,
            counts.conflicts,
            counts.rows,
            self.total(|counters| &counters.bytes),
            counts.reads,
            self.segments.load(Ordering::Relaxed),
        ]
    }
}

fn record(request: RequestId, now: Millis) -> Record {
    Record {
        request,
        service: "booking".into(),
        class: "palette-order".into(),
        key: Some(request.to_string().as_str().into()),
        node: "entry".into(),
        arrived: now,
        deadline: now + CLAIM_TIMEOUT,
        started: None,
        ended: None,
        fate: None,
        attempts: Vec::new(),
        flags: Vec::new(),
    }
}

/// Sends requests with Poisson arrivals at a rate and measures after the warm-up.
async fn measure(nodes: usize, forwarding: bool, rate: u64) -> Cost {
    let cluster = Cluster::new(nodes, forwarding);
    cluster.ship();
    let mut random = StdRng::seed_from_u64(rate);
    let mut requests = Vec::new();
    let start = cluster.clock.now();
    let measure_from = start + Millis::secs(WARM_UP_S);
    let end = measure_from + Millis::secs(MEASURED_S);
    let mut before = None;
    let mut next_us = start.0 * 1000;
    while cluster.clock.now() < end {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        next_us += (-uniform.ln() * 1e6 / rate as f64) as u64;
        cluster.clock.sleep_until(Millis(next_us / 1000)).await;
        if cluster.clock.now() >= measure_from && before.is_none() {
            before = Some(cluster.totals());
            requests.clear();
        }
        let node = random.random_range(0..nodes);
        requests.push(tokio::spawn(cluster.request(node)));
    }
    let after = cluster.totals();
    let before = before.unwrap_or_default();
    let per_second = |index: usize| (after[index] - before[index]) as f64 / MEASURED_S as f64;
    let (mut latencies, refused) = collect_latencies(requests).await;
    latencies.sort_unstable();
    let percentile = |percent: usize| {
        latencies
            .get(latencies.len() * percent / 100)
            .copied()
            .unwrap_or_default()
    };
    assert!(cluster.store.faults().down_until == Millis::ZERO);
    Cost {
        claims: per_second(0),
        writes: per_second(1),
        conflicts: per_second(2),
        rows: per_second(3),
        bytes: per_second(4),
        reads: per_second(5),
        segments: per_second(6),
        median: percentile(50),
        p99: percentile(99),
        refused,
    }
}

async fn collect_latencies(
    requests: Vec<tokio::task::JoinHandle<Option<Millis>>>,
) -> (Vec<Millis>, usize) {
    let mut latencies = Vec::new();
    let mut refused = 0;
    for request in requests {
        match request.await.expect("the request task does not panic") {
            Some(claim_latency) => latencies.push(claim_latency),
            None => refused += 1,
        }
    }
    (latencies, refused)
}

fn run(nodes: usize, forwarding: bool, rate: u64) -> Cost {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime can be built");
    runtime.block_on(measure(nodes, forwarding, rate))
}

fn print_line(nodes: usize, forwarding: bool, rate: u64, cost: &Cost) {
    let mode = if forwarding {
        "forwarded"
    } else {
        "each writes"
    };
    println!(
        "{nodes:>5} {mode:<11} {rate:>6} {:>8.1} {:>8.1} {:>9.1} {:>7.1} {:>7.2} {:>8.1} {:>7.1} {:>6} {:>6} {:>7}",
        cost.claims,
        cost.writes,
        cost.conflicts,
        cost.rows,
        cost.claims / cost.writes.max(0.1),
        cost.bytes / 1024.0,
        cost.reads,
        cost.median.0,
        cost.p99.0,
        cost.refused,
    );
}

fn main() {
    println!(
        "{:>5} {:<11} {:>6} {:>8} {:>8} {:>9} {:>7} {:>7} {:>8} {:>7} {:>6} {:>6} {:>7}",
        "nodes",
        "way",
        "rate/s",
        "claims/s",
        "writes/s",
        "conflicts",
        "rows/s",
        "cl./wr.",
        "KB/s",
        "reads/s",
        "p50 ms",
        "p99 ms",
        "refused"
    );
    for nodes in [8, 60] {
        for forwarding in [false, true] {
            for rate in RATES {
                let cost = run(nodes, forwarding, rate);
                print_line(nodes, forwarding, rate, &cost);
            }
        }
    }
    print_system();
}

/// Prints the writes per second of the whole system at the peak rate.
fn print_system() {
    let cost = run(60, true, PEAK_RATE);
    let sum = cost.writes + cost.segments;
    println!();
    println!("60 nodes, {PEAK_RATE} unrepeatable starts a second:");
    println!("  table transactions of claims  {:>7.1}/s", cost.writes);
    println!("  journal segments              {:>7.1}/s", cost.segments);
    println!("  both                          {sum:>7.1}/s of {WRITE_LIMIT:.0}/s");
    println!(
        "  rows of claims and segments   {:>7.1}/s",
        cost.rows + cost.segments
    );
}
