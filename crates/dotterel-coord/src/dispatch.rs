//! Runs one task on one owned VM and tells truly what became of it.
//!
//! A call that brings no answer says nothing about the task. Then the VM itself is asked on fresh
//! calls: a task that it runs is waited for, one that ended gives its answer by its id, and one
//! that it has not seen is barred by a stop, which proves that it never runs. Only what cannot be
//! proved within the limits stays unknown.

use bytes::Bytes;
use dotterel_kernel::{Clock, Millis, TaskId};
use dotterel_platform::{
    Answer, CallError, Refusal, Start, Started, StopAnswer, TaskState, Upstream,
};

use crate::lease::{Permit, with_timeout};

/// How long a dispatch waits for proofs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchTimeouts {
    /// How long a call to the VM may take, other than the one that runs the task.
    pub call_timeout: Millis,
    /// The shortest time between two questions about a task.
    ///
    /// While a task runs on, the time grows to a quarter of its run and at most half of `settle`.
    pub poll_interval: Millis,
    /// How long a start may be under way before it is barred.
    pub start_timeout: Millis,
    /// How long the VM may be out of reach before the outcome counts as unknown.
    pub settle_timeout: Millis,
}

impl Default for DispatchTimeouts {
    fn default() -> Self {
        Self {
            call_timeout: Millis(500),
            poll_interval: Millis(500),
            start_timeout: Millis(1_000),
            settle_timeout: Millis::secs(10),
        }
    }
}

/// The proven outcome of a dispatch, or that there is no proof.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The task ran to its end.
    Ran(Answer),
    /// The task did not start and never will.
    NotRun(NotRun),
    /// The task started and was stopped before its end; it no longer runs.
    Cut,
    /// The task may have run, may run now or may start yet.
    ///
    /// It can start as long as its epoch lasts and run for a task lease more. [`settle`] may
    /// bring a proof later.
    Unknown,
}

/// How it is known that a task did not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The worker lease had lapsed before anything was sent.
    Lapsed,
    /// No byte was sent.
    NotSent,
    /// The VM answered that it cannot serve the call.
    Unavailable,
    /// The VM refused the start.
    Refused(Refusal),
    /// The VM barred the task before its start arrived.
    Barred,
}

const NEVER_RAN: DispatchOutcome = DispatchOutcome::NotRun(NotRun::Barred);

/// The outcome of a start without waiting for the task's end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LaunchStatus {
    /// The task runs.
    Running,
    /// What is proved of it, or that nothing is.
    Over(DispatchOutcome),
}

/// Starts a task, waits for its end and returns what can be proved of it.
///
/// The start's epoch is set from the permit. Nothing is sent once the permit has lapsed. Dropping
/// the future leaves the outcome unknown.
pub async fn dispatch(
    upstream: &dyn Upstream,
    permit: Permit,
    mut start: Start,
    body: Bytes,
    clock: &Clock,
    limits: &DispatchTimeouts,
) -> DispatchOutcome {
    let sent = clock.now();
    let Some(epoch) = permit.epoch(sent) else {
        return DispatchOutcome::NotRun(NotRun::Lapsed);
    };
    start.epoch = epoch;
    let mut inquiry = Inquiry::new(upstream, start.task, clock, limits);
    let outcome = tokio::select! {
        biased;
        outcome = upstream.run(&start, body) => outcome,
        // The connection that carries the call may be silent for good.
        proved = inquiry.after_pause() => return proved,
    };
    match conclude(outcome) {
        Step::Over(outcome) => outcome,
        Step::Running => inquiry.seen().until_ended().await,
        Step::Ask => inquiry.until_ended().await,
    }
}

/// Starts a task and returns as soon as the VM is known to run it, or that it never will.
///
/// The start's epoch is set from the permit. Nothing is sent once the permit has lapsed.
pub async fn launch(
    upstream: &dyn Upstream,
    permit: Permit,
    mut start: Start,
    body: Bytes,
    clock: &Clock,
    limits: &DispatchTimeouts,
) -> LaunchStatus {
    let Some(epoch) = permit.epoch(clock.now()) else {
        return LaunchStatus::Over(DispatchOutcome::NotRun(NotRun::Lapsed));
    };
    start.epoch = epoch;
    let mut inquiry = Inquiry::new(upstream, start.task, clock, limits);
    let outcome = with_timeout(limits.start_timeout, upstream.launch(&start, body)).await;
    match conclude(outcome) {
        Step::Over(outcome) => LaunchStatus::Over(outcome),
        Step::Running => LaunchStatus::Running,
        Step::Ask => inquiry.until_running().await,
    }
}

/// Asks a VM for proof of a dispatch whose outcome is unknown, and waits for a running task.
///
/// A task that the VM has not seen is barred.
pub async fn settle(
    upstream: &dyn Upstream,
    task: TaskId,
    clock: &Clock,
    limits: &DispatchTimeouts,
) -> DispatchOutcome {
    Inquiry::new(upstream, task, clock, limits)
        .overdue()
        .until_ended()
        .await
}

/// Stops a task, or bars it, and asks until the VM has acknowledged.
///
/// After [`DispatchOutcome::Unknown`] the task may still run; it may be started elsewhere only once
/// its epoch is over and a task lease more has passed without renewal.
pub async fn halt(
    upstream: &dyn Upstream,
    task: TaskId,
    clock: &Clock,
    limits: &DispatchTimeouts,
) -> DispatchOutcome {
    let mut inquiry = Inquiry::new(upstream, task, clock, limits);
    loop {
        match inquiry.bar().await {
            Some(outcome) => return outcome,
            None if inquiry.given_up() => return DispatchOutcome::Unknown,
            None => tokio::time::sleep(limits.poll_interval.duration()).await,
        }
    }
}

