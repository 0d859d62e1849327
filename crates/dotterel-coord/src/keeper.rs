//! Keeps the worker lease of one VM.
//!
//! A [`LeaseKeeper`] is one task per VM: it acquires the lease while it is wanted, renews it
//! together with the leases of the tasks there, and gives it back, to an heir if one is named. What
//! it learns goes to its embedder through [`LeaseHandler`].

use std::sync::Arc;

use dotterel_kernel::{Clock, Millis, NodeId, TaskId, VmId};
use dotterel_platform::{Grant, Granted, Owner, TaskState, Upstream};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::lease::{AcquireOutcome, Held, Permit, RenewOutcome, Terms, WorkerLease};

/// The time between two requests for a lease that may be handed over any moment, in milliseconds.
const SEEK_MS: u64 = 100;

/// How long a lease that is sought may be handed over any moment, in milliseconds.
const HANDOVER_MS: u64 = 1_500;

/// The shortest time between two calls that bring nothing, in milliseconds.
const RETRY_MS: u64 = 50;

/// What the embedder wants of a VM's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseIntent {
    /// Hold it.
    Hold,
    /// Give it to this node.
    HandOver(NodeId),
    /// Start nothing new, and give it back to nobody in particular once no task runs.
    Drain,
}

/// The tasks that a renewal names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalBatch {
    /// Tasks that go on running.
    pub renew: Vec<TaskId>,
    /// Ended tasks whose outcome is recorded elsewhere.
    ///
    /// Only the node that dispatched a task may forget it, because the state of a forgotten task
    /// reads like that of one that never came.
    pub forget: Vec<TaskId>,
}

/// What a [`LeaseKeeper`] tells its embedder and asks of it; no call may block.
pub trait LeaseHandler: Send + Sync {
    /// The VM granted the lease.
    ///
    /// The running tasks count against the capacity before anything new starts. Without a permit
    /// nothing new may start.
    fn granted(&self, grant: &Grant, permit: Option<Permit>);

    /// The VM renewed the lease; the permit replaces the earlier one.
    ///
    /// Without a permit nothing new may start, because the VM leaves or the answer came too late.
    fn renewed(&self, vm: &VmId, granted: &Granted, permit: Option<Permit>);

    /// The lease is over, by lapse or by wish; nothing new may start.
    ///
    /// Tasks go on under their own leases, and open calls still bring their answers.
    fn lost(&self, vm: &VmId);

    /// Returns the tasks that the next renewal names.
    fn tasks(&self, vm: &VmId) -> RenewalBatch;
}

/// Keeps the worker lease of one VM.
pub struct LeaseKeeper {
    vm: VmId,
    owner: Owner,
    terms: Terms,
    clock: Clock,
    upstream: Arc<dyn Upstream>,
    holder: Arc<dyn LeaseHandler>,
    attempts: u64,
}

impl LeaseKeeper {
    /// Returns a keeper that does nothing until it runs.
    #[must_use]
    pub fn new(
        vm: VmId,
        owner: Owner,
        upstream: Arc<dyn Upstream>,
        holder: Arc<dyn LeaseHandler>,
        clock: Clock,
    ) -> Self {
        Self {
            vm,
            owner,
            terms: Terms::default(),
            clock,
            upstream,
            holder,
            attempts: 0,
        }
    }

    /// Sets how long leases last.
    #[must_use]
    pub const fn terms(mut self, terms: Terms) -> Self {
        self.terms = terms;
        self
    }

    /// Follows the wish until its sender is gone, then gives the lease back.
    ///
    /// The last wish tells how: [`LeaseIntent::Drain`] waits for the tasks there,
    /// [`LeaseIntent::Hold`] does not.
    pub async fn run(mut self, mut wish: watch::Receiver<LeaseIntent>) {
        while wanted(&mut wish).await {
            let Some(lease) = self.seek(&mut wish).await else {
                continue;
            };
            self.hold(lease, &mut wish).await;
        }
    }

