//! Quotas of teams, held in memory.
//!
//! [`Quotas`] holds the part of each team's quota that one node may use; holds on the node count
//! against it. [`QuotaPool`] divides a team's whole quota among the nodes and never grants more
//! than the quota in total.

use slotmap::{SlotMap, new_key_type};

use crate::id::{NodeId, Service, Team};
use crate::size::Size;
use crate::time::Millis;

new_key_type! {
    /// Identifies a team's quota in [`Quotas`].
    pub struct TeamKey;
}

/// The part of a team's quota that this node may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TeamQuota {
    /// The team.
    pub team: Team,
    /// Limit on the capacity that the team's tasks hold on this node.
    pub limit: Size,
    /// Capacity held by the team's tasks.
    pub used: Size,
    /// Number of the team's tasks queued on this node.
    pub queued: u32,
    /// Time at which all work that the team has queued would be served at the team's own rate.
    virtual_finish: Millis,
    /// Busy period to which `virtual_finish` belongs.
    busy_period: u64,
}

/// The quotas of all teams on one node.
#[derive(Clone, Debug, Default)]
pub struct Quotas {
    teams: SlotMap<TeamKey, TeamQuota>,
    /// Sorted by team.
    by_team: Vec<(Team, TeamKey)>,
    /// The team of each service, sorted by service.
    by_service: Vec<(Service, TeamKey)>,
    total_slots: u64,
    /// Number of the current busy period; a new one starts when work arrives at an empty queue.
    busy_period: u64,
}

/// Maximum delay of a team's new work because of its earlier work.
const MAX_VIRTUAL_DELAY: Millis = Millis::secs(3600);

impl Quotas {
    /// Sets a team's limit, which may be lower than the capacity that the team holds now.
    pub fn set(&mut self, team: &Team, limit: Size) -> TeamKey {
        match self.by_team.binary_search_by(|entry| entry.0.cmp(team)) {
            Ok(index) => {
                let key = self.by_team[index].1;
                let team_quota = &mut self.teams[key];
                self.total_slots -= u64::from(team_quota.limit.slots);
                self.total_slots += u64::from(limit.slots);
                team_quota.limit = limit;
                key
            }
            Err(index) => {
                self.total_slots += u64::from(limit.slots);
                let key = self.teams.insert(TeamQuota {
                    team: team.clone(),
                    limit,
                    used: Size::ZERO,
                    queued: 0,
                    virtual_finish: Millis::ZERO,
                    busy_period: 0,
                });
                self.by_team.insert(index, (team.clone(), key));
                key
            }
        }
    }

    /// Counts the work of a service against a team from now on.
    pub fn assign(&mut self, service: &Service, team: TeamKey) {
        match self
            .by_service
            .binary_search_by(|entry| entry.0.cmp(service))
        {
            Ok(index) => self.by_service[index].1 = team,
            Err(index) => self.by_service.insert(index, (service.clone(), team)),
        }
    }

    /// Returns the team that the work of a service counts against, if any.
    #[must_use]
    pub fn team(&self, service: &Service) -> Option<TeamKey> {
        let index = self
            .by_service
            .binary_search_by(|entry| entry.0.cmp(service))
            .ok()?;
        Some(self.by_service[index].1)
    }

    /// Returns a team's quota.
    #[must_use]
    pub fn get(&self, key: TeamKey) -> Option<&TeamQuota> {
        self.teams.get(key)
    }

    /// Iterates over the quotas of all teams.
    pub fn iter(&self) -> impl Iterator<Item = (TeamKey, &TeamQuota)> {
        self.teams.iter()
    }

    /// Returns true if the team may hold `size` in addition.
    #[must_use]
    pub fn admits(&self, key: TeamKey, size: &Size) -> bool {
        let within_limit = |quota: &TeamQuota| size.fits(&quota.limit.minus(&quota.used));
        self.teams.get(key).is_none_or(within_limit)
    }

    /// Counts a hold against the team's limit.
    pub fn acquire(&mut self, key: TeamKey, size: &Size) {
        if let Some(team_quota) = self.teams.get_mut(key) {
            team_quota.used = team_quota.used.plus(size);
        }
    }

    /// Releases a hold.
    pub fn release(&mut self, key: TeamKey, size: &Size) {
        if let Some(team_quota) = self.teams.get_mut(key) {
            team_quota.used = team_quota.used.minus(size);
        }
    }

