//! Acquires, renews and releases the worker lease of one VM.
//!
//! A [`LeaseKeeper`] runs as one task per VM. It renews the worker lease together with the leases
//! of the tasks on the VM, and reports every change to its embedder through [`LeaseHandler`].

use std::sync::Arc;

use dotterel_kernel::{Clock, Millis, NodeId, TaskId, VmId};
use dotterel_platform::{Grant, Owner, TaskState, Upstream, VmReport};
use tokio::sync::watch;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::lease::{AcquireOutcome, Held, Permit, RenewOutcome, Terms, WorkerLease};

/// The initial interval between attempts to acquire a lease, in milliseconds.
///
/// It is short because the current owner may be handing the lease over.
const ACQUIRE_INTERVAL_MS: u64 = 100;

/// The time allowed for a handover, in milliseconds; after it, the acquire interval backs off.
const HANDOVER_TIMEOUT_MS: u64 = 1_500;

/// The minimum interval between retries of a call without a result, in milliseconds.
const MIN_RETRY_MS: u64 = 50;

/// What the embedder wants the keeper to do with a VM's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseIntent {
    /// Acquire the lease and keep it renewed.
    Hold,
    /// Release the lease to this node.
    HandOver(NodeId),
    /// Start no new tasks, and release the lease without a successor once no task runs.
    Drain,
}

/// The tasks that are sent with a lease renewal.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RenewalBatch {
    /// Tasks whose leases are renewed.
    pub renew: Vec<TaskId>,
    /// Ended tasks that the VM may forget, because their outcome is recorded elsewhere.
    ///
    /// Only the node that dispatched a task may have it forgotten: the VM reports a forgotten task
    /// in the same way as one that it has never received.
    pub forget: Vec<TaskId>,
}

/// Callbacks from a [`LeaseKeeper`] to its embedder; none may block.
pub trait LeaseHandler: Send + Sync {
    /// Called when the VM has granted the lease.
    ///
    /// The running tasks of the grant must be counted against the capacity before any new task
    /// starts. Without a permit no new task may start.
    fn granted(&self, grant: &Grant, permit: Option<Permit>);

    /// Called when the VM has renewed the lease; the permit replaces the earlier one.
    ///
    /// Without a permit no new task may start, because the VM is leaving or the reply was late.
    fn renewed(&self, vm: &VmId, granted: &VmReport, permit: Option<Permit>);

    /// Called when the lease has expired, was superseded or is about to be released.
    ///
    /// No new task may start. Running tasks continue under their own leases, and calls in flight
    /// still receive their replies.
    fn lost(&self, vm: &VmId);

    /// Returns the tasks to send with the next renewal.
    fn tasks(&self, vm: &VmId) -> RenewalBatch;
}

/// Acquires, renews and releases the worker lease of one VM.
pub struct LeaseKeeper {
    vm: VmId,
    owner: Owner,
    terms: Terms,
    clock: Clock,
    upstream: Arc<dyn Upstream>,
    handler: Arc<dyn LeaseHandler>,
    attempts: u64,
}

impl LeaseKeeper {
    /// Returns a keeper that makes no calls until [`run`](Self::run).
    #[must_use]
    pub fn new(
        vm: VmId,
        owner: Owner,
        upstream: Arc<dyn Upstream>,
        handler: Arc<dyn LeaseHandler>,
        clock: Clock,
    ) -> Self {
        Self {
            vm,
            owner,
            terms: Terms::default(),
            clock,
            upstream,
            handler,
            attempts: 0,
        }
    }

    /// Sets the lease terms.
    #[must_use]
    pub const fn terms(mut self, terms: Terms) -> Self {
        self.terms = terms;
        self
    }

    /// Follows the intent until its sender is dropped, then releases the lease.
    ///
    /// The last intent decides how: [`LeaseIntent::Drain`] waits for the running tasks,
    /// [`LeaseIntent::Hold`] does not.
    pub async fn run(mut self, mut intent: watch::Receiver<LeaseIntent>) {
        while wait_until_wanted(&mut intent).await {
            let Some(lease) = self.acquire(&mut intent).await else {
                continue;
            };
            self.hold(lease, &mut intent).await;
        }
    }

