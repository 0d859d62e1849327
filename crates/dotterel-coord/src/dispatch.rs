//! Runs one task on one owned VM and returns its proven outcome.
//!
//! A call without a reply proves nothing about the task. The dispatcher then polls the VM for the
//! task's state with separate calls: it waits for a running task, fetches the response of an ended
//! one, and bars a task that the VM has not seen. A barred task never starts, because the VM
//! refuses its start if it arrives later. The outcome is unknown only if there is no proof in time.

use bytes::Bytes;
use dotterel_kernel::{Clock, Millis, TaskId};
use dotterel_platform::{
    CallError, Refusal, StartRequest, StartResponse, StopResponse, TaskResponse, TaskState,
    Upstream,
};

use crate::lease::{Permit, with_timeout};

/// Timeouts and intervals of a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DispatchTimeouts {
    /// The timeout of each call to the VM except the one that runs the task.
    pub call_timeout: Millis,
    /// The minimum interval between two polls of a task's state.
    ///
    /// While the task runs, the interval grows to a quarter of its run time so far, but to no more
    /// than half of `settle_timeout`.
    pub poll_interval: Millis,
    /// How long a start may be in flight before the task is barred.
    pub start_timeout: Millis,
    /// How long the VM may be unreachable before the outcome counts as unknown.
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

/// The proven outcome of a dispatch, or [`Unknown`](Self::Unknown) without a proof.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DispatchOutcome {
    /// The task ran to its end.
    Ran(TaskResponse),
    /// The task did not start and never will.
    NotRun(NotRun),
    /// The task started and was stopped before its end; it no longer runs.
    Cut,
    /// The task may have run, may be running or may still start.
    ///
    /// It can start until its epoch ends and then run until its task lease expires. [`settle`] may
    /// find a proof later.
    Unknown,
}

/// The proof that a task did not start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NotRun {
    /// The permit had expired before the start was sent.
    Lapsed,
    /// No byte of the start was sent.
    NotSent,
    /// The VM replied that it cannot serve the call.
    Unavailable,
    /// The VM refused the start.
    Refused(Refusal),
    /// The VM barred the task before its start arrived.
    Barred,
}

const BARRED: DispatchOutcome = DispatchOutcome::NotRun(NotRun::Barred);

/// The state of a task after its start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LaunchStatus {
    /// The task runs.
    Running,
    /// The task has ended, never starts, or its state is unknown.
    Over(DispatchOutcome),
}

/// Starts a task, waits for its end and returns its outcome.
///
/// The start's epoch is set from the permit. Nothing is sent if the permit has expired. Dropping
/// the future leaves the outcome unknown.
pub async fn dispatch(
    upstream: &dyn Upstream,
    permit: Permit,
    mut start: StartRequest,
    body: Bytes,
    clock: &Clock,
    timeouts: &DispatchTimeouts,
) -> DispatchOutcome {
    let sent = clock.now();
    let Some(epoch) = permit.epoch(sent) else {
        return DispatchOutcome::NotRun(NotRun::Lapsed);
    };
    start.epoch = epoch;
    let mut probe = TaskProbe::new(upstream, start.task, clock, timeouts);
    let outcome = tokio::select! {
        biased;
        outcome = upstream.run(&start, body) => outcome,
        // The reply on this connection may never arrive, so poll with separate calls as well.
        outcome = probe.poll_after_interval() => return outcome,
    };
    match classify(outcome) {
        StartResult::Over(outcome) => outcome,
        StartResult::Running => probe.mark_started().poll_until_ended().await,
        StartResult::Poll => probe.poll_until_ended().await,
    }
}

/// Starts a task and returns once it is known to run or its outcome is known.
///
/// The start's epoch is set from the permit. Nothing is sent if the permit has expired.
pub async fn launch(
    upstream: &dyn Upstream,
    permit: Permit,
    mut start: StartRequest,
    body: Bytes,
    clock: &Clock,
    timeouts: &DispatchTimeouts,
) -> LaunchStatus {
    let Some(epoch) = permit.epoch(clock.now()) else {
        return LaunchStatus::Over(DispatchOutcome::NotRun(NotRun::Lapsed));
    };
    start.epoch = epoch;
    let mut probe = TaskProbe::new(upstream, start.task, clock, timeouts);
    let outcome = with_timeout(timeouts.start_timeout, upstream.launch(&start, body)).await;
    match classify(outcome) {
        StartResult::Over(outcome) => LaunchStatus::Over(outcome),
        StartResult::Running => LaunchStatus::Running,
        StartResult::Poll => probe.poll_until_running().await,
    }
}

/// Polls a VM for the outcome of an earlier dispatch, and waits if the task is still running.
///
/// A task that the VM has not seen is barred at once.
pub async fn settle(
    upstream: &dyn Upstream,
    task: TaskId,
    clock: &Clock,
    timeouts: &DispatchTimeouts,
) -> DispatchOutcome {
    TaskProbe::new(upstream, task, clock, timeouts)
        .bar_immediately()
        .poll_until_ended()
        .await
}

/// Stops or bars a task, and retries until the VM has acknowledged.
///
/// After [`DispatchOutcome::Unknown`] the task may still run. It may be started elsewhere only
/// after its epoch has ended and its task lease has then expired without renewal.
pub async fn halt(
    upstream: &dyn Upstream,
    task: TaskId,
    clock: &Clock,
    timeouts: &DispatchTimeouts,
) -> DispatchOutcome {
    let mut probe = TaskProbe::new(upstream, task, clock, timeouts);
    loop {
        match probe.bar().await {
            Some(outcome) => return outcome,
            None if probe.timed_out() => return DispatchOutcome::Unknown,
            None => tokio::time::sleep(timeouts.poll_interval.duration()).await,
        }
    }
}

