//! Implements the job engine's host on this node.

use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use compact_str::format_compact;
use dotterel_coord::jobs::{
    AttemptRecord, AttemptState, CapacityProvider, HoldId, JobHost, JobSpec, LaunchOutcome,
    TaskStart,
};
use dotterel_kernel::{Kind, Millis, NodeId, Reason, Size, TaskId, VmId};
use dotterel_platform::{CallError, StopResponse, TaskSignal, TaskState, Upstream};
use tokio::time::timeout;

use super::owner;
use super::provider::NodeProvider;
use crate::app::App;
use crate::messages::{Call, Reply};

const QUERY_TIMEOUT: Millis = Millis(500);
const LAUNCH_TIMEOUT: Millis = Millis::secs(15);

/// Maximum number of holds whose nodes are kept; beyond it the older half is dropped.
const MAX_ROUTES: usize = 65_536;

/// The host of the job engine.
pub(super) struct Host {
    app: Arc<App>,
    routes: Arc<Routes>,
}

/// Maps holds to nodes and attempts to VMs; the oldest are first.
#[derive(Debug, Default)]
pub(super) struct Routes {
    holds: Mutex<Vec<(HoldId, NodeId)>>,
    attempts: Mutex<Vec<(TaskId, VmId)>>,
}

impl Routes {
    pub(super) fn add_hold(&self, hold: HoldId, node: NodeId) {
        let mut holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        push_bounded(&mut holds, (hold, node));
    }

    fn node(&self, hold: HoldId) -> Option<NodeId> {
        let holds = self.holds.lock().unwrap_or_else(PoisonError::into_inner);
        let mut found = holds.iter().rev();
        found
            .find(|entry| entry.0 == hold)
            .map(|entry| entry.1.clone())
    }

    fn add_attempts(&self, attempts: &[AttemptRecord]) {
        let mut known = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        for attempt in attempts {
            if let Err(index) = known.binary_search_by_key(&attempt.task, |entry| entry.0) {
                known.insert(index, (attempt.task, attempt.vm.clone()));
            }
        }
    }

    fn take_attempts(&self, tasks: &[TaskId]) -> Vec<(VmId, TaskId)> {
        let mut known = self.attempts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut taken = Vec::new();
        for task in tasks {
            if let Ok(index) = known.binary_search_by_key(task, |entry| entry.0) {
                let (task, vm) = known.remove(index);
                taken.push((vm, task));
            }
        }
        taken
    }
}

fn push_bounded<T>(entries: &mut Vec<T>, entry: T) {
    if entries.len() >= MAX_ROUTES {
        entries.drain(..MAX_ROUTES / 2);
    }
    entries.push(entry);
}

impl Host {
    pub(super) fn new(app: Arc<App>) -> Self {
        Self {
            app,
            routes: Arc::default(),
        }
    }

    fn upstream(&self, vm: &VmId) -> Option<Arc<dyn Upstream>> {
        let listed = self.app.vm_list.find(vm)?;
        Some(self.app.adapters.for_vm(&listed))
    }

    /// Returns the state of an attempt on a VM that does not reply.
    ///
    /// A VM that has been missing from the platform's list for long is assumed to be gone.
    fn no_reply(&self, vm: &VmId) -> AttemptState {
        AttemptState::NoReply {
            last_renewal: self.app.vm_list.missing_since(vm),
        }
    }

    fn broadcast(&self, call: &Call) {
        for node in self.app.peers.live(self.app.clock.now()) {
            let (app, call) = (self.app.clone(), call.clone());
            tokio::spawn(async move {
                let reply = app.mesh.call(&node, &call, QUERY_TIMEOUT).await;
                if let Err(err) = reply {
                    log::debug!(peer = node.as_str(), fault:% = err; "broadcast to peer failed");
                }
            });
        }
    }
}

#[async_trait]
impl JobHost for Host {
    fn should_own(&self, shard: u32) -> bool {
        let key = format_compact!("jobs/{shard}");
        let now = self.app.clock.now();
        !self.app.stopping.get() && self.app.peers.highest_ranked(&key, now).is_none()
    }

    fn check_runnable(&self, spec: &JobSpec) -> Result<(), Reason> {
        if let Some(accepted) = self.app.feed.active(&spec.service)
            && let Some(quota) = accepted.document.quota
            && !concurrent_size(spec).fits(&quota)
        {
            return Err(Reason::Quota);
        }
        let largest = self.app.peers.largest_vm(self.app.workers.largest());
        match largest {
            Some(largest) if !spec.size.fits(&largest) => Err(Reason::TooLarge),
            Some(_) | None => Ok(()),
        }
    }

