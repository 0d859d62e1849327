//! A cluster of nodes that share one claims table and a lossy network, and record every dispatch.

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
const RUN_TIME: Millis = Millis(150);

/// How long a caller waits for a response.
const CALLER_TIMEOUT: Millis = Millis(1500);

/// Whether a node is alive; a killed node never restarts.
#[derive(Clone, Default)]
pub(crate) struct Liveness(Arc<AtomicBool>);

impl Liveness {
    pub(crate) fn kill(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    /// Returns at once if the node is alive, and never if it is dead.
    async fn hang_if_dead(&self) {
        if self.is_dead() {
            pending::<()>().await;
        }
    }
}

/// The table as one node reaches it; calls never return once the node is dead.
struct KillableTable {
    table: FakeTable,
    liveness: Liveness,
}

#[async_trait]
impl Table for KillableTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, CallError> {
        self.liveness.hang_if_dead().await;
        let result = self.table.get(key).await;
        self.liveness.hang_if_dead().await;
        result
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, CallError> {
        self.liveness.hang_if_dead().await;
        let result = self.table.scan(prefix, after, limit).await;
        self.liveness.hang_if_dead().await;
        result
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, CallError> {
        self.liveness.hang_if_dead().await;
        let result = self.table.commit(writes).await;
        self.liveness.hang_if_dead().await;
        result
    }
}

/// Faults of the network between nodes.
#[derive(Clone, Copy, Default)]
pub(crate) struct MeshFaults {
    /// Percentage of calls whose request or response is lost.
    pub(crate) loss_percent: u32,
    /// The maximum delay of a call.
    pub(crate) delay: Millis,
    /// Whether nodes disagree on which node writes a shard.
    pub(crate) writers_disagree: bool,
}

struct Mesh {
    nodes: OnceLock<Vec<(NodeId, Liveness, Claims)>>,
    faults: Mutex<MeshFaults>,
    random: Mutex<StdRng>,
}

/// The network as one node reaches it.
struct MeshPeer {
    own_name: NodeId,
    names: Vec<NodeId>,
    mesh: Arc<Mesh>,
}

#[async_trait]
impl Peers for MeshPeer {
    fn writer(&self, shard: u32) -> Option<NodeId> {
        let writers_disagree = lock(&self.mesh.faults).writers_disagree;
        let count = self.names.len();
        let index = if writers_disagree {
            lock(&self.mesh.random).random_range(0..count)
        } else {
            shard as usize % count
        };
        let name = self.names[index].clone();
        (name != self.own_name).then_some(name)
    }

    async fn forward(&self, to: &NodeId, change: &Change) -> Result<ChangeOutcome, CallError> {
        let (lost, delay) = self.mesh.draw_faults();
        if lost == Some(false) {
            return Err(CallError::Unknown("the request was lost".into()));
        }
        let nodes = self.mesh.nodes.get().expect("the nodes are set");
        let target = nodes.iter().find(|(name, ..)| name == to);
        let (_, liveness, claims) = target.expect("the peer is in the cluster").clone();
        let change = change.clone();
        let served = tokio::spawn(async move {
            tokio::time::sleep(delay.duration()).await;
            liveness.hang_if_dead().await;
            claims.serve(change).await
        });
        if lost.is_some() {
            // The connection breaks while the peer handles the call.
            tokio::time::sleep(delay.duration()).await;
            tokio::task::yield_now().await;
            served.abort();
        }
        let change_outcome = served.await;
        if lost.is_some() {
            return Err(CallError::Unknown("the response was lost".into()));
        }
        change_outcome.map_err(|err| CallError::Unknown(err.to_string().into()))
    }
}

impl Mesh {
    /// Returns whether the request (`Some(false)`) or the response (`Some(true)`) is lost, and the
    /// delay.
    fn draw_faults(&self) -> (Option<bool>, Millis) {
        let faults = *lock(&self.faults);
        let mut random = lock(&self.random);
        let lost = random.random_range(0..100) < faults.loss_percent;
        let response_lost = random.random_bool(0.5);
        let delay = random.random_range(0..=faults.delay.0);
        (lost.then_some(response_lost), Millis(delay))
    }
}

/// A request that reached a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Dispatch {
    pub(crate) key: ClaimKey,
    pub(crate) request: RequestId,
    pub(crate) node: usize,
}

/// The response to a request.
#[derive(Clone, Debug)]
pub(crate) enum Response {
    Ran,
    Released(Durability),
    Repeat(State),
    Mismatch,
    Unavailable,
    /// The node died or the caller left before the response.
    Missing,
}

/// What happens to a request after its claim is won.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AfterClaim {
    /// The request is dispatched and its outcome recorded.
    Runs,
    /// The node dies right after the dispatch.
    DiesAfterDispatch,
    /// The node dies before the dispatch.
    DiesBeforeDispatch,
    /// The worker refuses the request, so it provably did not run, and the claim is released.
    Refused,
}

#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) claims: Claims,
    pub(crate) liveness: Liveness,
}

/// All nodes, their table and their network.
pub(crate) struct Cluster {
    pub(crate) clock: Clock,
    pub(crate) table: FakeTable,
    pub(crate) nodes: Vec<Node>,
    mesh: Arc<Mesh>,
    dispatched: Arc<Mutex<Vec<Dispatch>>>,
}

