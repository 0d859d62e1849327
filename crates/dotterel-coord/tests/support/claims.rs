//! Nodes with claims over one table, a lossy way between them, and a record of what was dispatched.

use std::future::pending;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_coord::claims::{
    Change, ChangeOutcome, ClaimRequest, Config, Durability, Peers, State, digest,
};
use dotterel_coord::{Claim, ClaimKey, ClaimOutcome, Claims, RecordedOutcome};
use dotterel_kernel::{Clock, Incarnation, Millis, NodeId, RequestId};
use dotterel_platform::{CallError, Commit, Owner, Row, Table, Write};
use dotterel_standin::{FakeTable, Faults};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub(crate) const DAY: Millis = Millis::secs(86_400);

/// How long a dispatched request runs.
const RUN: Millis = Millis(150);

/// How long callers wait.
const PATIENCE: Millis = Millis(1500);

/// A switch that turns a node off for good.
#[derive(Clone, Default)]
pub(crate) struct Life(Arc<AtomicBool>);

impl Life {
    pub(crate) fn end(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_over(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Never returns for a dead node.
    async fn check(&self) {
        if self.is_over() {
            pending::<()>().await;
        }
    }
}

/// A node's way to the table, which ends with its life.
struct MortalTable {
    table: FakeTable,
    life: Life,
}

#[async_trait]
impl Table for MortalTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, CallError> {
        self.life.check().await;
        let answer = self.table.get(key).await;
        self.life.check().await;
        answer
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, CallError> {
        self.life.check().await;
        let answer = self.table.scan(prefix, after, limit).await;
        self.life.check().await;
        answer
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, CallError> {
        self.life.check().await;
        let answer = self.table.commit(writes).await;
        self.life.check().await;
        answer
    }
}

/// How the way between nodes misbehaves.
#[derive(Clone, Copy, Default)]
pub(crate) struct MeshFaults {
    /// Percentage of calls that are lost on the way out or back.
    pub(crate) lose: u32,
    /// The longest delay of a call.
    pub(crate) delay: Millis,
    /// Whether nodes disagree on who writes a shard.
    pub(crate) confused: bool,
}

struct Mesh {
    nodes: OnceLock<Vec<(NodeId, Life, Claims)>>,
    faults: Mutex<MeshFaults>,
    random: Mutex<StdRng>,
}

/// One node's way to the others.
struct MeshPeer {
    me: NodeId,
    names: Vec<NodeId>,
    mesh: Arc<Mesh>,
}

#[async_trait]
impl Peers for MeshPeer {
    fn writer(&self, shard: u32) -> Option<NodeId> {
        let confused = lock(&self.mesh.faults).confused;
        let count = self.names.len();
        let index = if confused {
            lock(&self.mesh.random).random_range(0..count)
        } else {
            shard as usize % count
        };
        let name = self.names[index].clone();
        (name != self.me).then_some(name)
    }

    async fn forward(&self, to: &NodeId, change: &Change) -> Result<ChangeOutcome, CallError> {
        let (lost, delay) = self.mesh.draw();
        if lost == Some(false) {
            return Err(CallError::Unknown("the call was lost".into()));
        }
        let nodes = self.mesh.nodes.get().expect("the nodes are set first");
        let target = nodes.iter().find(|(name, ..)| name == to);
        let (_, life, claims) = target.expect("peers are nodes").clone();
        let change = change.clone();
        let served = tokio::spawn(async move {
            tokio::time::sleep(delay.duration()).await;
            life.check().await;
            claims.serve(change).await
        });
        if lost.is_some() {
            // The connection breaks while the peer handles the call.
            tokio::time::sleep(delay.duration()).await;
            tokio::task::yield_now().await;
            served.abort();
        }
        let verdict = served.await;
        if lost.is_some() {
            return Err(CallError::Unknown("the answer was lost".into()));
        }
        verdict.map_err(|fault| CallError::Unknown(fault.to_string().into()))
    }
}

impl Mesh {
    /// Returns whether the call (false) or its answer (true) is lost, and the delay.
    fn draw(&self) -> (Option<bool>, Millis) {
        let faults = *lock(&self.faults);
        let mut random = lock(&self.random);
        let lost = random.random_range(0..100) < faults.lose;
        let back = random.random_bool(0.5);
        let delay = random.random_range(0..=faults.delay.0);
        (lost.then_some(back), Millis(delay))
    }
}

/// A request that reached a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Dispatch {
    pub(crate) key: ClaimKey,
    pub(crate) request: RequestId,
    pub(crate) node: usize,
}

/// What a request was told.
#[derive(Clone, Debug)]
pub(crate) enum Told {
    Ran,
    Released(Durability),
    Repeat(State),
    Mismatch,
    Unavailable,
    /// The node died or the caller left first.
    Nothing,
}

/// What becomes of a request whose claim is won.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// It is dispatched and its outcome recorded.
    Runs,
    /// It is dispatched and its node dies at once.
    DiesAfter,
    /// Its node dies before the dispatch.
    DiesBefore,
    /// It is proven not to have run, and released.
    Refused,
}

#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) claims: Claims,
    pub(crate) life: Life,
}

/// All nodes and the platform.
pub(crate) struct Cluster {
    pub(crate) clock: Clock,
    pub(crate) table: FakeTable,
    pub(crate) nodes: Vec<Node>,
    mesh: Arc<Mesh>,
    dispatched: Arc<Mutex<Vec<Dispatch>>>,
}

