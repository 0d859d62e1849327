//! Selects a VM for one task.

use crate::fleet::{Fleet, VmKey};
use crate::plugin::{Candidate, PolicySet, ScanOrder, TaskSpec};

use super::Load;
use super::class::ReplicaCounts;

/// Maximum number of VMs scored per decision, separately for VMs with and without accelerators. The
/// index returns the VMs that are likely to score highest first.
const MAX_SCORED: u32 = 32;
/// Maximum number of VMs scanned per decision, separately for VMs with and without accelerators.
const MAX_SCANNED: u32 = 4096;

/// The result of a scan over the VMs.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Selection {
    pub(super) best: Option<(f64, VmKey)>,
    pub(super) considered: u32,
    pub(super) ruled_out: u32,
}

/// Selects the VM with the highest score.
///
/// `reserved` is a VM reserved for another class; `replicas` counts the long tasks of the same
/// class on each VM.
pub(super) fn select_vm(
    fleet: &Fleet,
    policy: &PolicySet,
    load: &Load,
    spec: &TaskSpec,
    reserved: Option<VmKey>,
    replicas: &ReplicaCounts,
) -> Selection {
    let mut selection = Selection::default();
    let accelerator_groups = [false, true];
    for accelerated in &accelerator_groups[usize::from(spec.size.accelerators > 0)..] {
        let (mut scored, mut scanned) = (0, 0);
        let mut evaluate = |(key, vm)| {
            let candidate = Candidate {
                vm,
                available: vm.available(),
                replicas: replicas.count_on(key),
                reserved: reserved == Some(key),
            };
            scanned += 1;
            scored += u32::from(selection.evaluate_candidate(policy, load, spec, key, &candidate));
            scored < MAX_SCORED && scanned < MAX_SCANNED
        };
        match policy.scan_order(spec) {
            ScanOrder::FullestFirst => fleet.fullest_first(*accelerated).all(&mut evaluate),
            ScanOrder::EmptiestFirst => fleet.emptiest_first(*accelerated).all(&mut evaluate),
        };
    }
    selection
}

impl Selection {
    /// Returns true if the VM was scored.
    fn evaluate_candidate(
        &mut self,
        policy: &PolicySet,
        load: &Load,
        spec: &TaskSpec,
        key: VmKey,
        candidate: &Candidate<'_>,
    ) -> bool {
        self.considered += 1;
        let filters = &policy.filters;
        let feasible = spec.size.fits(&candidate.available)
            && filters.iter().all(|f| f.admits(spec, candidate, load));
        if !feasible {
            self.ruled_out += 1;
            return false;
        }
        let scores = policy.scores.iter();
        let score: f64 = scores.map(|s| s.score(spec, candidate, load)).sum();
        if self.best.is_none_or(|(best_score, _)| score > best_score) {
            self.best = Some((score, key));
        }
        true
    }
}
