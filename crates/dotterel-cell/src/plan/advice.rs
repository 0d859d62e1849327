//! Which VMs the advice service is asked about, and when.
//!
//! Answers the pattern "a call takes longer than the work it is for": the first call is made while
//! the job is still being stored, names the VMs that will have room, and later calls renew tickets
//! only where they would be used at once.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::cell::{Ask, Cell, Order};
use crate::job::{Allowed, Phase, StepRef};
use crate::plan::fit::TICKET_MARGIN;
use crate::plan::room_for;
use crate::spec::{AdviceTerms, Step};
use crate::vm::VmKey;

/// VMs that one call may name.
const MAX_NAMED: usize = 100;
/// VMs that a call names when nodes are free to share them.
const NAMES_A_CALL: usize = 60;
/// VMs that a first call names at least.
const MIN_NAMED: usize = 6;
/// Room asked about, in multiples of the room needed, since others take some of it meanwhile.
const SURPLUS: f32 = 2.0;
/// The names of a call may add one part in so many to its fixed time, whatever they are good for.
const COMPANY_PART: u64 = 2;
/// The share of VMs that are allowed, before anything has been learnt of a queue.
const GOOD_SHARE: f32 = 0.45;
/// How much the latest answer counts in that share.
const GOOD_WEIGHT: f32 = 0.05;
/// A call that failed is repeated after this time; the service answers 429 while it has a queue.
const ASK_AGAIN: Millis = Millis(150);
/// A call without an answer is given up after its own duration and this time.
const ASK_TIMEOUT: Millis = Millis(2500);
/// A call up to this long is short: those of urgent queues, whose whole work takes half a second.
const SHORT_CALL: Millis = Millis(60);
/// A call isn't given to a node that is busy for longer than this. Calls that wait in line bring
/// tickets that have run out or VMs that are full by then, and are made again: under overload the
/// service would do nothing else.
const SHORT_WAIT: Millis = Millis(250);
const LONG_WAIT: Millis = Millis(100);
/// One in so many nodes is kept free of long calls, so that short ones find one.
const RESERVED_PART: usize = 4;

/// A node that makes calls for advice, one after the other.
#[derive(Clone, Copy, Debug)]
pub struct Adviser {
    id: u64,
    busy: Millis,
    calls: u32,
}

impl Cell {
    /// Asks about a step whose job isn't durable yet.
    pub(crate) fn ask_early(&mut self, at: StepRef, step: &Step, now: Millis) {
        let asked = self
            .step_run(at)
            .is_some_and(|run| !run.advice.asked.is_empty());
        if asked {
            return;
        }
        if step.gang {
            self.ask_gang(at, step, step.count, now);
        } else {
            self.ask_more(at, step, step.count, now);
        }
    }

    /// Asks about more VMs, or renews tickets, when that would let waiting tasks start.
    pub(crate) fn ask_more(&mut self, at: StepRef, step: &Step, left: u32, now: Millis) {
        let Some(job) = self.jobs.get(at.job) else {
            return;
        };
        let queue = job.policy.queue.clone();
        if job.policy.advice.is_none() || !self.may_ask(at, now) {
            return;
        }
        let vms = self.worth_asking(at, step, left, self.good_share(&queue), now);
        self.ask_about(at, vms, now);
    }

    /// Returns true when no call about a step is under way and a node is free soon.
    pub(crate) fn may_ask(&self, at: StepRef, now: Millis) -> bool {
        let Some(run) = self.step_run(at) else {
            return false;
        };
        let waits = run.advice.calls > 0 && now.since(run.advice.made) < ASK_TIMEOUT;
        let soon = now + SHORT_WAIT;
        !waits
            && now >= run.advice.not_before
            && self.advisers.iter().any(|adviser| adviser.busy <= soon)
    }

    /// Asks whether some VMs may run a step, with as many calls as nodes are free for.
    pub(crate) fn ask_about(&mut self, at: StepRef, vms: Vec<VmKey>, now: Millis) {
        let Some(job) = self.jobs.get(at.job) else {
            return;
        };
        let (id, Some(terms)) = (job.id, job.policy.advice) else {
            return;
        };
        if vms.is_empty() || !self.may_ask(at, now) {
            return;
        }
        let mut calls = 0;
        let mut named = Vec::new();
        for part in vms.chunks(self.names_a_call(vms.len(), now)) {
            let count = u32::try_from(part.len()).unwrap_or(u32::MAX);
            let cost = terms.base + Millis(u64::from(terms.each_us) * u64::from(count) / 1000);
            let Some(adviser) = self.take_adviser(cost, now) else {
                break;
            };
            calls += 1;
            named.extend_from_slice(part);
            self.orders.push(Order::Ask(Ask {
                step: at,
                job: id,
                vms: part.to_vec(),
                cost,
                adviser,
            }));
        }
        if calls > 0
            && let Some(run) = self.step_run_mut(at)
        {
            run.advice.calls = calls;
            run.advice.made = now;
            run.advice.renewing = named;
        }
    }

