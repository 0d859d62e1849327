//! The rules by which a worker grants leases and starts and stops tasks.

use std::collections::HashMap;

use bytes::Bytes;
use dotterel_kernel::{Epoch, Incarnation, Millis, NodeId, Size, TaskId, VmId};
use dotterel_platform::{
    AcquireRequest, AcquireResponse, Grant, ObservedTask, Owner, Refusal, RenewRequest,
    RenewResponse, StartRequest, StartResponse, StopResponse, TaskResponse, TaskSignal, TaskState,
    VmReport,
};

use super::task::{Checkpoints, End, Task, info};
use crate::seen::{CutCause, Event, Seen};
use crate::workload::Work;

#[derive(Clone, Debug)]
struct Lease {
    owner: Owner,
    epoch: Epoch,
    until: Millis,
}

/// What became of a task that no longer runs.
#[derive(Clone, Debug)]
enum Past {
    Finished(TaskResponse),
    Cut,
    Barred,
    /// It ran, and its outcome is recorded elsewhere.
    Forgotten,
}

/// The state of a worker as of its last settlement.
#[derive(Debug)]
pub(super) struct State {
    pub(super) vm: VmId,
    pub(super) capacity: Size,
    pub(super) log: Vec<Seen>,
    pub(super) logging: bool,
    pub(super) checkpoints: Checkpoints,
    now: Millis,
    newest: Epoch,
    lease: Option<Lease>,
    /// Who alone may acquire the next lease, and until when.
    heir: Option<(NodeId, Millis)>,
    leaving: bool,
    running: Vec<Task>,
    past: HashMap<TaskId, Past>,
    /// Ended tasks that are reported with each renewal.
    unforgotten: Vec<TaskId>,
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
            newest: Epoch(now.0),
            lease: None,
            heir: None,
            leaving: false,
            running: Vec::new(),
            past: HashMap::new(),
            unforgotten: Vec::new(),
        }
    }

    /// Brings the state up to `now`: ends what was due and lets leases lapse.
    pub(super) fn settle(&mut self, now: Millis) {
        while let Some((index, due)) = self.first_due() {
            if due > now {
                break;
            }
            self.advance(due);
            let task = self.running.remove(index);
            let id = task.info.task;
            self.end(id, task.end());
        }
        self.advance(now);
    }

    fn first_due(&self) -> Option<(usize, Millis)> {
        let due = self.running.iter().map(Task::due).enumerate();
        due.min_by_key(|entry| entry.1)
    }

    fn advance(&mut self, now: Millis) {
        self.now = self.now.max(now);
        if self.lease.as_ref().is_some_and(|l| l.until <= self.now) {
            self.lease = None;
        }
        if self.heir.as_ref().is_some_and(|heir| heir.1 <= self.now) {
            self.heir = None;
        }
    }

    fn note(&mut self, event: Event) {
        if !self.logging {
            return;
        }
        self.log.push(Seen {
            at: self.now,
            epoch: self.newest,
            owner: self.lease.as_ref().map(|lease| lease.owner.clone()),
            event,
        });
    }

    fn end(&mut self, task: TaskId, end: End) {
        let (past, event) = match end {
            End::Finished(answer) => {
                let event = Event::Ended(task, answer.status);
                (Past::Finished(answer), event)
            }
            End::Cut(cause) => (Past::Cut, Event::Cut(task, cause)),
        };
        self.past.insert(task, past);
        self.unforgotten.push(task);
        self.note(event);
    }

    fn holds(&self, epoch: Epoch) -> bool {
        self.lease.as_ref().is_some_and(|l| l.epoch == epoch)
    }

    pub(super) fn used(&self) -> Size {
        let sizes = self.running.iter().map(|task| task.info.size);
        sizes.fold(Size::ZERO, |sum, size| sum.plus(&size))
    }

    fn find(&self, task: TaskId) -> Option<usize> {
        self.running.iter().position(|t| t.info.task == task)
    }

    pub(super) fn acquire(&mut self, ask: &AcquireRequest) -> AcquireResponse {
        if let Some((by, left)) = self.barrier(&ask.owner) {
            self.note(Event::Held(ask.owner.clone()));
            return AcquireResponse::Held { by, left };
        }
        self.heir = None;
        self.newest = self.newest.next();
        self.lease = Some(Lease {
            owner: ask.owner.clone(),
            epoch: self.newest,
            until: self.now + ask.ttl,
        });
        self.note(Event::Granted);
        AcquireResponse::Granted(Grant {
            vm: self.vm.clone(),
            epoch: self.newest,
            ttl: ask.ttl,
            capacity: self.capacity,
            running: self.running.iter().map(|t| t.running(self.now)).collect(),
            leaving: self.leaving,
        })
    }

    /// Returns who keeps this owner from the lease, and for how long.
    fn barrier(&self, owner: &Owner) -> Option<(Owner, Millis)> {
        if let Some(lease) = &self.lease {
            let other = lease.owner != *owner;
            return other.then(|| (lease.owner.clone(), lease.until - self.now));
        }
        let (node, until) = self.heir.as_ref()?;
        let heir = Owner {
            node: node.clone(),
            incarnation: Incarnation::default(),
        };
        (*node != owner.node).then(|| (heir, *until - self.now))
    }

    pub(super) fn renew(&mut self, renewal: &RenewRequest) -> RenewResponse {
        if !self.holds(renewal.epoch) {
            self.note(Event::Lost(renewal.epoch));
            return RenewResponse::Lost {
                newest: self.newest,
            };
        }
        if let Some(lease) = &mut self.lease {
            lease.until = self.now + renewal.ttl;
        }
        for task in &mut self.running {
            if renewal.tasks.contains(&task.info.task) {
                task.lease = self.now + renewal.task_ttl;
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
            if let Some(past @ (Past::Finished(_) | Past::Cut)) = self.past.get_mut(task) {
                *past = Past::Forgotten;
            }
        }
        self.unforgotten.retain(|task| !tasks.contains(task));
    }

    fn observed(&self) -> Vec<ObservedTask> {
        let running = self.running.iter().map(|task| ObservedTask {
            task: task.info.task,
            state: TaskState::Running,
            usage: task.usage(self.now),
        });
        let ended = self.unforgotten.iter().map(|task| ObservedTask {
            task: *task,
            state: without_body(self.state(*task)),
            usage: Size::ZERO,
        });
        running.chain(ended).collect()
    }

    pub(super) fn release(&mut self, epoch: Epoch, heir: Option<NodeId>) {
        if !self.holds(epoch) {
            return;
        }
        self.note(Event::Released(heir.clone()));
        let until = self.lease.take().map_or(self.now, |lease| lease.until);
        self.heir = heir.map(|node| (node, until));
    }

    /// Starts a task.
    ///
    /// A task id that was seen is refused as such before anything else, because every other
    /// refusal tells the caller that nothing ran.
    pub(super) fn start(&mut self, start: &StartRequest, work: Work) -> Result<(), Refusal> {
        if let Some(refusal) = self.refusal(start) {
            let about = info(start, work.index);
            self.note(Event::Refused(about, refusal.clone()));
            return Err(refusal);
        }
        let task = Task::new(start, work, self.now, &self.checkpoints);
        self.note(Event::Started(task.info.clone()));
        self.running.push(task);
        Ok(())
    }

    fn refusal(&self, start: &StartRequest) -> Option<Refusal> {
        if self.find(start.task).is_some() {
            return Some(Refusal::Seen);
        }
        match self.past.get(&start.task) {
            Some(Past::Barred) => return Some(Refusal::Stopped),
            Some(_) => return Some(Refusal::Seen),
            None => {}
        }
        if !self.holds(start.epoch) {
            return Some(Refusal::StaleEpoch {
                newest: self.newest,
            });
        }
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        let room = self.capacity.minus(&self.used());
        (!start.size.fits(&room)).then_some(Refusal::Full)
    }

    /// Returns when a running task is due, or how it has ended.
    pub(super) fn due(&self, task: TaskId) -> Result<Millis, StartResponse> {
        if let Some(index) = self.find(task) {
            return Ok(self.running[index].due());
        }
        match self.past.get(&task) {
            Some(Past::Finished(answer)) => Err(StartResponse::Finished(answer.clone())),
            _ => Err(StartResponse::Cut),
        }
    }

    pub(super) fn state(&self, task: TaskId) -> TaskState {
        if self.find(task).is_some() {
            return TaskState::Running;
        }
        match self.past.get(&task) {
            Some(Past::Finished(answer)) => TaskState::Finished(answer.clone()),
            Some(Past::Cut) => TaskState::Cut,
            Some(Past::Barred) => TaskState::Barred,
            Some(Past::Forgotten) | None => TaskState::Unseen,
        }
    }

    /// Stops or bars a task; a forgotten one did run, and is told as cut rather than barred.
    pub(super) fn stop(&mut self, task: TaskId) -> StopResponse {
        if let Some(index) = self.find(task) {
            self.running.remove(index);
            self.end(task, End::Cut(CutCause::Stopped));
            return StopResponse::Cut;
        }
        match self.past.get(&task) {
            Some(Past::Finished(answer)) => StopResponse::Finished(answer.clone()),
            Some(Past::Cut | Past::Forgotten) => StopResponse::Cut,
            Some(Past::Barred) => StopResponse::Barred,
            None => {
                self.past.insert(task, Past::Barred);
                self.note(Event::Barred(task));
                StopResponse::Barred
            }
        }
    }

    pub(super) fn press(
        &mut self,
        epoch: Epoch,
        task: TaskId,
        pressure: TaskSignal,
    ) -> Result<(), &'static str> {
        if !self.holds(epoch) {
            return Err("stale epoch");
        }
        let Some(index) = self.find(task) else {
            return Ok(());
        };
        if pressure != TaskSignal::Checkpoint {
            self.running[index].set_speed(pressure, self.now);
            return Ok(());
        }
        let ended = self.running.remove(index);
        ended.save(self.now, &self.checkpoints);
        self.end(task, End::Cut(CutCause::Checkpoint));
        Ok(())
    }

    pub(super) fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
        self.note(Event::Leaving(leaving));
    }

    /// Restarts the worker; the epoch resumes from the clock so that it grows in any case.
    pub(super) fn restart(&mut self) {
        for task in std::mem::take(&mut self.running) {
            self.end(task.info.task, End::Cut(CutCause::Restart));
        }
        self.lease = None;
        self.heir = None;
        self.leaving = false;
        self.newest = self.newest.max(Epoch(self.now.0));
        self.note(Event::Restarted);
    }
}

/// Leaves out the body of an answer, which would travel with every renewal.
fn without_body(state: TaskState) -> TaskState {
    match state {
        TaskState::Finished(answer) => TaskState::Finished(TaskResponse {
            body: Bytes::new(),
            ..answer
        }),
        other => other,
    }
}
