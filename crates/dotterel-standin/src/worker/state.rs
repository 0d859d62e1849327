//! The state of a worker: its lease and its tasks.

use std::collections::HashMap;

use bytes::Bytes;
use dotterel_kernel::{Epoch, Incarnation, Millis, NodeId, Size, TaskId, VmId};
use dotterel_platform::{
    AcquireRequest, AcquireResponse, Grant, ObservedTask, Owner, Refusal, RenewRequest,
    RenewResponse, StartRequest, StartResponse, StopResponse, TaskResponse, TaskSignal, TaskState,
    VmReport,
};

use super::task::{Checkpoints, Task, TaskEnd, run_info};
use crate::event_log::{CutCause, Event, LoggedEvent};
use crate::workload::SimulatedTask;

#[derive(Clone, Debug)]
struct Lease {
    owner: Owner,
    epoch: Epoch,
    expires: Millis,
}

/// The outcome of a task that isn't running.
#[derive(Clone, Debug)]
enum TaskOutcome {
    Finished(TaskResponse),
    Cut,
    /// It was stopped before its start request arrived.
    Barred,
    /// It ran, and its outcome is recorded elsewhere.
    Forgotten,
}

/// The state of a worker as of `now`.
#[derive(Debug)]
pub(super) struct State {
    pub(super) vm: VmId,
    pub(super) capacity: Size,
    pub(super) log: Vec<LoggedEvent>,
    pub(super) logging: bool,
    pub(super) checkpoints: Checkpoints,
    now: Millis,
    newest_epoch: Epoch,
    lease: Option<Lease>,
    /// The only node that may acquire the next lease, and the time at which this restriction ends.
    successor: Option<(NodeId, Millis)>,
    leaving: bool,
    running: Vec<Task>,
    outcomes: HashMap<TaskId, TaskOutcome>,
    /// Ended tasks, reported with each renewal until the owner acknowledges them.
    unacknowledged: Vec<TaskId>,
}

impl State {
    pub(super) fn new(vm: VmId, capacity: Size, now: Millis) -> Self {
        Self {
            vm,
            capacity,
            log: Vec::new(),
            logging: true,
            checkpoints: Checkpoints::default(),
            now,
            newest_epoch: Epoch(now.0),
            lease: None,
            successor: None,
            leaving: false,
            running: Vec::new(),
            outcomes: HashMap::new(),
            unacknowledged: Vec::new(),
        }
    }

    /// Advances the state to `now`: ends the tasks that are due, in order, and expires the lease.
    pub(super) fn advance_to(&mut self, now: Millis) {
        while let Some((index, due)) = self.next_due() {
            if due > now {
                break;
            }
            self.advance_clock(due);
            let task = self.running.remove(index);
            let id = task.info.task;
            self.record_end(id, task.into_end());
        }
        self.advance_clock(now);
    }

    fn next_due(&self) -> Option<(usize, Millis)> {
        let due = self.running.iter().map(Task::due).enumerate();
        due.min_by_key(|entry| entry.1)
    }

    fn advance_clock(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.lease.as_ref().is_some_and(|l| l.expires <= self.now) {
            self.lease = None;
        }
        if self.successor.as_ref().is_some_and(|s| s.1 <= self.now) {
            self.successor = None;
        }
    }

    fn log_event(&mut self, event: Event) {
        if !self.logging {
            return;
        }
        self.log.push(LoggedEvent {
            at: self.now,
            epoch: self.newest_epoch,
            owner: self.lease.as_ref().map(|lease| lease.owner.clone()),
            event,
        });
    }

    fn record_end(&mut self, task: TaskId, end: TaskEnd) {
        let (outcome, event) = match end {
            TaskEnd::Finished(answer) => {
                let event = Event::Ended(task, answer.status);
                (TaskOutcome::Finished(answer), event)
            }
            TaskEnd::Cut(cause) => (TaskOutcome::Cut, Event::Cut(task, cause)),
        };
        self.outcomes.insert(task, outcome);
        self.unacknowledged.push(task);
        self.log_event(event);
    }

    fn is_current_epoch(&self, epoch: Epoch) -> bool {
        self.lease.as_ref().is_some_and(|l| l.epoch == epoch)
    }

