//! Handles the connections and requests of fronts.

use std::cell::Cell as StdCell;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Instant;

use compact_str::CompactString;
use dotterel_cell::cell::{Cancelled, RefusalGround, RefusalKind};
use dotterel_cell::fitness::{Fitness, Responsiveness};
use dotterel_cell::{JobId, Refusal as JobRefusal, Submitted};
use dotterel_kernel::Millis;
use tokio::io::BufReader;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::passes::Pass;
use super::writer::STORE_RETRY_AFTER;
use super::{Peer, Scheduler, Waiter};
use crate::http::limits::{ByteBudget, Refusal};
use crate::link::{self, FrontMessage, IDLE_TIMEOUT, Reply, Request, SchedulerMessage};
use crate::platform::Platform;

/// Once the store has been unavailable for this long, pongs report it to the fronts, so that a node
/// that reaches the store can take over.
const STORE_REPORT_DELAY: Millis = Millis(250);

impl<P: Platform> Scheduler<P> {
    /// Serves one front until its link breaks or the term ends.
    pub(super) async fn serve_peer(
        self: &Rc<Self>,
        node: CompactString,
        fitness: Fitness,
        mut reader: BufReader<OwnedReadHalf>,
        sender: mpsc::Sender<SchedulerMessage>,
        budget: &Rc<ByteBudget>,
    ) {
        let id = self.allocate_id();
        log::info!(cell = self.cell_no.0, front = node.as_str(), peer = id; "front connected");
        self.peers.borrow_mut().push(Peer {
            id,
            node: node.clone(),
            fitness,
            responsiveness: StdCell::new(Responsiveness::linked(self.clock.now())),
            sender,
        });
        self.cell.borrow_mut().adviser_joined(id);
        self.plan_wakeup.notify_one();
        let mut ended = self.ended.subscribe();
        let session = async {
            // Pings arrive more often than this, so a link without messages for longer is dead.
            let limit = IDLE_TIMEOUT.duration() * 3;
            while let Ok(message) = timeout(
                limit,
                link::read_within::<FrontMessage, _>(&mut reader, budget),
            )
            .await
            {
                match message {
                    Ok(message) => self.handle_message(id, message),
                    Err(err) => {
                        if err.kind() == ErrorKind::OutOfMemory {
                            budget.record(Refusal::Frame);
                        }
                        return;
                    }
                }
            }
        };
        tokio::select! {
            () = session => {}
            _ = ended.wait_for(|ended| *ended) => {}
        }
        log::info!(cell = self.cell_no.0, front = node.as_str(), peer = id; "front disconnected");
        self.peers.borrow_mut().retain(|peer| peer.id != id);
        self.cell.borrow_mut().adviser_left(id);
        self.fail_advice_calls(id);
    }

    /// Notes which process runs on a node: a later one than the predecessor on its node shows that the
    /// predecessor is gone.
    pub(super) fn note_process(&self, node: &str, incarnation: u64) {
        let is_successor = self
            .predecessor
            .as_ref()
            .is_some_and(|gone| gone.node == node && gone.incarnation < incarnation);
        if is_successor {
            let now = self.clock.now();
            self.cell.borrow_mut().predecessor_gone(now);
        }
    }

    fn handle_message(&self, peer: u64, message: FrontMessage) {
        self.note_message(peer);
        match message {
            FrontMessage::Request(id, request) => self.handle_request(peer, id, request),
            FrontMessage::Advised(call, advice) => self.advice_received(call, advice),
            FrontMessage::Ping => {
                let store_available = self.reports_store_available();
                self.send_message(peer, SchedulerMessage::Pong { store_available });
            }
            FrontMessage::GetConfig(known) => self.send_config(peer, known),
            FrontMessage::Hello { .. } | FrontMessage::FindLeader(_) => {}
        }
    }

