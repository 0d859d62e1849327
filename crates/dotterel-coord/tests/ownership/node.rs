//! A minimal entry node built on the coordination crate.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Poll, Waker};

use dotterel_coord::{
    DispatchOutcome, DispatchTimeouts, LeaseHandler, LeaseIntent, LeaseKeeper, LeavingVms, NotRun,
    Permit, RenewalBatch, dispatch, halt, poll_vm_list,
};
use dotterel_kernel::{
    Clock, Epoch, Fleet, HoldKey, Incarnation, Millis, NodeId, RequestId, Size, TaskId, Vm, VmId,
    VmKey,
};
use dotterel_platform::{Grant, Owner, Refusal, StartRequest, TaskState, VmList, VmReport};
use dotterel_standin::{FakeVmList, FakeWorker};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// The declared capacity of each VM. The stand-in workers accept more, so only the nodes prevent
/// overload.
pub(crate) const SLOTS: u32 = 2;

/// The size of one task.
pub(crate) const SLOT: Size = Size {
    slots: 1,
    ..Size::ZERO
};

/// A request that was sent to a VM, as a durable record would store it.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) request: RequestId,
    pub(crate) task: TaskId,
    pub(crate) vm: VmId,
    pub(crate) run_ms: u64,
    /// The outcome that the node reported; none while the dispatch is in progress.
    pub(crate) outcome: Option<DispatchOutcome>,
}

/// A node's state for one VM.
struct VmEntry {
    worker: FakeWorker,
    intent: watch::Sender<LeaseIntent>,
    key: Option<VmKey>,
    permit: Option<Permit>,
    /// The running tasks, their holds, and whether this node dispatched them.
    tasks: Vec<(TaskId, HoldKey, bool)>,
    forget: Vec<TaskId>,
}

#[derive(Default)]
struct Inner {
    fleet: Fleet,
    entries: Vec<VmEntry>,
    leaving: LeavingVms,
    sent: Vec<Sent>,
    paused: bool,
    wakers: Vec<Waker>,
}

/// One incarnation of an entry node.
#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) id: NodeId,
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
    futures: Arc<Mutex<JoinSet<()>>>,
}

impl Node {
    /// Starts a node that acquires no lease yet.
    pub(crate) fn new(id: &str, workers: &[FakeWorker], clock: Clock) -> Self {
        let node = Self {
            id: id.into(),
            clock,
            inner: Arc::default(),
            futures: Arc::default(),
        };
        for worker in workers {
            node.add_worker(worker.for_caller(id));
        }
        node
    }

    fn add_worker(&self, worker: FakeWorker) {
        let (intent, intents) = watch::channel(LeaseIntent::Drain);
        let owner = Owner {
            node: self.id.clone(),
            incarnation: Incarnation(1),
        };
        let upstream = Arc::new(worker.clone());
        let handler = Arc::new(self.clone());
        let keeper = LeaseKeeper::new(worker.vm(), owner, upstream, handler, self.clock);
        self.inner().entries.push(VmEntry {
            worker,
            intent,
            key: None,
            permit: None,
            tasks: Vec::new(),
            forget: Vec::new(),
        });
        self.spawn(keeper.run(intents));
    }

    /// Polls the platform's VM list.
    pub(crate) fn poll_list(&self, list: FakeVmList) {
        let node = self.clone();
        self.spawn(async move {
            let update = |result| {
                if let Ok(listing) = result {
                    node.inner().leaving.update_list(&listing);
                }
            };
            poll_vm_list(&list as &dyn VmList, Millis(1_000), Millis(1_000), update).await;
        });
    }

    pub(crate) fn set_intent(&self, vm: usize, intent: LeaseIntent) {
        self.inner().entries[vm].intent.send_replace(intent);
    }

    /// Pauses or resumes the process.
    pub(crate) fn pause(&self, paused: bool) {
        let mut inner = self.inner();
        inner.paused = paused;
        inner.wakers.drain(..).for_each(Waker::wake);
    }

    /// Kills the process.
    pub(crate) fn kill(&self) {
        self.futures
            .lock()
            .expect("the lock is not poisoned")
            .abort_all();
    }

    pub(crate) fn sent(&self) -> Vec<Sent> {
        self.inner().sent.clone()
    }

    pub(crate) fn owns(&self, vm: usize) -> bool {
        self.inner().entries[vm]
            .permit
            .is_some_and(|permit| permit.epoch(self.clock.now()).is_some())
    }

    /// Runs a request on the first VM with free capacity; returns false if there is none.
    pub(crate) fn submit(&self, request: RequestId, run_ms: u64) -> bool {
        let mut inner = self.inner();
        let now = self.clock.now();
        let found = (0..inner.entries.len()).find_map(|vm| {
            let permit = inner.entries[vm].permit?;
            let is_leaving = inner.leaving.contains(&inner.entries[vm].worker.vm());
            let key = inner.entries[vm].key.filter(|_| !is_leaving)?;
            Some((vm, permit, inner.fleet.hold(key, SLOT, false, now)?))
        });
        let Some((vm, permit, hold)) = found else {
            return false;
        };
        let sent = Sent {
            request,
            task: TaskId::generate(),
            vm: inner.entries[vm].worker.vm(),
            run_ms,
            outcome: None,
        };
        inner.entries[vm].tasks.push((sent.task, hold, true));
        inner.sent.push(sent.clone());
        drop(inner);
        self.spawn(self.clone().run(vm, permit, sent));
        true
    }

