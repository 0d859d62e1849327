//! A small entry node around the coordination parts.

use std::future::poll_fn;
use std::pin::pin;
use std::sync::{Arc, Mutex, MutexGuard};
use std::task::{Poll, Waker};

use dotterel_coord::{
    DispatchOutcome, DispatchTimeouts, LeaseHandler, LeaseIntent, LeaseKeeper, Leaving, NotRun,
    Permit, RenewalBatch, dispatch, follow, halt,
};
use dotterel_kernel::{
    Clock, Epoch, Fleet, HoldKey, Incarnation, Millis, NodeId, RequestId, Size, TaskId, Vm, VmId,
    VmKey,
};
use dotterel_platform::{Grant, Owner, Refusal, StartRequest, TaskState, VmList, VmReport};
use dotterel_standin::{FakeVmList, FakeWorker};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// What each VM is declared to hold; the stand-ins hold more, so that they refuse no excess.
pub(crate) const SLOTS: u32 = 2;

/// One slot.
pub(crate) const SLOT: Size = Size {
    slots: 1,
    ..Size::ZERO
};

/// A request sent to a VM, as a durable record would keep it.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) request: RequestId,
    pub(crate) task: TaskId,
    pub(crate) vm: VmId,
    pub(crate) run_ms: u64,
    /// What the node said of it in the end.
    pub(crate) told: Option<DispatchOutcome>,
}

/// What a node knows of one VM.
struct Post {
    worker: FakeWorker,
    wish: watch::Sender<LeaseIntent>,
    key: Option<VmKey>,
    permit: Option<Permit>,
    /// The tasks there, and whether this node dispatched them.
    tasks: Vec<(TaskId, HoldKey, bool)>,
    forget: Vec<TaskId>,
}

#[derive(Default)]
struct Desk {
    fleet: Fleet,
    posts: Vec<Post>,
    leaving: Leaving,
    sent: Vec<Sent>,
    paused: bool,
    wakers: Vec<Waker>,
}

/// One life of an entry node.
#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) id: NodeId,
    clock: Clock,
    desk: Arc<Mutex<Desk>>,
    jobs: Arc<Mutex<JoinSet<()>>>,
}

impl Node {
    /// Starts a node that wants no lease yet.
    pub(crate) fn new(id: &str, workers: &[FakeWorker], clock: Clock) -> Self {
        let node = Self {
            id: id.into(),
            clock,
            desk: Arc::default(),
            jobs: Arc::default(),
        };
        for worker in workers {
            node.post(worker.of(id));
        }
        node
    }

    fn post(&self, worker: FakeWorker) {
        let (wish, wishes) = watch::channel(LeaseIntent::Drain);
        let owner = Owner {
            node: self.id.clone(),
            incarnation: Incarnation(1),
        };
        let upstream = Arc::new(worker.clone());
        let holder = Arc::new(self.clone());
        let keeper = LeaseKeeper::new(worker.vm(), owner, upstream, holder, self.clock);
        self.desk().posts.push(Post {
            worker,
            wish,
            key: None,
            permit: None,
            tasks: Vec::new(),
            forget: Vec::new(),
        });
        self.spawn(keeper.run(wishes));
    }

    /// Follows the platform's list.
    pub(crate) fn follow(&self, list: FakeVmList) {
        let node = self.clone();
        self.spawn(async move {
            let tell = |heard| {
                if let Ok(listing) = heard {
                    node.desk().leaving.hear_list(&listing);
                }
            };
            follow(&list as &dyn VmList, Millis(1_000), Millis(1_000), tell).await;
        });
    }

    pub(crate) fn wish(&self, vm: usize, wish: LeaseIntent) {
        self.desk().posts[vm].wish.send_replace(wish);
    }

    /// Stops the process for a while, or lets it go on.
    pub(crate) fn pause(&self, paused: bool) {
        let mut desk = self.desk();
        desk.paused = paused;
        desk.wakers.drain(..).for_each(Waker::wake);
    }

    /// Ends the process.
    pub(crate) fn kill(&self) {
        self.jobs.lock().expect("no panic holds it").abort_all();
    }

    pub(crate) fn sent(&self) -> Vec<Sent> {
        self.desk().sent.clone()
    }

    pub(crate) fn owns(&self, vm: usize) -> bool {
        self.desk().posts[vm]
            .permit
            .is_some_and(|permit| permit.epoch(self.clock.now()).is_some())
    }