    /// Counts a task that was queued.
    pub fn enqueue(&mut self, key: TeamKey) {
        if let Some(team_quota) = self.teams.get_mut(key) {
            team_quota.queued += 1;
        }
    }

    /// Counts a task that left the queue.
    pub fn dequeue(&mut self, key: TeamKey) {
        if let Some(team_quota) = self.teams.get_mut(key) {
            team_quota.queued -= 1;
        }
    }

    /// Returns the team's share of the slots of all quotas on this node, from 0 to 1.
    #[must_use]
    pub fn share(&self, key: TeamKey) -> f64 {
        let slots = self.teams.get(key).map_or(0, |quota| quota.limit.slots);
        f64::from(slots) / self.total_slots.max(1) as f64
    }

    /// Starts a new busy period, which resets the virtual finish times of all teams.
    pub const fn start_busy_period(&mut self) {
        self.busy_period += 1;
    }

    /// Returns the time at which the team's queued work would be served at the team's own rate.
    #[must_use]
    pub fn virtual_finish(&self, key: TeamKey, now: Millis) -> Millis {
        let team_quota = self.teams.get(key);
        let current = team_quota.filter(|quota| quota.busy_period == self.busy_period);
        current.map_or(now, |quota| quota.virtual_finish.max(now))
    }

    /// Advances the team's virtual finish time by the time that `work` takes at the team's own
    /// rate.
    ///
    /// `work` is in milliseconds of the whole fleet.
    pub fn charge(&mut self, key: TeamKey, work: f64, now: Millis) {
        let share = self.share(key);
        let virtual_finish = self.virtual_finish(key, now) + service_time(work, share);
        if let Some(team_quota) = self.teams.get_mut(key) {
            team_quota.virtual_finish = virtual_finish.min(now + MAX_VIRTUAL_DELAY);
            team_quota.busy_period = self.busy_period;
        }
    }

    /// Reverts a charge, or a part of it, for work that does not run.
    pub fn refund(&mut self, key: TeamKey, work: f64) {
        let share = self.share(key);
        if let Some(team_quota) = self.teams.get_mut(key) {
            team_quota.virtual_finish = team_quota.virtual_finish - service_time(work, share);
        }
    }
}

fn service_time(work: f64, share: f64) -> Millis {
    if share > 0.0 {
        Millis((work / share) as u64)
    } else {
        Millis::ZERO
    }
}

/// The whole quota of one team and the amounts granted to nodes.
#[derive(Clone, Debug)]
pub struct QuotaPool {
    total: Size,
    granted: Size,
    /// Sorted by node.
    grants: Vec<(NodeId, Size)>,
}

impl QuotaPool {
    /// Creates a pool without grants.
    #[must_use]
    pub const fn new(total: Size) -> Self {
        Self {
            total,
            granted: Size::ZERO,
            grants: Vec::new(),
        }
    }

    /// Returns the total granted to all nodes.
    #[must_use]
    pub const fn granted(&self) -> &Size {
        &self.granted
    }

    /// Grants an amount to a node, or returns none if less than that is left.
    pub fn grant(&mut self, node: &NodeId, amount: Size) -> Option<Size> {
        if !amount.fits(&self.total.minus(&self.granted)) {
            return None;
        }
        self.granted = self.granted.plus(&amount);
        match self.grants.binary_search_by(|entry| entry.0.cmp(node)) {
            Ok(index) => self.grants[index].1 = self.grants[index].1.plus(&amount),
            Err(index) => self.grants.insert(index, (node.clone(), amount)),
        }
        Some(amount)
    }

    /// Reclaims an amount from a node, at most what the node was granted, and returns what was
    /// reclaimed.
    pub fn reclaim(&mut self, node: &NodeId, amount: Size) -> Size {
        let Ok(index) = self.grants.binary_search_by(|entry| entry.0.cmp(node)) else {
            return Size::ZERO;
        };
        let granted_before = self.grants[index].1;
        let remaining = granted_before.minus(&amount);
        let reclaimed = granted_before.minus(&remaining);
        self.grants[index].1 = remaining;
        self.granted = self.granted.minus(&reclaimed);
        reclaimed
    }
}
