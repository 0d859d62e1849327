//! Queues tasks and places them on VMs.
//!
//! The scheduler is a data structure without timers: callers pass the current time. A task that
//! cannot start at once is queued. [`Scheduler::place_next`] places queued tasks as capacity
//! becomes available, and [`Scheduler::expire`] removes tasks whose start deadline has passed. Run
//! times measured by [`Scheduler::finish`] replace the run times declared in documents.

mod accounting;
mod class;
mod demand;
mod load;
mod queue;
mod reservation;
mod selection;

pub use load::Load;

use compact_str::CompactString;
use slotmap::{SecondaryMap, new_key_type};

use crate::fate::Reason;
use crate::fleet::{Fleet, Hold, HoldKey, VmKey};
use crate::id::{Service, VmId};
use crate::plugin::{PolicySet, TaskSpec};
use crate::quota::{Quotas, TeamKey};
use crate::run_time::RunTimeHistogram;
use crate::time::Millis;

use class::{ClassKey, Classes};
use demand::Demand;
use queue::{Queue, QueuedTask};
use reservation::Reservation;

/// Maximum number of VMs that one call of [`Scheduler::place_next`] scans before it leaves the
/// remaining classes to the next call.
const MAX_SCANNED: u32 = 16_384;

new_key_type! {
    /// Identifies a queued task in a [`Scheduler`].
    pub struct PendingKey;
}

/// A task that is to be placed on a VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingTask {
    /// Service that the task belongs to.
    pub service: Service,
    /// Class within the service.
    pub class: CompactString,
    /// Resources and properties of the task.
    pub spec: TaskSpec,
    /// Time of arrival.
    pub arrived: Millis,
    /// Latest time at which the task may start.
    pub deadline: Millis,
}

/// The result of placing a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// Key of the VM.
    pub vm: VmKey,
    /// Name of the VM.
    pub id: VmId,
    /// Capacity held for the task; [`Scheduler::finish`] or [`Scheduler::release`] returns it.
    pub hold: HoldKey,
    /// Score of the chosen VM.
    pub score: f64,
    /// Number of VMs considered.
    pub considered: u32,
    /// Number of VMs ruled out.
    pub ruled_out: u32,
}

/// The result of [`Scheduler::submit`].
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitOutcome {
    /// Capacity is held; the task can start now.
    Placed(Placement),
    /// The task is queued.
    Queued(PendingKey),
    /// The task was refused and will not start.
    Refused(Reason),
}

/// The class and the team that a hold counts against.
#[derive(Clone, Copy, Debug)]
struct Attribution {
    class: ClassKey,
    team: Option<TeamKey>,
    /// Work charged to the team when the task was queued; zero if it never was.
    charged_work: f64,
}

/// The queue, the fleet and the policy of one node.
#[derive(Debug)]
pub struct Scheduler {
    fleet: Fleet,
    policy: PolicySet,
    quotas: Quotas,
    classes: Classes,
    queue: Queue,
    demand: Demand,
    reservation: Reservation,
    attributions: SecondaryMap<HoldKey, Attribution>,
    load: Load,
}

impl Scheduler {
    /// Creates a scheduler without VMs.
    #[must_use]
    pub fn new(policy: PolicySet) -> Self {
        Self {
            fleet: Fleet::default(),
            policy,
            quotas: Quotas::default(),
            classes: Classes::default(),
            queue: Queue::default(),
            demand: Demand::default(),
            reservation: Reservation::default(),
            attributions: SecondaryMap::new(),
            load: Load::default(),
        }
    }

    /// Returns the VMs that this node owns.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the VMs that this node owns, for changes of ownership.
    pub const fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Returns the quotas of the teams on this node.
    #[must_use]
    pub const fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Returns the quotas of the teams on this node, for changes.
    pub const fn quotas_mut(&mut self) -> &mut Quotas {
        &mut self.quotas
    }

    /// Returns the load that the last decision was based on.
    #[must_use]
    pub const fn load(&self) -> &Load {
        &self.load
    }

    /// Returns a queued task.
    #[must_use]
    pub fn pending(&self, key: PendingKey) -> Option<&PendingTask> {
        self.queue.get(key).map(|queued| &queued.task)
    }

    /// Returns the run times measured for a class.
    pub fn run_times(&mut self, service: &Service, class: &str) -> &RunTimeHistogram {
        let key = self.classes.get_or_insert(service, class);
        self.classes.run_times(key)
    }