/// What the answer to a start leaves to do.
enum Step {
    /// The outcome is proved.
    Over(DispatchOutcome),
    /// The task is known to have started.
    Running,
    /// The VM has to be asked.
    Ask,
}

fn conclude(outcome: Result<Started, CallError>) -> Step {
    let over = match outcome {
        Ok(Started::Finished(answer)) => DispatchOutcome::Ran(answer),
        Ok(Started::Cut) => DispatchOutcome::Cut,
        // The start arrived twice: the first one ran, so this is no proof of anything else.
        Ok(Started::Accepted | Started::Refused(Refusal::Seen)) => return Step::Running,
        Ok(Started::Refused(refusal)) => DispatchOutcome::NotRun(NotRun::Refused(refusal)),
        Err(CallError::NotSent(_)) => DispatchOutcome::NotRun(NotRun::NotSent),
        Err(CallError::Unavailable(_)) => DispatchOutcome::NotRun(NotRun::Unavailable),
        Err(CallError::Unknown(_)) => return Step::Ask,
    };
    Step::Over(over)
}

/// The questions about one task.
struct Inquiry<'a> {
    upstream: &'a dyn Upstream,
    task: TaskId,
    clock: &'a Clock,
    limits: &'a DispatchTimeouts,
    began: Millis,
    /// When a task that the VM has not seen is barred.
    bar_at: Millis,
    /// When the VM answered last.
    heard: Millis,
    /// Whether the VM has ever told that the task started.
    started: bool,
}

impl<'a> Inquiry<'a> {
    fn new(
        upstream: &'a dyn Upstream,
        task: TaskId,
        clock: &'a Clock,
        limits: &'a DispatchTimeouts,
    ) -> Self {
        let now = clock.now();
        Self {
            upstream,
            task,
            clock,
            limits,
            began: now,
            bar_at: now + limits.start_timeout,
            heard: now,
            started: false,
        }
    }

    /// Counts the task as one that has started.
    fn seen(mut self) -> Self {
        self.started = true;
        self
    }

    /// Counts the start as under way for too long.
    fn overdue(mut self) -> Self {
        self.bar_at = Millis::ZERO;
        self
    }

    async fn after_pause(&mut self) -> DispatchOutcome {
        tokio::time::sleep(self.limits.poll_interval.duration()).await;
        self.until_ended().await
    }

    /// Asks until the outcome is proved or the VM has been out of reach for too long.
    async fn until_ended(&mut self) -> DispatchOutcome {
        loop {
            let pause = match self.ask().await {
                Some(LaunchStatus::Over(outcome)) => return outcome,
                Some(LaunchStatus::Running) => self.pause(),
                None if self.given_up() => return DispatchOutcome::Unknown,
                None => self.limits.poll_interval,
            };
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Asks until the task is known to run, or its outcome is proved.
    async fn until_running(&mut self) -> LaunchStatus {
        loop {
            match self.ask().await {
                Some(known) => return known,
                None if self.given_up() => return LaunchStatus::Over(DispatchOutcome::Unknown),
                None => {}
            }
            tokio::time::sleep(self.limits.poll_interval.duration()).await;
        }
    }

    /// Returns the time until a running task is asked about again.
    ///
    /// It leaves time for several questions before a silent VM is given up.
    fn pause(&self) -> Millis {
        let run = self.clock.now().since(self.began);
        let most = Millis(self.limits.settle_timeout.0 / 2);
        Millis(run.0 / 4).min(most).max(self.limits.poll_interval)
    }

    fn given_up(&self) -> bool {
        self.clock.now().since(self.heard) >= self.limits.settle_timeout
    }

    /// Asks once; none means that nothing is known yet.
    async fn ask(&mut self) -> Option<LaunchStatus> {
        let state = with_timeout(self.limits.call_timeout, self.upstream.state(self.task)).await;
        let state = state.ok()?;
        self.heard = self.clock.now();
        match state {
            TaskState::Running => {
                self.started = true;
                Some(LaunchStatus::Running)
            }
            TaskState::Finished(answer) => Some(LaunchStatus::Over(DispatchOutcome::Ran(answer))),
            TaskState::Cut => Some(LaunchStatus::Over(DispatchOutcome::Cut)),
            TaskState::Barred => Some(LaunchStatus::Over(NEVER_RAN)),
            // The VM has forgotten a task that it ran: how it ended cannot be proved any more.
            TaskState::Unseen if self.started => Some(LaunchStatus::Over(DispatchOutcome::Unknown)),
            TaskState::Unseen if self.heard < self.bar_at => None,
            TaskState::Unseen => self.bar().await.map(LaunchStatus::Over),
        }
    }

    /// Stops a task whose start has not arrived, so that it never will.
    async fn bar(&mut self) -> Option<DispatchOutcome> {
        let stopped = with_timeout(self.limits.call_timeout, self.upstream.stop(self.task)).await;
        match stopped.ok()? {
            StopAnswer::Barred => Some(NEVER_RAN),
            StopAnswer::Cut => Some(DispatchOutcome::Cut),
            StopAnswer::Finished(answer) => Some(DispatchOutcome::Ran(answer)),
        }
    }
}
