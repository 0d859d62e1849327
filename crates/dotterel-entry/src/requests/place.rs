//! Chooses the destination of a request's next attempt.

use std::sync::Arc;

use dotterel_kernel::{Millis, NodeId, Reason, TaskId};

use super::Request;
use crate::app::App;
use crate::peers::Target;
use crate::workers::{QueuedTask, Slot, Submitted};

/// How often a queued request checks other nodes for free capacity.
const RECHECK_INTERVAL: Millis = Millis(50);

/// How long a node is skipped after it has rejected the request.
const REJECTION_BACKOFF: Millis = Millis(500);

/// The nodes that rejected a request, each with the time until which it is skipped.
#[derive(Debug, Default)]
pub(super) struct RecentRejections(Vec<(NodeId, Millis)>);

impl RecentRejections {
    /// Records a rejection.
    pub(super) fn add(&mut self, node: NodeId, now: Millis) {
        self.0.push((node, now + REJECTION_BACKOFF));
    }

    fn nodes(&mut self, now: Millis) -> &[(NodeId, Millis)] {
        self.0.retain(|entry| entry.1 > now);
        &self.0
    }
}

/// The destination of an attempt.
pub(super) enum Destination {
    /// A VM of this node.
    Local(Slot),
    /// Another node.
    Remote {
        /// The node.
        target: Target,
        /// Whether the task may be queued there.
        may_queue: bool,
    },
    /// None; the request is not run.
    Unplaced(Reason),
}

/// Chooses a VM of this node with free capacity, else another node that has some.
///
/// While there is neither, the task waits in this node's queue. If this node owns no VMs, the task
/// is forwarded to the queue of another node.
pub(super) async fn place(
    app: &Arc<App>,
    request: &Request,
    task: TaskId,
    rejections: &mut RecentRejections,
) -> Destination {
    let mut queued_task = None;
    let spill = request.class.spill;
    loop {
        let now = app.clock.now();
        if now >= request.deadline {
            return Destination::Unplaced(Reason::Deadline);
        }
        if *request.caller_gone.borrow() {
            return Destination::Unplaced(Reason::Cancelled);
        }
        if queued_task.is_none() && app.workers.owns_vms() {
            match app.workers.submit(task, request.pending_task()) {
                Submitted::Placed(slot) => return Destination::Local(slot),
                Submitted::Queued(queued) => queued_task = Some(queued),
                Submitted::Refused(reason) => {
                    return place_on_peer(app, request, rejections, reason);
                }
            }
        }
        if let Some(target) = app.peers.pick_spare(spill, now, rejections.nodes(now)) {
            return Destination::Remote {
                target,
                may_queue: false,
            };
        }
        if !app.workers.owns_vms()
            && let Some(target) = app.peers.pick_fresh(spill, now)
        {
            return Destination::Remote {
                target,
                may_queue: true,
            };
        }
        if let Some(slot) = wait_for_slot(app, request, queued_task.as_mut()).await {
            return Destination::Local(slot);
        }
    }
}

fn place_on_peer(
    app: &App,
    request: &Request,
    rejections: &mut RecentRejections,
    reason: Reason,
) -> Destination {
    let now = app.clock.now();
    match app
        .peers
        .pick_spare(request.class.spill, now, rejections.nodes(now))
    {
        Some(target) => Destination::Remote {
            target,
            may_queue: false,
        },
        None => Destination::Unplaced(reason),
    }
}

/// Waits in the queue until the next check of other nodes; only sleeps if nothing is queued.
async fn wait_for_slot(
    app: &App,
    request: &Request,
    queued_task: Option<&mut QueuedTask>,
) -> Option<Slot> {
    let until = request.deadline.min(app.clock.now() + RECHECK_INTERVAL);
    match queued_task {
        Some(queued_task) => queued_task.wait(until).await,
        None => {
            app.clock.sleep_until(until).await;
            None
        }
    }
}
