//! Rounds of schedules: which are started, and which of their steps wait for capacity.

use dotterel_kernel::Millis;

use super::Cell;
use crate::job::{Crowding, JobKey, StepRef};
use crate::spec::TaskName;

/// While more steps wait, a schedule that is late starts its rounds one by one.
const CROWDED_STEPS: usize = 1000;

impl Cell {
    /// Starts rounds of a job that are due.
    pub(super) fn start_due_rounds(&mut self, key: JobKey, now: Millis) {
        let crowding = if self.is_memory_full(now) {
            Crowding::MemoryFull
        } else if self.open_steps.len() > CROWDED_STEPS {
            Crowding::ManySteps
        } else {
            Crowding::None
        };
        let job = &mut self.jobs[key];
        if job.end.is_some() {
            return;
        }
        let restored = job.restored;
        let bytes_before = job.held_bytes();
        let started = job.start_due_rounds(crowding, now);
        let bytes = job.held_bytes() - bytes_before;
        self.add_held_bytes(bytes);
        for number in started {
            let due_at = self.jobs[key].due_at(number);
            if restored && due_at.is_some_and(|due_at| due_at <= self.took_over_at) {
                self.note_earlier_term(key, number, now);
            }
            self.enqueue_open_steps(key, number, now);
        }
    }

    /// Starts the round of a task which a VM knows: an earlier leader has started it, perhaps before it
    /// was due, as its clock was ahead.
    pub(super) fn start_known_round(&mut self, name: TaskName, now: Millis) {
        let Some(key) = self.job_key(name.job) else {
            return;
        };
        let job = &mut self.jobs[key];
        if job.end.is_some() || !job.start_known_round(name.round, now) {
            return;
        }
        self.note_earlier_term(key, name.round, now);
        self.mark_changed(key, now);
        self.enqueue_open_steps(key, name.round, now);
    }

    /// Adds the newly ready steps of a round to the queue.
    pub(super) fn enqueue_open_steps(&mut self, key: JobKey, round: u32, now: Millis) {
        for step in self.jobs[key].open_steps(round, now) {
            self.open_steps.push(StepRef {
                job: key,
                round,
                step,
            });
        }
        self.plan_needed = true;
    }

    /// Starts the rounds of all schedules that are due.
    pub(super) fn start_scheduled_rounds(&mut self, now: Millis) {
        let scheduled: Vec<JobKey> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.end.is_none() && job.next_round < job.spec.repeats)
            .map(|(key, _)| key)
            .collect();
        for key in scheduled {
            self.start_due_rounds(key, now);
        }
    }
}
