//! The choice of a VM for one task.

use crate::fleet::{Fleet, VmKey};
use crate::plugin::{Ask, Candidate, PolicySet, Scan};

use super::Load;

/// VMs that are scored for one decision; the index offers the likely best ones first.
const SCORED_LIMIT: u32 = 64;
/// VMs that are looked at for one decision.
const LOOKED_LIMIT: u32 = 4096;

/// What a look through the VMs brought.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Choice {
    pub(super) best: Option<(f64, VmKey)>,
    pub(super) considered: u32,
    pub(super) ruled_out: u32,
}

/// Looks for the best VM; `kept` is a VM that is kept clear for another task.
pub(super) fn choose(
    fleet: &Fleet,
    policy: &PolicySet,
    load: &Load,
    ask: &Ask,
    kept: Option<VmKey>,
) -> Choice {
    let mut choice = Choice::default();
    let mut look = |(key, vm)| {
        let candidate = Candidate {
            vm,
            room: vm.room(),
            kept: kept == Some(key),
        };
        choice.consider(policy, load, ask, key, &candidate);
        choice.is_open()
    };
    // VMs with accelerators come last for work that needs none.
    let slots = ask.size.slots;
    let sorts = [false, true];
    let sorts = &sorts[usize::from(ask.size.accelerators > 0)..];
    for accelerated in sorts {
        let open = match policy.scan(ask) {
            Scan::Tight => fleet.tight(*accelerated, slots).all(&mut look),
            Scan::Wide => fleet.wide(*accelerated, slots).all(&mut look),
        };
        if !open {
            break;
        }
    }
    choice
}

impl Choice {
    fn consider(
        &mut self,
        policy: &PolicySet,
        load: &Load,
        ask: &Ask,
        key: VmKey,
        candidate: &Candidate<'_>,
    ) {
        self.considered += 1;
        let filters = &policy.filters;
        let admitted = ask.size.fits(&candidate.room)
            && filters.iter().all(|f| f.admits(ask, candidate, load));
        if !admitted {
            self.ruled_out += 1;
            return;
        }
        let scores = policy.scores.iter();
        let score: f64 = scores.map(|s| s.score(ask, candidate, load)).sum();
        if self.best.is_none_or(|(top, _)| score > top) {
            self.best = Some((score, key));
        }
    }

    const fn is_open(&self) -> bool {
        let scored = self.considered - self.ruled_out;
        scored < SCORED_LIMIT && self.considered < LOOKED_LIMIT
    }
}
