//! Requests to the advice service: which VMs to ask about, and when.
//!
//! A call can take longer than the work itself. The first call is therefore made while the job is
//! still being stored and names the VMs that will have capacity; later calls renew tickets only
//! where they would be used at once.

use compact_str::CompactString;
use dotterel_kernel::Millis;

use crate::cell::{AdviceRequest, Cell, Order};
use crate::job::{Allowed, Phase, StepRef};
use crate::plan::fit::TICKET_MARGIN;
use crate::spec::{AdviceTerms, Step};
use crate::vm::VmKey;

/// Maximum number of VMs per call.
const MAX_VMS_PER_CALL: usize = 100;
/// Number of VMs per call while idle nodes can share the rest.
const TARGET_VMS_PER_CALL: usize = 60;
/// Minimum number of VMs in the first call for a step.
const MIN_FIRST_CALL_VMS: usize = 6;
/// Capacity to ask about, as a multiple of the capacity needed: other work takes some of it in the
/// meantime.
const CAPACITY_FACTOR: f32 = 2.0;
/// VMs added to fill up a call may add this fraction (one part in n) to its fixed cost.
const FILL_COST_DIVISOR: u64 = 2;
/// Approval rate assumed for a queue without history.
const INITIAL_APPROVAL_RATE: f32 = 0.45;
/// Weight of the latest reply in the moving average of the approval rate.
const APPROVAL_RATE_WEIGHT: f32 = 0.05;
/// VMs whose speed weights differ by less count as equally suitable: half a doubling of the speed.
const SPEED_WEIGHT_STEP: u64 = 1000;
/// Delay before a failed call is retried; the service replies 429 while it has a queue.
const RETRY_DELAY: Millis = Millis(150);
/// Time after which a request without a reply no longer blocks further requests.
const REQUEST_TIMEOUT: Millis = Millis(2500);
/// Longest cost of a short call. Urgent queues make short calls; their work takes half a second in
/// all.
const SHORT_CALL_MAX: Millis = Millis(60);
/// Maximum time that a call may wait until its node is free. After a longer wait the tickets have
/// expired or the VMs are full, and the call has to be repeated: under overload the service would
/// do nothing else.
const SHORT_CALL_MAX_WAIT: Millis = Millis(250);
const LONG_CALL_MAX_WAIT: Millis = Millis(100);
/// One in this many nodes, but at least one, takes no long calls, so that short ones find a free
/// node.
const RESERVED_DIVISOR: usize = 6;

/// A node that makes advice calls, one at a time.
#[derive(Clone, Copy, Debug)]
pub struct Adviser {
    id: u64,
    busy_until: Millis,
    in_flight: u32,
}

impl Cell {
    /// Requests advice for a step whose job may not start yet, if none was requested so far.
    pub(crate) fn request_advice_early(&mut self, step_ref: StepRef, step: &Step, now: Millis) {
        let requested = self
            .step_state(step_ref)
            .is_some_and(|state| !state.advice.requested.is_empty());
        if requested {
            return;
        }
        if step.gang {
            self.request_gang_advice(step_ref, step, step.count, now);
        } else {
            self.request_more_advice(step_ref, step, step.count, now);
        }
    }

    /// Requests advice about more VMs, or renews tickets, if that would let waiting tasks start.
    pub(crate) fn request_more_advice(
        &mut self,
        step_ref: StepRef,
        step: &Step,
        unplaced: u32,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let queue = job.policy.queue.clone();
        if job.policy.advice.is_none() || !self.may_request_advice(step_ref, now) {
            return;
        }
        let vms = self.select_vms(step_ref, step, unplaced, self.approval_rate(&queue), now);
        self.request_advice(step_ref, vms, now);
    }

    /// Returns true if the step has no call in flight and a node is available soon.
    pub(crate) fn may_request_advice(&self, step_ref: StepRef, now: Millis) -> bool {
        let Some(state) = self.step_state(step_ref) else {
            return false;
        };
        let is_pending =
            state.advice.in_flight > 0 && now.since(state.advice.requested_at) < REQUEST_TIMEOUT;
        if is_pending || now < state.advice.not_before {
            return false;
        }
        // Checked before VMs are selected, which goes through all VMs for each waiting step.
        let job = self.jobs.get(step_ref.job);
        let terms = job.and_then(|job| job.policy.advice);
        terms.is_some_and(|terms| self.has_adviser(terms.base_cost, now))
    }

