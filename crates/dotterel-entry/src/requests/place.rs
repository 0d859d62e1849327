//! Where a request's next attempt goes.

use std::sync::Arc;

use dotterel_kernel::{Millis, Reason, TaskId};

use super::Request;
use crate::app::App;
use crate::peers::Target;
use crate::workers::{Slot, Submitted, Ticket};

/// How often a waiting request looks for room elsewhere.
const LOOK_PERIOD: Millis = Millis(50);

/// Where an attempt goes.
pub(super) enum Place {
    /// To a VM of this node.
    Here(Slot),
    /// To another node.
    There {
        /// The node.
        target: Target,
        /// Whether it may wait there.
        queue: bool,
    },
    /// Nowhere.
    Nowhere(Reason),
}

/// Finds a place: a VM of this node that has room, else a node that has, else the queue.
pub(super) async fn place(app: &Arc<App>, request: &Request, task: TaskId) -> Place {
    let mut ticket = None;
    loop {
        let now = app.clock.now();
        if now >= request.deadline {
            return Place::Nowhere(Reason::Deadline);
        }
        if *request.gone.borrow() {
            return Place::Nowhere(Reason::Cancelled);
        }
        if ticket.is_none() && app.workers.any() {
            match app.workers.submit(task, request.waiting()) {
                Submitted::Placed(slot) => return Place::Here(slot),
                Submitted::Queued(queued) => ticket = Some(queued),
                Submitted::Refused(reason) => return elsewhere(app, request, reason),
            }
        }
        if let Some(target) = app.peers.spare(request.class.spill, now) {
            return Place::There {
                target,
                queue: false,
            };
        }
        if !app.workers.any()
            && let Some(target) = app.peers.any(request.class.spill, now)
        {
            return Place::There {
                target,
                queue: true,
            };
        }
        if let Some(slot) = pause(app, request, ticket.as_mut()).await {
            return Place::Here(slot);
        }
    }
}

fn elsewhere(app: &App, request: &Request, reason: Reason) -> Place {
    let now = app.clock.now();
    match app.peers.spare(request.class.spill, now) {
        Some(target) => Place::There {
            target,
            queue: false,
        },
        None => Place::Nowhere(reason),
    }
}

/// Waits in the queue for a while, or just waits when this node owns no VM.
async fn pause(app: &App, request: &Request, ticket: Option<&mut Ticket>) -> Option<Slot> {
    let until = request.deadline.min(app.clock.now() + LOOK_PERIOD);
    match ticket {
        Some(ticket) => ticket.wait(until).await,
        None => {
            app.clock.sleep_until(until).await;
            None
        }
    }
}