    /// Asks for the lease until it is granted or no longer wanted.
    async fn seek(&mut self, wish: &mut watch::Receiver<LeaseIntent>) -> Option<WorkerLease<Held>> {
        let mut lease = WorkerLease::new(self.owner.clone(), self.terms);
        let mut patience = Millis(SEEK_MS);
        let handover = self.clock.now() + Millis(HANDOVER_MS);
        while holds(wish) {
            let pause = match lease.acquire(&*self.upstream, &self.clock).await {
                AcquireOutcome::Held(lease, grant) => {
                    log::info!(vm:% = self.vm, epoch:% = grant.epoch; "worker lease granted");
                    self.holder.granted(&grant, lease.permit(self.clock.now()));
                    return Some(lease);
                }
                AcquireOutcome::Busy {
                    lease: sought,
                    left,
                    ..
                } => {
                    lease = sought;
                    left.min(patience).max(Millis(RETRY_MS))
                }
                AcquireOutcome::Failed(sought, error) => {
                    log::debug!(vm:% = self.vm, error:%; "worker lease not granted");
                    lease = sought;
                    patience
                }
            };
            if self.clock.now() > handover {
                patience = Millis(2 * patience.0).min(self.terms.ttl());
            }
            let pause = pause + self.jitter(RETRY_MS);
            self.pause_or_change(pause, wish).await;
        }
        None
    }

    /// Renews the lease until it is over.
    async fn hold(
        &mut self,
        mut lease: WorkerLease<Held>,
        wish: &mut watch::Receiver<LeaseIntent>,
    ) {
        // Adopted tasks are renewed at once: nobody has renewed them since their owner went.
        let mut next = self.clock.now();
        loop {
            if !holds(wish) {
                return self.give_back(lease, wish).await;
            }
            let now = self.clock.now();
            if now >= lease.until() {
                return self.lose(lease);
            }
            if now < next {
                let wake = next.min(lease.until());
                self.pause_or_change(wake - now, wish).await;
                continue;
            }
            match self.renew(lease).await {
                Some((kept, pause)) => {
                    lease = kept;
                    next = now + pause;
                }
                None => return,
            }
        }
    }

    /// Renews once; returns the lease and the time until the next renewal, or none when it is over.
    async fn renew(&mut self, lease: WorkerLease<Held>) -> Option<(WorkerLease<Held>, Millis)> {
        let batch = self.holder.tasks(&self.vm);
        match lease.renew(&*self.upstream, &self.clock, batch).await {
            RenewOutcome::Held(lease, granted) => {
                let permit = lease.permit(self.clock.now());
                self.holder.renewed(&self.vm, &granted, permit);
                Some((lease, self.terms.renew_interval()))
            }
            RenewOutcome::Lost(lease) => {
                log::warn!(vm:% = self.vm, epoch:% = lease.epoch(); "worker lease superseded");
                self.holder.lost(&self.vm);
                None
            }
            RenewOutcome::Failed(lease, error) => {
                log::debug!(vm:% = self.vm, error:%; "worker lease not renewed");
                let pause = Millis(RETRY_MS) + self.jitter(RETRY_MS);
                Some((lease, pause))
            }
        }
    }

    fn lose(&self, lease: WorkerLease<Held>) {
        let lapsed = lease.expire();
        log::warn!(vm:% = self.vm, epoch:% = lapsed.epoch(); "worker lease lapsed");
        self.holder.lost(&self.vm);
    }

    /// Stops new work, renews the tasks for the heir's sake, then releases.
    async fn give_back(
        &mut self,
        lease: WorkerLease<Held>,
        wish: &mut watch::Receiver<LeaseIntent>,
    ) {
        // The embedder may forget adopted tasks once the lease is lost.
        let batch = self.holder.tasks(&self.vm);
        self.holder.lost(&self.vm);
        let Some((lease, batch)) = self.drain(lease, batch, wish).await else {
            return;
        };
        let heir = match &*wish.borrow() {
            LeaseIntent::HandOver(heir) => Some(heir.clone()),
            LeaseIntent::Hold | LeaseIntent::Drain => None,
        };
        self.release(lease, heir.as_ref()).await;
        if heir.is_some() && !batch.renew.is_empty() {
            self.back_heir(wish).await;
        }
    }

    async fn release(&self, lease: WorkerLease<Held>, heir: Option<&NodeId>) {
        let (lease, told) = lease.release(&*self.upstream, heir).await;
        if let Err(error) = told {
            log::warn!(vm:% = self.vm, epoch:% = lease.epoch(), error:%; "lease not released");
        }
    }