    /// Returns true if a node can take a call of this cost.
    fn has_adviser(&self, cost: Millis, now: Millis) -> bool {
        if cost > SHORT_CALL_MAX && !self.has_unreserved_adviser(now) {
            return false;
        }
        let latest_start = now + max_wait(cost);
        let mut advisers = self.advisers.iter();
        advisers.any(|adviser| adviser.busy_until <= latest_start)
    }

    /// Returns true if a node is free that isn't kept for short calls.
    fn has_unreserved_adviser(&self, now: Millis) -> bool {
        let advisers = self.advisers.iter();
        let free = advisers.filter(|adviser| adviser.busy_until <= now);
        let reserved = (self.advisers.len() / RESERVED_DIVISOR).max(1);
        self.advisers.len() == 1 || free.count() > reserved
    }

    /// Requests advice about `vms`, split into as many calls as there are nodes available.
    pub(crate) fn request_advice(&mut self, step_ref: StepRef, vms: Vec<VmKey>, now: Millis) {
        let Some(job) = self.jobs.get(step_ref.job) else {
            return;
        };
        let (id, Some(terms)) = (job.id, job.policy.advice) else {
            return;
        };
        if vms.is_empty() || !self.may_request_advice(step_ref, now) {
            return;
        }
        let mut calls = 0;
        let mut chosen = Vec::new();
        for chunk in vms.chunks(self.vms_per_call(vms.len(), now)) {
            let count = u32::try_from(chunk.len()).unwrap_or(u32::MAX);
            let cost =
                terms.base_cost + Millis(u64::from(terms.per_vm_us) * u64::from(count) / 1000);
            let Some(adviser) = self.assign_adviser(cost, now) else {
                break;
            };
            calls += 1;
            chosen.extend_from_slice(chunk);
            self.orders.push(Order::RequestAdvice(AdviceRequest {
                step: step_ref,
                job: id,
                vms: chunk.to_vec(),
                cost,
                adviser,
            }));
        }
        if calls > 0
            && let Some(state) = self.step_state_mut(step_ref)
        {
            state.advice.in_flight = calls;
            state.advice.requested_at = now;
            state.advice.in_flight_vms = chosen;
        }
    }

    /// Returns true if enough nodes are idle that speculative calls delay nobody.
    pub(crate) fn advisers_idle(&self, now: Millis) -> bool {
        let free = self
            .advisers
            .iter()
            .filter(|adviser| adviser.busy_until <= now);
        free.count() * 2 > self.advisers.len()
    }

    /// Returns how many VMs to name in each call. Many names make a call long, but further calls
    /// occupy further nodes.
    fn vms_per_call(&self, vm_count: usize, now: Millis) -> usize {
        let free = self
            .advisers
            .iter()
            .filter(|adviser| adviser.busy_until <= now)
            .count();
        let spare = free.saturating_sub(self.advisers.len() / 2);
        let calls = vm_count.div_ceil(TARGET_VMS_PER_CALL).min(1 + spare);
        vm_count.div_ceil(calls.max(1)).clamp(1, MAX_VMS_PER_CALL)
    }

    /// Assigns a call to the node that is free soonest; returns `None` if that is too late.
    fn assign_adviser(&mut self, cost: Millis, now: Millis) -> Option<u64> {
        if !self.has_adviser(cost, now) {
            return None;
        }
        let first = self
            .advisers
            .iter_mut()
            .min_by_key(|adviser| adviser.busy_until)?;
        first.busy_until = first.busy_until.max(now) + cost;
        first.in_flight += 1;
        Some(first.id)
    }

    /// Adds a node that can make advice calls.
    pub fn adviser_joined(&mut self, id: u64) {
        self.advisers.push(Adviser {
            id,
            busy_until: Millis::ZERO,
            in_flight: 0,
        });
    }

