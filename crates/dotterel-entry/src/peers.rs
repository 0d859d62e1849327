//! What this node knows of the others, and which of them to send work to.

mod heartbeat;
mod serve;
mod writers;

use std::sync::{Mutex, MutexGuard, PoisonError};

use dotterel_coord::{Health, Heard, Heartbeat, Members, rendezvous};
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

/// How long a node may be silent before it counts as gone.
pub const PEER_TIMEOUT: Millis = Millis(2_500);

/// Within which time a node of this data centre sends its next heartbeat but for trouble.
const FRESH_NEAR: Millis = Millis(600);

/// The same for nodes of other data centres.
const FRESH_FAR: Millis = Millis(1_350);

/// How long an unlisted, silent node is remembered.
const MEMORY: Millis = Millis::secs(3_600);

/// A node that work may be sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The node.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
}

/// The other nodes.
pub struct Peers {
    state: Mutex<State>,
}

struct State {
    members: Members,
    /// Tasks sent to each node since its last heartbeat, sorted by node.
    sent: Vec<(NodeId, u32)>,
    /// What each node told of its VMs, sorted by node.
    told: Vec<Told>,
}

/// What a node told of its VMs.
struct Told {
    node: NodeId,
    largest: Option<Size>,
    health: Health,
}

impl Peers {
    /// Returns a view in which only this node lives.
    #[must_use]
    pub const fn new(own: Heartbeat, now: Millis) -> Self {
        Self {
            state: Mutex::new(State {
                members: Members::new(own, PEER_TIMEOUT, now),
                sent: Vec::new(),
                told: Vec::new(),
            }),
        }
    }

    /// Takes in a heartbeat.
    pub fn record_heartbeat(&self, heartbeat: Heartbeat, now: Millis) -> Heard {
        let mut state = self.state();
        if let Ok(index) = state.sent_index(&heartbeat.node) {
            state.sent[index].1 = 0;
        }
        state.members.hear(heartbeat, now)
    }

    /// Takes in the platform's list.
    pub fn update_listing(&self, list: &Listing) {
        self.state().members.hear_list(list);
    }

    /// Notes that this node is awake and replaces its own heartbeat.
    pub fn tick(&self, own: Heartbeat, now: Millis) {
        let mut state = self.state();
        state.members.tick(now);
        state.members.set_own(own);
        state.members.prune(MEMORY, now);
    }

    /// Returns the node that should own a VM.
    #[must_use]
    pub fn desired_owner(&self, vm: &VmId, dc: &DataCentre, now: Millis) -> Option<NodeId> {
        self.state().members.desired_owner(vm, dc, now).cloned()
    }

    /// Returns the node to which this one should leave a VM.
    #[must_use]
    pub fn successor(&self, vm: &VmId, dc: &DataCentre, now: Millis) -> Option<NodeId> {
        self.state().members.heir(vm, dc, now).cloned()
    }

    /// Returns the node that ranks highest for a key among all live ones; none for this node.
    #[must_use]
    pub fn highest_ranked(&self, key: &str, now: Millis) -> Option<NodeId> {
        let state = self.state();
        let own = std::iter::once(state.members.own());
        let live = own.chain(state.members.live_peers(now));
        let staying = live.filter(|node| !node.stopping);
        let first = rendezvous(key, staying, |node| node.node.as_str())?;
        (first.node != state.members.own().node).then(|| first.node.clone())
    }

    /// Returns the live nodes.
    #[must_use]
    pub fn live(&self, now: Millis) -> Vec<NodeId> {
        let state = self.state();
        let live = state.members.live_peers(now);
        live.map(|peer| peer.node.clone()).collect()
    }

    /// Returns the live nodes with their data centres and regions.
    #[must_use]
    pub fn locations(&self, now: Millis) -> Vec<(NodeId, DataCentre, Region)> {
        let state = self.state();
        let staying = state.members.live_peers(now).filter(|peer| !peer.stopping);
        let place = |peer: &Heartbeat| {
            let (dc, region) = (peer.data_centre.clone(), peer.region.clone());
            (peer.node.clone(), dc, region)
        };
        staying.map(place).collect()
    }

    /// Notes what a node tells of its VMs: the largest, resource by resource, and how they did.
    pub fn record_vms(&self, node: &NodeId, largest: Option<Size>, health: Health) {
        let mut state = self.state();
        let told = Told {
            node: node.clone(),
            largest,
            health,
        };
        match state.told.binary_search_by(|told| told.node.cmp(node)) {
            Ok(index) => state.told[index] = told,
            Err(index) => state.told.insert(index, told),
        }
    }

    /// Returns the largest VM that any node has told of, resource by resource.
    #[must_use]
    pub fn largest_vm(&self, own: Option<Size>) -> Option<Size> {
        let state = self.state();
        let told = state.told.iter().filter_map(|told| told.largest);
        told.chain(own).reduce(elementwise_max)
    }

    /// Returns how the VMs of all other live nodes did lately.
    #[must_use]
    pub fn health(&self, now: Millis) -> Health {
        let state = self.state();
        let live = |told: &&Told| state.members.is_live(&told.node, now);
        let told = state.told.iter().filter(live).map(|told| told.health);
        told.fold(Health::default(), Health::plus)
    }

    /// Returns true while a node is live in the life that work was sent to.
    #[must_use]
    pub fn is_alive(&self, target: &Target, now: Millis) -> bool {
        let state = self.state();
        let peer = state.members.peer(&target.node);
        state.members.is_live(&target.node, now)
            && peer.is_some_and(|peer| peer.heartbeat.incarnation == target.incarnation)
    }