/// Small limits, so that pages, batches and timeouts all occur within seconds.
pub(crate) fn small() -> Config {
    Config {
        shards: 2,
        max_batch: 4,
        write_interval: Millis(20),
        backoff: Millis(20),
        call_timeout: Millis(300),
        peer_timeout: Millis(200),
        row_entries: 1,
        ..Config::default()
    }
}

impl Cluster {
    /// Returns a cluster whose nodes forward to each other, or each write the table themselves.
    pub(crate) fn new(names: &[&str], config: Config, forwarding: bool, seed: u64) -> Self {
        let clock = Clock::starting_at(DAY);
        let table = FakeTable::new(clock);
        let mesh = Arc::new(Mesh {
            nodes: OnceLock::new(),
            faults: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
        });
        let ids: Vec<NodeId> = names.iter().map(|name| NodeId::from(*name)).collect();
        let node = |name: &NodeId| {
            let life = Life::default();
            let claims = claims_of(&table, clock, name, &life, config);
            let peer = MeshPeer {
                me: name.clone(),
                names: ids.clone(),
                mesh: Arc::clone(&mesh),
            };
            let claims = if forwarding {
                claims.with_peers(Arc::new(peer))
            } else {
                claims
            };
            Node { claims, life }
        };
        let nodes: Vec<Node> = ids.iter().map(node).collect();
        let known = ids.iter().zip(&nodes);
        let known = known.map(|(id, node)| (id.clone(), node.life.clone(), node.claims.clone()));
        assert!(mesh.nodes.set(known.collect()).is_ok());
        Self {
            clock,
            table,
            nodes,
            mesh,
            dispatched: Arc::default(),
        }
    }

    /// Returns a node that starts now and writes the table itself.
    pub(crate) fn fresh(&self, config: Config) -> Node {
        let life = Life::default();
        let claims = claims_of(&self.table, self.clock, &"fresh".into(), &life, config);
        Node { claims, life }
    }

    pub(crate) fn set_mesh(&self, change: impl FnOnce(&mut MeshFaults)) {
        change(&mut lock(&self.mesh.faults));
    }

    /// Ends all faults but the deaths.
    pub(crate) fn heal(&self) {
        self.table.set_faults(|faults| *faults = Faults::default());
        self.set_mesh(|faults| *faults = MeshFaults::default());
    }

    pub(crate) fn ask(&self, key: &str, body: &str) -> ClaimRequest {
        ClaimRequest {
            key: key_of(key),
            digest: digest(body.as_bytes()),
            request: RequestId::generate(),
            window: DAY,
            deadline: self.clock.now() + PATIENCE,
        }
    }

    /// What reached workers.
    pub(crate) fn dispatched(&self) -> Vec<Dispatch> {
        lock(&self.dispatched).clone()
    }

    /// Returns how often a key's work reached a worker.
    pub(crate) fn runs(&self, key: &ClaimKey) -> usize {
        let dispatched = lock(&self.dispatched);
        dispatched.iter().filter(|run| run.key == *key).count()
    }

    /// Handles one request at a node, as its front does.
    pub(crate) fn request(
        &self,
        node: usize,
        ask: ClaimRequest,
        end: End,
    ) -> impl Future<Output = Told> + use<> {
        let Node { claims, life } = self.nodes[node].clone();
        let clock = self.clock;
        let dispatched = Arc::clone(&self.dispatched);
        async move {
            let key = ask.key.clone();
            let request = ask.request;
            let outcome = claims.claim(ask).await;
            if life.is_over() {
                return Told::Nothing;
            }
            let claim = match outcome {
                ClaimOutcome::Won(claim) => claim,
                ClaimOutcome::Repeat(entry) => return Told::Repeat(entry.state),
                ClaimOutcome::Mismatch(_) => return Told::Mismatch,
                ClaimOutcome::Unavailable => return Told::Unavailable,
            };
            let deadline = clock.now() + PATIENCE;
            if end == End::Refused {
                return Told::Released(claims.release(claim, deadline).await);
            }
            if end == End::DiesBefore {
                life.end();
                return Told::Nothing;
            }
            lock(&dispatched).push(Dispatch { key, request, node });
            if end == End::DiesAfter {
                life.end();
                return Told::Nothing;
            }
            finish(&claims, &claim, &life, deadline).await
        }
    }
}

async fn finish(claims: &Claims, claim: &Claim, life: &Life, deadline: Millis) -> Told {
    tokio::time::sleep(RUN.duration()).await;
    if life.is_over() {
        return Told::Nothing;
    }
    claims
        .settle(claim, outcome_of(claim.entry().request), deadline)
        .await;
    Told::Ran
}

fn claims_of(
    table: &FakeTable,
    clock: Clock,
    name: &NodeId,
    life: &Life,
    config: Config,
) -> Claims {
    let table = MortalTable {
        table: table.for_caller(name.as_str()),
        life: life.clone(),
    };
    let owner = Owner {
        node: name.clone(),
        incarnation: Incarnation(1),
    };
    Claims::new(Arc::new(table), clock, owner, config)
}

pub(crate) fn key_of(key: &str) -> ClaimKey {
    ClaimKey {
        service: "booking".into(),
        key: key.into(),
    }
}

/// The outcome that a request's run has.
pub(crate) fn outcome_of(request: RequestId) -> RecordedOutcome {
    let body = Bytes::from(request.to_string());
    RecordedOutcome::inline(200, "text/plain".into(), body)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