    /// Removes a node that can no longer make advice calls.
    pub fn adviser_left(&mut self, id: u64) {
        self.advisers.retain(|adviser| adviser.id != id);
    }

    /// Records that a node has finished a call, successfully or not.
    pub fn adviser_finished(&mut self, id: u64, now: Millis) {
        if let Some(adviser) = self.advisers.iter_mut().find(|adviser| adviser.id == id) {
            adviser.in_flight = adviser.in_flight.saturating_sub(1);
            if adviser.in_flight == 0 {
                adviser.busy_until = now;
            }
        }
        self.plan_needed = true;
    }

    fn select_vms(
        &self,
        step_ref: StepRef,
        step: &Step,
        unplaced: u32,
        rate: f32,
        now: Millis,
    ) -> Vec<VmKey> {
        let Some(state) = self.step_state(step_ref) else {
            return Vec::new();
        };
        let Some(job) = self.jobs.get(step_ref.job) else {
            return Vec::new();
        };
        let Some(terms) = job.policy.advice else {
            return Vec::new();
        };
        let (mut expired, mut unknown) = (Vec::new(), Vec::new());
        let mut valid = 0;
        let avoid = self.avoided_by_all(step_ref, step, now);
        for (key, vm) in &self.vms {
            if !self.is_usable(vm, &job.policy.service, step, now) || avoid.contains(&key) {
                continue;
            }
            let capacity = self.unreserved_capacity(key, vm);
            let slots = self.count_slots(step_ref, step, vm, &capacity);
            let is_known = state.advice.requested.binary_search(&key).is_ok();
            let allowed = state.advice.allowed.iter().find(|entry| entry.vm == key);
            match allowed {
                Some(entry) if entry.incarnation == vm.info.incarnation => {
                    if entry.expires_at > now + TICKET_MARGIN {
                        valid += slots;
                    } else if slots > 0 {
                        expired.push((slots, key));
                    }
                }
                Some(_) => expired.push((slots, key)),
                None if is_known => {}
                None => unknown.push((slots, key)),
            }
        }
        if valid >= unplaced {
            return Vec::new();
        }
        let need = to_f32(unplaced) * CAPACITY_FACTOR;
        let first = state.advice.requested.is_empty();
        // VMs of a suitable speed go first, then those with the most capacity.
        let pace = self.pace(step_ref, step, now);
        let sort_key = |(slots, key): &(u32, VmKey)| {
            let weight = pace.map_or(0, |pace| pace.weight(self.speeds.level(*key)));
            let weight = weight / SPEED_WEIGHT_STEP;
            (*slots == 0, weight, std::cmp::Reverse(*slots))
        };
        expired.sort_by_key(sort_key);
        unknown.sort_by_key(sort_key);
        let mut sum: f32 = to_f32(valid);
        let mut chosen = Vec::new();
        let chances = expired.iter().map(|(slots, key)| (*slots, *key, 1.0));
        let chances = chances.chain(unknown.iter().map(|(slots, key)| (*slots, *key, rate)));
        for (slots, key, chance) in chances {
            let enough = sum >= need && (!first || chosen.len() >= MIN_FIRST_CALL_VMS);
            if enough || chosen.len() >= MAX_VMS_PER_CALL {
                break;
            }
            // VMs without capacity are only worth a call if there is nothing better.
            if slots > 0 || (chosen.is_empty() && first) {
                sum += to_f32(slots) * chance;
                chosen.push(key);
            }
        }
        let fill_to = fill_target(&terms, unplaced).min(MAX_VMS_PER_CALL);
        if !chosen.is_empty() && chosen.len() < fill_to {
            let rest = expired.iter().chain(&unknown).map(|(_, key)| *key);
            let rest: Vec<VmKey> = rest.filter(|key| !chosen.contains(key)).collect();
            chosen.extend(rest.into_iter().take(fill_to - chosen.len()));
        }
        chosen
    }