    /// Returns the data centre of a node.
    #[must_use]
    pub fn data_centre(&self, node: &NodeId) -> Option<DataCentre> {
        let state = self.state();
        let peer = state.members.peer(node)?;
        Some(peer.heartbeat.data_centre.clone())
    }

    /// Returns true for nodes of this node's data centre, and for nodes not heard yet.
    #[must_use]
    pub fn is_local(&self, node: &NodeId) -> bool {
        let state = self.state();
        let own = &state.members.own().data_centre;
        let peer = state.members.peer(node);
        peer.is_none_or(|peer| peer.heartbeat.data_centre == *own)
    }

    /// Returns the revisions in force on a node, as far as they were told.
    #[must_use]
    pub fn revisions(&self, node: &NodeId) -> Vec<(Service, Revision)> {
        let state = self.state();
        let peer = state.members.peer(node);
        peer.map_or_else(Vec::new, |peer| peer.heartbeat.documents.clone())
    }

    /// Returns true when the node was heard before.
    #[must_use]
    pub fn is_known(&self, node: &NodeId) -> bool {
        self.state().members.peer(node).is_some()
    }

    /// Returns the other nodes with the addresses they gave, sorted by name.
    #[must_use]
    pub fn heartbeats(&self) -> Vec<Heartbeat> {
        let state = self.state();
        let peers = state.members.peers().iter();
        peers.map(|peer| peer.heartbeat.clone()).collect()
    }

    /// Picks a node with spare slots: the one with more of two drawn at random, in the nearest
    /// place that has any, leaving some out.
    #[must_use]
    pub fn pick_spare(
        &self,
        spill: Spill,
        now: Millis,
        without: &[(NodeId, Millis)],
    ) -> Option<Target> {
        let mut state = self.state();
        let fit = |state: &State, peer: &Heartbeat| {
            state.slots(peer) > 0 && without.iter().all(|(node, _)| *node != peer.node)
        };
        let target = state.pick(spill, now, fit)?;
        state.count(&target.node, 1);
        Some(target)
    }

    /// Picks any node within reach that was heard just now, for a node that owns no VM itself.
    ///
    /// Nothing limits what goes to such a node, so one that may have died gets none of it.
    #[must_use]
    pub fn pick_fresh(&self, spill: Spill, now: Millis) -> Option<Target> {
        let fresh = |state: &State, peer: &Heartbeat| state.fresh(peer, now);
        self.state().pick(spill, now, fresh)
    }

    /// Notes that a node had no room after all; it gets nothing until its next heartbeat.
    pub fn mark_full(&self, node: &NodeId) {
        self.state().count(node, u32::MAX);
    }

    /// Returns the status of all known nodes, sorted by name.
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

    fn count(&mut self, node: &NodeId, tasks: u32) {
        match self.sent_index(node) {
            Ok(index) => self.sent[index].1 = self.sent[index].1.saturating_add(tasks),
            Err(index) => self.sent.insert(index, (node.clone(), tasks)),
        }
    }

    /// Returns the slots that a node should still have free.
    fn slots(&self, heartbeat: &Heartbeat) -> u32 {
        let sent = self.sent_index(&heartbeat.node);
        let sent = sent.map_or(0, |index| self.sent[index].1);
        heartbeat.spare.slots.saturating_sub(sent)
    }

    /// Returns true when no heartbeat of the node is overdue.
    fn fresh(&self, heartbeat: &Heartbeat, now: Millis) -> bool {
        let near = heartbeat.data_centre == self.members.own().data_centre;
        let limit = if near { FRESH_NEAR } else { FRESH_FAR };
        let peer = self.members.peer(&heartbeat.node);
        peer.is_some_and(|peer| now.since(peer.heard) <= limit)
    }

    fn pick(
        &self,
        spill: Spill,
        now: Millis,
        fit: impl Fn(&Self, &Heartbeat) -> bool,
    ) -> Option<Target> {
        let own = self.members.own();
        for reach in [Spill::DataCentre, Spill::Region, Spill::Anywhere] {
            if reach > spill {
                break;
            }
            let near = self.members.live_peers(now).filter(|peer| {
                !peer.stopping
                    && within(reach, &own.data_centre, &own.region, peer)
                    && fit(self, peer)
            });
            let near: Vec<&Heartbeat> = near.collect();
            let two = near.sample(&mut rand::rng(), 2);
            if let Some(best) = two.max_by_key(|peer| self.slots(peer)) {
                return Some(Target {
                    node: best.node.clone(),
                    incarnation: best.incarnation,
                });
            }
        }
        None
    }
}

/// Returns the larger of two sizes, resource by resource.
pub(crate) fn elementwise_max(a: Size, b: Size) -> Size {
    Size {
        milli_cores: a.milli_cores.max(b.milli_cores),
        memory_mb: a.memory_mb.max(b.memory_mb),
        accelerators: a.accelerators.max(b.accelerators),
        slots: a.slots.max(b.slots),
        connections: a.connections.max(b.connections),
    }
}

fn within(reach: Spill, dc: &DataCentre, region: &Region, peer: &Heartbeat) -> bool {
    match reach {
        Spill::DataCentre => peer.data_centre == *dc,
        Spill::Region => peer.region == *region,
        Spill::Anywhere => true,
    }
}