    /// Returns true when so many nodes are free that calls of doubtful use keep nobody waiting.
    pub(crate) fn advisers_idle(&self, now: Millis) -> bool {
        let free = self.advisers.iter().filter(|adviser| adviser.busy <= now);
        free.count() * 2 > self.advisers.len()
    }

    /// Returns how many VMs to name in each call: many names make a call long, and further calls
    /// cost the time of further nodes.
    fn names_a_call(&self, names: usize, now: Millis) -> usize {
        let free = self
            .advisers
            .iter()
            .filter(|adviser| adviser.busy <= now)
            .count();
        let spare = free.saturating_sub(self.advisers.len() / 2);
        let calls = names.div_ceil(NAMES_A_CALL).min(1 + spare);
        names.div_ceil(calls.max(1)).clamp(1, MAX_NAMED)
    }

    /// Returns the node that is through soonest, if it is soon enough for a call.
    fn take_adviser(&mut self, cost: Millis, now: Millis) -> Option<u64> {
        let mut wait = SHORT_WAIT;
        if cost > SHORT_CALL {
            wait = LONG_WAIT;
            let free = self.advisers.iter().filter(|adviser| adviser.busy <= now);
            if self.advisers.len() > 1 && free.count() <= self.advisers.len() / RESERVED_PART {
                return None;
            }
        }
        let first = self
            .advisers
            .iter_mut()
            .min_by_key(|adviser| adviser.busy)?;
        if first.busy > now + wait {
            return None;
        }
        first.busy = first.busy.max(now) + cost;
        first.calls += 1;
        Some(first.id)
    }

    /// Takes in a node that can make calls for advice.
    pub fn adviser_joined(&mut self, id: u64) {
        self.advisers.push(Adviser {
            id,
            busy: Millis::ZERO,
            calls: 0,
        });
    }

    /// Takes in that a node can't make calls any more.
    pub fn adviser_left(&mut self, id: u64) {
        self.advisers.retain(|adviser| adviser.id != id);
    }

    /// Takes in that a node is through with a call, whatever came of it.
    pub fn adviser_through(&mut self, id: u64, now: Millis) {
        if let Some(adviser) = self.advisers.iter_mut().find(|adviser| adviser.id == id) {
            adviser.calls = adviser.calls.saturating_sub(1);
            if adviser.calls == 0 {
                adviser.busy = now;
            }
        }
        self.dirty = true;
    }

    fn worth_asking(
        &self,
        at: StepRef,
        step: &Step,
        left: u32,
        share: f32,
        now: Millis,
    ) -> Vec<VmKey> {
        let Some(run) = self.step_run(at) else {
            return Vec::new();
        };
        let Some(job) = self.jobs.get(at.job) else {
            return Vec::new();
        };
        let Some(terms) = job.policy.advice else {
            return Vec::new();
        };
        let size = room_for(step);
        let (mut expired, mut fresh) = (Vec::new(), Vec::new());
        let mut valid = 0;
        let avoid = self.avoided(at);
        for (key, vm) in &self.vms {
            if !self.usable(vm, &job.policy.service, step, now) || avoid.contains(&key) {
                continue;
            }
            let slots = self.spare(key, vm).count_fitting(&size).min(step.count);
            let known = run.advice.asked.binary_search(&key).is_ok();
            let allowed = run.advice.allowed.iter().find(|entry| entry.vm == key);
            match allowed {
                Some(entry) if entry.born == vm.info.born => {
                    if entry.until > now + TICKET_MARGIN {
                        valid += slots;
                    } else if slots > 0 {
                        expired.push((slots, key));
                    }
                }
                Some(_) => expired.push((slots, key)),
                None if known => {}
                None => fresh.push((slots, key)),
            }
        }
        if valid >= left {
            return Vec::new();
        }
        let need = to_f32(left) * SURPLUS;
        let first = run.advice.asked.is_empty();
        expired.sort_by_key(|(slots, _)| std::cmp::Reverse(*slots));
        fresh.sort_by_key(|(slots, _)| std::cmp::Reverse(*slots));
        let mut sum: f32 = to_f32(valid);
        let mut named = Vec::new();
        let chances = expired.iter().map(|(slots, key)| (*slots, *key, 1.0));
        let chances = chances.chain(fresh.iter().map(|(slots, key)| (*slots, *key, share)));
        for (slots, key, chance) in chances {
            let enough = sum >= need && (!first || named.len() >= MIN_NAMED);
            if enough || named.len() >= MAX_NAMED {
                break;
            }
            // VMs without room are only worth a call when there is no better choice.
            if slots > 0 || (named.is_empty() && first) {
                sum += to_f32(slots) * chance;
                named.push(key);
            }
        }
        let full = company(&terms, left).min(MAX_NAMED);
        if !named.is_empty() && named.len() < full {
            let rest = expired.iter().chain(&fresh).map(|(_, key)| *key);
            let rest: Vec<VmKey> = rest.filter(|key| !named.contains(key)).collect();
            named.extend(rest.into_iter().take(full - named.len()));
        }
        named
    }