    /// Returns the VMs that all waiting tasks avoid.
    fn avoided_by_all(&self, step_ref: StepRef, step: &Step, now: Millis) -> Vec<VmKey> {
        let Some(state) = self.step_state(step_ref) else {
            return Vec::new();
        };
        let waiting = state.tasks.iter();
        let mut waiting = waiting.filter(|task| task.phase == Phase::Waiting);
        let Some(first) = waiting.next() else {
            return Vec::new();
        };
        let mut common = self.avoided_by_task(step_ref, step, first, now);
        for task in waiting {
            if common.is_empty() {
                break;
            }
            let avoided = self.avoided_by_task(step_ref, step, task, now);
            common.retain(|key| avoided.contains(key));
        }
        common
    }

    /// Applies a reply of the advice service.
    pub fn advice_received(
        &mut self,
        step_ref: StepRef,
        requested: &[VmKey],
        approved: &[(CompactString, CompactString)],
        valid: Millis,
        now: Millis,
    ) {
        let mut allowed = Vec::with_capacity(approved.len());
        for (id, ticket) in approved {
            let Some(key) = self.vm_by_id(id) else {
                continue;
            };
            allowed.push(Allowed {
                vm: key,
                incarnation: self.vms[key].info.incarnation,
                ticket: ticket.clone(),
                expires_at: now + valid,
            });
        }
        if let Some(queue) = self
            .jobs
            .get(step_ref.job)
            .map(|job| job.policy.queue.clone())
        {
            self.update_approval_rate(queue, approved.len(), requested.len());
        }
        let Some(state) = self.step_state_mut(step_ref) else {
            return;
        };
        let advice = &mut state.advice;
        advice.in_flight = advice.in_flight.saturating_sub(1);
        for key in requested {
            if let Err(index) = advice.requested.binary_search(key) {
                advice.requested.insert(index, *key);
            }
            advice.allowed.retain(|entry| entry.vm != *key);
        }
        advice.allowed.extend(allowed);
        state.planned_at = Millis::ZERO;
        self.plan_needed = true;
    }

    /// Records that a call for advice failed.
    pub fn advice_failed(&mut self, step_ref: StepRef, now: Millis) {
        if let Some(state) = self.step_state_mut(step_ref) {
            state.advice.in_flight = state.advice.in_flight.saturating_sub(1);
            state.advice.not_before = now + RETRY_DELAY;
        }
    }

    pub(crate) fn approval_rate(&self, queue: &str) -> f32 {
        let known = self.approval_rates.iter().find(|(name, _)| name == queue);
        known.map_or(INITIAL_APPROVAL_RATE, |(_, rate)| *rate)
    }

    fn update_approval_rate(&mut self, queue: CompactString, approved: usize, requested: usize) {
        if requested == 0 {
            return;
        }
        let observed = to_f32(u32::try_from(approved).unwrap_or(0))
            / to_f32(u32::try_from(requested).unwrap_or(1));
        match self
            .approval_rates
            .iter_mut()
            .find(|(name, _)| *name == queue)
        {
            Some((_, rate)) => *rate += (observed - *rate) * APPROVAL_RATE_WEIGHT,
            None => self.approval_rates.push((
                queue,
                INITIAL_APPROVAL_RATE + (observed - INITIAL_APPROVAL_RATE) * APPROVAL_RATE_WEIGHT,
            )),
        }
    }
}

/// Returns how long a call may wait until its node is free.
const fn max_wait(cost: Millis) -> Millis {
    if cost.0 > SHORT_CALL_MAX.0 {
        LONG_CALL_MAX_WAIT
    } else {
        SHORT_CALL_MAX_WAIT
    }
}

/// Returns how many VMs a call should name to be worth its fixed cost.
///
/// In a backlog, calls would otherwise renew tickets for a few VMs at a time. Naming VMs that may
/// become free soon adds little to a call and saves the next one.
fn fill_target(terms: &AdviceTerms, unplaced: u32) -> usize {
    let fixed = terms.base_cost.0 * 1000 / u64::from(terms.per_vm_us.max(1));
    let affordable = usize::try_from(fixed / FILL_COST_DIVISOR).unwrap_or(usize::MAX);
    affordable.min(unplaced.saturating_mul(2) as usize)
}

/// Counts of VMs and tasks are far too small to lose precision.
#[expect(clippy::cast_precision_loss, reason = "counts are small")]
pub(crate) fn to_f32(count: u32) -> f32 {
    count as f32
}
