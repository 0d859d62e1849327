//! Queues of waiting tasks and the choice of a VM for each.
//!
//! The scheduler is a plain data structure without timers: callers pass the time in. A task that
//! cannot start at once waits in the queue; [`Scheduler::next`] hands out queued tasks as room
//! appears and [`Scheduler::expire`] those whose start deadline has passed.

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use crate::fate::Reason;
use crate::fleet::{Fleet, Hold, HoldKey, VmKey};
use crate::id::{Service, VmId};
use crate::plugin::{Ask, Candidate, PolicySet};
use crate::time::Millis;

new_key_type! {
    /// Names one waiting task in a [`Scheduler`].
    pub struct WaitKey;
}

/// A task that asks for a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Its service.
    pub service: Service,
    /// Its class within the service.
    pub class: CompactString,
    /// What it asks for.
    pub ask: Ask,
    /// When it arrived.
    pub arrived: Millis,
    /// When it must have started.
    pub deadline: Millis,
}

/// Where a task was placed.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The VM.
    pub vm: VmKey,
    /// The VM's name.
    pub id: VmId,
    /// The capacity set apart; give it back with [`Scheduler::finish`].
    pub hold: HoldKey,
    /// The winning score.
    pub score: f64,
    /// How many VMs were considered.
    pub considered: u32,
    /// How many VMs were ruled out.
    pub ruled_out: u32,
}

/// The answer to [`Scheduler::submit`].
#[derive(Clone, Debug, PartialEq)]
pub enum Submit {
    /// Capacity is set apart; the task can start now.
    Placed(Placement),
    /// The task waits.
    Queued(WaitKey),
    /// The task is not going to start.
    Refused(Reason),
}

/// What the plug-ins may know of the present load.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Load {
    /// Tasks that wait.
    pub queued: u32,
    /// Tasks that run.
    pub running: u32,
    /// Slots on all owned VMs that accept work.
    pub slots: u32,
}

/// The queue, the fleet and the policy of one node.
#[derive(Debug)]
pub struct Scheduler {
    fleet: Fleet,
    policy: PolicySet,
    waiting: SlotMap<WaitKey, Waiting>,
    /// Order key and arrival number of each waiting task, sorted.
    queue: Vec<(u64, u64, WaitKey)>,
    arrivals: u64,
    load: Load,
}

impl Scheduler {
    /// Returns a scheduler without VMs.
    #[must_use]
    pub fn new(policy: PolicySet) -> Self {
        Self {
            fleet: Fleet::default(),
            policy,
            waiting: SlotMap::with_key(),
            queue: Vec::new(),
            arrivals: 0,
            load: Load::default(),
        }
    }

    /// Returns the owned VMs.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the owned VMs for changes of ownership.
    pub const fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Returns the present load.
    #[must_use]
    pub const fn load(&self) -> &Load {
        &self.load
    }

    /// Returns a waiting task.
    #[must_use]
    pub fn waiting(&self, key: WaitKey) -> Option<&Waiting> {
        self.waiting.get(key)
    }

    /// Places a task now, queues it or refuses it.
    pub fn submit(&mut self, task: Waiting, now: Millis) -> Submit {
        self.refresh();
        for admission in &self.policy.admissions {
            if let Err(reason) = admission.judge(&task, &self.load, now) {
                return Submit::Refused(reason);
            }
        }
        if self.queue.is_empty()
            && let Some(placement) = self.place(&task.ask, now)
        {
            return Submit::Placed(placement);
        }
        Submit::Queued(self.enqueue(task))
    }

    /// Takes the next queued task that can start, with its placement.
    pub fn next(&mut self, now: Millis) -> Option<(WaitKey, Waiting, Placement)> {
        for index in 0..self.queue.len() {
            let (_, _, key) = self.queue[index];
            let ask = self.waiting[key].ask;
            if let Some(placement) = self.place(&ask, now) {
                self.queue.remove(index);
                let task = self.waiting.remove(key)?;
                return Some((key, task, placement));
            }
        }
        None
    }

    /// Takes a task out of the queue, for example because its caller left.
    pub fn withdraw(&mut self, key: WaitKey) -> Option<Waiting> {
        self.queue.retain(|entry| entry.2 != key);
        self.waiting.remove(key)
    }

    /// Takes out all tasks whose start deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<(WaitKey, Waiting)> {
        let late = |key: &WaitKey| self.waiting[*key].deadline < now;
        let keys: Vec<_> = self
            .queue
            .iter()
            .map(|entry| entry.2)
            .filter(late)
            .collect();
        keys.into_iter()
            .filter_map(|key| self.withdraw(key).map(|task| (key, task)))
            .collect()
    }

    /// Gives the capacity of a finished task back.
    pub fn finish(&mut self, hold: HoldKey, _now: Millis) -> Option<Hold> {
        self.fleet.release(hold)
    }

    fn enqueue(&mut self, task: Waiting) -> WaitKey {
        let rank = self
            .policy
            .orders
            .first()
            .map_or(0, |order| order.key(&task));
        self.arrivals += 1;
        let key = self.waiting.insert(task);
        let entry = (rank, self.arrivals, key);
        let index = self
            .queue
            .partition_point(|other| (other.0, other.1) < (entry.0, entry.1));
        self.queue.insert(index, entry);
        key
    }

    fn place(&mut self, ask: &Ask, now: Millis) -> Option<Placement> {
        let mut best: Option<(f64, VmKey)> = None;
        let mut considered = 0;
        let mut ruled_out = 0;
        for (key, vm) in self.fleet.iter() {
            considered += 1;
            let candidate = Candidate {
                vm,
                room: vm.room(),
            };
            if !self.admits(ask, &candidate) {
                ruled_out += 1;
                continue;
            }
            let score: f64 = self
                .policy
                .scores
                .iter()
                .map(|s| s.score(ask, &candidate, &self.load))
                .sum();
            if best.is_none_or(|(top, _)| score > top) {
                best = Some((score, key));
            }
        }
        let (score, vm) = best?;
        let hold = self.fleet.hold(vm, ask.size, ask.long, now)?;
        let id = self.fleet.get(vm)?.id.clone();
        Some(Placement {
            vm,
            id,
            hold,
            score,
            considered,
            ruled_out,
        })
    }

    fn admits(&self, ask: &Ask, candidate: &Candidate<'_>) -> bool {
        candidate.vm.accepting
            && ask.size.fits(&candidate.room)
            && self
                .policy
                .filters
                .iter()
                .all(|f| f.admits(ask, candidate, &self.load))
    }

    fn refresh(&mut self) {
        self.load.queued = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.load.running = self.fleet.iter().map(|(_, vm)| vm.used.slots).sum();
        let accepting = self.fleet.iter().filter(|(_, vm)| vm.accepting);
        self.load.slots = accepting.map(|(_, vm)| vm.capacity.slots).sum();
    }
}
