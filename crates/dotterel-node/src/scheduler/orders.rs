//! Sends orders to VMs, and requests advice through fronts.

use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use dotterel_cell::cell::{DueStart, Withheld};
use dotterel_cell::{AdviceRequest, Order, StartAnswer, TaskName, VmKey};
use dotterel_kernel::Millis;
use tokio::sync::{Semaphore, mpsc};

use super::decision_log::FormerFields;
use super::order_queue::OrderQueue;
use super::{AdviceCall, Scheduler};
use crate::link::SchedulerMessage;
use crate::platform::{Platform, StartOrder, VmError};

/// Orders to one VM in flight; each uses a connection of its own.
const MAX_ORDERS_IN_FLIGHT: usize = 2;
/// How often an unanswered start order is sent before the run is ordered to stop.
const MAX_START_ATTEMPTS: u32 = 2;
/// A start that has waited for other orders to its VM for longer is logged.
const LOGGED_QUEUE_DELAY: Millis = Millis(200);
/// Added to the expected duration of a call to the advice service to get its timeout: a round trip
/// between regions and the wait in the front's queue.
const ADVICE_OVERHEAD: Millis = Millis(700);
/// Part of a ticket's validity that may have passed when the reply arrives.
const TICKET_TRANSIT_TIME: Millis = Millis(60);

/// Headers of a call to a VM and of its reply, with those of their packets.
pub(super) const CALL_BYTES: u64 = 700;

/// An order for one VM.
#[derive(Debug)]
pub(super) enum VmOrder {
    /// A start, and when it was queued.
    Start(StartOrder, Millis),
    Stop(TaskName, u32),
}

impl VmOrder {
    /// Returns about how many bytes the order and its reply take on the link.
    fn bytes(&self) -> u64 {
        let text = match self {
            Self::Start(start, _) => start.text.len() + start.saved.len() + start.ticket.len(),
            Self::Stop(..) => 0,
        };
        CALL_BYTES + text as u64
    }
}

impl<P: Platform> Scheduler<P> {
    /// Sends the orders of a plan.
    pub(super) fn dispatch(&self, orders: Vec<Order>, now: Millis) {
        for order in orders {
            match order {
                Order::Start {
                    vm,
                    task,
                    run,
                    saved,
                    ticket,
                    waited,
                    former,
                } => {
                    let text = {
                        let cell = self.cell.borrow();
                        let target_vm = cell.vm(vm);
                        let vm_run = target_vm.and_then(|vm| Some(&vm.runs[vm.find(task, run)?]));
                        let former = FormerFields::new(&cell, former, now);
                        log::info!(
                            task:% = task, run, vm = target_vm.map_or("", |vm| &vm.info.id),
                            waited_ms = waited.0, resumed = !saved.is_empty(),
                            heard_ms = target_vm.map_or(0, |vm| now.since(vm.answered_at).0),
                            caution:? = vm_run.map(|vm_run| vm_run.caution).unwrap_or_default(),
                            cell = self.cell_no.0, term = self.term,
                            renewed_ms_ago = self.renewal_age().0, after = former.after.as_str(),
                            former_run = former.run, former_vm = former.vm,
                            released_ms_ago = former.released_ago.0;
                            "start ordered");
                        cell.job(task.job).map(|job| job.spec.text.clone())
                    };
                    self.cell.borrow_mut().start_queued(vm, task, run, now);
                    self.send_order(
                        vm,
                        VmOrder::Start(
                            StartOrder {
                                task,
                                run,
                                text: text.unwrap_or_default(),
                                lease: Millis::ZERO,
                                saved,
                                ticket,
                            },
                            now,
                        ),
                    );
                }
                Order::Stop {
                    vm,
                    task,
                    run,
                    reason,
                } => {
                    let cell = self.cell.borrow();
                    let running = cell
                        .vm(vm)
                        .and_then(|vm| Some(&vm.runs[vm.find(task, run)?]));
                    log::info!(
                        task:% = task, run, reason, percent = running.map_or(0, |run| run.percent),
                        ran_ms = running.map_or(0, |run| now.since(run.confirmed_at).0);
                        "stop ordered");
                    drop(cell);
                    self.send_order(vm, VmOrder::Stop(task, run));
                }
                Order::RequestAdvice(request) => self.request_advice(request, now),
            }
        }
    }