    /// Places a task at once, queues it or refuses it.
    pub fn submit(&mut self, mut task: PendingTask, now: Millis) -> SubmitOutcome {
        self.collect_orphans();
        let class = self.classes.get_or_insert(&task.service, &task.class);
        self.classes.apply_measured(class, &mut task.spec);
        let team = self.quotas.team(&task.service);
        if self.queue.len() == 0 {
            self.quotas.start_busy_period();
        }
        self.update_task_load(&task.spec, class, team, now);
        for admission in &self.policy.admissions {
            if let Err(reason) = admission.admit(&task, &self.load, now) {
                return SubmitOutcome::Refused(reason);
            }
        }
        let work = self.expected_work(&task.spec);
        self.demand.add(&task.spec, work, now);
        // An empty queue of its own class suffices: tasks queued in other classes cannot use the
        // capacity that is free now.
        if self.load.class_queued == 0
            && let Ok(placement) = self.place(&task.spec, class, team, now)
        {
            return SubmitOutcome::Placed(placement);
        }
        let order = self.policy.orders.first();
        let rank = order.map_or(0, |order| order.sort_key(&task, &self.load));
        if let Some(key) = team {
            self.quotas.charge(key, work, now);
            self.quotas.enqueue(key);
        }
        let in_backlog = self.fleet.totals().fits_accepting_vm(&task.spec.size)
            && team.is_none_or(|key| self.quotas.admits(key, &task.spec.size));
        let queued = QueuedTask {
            task,
            class,
            team,
            work,
            in_backlog,
        };
        SubmitOutcome::Queued(self.queue.push(queued, rank))
    }

    /// Removes the first queued task that can start and places it.
    pub fn place_next(&mut self, now: Millis) -> Option<(PendingKey, PendingTask, Placement)> {
        self.collect_orphans();
        self.update_load(now);
        let mut scanned = 0;
        let mut index = 0;
        while let Some(head) = self.queue.head(index)
            && scanned < MAX_SCANNED
        {
            index += 1;
            if self.is_blocked(head, now) {
                continue;
            }
            let queued = self.queue.get(head.key)?;
            let spec = queued.task.spec;
            let team = queued.team;
            match self.place(&spec, head.class, team, now) {
                Ok(placement) => {
                    let queued = self.dequeue(head.key)?;
                    if let Some(attribution) = self.attributions.get_mut(placement.hold) {
                        attribution.charged_work = queued.work;
                    }
                    return Some((head.key, queued.task, placement));
                }
                Err(selection) => {
                    scanned += selection.considered;
                    self.block_class(head, now);
                }
            }
        }
        None
    }

    /// Removes a task from the queue, for example after its caller disconnected.
    pub fn withdraw(&mut self, key: PendingKey) -> Option<PendingTask> {
        let queued = self.dequeue(key)?;
        if let Some(team) = queued.team {
            self.quotas.refund(team, queued.work);
        }
        Some(queued.task)
    }

    /// Removes all tasks whose start deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<(PendingKey, PendingTask)> {
        let mut expired = Vec::new();
        while let Some(key) = self.queue.first_expired(now) {
            expired.extend(self.withdraw(key).map(|task| (key, task)));
        }
        expired
    }

    /// Releases the capacity of a finished task and records its run time.
    pub fn finish(&mut self, hold: HoldKey, now: Millis) -> Option<Hold> {
        let attribution = self.attributions.get(hold).copied();
        let held = self.release(hold)?;
        if let Some(attribution) = attribution {
            let run_time = now.since(held.since);
            self.classes.record(attribution.class, run_time);
            self.adjust_charge(&attribution, &held, run_time, now);
        }
        Some(held)
    }

    /// Releases the capacity of a task that failed or was cut; its run time is not recorded.
    pub fn release(&mut self, hold: HoldKey) -> Option<Hold> {
        self.collect_orphans();
        let held = self.fleet.release(hold)?;
        self.remove_attribution(hold, &held);
        Some(held)
    }

    /// Counts an adopted hold against its class and its team's quota.
    pub fn attribute(&mut self, hold: HoldKey, service: &Service, class: &str) {
        let Some(held) = self.fleet.get_hold(hold).copied() else {
            return;
        };
        self.remove_attribution(hold, &held);
        let class = self.classes.get_or_insert(service, class);
        let team = self.quotas.team(service);
        self.add_attribution(hold, &held, class, team);
    }

    /// Places all tasks of a gang, or none of them.
    pub fn place_gang(
        &mut self,
        task: &PendingTask,
        count: u32,
        now: Millis,
    ) -> Option<Vec<Placement>> {
        self.collect_orphans();
        let class = self.classes.get_or_insert(&task.service, &task.class);
        let mut spec = task.spec;
        self.classes.apply_measured(class, &mut spec);
        let team = self.quotas.team(&task.service);
        self.update_task_load(&spec, class, team, now);
        let mut gang = Vec::with_capacity(count as usize);
        for _ in 0..count {
            match self.place(&spec, class, team, now) {
                Ok(placement) => gang.push(placement),
                Err(_) => {
                    for placement in &gang {
                        self.release(placement.hold);
                    }
                    return None;
                }
            }
        }
        Some(gang)
    }
}

fn saturating_u32(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
