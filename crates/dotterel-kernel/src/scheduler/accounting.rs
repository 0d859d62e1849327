//! Places single tasks, and updates the attributions of holds, the quotas and the load.

use crate::document::Urgency;
use crate::fleet::{Hold, HoldKey};
use crate::plugin::TaskSpec;
use crate::quota::TeamKey;
use crate::time::Millis;

use super::class::ClassKey;
use super::queue::{Blocked, Head, QueuedTask};
use super::selection::{Selection, select_vm};
use super::{Attribution, PendingKey, Placement, Scheduler, demand, saturating_u32};

/// How long a blocked class waits before its next attempt if no capacity was freed.
const RETRY_INTERVAL: Millis = Millis(50);
/// Cap on the run time that counts towards the work of a task.
const MAX_COUNTED_RUN_TIME: Millis = Millis::secs(3600);

impl Scheduler {
    pub(super) fn place(
        &mut self,
        spec: &TaskSpec,
        class: ClassKey,
        team: Option<TeamKey>,
        now: Millis,
    ) -> Result<Placement, Selection> {
        if team.is_some_and(|key| !self.quotas.admits(key, &spec.size)) {
            return Err(Selection::default());
        }
        self.update_load(now);
        let reserved = self.reservation.avoided_vm(class);
        let replicas = self.classes.replicas(class);
        let selection = select_vm(
            &self.fleet,
            &self.policy,
            &self.load,
            spec,
            reserved,
            replicas,
        );
        let placed = selection.best.and_then(|(score, vm)| {
            let hold = self.fleet.hold(vm, spec.size, spec.is_long, now)?;
            let id = self.fleet.get(vm)?.id.clone();
            Some((score, vm, hold, id))
        });
        let Some((score, vm, hold, id)) = placed else {
            return Err(selection);
        };
        let held = Hold {
            vm,
            size: spec.size,
            is_long: spec.is_long,
            since: now,
        };
        self.add_attribution(hold, &held, class, team);
        self.reservation.release(class);
        // Update the peak now: the new task counts towards it but may end before the next decision.
        self.update_load(now);
        Ok(Placement {
            vm,
            id,
            hold,
            score,
            considered: selection.considered,
            ruled_out: selection.ruled_out,
        })
    }

    pub(super) fn is_blocked(&self, head: Head, now: Millis) -> bool {
        let blocked = self.queue.blocked(head.class);
        blocked.is_some_and(|b| {
            b.capacity_generation == self.fleet.capacity_generation() && now < b.retry_at
        })
    }

    /// Blocks a class whose first task could not start, and reserves a VM if that task is overdue.
    pub(super) fn block_class(&mut self, head: Head, now: Millis) {
        let blocked = Blocked {
            capacity_generation: self.fleet.capacity_generation(),
            retry_at: now + RETRY_INTERVAL,
        };
        self.queue.set_blocked(head.class, Some(blocked));
        let Some(queued) = self.queue.get(head.key) else {
            return;
        };
        let team = queued.team;
        if team.is_none_or(|key| self.quotas.admits(key, &queued.task.spec.size)) {
            self.reservation
                .reserve_if_overdue(head.class, &queued.task, &self.fleet, now);
        }
    }

    /// Removes a task from the queue and from its team's count of queued tasks.
    pub(super) fn dequeue(&mut self, key: PendingKey) -> Option<QueuedTask> {
        let queued = self.queue.remove(key)?;
        if let Some(team) = queued.team {
            self.quotas.dequeue(team);
        }
        Some(queued)
    }

    pub(super) fn add_attribution(
        &mut self,
        hold: HoldKey,
        held: &Hold,
        class: ClassKey,
        team: Option<TeamKey>,
    ) {
        let attribution = Attribution {
            class,
            team,
            charged_work: 0.0,
        };
        self.attributions.insert(hold, attribution);
        self.classes.add_hold(class, held);
        if let Some(key) = team {
            self.quotas.acquire(key, &held.size);
        }
    }

    pub(super) fn remove_attribution(&mut self, hold: HoldKey, held: &Hold) {
        let Some(attribution) = self.attributions.remove(hold) else {
            return;
        };
        self.classes.remove_hold(attribution.class, held);
        if let Some(key) = attribution.team {
            self.quotas.release(key, &held.size);
        }
    }

    /// Removes the attributions of holds whose VMs were removed.
    pub(super) fn collect_orphans(&mut self) {
        while let Some((hold, held)) = self.fleet.pop_orphan() {
            self.remove_attribution(hold, &held);
        }
    }

    /// Returns the expected work of a task, in milliseconds of the whole fleet.
    pub(super) fn expected_work(&self, spec: &TaskSpec) -> f64 {
        spec.expected_run.min(MAX_COUNTED_RUN_TIME).0 as f64
            * self.fleet.totals().dominant_share(&spec.size)
    }

    /// Updates the load, including the values that depend on the given task.
    pub(super) fn update_task_load(
        &mut self,
        spec: &TaskSpec,
        class: ClassKey,
        team: Option<TeamKey>,
        now: Millis,
    ) {
        self.update_load(now);
        let totals = self.fleet.totals();
        let estimate = self.demand.estimate_wait(spec, totals, &self.queue, now);
        self.load.class_queued = saturating_u32(self.queue.class_len(class));
        self.load.fits_any_vm = self.fleet.is_empty() || totals.fits_any_vm(&spec.size);
        self.load.quota = team
            .and_then(|key| self.quotas.get(key))
            .map(|quota| quota.limit);
        self.load.virtual_finish = team.map_or(now, |key| self.quotas.virtual_finish(key, now));
        self.load.team_share = team.map(|key| self.quotas.share(key));
        let team_quota = team.and_then(|key| self.quotas.get(key));
        self.load.team_queued = team_quota.map_or(self.load.class_queued, |quota| quota.queued);
        self.load.expected_wait = estimate.wait;
        // A team is served at least at its own rate, however much work others have queued.
        if team.is_some() && spec.urgency != Urgency::Urgent {
            self.load.expected_wait = estimate.wait.min(self.load.virtual_finish.since(now));
        }
        self.load.urgent_load = estimate.urgent_load;
    }

    pub(super) fn update_load(&mut self, now: Millis) {
        let totals = self.fleet.totals();
        self.load.queued = saturating_u32(self.queue.len());
        self.load.running = totals.used.slots;
        self.load.slots = totals.capacity.slots;
        self.load.short_peak = self.demand.short_peak(totals, &self.queue, now);
        if let Some(size) =
            demand::typical_task_size(&self.load.short_peak, self.fleet.short_task_size())
        {
            self.fleet.set_short_task_size(size);
        }
        self.load.short_task_size = *self.fleet.short_task_size();
        self.load.short_task_capacity = self.fleet.totals().short_task_capacity;
    }

    /// Corrects the charge of a task that was queued by the difference between actual and expected
    /// work.
    pub(super) fn adjust_charge(
        &mut self,
        attribution: &Attribution,
        held: &Hold,
        run_time: Millis,
        now: Millis,
    ) {
        let Some(team) = attribution.team.filter(|_| attribution.charged_work > 0.0) else {
            return;
        };
        let actual_work = run_time.min(MAX_COUNTED_RUN_TIME).0 as f64
            * self.fleet.totals().dominant_share(&held.size);
        if actual_work > attribution.charged_work {
            self.quotas
                .charge(team, actual_work - attribution.charged_work, now);
        } else {
            self.quotas
                .refund(team, attribution.charged_work - actual_work);
        }
    }
}