    fn send_order(&self, vm: VmKey, order: VmOrder) {
        let queues = self.order_queues.borrow();
        // A VM without a queue is gone, and the cell drops its runs with it.
        if let Some(queue) = queues.get(&vm) {
            let _ = queue.send(order);
        }
    }

    /// Sends the orders for one VM, up to `MAX_ORDERS_IN_FLIGHT` at a time, until the VM is gone or
    /// the term ends.
    pub(super) async fn deliver_orders(
        self: Rc<Self>,
        key: VmKey,
        mut orders: mpsc::UnboundedReceiver<VmOrder>,
    ) {
        let permits = Arc::new(Semaphore::new(MAX_ORDERS_IN_FLIGHT));
        let mut queue = OrderQueue::default();
        let mut ended = self.ended.subscribe();
        loop {
            // Orders are received first, so that those which replace others do so in time.
            let permit = tokio::select! {
                biased;
                _ = ended.wait_for(|ended| *ended) => return,
                order = orders.recv() => match order {
                    Some(order) => {
                        queue.push(order);
                        continue;
                    }
                    None => return,
                },
                permit = Arc::clone(&permits).acquire_owned(), if !queue.is_empty() => permit,
            };
            let (Ok(permit), Some(order)) = (permit, queue.pop()) else {
                continue;
            };
            if let Some(pace) = &self.poll_pace {
                pace.count_order(order.bytes(), self.clock.now());
            }
            let scheduler = Rc::clone(&self);
            tokio::task::spawn_local(async move {
                match order {
                    VmOrder::Start(start, queued_at) => {
                        scheduler.log_queue_delay(key, &start, queued_at);
                        scheduler.start(key, start).await;
                    }
                    VmOrder::Stop(task, run) => scheduler.stop(key, task, run).await,
                }
                drop(permit);
                scheduler.plan_wakeup.notify_one();
            });
        }
    }

    /// Logs a start that has waited for other orders to its VM, and whether it is still expected.
    fn log_queue_delay(&self, key: VmKey, start: &StartOrder, queued_at: Millis) {
        let queued = self.clock.now().since(queued_at);
        if queued < LOGGED_QUEUE_DELAY {
            return;
        }
        let cell = self.cell.borrow();
        let vm = cell.vm(key);
        let phase = vm.and_then(|vm| Some(vm.runs[vm.find(start.task, start.run)?].phase));
        log::info!(
            task:% = start.task, run = start.run, queued_ms = queued.0, phase:? = phase,
            term = self.term, renewed_ms_ago = self.renewal_age().0;
            "start delayed by other orders");
    }

    async fn start(&self, key: VmKey, mut start: StartOrder) {
        let mut outcome = StartAnswer::Unknown;
        let mut fenced_by = None;
        for attempt in 0..MAX_START_ATTEMPTS {
            if *self.ended.borrow() {
                return;
            }
            let Some(target) = self.target(key) else {
                return;
            };
            let now = self.clock.now();
            match self.authorize_start(key, &start, now) {
                Ok(lease) => start.lease = lease,
                Err(reason) => {
                    log::info!(
                        task:% = start.task, run = start.run, attempt, reason:? = reason,
                        term = self.term, renewed_ms_ago = self.renewal_age().0;
                        "start withheld");
                    // A copy sent earlier may still arrive.
                    if attempt == 0 {
                        outcome = StartAnswer::Withheld;
                    }
                    break;
                }
            }
            self.note_extended_lease();
            outcome = self.platform.start(&target, &start).await;
            fenced_by = (outcome == StartAnswer::Fenced).then_some(target);
            self.metrics
                .record_call("start", self.clock.now().since(now));
            if attempt > 0 && outcome != StartAnswer::Started {
                // The first copy may still be executed, whatever the reply to the second.
                outcome = StartAnswer::Unknown;
            }
            if outcome != StartAnswer::Unknown {
                break;
            }
            let now = self.clock.now();
            self.cell.borrow_mut().start_unanswered(key, now);
            self.write_wakeup.notify_one();
        }
        let label = format!("{outcome:?}");
        self.metrics.record_order("start", &label);
        if outcome != StartAnswer::Started {
            log::info!(task:% = start.task, run = start.run, outcome = label; "run not started");
        }
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        cell.start_answered(key, start.task, start.run, outcome, now);
        drop(cell);
        if let Some(target) = fenced_by {
            self.note_higher_fence(key, &target);
        }
    }