    pub(super) fn handle_request(&self, peer: u64, request_id: u64, request: Request) {
        let now = self.clock.now();
        let (request, tenant) = request.split_tenant();
        if let Some(id) = request.job()
            && self.belongs_to_other(id, tenant.as_deref())
        {
            self.refuse_other_tenant(peer, request_id, id);
            return;
        }
        match request {
            Request::Submit(id, record) => {
                if self.is_store_unavailable() && self.cell.borrow().job(id).is_none() {
                    log::info!(
                        job:% = id, tenant = record.tenant.as_str(), retry_ms = STORE_RETRY_AFTER.0,
                        reason = "store unavailable";
                        "job refused");
                    self.cell.borrow_mut().note_store_refusal(&record.tenant);
                    self.reply(peer, request_id, Reply::Refused(STORE_RETRY_AFTER));
                    return;
                }
                let queue = record.policy.queue.clone();
                let tenant = record.tenant.clone();
                let started_at = Instant::now();
                let outcome = self.cell.borrow_mut().submit(id, *record, now);
                self.note_pass(Pass::Submit, started_at);
                log::info!(
                    job:% = id, queue = queue.as_str(), outcome:? = outcome, cell = self.cell_no.0;
                    "job submitted");
                match outcome {
                    Submitted::New | Submitted::Pending => {
                        self.add_waiter(peer, request_id, id, false);
                        self.plan_wakeup.notify_one();
                    }
                    Submitted::Known => self.reply(peer, request_id, Reply::Accepted),
                    Submitted::Refused(refusal) => {
                        log_refusal(id, &tenant, &queue, &refusal);
                        self.reply(peer, request_id, Reply::Refused(refusal.retry_after));
                    }
                    Submitted::Never(over) => {
                        let reason = compact_str::format_compact!("{over}");
                        log::info!(
                            job:% = id, tenant = tenant.as_str(), queue = queue.as_str(),
                            reason = RefusalKind::Cap.name(), over = reason.as_str();
                            "job refused");
                        self.reply(peer, request_id, Reply::Never(reason));
                    }
                }
            }
            Request::Cancel(id) => {
                let outcome = self.cell.borrow_mut().cancel(id, now);
                log::info!(job:% = id, outcome:? = outcome; "cancel requested");
                match outcome {
                    Cancelled::Unknown => self.check_absence(peer, request_id, id, true, tenant),
                    Cancelled::Ended => self.reply(peer, request_id, Reply::Cancelled(true)),
                    Cancelled::Pending => {
                        self.add_waiter(peer, request_id, id, true);
                        self.plan_wakeup.notify_one();
                    }
                }
            }
            Request::State(id) => {
                let state = self.cell.borrow().state(id);
                if state.is_some() {
                    self.reply(peer, request_id, Reply::State(state));
                } else {
                    self.check_absence(peer, request_id, id, false, tenant);
                }
            }
            Request::Pending(queue) => {
                let count = self.cell.borrow().pending(&queue);
                self.reply(peer, request_id, Reply::Pending(count));
            }
            // `split_tenant` has returned the requests above instead.
            Request::SubmitFor(..) | Request::CancelFor(..) | Request::StateFor(..) => {}
        }
    }

    /// Records that a front has sent a message.
    fn note_message(&self, peer: u64) {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        if let Some(sender) = peers.iter().find(|known| known.id == peer) {
            let mut responsiveness = sender.responsiveness.get();
            responsiveness.heard(now, self.lag.get().current(now));
            sender.responsiveness.set(responsiveness);
        }
    }

    /// Returns true if a job belongs to another tenant than that of a request. Fronts that check no keys
    /// name no tenant, not even an empty one.
    pub(super) fn belongs_to_other(&self, id: JobId, tenant: Option<&str>) -> bool {
        let Some(tenant) = tenant else {
            return false;
        };
        let cell = self.cell.borrow();
        cell.tenant_of(id)
            .is_some_and(|owner| !owner.is_empty() && owner != tenant)
    }

    pub(super) fn refuse_other_tenant(&self, peer: u64, request_id: u64, id: JobId) {
        log::info!(job:% = id, reason = "job of another tenant"; "request refused");
        self.reply(peer, request_id, Reply::OtherTenant);
    }

    /// Returns false once the store has been unavailable for so long that fronts are told.
    pub(super) fn reports_store_available(&self) -> bool {
        let unavailable_since = self.unavailable_since.get();
        unavailable_since.is_none_or(|since| self.clock.now().since(since) < STORE_REPORT_DELAY)
    }

    /// Tells all fronts when the store has become unavailable, without waiting for their pings.
    pub(super) fn report_store_state(&self) {
        let store_available = self.reports_store_available();
        if !store_available && !self.outage_reported.get() {
            let fronts: Vec<u64> = self.peers.borrow().iter().map(|peer| peer.id).collect();
            for id in fronts {
                self.send_message(id, SchedulerMessage::Pong { store_available });
            }
        }
        self.outage_reported.set(!store_available);
    }

    fn add_waiter(&self, peer: u64, request_id: u64, id: JobId, is_cancel: bool) {
        let waiter = Waiter {
            peer,
            request_id,
            is_cancel,
        };
        self.waiters
            .borrow_mut()
            .entry(id)
            .or_default()
            .push(waiter);
        self.write_wakeup.notify_one();
    }

    pub(super) fn reply(&self, peer: u64, request_id: u64, reply: Reply) {
        self.send_message(peer, SchedulerMessage::Reply(request_id, reply));
    }

    /// Sends a message to a front. Returns false if the front is gone or its queue is full.
    pub(super) fn send_message(&self, peer: u64, message: SchedulerMessage) -> bool {
        let peers = self.peers.borrow();
        let Some(recipient) = peers.iter().find(|known| known.id == peer) else {
            return false;
        };
        let sent = recipient.sender.try_send(message).is_ok();
        if !sent {
            // The front repeats the request over its next link.
            log::warn!(front = recipient.node.as_str(), peer; "failed to queue message for front");
        }
        sent
    }
}

/// Logs a job that the cell has refused, with the inputs of the decision. Those of a refusal for overload are
/// in the line of its `CellEvent`.
fn log_refusal(id: JobId, tenant: &str, queue: &str, refusal: &JobRefusal) {
    let reason = refusal.ground.kind().name();
    let retry_ms = refusal.retry_after.0;
    match refusal.ground {
        RefusalGround::OpenJobs { open, held_bytes } => log::info!(
            job:% = id, tenant, queue, reason, retry_ms, open, held_bytes;
            "job refused"),
        RefusalGround::CrashingQueue {
            waiting,
            drain,
            useful,
        } => log::info!(
            job:% = id, tenant, queue, reason, retry_ms, waiting, drain_ms = drain.0,
            useful_ms = useful.0;
            "job refused"),
        RefusalGround::Backlog => log::info!(
            job:% = id, tenant, queue, reason, retry_ms;
            "job refused"),
    }
}
