//! Fronts' requests.

use std::rc::Rc;

use compact_str::CompactString;
use dotterel_cell::Submitted;
use dotterel_cell::cell::Cancelled;
use dotterel_kernel::Millis;
use tokio::io::BufReader;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::writer::AWAY_RETRY;
use super::{Peer, Scheduler, Waiter};
use crate::link::{self, Down, Reply, Request, SILENT, Up};
use crate::platform::Platform;

/// Fronts are told that the store takes no rows after this time, so that one that reaches the store
/// can take the role.
const STORE_DOUBT: Millis = Millis(250);

impl<P: Platform> Scheduler<P> {
    /// Serves one front until its link breaks or the role ends.
    pub(super) async fn serve_peer(
        self: &Rc<Self>,
        node: CompactString,
        milli_cores: u32,
        mut from: BufReader<OwnedReadHalf>,
        down: mpsc::Sender<Down>,
    ) {
        let id = self.number();
        log::info!(cell = self.no.0, front = node.as_str(), peer = id; "front linked");
        self.peers.borrow_mut().push(Peer {
            id,
            node: node.clone(),
            milli_cores,
            down,
        });
        self.cell.borrow_mut().adviser_joined(id);
        self.plan.notify_one();
        let mut over = self.over.subscribe();
        let served = async {
            // Pings come more often than this, so a longer silence is a dead link.
            while let Ok(Ok(message)) =
                timeout(SILENT.duration() * 3, link::read::<Up, _>(&mut from)).await
            {
                self.take(id, message);
            }
        };
        tokio::select! {
            () = served => {}
            _ = over.wait_for(|over| *over) => {}
        }
        log::info!(cell = self.no.0, front = node.as_str(), peer = id; "front gone");
        self.peers.borrow_mut().retain(|peer| peer.id != id);
        self.cell.borrow_mut().adviser_left(id);
        self.fail_calls(id);
    }

    fn take(&self, peer: u64, message: Up) {
        match message {
            Up::Ask(number, request) => self.answer(peer, number, request),
            Up::Advised(call, good) => self.advised(call, good),
            Up::Ping => {
                let away = self.away.get();
                let storing = away.is_none_or(|since| self.clock.now().since(since) < STORE_DOUBT);
                self.send_down(peer, Down::Pong { storing });
            }
            Up::Hello { .. } => {}
        }
    }

    fn answer(&self, peer: u64, number: u64, request: Request) {
        let now = self.clock.now();
        match request {
            Request::Submit(id, record) => {
                if self.is_away() && self.cell.borrow().job(id).is_none() {
                    log::info!(job:% = id, retry_ms = AWAY_RETRY.0, reason = "store away"; "job refused");
                    self.send(peer, number, Reply::Refused(AWAY_RETRY));
                    return;
                }
                let queue = record.policy.queue.clone();
                let outcome = self.cell.borrow_mut().submit(id, *record, now);
                log::info!(
                    job:% = id, queue = queue.as_str(), outcome:? = outcome, cell = self.no.0;
                    "job came in");
                match outcome {
                    Submitted::New | Submitted::Pending => {
                        self.wait(peer, number, id, false);
                        self.plan.notify_one();
                    }
                    Submitted::Known => self.send(peer, number, Reply::Accepted),
                    Submitted::Refused(refusal) => {
                        self.send(peer, number, Reply::Refused(refusal.retry_after));
                    }
                }
            }
            Request::Cancel(id) => {
                let outcome = self.cell.borrow_mut().cancel(id, now);
                log::info!(job:% = id, outcome:? = outcome; "cancel came in");
                match outcome {
                    Cancelled::Unknown => self.send(peer, number, Reply::Cancelled(false)),
                    Cancelled::Ended => self.send(peer, number, Reply::Cancelled(true)),
                    Cancelled::Pending => {
                        self.wait(peer, number, id, true);
                        self.plan.notify_one();
                    }
                }
            }
            Request::State(id) => {
                let state = self.cell.borrow().state(id);
                self.send(peer, number, Reply::State(state));
            }
            Request::Pending(queue) => {
                let count = self.cell.borrow().pending(&queue);
                self.send(peer, number, Reply::Pending(count));
            }
        }
    }

    fn wait(&self, peer: u64, number: u64, id: dotterel_cell::JobId, cancel: bool) {
        let waiter = Waiter {
            peer,
            number,
            cancel,
        };
        self.waiters
            .borrow_mut()
            .entry(id)
            .or_default()
            .push(waiter);
        self.write.notify_one();
    }

    pub(super) fn send(&self, peer: u64, number: u64, reply: Reply) {
        self.send_down(peer, Down::Reply(number, reply));
    }

    /// Sends a message to a front; returns false when it can't be.
    pub(super) fn send_down(&self, peer: u64, message: Down) -> bool {
        let peers = self.peers.borrow();
        let Some(to) = peers.iter().find(|known| known.id == peer) else {
            return false;
        };
        let sent = to.down.try_send(message).is_ok();
        if !sent {
            // The front asks again over its next link.
            log::warn!(front = to.node.as_str(), peer; "front doesn't read");
        }
        sent
    }
}
