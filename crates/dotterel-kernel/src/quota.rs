//! Quotas of teams, used from memory.
//!
//! [`Quotas`] is what one node may use: each team has an allotment there, and holds count against
//! it. [`Lender`] splits a team's whole quota into the pieces that nodes use; the pieces that are
//! lent out never add up to more than the quota.

use slotmap::{SlotMap, new_key_type};

use crate::id::{NodeId, Service, Team};
use crate::size::Size;
use crate::time::Millis;

new_key_type! {
    /// Names one team's allotment in [`Quotas`].
    pub struct TeamKey;
}

/// A team's part of this node's VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allotment {
    /// The team.
    pub team: Team,
    /// The most that its tasks may hold here.
    pub limit: Size,
    /// What they hold now.
    pub used: Size,
    /// How many of its tasks wait here.
    pub queued: u32,
    /// When, at the team's own rate, all work that it has queued so far would be served.
    turn: Millis,
    /// The busy period that the turn belongs to.
    period: u64,
}

/// The allotments of all teams on one node.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    teams: SlotMap<TeamKey, Allotment>,
    /// Sorted by team.
    names: Vec<(Team, TeamKey)>,
    /// The team of each service, sorted by service.
    services: Vec<(Service, TeamKey)>,
    slots: u64,
    /// Counts the times that work began to queue.
    period: u64,
}

/// The longest that a team's earlier work is held against it.
const TURN_LIMIT: Millis = Millis::secs(3600);

impl Quotas {
    /// Sets a team's allotment, which may lie below what it holds at present.
    pub fn set(&mut self, team: &Team, limit: Size) -> TeamKey {
        match self.names.binary_search_by(|entry| entry.0.cmp(team)) {
            Ok(index) => {
                let key = self.names[index].1;
                let allotment = &mut self.teams[key];
                self.slots -= u64::from(allotment.limit.slots);
                self.slots += u64::from(limit.slots);
                allotment.limit = limit;
                key
            }
            Err(index) => {
                self.slots += u64::from(limit.slots);
                let key = self.teams.insert(Allotment {
                    team: team.clone(),
                    limit,
                    used: Size::ZERO,
                    queued: 0,
                    turn: Millis::ZERO,
                    period: 0,
                });
                self.names.insert(index, (team.clone(), key));
                key
            }
        }
    }

    /// Counts a service's work against a team from now on.
    pub fn assign(&mut self, service: &Service, team: TeamKey) {
        match self.services.binary_search_by(|entry| entry.0.cmp(service)) {
            Ok(index) => self.services[index].1 = team,
            Err(index) => self.services.insert(index, (service.clone(), team)),
        }
    }

    /// Returns the team that a service's work counts against, if any.
    #[must_use]
    pub fn team(&self, service: &Service) -> Option<TeamKey> {
        let index = self
            .services
            .binary_search_by(|entry| entry.0.cmp(service))
            .ok()?;
        Some(self.services[index].1)
    }

    /// Returns a team's allotment.
    #[must_use]
    pub fn get(&self, key: TeamKey) -> Option<&Allotment> {
        self.teams.get(key)
    }

    /// Returns all allotments.
    pub fn iter(&self) -> impl Iterator<Item = (TeamKey, &Allotment)> {
        self.teams.iter()
    }

    /// Returns true when the team may hold `size` more now.
    #[must_use]
    pub fn admits(&self, key: TeamKey, size: &Size) -> bool {
        let room = |a: &Allotment| size.fits(&a.limit.minus(&a.used));
        self.teams.get(key).is_none_or(room)
    }

    /// Counts a hold.
    pub fn take(&mut self, key: TeamKey, size: &Size) {
        if let Some(allotment) = self.teams.get_mut(key) {
            allotment.used = allotment.used.plus(size);
        }
    }

    /// Gives a hold back.
    pub fn give(&mut self, key: TeamKey, size: &Size) {
        if let Some(allotment) = self.teams.get_mut(key) {
            allotment.used = allotment.used.minus(size);
        }
    }

