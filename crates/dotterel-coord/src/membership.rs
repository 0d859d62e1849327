//! Tracks which nodes are live and which of them should own each VM.
//!
//! [`Members`] is updated from heartbeats and the platform's VM list. Safety does not depend on it:
//! nodes that disagree compete for a lease, and the VM grants it to only one of them.

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

/// Another node and its latest heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node's latest heartbeat.
    pub heartbeat: Heartbeat,
    /// When the heartbeat was received, by this node's clock.
    pub received_at: Millis,
}

/// The effect of a received heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The node is new or has a new incarnation.
    Joined,
    /// The node's entry was updated.
    Updated,
    /// The heartbeat is older than one received before and was ignored.
    Stale,
    /// Another process uses this node's name with a later incarnation.
    Superseded,
}

/// The nodes that this node knows.
#[derive(Clone, Debug)]
pub struct Members {
    own: Heartbeat,
    timeout: Millis,
    last_tick: Millis,
    /// The other nodes, sorted by name.
    peers: Vec<Member>,
    /// The entry VMs of the newest list, sorted by name.
    listed: Vec<ListedVm>,
    as_of: Millis,
}

impl Members {
    /// Creates a view in which only this node is live.
    ///
    /// Another node is live if a heartbeat was received from it within the last `timeout`.
    #[must_use]
    pub const fn new(own: Heartbeat, timeout: Millis, now: Millis) -> Self {
        Self {
            own,
            timeout,
            last_tick: now,
            peers: Vec::new(),
            listed: Vec::new(),
            as_of: Millis::ZERO,
        }
    }

    /// Returns this node's own heartbeat.
    #[must_use]
    pub const fn own(&self) -> &Heartbeat {
        &self.own
    }

    /// Replaces this node's own heartbeat; its name and incarnation must stay the same.
    pub fn set_own(&mut self, own: Heartbeat) {
        self.own = own;
    }

    /// Records that this node is running; must be called at least four times per timeout.
    ///
    /// If this node was paused, the receipt times of heartbeats move forward by the length of the
    /// pause, so that peers do not time out.
    pub fn tick(&mut self, now: Millis) {
        let gap = now.since(self.last_tick);
        self.last_tick = now;
        if gap.0 < self.timeout.0 / 2 {
            return;
        }
        for peer in &mut self.peers {
            peer.received_at += gap;
        }
    }

    /// Records a heartbeat received at `now`.
    pub fn record_heartbeat(&mut self, heartbeat: Heartbeat, now: Millis) -> HeartbeatOutcome {
        if heartbeat.node == self.own.node {
            return self.check_own(heartbeat.incarnation);
        }
        let found = self.position(&heartbeat.node);
        let member = Member {
            heartbeat,
            received_at: now,
        };
        match found {
            Err(index) => {
                self.peers.insert(index, member);
                HeartbeatOutcome::Joined
            }
            Ok(index) => replace(&mut self.peers[index], member),
        }
    }

    fn check_own(&self, incarnation: Incarnation) -> HeartbeatOutcome {
        if incarnation > self.own.incarnation {
            HeartbeatOutcome::Superseded
        } else {
            HeartbeatOutcome::Stale
        }
    }

    /// Replaces the platform's list, unless the new one is older than the current one.
    pub fn update_list(&mut self, list: &Listing) {
        if list.as_of < self.as_of {
            return;
        }
        self.as_of = list.as_of;
        let entries = list.vms.iter().filter(|vm| vm.role == Role::Entry);
        self.listed = entries.cloned().collect();
        self.listed.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Removes nodes that are not listed and have sent no heartbeat for `max_age`.
    pub fn prune(&mut self, max_age: Millis, now: Millis) {
        let listed = &self.listed;
        self.peers.retain(|peer| {
            let id = &peer.heartbeat.node.0;
            now.since(peer.received_at) < max_age
                || listed.binary_search_by(|vm| vm.id.cmp(id)).is_ok()
        });
    }

    /// Returns all other known nodes, sorted by name.
    #[must_use]
    pub fn peers(&self) -> &[Member] {
        &self.peers
    }

    /// Returns another node, if it is known.
    #[must_use]
    pub fn peer(&self, node: &NodeId) -> Option<&Member> {
        self.position(node).ok().map(|index| &self.peers[index])
    }

    /// Returns true if the node is this one or has sent a heartbeat within the timeout.
    ///
    /// The list is not considered: a listed node may be dead and an unlisted one may be new.
    #[must_use]
    pub fn is_live(&self, node: &NodeId, now: Millis) -> bool {
        *node == self.own.node
            || self
                .peer(node)
                .is_some_and(|peer| self.is_recent(peer, now))
    }

    /// Returns the heartbeats of the other live nodes.
    pub fn live_peers(&self, now: Millis) -> impl Iterator<Item = &Heartbeat> {
        let live = self
            .peers
            .iter()
            .filter(move |peer| self.is_recent(peer, now));
        live.map(|peer| &peer.heartbeat)
    }

    /// Returns the node that should own a VM of a data centre.
    ///
    /// This is the highest-ranked live node of the data centre by rendezvous hashing, so a node
    /// that joins or leaves moves only the VMs that it gains or loses.
    #[must_use]
    pub fn desired_owner(&self, vm: &VmId, dc: &DataCentre, now: Millis) -> Option<&NodeId> {
        let own = std::iter::once(&self.own);
        self.highest_ranked(vm, dc, own.chain(self.live_peers(now)))
    }

    /// Returns the node to which this one should hand over a VM.
    #[must_use]
    pub fn successor(&self, vm: &VmId, dc: &DataCentre, now: Millis) -> Option<&NodeId> {
        self.highest_ranked(vm, dc, self.live_peers(now))
    }

    fn highest_ranked<'a>(
        &self,
        vm: &VmId,
        dc: &DataCentre,
        nodes: impl Iterator<Item = &'a Heartbeat>,
    ) -> Option<&'a NodeId> {
        let candidates = nodes
            .filter(|node| node.data_centre == *dc && !node.stopping)
            .filter(|node| !self.is_listed_leaving(&node.node));
        rendezvous(vm.as_str(), candidates, |node| node.node.as_str()).map(|node| &node.node)
    }

    fn is_listed_leaving(&self, node: &NodeId) -> bool {
        let found = self.listed.binary_search_by(|vm| vm.id.cmp(&node.0));
        found.is_ok_and(|index| self.listed[index].state == VmState::Leaving)
    }

    fn is_recent(&self, peer: &Member, now: Millis) -> bool {
        now.since(peer.received_at) <= self.timeout
    }

    fn position(&self, node: &NodeId) -> Result<usize, usize> {
        self.peers
            .binary_search_by(|peer| peer.heartbeat.node.cmp(node))
    }
}

/// Replaces a node's entry unless the current one is newer.
fn replace(current: &mut Member, mut member: Member) -> HeartbeatOutcome {
    if member.heartbeat.order() < current.heartbeat.order() {
        return HeartbeatOutcome::Stale;
    }
    let joined = member.heartbeat.incarnation > current.heartbeat.incarnation;
    if !joined {
        // A node that has begun to stop keeps stopping until the end of its incarnation.
        member.heartbeat.stopping |= current.heartbeat.stopping;
    }
    *current = member;
    if joined {
        HeartbeatOutcome::Joined
    } else {
        HeartbeatOutcome::Updated
    }
}
