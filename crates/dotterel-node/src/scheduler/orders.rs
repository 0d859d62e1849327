//! Orders to VMs and calls for advice.

use std::rc::Rc;
use std::sync::Arc;

use compact_str::CompactString;
use dotterel_cell::{AdviceRequest, Order, StartAnswer, TaskName, VmKey};
use dotterel_kernel::Millis;
use tokio::sync::{Semaphore, mpsc};

use super::{Call, Scheduler};
use crate::link::Down;
use crate::platform::{Platform, StartOrder, VmError};

/// Orders to one VM under way at once; each takes a connection of its own.
const ORDERS_AT_ONCE: usize = 2;
/// Times that an unanswered start is sent before the run is barred.
const START_TRIES: u32 = 2;
/// A call for advice takes its own time and a way across regions and back, and waits for its turn.
const ADVICE_SLACK: Millis = Millis(700);
/// The part of a ticket's time that may pass on the way of the answer.
const ANSWER_AGE: Millis = Millis(60);

/// An order for one VM.
#[derive(Debug)]
pub(super) enum VmOrder {
    Start(StartOrder),
    Stop(TaskName, u32),
}

impl<P: Platform> Scheduler<P> {
    /// Sends orders on their way.
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
                } => {
                    let text = {
                        let cell = self.cell.borrow();
                        let on = cell.vm(vm);
                        log::info!(
                            task:% = task, run, vm = on.map_or("", |vm| &vm.info.id),
                            waited_ms = waited.0, resumed = !saved.is_empty(),
                            heard_ms = on.map_or(0, |vm| now.since(vm.answered_at).0);
                            "start ordered");
                        cell.job(task.job).map(|job| job.spec.text.clone())
                    };
                    self.send_order(
                        vm,
                        VmOrder::Start(StartOrder {
                            task,
                            run,
                            text: text.unwrap_or_default(),
                            lease: Millis::ZERO,
                            saved,
                            ticket,
                        }),
                    );
                }
                Order::Stop {
                    vm,
                    task,
                    run,
                    reason,
                } => {
                    let cell = self.cell.borrow();
                    let on = cell
                        .vm(vm)
                        .and_then(|on| Some(&on.runs[on.find(task, run)?]));
                    log::info!(
                        task:% = task, run, reason, percent = on.map_or(0, |on| on.percent),
                        ran_ms = on.map_or(0, |on| now.since(on.confirmed_at).0); "stop ordered");
                    drop(cell);
                    self.send_order(vm, VmOrder::Stop(task, run));
                }
                Order::RequestAdvice(ask) => self.ask(ask, now),
            }
        }
    }

    fn send_order(&self, vm: VmKey, order: VmOrder) {
        let lines = self.lines.borrow();
        // A VM without a line is gone, and its runs are given up with it.
        if let Some(line) = lines.get(&vm) {
            let _ = line.send(order);
        }
    }

    /// Carries one VM's orders, a few at once.
    pub(super) async fn carry_orders(
        self: Rc<Self>,
        key: VmKey,
        mut orders: mpsc::UnboundedReceiver<VmOrder>,
    ) {
        let turns = Arc::new(Semaphore::new(ORDERS_AT_ONCE));
        while let Some(order) = orders.recv().await {
            let Ok(turn) = Arc::clone(&turns).acquire_owned().await else {
                return;
            };
            let scheduler = Rc::clone(&self);
            tokio::task::spawn_local(async move {
                match order {
                    VmOrder::Start(start) => scheduler.start(key, start).await,
                    VmOrder::Stop(task, run) => scheduler.stop(key, task, run).await,
                }
                drop(turn);
                scheduler.plan.notify_one();
            });
        }
    }

    async fn start(&self, key: VmKey, mut start: StartOrder) {
        let mut answer = StartAnswer::Unknown;
        for attempt in 0..START_TRIES {
            if *self.over.borrow() {
                return;
            }
            let Some(target) = self.target(key) else {
                return;
            };
            let now = self.clock.now();
            let Some(lease) = self.cell.borrow_mut().extend_lease(key, now) else {
                // Nothing is sent to a VM that has gone silent; an earlier copy may yet arrive.
                if attempt == 0 {
                    answer = StartAnswer::Unhealthy;
                }
                break;
            };
            start.lease = lease;
            answer = self.platform.start(&target, &start).await;
            self.metrics.call("start", self.clock.now().since(now));
            if attempt > 0 && answer != StartAnswer::Started {
                // The first copy may still be carried out, whatever was said to the second.
                answer = StartAnswer::Unknown;
            }
            if answer != StartAnswer::Unknown {
                break;
            }
        }
        let outcome = format!("{answer:?}");
        self.metrics.order("start", &outcome);
        if answer != StartAnswer::Started {
            log::info!(task:% = start.task, run = start.run, outcome; "start not carried out");
        }
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        cell.start_answered(key, start.task, start.run, answer, now);
        drop(cell);
        if answer == StartAnswer::Fenced {
            self.end("a VM has seen a higher token");
        }
    }

    async fn stop(&self, key: VmKey, task: TaskName, run: u32) {
        if *self.over.borrow() {
            return;
        }
        let Some(target) = self.target(key) else {
            return;
        };
        let outcome = self.platform.stop(&target, task, run).await;
        self.metrics
            .order("stop", if outcome.is_ok() { "done" } else { "no answer" });
        match outcome {
            Ok(()) => {
                let now = self.clock.now();
                self.cell.borrow_mut().stop_answered(key, task, run, now);
            }
            Err(VmError::Fenced) => self.end("a VM has seen a higher token"),
            // The cell orders the stop again.
            Err(fault) => log::info!(task:% = task, run, fault:? = fault; "stop not answered"),
        }
    }

    /// Has a front make a call for advice.
    fn ask(&self, ask: AdviceRequest, now: Millis) {
        let names: Vec<CompactString> = {
            let cell = self.cell.borrow();
            let ids = ask.vms.iter().filter_map(|key| cell.vm(*key));
            ids.map(|vm| vm.info.id.clone()).collect()
        };
        let call = self.number();
        let timeout = ask.cost + ADVICE_SLACK;
        log::info!(
            job:% = ask.job, step = ask.step.step, vms = names.len(), peer = ask.adviser,
            cost_ms = ask.cost.0; "advice asked");
        let message = Down::Advise {
            call,
            step: (ask.job, ask.step.round, ask.step.step),
            vms: names,
            timeout,
        };
        let id = ask.adviser;
        if !self.send_down(id, message) {
            self.cell.borrow_mut().advice_failed(ask.step, now);
            return;
        }
        let valid = {
            let cell = self.cell.borrow();
            let terms = cell.job(ask.job).and_then(|job| job.policy.advice);
            terms.map_or(Millis::ZERO, |terms| terms.ticket_ttl)
        };
        self.calls.borrow_mut().insert(
            call,
            Call {
                step: ask.step,
                vms: ask.vms,
                peer: id,
                valid,
                began: now,
            },
        );
    }

    /// Takes in an answer of the advice service.
    pub(super) fn advised(&self, call: u64, good: Option<Vec<(CompactString, CompactString)>>) {
        let Some(call) = self.calls.borrow_mut().remove(&call) else {
            return;
        };
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        cell.adviser_finished(call.peer, now);
        match good {
            Some(good) => {
                log::info!(
                    good = good.len(), asked = call.vms.len(), took_ms = now.since(call.began).0;
                    "advice given");
                let valid = call.valid - ANSWER_AGE;
                cell.advice_received(call.step, &call.vms, &good, valid, now);
            }
            None => cell.advice_failed(call.step, now),
        }
        drop(cell);
        self.plan.notify_one();
    }

    /// Gives up the calls of a front whose link broke.
    pub(super) fn fail_calls(&self, peer: u64) {
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        self.calls.borrow_mut().retain(|_, call| {
            if call.peer == peer {
                cell.advice_failed(call.step, now);
            }
            call.peer != peer
        });
    }

    /// Gives up calls whose answers no longer come.
    pub(super) fn expire_calls(&self, now: Millis) {
        const CALL_MAX: Millis = Millis(4000);
        let mut cell = self.cell.borrow_mut();
        self.calls.borrow_mut().retain(|_, call| {
            let kept = now.since(call.began) < CALL_MAX;
            if !kept {
                cell.adviser_finished(call.peer, now);
                cell.advice_failed(call.step, now);
            }
            kept
        });
    }
}