    /// Counts a task that begins to wait.
    pub fn enqueue(&mut self, key: TeamKey) {
        if let Some(allotment) = self.teams.get_mut(key) {
            allotment.queued += 1;
        }
    }

    /// Counts a task that waits no longer.
    pub fn dequeue(&mut self, key: TeamKey) {
        if let Some(allotment) = self.teams.get_mut(key) {
            allotment.queued -= 1;
        }
    }

    /// Returns the team's part of all slots allotted here, from 0 to 1.
    #[must_use]
    pub fn share(&self, key: TeamKey) -> f64 {
        let slots = self.teams.get(key).map_or(0, |a| a.limit.slots);
        f64::from(slots) / self.slots.max(1) as f64
    }

    /// Forgets all turns, since nothing waits any more.
    pub const fn restart(&mut self) {
        self.period += 1;
    }

    /// Returns when the work that the team has queued would be served at the team's own rate.
    #[must_use]
    pub fn turn(&self, key: TeamKey, now: Millis) -> Millis {
        let allotment = self.teams.get(key);
        let current = allotment.filter(|a| a.period == self.period);
        current.map_or(now, |a| a.turn.max(now))
    }

    /// Puts the team's turn off by the time that `work` takes at the team's own rate.
    ///
    /// `work` is in milliseconds of all VMs.
    pub fn charge(&mut self, key: TeamKey, work: f64, now: Millis) {
        let share = self.share(key);
        let turn = self.turn(key, now) + span(work, share);
        if let Some(allotment) = self.teams.get_mut(key) {
            allotment.turn = turn.min(now + TURN_LIMIT);
            allotment.period = self.period;
        }
    }

    /// Takes a charge back for work that will not run.
    pub fn refund(&mut self, key: TeamKey, work: f64) {
        let share = self.share(key);
        if let Some(allotment) = self.teams.get_mut(key) {
            allotment.turn = allotment.turn - span(work, share);
        }
    }
}

fn span(work: f64, share: f64) -> Millis {
    if share > 0.0 {
        Millis((work / share) as u64)
    } else {
        Millis::ZERO
    }
}

/// The whole quota of one team and the pieces lent to nodes.
#[derive(Clone, Debug)]
pub struct Lender {
    total: Size,
    lent: Size,
    /// Sorted by node.
    pieces: Vec<(NodeId, Size)>,
}

impl Lender {
    /// Returns a lender that has lent nothing.
    #[must_use]
    pub const fn new(total: Size) -> Self {
        Self {
            total,
            lent: Size::ZERO,
            pieces: Vec::new(),
        }
    }

    /// Returns what has been lent to all nodes together.
    #[must_use]
    pub const fn lent(&self) -> &Size {
        &self.lent
    }

    /// Lends a piece to a node, or returns none when that much is not left.
    pub fn lend(&mut self, node: &NodeId, piece: Size) -> Option<Size> {
        if !piece.fits(&self.total.minus(&self.lent)) {
            return None;
        }
        self.lent = self.lent.plus(&piece);
        match self.pieces.binary_search_by(|entry| entry.0.cmp(node)) {
            Ok(index) => self.pieces[index].1 = self.pieces[index].1.plus(&piece),
            Err(index) => self.pieces.insert(index, (node.clone(), piece)),
        }
        Some(piece)
    }

    /// Takes a piece back; never more than the node has.
    pub fn take_back(&mut self, node: &NodeId, piece: Size) -> Size {
        let Ok(index) = self.pieces.binary_search_by(|entry| entry.0.cmp(node)) else {
            return Size::ZERO;
        };
        let had = self.pieces[index].1;
        let left = had.minus(&piece);
        let back = had.minus(&left);
        self.pieces[index].1 = left;
        self.lent = self.lent.minus(&back);
        back
    }
}
