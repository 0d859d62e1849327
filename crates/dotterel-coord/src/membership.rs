//! Which nodes live, and which of them should own a VM.
//!
//! [`Members`] is fed by heartbeats and by the platform's list and decides nothing that safety
//! rests on: nodes that disagree contend for a lease, and the VM grants it to one of them.

mod heartbeat;
mod leaving;
mod poll;
mod rendezvous;

use dotterel_kernel::{DataCentre, Incarnation, Millis, NodeId, VmId};
use dotterel_platform::{ListedVm, Listing, Role, VmState};

pub use self::heartbeat::Heartbeat;
pub use self::leaving::LeavingVms;
pub use self::poll::poll_vm_list;
pub use self::rendezvous::rendezvous;

/// Another node as it was heard last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its last heartbeat.
    pub heartbeat: Heartbeat,
    /// When that arrived here.
    pub received_at: Millis,
}

/// What a heartbeat told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The node is new, or has begun another life.
    Joined,
    /// The node goes on.
    Updated,
    /// The heartbeat is older than one heard before; it changed nothing.
    Stale,
    /// Another process uses this node's own name with a later life.
    Superseded,
}

/// The nodes that this node knows.
#[derive(Clone, Debug)]
pub struct Members {
    own: Heartbeat,
    patience: Millis,
    ticked: Millis,
    /// Sorted by node; without this node itself.
    peers: Vec<Member>,
    /// Entry VMs of the newest list, sorted by name.
    listed: Vec<ListedVm>,
    as_of: Millis,
}

impl Members {
    /// Returns a view in which only this node lives.
    ///
    /// A node that is silent for longer than `patience` is not live.
    #[must_use]
    pub const fn new(own: Heartbeat, patience: Millis, now: Millis) -> Self {
        Self {
            own,
            patience,
            ticked: now,
            peers: Vec::new(),
            listed: Vec::new(),
            as_of: Millis::ZERO,
        }
    }

    /// Returns what this node says of itself.
    #[must_use]
    pub const fn own(&self) -> &Heartbeat {
        &self.own
    }

    /// Changes what this node says of itself, other than its name and its life.
    pub fn set_own(&mut self, own: Heartbeat) {
        self.own = own;
    }

    /// Notes that this node is awake; to be called at least four times within the patience.
    ///
    /// Peers that could not be heard because this node was paused do not count as silent.
    pub fn tick(&mut self, now: Millis) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap.0 < self.patience.0 / 2 {
            return;
        }
        for peer in &mut self.peers {
            peer.received_at += gap;
        }
    }

    /// Takes in a heartbeat that arrived at `now`.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Millis) -> HeartbeatOutcome {
        if heartbeat.node == self.own.node {
            return self.check_own(heartbeat.incarnation);
        }
        let found = self.position(&heartbeat.node);
        let heard = Member {
            heartbeat,
            received_at: now,
        };
        match found {
            Err(place) => {
                self.peers.insert(place, heard);
                HeartbeatOutcome::Joined
            }
            Ok(place) => replace(&mut self.peers[place], heard),
        }
    }

    fn check_own(&self, incarnation: Incarnation) -> HeartbeatOutcome {
        if incarnation > self.own.incarnation {
            HeartbeatOutcome::Superseded
        } else {
            HeartbeatOutcome::Stale
        }
    }

    /// Takes in the platform's list; an older one than before changes nothing.
    pub fn update_list(&mut self, list: &Listing) {
        if list.as_of < self.as_of {
            return;
        }
        self.as_of = list.as_of;
        let entries = list.vms.iter().filter(|vm| vm.role == Role::Entry);
        self.listed = entries.cloned().collect();
        self.listed.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Forgets nodes that are neither listed nor heard for `span`.
    pub fn prune(&mut self, span: Millis, now: Millis) {
        let listed = &self.listed;
        self.peers.retain(|peer| {
            let id = &peer.heartbeat.node.0;
            now.since(peer.received_at) < span
                || listed.binary_search_by(|vm| vm.id.cmp(id)).is_ok()
        });
    }

    /// Returns all other nodes that were heard, sorted by name.
    #[must_use]
    pub fn peers(&self) -> &[Member] {
        &self.peers
    }

    /// Returns another node.
    #[must_use]
    pub fn peer(&self, node: &NodeId) -> Option<&Member> {
        self.position(node).ok().map(|place| &self.peers[place])
    }

    /// Returns true when the node is this one or was heard of late.
    ///
    /// The list has no say: a listed node may be dead and an unlisted one may be new.
    #[must_use]
    pub fn is_live(&self, node: &NodeId, now: Millis) -> bool {
        *node == self.own.node || self.peer(node).is_some_and(|peer| self.heard_of(peer, now))
    }

    /// Returns the other nodes that are live.
    pub fn live_peers(&self, now: Millis) -> impl Iterator<Item = &Heartbeat> {
        let live = self
            .peers
            .iter()
            .filter(move |peer| self.heard_of(peer, now));
        live.map(|peer| &peer.heartbeat)
    }

    /// Returns the node that should own a VM of a data centre.
    ///
    /// Each VM goes to the live node of the data centre that ranks highest for it, so a node that
    /// comes or goes moves only the VMs that it gains or leaves.
    #[must_use]
    pub fn desired_owner(&self, vm: &VmId, dc: &DataCentre, now: Millis) -> Option<&NodeId> {
        let own = std::iter::once(&self.own);
        self.best(vm, dc, own.chain(self.live_peers(now)))
    }

    /// Returns the node to which this one should leave a VM.
    #[must_use]
    pub fn successor(&self, vm: &VmId, dc: &DataCentre, now: Millis) -> Option<&NodeId> {
        self.best(vm, dc, self.live_peers(now))
    }

    fn best<'a>(
        &self,
        vm: &VmId,
        dc: &DataCentre,
        nodes: impl Iterator<Item = &'a Heartbeat>,
    ) -> Option<&'a NodeId> {
        let able = nodes
            .filter(|node| node.data_centre == *dc && !node.stopping)
            .filter(|node| !self.is_listed_leaving(&node.node));
        rendezvous(vm.as_str(), able, |node| node.node.as_str()).map(|node| &node.node)
    }

    fn is_listed_leaving(&self, node: &NodeId) -> bool {
        let found = self.listed.binary_search_by(|vm| vm.id.cmp(&node.0));
        found.is_ok_and(|place| self.listed[place].state == VmState::Leaving)
    }

    fn heard_of(&self, peer: &Member, now: Millis) -> bool {
        now.since(peer.received_at) <= self.patience
    }

    fn position(&self, node: &NodeId) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.heartbeat.node.cmp(node))
    }
}

/// Replaces what was heard of a node, unless that is newer.
fn replace(known: &mut Member, mut heard: Member) -> HeartbeatOutcome {
    if heard.heartbeat.order() < known.heartbeat.order() {
        return HeartbeatOutcome::Stale;
    }
    let joined = heard.heartbeat.incarnation > known.heartbeat.incarnation;
    if !joined {
        // A node that has begun to stop never takes that back within one life.
        heard.heartbeat.stopping |= known.heartbeat.stopping;
    }
    *known = heard;
    if joined {
        HeartbeatOutcome::Joined
    } else {
        HeartbeatOutcome::Updated
    }
}
