//! Tracks the other entry nodes and selects which of them to forward work to.

mod heartbeat;
mod serve;
mod writers;

use std::sync::{Mutex, MutexGuard, PoisonError};

use dotterel_coord::{Health, Heartbeat, HeartbeatOutcome, Members, rendezvous};
use dotterel_kernel::{
    DataCentre, Incarnation, Millis, NodeId, PeerStatus, Region, Revision, Service, Size, Spill,
    VmId,
};
use dotterel_platform::Listing;
use rand::seq::IndexedRandom;

pub(crate) use heartbeat::broadcast_heartbeat;
pub use heartbeat::send_heartbeats;
pub use serve::Server;
pub use writers::ClaimWriters;

/// A node without a heartbeat for this long is not live.
pub const PEER_TIMEOUT: Millis = Millis(2_500);

/// Past this age of its last heartbeat, a node in this data centre has a heartbeat overdue.
const LOCAL_HEARTBEAT_MAX_AGE: Millis = Millis(600);

/// The same for nodes in other data centres, which send only every third heartbeat here.
const REMOTE_HEARTBEAT_MAX_AGE: Millis = Millis(1_350);

/// How long a node that the platform doesn't list is kept after its last heartbeat.
const PEER_RETENTION: Millis = Millis::secs(3_600);

/// A node to forward work to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The node.
    pub node: NodeId,
    /// The incarnation that the work is sent to.
    pub incarnation: Incarnation,
}

/// The other entry nodes, as known from heartbeats and the platform's VM list.
pub struct Peers {
    state: Mutex<State>,
}

struct State {
    members: Members,
    /// Tasks sent to each node since its last heartbeat, sorted by node.
    sent: Vec<(NodeId, u32)>,
    /// The latest VM summary of each node, sorted by node.
    summaries: Vec<VmSummary>,
}

/// A node's own summary of the VMs that it owns.
struct VmSummary {
    node: NodeId,
    largest: Option<Size>,
    health: Health,
}

impl Peers {
    /// Returns a view in which this node is the only live one.
    #[must_use]
    pub const fn new(own: Heartbeat, now: Millis) -> Self {
        Self {
            state: Mutex::new(State {
                members: Members::new(own, PEER_TIMEOUT, now),
                sent: Vec::new(),
                summaries: Vec::new(),
            }),
        }
    }

