//! Where a request's next attempt goes.

use std::sync::Arc;

use dotterel_kernel::{Millis, NodeId, Reason, TaskId};

use super::Request;
use crate::app::App;
use crate::peers::Target;
use crate::workers::{Slot, Submitted, Ticket};

/// How often a waiting request looks for room elsewhere.
const LOOK_PERIOD: Millis = Millis(50);

/// How long a node that turned a request away is not asked again.
const TURNED_SPAN: Millis = Millis(500);

/// The nodes that turned a request away, each with the time until which it is left alone.
#[derive(Debug, Default)]
pub(super) struct Turned(Vec<(NodeId, Millis)>);

impl Turned {
    /// Notes a node that turned the request away.
    pub(super) fn add(&mut self, node: NodeId, now: Millis) {
        self.0.push((node, now + TURNED_SPAN));
    }

    fn nodes(&mut self, now: Millis) -> &[(NodeId, Millis)] {
        self.0.retain(|entry| entry.1 > now);
        &self.0
    }
}

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
pub(super) async fn place(
    app: &Arc<App>,
    request: &Request,
    task: TaskId,
    turned: &mut Turned,
) -> Place {
    let mut ticket = None;
    let spill = request.class.spill;
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
                Submitted::Refused(reason) => return elsewhere(app, request, turned, reason),
            }
        }
        if let Some(target) = app.peers.pick_spare(spill, now, turned.nodes(now)) {
            return Place::There {
                target,
                queue: false,
            };
        }
        if !app.workers.any()
            && let Some(target) = app.peers.pick_fresh(spill, now)
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

fn elsewhere(app: &App, request: &Request, turned: &mut Turned, reason: Reason) -> Place {
    let now = app.clock.now();
    match app
        .peers
        .pick_spare(request.class.spill, now, turned.nodes(now))
    {
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