    /// Tries to acquire the lease until it is granted or no longer wanted.
    async fn acquire(
        &mut self,
        intent: &mut watch::Receiver<LeaseIntent>,
    ) -> Option<WorkerLease<Held>> {
        let mut lease = WorkerLease::new(self.owner.clone(), self.terms);
        let mut interval = Millis(ACQUIRE_INTERVAL_MS);
        let handover_end = self.clock.now() + Millis(HANDOVER_TIMEOUT_MS);
        while is_wanted(intent) {
            let delay = match lease.acquire(&*self.upstream, &self.clock).await {
                AcquireOutcome::Held(lease, grant) => {
                    log::info!(vm:% = self.vm, epoch:% = grant.epoch; "worker lease granted");
                    self.handler.granted(&grant, lease.permit(self.clock.now()));
                    return Some(lease);
                }
                AcquireOutcome::Busy {
                    lease: unheld,
                    left,
                    ..
                } => {
                    lease = unheld;
                    left.min(interval).max(Millis(MIN_RETRY_MS))
                }
                AcquireOutcome::Failed(unheld, err) => {
                    log::debug!(vm:% = self.vm, error:% = err; "failed to acquire worker lease");
                    lease = unheld;
                    interval
                }
            };
            if self.clock.now() > handover_end {
                interval = Millis(2 * interval.0).min(self.terms.ttl());
            }
            let delay = delay + self.jitter(MIN_RETRY_MS);
            self.sleep_or_change(delay, intent).await;
        }
        None
    }

    /// Renews the lease until it is lost, has expired or is no longer wanted.
    async fn hold(
        &mut self,
        mut lease: WorkerLease<Held>,
        intent: &mut watch::Receiver<LeaseIntent>,
    ) {
        // Renew adopted tasks at once: their leases were last renewed by the previous owner.
        let mut next = self.clock.now();
        loop {
            if !is_wanted(intent) {
                return self.drain_and_release(lease, intent).await;
            }
            let now = self.clock.now();
            if now >= lease.until() {
                return self.expire(lease);
            }
            if now < next {
                let wake = next.min(lease.until());
                self.sleep_or_change(wake - now, intent).await;
                continue;
            }
            match self.renew(lease).await {
                Some((current, delay)) => {
                    lease = current;
                    next = now + delay;
                }
                None => return,
            }
        }
    }

    /// Renews once; returns the lease and the delay until the next call, or `None` if it was lost.
    async fn renew(&mut self, lease: WorkerLease<Held>) -> Option<(WorkerLease<Held>, Millis)> {
        let batch = self.handler.tasks(&self.vm);
        match lease.renew(&*self.upstream, &self.clock, batch).await {
            RenewOutcome::Held(lease, granted) => {
                let permit = lease.permit(self.clock.now());
                self.handler.renewed(&self.vm, &granted, permit);
                Some((lease, self.terms.renew_interval()))
            }
            RenewOutcome::Lost(lease) => {
                log::warn!(vm:% = self.vm, epoch:% = lease.epoch(); "worker lease superseded");
                self.handler.lost(&self.vm);
                None
            }
            RenewOutcome::Failed(lease, err) => {
                log::debug!(vm:% = self.vm, error:% = err; "failed to renew worker lease");
                let delay = Millis(MIN_RETRY_MS) + self.jitter(MIN_RETRY_MS);
                Some((lease, delay))
            }
        }
    }

    fn expire(&self, lease: WorkerLease<Held>) {
        let expired = lease.expire();
        log::warn!(vm:% = self.vm, epoch:% = expired.epoch(); "worker lease expired");
        self.handler.lost(&self.vm);
    }

    /// Prevents new starts, renews the leases of the running tasks, and releases the lease.
    ///
    /// One renewal keeps the tasks running until a successor has acquired the lease. While the
    /// intent is [`LeaseIntent::Drain`], renewals continue until no task runs.
    async fn drain_and_release(
        &mut self,
        lease: WorkerLease<Held>,
        intent: &mut watch::Receiver<LeaseIntent>,
    ) {
        // Collected first, because the embedder may drop adopted tasks in `lost`.
        let batch = self.handler.tasks(&self.vm);
        self.handler.lost(&self.vm);
        let Some((lease, batch)) = self.drain(lease, batch, intent).await else {
            return;
        };
        let successor = match &*intent.borrow() {
            LeaseIntent::HandOver(successor) => Some(successor.clone()),
            LeaseIntent::Hold | LeaseIntent::Drain => None,
        };
        self.release(lease, successor.as_ref()).await;
        if successor.is_some() && !batch.renew.is_empty() {
            self.renew_orphans(intent).await;
        }
    }

    async fn release(&self, lease: WorkerLease<Held>, successor: Option<&NodeId>) {
        let (lease, result) = lease.release(&*self.upstream, successor).await;
        if let Err(err) = result {
            log::warn!(vm:% = self.vm, epoch:% = lease.epoch(), error:% = err; "failed to release worker lease");
        }
    }

