//! Queues of waiting tasks and the selection of a VM for each.
//!
//! The scheduler is a plain data structure without timers: callers pass the time in. A task that
//! cannot start at once waits in the queue; [`Scheduler::place_next`] hands out queued tasks as room
//! appears and [`Scheduler::expire`] those whose start deadline has passed. What
//! [`Scheduler::finish`] is told of run times replaces what documents declare.

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

/// VMs that one call of [`Scheduler::place_next`] looks at before it leaves the rest to the next call.
const MAX_SCANNED: u32 = 16_384;

new_key_type! {
    /// Names one waiting task in a [`Scheduler`].
    pub struct PendingKey;
}

/// A task that asks for a start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingTask {
    /// Its service.
    pub service: Service,
    /// Its class within the service.
    pub class: CompactString,
    /// What it asks for.
    pub spec: TaskSpec,
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
pub enum SubmitOutcome {
    /// Capacity is set apart; the task can start now.
    Placed(Placement),
    /// The task waits.
    Queued(PendingKey),
    /// The task is not going to start.
    Refused(Reason),
}

/// What a hold counts against.
#[derive(Clone, Copy, Debug)]
struct Attribution {
    class: ClassKey,
    team: Option<TeamKey>,
    /// Work that was charged_work to the team before the start.
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
    /// Returns a scheduler without VMs.
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

    /// Returns the owned VMs.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Returns the owned VMs for changes of ownership.
    pub const fn fleet_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }

    /// Returns the teams' allotments.
    #[must_use]
    pub const fn quotas(&self) -> &Quotas {
        &self.quotas
    }

    /// Returns the teams' allotments for changes.
    pub const fn quotas_mut(&mut self) -> &mut Quotas {
        &mut self.quotas
    }

    /// Returns the load that the last decision was based on.
    #[must_use]
    pub const fn load(&self) -> &Load {
        &self.load
    }

    /// Returns a waiting task.
    #[must_use]
    pub fn pending(&self, key: PendingKey) -> Option<&PendingTask> {
        self.queue.get(key).map(|queued| &queued.task)
    }

    /// Returns the run times learned of a class.
    pub fn run_times(&mut self, service: &Service, class: &str) -> &RunTimeHistogram {
        let key = self.classes.get_or_insert(service, class);
        self.classes.run_times(key)
    }

    /// Places a task now, queues it or refuses it.
    pub fn submit(&mut self, mut task: PendingTask, now: Millis) -> SubmitOutcome {
        self.collect_orphans();
        let class = self.classes.get_or_insert(&task.service, &task.class);
        self.classes.apply_learned(class, &mut task.spec);
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
        // Queued tasks of other classes could not use the present room.
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

    /// Takes the next queued task that can start, with its placement.
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

    /// Takes a task out of the queue, for example because its caller left.
    pub fn withdraw(&mut self, key: PendingKey) -> Option<PendingTask> {
        let queued = self.dequeue(key)?;
        if let Some(team) = queued.team {
            self.quotas.refund(team, queued.work);
        }
        Some(queued.task)
    }

    /// Takes out all tasks whose start deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<(PendingKey, PendingTask)> {
        let mut expired = Vec::new();
        while let Some(key) = self.queue.first_expired(now) {
            expired.extend(self.withdraw(key).map(|task| (key, task)));
        }
        expired
    }

    /// Gives the capacity of a finished task back and learns its run time.
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

    /// Gives the capacity of a task back that failed or was cut, so that its run time says nothing.
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

    /// Places all tasks of a gang at once, or none.
    pub fn place_gang(
        &mut self,
        task: &PendingTask,
        count: u32,
        now: Millis,
    ) -> Option<Vec<Placement>> {
        self.collect_orphans();
        let class = self.classes.get_or_insert(&task.service, &task.class);
        let mut spec = task.spec;
        self.classes.apply_learned(class, &mut spec);
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