/// What the reply to a start proves.
enum StartResult {
    /// The outcome is proven.
    Over(DispatchOutcome),
    /// The task is known to have started.
    Running,
    /// Nothing is proven, so the VM has to be polled.
    Poll,
}

fn classify(outcome: Result<StartResponse, CallError>) -> StartResult {
    let proven = match outcome {
        Ok(StartResponse::Finished(response)) => DispatchOutcome::Ran(response),
        Ok(StartResponse::Cut) => DispatchOutcome::Cut,
        // The VM had already received this start, so the refusal doesn't prove that it never ran.
        Ok(StartResponse::Accepted | StartResponse::Refused(Refusal::Seen)) => {
            return StartResult::Running;
        }
        Ok(StartResponse::Refused(refusal)) => DispatchOutcome::NotRun(NotRun::Refused(refusal)),
        Err(CallError::NotSent(_)) => DispatchOutcome::NotRun(NotRun::NotSent),
        Err(CallError::Unavailable(_)) => DispatchOutcome::NotRun(NotRun::Unavailable),
        Err(CallError::Unknown(_)) => return StartResult::Poll,
    };
    StartResult::Over(proven)
}

/// Polls a VM for the state of one task.
struct TaskProbe<'a> {
    upstream: &'a dyn Upstream,
    task: TaskId,
    clock: &'a Clock,
    timeouts: &'a DispatchTimeouts,
    started_at: Millis,
    /// From when on a task that the VM has not seen is barred.
    bar_at: Millis,
    /// When the VM last replied.
    last_reply: Millis,
    /// Whether the VM has ever reported that the task started.
    started: bool,
}

impl<'a> TaskProbe<'a> {
    fn new(
        upstream: &'a dyn Upstream,
        task: TaskId,
        clock: &'a Clock,
        timeouts: &'a DispatchTimeouts,
    ) -> Self {
        let now = clock.now();
        Self {
            upstream,
            task,
            clock,
            timeouts,
            started_at: now,
            bar_at: now + timeouts.start_timeout,
            last_reply: now,
            started: false,
        }
    }

    /// Marks the task as started.
    fn mark_started(mut self) -> Self {
        self.started = true;
        self
    }

    /// Makes the next poll bar the task if the VM has not seen it.
    fn bar_immediately(mut self) -> Self {
        self.bar_at = Millis::ZERO;
        self
    }

    async fn poll_after_interval(&mut self) -> DispatchOutcome {
        tokio::time::sleep(self.timeouts.poll_interval.duration()).await;
        self.poll_until_ended().await
    }

    /// Polls until the outcome is proven or the VM has been unreachable for too long.
    async fn poll_until_ended(&mut self) -> DispatchOutcome {
        loop {
            let interval = match self.poll().await {
                Some(LaunchStatus::Over(outcome)) => return outcome,
                Some(LaunchStatus::Running) => self.next_interval(),
                None if self.timed_out() => return DispatchOutcome::Unknown,
                None => self.timeouts.poll_interval,
            };
            tokio::time::sleep(interval.duration()).await;
        }
    }

    /// Polls until the task runs, its outcome is proven or the VM has been unreachable too long.
    async fn poll_until_running(&mut self) -> LaunchStatus {
        loop {
            match self.poll().await {
                Some(known) => return known,
                None if self.timed_out() => return LaunchStatus::Over(DispatchOutcome::Unknown),
                None => {}
            }
            tokio::time::sleep(self.timeouts.poll_interval.duration()).await;
        }
    }

    /// Returns the interval until the next poll of a running task.
    ///
    /// It leaves time for several polls within the settle timeout.
    fn next_interval(&self) -> Millis {
        let elapsed = self.clock.now().since(self.started_at);
        let max = Millis(self.timeouts.settle_timeout.0 / 2);
        Millis(elapsed.0 / 4)
            .min(max)
            .max(self.timeouts.poll_interval)
    }

    fn timed_out(&self) -> bool {
        self.clock.now().since(self.last_reply) >= self.timeouts.settle_timeout
    }

    /// Polls once; returns `None` if nothing is known yet.
    async fn poll(&mut self) -> Option<LaunchStatus> {
        let state = with_timeout(self.timeouts.call_timeout, self.upstream.state(self.task)).await;
        let state = state.ok()?;
        self.last_reply = self.clock.now();
        match state {
            TaskState::Running => {
                self.started = true;
                Some(LaunchStatus::Running)
            }
            TaskState::Finished(response) => {
                Some(LaunchStatus::Over(DispatchOutcome::Ran(response)))
            }
            TaskState::Cut => Some(LaunchStatus::Over(DispatchOutcome::Cut)),
            TaskState::Barred => Some(LaunchStatus::Over(BARRED)),
            // The VM no longer lists a task that it ran, so how the task ended can't be proven.
            TaskState::Unseen if self.started => Some(LaunchStatus::Over(DispatchOutcome::Unknown)),
            TaskState::Unseen if self.last_reply < self.bar_at => None,
            TaskState::Unseen => self.bar().await.map(LaunchStatus::Over),
        }
    }

    /// Stops the task, or bars it if the VM has not received its start.
    async fn bar(&mut self) -> Option<DispatchOutcome> {
        let stopped = with_timeout(self.timeouts.call_timeout, self.upstream.stop(self.task)).await;
        match stopped.ok()? {
            StopResponse::Barred => Some(BARRED),
            StopResponse::Cut => Some(DispatchOutcome::Cut),
            StopResponse::Finished(response) => Some(DispatchOutcome::Ran(response)),
        }
    }
}