    /// Renews the leases of the tasks on a VM whose lease the successor hasn't acquired.
    ///
    /// The successor may have stopped at the same time, and there may be no other node. The lease
    /// is released after each renewal, so that another node can acquire it.
    async fn renew_orphans(&mut self, intent: &mut watch::Receiver<LeaseIntent>) {
        let mut delay = self.terms.ttl() + Millis(HANDOVER_TIMEOUT_MS);
        loop {
            self.sleep_or_new_intent(delay, intent).await;
            if is_wanted(intent) {
                return;
            }
            let lease = WorkerLease::new(self.owner.clone(), self.terms);
            match lease.acquire(&*self.upstream, &self.clock).await {
                AcquireOutcome::Held(lease, grant) => {
                    if !self.renew_running(lease, &grant).await {
                        return;
                    }
                    delay = Millis(self.terms.task_ttl().0 / 3);
                }
                AcquireOutcome::Busy { .. } => return,
                AcquireOutcome::Failed(..) => {
                    delay = Millis(ACQUIRE_INTERVAL_MS) + self.jitter(MIN_RETRY_MS);
                }
            }
        }
    }

    /// Renews the task leases of a grant and releases the worker lease.
    ///
    /// Returns false if no task is running.
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

    /// Renews once, and while the intent is [`LeaseIntent::Drain`] until no task runs any more.
    ///
    /// Returns the lease and the tasks that still run, or `None` if the lease was lost or expired.
    async fn drain(
        &self,
        mut lease: WorkerLease<Held>,
        mut batch: RenewalBatch,
        intent: &mut watch::Receiver<LeaseIntent>,
    ) -> Option<(WorkerLease<Held>, RenewalBatch)> {
        loop {
            let mut delay = Millis(MIN_RETRY_MS);
            match lease
                .renew(&*self.upstream, &self.clock, batch.clone())
                .await
            {
                RenewOutcome::Held(current, granted) => {
                    lease = current;
                    batch = self.remaining(&granted);
                    delay = self.terms.renew_interval();
                }
                RenewOutcome::Failed(current, _) => lease = current,
                RenewOutcome::Lost(_) => return None,
            }
            if batch.renew.is_empty() || *intent.borrow() != LeaseIntent::Drain {
                return Some((lease, batch));
            }
            if self.clock.now() >= lease.until() {
                return None;
            }
            self.sleep_or_new_intent(delay, intent).await;
        }
    }

    /// Returns the batch for the next renewal while draining.
    fn remaining(&self, granted: &VmReport) -> RenewalBatch {
        let running = granted
            .tasks
            .iter()
            .filter(|task| task.state == TaskState::Running);
        RenewalBatch {
            renew: running.map(|task| task.task).collect(),
            forget: self.handler.tasks(&self.vm).forget,
        }
    }

    /// Returns a duration below `limit` milliseconds that differs between nodes, VMs and attempts.
    fn jitter(&mut self, limit: u64) -> Millis {
        self.attempts += 1;
        let seed = xxh3_64_with_seed(self.vm.as_str().as_bytes(), self.attempts);
        let draw = xxh3_64_with_seed(self.owner.node.as_str().as_bytes(), seed);
        Millis(draw % limit.max(1))
    }

    /// Sleeps, and returns early on a new intent but not when the sender is dropped.
    async fn sleep_or_new_intent(&self, delay: Millis, intent: &mut watch::Receiver<LeaseIntent>) {
        tokio::select! {
            () = tokio::time::sleep(delay.duration()) => {}
            Ok(()) = intent.changed() => {}
        }
    }

    /// Sleeps, and returns early on a new intent or when the sender is dropped.
    async fn sleep_or_change(&self, delay: Millis, intent: &mut watch::Receiver<LeaseIntent>) {
        tokio::select! {
            () = tokio::time::sleep(delay.duration()) => {}
            // An error means that the sender was dropped, which the callers check.
            _ = intent.changed() => {}
        }
    }
}

/// Waits until the lease is wanted; returns false once the sender is dropped.
async fn wait_until_wanted(intent: &mut watch::Receiver<LeaseIntent>) -> bool {
    intent
        .wait_for(|intent| *intent == LeaseIntent::Hold)
        .await
        .is_ok()
        && intent.has_changed().is_ok()
}

/// Returns true while the lease is wanted.
fn is_wanted(intent: &watch::Receiver<LeaseIntent>) -> bool {
    intent.has_changed().is_ok() && *intent.borrow() == LeaseIntent::Hold
}
