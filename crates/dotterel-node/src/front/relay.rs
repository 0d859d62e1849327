//! Relays requests to the scheduler of a cell over the current link.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use dotterel_kernel::{Clock, Millis};
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::timeout;

use crate::link::{FrontMessage, Reply, Request};
use crate::routes::SecretBytes;

/// Requests wait for a link only until it has been down for this long: the duration of a takeover.
const MAX_LINK_WAIT: Millis = Millis(1500);
/// Pause before another attempt when the link's queue is full.
const LINK_FULL_BACKOFF: Millis = Millis(20);

/// A leader of an earlier version closes the link on a question for the configuration: the link has then
/// ended well within this time.
const QUESTION_LOSS_TIME: Millis = Millis::secs(1);
/// After this many lost links, the leader is taken for one of an earlier version. One may be a coincidence.
const MAX_QUESTION_LOSSES: u32 = 2;

/// Outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The scheduler's reply.
    Reply(Reply),
    /// The request wasn't sent.
    NotSent,
    /// The request was sent, but no reply arrived in time.
    NoReply,
}

/// Sends requests to the scheduler of one cell.
#[derive(Debug)]
pub struct Relay {
    link: RefCell<Option<mpsc::Sender<FrontMessage>>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<Reply>>>,
    next_id: Cell<u64>,
    connected: Notify,
    last_activity: Cell<Millis>,
    /// When the last link ended.
    disconnected_at: Cell<Millis>,
    /// The fencing token of the leader.
    fence: Cell<u64>,
    /// When the configuration was first asked for over the link.
    asked_at: Cell<Option<Millis>>,
    /// Links to the leader that ended just after a question.
    question_losses: Cell<u32>,
    /// The last configuration that the leader has sent, until it is taken.
    received_config: RefCell<Option<(u64, SecretBytes)>>,
    config_arrived: Notify,
    clock: Clock,
}

impl Relay {
    /// Returns a relay without a link.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            link: RefCell::default(),
            pending: RefCell::default(),
            next_id: Cell::new(0),
            connected: Notify::new(),
            last_activity: Cell::new(Millis::ZERO),
            disconnected_at: Cell::new(clock.now()),
            fence: Cell::new(0),
            asked_at: Cell::new(None),
            question_losses: Cell::new(0),
            received_config: RefCell::default(),
            config_arrived: Notify::new(),
            clock,
        }
    }

    /// Sets the link over which requests are sent, to the leader with the given fencing token.
    pub fn connect(&self, link: mpsc::Sender<FrontMessage>, fence: u64) {
        if self.fence.replace(fence) != fence {
            self.question_losses.set(0);
        }
        self.asked_at.set(None);
        *self.link.borrow_mut() = Some(link);
        self.last_activity.set(self.clock.now());
        self.connected.notify_waiters();
    }

    /// Removes the link; requests in flight are sent again over the next one.
    pub fn disconnect(&self) {
        if self.link.borrow_mut().take().is_some() {
            self.disconnected_at.set(self.clock.now());
        }
        if let Some(asked_at) = self.asked_at.take() {
            let is_loss = self.clock.now().since(asked_at) < QUESTION_LOSS_TIME;
            self.question_losses.set(if is_loss {
                self.question_losses.get() + 1
            } else {
                0
            });
        }
        self.pending.borrow_mut().clear();
    }

    /// Returns true when there is a link, or the last message arrived within the given time.
    #[must_use]
    pub fn is_linked(&self, within: Millis) -> bool {
        self.link.borrow().is_some() || self.clock.now().since(self.last_activity.get()) < within
    }

    /// Records that a message arrived from the scheduler.
    pub fn record_activity(&self) {
        self.last_activity.set(self.clock.now());
    }

    /// Asks the leader for its configuration if it has a higher version than `known`. Returns false if
    /// nothing was sent: there is no link, or the leader is of a version that doesn't know the question.
    pub fn ask_config(&self, known: u64) -> bool {
        if self.question_losses.get() >= MAX_QUESTION_LOSSES {
            return false;
        }
        let link = self.link.borrow();
        let sent = link
            .as_ref()
            .is_some_and(|link| link.try_send(FrontMessage::GetConfig(known)).is_ok());
        if sent && self.asked_at.get().is_none() {
            self.asked_at.set(Some(self.clock.now()));
        }
        sent
    }

    /// Forgets the lost links, so that the leader is asked again when reads of the configuration fail the next
    /// time. The losses may have been a coincidence.
    pub fn reset_question_losses(&self) {
        self.question_losses.set(0);
    }

    /// Records a configuration that the leader has sent.
    pub fn config_received(&self, version: u64, row: SecretBytes) {
        *self.received_config.borrow_mut() = Some((version, row));
        self.config_arrived.notify_one();
    }

    /// Waits for a configuration of the leader.
    pub async fn next_config(&self) -> (u64, SecretBytes) {
        loop {
            if let Some(received) = self.received_config.take() {
                return received;
            }
            self.config_arrived.notified().await;
        }
    }

    /// Passes a reply to the request that waits for it.
    pub fn reply(&self, request_id: u64, reply: Reply) {
        if let Some(waiter) = self.pending.borrow_mut().remove(&request_id) {
            // The caller may have disconnected.
            let _ = waiter.send(reply);
        }
    }

    /// Sends a request and waits for the reply until the deadline.
    ///
    /// Requests are idempotent, so a request in flight when a link breaks is sent again.
    pub async fn send(&self, request: &Request, deadline: Millis) -> Outcome {
        let mut is_sent = false;
        loop {
            let remaining = deadline.since(self.clock.now());
            if remaining == Millis::ZERO {
                // A reply could no longer arrive in time, so nothing more is sent.
                return if is_sent {
                    Outcome::NoReply
                } else {
                    Outcome::NotSent
                };
            }
            let link = self.link.borrow().clone();
            let Some(link) = link else {
                // A caller that retries reaches another node, which may have a link, so the wait is
                // short.
                let until = self.disconnected_at.get() + MAX_LINK_WAIT;
                let remaining = remaining.min(until.since(self.clock.now()));
                if timeout(remaining.duration(), self.connected.notified())
                    .await
                    .is_err()
                {
                    return if is_sent {
                        Outcome::NoReply
                    } else {
                        Outcome::NotSent
                    };
                }
                continue;
            };
            let request_id = self.next_id.get();
            self.next_id.set(request_id + 1);
            let (waiter, reply) = oneshot::channel();
            self.pending.borrow_mut().insert(request_id, waiter);
            if link
                .try_send(FrontMessage::Request(request_id, request.clone()))
                .is_err()
            {
                // The link's queue is full; `Election` ends the link if it is dead.
                self.pending.borrow_mut().remove(&request_id);
                tokio::time::sleep(LINK_FULL_BACKOFF.duration()).await;
                continue;
            }
            is_sent = true;
            match timeout(remaining.duration(), reply).await {
                Ok(Ok(reply)) => return Outcome::Reply(reply),
                Ok(Err(_)) => {}
                Err(_) => {
                    self.pending.borrow_mut().remove(&request_id);
                    return Outcome::NoReply;
                }
            }
        }
    }
}
