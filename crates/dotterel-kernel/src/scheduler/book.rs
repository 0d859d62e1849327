//! Placement of single tasks and the books that follow: tags of holds, quotas and the load.

use crate::document::Urgency;
use crate::fleet::{Hold, HoldKey};
use crate::plugin::Ask;
use crate::quota::TeamKey;
use crate::time::Millis;

use super::choice::{Choice, choose};
use super::class::ClassKey;
use super::queue::{Block, Head, Item};
use super::{Placement, Scheduler, Tag, WaitKey, count, demand};

/// How long a blocked class waits for its next try when no capacity came free.
const RETRY: Millis = Millis(50);
/// The longest run time that counts for the demand of a class.
const WORK_LIMIT: Millis = Millis::secs(3600);

impl Scheduler {
    pub(super) fn place(
        &mut self,
        ask: &Ask,
        class: ClassKey,
        team: Option<TeamKey>,
        now: Millis,
    ) -> Result<Placement, Choice> {
        if team.is_some_and(|key| !self.quotas.admits(key, &ask.size)) {
            return Err(Choice::default());
        }
        self.refresh(now);
        let kept = self.clearing.kept(class);
        let peers = self.classes.peers(class);
        let choice = choose(&self.fleet, &self.policy, &self.load, ask, kept, peers);
        let placed = choice.best.and_then(|(score, vm)| {
            let hold = self.fleet.hold(vm, ask.size, ask.long, now)?;
            let id = self.fleet.get(vm)?.id.clone();
            Some((score, vm, hold, id))
        });
        let Some((score, vm, hold, id)) = placed else {
            return Err(choice);
        };
        let held = Hold {
            vm,
            size: ask.size,
            long: ask.long,
            since: now,
        };
        self.tag(hold, &held, class, team);
        self.clearing.placed(class);
        // The peak counts the task just placed, which may end before the next decision.
        self.refresh(now);
        Ok(Placement {
            vm,
            id,
            hold,
            score,
            considered: choice.considered,
            ruled_out: choice.ruled_out,
        })
    }

    pub(super) fn is_blocked(&self, head: Head, now: Millis) -> bool {
        let block = self.queue.block(head.class);
        block.is_some_and(|b| b.gains == self.fleet.gains() && now < b.until)
    }

    /// Notes that a head could not start; one that has waited long gets a VM kept clear.
    pub(super) fn pass_over(&mut self, head: Head, now: Millis) {
        let block = Block {
            gains: self.fleet.gains(),
            until: now + RETRY,
        };
        self.queue.set_block(head.class, Some(block));
        let Some(item) = self.queue.get(head.key) else {
            return;
        };
        let team = item.team;
        if team.is_none_or(|key| self.quotas.admits(key, &item.task.ask.size)) {
            self.clearing
                .consider(head.class, &item.task, &self.fleet, now);
        }
    }

    /// Takes a task out of the queue and out of its team's count.
    pub(super) fn dequeue(&mut self, key: WaitKey) -> Option<Item> {
        let item = self.queue.remove(key)?;
        if let Some(team) = item.team {
            self.quotas.dequeue(team);
        }
        Some(item)
    }

    pub(super) fn tag(
        &mut self,
        hold: HoldKey,
        held: &Hold,
        class: ClassKey,
        team: Option<TeamKey>,
    ) {
        let tag = Tag {
            class,
            team,
            charged: 0.0,
        };
        self.tags.insert(hold, tag);
        self.classes.join(class, held);
        if let Some(key) = team {
            self.quotas.take(key, &held.size);
        }
    }

    pub(super) fn untag(&mut self, hold: HoldKey, held: &Hold) {
        let Some(tag) = self.tags.remove(hold) else {
            return;
        };
        self.classes.leave(tag.class, held);
        if let Some(key) = tag.team {
            self.quotas.give(key, &held.size);
        }
    }

    /// Forgets the holds that went with their VMs.
    pub(super) fn settle(&mut self) {
        while let Some((hold, held)) = self.fleet.take_lost() {
            self.untag(hold, &held);
        }
    }

    /// Returns the expected work of a task in milliseconds of the whole fleet.
    pub(super) fn work(&self, ask: &Ask) -> f64 {
        ask.expected.min(WORK_LIMIT).0 as f64 * self.fleet.totals().share(&ask.size)
    }

    /// Draws up the load as it looks to one task.
    pub(super) fn observe(
        &mut self,
        ask: &Ask,
        class: ClassKey,
        team: Option<TeamKey>,
        now: Millis,
    ) {
        self.refresh(now);
        let totals = self.fleet.totals();
        let outlook = self.demand.outlook(ask, totals, &self.queue, now);
        self.load.class_queued = count(self.queue.waiting(class));
        self.load.holdable = self.fleet.is_empty() || totals.could_hold(&ask.size);
        self.load.quota = team.and_then(|key| self.quotas.get(key)).map(|a| a.limit);
        self.load.turn = team.map_or(now, |key| self.quotas.turn(key, now));
        self.load.team_share = team.map(|key| self.quotas.share(key));
        let allotment = team.and_then(|key| self.quotas.get(key));
        self.load.team_queued = allotment.map_or(self.load.class_queued, |a| a.queued);
        self.load.wait = outlook.wait;
        // A team is served at its own rate at least, whatever others have queued.
        if team.is_some() && ask.urgency != Urgency::Urgent {
            self.load.wait = outlook.wait.min(self.load.turn.since(now));
        }
        self.load.crowding = outlook.crowding;
    }

    pub(super) fn refresh(&mut self, now: Millis) {
        let totals = self.fleet.totals();
        self.load.queued = count(self.queue.len());
        self.load.running = totals.used.slots;
        self.load.slots = totals.capacity.slots;
        self.load.short_peak = self.demand.short_peak(totals, &self.queue, now);
        if let Some(unit) = demand::unit(&self.load.short_peak, self.fleet.unit()) {
            self.fleet.set_unit(unit);
        }
        self.load.short_unit = *self.fleet.unit();
        self.load.short_room = self.fleet.totals().short_room;
    }

    /// Charges the team of a queued task for the difference between expected and real work.
    pub(super) fn settle_charge(&mut self, tag: &Tag, held: &Hold, span: Millis, now: Millis) {
        let Some(team) = tag.team.filter(|_| tag.charged > 0.0) else {
            return;
        };
        let real = span.min(WORK_LIMIT).0 as f64 * self.fleet.totals().share(&held.size);
        if real > tag.charged {
            self.quotas.charge(team, real - tag.charged, now);
        } else {
            self.quotas.refund(team, tag.charged - real);
        }
    }
}