    /// Returns the VMs that none of the waiting tasks would take.
    fn avoided(&self, at: StepRef) -> Vec<VmKey> {
        let Some(run) = self.step_run(at) else {
            return Vec::new();
        };
        let waiting = || run.tasks.iter().filter(|task| task.phase == Phase::Waiting);
        let Some(first) = waiting().next() else {
            return Vec::new();
        };
        let avoided = first.avoid.iter().copied();
        avoided
            .filter(|key| waiting().all(|task| task.avoid.contains(key)))
            .collect()
    }

    /// Takes in the advice service's answer.
    pub fn advised(
        &mut self,
        at: StepRef,
        asked: &[VmKey],
        good: &[(CompactString, CompactString)],
        valid: Millis,
        now: Millis,
    ) {
        let mut allowed = Vec::with_capacity(good.len());
        for (id, ticket) in good {
            let Some(key) = self.vm_by_id(id) else {
                continue;
            };
            allowed.push(Allowed {
                vm: key,
                born: self.vms[key].info.born,
                ticket: ticket.clone(),
                until: now + valid,
            });
        }
        if let Some(queue) = self.jobs.get(at.job).map(|job| job.policy.queue.clone()) {
            self.learn_share(queue, good.len(), asked.len());
        }
        let Some(run) = self.step_run_mut(at) else {
            return;
        };
        let advice = &mut run.advice;
        advice.calls = advice.calls.saturating_sub(1);
        for key in asked {
            if let Err(place) = advice.asked.binary_search(key) {
                advice.asked.insert(place, *key);
            }
            advice.allowed.retain(|entry| entry.vm != *key);
        }
        advice.allowed.extend(allowed);
        run.looked = Millis::ZERO;
        self.dirty = true;
    }

    /// Takes in that the advice service gave no answer.
    pub fn not_advised(&mut self, at: StepRef, now: Millis) {
        if let Some(run) = self.step_run_mut(at) {
            run.advice.calls = run.advice.calls.saturating_sub(1);
            run.advice.not_before = now + ASK_AGAIN;
        }
    }

    pub(crate) fn good_share(&self, queue: &str) -> f32 {
        let known = self.good.iter().find(|(name, _)| name == queue);
        known.map_or(GOOD_SHARE, |(_, share)| *share)
    }

    fn learn_share(&mut self, queue: CompactString, good: usize, asked: usize) {
        if asked == 0 {
            return;
        }
        let seen =
            to_f32(u32::try_from(good).unwrap_or(0)) / to_f32(u32::try_from(asked).unwrap_or(1));
        match self.good.iter_mut().find(|(name, _)| *name == queue) {
            Some((_, share)) => *share += (seen - *share) * GOOD_WEIGHT,
            None => self
                .good
                .push((queue, GOOD_SHARE + (seen - GOOD_SHARE) * GOOD_WEIGHT)),
        }
    }
}

/// Returns how many VMs a call should name for its fixed part to be worth while.
///
/// Answers the pattern "a backlog renews tickets for a few VMs at a time": naming the VMs that may
/// come free soon adds little to a call, and saves the next one.
fn company(terms: &AdviceTerms, left: u32) -> usize {
    let fixed = terms.base.0 * 1000 / u64::from(terms.each_us.max(1));
    let cheap = usize::try_from(fixed / COMPANY_PART).unwrap_or(usize::MAX);
    cheap.min(left.saturating_mul(2) as usize)
}

/// Counts of VMs and tasks are far below the point where precision is lost.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
pub(crate) fn to_f32(count: u32) -> f32 {
    count as f32
}