/// Returns limits so small that pages, batches and timeouts all occur within seconds.
pub(crate) fn small_limits() -> Config {
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
    /// Creates a cluster whose nodes forward changes to each other, or each write to the table.
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
            let liveness = Liveness::default();
            let claims = new_claims(&table, clock, name, &liveness, config);
            let peer = MeshPeer {
                own_name: name.clone(),
                names: ids.clone(),
                mesh: Arc::clone(&mesh),
            };
            let claims = if forwarding {
                claims.with_peers(Arc::new(peer))
            } else {
                claims
            };
            Node { claims, liveness }
        };
        let nodes: Vec<Node> = ids.iter().map(node).collect();
        let mesh_nodes = ids.iter().zip(&nodes);
        let mesh_nodes =
            mesh_nodes.map(|(id, node)| (id.clone(), node.liveness.clone(), node.claims.clone()));
        assert!(mesh.nodes.set(mesh_nodes.collect()).is_ok());
        Self {
            clock,
            table,
            nodes,
            mesh,
            dispatched: Arc::default(),
        }
    }

    /// Starts a node that writes to the table itself and is not connected to the others.
    pub(crate) fn start_node(&self, config: Config) -> Node {
        let liveness = Liveness::default();
        let claims = new_claims(&self.table, self.clock, &"fresh".into(), &liveness, config);
        Node { claims, liveness }
    }

    pub(crate) fn set_mesh_faults(&self, change: impl FnOnce(&mut MeshFaults)) {
        change(&mut lock(&self.mesh.faults));
    }

    /// Ends all faults; dead nodes stay dead.
    pub(crate) fn clear_faults(&self) {
        self.table.set_faults(|faults| *faults = Faults::default());
        self.set_mesh_faults(|faults| *faults = MeshFaults::default());
    }

    pub(crate) fn claim_request(&self, key: &str, body: &str) -> ClaimRequest {
        ClaimRequest {
            key: claim_key(key),
            digest: digest(body.as_bytes()),
            request: RequestId::generate(),
            window: DAY,
            deadline: self.clock.now() + CALLER_TIMEOUT,
        }
    }

    /// Returns the requests that reached workers.
    pub(crate) fn dispatched(&self) -> Vec<Dispatch> {
        lock(&self.dispatched).clone()
    }

    /// Returns how many requests with this key reached a worker.
    pub(crate) fn runs(&self, key: &ClaimKey) -> usize {
        let dispatched = lock(&self.dispatched);
        dispatched.iter().filter(|run| run.key == *key).count()
    }

    /// Handles one request at a node, as its HTTP front end does.
    pub(crate) fn handle_request(
        &self,
        node: usize,
        claim_request: ClaimRequest,
        after_claim: AfterClaim,
    ) -> impl Future<Output = Response> + use<> {
        let Node { claims, liveness } = self.nodes[node].clone();
        let clock = self.clock;
        let dispatched = Arc::clone(&self.dispatched);
        async move {
            let key = claim_request.key.clone();
            let request = claim_request.request;
            let outcome = claims.claim(claim_request).await;
            if liveness.is_dead() {
                return Response::Missing;
            }
            let claim = match outcome {
                ClaimOutcome::Won(claim) => claim,
                ClaimOutcome::Repeat(entry) => return Response::Repeat(entry.state),
                ClaimOutcome::Mismatch(_) => return Response::Mismatch,
                ClaimOutcome::Unavailable => return Response::Unavailable,
            };
            let deadline = clock.now() + CALLER_TIMEOUT;
            if after_claim == AfterClaim::Refused {
                return Response::Released(claims.release(claim, deadline).await);
            }
            if after_claim == AfterClaim::DiesBeforeDispatch {
                liveness.kill();
                return Response::Missing;
            }
            lock(&dispatched).push(Dispatch { key, request, node });
            if after_claim == AfterClaim::DiesAfterDispatch {
                liveness.kill();
                return Response::Missing;
            }
            run_and_settle(&claims, &claim, &liveness, deadline).await
        }
    }
}

async fn run_and_settle(
    claims: &Claims,
    claim: &Claim,
    liveness: &Liveness,
    deadline: Millis,
) -> Response {
    tokio::time::sleep(RUN_TIME.duration()).await;
    if liveness.is_dead() {
        return Response::Missing;
    }
    claims
        .settle(claim, recorded_outcome(claim.entry().request), deadline)
        .await;
    Response::Ran
}

fn new_claims(
    table: &FakeTable,
    clock: Clock,
    name: &NodeId,
    liveness: &Liveness,
    config: Config,
) -> Claims {
    let table = KillableTable {
        table: table.for_caller(name.as_str()),
        liveness: liveness.clone(),
    };
    let owner = Owner {
        node: name.clone(),
        incarnation: Incarnation(1),
    };
    Claims::new(Arc::new(table), clock, owner, config)
}

pub(crate) fn claim_key(key: &str) -> ClaimKey {
    ClaimKey {
        service: "booking".into(),
        key: key.into(),
    }
}

/// Returns the outcome that the run of this request records.
pub(crate) fn recorded_outcome(request: RequestId) -> RecordedOutcome {
    let body = Bytes::from(request.to_string());
    RecordedOutcome::inline(200, "text/plain".into(), body)
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
