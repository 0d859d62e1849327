//! Ejection of VMs that fail their tasks.

use dotterel_kernel::{Millis, VmId};
use serde::{Deserialize, Serialize};

/// The number of starts at which a VM's counts are halved, so that recent starts weigh more.
const WINDOW_STARTS: u32 = 20;

/// The minimum number of starts before a VM may be ejected.
const MIN_STARTS: u32 = 5;

/// The minimum share of failed starts for an ejection, in percent.
const MIN_FAILURE_PERCENT: u32 = 50;

/// The minimum ratio of a VM's failure rate to that of its peers for an ejection.
const MIN_PEER_RATIO: u64 = 3;

/// At most one in this many VMs is ejected; if more fail, the VMs are not the likely cause.
const VMS_PER_EJECTION: u32 = 2;

/// The time from ejection to the first probe, in milliseconds.
const MIN_PROBE_INTERVAL_MS: u64 = 5_000;

/// The maximum interval between two probes, in milliseconds.
const MAX_PROBE_INTERVAL_MS: u64 = 320_000;

/// The number of consecutive successful probes before a VM gets normal work again.
const REQUIRED_PROBES: u32 = 2;

/// Whether a VM gets new tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// The VM gets tasks as usual.
    Normal,
    /// The VM gets one task at a time as a probe.
    Probe,
    /// The VM gets no tasks until this time.
    Ejected(Millis),
}

#[derive(Clone, Debug)]
struct VmHistory {
    vm: VmId,
    starts: u32,
    failures: u32,
    ejection: Option<Ejection>,
}

#[derive(Clone, Copy, Debug)]
struct Ejection {
    probe_at: Millis,
    interval: Millis,
    succeeded: u32,
}

/// Recent failure counts of a group of VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The number of VMs that have started a task.
    pub vms: u32,
    /// The number of these VMs that are ejected.
    pub ejected: u32,
    /// Recent starts on the VMs that are not ejected.
    pub starts: u32,
    /// The number of these starts that failed.
    pub failures: u32,
}

impl Health {
    /// Returns the combined health of both groups.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            vms: self.vms.saturating_add(other.vms),
            ejected: self.ejected.saturating_add(other.ejected),
            starts: self.starts.saturating_add(other.starts),
            failures: self.failures.saturating_add(other.failures),
        }
    }
}

/// Tracks the failure rates of a node's VMs and ejects outliers.
///
/// A task may fail through its own fault, so a VM is compared with its peers, which run tasks of
/// the same classes. VMs of other nodes count as peers too, because all VMs of one node may fail
/// together.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// Sorted by VM identifier.
    vms: Vec<VmHistory>,
    peers: Health,
}

impl OutlierDetector {
    /// Sets the combined health of the VMs of all other nodes; by default there are none.
    pub const fn set_peer_health(&mut self, peers: Health) {
        self.peers = peers;
    }

    /// Returns the combined health of this node's VMs, which is sent to other nodes.
    #[must_use]
    pub fn health(&self) -> Health {
        let vms = self.vms.iter().map(VmHistory::health);
        vms.fold(Health::default(), Health::plus)
    }

    /// Records a task that ended on a VM, and returns the VM's resulting state.
    pub fn record_end(&mut self, vm: &VmId, failed: bool, now: Millis) -> EjectionState {
        let index = self.index_or_insert(vm);
        if self.vms[index].ejection.is_some() {
            self.record_probe(index, failed, now);
        } else {
            self.vms[index].record(failed);
            if failed && self.is_outlier(index) {
                self.vms[index].ejection = Some(Ejection::new(now));
            }
        }
        self.state(vm, now)
    }

    /// Returns whether a VM gets new tasks.
    #[must_use]
    pub fn state(&self, vm: &VmId, now: Millis) -> EjectionState {
        let found = self.position(vm).ok().map(|index| &self.vms[index]);
        match found.and_then(|history| history.ejection) {
            None => EjectionState::Normal,
            Some(ejection) if now >= ejection.probe_at => EjectionState::Probe,
            Some(ejection) => EjectionState::Ejected(ejection.probe_at),
        }
    }

    /// Records that a probe was sent, so that no other is sent until it ends or an interval passes.
    pub fn probe_started(&mut self, vm: &VmId, now: Millis) {
        let index = self.index_or_insert(vm);
        if let Some(ejection) = &mut self.vms[index].ejection {
            ejection.probe_at = now + ejection.interval;
        }
    }

    /// Removes a VM.
    pub fn remove(&mut self, vm: &VmId) {
        if let Ok(index) = self.position(vm) {
            self.vms.remove(index);
        }
    }

    fn record_probe(&mut self, index: usize, failed: bool, now: Millis) {
        let history = &mut self.vms[index];
        let Some(ejection) = &mut history.ejection else {
            return;
        };
        if failed {
            ejection.probe_failed(now);
            return;
        }
        ejection.succeeded += 1;
        ejection.probe_at = now;
        if ejection.succeeded >= REQUIRED_PROBES {
            history.ejection = None;
            history.starts = 0;
            history.failures = 0;
        }
    }

    /// Returns true if a VM's failure rate is far above that of its peers.
    fn is_outlier(&self, index: usize) -> bool {
        let own = &self.vms[index];
        if own.starts < MIN_STARTS || own.failures * 100 < own.starts * MIN_FAILURE_PERCENT {
            return false;
        }
        let all = self.health().plus(self.peers);
        if (all.ejected + 1) * VMS_PER_EJECTION > all.vms {
            return false;
        }
        let starts = u64::from(all.starts - own.starts);
        let failures = u64::from(all.failures - own.failures);
        // Compares own.failures / own.starts with MIN_PEER_RATIO * failures / starts.
        let (own_failures, own_starts) = (u64::from(own.failures), u64::from(own.starts));
        starts > 0 && own_failures * starts >= MIN_PEER_RATIO * failures * own_starts
    }

    fn index_or_insert(&mut self, vm: &VmId) -> usize {
        self.position(vm).unwrap_or_else(|index| {
            let history = VmHistory {
                vm: vm.clone(),
                starts: 0,
                failures: 0,
                ejection: None,
            };
            self.vms.insert(index, history);
            index
        })
    }

    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.vms.binary_search_by(|history| history.vm.cmp(vm))
    }
}

impl VmHistory {
    const fn health(&self) -> Health {
        if self.ejection.is_some() {
            return Health {
                vms: 1,
                ejected: 1,
                starts: 0,
                failures: 0,
            };
        }
        Health {
            vms: 1,
            ejected: 0,
            starts: self.starts,
            failures: self.failures,
        }
    }

    /// Records a start; the weight of older starts decays.
    const fn record(&mut self, failed: bool) {
        if self.starts >= WINDOW_STARTS {
            self.starts /= 2;
            self.failures /= 2;
        }
        self.starts += 1;
        self.failures += failed as u32;
    }
}

impl Ejection {
    const fn new(now: Millis) -> Self {
        Self {
            probe_at: Millis(now.0 + MIN_PROBE_INTERVAL_MS),
            interval: Millis(MIN_PROBE_INTERVAL_MS),
            succeeded: 0,
        }
    }

    fn probe_failed(&mut self, now: Millis) {
        self.succeeded = 0;
        self.interval = Millis((self.interval.0 * 2).min(MAX_PROBE_INTERVAL_MS));
        self.probe_at = now + self.interval;
    }
}
