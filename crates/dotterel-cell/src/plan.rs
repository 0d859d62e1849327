//! Decides which tasks start next, and on which VMs.
//!
//! - [`order`]: the order of the queue.
//! - [`share`]: the order of tenants within a priority.
//! - [`fit`]: selection of a VM for a task.
//! - [`gang`]: tasks that have to run together.
//! - [`rack`]: gangs that work faster within one rack.
//! - [`reserve`]: reservation of capacity for gangs.
//! - [`pace`]: which work gets the faster VMs.
//! - [`preempt`]: preemption of less urgent runs that can resume.
//! - [`straggler`]: runs that take much longer than their peers.
//! - [`avoid`]: VMs on which a task has failed.
//! - [`advice`]: requests to the advice service.
//! - [`caution`]: tasks that may crash their VMs.

use compact_str::CompactString;
use dotterel_kernel::{Millis, Size};

use crate::cell::{CLEARING_TIME, Cell, HeldStart, Order};
use crate::job::{Phase, StepRef};
use crate::spec::{Step, TaskName};
use crate::vm::{Caution, VmKey};

pub mod advice;
pub mod avoid;
pub mod caution;
pub mod fit;
pub mod gang;
pub mod order;
pub mod pace;
pub mod preempt;
pub mod rack;
pub mod reserve;
pub mod share;
pub mod straggler;

/// Queue length that counts as a backlog. Planning a step goes through all VMs that it may use.
const BACKLOG_STEPS: usize = 100;
/// In a backlog, a step that found no capacity is planned again after this time, or when advice
/// arrives.
const STEP_RETRY_INTERVAL: Millis = Millis(15);

/// Time for which other work avoids a VM after the start of a task that may crash it.
const RISKED_TIME: Millis = Millis::secs(5);

/// Returns the capacity that a task of the step occupies on a VM.
#[must_use]
pub(crate) fn occupied_size(step: &Step) -> Size {
    let mut size = step.size;
    if step.best_effort {
        size.milli_cores = 0;
    }
    size
}

/// A VM on which tasks of a step are started that may crash it.
#[derive(Clone, Debug)]
struct RiskedVm {
    vm: VmKey,
    ticket: CompactString,
    caution: Caution,
}

/// Waiting tasks of a step that found no VM.
#[derive(Clone, Copy, Debug, Default)]
struct Unplaced {
    ordinary: u32,
    /// Tasks that may crash their VMs.
    cautious: u32,
}

impl Unplaced {
    const fn total(self) -> u32 {
        self.ordinary + self.cautious
    }

    /// Leaves out the tasks beyond `count`.
    fn limit_to(&mut self, count: u32) {
        self.ordinary = self.ordinary.min(count);
        self.cautious = self.cautious.min(count - self.ordinary);
    }
}

impl Cell {
    /// Starts the tasks that fit, preempts for more urgent ones and requests advice.
    pub fn plan(&mut self, now: Millis) {
        self.plan_needed = false;
        self.prune_open_steps();
        self.held.clear();
        self.collect_reserved(now);
        self.update_risk_budget(now);
        self.update_accounts(now);
        let mut queue = self.ranked_queue(now);
        self.rank_by_share(&mut queue);
        queue.sort_unstable();
        let backlog = queue.len() > BACKLOG_STEPS;
        let may_preempt = !self.has_many_stops();
        let mut preempting_left = if may_preempt {
            preempt::MAX_PREEMPTING_STEPS
        } else {
            0
        };
        let mut gangs = gang::GangQueue::new(may_preempt);
        for (rank, step_ref) in queue {
            let Some((spec, step)) = self.step_spec(step_ref) else {
                continue;
            };
            let step = &spec.steps[step];
            if self.is_capped(step_ref, step) {
                if self.may_start(step_ref) && !rank.is_obsolete() && !rank.is_excess() {
                    self.keep_headroom(step_ref, step);
                }
                continue;
            }
            if !self.may_start(step_ref) {
                self.request_advice_early(step_ref, step, now);
                continue;
            }
            if step.gang {
                let issued = self.issued_stops();
                self.plan_gang(step_ref, step, &mut gangs, now);
                self.note_preemptions(step_ref, issued);
                continue;
            }
            if gangs.blocks_below(rank.priority()) && self.has_slack(step_ref, now) {
                continue;
            }
            if self.planned_recently(step_ref, now) && backlog {
                continue;
            }
            let unplaced = self.place_tasks(step_ref, step, now);
            if unplaced.total() > 0 {
                self.request_more_advice(step_ref, step, unplaced.total(), now);
            }
            let issued = self.issued_stops();
            // Preemption would not free the VMs that tasks under caution need. Nothing is stopped for work
            // beyond its tenant's rate.
            if unplaced.ordinary > 0
                && !rank.is_excess()
                && preempting_left > 0
                && self.preempt_for(step_ref, step, unplaced.ordinary, now)
            {
                preempting_left -= 1;
            }
            self.note_preemptions(step_ref, issued);
        }
    }

