//! Requests on their way to a cell's scheduler, over whichever link there is.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use dotterel_kernel::{Clock, Millis};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::timeout;

use crate::link::{Reply, Request, Up};

/// Without a link for longer than this, requests are not kept waiting for one: a take-over takes as
/// long.
const LINK_WAIT: Millis = Millis(1500);
/// Pause while the link takes no further requests.
const LINK_FULL_PAUSE: Millis = Millis(20);

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The scheduler's reply.
    Reply(Reply),
    /// It never reached a scheduler.
    NotSent,
    /// It may have reached one, but there is no reply.
    NoReply,
}

/// Carries requests to the scheduler of one cell.
#[derive(Debug)]
pub struct Relay {
    link: RefCell<Option<mpsc::Sender<Up>>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    next: Cell<u64>,
    linked: Notify,
    heard: Cell<Millis>,
    /// Since when there has been no link.
    unlinked: Cell<Millis>,
    clock: Clock,
}

impl Relay {
    /// Returns a relay without a link.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            link: RefCell::default(),
            waiting: RefCell::default(),
            next: Cell::new(0),
            linked: Notify::new(),
            heard: Cell::new(Millis::ZERO),
            unlinked: Cell::new(clock.now()),
            clock,
        }
    }

    /// Sets the link that requests take from now on.
    pub fn connect(&self, link: mpsc::Sender<Up>) {
        *self.link.borrow_mut() = Some(link);
        self.heard.set(self.clock.now());
        self.linked.notify_waiters();
    }

    /// Takes the link away; requests under way are sent again over the next one.
    pub fn disconnect(&self) {
        if self.link.borrow_mut().take().is_some() {
            self.unlinked.set(self.clock.now());
        }
        self.waiting.borrow_mut().clear();
    }

    /// Returns true when there is a link, or was one a moment ago.
    #[must_use]
    pub fn is_linked(&self, within: Millis) -> bool {
        self.link.borrow().is_some() || self.clock.now().since(self.heard.get()) < within
    }

    /// Notes that the scheduler was heard.
    pub fn hear(&self) {
        self.heard.set(self.clock.now());
    }

    /// Hands a reply to whoever waits for it.
    pub fn reply(&self, number: u64, reply: Reply) {
        if let Some(waiter) = self.waiting.borrow_mut().remove(&number) {
            // The caller may have left meanwhile.
            let _ = waiter.send(reply);
        }
    }

    /// Sends a request until it has a reply or the deadline has come.
    ///
    /// All requests are idempotent, so one that was under way when a link broke is sent again.
    pub async fn ask(&self, request: &Request, deadline: Millis) -> Outcome {
        let mut sent = false;
        loop {
            let left = deadline.since(self.clock.now());
            if left == Millis::ZERO {
                // Too late for a reply, so nothing is sent any more.
                return if sent {
                    Outcome::NoReply
                } else {
                    Outcome::NotSent
                };
            }
            let link = self.link.borrow().clone();
            let Some(link) = link else {
                // A caller that comes back reaches another node, which may have a link.
                let until = self.unlinked.get() + LINK_WAIT;
                let left = left.min(until.since(self.clock.now()));
                if timeout(left.duration(), self.linked.notified())
                    .await
                    .is_err()
                {
                    return if sent {
                        Outcome::NoReply
                    } else {
                        Outcome::NotSent
                    };
                }
                continue;
            };
            let number = self.next.get();
            self.next.set(number + 1);
            let (waiter, reply) = oneshot::channel();
            self.waiting.borrow_mut().insert(number, waiter);
            if link.try_send(Up::Ask(number, request.clone())).is_err() {
                // The link doesn't take any more; the seeker ends it if it is dead.
                self.waiting.borrow_mut().remove(&number);
                tokio::time::sleep(LINK_FULL_PAUSE.duration()).await;
                continue;
            }
            sent = true;
            match timeout(left.duration(), reply).await {
                Ok(Ok(reply)) => return Outcome::Reply(reply),
                Ok(Err(_)) => {}
                Err(_) => {
                    self.waiting.borrow_mut().remove(&number);
                    return Outcome::NoReply;
                }
            }
        }
    }
}