    pub(super) fn used(&self) -> Size {
        let sizes = self.running.iter().map(|task| task.info.size);
        sizes.fold(Size::ZERO, |sum, size| sum.plus(&size))
    }

    fn running_index(&self, task: TaskId) -> Option<usize> {
        self.running.iter().position(|t| t.info.task == task)
    }

    pub(super) fn acquire(&mut self, request: &AcquireRequest) -> AcquireResponse {
        if let Some((by, left)) = self.blocking_owner(&request.owner) {
            self.log_event(Event::Held(request.owner.clone()));
            return AcquireResponse::Held { by, left };
        }
        self.successor = None;
        self.newest_epoch = self.newest_epoch.next();
        self.lease = Some(Lease {
            owner: request.owner.clone(),
            epoch: self.newest_epoch,
            expires: self.now + request.ttl,
        });
        self.log_event(Event::Granted);
        AcquireResponse::Granted(Grant {
            vm: self.vm.clone(),
            epoch: self.newest_epoch,
            ttl: request.ttl,
            capacity: self.capacity,
            running: self.running.iter().map(|t| t.running(self.now)).collect(),
            leaving: self.leaving,
        })
    }

    /// Returns who prevents this owner from acquiring the lease, and for how much longer.
    fn blocking_owner(&self, owner: &Owner) -> Option<(Owner, Millis)> {
        if let Some(lease) = &self.lease {
            let other = lease.owner != *owner;
            return other.then(|| (lease.owner.clone(), lease.expires - self.now));
        }
        let (node, expires) = self.successor.as_ref()?;
        let successor = Owner {
            node: node.clone(),
            incarnation: Incarnation::default(),
        };
        (*node != owner.node).then(|| (successor, *expires - self.now))
    }

    pub(super) fn renew(&mut self, renewal: &RenewRequest) -> RenewResponse {
        if !self.is_current_epoch(renewal.epoch) {
            self.log_event(Event::Lost(renewal.epoch));
            return RenewResponse::Lost {
                newest: self.newest_epoch,
            };
        }
        if let Some(lease) = &mut self.lease {
            lease.expires = self.now + renewal.ttl;
        }
        for task in &mut self.running {
            if renewal.tasks.contains(&task.info.task) {
                task.lease_expires = self.now + renewal.task_ttl;
            }
        }
        self.forget(&renewal.forget);
        RenewResponse::Done(VmReport {
            leaving: self.leaving,
            tasks: self.observed(),
        })
    }

    fn forget(&mut self, tasks: &[TaskId]) {
        for task in tasks {
            if let Some(outcome @ (TaskOutcome::Finished(_) | TaskOutcome::Cut)) =
                self.outcomes.get_mut(task)
            {
                *outcome = TaskOutcome::Forgotten;
            }
        }
        self.unacknowledged.retain(|task| !tasks.contains(task));
    }

    fn observed(&self) -> Vec<ObservedTask> {
        let running = self.running.iter().map(|task| ObservedTask {
            task: task.info.task,
            state: TaskState::Running,
            usage: task.usage(self.now),
        });
        let ended = self.unacknowledged.iter().map(|task| ObservedTask {
            task: *task,
            state: without_body(self.state(*task)),
            usage: Size::ZERO,
        });
        running.chain(ended).collect()
    }

    pub(super) fn release(&mut self, epoch: Epoch, successor: Option<NodeId>) {
        if !self.is_current_epoch(epoch) {
            return;
        }
        self.log_event(Event::Released(successor.clone()));
        let expires = self.lease.take().map_or(self.now, |lease| lease.expires);
        self.successor = successor.map(|node| (node, expires));
    }

    /// Starts a task.
    ///
    /// [`Refusal::Seen`] takes precedence over all other refusals, because those mean that the task
    /// did not run.
    pub(super) fn start(
        &mut self,
        start: &StartRequest,
        simulated: SimulatedTask,
    ) -> Result<(), Refusal> {
        if let Some(refusal) = self.refusal(start) {
            let refused = run_info(start, simulated.index);
            self.log_event(Event::Refused(refused, refusal.clone()));
            return Err(refusal);
        }
        let task = Task::new(start, simulated, self.now, &self.checkpoints);
        self.log_event(Event::Started(task.info.clone()));
        self.running.push(task);
        Ok(())
    }