    /// Records a heartbeat and resets the count of tasks sent to its node.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat, now: Millis) -> HeartbeatOutcome {
        let mut state = self.state();
        if let Ok(index) = state.sent_index(&heartbeat.node) {
            state.sent[index].1 = 0;
        }
        state.members.record_heartbeat(heartbeat, now)
    }

    /// Updates the entry nodes from the platform's VM list.
    pub fn update_listing(&self, list: &Listing) {
        self.state().members.update_list(list);
    }

    /// Replaces this node's own heartbeat and removes peers past their retention.
    ///
    /// Must be called at least four times within [`PEER_TIMEOUT`]. A longer gap means that this
    /// process was paused; the pause does not count towards the peers' timeout.
    pub fn tick(&self, own: Heartbeat, now: Millis) {
        let mut state = self.state();
        state.members.tick(now);
        state.members.set_own(own);
        state.members.prune(PEER_RETENTION, now);
    }

    /// Returns the node that should own a VM.
    #[must_use]
    pub fn desired_owner(&self, vm: &VmId, dc: &DataCentre, now: Millis) -> Option<NodeId> {
        self.state().members.desired_owner(vm, dc, now).cloned()
    }

    /// Returns the node that should own a VM after this one releases it.
    #[must_use]
    pub fn successor(&self, vm: &VmId, dc: &DataCentre, now: Millis) -> Option<NodeId> {
        self.state().members.successor(vm, dc, now).cloned()
    }

    /// Returns the live node with the highest rendezvous rank for a key, or `None` if that is this
    /// node.
    #[must_use]
    pub fn highest_ranked(&self, key: &str, now: Millis) -> Option<NodeId> {
        let state = self.state();
        let own = std::iter::once(state.members.own());
        let live = own.chain(state.members.live_peers(now));
        let running = live.filter(|node| !node.stopping);
        let highest = rendezvous(key, running, |node| node.node.as_str())?;
        (highest.node != state.members.own().node).then(|| highest.node.clone())
    }

    /// Returns the other live nodes.
    #[must_use]
    pub fn live(&self, now: Millis) -> Vec<NodeId> {
        let state = self.state();
        let live = state.members.live_peers(now);
        live.map(|peer| peer.node.clone()).collect()
    }

    /// Returns the other live nodes that are not stopping, with their data centres and regions.
    #[must_use]
    pub fn locations(&self, now: Millis) -> Vec<(NodeId, DataCentre, Region)> {
        let state = self.state();
        let running = state.members.live_peers(now).filter(|peer| !peer.stopping);
        let location = |peer: &Heartbeat| {
            let (dc, region) = (peer.data_centre.clone(), peer.region.clone());
            (peer.node.clone(), dc, region)
        };
        running.map(location).collect()
    }

    /// Records a node's VM summary: its largest VM, per resource, and the health of its VMs.
    pub fn record_vm_summary(&self, node: &NodeId, largest: Option<Size>, health: Health) {
        let mut state = self.state();
        let summary = VmSummary {
            node: node.clone(),
            largest,
            health,
        };
        match state
            .summaries
            .binary_search_by(|summary| summary.node.cmp(node))
        {
            Ok(index) => state.summaries[index] = summary,
            Err(index) => state.summaries.insert(index, summary),
        }
    }

    /// Returns the largest VM of all nodes, per resource; `own` is that of this node.
    #[must_use]
    pub fn largest_vm(&self, own: Option<Size>) -> Option<Size> {
        let state = self.state();
        let sizes = state.summaries.iter().filter_map(|summary| summary.largest);
        sizes.chain(own).reduce(elementwise_max)
    }

    /// Returns the recent health of the VMs of all other live nodes.
    #[must_use]
    pub fn health(&self, now: Millis) -> Health {
        let state = self.state();
        let live = |summary: &&VmSummary| state.members.is_live(&summary.node, now);
        let healths = state
            .summaries
            .iter()
            .filter(live)
            .map(|summary| summary.health);
        healths.fold(Health::default(), Health::plus)
    }

    /// Returns true if a node is live and has the incarnation that the work was sent to.
    #[must_use]
    pub fn is_alive(&self, target: &Target, now: Millis) -> bool {
        let state = self.state();
        let peer = state.members.peer(&target.node);
        state.members.is_live(&target.node, now)
            && peer.is_some_and(|peer| peer.heartbeat.incarnation == target.incarnation)
    }

    /// Returns the data centre of a known node.
    #[must_use]
    pub fn data_centre(&self, node: &NodeId) -> Option<DataCentre> {
        let state = self.state();
        let peer = state.members.peer(node)?;
        Some(peer.heartbeat.data_centre.clone())
    }

    /// Returns true for nodes in this node's data centre and for nodes that are not known yet.
    #[must_use]
    pub fn is_local(&self, node: &NodeId) -> bool {
        let state = self.state();
        let own = &state.members.own().data_centre;
        let peer = state.members.peer(node);
        peer.is_none_or(|peer| peer.heartbeat.data_centre == *own)
    }

    /// Returns the last known document revisions in force on a node.
    #[must_use]
    pub fn revisions(&self, node: &NodeId) -> Vec<(Service, Revision)> {
        let state = self.state();
        let peer = state.members.peer(node);
        peer.map_or_else(Vec::new, |peer| peer.heartbeat.documents.clone())
    }

    /// Returns true if a heartbeat of the node was received before.
    #[must_use]
    pub fn is_known(&self, node: &NodeId) -> bool {
        self.state().members.peer(node).is_some()
    }

    /// Returns the last heartbeat of each other node, sorted by node.
    #[must_use]
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        let state = self.state();
        let peers = state.members.peers().iter();
        peers.map(|peer| peer.heartbeat.clone()).collect()
    }

    /// Picks a node with free slots, except those in `excluded`, and counts one task as sent to it.
    ///
    /// Picks the better of two random candidates, from the narrowest scope that has any: the data
    /// centre, then the region, then anywhere.
    #[must_use]
    pub fn pick_spare(
        &self,
        spill: Spill,
        now: Millis,
        excluded: &[(NodeId, Millis)],
    ) -> Option<Target> {
        let mut state = self.state();
        let eligible = |state: &State, peer: &Heartbeat| {
            state.free_slots(peer) > 0 && excluded.iter().all(|(node, _)| *node != peer.node)
        };
        let target = state.pick(spill, now, eligible)?;
        state.add_sent(&target.node, 1);
        Some(target)
    }

    /// Picks a node whose heartbeat is not overdue, whether it has free slots or not. Called by
    /// nodes that own no VM.
    ///
    /// No slot count limits what is forwarded this way, so a node that may have failed is skipped.
    #[must_use]
    pub fn pick_fresh(&self, spill: Spill, now: Millis) -> Option<Target> {
        let eligible = |state: &State, peer: &Heartbeat| state.is_fresh(peer, now);
        self.state().pick(spill, now, eligible)
    }

    /// Marks a node as full: [`Peers::pick_spare`] skips it until its next heartbeat.
    pub fn mark_full(&self, node: &NodeId) {
        self.state().add_sent(node, u32::MAX);
    }

    /// Returns the status of all other known nodes, sorted by node.
    #[must_use]
    pub fn status(&self, now: Millis) -> Vec<PeerStatus> {
        let state = self.state();
        let peers = state.members.peers().iter();
        let status = |peer: &dotterel_coord::Member| PeerStatus {
            node: peer.heartbeat.node.clone(),
            incarnation: peer.heartbeat.incarnation,
            data_centre: peer.heartbeat.data_centre.clone(),
            alive: state.members.is_live(&peer.heartbeat.node, now),
            documents: peer.heartbeat.documents.clone(),
        };
        peers.map(status).collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn sent_index(&self, node: &NodeId) -> Result<usize, usize> {
        self.sent.binary_search_by(|entry| entry.0.cmp(node))
    }

    fn add_sent(&mut self, node: &NodeId, tasks: u32) {
        match self.sent_index(node) {
            Ok(index) => self.sent[index].1 = self.sent[index].1.saturating_add(tasks),
            Err(index) => self.sent.insert(index, (node.clone(), tasks)),
        }
    }

    /// Returns a node's free slots: those in its last heartbeat less the tasks sent since.
    fn free_slots(&self, heartbeat: &Heartbeat) -> u32 {
        let sent = self.sent_index(&heartbeat.node);
        let sent = sent.map_or(0, |index| self.sent[index].1);
        heartbeat.spare.slots.saturating_sub(sent)
    }

    /// Returns true if the node's next heartbeat is not overdue.
    fn is_fresh(&self, heartbeat: &Heartbeat, now: Millis) -> bool {
        let is_local = heartbeat.data_centre == self.members.own().data_centre;
        let limit = if is_local {
            LOCAL_HEARTBEAT_MAX_AGE
        } else {
            REMOTE_HEARTBEAT_MAX_AGE
        };
        let peer = self.members.peer(&heartbeat.node);
        peer.is_some_and(|peer| now.since(peer.received_at) <= limit)
    }

    fn pick(
        &self,
        spill: Spill,
        now: Millis,
        eligible: impl Fn(&Self, &Heartbeat) -> bool,
    ) -> Option<Target> {
        let own = self.members.own();
        for scope in [Spill::DataCentre, Spill::Region, Spill::Anywhere] {
            if scope > spill {
                break;
            }
            let candidates = self.members.live_peers(now).filter(|peer| {
                !peer.stopping
                    && is_within(scope, &own.data_centre, &own.region, peer)
                    && eligible(self, peer)
            });
            let candidates: Vec<&Heartbeat> = candidates.collect();
            let pair = candidates.sample(&mut rand::rng(), 2);
            if let Some(best) = pair.max_by_key(|peer| self.free_slots(peer)) {
                return Some(Target {
                    node: best.node.clone(),
                    incarnation: best.incarnation,
                });
            }
        }
        None
    }
}

/// Returns the maximum of two sizes, per resource.
pub(crate) fn elementwise_max(a: Size, b: Size) -> Size {
    Size {
        milli_cores: a.milli_cores.max(b.milli_cores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
        slots: a.slots.max(b.slots),
        connections: a.connections.max(b.connections),
    }
}

fn is_within(scope: Spill, dc: &DataCentre, region: &Region, peer: &Heartbeat) -> bool {
    match scope {
        Spill::DataCentre => peer.data_centre == *dc,
        Spill::Region => peer.region == *region,
        Spill::Anywhere => true,
    }
}
