//! Setting aside VMs that fail what they start.

use dotterel_kernel::{Millis, VmId};
use serde::{Deserialize, Serialize};

/// How many starts a VM's failure rate is taken over.
const WINDOW: u32 = 20;

/// A VM is not judged on fewer starts than this.
const MIN_STARTS: u32 = 5;

/// A VM is set aside when it fails at least this share of its starts, in percent.
const FAILING_PERCENT: u32 = 50;

/// A VM is set aside only when its rate is at least so many times that of its peers.
const PEER_FACTOR: u64 = 3;

/// At most one VM in so many is set aside; more failing ones point to another cause.
const MAX_SHARE: u32 = 2;

/// The time before the first probe, in milliseconds.
const FIRST_PROBE_MS: u64 = 5_000;

/// The longest time between two probes, in milliseconds.
const LAST_PROBE_MS: u64 = 320_000;

/// How many probes in a row must succeed before a VM takes work again.
const PROBES: u32 = 2;

/// Whether a VM gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionState {
    /// It does.
    Normal,
    /// It gets one task at a time, to see whether it fails it.
    Probe,
    /// It gets none until this time.
    Ejected(Millis),
}

#[derive(Clone, Debug)]
struct History {
    vm: VmId,
    starts: u32,
    failures: u32,
    aside: Option<Aside>,
}

#[derive(Clone, Copy, Debug)]
struct Aside {
    probe_at: Millis,
    wait: Millis,
    passed: u32,
}

/// How a group of VMs did lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// VMs that have started anything.
    pub vms: u32,
    /// How many of them are set aside.
    pub ejected: u32,
    /// Recent starts on the others.
    pub starts: u32,
    /// How many of these starts failed.
    pub failures: u32,
}

impl Health {
    /// Returns the health of both groups together.
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

/// The failure rates of a node's VMs.
///
/// A task may fail through its own fault, so a VM is judged against its peers, which run tasks of
/// the same classes. VMs of other nodes count as peers too, because those of one node may fail
/// together.
#[derive(Clone, Debug, Default)]
pub struct OutlierDetector {
    /// Sorted by VM.
    vms: Vec<History>,
    others: Health,
}

impl OutlierDetector {
    /// Takes in how the VMs of all other nodes did; default when no other node is heard.
    pub const fn set_peer_health(&mut self, others: Health) {
        self.others = others;
    }

    /// Returns how this node's VMs did, for other nodes to hear.
    #[must_use]
    pub fn health(&self) -> Health {
        let vms = self.vms.iter().map(History::health);
        vms.fold(Health::default(), Health::plus)
    }

    /// Counts a task that ended on a VM, and returns the VM's standing afterwards.
    pub fn record_end(&mut self, vm: &VmId, failed: bool, now: Millis) -> EjectionState {
        let place = self.place(vm);
        if self.vms[place].aside.is_some() {
            self.probed(place, failed, now);
        } else {
            self.vms[place].count(failed);
            if failed && self.fails_more(place) {
                self.vms[place].aside = Some(Aside::new(now));
            }
        }
        self.state(vm, now)
    }

    /// Returns whether a VM gets work.
    #[must_use]
    pub fn state(&self, vm: &VmId, now: Millis) -> EjectionState {
        let found = self.position(vm).ok().map(|place| &self.vms[place]);
        match found.and_then(|history| history.aside) {
            None => EjectionState::Normal,
            Some(aside) if now >= aside.probe_at => EjectionState::Probe,
            Some(aside) => EjectionState::Ejected(aside.probe_at),
        }
    }

    /// Notes that a probe was sent, so that no second one is until it ends or a wait is over.
    pub fn probe_started(&mut self, vm: &VmId, now: Millis) {
        let place = self.place(vm);
        if let Some(aside) = &mut self.vms[place].aside {
            aside.probe_at = now + aside.wait;
        }
    }

    /// Forgets a VM.
    pub fn remove(&mut self, vm: &VmId) {
        if let Ok(place) = self.position(vm) {
            self.vms.remove(place);
        }
    }

    fn probed(&mut self, place: usize, failed: bool, now: Millis) {
        let history = &mut self.vms[place];
        let Some(aside) = &mut history.aside else {
            return;
        };
        if failed {
            aside.failed(now);
            return;
        }
        aside.passed += 1;
        aside.probe_at = now;
        if aside.passed >= PROBES {
            history.aside = None;
            history.starts = 0;
            history.failures = 0;
        }
    }

    /// Returns true when a VM fails far more of its starts than its peers do.
    fn fails_more(&self, place: usize) -> bool {
        let own = &self.vms[place];
        if own.starts < MIN_STARTS || own.failures * 100 < own.starts * FAILING_PERCENT {
            return false;
        }
        let all = self.health().plus(self.others);
        if (all.ejected + 1) * MAX_SHARE > all.vms {
            return false;
        }
        let starts = u64::from(all.starts - own.starts);
        let failures = u64::from(all.failures - own.failures);
        // Compares own.failures / own.starts with PEER_FACTOR * failures / starts.
        let (own_failures, own_starts) = (u64::from(own.failures), u64::from(own.starts));
        starts > 0 && own_failures * starts >= PEER_FACTOR * failures * own_starts
    }

    fn place(&mut self, vm: &VmId) -> usize {
        self.position(vm).unwrap_or_else(|place| {
            let history = History {
                vm: vm.clone(),
                starts: 0,
                failures: 0,
                aside: None,
            };
            self.vms.insert(place, history);
            place
        })
    }

    fn position(&self, vm: &VmId) -> Result<usize, usize> {
        self.vms.binary_search_by(|it| it.vm.cmp(vm))
    }
}

impl History {
    const fn health(&self) -> Health {
        if self.aside.is_some() {
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

    /// Counts a start; older starts weigh less and less.
    const fn count(&mut self, failed: bool) {
        if self.starts >= WINDOW {
            self.starts /= 2;
            self.failures /= 2;
        }
        self.starts += 1;
        self.failures += failed as u32;
    }
}

impl Aside {
    const fn new(now: Millis) -> Self {
        Self {
            probe_at: Millis(now.0 + FIRST_PROBE_MS),
            wait: Millis(FIRST_PROBE_MS),
            passed: 0,
        }
    }

    fn failed(&mut self, now: Millis) {
        self.passed = 0;
        self.wait = Millis((self.wait.0 * 2).min(LAST_PROBE_MS));
        self.probe_at = now + self.wait;
    }
}