    fn refusal(&self, start: &StartRequest) -> Option<Refusal> {
        if self.running_index(start.task).is_some() {
            return Some(Refusal::Seen);
        }
        match self.outcomes.get(&start.task) {
            Some(TaskOutcome::Barred) => return Some(Refusal::Stopped),
            Some(_) => return Some(Refusal::Seen),
            None => {}
        }
        if !self.is_current_epoch(start.epoch) {
            return Some(Refusal::StaleEpoch {
                newest: self.newest_epoch,
            });
        }
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        let free = self.capacity.minus(&self.used());
        (!start.size.fits(&free)).then_some(Refusal::Full)
    }

    /// Returns the due time of a running task; the error is how the task ended.
    pub(super) fn due(&self, task: TaskId) -> Result<Millis, StartResponse> {
        if let Some(index) = self.running_index(task) {
            return Ok(self.running[index].due());
        }
        match self.outcomes.get(&task) {
            Some(TaskOutcome::Finished(answer)) => Err(StartResponse::Finished(answer.clone())),
            _ => Err(StartResponse::Cut),
        }
    }

    pub(super) fn state(&self, task: TaskId) -> TaskState {
        if self.running_index(task).is_some() {
            return TaskState::Running;
        }
        match self.outcomes.get(&task) {
            Some(TaskOutcome::Finished(answer)) => TaskState::Finished(answer.clone()),
            Some(TaskOutcome::Cut) => TaskState::Cut,
            Some(TaskOutcome::Barred) => TaskState::Barred,
            Some(TaskOutcome::Forgotten) | None => TaskState::Unseen,
        }
    }

    /// Stops a task, or bars it from starting later.
    ///
    /// A forgotten task is reported as cut rather than barred, because it did run.
    pub(super) fn stop(&mut self, task: TaskId) -> StopResponse {
        if let Some(index) = self.running_index(task) {
            self.running.remove(index);
            self.record_end(task, TaskEnd::Cut(CutCause::Stopped));
            return StopResponse::Cut;
        }
        match self.outcomes.get(&task) {
            Some(TaskOutcome::Finished(answer)) => StopResponse::Finished(answer.clone()),
            Some(TaskOutcome::Cut | TaskOutcome::Forgotten) => StopResponse::Cut,
            Some(TaskOutcome::Barred) => StopResponse::Barred,
            None => {
                self.outcomes.insert(task, TaskOutcome::Barred);
                self.log_event(Event::Barred(task));
                StopResponse::Barred
            }
        }
    }

    pub(super) fn signal(
        &mut self,
        epoch: Epoch,
        task: TaskId,
        signal: TaskSignal,
    ) -> Result<(), &'static str> {
        if !self.is_current_epoch(epoch) {
            return Err("stale epoch");
        }
        let Some(index) = self.running_index(task) else {
            return Ok(());
        };
        if signal != TaskSignal::Checkpoint {
            self.running[index].set_speed(signal, self.now);
            return Ok(());
        }
        let checkpointed = self.running.remove(index);
        checkpointed.save(self.now, &self.checkpoints);
        self.record_end(task, TaskEnd::Cut(CutCause::Checkpoint));
        Ok(())
    }

    pub(super) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.log_event(Event::Leaving(leaving));
    }

    /// Restarts the worker.
    ///
    /// The newest epoch is raised to the clock's time, so that epochs also grow over a restart.
    pub(super) fn restart(&mut self) {
        for task in std::mem::take(&mut self.running) {
            self.record_end(task.info.task, TaskEnd::Cut(CutCause::Restart));
        }
        self.lease = None;
        self.successor = None;
        self.leaving = false;
        self.newest_epoch = self.newest_epoch.max(Epoch(self.now.0));
        self.log_event(Event::Restarted);
    }
}

/// Removes the body of an answer, which would otherwise be sent with every renewal.
fn without_body(state: TaskState) -> TaskState {
    match state {
        TaskState::Finished(answer) => TaskState::Finished(TaskResponse {
            body: Bytes::new(),
            ..answer
        }),
        other => other,
    }
}