    /// Renews what runs on a VM whose lease nobody took over, without holding the lease for long.
    ///
    /// The heir may have stopped at the same time, and there may be no other node.
    async fn back_heir(&mut self, wish: &mut watch::Receiver<LeaseIntent>) {
        let mut pause = self.terms.ttl() + Millis(HANDOVER_MS);
        loop {
            self.rest(pause, wish).await;
            if holds(wish) {
                return;
            }
            let lease = WorkerLease::new(self.owner.clone(), self.terms);
            match lease.acquire(&*self.upstream, &self.clock).await {
                AcquireOutcome::Held(lease, grant) => {
                    if !self.renew_running(lease, &grant).await {
                        return;
                    }
                    pause = Millis(self.terms.task_ttl().0 / 3);
                }
                AcquireOutcome::Busy { .. } => return,
                AcquireOutcome::Failed(..) => pause = Millis(SEEK_MS) + self.jitter(RETRY_MS),
            }
        }
    }

    /// Renews the tasks of a grant and releases it; returns false when nothing runs.
    async fn renew_running(&self, lease: WorkerLease<Held>, grant: &Grant) -> bool {
        let batch = RenewalBatch {
            renew: grant.running.iter().map(|run| run.task).collect(),
            forget: Vec::new(),
        };
        match lease.renew(&*self.upstream, &self.clock, batch).await {
            RenewOutcome::Held(lease, _) | RenewOutcome::Failed(lease, _) => {
                self.release(lease, None).await;
            }
            RenewOutcome::Lost(_) => {}
        }
        !grant.running.is_empty()
    }

    /// Renews once, and goes on while tasks run that nobody else would renew.
    ///
    /// Returns the tasks that still run with the lease, or none when the lease is over.
    async fn drain(
        &self,
        mut lease: WorkerLease<Held>,
        mut batch: RenewalBatch,
        wish: &mut watch::Receiver<LeaseIntent>,
    ) -> Option<(WorkerLease<Held>, RenewalBatch)> {
        loop {
            let mut pause = Millis(RETRY_MS);
            match lease
                .renew(&*self.upstream, &self.clock, batch.clone())
                .await
            {
                RenewOutcome::Held(kept, granted) => {
                    lease = kept;
                    batch = self.remaining(&granted);
                    pause = self.terms.renew_interval();
                }
                RenewOutcome::Failed(kept, _) => lease = kept,
                RenewOutcome::Lost(_) => return None,
            }
            if batch.renew.is_empty() || *wish.borrow() != LeaseIntent::Drain {
                return Some((lease, batch));
            }
            if self.clock.now() >= lease.until() {
                return None;
            }
            self.rest(pause, wish).await;
        }
    }

    /// Returns the tasks that still run on a VM that takes no more from here.
    fn remaining(&self, granted: &Granted) -> RenewalBatch {
        let running = granted
            .tasks
            .iter()
            .filter(|seen| seen.state == TaskState::Running);
        RenewalBatch {
            renew: running.map(|seen| seen.task).collect(),
            forget: self.holder.tasks(&self.vm).forget,
        }
    }

    /// Returns a span below `limit` that differs between nodes, VMs and attempts.
    fn jitter(&mut self, limit: u64) -> Millis {
        self.attempts += 1;
        let seed = xxh3_64_with_seed(self.vm.as_str().as_bytes(), self.attempts);
        let draw = xxh3_64_with_seed(self.owner.node.as_str().as_bytes(), seed);
        Millis(draw % limit.max(1))
    }

    /// Waits for a change of wish; a sender that is gone leaves its last wish.
    async fn rest(&self, pause: Millis, wish: &mut watch::Receiver<LeaseIntent>) {
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            Ok(()) = wish.changed() => {}
        }
    }

    async fn pause_or_change(&self, pause: Millis, wish: &mut watch::Receiver<LeaseIntent>) {
        tokio::select! {
            () = tokio::time::sleep(pause.duration()) => {}
            // An error means that the sender is gone, which the callers notice.
            _ = wish.changed() => {}
        }
    }
}

/// Waits until the lease is wanted; returns false when the sender of wishes is gone.
async fn wanted(wish: &mut watch::Receiver<LeaseIntent>) -> bool {
    wish.wait_for(|wish| *wish == LeaseIntent::Hold)
        .await
        .is_ok()
        && wish.has_changed().is_ok()
}

/// Returns true while the lease is wanted.
fn holds(wish: &watch::Receiver<LeaseIntent>) -> bool {
    wish.has_changed().is_ok() && *wish.borrow() == LeaseIntent::Hold
}