    /// Returns true if the step was planned recently; otherwise records the time of this attempt.
    fn planned_recently(&mut self, step_ref: StepRef, now: Millis) -> bool {
        let Some(state) = self.step_state_mut(step_ref) else {
            return true;
        };
        if now.since(state.planned_at) < STEP_RETRY_INTERVAL {
            return true;
        }
        state.planned_at = now;
        false
    }

    fn may_start(&self, step_ref: StepRef) -> bool {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return false;
        };
        // Without a configuration, the caps of tenants are unknown.
        let has_terms = job.tenant.is_none() || self.tenants.is_configured();
        job.stored && has_terms && (!job.restored || self.is_recovered_for(&job.policy.service))
    }

    /// Starts waiting tasks one by one and returns how many tasks found no VM. Those beyond the cap of
    /// their tenant are left out.
    fn place_tasks(&mut self, step_ref: StepRef, step: &Step, now: Millis) -> Unplaced {
        let mut unplaced = Unplaced::default();
        let waiting = self.startable_tasks(step_ref);
        let mut headroom = self.startable_count(step_ref, step);
        let mut none_fits = false;
        let mut risked = None;
        let step_caution = self.step_caution(step_ref, now);
        for index in waiting {
            if headroom == 0 {
                break;
            }
            let task = self
                .step_state(step_ref)
                .map(|state| &state.tasks[index as usize]);
            let caution = match task.filter(|task| task.is_suspect()) {
                Some(suspect) => caution::suspect_caution(suspect, now),
                None => step_caution,
            };
            match caution {
                Some(Caution::None) => {}
                Some(caution) if self.risk.allows(caution) || risked.is_some() => {
                    if self.place_cautiously(step_ref, step, index, caution, &mut risked, now) {
                        headroom -= 1;
                    } else {
                        unplaced.cautious += 1;
                        self.risk.take_attempt();
                    }
                    continue;
                }
                // Advice and preemption are of no use to a task that has to wait.
                Some(_) | None => continue,
            }
            // The tasks of a step differ only in the VMs that they avoid.
            let avoids_vms = self
                .step_state(step_ref)
                .is_some_and(|state| !state.tasks[index as usize].avoided_vms.is_empty());
            if none_fits && !avoids_vms {
                unplaced.ordinary += 1;
                continue;
            }
            match self.best_vm(step_ref, step, index, now) {
                Some((vm, ticket)) => {
                    self.start_task(step_ref, index, vm, ticket, now);
                    headroom -= 1;
                }
                None => {
                    unplaced.ordinary += 1;
                    none_fits |= !avoids_vms;
                }
            }
        }
        unplaced.limit_to(headroom);
        unplaced
    }

    /// Places a task that may crash its VM, if possible beside others of its step: a crash costs the
    /// work of the whole job in any case. `risked` is the VM that the step uses in this pass.
    fn place_cautiously(
        &mut self,
        step_ref: StepRef,
        step: &Step,
        index: u32,
        caution: Caution,
        risked: &mut Option<RiskedVm>,
        now: Millis,
    ) -> bool {
        let same = risked.as_ref().filter(|same| {
            let vm = &self.vms[same.vm];
            let available = self.free_capacity(same.vm, vm);
            same.caution == caution && self.count_slots(step_ref, step, vm, &available) > 0
        });
        let found = match same {
            Some(same) => Some((same.vm, same.ticket.clone())),
            None => self.least_exposed_vm(step_ref, step, index, caution, now),
        };
        let same_vm = same.map(|same| same.vm);
        let Some((vm, ticket)) = found else {
            return false;
        };
        self.start_cautiously(step_ref, index, vm, ticket.clone(), caution, now);
        if same_vm.is_none() {
            self.risk.take(caution);
            if caution == Caution::Guarded {
                self.guarded_rate.record();
            }
        }
        *risked = Some(RiskedVm {
            vm,
            ticket,
            caution,
        });
        true
    }

    /// Places a task that may crash its VM. If it is a suspect, its start order is issued once the
    /// store names the run: a successor could not tell otherwise that it was started.
    pub(crate) fn start_cautiously(
        &mut self,
        step_ref: StepRef,
        index: u32,
        vm: VmKey,
        ticket: CompactString,
        caution: Caution,
        now: Millis,
    ) {
        self.start_task(step_ref, index, vm, ticket, now);
        let Some(vm_run) = self.vms[vm].runs.last_mut() else {
            return;
        };
        vm_run.caution = caution;
        let vm_run = vm_run.clone();
        // Ends when the run is confirmed or gone.
        self.vms[vm].exclusive_until = Millis(u64::MAX);
        let risked = if caution == Caution::Separate {
            CLEARING_TIME
        } else {
            RISKED_TIME
        };
        self.vms[vm].risked_until = now + risked;
        if caution >= Caution::Isolated
            && let Some(order) = self.orders.pop()
        {
            let seq = self.note_isolated_run(vm, &vm_run, now);
            self.held_starts.push(HeldStart {
                order,
                job: step_ref.job,
                seq,
            });
        }
    }

    /// Places one task and issues its start order.
    pub(crate) fn start_task(
        &mut self,
        step_ref: StepRef,
        index: u32,
        vm: VmKey,
        ticket: CompactString,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(step_ref.job) else {
            return;
        };
        let task = TaskName {
            job: job.id,
            round: step_ref.round,
            step: step_ref.step,
            index,
        };
        let run_floor = job.run_floor;
        let Some(round) = job.round_mut(step_ref.round) else {
            return;
        };
        let step = &mut round.steps[usize::from(step_ref.step)];
        let opened = step.opened_at;
        let task_state = &mut step.tasks[index as usize];
        task_state.highest_run = task_state.highest_run.max(run_floor) + 1;
        task_state.last_run = task_state.highest_run;
        task_state.phase = Phase::Placed(vm);
        let run = task_state.last_run;
        let saved = task_state.saved.clone();
        let former = task_state.former;
        let mut vm_run = self.new_vm_run(task, run, Size::ZERO, now);
        vm_run.timed = saved.is_empty();
        vm_run.resumed = !saved.is_empty();
        self.charge_start(vm_run.tenant, &vm_run.size);
        self.vms[vm].add(vm_run);
        self.note_neighbours(vm, now);
        self.orders.push(Order::Start {
            vm,
            task,
            run,
            saved,
            ticket,
            waited: now.since(opened),
            former,
        });
    }

    /// Returns the name of a step's task.
    pub(crate) fn task_name(&self, step_ref: StepRef, index: u32) -> Option<TaskName> {
        let job = self.jobs.get(step_ref.job)?;
        Some(TaskName {
            job: job.id,
            round: step_ref.round,
            step: step_ref.step,
            index,
        })
    }

    pub(crate) fn step_state(&self, step_ref: StepRef) -> Option<&crate::job::StepState> {
        let round = self.jobs.get(step_ref.job)?.round(step_ref.round)?;
        round.steps.get(usize::from(step_ref.step))
    }

    pub(crate) fn step_state_mut(
        &mut self,
        step_ref: StepRef,
    ) -> Option<&mut crate::job::StepState> {
        let round = self.jobs.get_mut(step_ref.job)?.round_mut(step_ref.round)?;
        round.steps.get_mut(usize::from(step_ref.step))
    }
}
