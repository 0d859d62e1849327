//! What runs next, and where.
//!
//! - [`order`]: the order of the queue.
//! - [`fit`]: the choice of a VM for a task.
//! - [`gang`]: tasks that only work together.
//! - [`reserve`]: room set aside for gangs until they can start.
//! - [`preempt`]: room made by stopping less urgent work that can resume.
//! - [`advice`]: which VMs the advice service is asked about, and when.

use dotterel_kernel::{Millis, Size};

use crate::cell::{Cell, Order};
use crate::job::{Phase, StepRef};
use crate::spec::{Step, TaskName};
use crate::vm::VmKey;

pub mod advice;
pub mod fit;
pub mod gang;
pub mod order;
pub mod preempt;
pub mod reserve;

/// A VM that hasn't answered for this long gets nothing new. Twice the interval of questions.
pub(crate) const SILENT: Millis = Millis(2000);

/// Steps that wait in a backlog: each look at one goes through all VMs that it may use.
const BACKLOG: usize = 100;
/// In a backlog, a step that found no room is looked at again after this time, or when advice comes.
const LOOK_EVERY: Millis = Millis(15);

/// Returns the room that a task takes on a VM.
#[must_use]
pub(crate) fn room_for(step: &Step) -> Size {
    let mut size = step.size;
    if step.best_effort {
        size.milli_cores = 0;
    }
    size
}

impl Cell {
    /// Starts what fits, makes room for what is more urgent, and asks for advice.
    pub fn plan(&mut self, now: Millis) {
        self.dirty = false;
        self.prune_open();
        self.held.clear();
        self.note_reserved(now);
        let mut queue = self.queue(now);
        queue.sort_unstable();
        let backlog = queue.len() > BACKLOG;
        let mut makers = preempt::MAX_MAKERS;
        let mut gangs = gang::Place::default();
        for (rank, at) in queue {
            let Some((spec, step)) = self.step_spec(at) else {
                continue;
            };
            let step = &spec.steps[step];
            if !self.may_start(at) {
                self.ask_early(at, step, now);
                continue;
            }
            if step.gang {
                self.plan_gang(at, step, &mut gangs, now);
                continue;
            }
            if gangs.are_short(rank.priority()) && self.has_slack(at, now) {
                continue;
            }
            if self.looked_lately(at, now) && backlog {
                continue;
            }
            let left = self.place_loose(at, step, now);
            if left > 0 {
                self.ask_more(at, step, left, now);
                if makers > 0 && self.make_room(at, step, left, now) {
                    makers -= 1;
                }
            }
        }
    }

    /// Returns true when a step found no room a moment ago, and notes the look otherwise.
    fn looked_lately(&mut self, at: StepRef, now: Millis) -> bool {
        let Some(run) = self.step_run_mut(at) else {
            return true;
        };
        if now.since(run.looked) < LOOK_EVERY {
            return true;
        }
        run.looked = now;
        false
    }

    fn may_start(&self, at: StepRef) -> bool {
        let Some(job) = self.jobs.get(at.job) else {
            return false;
        };
        job.stored && (!job.inherited || self.is_settled())
    }

    /// Starts waiting tasks one by one; returns how many found no VM.
    fn place_loose(&mut self, at: StepRef, step: &Step, now: Millis) -> u32 {
        let Some(run) = self.step_run(at) else {
            return 0;
        };
        let waiting: Vec<u32> = (0u32..)
            .zip(&run.tasks)
            .filter(|(_, task)| task.phase == Phase::Waiting)
            .map(|(index, _)| index)
            .collect();
        let mut left = u32::try_from(waiting.len()).unwrap_or(u32::MAX);
        let mut refused = false;
        for index in waiting {
            // The tasks of a step are alike but for the VMs that they avoid.
            let picky = self
                .step_run(at)
                .is_some_and(|run| !run.tasks[index as usize].avoid.is_empty());
            if refused && !picky {
                continue;
            }
            match self.best_vm(at, step, index, now) {
                Some((vm, ticket)) => {
                    self.start(at, index, vm, ticket, now);
                    left -= 1;
                }
                None => refused |= !picky,
            }
        }
        left
    }

    /// Gives the order for one task.
    pub(crate) fn start(
        &mut self,
        at: StepRef,
        index: u32,
        vm: VmKey,
        ticket: compact_str::CompactString,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(at.job) else {
            return;
        };
        let task = TaskName {
            job: job.id,
            round: at.round,
            step: at.step,
            index,
        };
        let floor = job.run_floor;
        let Some(round) = job.round_mut(at.round) else {
            return;
        };
        let step = &mut round.steps[usize::from(at.step)];
        let opened = step.opened;
        let entry = &mut step.tasks[index as usize];
        entry.run = entry.run.max(floor) + 1;
        entry.phase = Phase::Placed(vm);
        let run = entry.run;
        let saved = entry.saved.clone();
        let on = self.run_on(task, run, Size::ZERO, now);
        self.vms[vm].add(on);
        self.orders.push(Order::Start {
            vm,
            task,
            run,
            saved,
            ticket,
            waited: now.since(opened),
        });
    }

    pub(crate) fn step_run(&self, at: StepRef) -> Option<&crate::job::StepRun> {
        let round = self.jobs.get(at.job)?.round(at.round)?;
        round.steps.get(usize::from(at.step))
    }

    pub(crate) fn step_run_mut(&mut self, at: StepRef) -> Option<&mut crate::job::StepRun> {
        let round = self.jobs.get_mut(at.job)?.round_mut(at.round)?;
        round.steps.get_mut(usize::from(at.step))
    }
}
