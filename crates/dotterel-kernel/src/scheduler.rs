//! Queues of waiting tasks and the choice of a VM for each.
//!
//! The scheduler is a plain data structure without timers: callers pass the time in. A task that
//! cannot start at once waits in the queue; [`Scheduler::next`] hands out queued tasks as room
//! appears and [`Scheduler::expire`] those whose start deadline has passed. What
//! [`Scheduler::finish`] is told of run times replaces what documents declare.

mod book;
mod choice;
mod class;
mod clearing;
mod demand;
mod load;
mod queue;

pub use load::Load;

use compact_str::CompactString;
use slotmap::{SecondaryMap, new_key_type};

use crate::fate::Reason;
use crate::fleet::{Fleet, Hold, HoldKey, VmKey};
use crate::id::{Service, VmId};
use crate::plugin::{Ask, PolicySet};
use crate::quota::{Quotas, TeamKey};
use crate::runtime::Runtimes;
use crate::time::Millis;

use class::{ClassKey, Classes};
use clearing::Clearing;
use demand::Demand;
use queue::{Item, Queue};

/// VMs that one call of [`Scheduler::next`] looks at before it leaves the rest to the next call.
const LOOKED_LIMIT: u32 = 16_384;

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

/// What a hold counts against.
#[derive(Clone, Copy, Debug)]
struct Tag {
    class: ClassKey,
    team: Option<TeamKey>,
    /// Work that was charged to the team before the start.
    charged: f64,
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
    clearing: Clearing,
    tags: SecondaryMap<HoldKey, Tag>,
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
            clearing: Clearing::default(),
            tags: SecondaryMap::new(),
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
    pub fn waiting(&self, key: WaitKey) -> Option<&Waiting> {
        self.queue.get(key).map(|item| &item.task)
    }

    /// Returns the run times learned of a class.
    pub fn runtimes(&mut self, service: &Service, class: &str) -> &Runtimes {
        let key = self.classes.key(service, class);
        self.classes.runtimes(key)
    }

    /// Places a task now, queues it or refuses it.
    pub fn submit(&mut self, mut task: Waiting, now: Millis) -> Submit {
        self.settle();
        let class = self.classes.key(&task.service, &task.class);
        self.classes.correct(class, &mut task.ask);
        let team = self.quotas.team(&task.service);
        if self.queue.len() == 0 {
            self.quotas.restart();
        }
        self.observe(&task.ask, class, team, now);
        for admission in &self.policy.admissions {
            if let Err(reason) = admission.judge(&task, &self.load, now) {
                return Submit::Refused(reason);
            }
        }
        let work = self.work(&task.ask);
        self.demand.add(&task.ask, work, now);
        // Queued tasks of other classes could not use the present room.
        if self.load.class_queued == 0
            && let Ok(placement) = self.place(&task.ask, class, team, now)
        {
            return Submit::Placed(placement);
        }
        let order = self.policy.orders.first();
        let rank = order.map_or(0, |order| order.key(&task, &self.load));
        if let Some(key) = team {
            self.quotas.charge(key, work, now);
            self.quotas.enqueue(key);
        }
        let competes = self.fleet.totals().could_start(&task.ask.size)
            && team.is_none_or(|key| self.quotas.admits(key, &task.ask.size));
        let item = Item {
            task,
            class,
            team,
            work,
            competes,
        };
        Submit::Queued(self.queue.push(item, rank))
    }

    /// Takes the next queued task that can start, with its placement.
    pub fn next(&mut self, now: Millis) -> Option<(WaitKey, Waiting, Placement)> {
        self.settle();
        self.refresh(now);
        let mut looked = 0;
        let mut index = 0;
        while let Some(head) = self.queue.head(index)
            && looked < LOOKED_LIMIT
        {
            index += 1;
            if self.is_blocked(head, now) {
                continue;
            }
            let item = self.queue.get(head.key)?;
            let ask = item.task.ask;
            let team = item.team;
            match self.place(&ask, head.class, team, now) {
                Ok(placement) => {
                    let item = self.dequeue(head.key)?;
                    if let Some(tag) = self.tags.get_mut(placement.hold) {
                        tag.charged = item.work;
                    }
                    return Some((head.key, item.task, placement));
                }
                Err(choice) => {
                    looked += choice.considered;
                    self.pass_over(head, now);
                }
            }
        }
        None
    }

    /// Takes a task out of the queue, for example because its caller left.
    pub fn withdraw(&mut self, key: WaitKey) -> Option<Waiting> {
        let item = self.dequeue(key)?;
        if let Some(team) = item.team {
            self.quotas.refund(team, item.work);
        }
        Some(item.task)
    }

    /// Takes out all tasks whose start deadline has passed.
    pub fn expire(&mut self, now: Millis) -> Vec<(WaitKey, Waiting)> {
        let mut expired = Vec::new();
        while let Some(key) = self.queue.late(now) {
            expired.extend(self.withdraw(key).map(|task| (key, task)));
        }
        expired
    }

    /// Gives the capacity of a finished task back and learns its run time.
    pub fn finish(&mut self, hold: HoldKey, now: Millis) -> Option<Hold> {
        let tag = self.tags.get(hold).copied();
        let held = self.release(hold)?;
        if let Some(tag) = tag {
            let span = now.since(held.since);
            self.classes.record(tag.class, span);
            self.settle_charge(&tag, &held, span, now);
        }
        Some(held)
    }

    /// Gives the capacity of a task back that failed or was cut, so that its run time says nothing.
    pub fn release(&mut self, hold: HoldKey) -> Option<Hold> {
        self.settle();
        let held = self.fleet.release(hold)?;
        self.untag(hold, &held);
        Some(held)
    }

    /// Counts an adopted hold against its class and its team's quota.
    pub fn attribute(&mut self, hold: HoldKey, service: &Service, class: &str) {
        let Some(held) = self.fleet.held(hold).copied() else {
            return;
        };
        self.untag(hold, &held);
        let class = self.classes.key(service, class);
        let team = self.quotas.team(service);
        self.tag(hold, &held, class, team);
    }

    /// Places all tasks of a gang at once, or none.
    pub fn place_gang(
        &mut self,
        task: &Waiting,
        count: u32,
        now: Millis,
    ) -> Option<Vec<Placement>> {
        self.settle();
        let class = self.classes.key(&task.service, &task.class);
        let mut ask = task.ask;
        self.classes.correct(class, &mut ask);
        let team = self.quotas.team(&task.service);
        self.observe(&ask, class, team, now);
        let mut gang = Vec::with_capacity(count as usize);
        for _ in 0..count {
            match self.place(&ask, class, team, now) {
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

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
