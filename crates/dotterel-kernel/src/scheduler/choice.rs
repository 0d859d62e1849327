//! The choice of a VM for one task.

use crate::fleet::{Fleet, VmKey};
use crate::plugin::{Ask, Candidate, PolicySet, Scan};

use super::Load;
use super::class::Peers;

/// VMs of one sort that are scored for one decision; the index offers the likely best ones first.
const SCORED_LIMIT: u32 = 32;
/// VMs of one sort that are looked at for one decision.
const LOOKED_LIMIT: u32 = 4096;

/// What a look through the VMs brought.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Choice {
    pub(super) best: Option<(f64, VmKey)>,
    pub(super) considered: u32,
    pub(super) ruled_out: u32,
}

/// Looks for the best VM; `kept` is one that is kept clear for another task, `peers` are those that
/// run tasks of the same service.
pub(super) fn choose(
    fleet: &Fleet,
    policy: &PolicySet,
    load: &Load,
    ask: &Ask,
    kept: Option<VmKey>,
    peers: &Peers,
) -> Choice {
    let mut choice = Choice::default();
    let sorts = [false, true];
    for accelerated in &sorts[usize::from(ask.size.accelerators > 0)..] {
        let (mut scored, mut looked) = (0, 0);
        let mut look = |(key, vm)| {
            let candidate = Candidate {
                vm,
                room: vm.room(),
                peers: peers.on(key),
                kept: kept == Some(key),
            };
            looked += 1;
            scored += u32::from(choice.consider(policy, load, ask, key, &candidate));
            scored < SCORED_LIMIT && looked < LOOKED_LIMIT
        };
        match policy.scan(ask) {
            Scan::Tight => fleet.tight(*accelerated).all(&mut look),
            Scan::Wide => fleet.wide(*accelerated).all(&mut look),
        };
    }
    choice
}

impl Choice {
    /// Returns true when the VM was scored.
    fn consider(
        &mut self,
        policy: &PolicySet,
        load: &Load,
        ask: &Ask,
        key: VmKey,
        candidate: &Candidate<'_>,
    ) -> bool {
        self.considered += 1;
        let filters = &policy.filters;
        let admitted = ask.size.fits(&candidate.room)
            && filters.iter().all(|f| f.admits(ask, candidate, load));
        if !admitted {
            self.ruled_out += 1;
            return false;
        }
        let scores = policy.scores.iter();
        let score: f64 = scores.map(|s| s.score(ask, candidate, load)).sum();
        if self.best.is_none_or(|(top, _)| score > top) {
            self.best = Some((score, key));
        }
        true
    }
}