    async fn run(self, vm: usize, permit: Permit, sent: Sent) {
        let worker = self.inner().entries[vm].worker.clone();
        let body = format!("{{\"run_ms\":{}}}", sent.run_ms).into();
        let timeouts = DispatchTimeouts::default();
        let outcome = dispatch(&worker, permit, start(&sent), body, &self.clock, &timeouts).await;
        let mut inner = self.inner();
        if outcome != DispatchOutcome::Unknown {
            inner.release(vm, sent.task);
            inner.entries[vm].forget.push(sent.task);
        }
        if outcome == DispatchOutcome::NotRun(NotRun::Refused(Refusal::Leaving)) {
            inner.leaving.mark_leaving(&sent.vm, self.clock.now());
        }
        let mut matching = inner
            .sent
            .iter_mut()
            .filter(|matching| matching.task == sent.task);
        if let Some(matching) = matching.next() {
            matching.outcome = Some(outcome);
        }
    }

    /// Stops a task that another node sent, and resubmits its request once the stop is confirmed.
    pub(crate) fn stop_and_resubmit(&self, lost: Sent) {
        let node = self.clone();
        let found = |entry: &VmEntry| entry.worker.vm() == lost.vm;
        let worker = self
            .inner()
            .entries
            .iter()
            .find(|entry| found(entry))
            .map(|entry| entry.worker.clone());
        self.spawn(async move {
            let worker = worker.expect("every node has an entry for every VM");
            let outcome = halt(
                &worker,
                lost.task,
                &node.clock,
                &DispatchTimeouts::default(),
            )
            .await;
            if matches!(outcome, DispatchOutcome::NotRun(_) | DispatchOutcome::Cut) {
                node.submit(lost.request, lost.run_ms);
            }
        });
    }

    fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        let inner = self.inner.clone();
        self.futures
            .lock()
            .expect("the lock is not poisoned")
            .spawn(async move {
                let mut future = pin!(future);
                poll_fn(|cx| {
                    let mut held = inner.lock().expect("the lock is not poisoned");
                    if held.paused {
                        held.wakers.push(cx.waker().clone());
                        return Poll::Pending;
                    }
                    drop(held);
                    future.as_mut().poll(cx)
                })
                .await;
            });
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the lock is not poisoned")
    }
}

impl Inner {
    fn vm_index(&self, vm: &VmId) -> usize {
        let found = self
            .entries
            .iter()
            .position(|entry| entry.worker.vm() == *vm);
        found.expect("every node has an entry for every VM")
    }

    fn release(&mut self, vm: usize, task: TaskId) {
        let tasks = &mut self.entries[vm].tasks;
        if let Some(index) = tasks.iter().position(|held| held.0 == task) {
            self.fleet.release(tasks.remove(index).1);
        }
    }
}

impl std::fmt::Debug for Node {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_tuple("Node").field(&self.id).finish()
    }
}

impl LeaseHandler for Node {
    fn granted(&self, grant: &Grant, permit: Option<Permit>) {
        let mut inner = self.inner();
        let vm_index = inner.vm_index(&grant.vm);
        if let Some(key) = inner.entries[vm_index].key.take() {
            inner.fleet.remove(key);
        }
        let capacity = Size {
            slots: SLOTS,
            ..Size::ZERO
        };
        let vm = Vm::new(grant.vm.clone(), "dc".into(), capacity, grant.epoch);
        let key = inner.fleet.insert(vm);
        let own: Vec<TaskId> = inner.sent.iter().map(|sent| sent.task).collect();
        let adopted = grant.running.iter().map(|run| {
            let hold = inner.fleet.adopt(key, run.size, false, self.clock.now());
            (
                run.task,
                hold.expect("the VM was just added"),
                own.contains(&run.task),
            )
        });
        let tasks = adopted.collect();
        let entry = &mut inner.entries[vm_index];
        (entry.key, entry.permit, entry.tasks) = (Some(key), permit, tasks);
    }

    fn renewed(&self, vm: &VmId, granted: &VmReport, permit: Option<Permit>) {
        let mut inner = self.inner();
        let vm_index = inner.vm_index(vm);
        inner.entries[vm_index].permit = permit;
        let runs = |task| {
            let mut seen = granted.tasks.iter();
            seen.any(|seen| seen.task == task && seen.state == TaskState::Running)
        };
        let held = inner.entries[vm_index].tasks.clone();
        for (task, _, _) in held.iter().filter(|held| !held.2 && !runs(held.0)) {
            inner.release(vm_index, *task);
        }
    }

    fn lost(&self, vm: &VmId) {
        let mut inner = self.inner();
        let vm_index = inner.vm_index(vm);
        inner.entries[vm_index].permit = None;
    }

    fn tasks(&self, vm: &VmId) -> RenewalBatch {
        let mut inner = self.inner();
        let vm_index = inner.vm_index(vm);
        let entry = &mut inner.entries[vm_index];
        RenewalBatch {
            renew: entry.tasks.iter().map(|held| held.0).collect(),
            forget: std::mem::take(&mut entry.forget),
        }
    }
}

/// Returns the start call of a one-slot task.
pub(crate) fn start(sent: &Sent) -> StartRequest {
    StartRequest {
        epoch: Epoch::default(),
        task: sent.task,
        request: Some(sent.request),
        job: None,
        service: "quotes".into(),
        class: "count".into(),
        size: SLOT,
        task_ttl: Millis(15_000),
        timeout: Millis::secs(3_600),
    }
}