    /// Runs a request on the first VM with room; returns false when there is none.
    pub(crate) fn submit(&self, request: RequestId, run_ms: u64) -> bool {
        let mut desk = self.desk();
        let now = self.clock.now();
        let found = (0..desk.posts.len()).find_map(|vm| {
            let permit = desk.posts[vm].permit?;
            let leaves = desk.leaving.contains(&desk.posts[vm].worker.vm());
            let key = desk.posts[vm].key.filter(|_| !leaves)?;
            Some((vm, permit, desk.fleet.hold(key, SLOT, false, now)?))
        });
        let Some((vm, permit, hold)) = found else {
            return false;
        };
        let sent = Sent {
            request,
            task: TaskId::generate(),
            vm: desk.posts[vm].worker.vm(),
            run_ms,
            told: None,
        };
        desk.posts[vm].tasks.push((sent.task, hold, true));
        desk.sent.push(sent.clone());
        drop(desk);
        self.spawn(self.clone().run(vm, permit, sent));
        true
    }

    async fn run(self, vm: usize, permit: Permit, sent: Sent) {
        let worker = self.desk().posts[vm].worker.clone();
        let body = format!("{{\"run_ms\":{}}}", sent.run_ms).into();
        let limits = DispatchTimeouts::default();
        let outcome = dispatch(&worker, permit, start(&sent), body, &self.clock, &limits).await;
        let mut desk = self.desk();
        if outcome != DispatchOutcome::Unknown {
            desk.release(vm, sent.task);
            desk.posts[vm].forget.push(sent.task);
        }
        if outcome == DispatchOutcome::NotRun(NotRun::Refused(Refusal::Leaving)) {
            desk.leaving.hear_vm(&sent.vm, self.clock.now());
        }
        let mut kept = desk.sent.iter_mut().filter(|kept| kept.task == sent.task);
        if let Some(kept) = kept.next() {
            kept.told = Some(outcome);
        }
    }

    /// Stops what another node had sent, and runs it again once that is acknowledged.
    pub(crate) fn rescue(&self, lost: Sent) {
        let node = self.clone();
        let found = |post: &Post| post.worker.vm() == lost.vm;
        let worker = self
            .desk()
            .posts
            .iter()
            .find(|post| found(post))
            .map(|post| post.worker.clone());
        self.spawn(async move {
            let worker = worker.expect("all nodes know all VMs");
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

    fn spawn(&self, job: impl Future<Output = ()> + Send + 'static) {
        let desk = self.desk.clone();
        self.jobs
            .lock()
            .expect("no panic holds it")
            .spawn(async move {
                let mut job = pin!(job);
                poll_fn(|cx| {
                    let mut held = desk.lock().expect("no panic holds it");
                    if held.paused {
                        held.wakers.push(cx.waker().clone());
                        return Poll::Pending;
                    }
                    drop(held);
                    job.as_mut().poll(cx)
                })
                .await;
            });
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().expect("no panic holds it")
    }
}

impl Desk {
    fn place(&self, vm: &VmId) -> usize {
        let found = self.posts.iter().position(|post| post.worker.vm() == *vm);
        found.expect("all nodes know all VMs")
    }

    fn release(&mut self, vm: usize, task: TaskId) {
        let tasks = &mut self.posts[vm].tasks;
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
        let mut desk = self.desk();
        let place = desk.place(&grant.vm);
        if let Some(key) = desk.posts[place].key.take() {
            desk.fleet.remove(key);
        }
        let capacity = Size {
            slots: SLOTS,
            ..Size::ZERO
        };
        let vm = Vm::new(grant.vm.clone(), "dc".into(), capacity, grant.epoch);
        let key = desk.fleet.insert(vm);
        let own: Vec<TaskId> = desk.sent.iter().map(|sent| sent.task).collect();
        let adopted = grant.running.iter().map(|run| {
            let hold = desk.fleet.adopt(key, run.size, false, self.clock.now());
            (
                run.task,
                hold.expect("the VM was just added"),
                own.contains(&run.task),
            )
        });
        let tasks = adopted.collect();
        let post = &mut desk.posts[place];
        (post.key, post.permit, post.tasks) = (Some(key), permit, tasks);
    }

    fn renewed(&self, vm: &VmId, granted: &VmReport, permit: Option<Permit>) {
        let mut desk = self.desk();
        let place = desk.place(vm);
        desk.posts[place].permit = permit;
        let runs = |task| {
            let mut seen = granted.tasks.iter();
            seen.any(|seen| seen.task == task && seen.state == TaskState::Running)
        };
        let held = desk.posts[place].tasks.clone();
        for (task, _, _) in held.iter().filter(|held| !held.2 && !runs(held.0)) {
            desk.release(place, *task);
        }
    }

    fn lost(&self, vm: &VmId) {
        let mut desk = self.desk();
        let place = desk.place(vm);
        desk.posts[place].permit = None;
    }

    fn tasks(&self, vm: &VmId) -> RenewalBatch {
        let mut desk = self.desk();
        let place = desk.place(vm);
        let post = &mut desk.posts[place];
        RenewalBatch {
            renew: post.tasks.iter().map(|held| held.0).collect(),
            forget: std::mem::take(&mut post.forget),
        }
    }
}

/// Describes a task of one slot.
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