    fn owners(&self) -> Vec<Arc<dyn CapacityProvider>> {
        let settings = &self.app.settings;
        let own = (
            settings.node.clone(),
            settings.data_centre.clone(),
            settings.region.clone(),
        );
        let live = self.app.peers.locations(self.app.clock.now());
        let all = std::iter::once(own).chain(live);
        all.map(|(node, data_centre, region)| {
            let provider = NodeProvider {
                app: self.app.clone(),
                node,
                data_centre,
                region,
                routes: self.routes.clone(),
            };
            Arc::new(provider) as Arc<dyn CapacityProvider>
        })
        .collect()
    }

    async fn launch(&self, start: TaskStart) -> LaunchOutcome {
        self.routes
            .add_attempts(std::slice::from_ref(&start.attempt));
        let Some(node) = self.routes.node(start.hold) else {
            return LaunchOutcome::NotRun;
        };
        if node == *self.app.node() {
            return owner::launch(&self.app, start).await;
        }
        let call = Call::Launch(start);
        match self.app.mesh.call(&node, &call, LAUNCH_TIMEOUT).await {
            Ok(Reply::Launched(outcome)) => outcome,
            Err(err) if err.had_no_effect() => LaunchOutcome::NotRun,
            Ok(_) | Err(_) => LaunchOutcome::Unknown,
        }
    }

    async fn query_attempts(&self, attempts: &[AttemptRecord]) -> Vec<AttemptState> {
        self.routes.add_attempts(attempts);
        let queries = attempts.iter().map(|attempt| {
            let (task, upstream) = (attempt.task, self.upstream(&attempt.vm));
            tokio::spawn(async move { query_state(upstream, task).await })
        });
        let queries: Vec<_> = queries.collect();
        let mut states = Vec::with_capacity(attempts.len());
        for (answer, attempt) in queries.into_iter().zip(attempts) {
            let state = answer.await.ok().flatten();
            states.push(match state {
                Some(TaskState::Running) => AttemptState::Running,
                Some(TaskState::Finished(answer)) => AttemptState::Finished(answer.status),
                Some(TaskState::Cut) => AttemptState::Cut,
                Some(TaskState::Barred) => AttemptState::Barred,
                Some(TaskState::Unseen) => AttemptState::Unseen,
                None => self.no_reply(&attempt.vm),
            });
        }
        states
    }

    async fn stop(&self, attempt: &AttemptRecord) -> AttemptState {
        let Some(upstream) = self.upstream(&attempt.vm) else {
            return self.no_reply(&attempt.vm);
        };
        match timeout(QUERY_TIMEOUT.duration(), upstream.stop(attempt.task)).await {
            Ok(Ok(StopResponse::Barred)) => AttemptState::Barred,
            Ok(Ok(StopResponse::Cut)) => AttemptState::Cut,
            Ok(Ok(StopResponse::Finished(answer))) => AttemptState::Finished(answer.status),
            Ok(Err(_)) | Err(_) => self.no_reply(&attempt.vm),
        }
    }

    async fn signal(&self, attempt: &AttemptRecord, signal: TaskSignal) {
        owner::signal(&self.app, &attempt.vm, attempt.task, signal).await;
        self.broadcast(&Call::Signal {
            vm: attempt.vm.clone(),
            task: attempt.task,
            signal,
        });
    }

    fn ends_recorded(&self, tasks: &[TaskId]) {
        let placed = self.routes.take_attempts(tasks);
        if placed.is_empty() {
            return;
        }
        owner::forget(&self.app, &placed);
        self.broadcast(&Call::Forget(placed));
    }
}

/// Returns the total size of the tasks that must run at the same time: all for a gang, else one.
fn concurrent_size(spec: &JobSpec) -> Size {
    let count = if spec.kind == Kind::Gang {
        spec.tasks
    } else {
        1
    };
    (1..count).fold(spec.size, |sum, _| sum.plus(&spec.size))
}

async fn query_state(upstream: Option<Arc<dyn Upstream>>, task: TaskId) -> Option<TaskState> {
    let upstream = upstream?;
    let reply: Result<Result<TaskState, CallError>, _> =
        timeout(QUERY_TIMEOUT.duration(), upstream.state(task)).await;
    reply.ok()?.ok()
}