    /// Returns the lease to request with a start, or why the start must not be sent.
    fn authorize_start(
        &self,
        vm: VmKey,
        start: &StartOrder,
        now: Millis,
    ) -> Result<Millis, Withheld> {
        let due = DueStart {
            vm,
            task: start.task,
            run: start.run,
            ticket: &start.ticket,
        };
        let leadership = if self.is_unconfirmed() {
            Millis::ZERO
        } else {
            self.leadership_remaining()
        };
        let mut cell = self.cell.borrow_mut();
        cell.authorize_start(due, leadership, now)
    }

    async fn stop(&self, key: VmKey, task: TaskName, run: u32) {
        if *self.ended.borrow() {
            return;
        }
        let Some(target) = self.target(key) else {
            return;
        };
        let outcome = self.platform.stop(&target, task, run).await;
        self.metrics
            .record_order("stop", if outcome.is_ok() { "done" } else { "no answer" });
        match outcome {
            Ok(()) => {
                let now = self.clock.now();
                self.cell.borrow_mut().stop_answered(key, task, run, now);
            }
            Err(VmError::Fenced) => self.note_higher_fence(key, &target),
            // The cell repeats the stop order.
            Err(err) => log::info!(task:% = task, run, fault:? = err; "stop not acknowledged"),
        }
    }

    /// Asks a front to call the advice service.
    fn request_advice(&self, request: AdviceRequest, now: Millis) {
        let names: Vec<CompactString> = {
            let cell = self.cell.borrow();
            let ids = request.vms.iter().filter_map(|key| cell.vm(*key));
            ids.map(|vm| vm.info.id.clone()).collect()
        };
        let call = self.allocate_id();
        let timeout = request.cost + ADVICE_OVERHEAD;
        log::info!(
            job:% = request.job, step = request.step.step, vms = names.len(),
            peer = request.adviser, cost_ms = request.cost.0; "advice requested");
        let message = SchedulerMessage::Advise {
            call,
            step: (request.job, request.step.round, request.step.step),
            vms: names,
            timeout,
        };
        let id = request.adviser;
        if !self.send_message(id, message) {
            self.cell.borrow_mut().advice_failed(request.step, now);
            return;
        }
        let validity = {
            let cell = self.cell.borrow();
            let terms = cell.job(request.job).and_then(|job| job.policy.advice);
            terms.map_or(Millis::ZERO, |terms| terms.ticket_ttl)
        };
        self.advice_calls.borrow_mut().insert(
            call,
            AdviceCall {
                step: request.step,
                vms: request.vms,
                peer: id,
                validity,
                started_at: now,
            },
        );
    }

    /// Handles a reply of the advice service.
    pub(super) fn advice_received(
        &self,
        call: u64,
        advice: Option<Vec<(CompactString, CompactString)>>,
    ) {
        let Some(call) = self.advice_calls.borrow_mut().remove(&call) else {
            return;
        };
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        cell.adviser_finished(call.peer, now);
        match advice {
            Some(advice) => {
                log::info!(
                    good = advice.len(), asked = call.vms.len(),
                    took_ms = now.since(call.started_at).0;
                    "advice received");
                let validity = call.validity - TICKET_TRANSIT_TIME;
                cell.advice_received(call.step, &call.vms, &advice, validity, now);
            }
            None => cell.advice_failed(call.step, now),
        }
        drop(cell);
        self.plan_wakeup.notify_one();
    }

    /// Fails the advice calls of a front whose link broke.
    pub(super) fn fail_advice_calls(&self, peer: u64) {
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        self.advice_calls.borrow_mut().retain(|_, call| {
            if call.peer == peer {
                cell.advice_failed(call.step, now);
            }
            call.peer != peer
        });
    }

    /// Fails advice calls that have timed out.
    pub(super) fn expire_advice_calls(&self, now: Millis) {
        const ADVICE_CALL_TIMEOUT: Millis = Millis(4000);
        let mut cell = self.cell.borrow_mut();
        self.advice_calls.borrow_mut().retain(|_, call| {
            let is_pending = now.since(call.started_at) < ADVICE_CALL_TIMEOUT;
            if !is_pending {
                cell.adviser_finished(call.peer, now);
                cell.advice_failed(call.step, now);
            }
            is_pending
        });
    }
}
