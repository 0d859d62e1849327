//! Replay of a trace against the scheduler in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use dotterel_kernel::plugin::UnknownPlugin;
use dotterel_kernel::{
    DataCentre, Epoch, HoldKey, Kind, Millis, PendingKey, PendingTask, PolicySet, Reason,
    Scheduler, Service, Size, SubmitOutcome, TaskSpec, Team, Urgency, Vm, VmId,
};
use slotmap::SecondaryMap;

use crate::packing::{VmUsage, mean_usage, measure_usage};
use crate::scenario::{RawPolicy, Scenario};
use crate::stats::{ClassStats, ReplayOutcome, Window, crest_window, measured_window};
use crate::trace::{Arrival, Trace, quota_slots};

/// Interval at which the owner polls its queue, besides reacting to finished tasks.
const TICK_INTERVAL: Millis = Millis(10);
/// Delay before a refused caller retries.
const RETRY_DELAY: Millis = Millis(2000);
/// Longest wait of an urgent task that counts as recovered after the crest.
const RECOVERED_WAIT_MS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The run at index `run` ends.
    Finish {
        hold: HoldKey,
        run: usize,
    },
    /// The caller of the arrival at this index retries.
    Retry(usize),
    Tick,
}

/// A task that has been started.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// Index of its arrival.
    arrival: usize,
    start: Millis,
    ended: bool,
}

struct Replay<'a> {
    scenario: &'a Scenario,
    scheduler: Scheduler,
    /// Arrivals of the trace, followed by the retries.
    arrivals: Vec<Arrival>,
    /// Pending events by time; the sequence number keeps events of the same time in order.
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    sequence: u64,
    runs: Vec<Run>,
    /// Indices of the arrivals that the scheduler has queued.
    queued: SecondaryMap<PendingKey, usize>,
    /// Indices of the arrivals of gangs that wait for placement.
    waiting_gangs: Vec<usize>,
    classes: Vec<ClassStats>,
    /// Slot-milliseconds run by each team.
    team_slot_ms: Vec<u64>,
    vm_usage: Vec<VmUsage>,
    /// Time that is measured.
    window: Window,
    /// Plateau of the crest.
    crest: Option<Window>,
}

/// Replays a trace under one policy.
///
/// # Errors
///
/// Returns the first plug-in name that is not registered.
pub fn replay(
    scenario: &Scenario,
    trace: &Trace,
    policy: &RawPolicy,
    load: f64,
) -> Result<ReplayOutcome, UnknownPlugin> {
    let mut replay = Replay::new(scenario, trace, policy_set(policy)?);
    replay.run();
    Ok(replay.into_outcome(policy, load, trace.arrivals.len()))
}

/// Builds the plug-in set of a policy.
///
/// # Errors
///
/// Returns the first plug-in name that is not registered.
pub fn policy_set(policy: &RawPolicy) -> Result<PolicySet, UnknownPlugin> {
    dotterel_policies::link();
    if let Some(names) = &policy.plugins {
        return PolicySet::from_names(names.iter().map(String::as_str));
    }
    let names = match policy.name.as_str() {
        "baseline" => dotterel_policies::BASELINE,
        "random" => dotterel_policies::RANDOM,
        "standard" => dotterel_policies::STANDARD,
        other => return Err(UnknownPlugin(other.to_owned())),
    };
    PolicySet::from_names(names.iter().copied())
}

/// Adds the VMs of a scenario to a scheduler.
pub fn add_workers(scenario: &Scenario, scheduler: &mut Scheduler) {
    let mut number = 0;
    for workers in &scenario.raw.workers {
        for _ in 0..workers.count {
            let id = VmId(format!("vm-{number}").into());
            let vm = Vm::new(id, DataCentre::from("a"), workers.capacity(), Epoch(1));
            scheduler.fleet_mut().insert(vm);
            number += 1;
        }
    }
}

fn team_service(team: usize) -> Service {
    Service(format!("service-{team}").into())
}

/// Sets the quotas of the teams and returns the number of teams.
fn add_teams(scenario: &Scenario, scheduler: &mut Scheduler) -> usize {
    let Some(teams) = scenario.raw.teams else {
        return 1;
    };
    let count = (teams.count + teams.barred) as usize;
    for number in 0..count {
        let limit = Size {
            milli_cores: u32::MAX,
            memory_mb: u32::MAX,
            accelerators: u32::MAX,
            slots: quota_slots(scenario, number),
            connections: u32::MAX,
        };
        let team = Team(format!("team-{number}").into());
        let key = scheduler.quotas_mut().set(&team, limit);
        scheduler.quotas_mut().assign(&team_service(number), key);
    }
    count
}

impl<'a> Replay<'a> {
    fn new(scenario: &'a Scenario, trace: &Trace, policy: PolicySet) -> Self {
        let mut scheduler = Scheduler::new(policy);
        add_workers(scenario, &mut scheduler);
        let teams = add_teams(scenario, &mut scheduler);
        let stats = || ClassStats::new(scenario.raw.seconds);
        Self {
            scenario,
            scheduler,
            arrivals: trace.arrivals.clone(),
            events: BinaryHeap::new(),
            sequence: 0,
            runs: Vec::new(),
            queued: SecondaryMap::new(),
            waiting_gangs: Vec::new(),
            classes: scenario.raw.classes.iter().map(|_| stats()).collect(),
            team_slot_ms: vec![0; teams],
            vm_usage: Vec::new(),
            window: measured_window(scenario),
            crest: crest_window(scenario),
        }
    }

    fn run(&mut self) {
        let end = Millis::secs(self.scenario.raw.seconds);
        let trace_len = self.arrivals.len();
        let mut index = 0;
        self.schedule(TICK_INTERVAL, Event::Tick);
        loop {
            let due = self.events.peek().map(|Reverse((time, ..))| *time);
            let arrival = (index < trace_len).then(|| self.arrivals[index].at);
            let now = [due, arrival].into_iter().flatten().min().unwrap_or(end);
            if now >= end {
                break;
            }
            if due == Some(now) {
                self.handle_event(now);
            } else {
                self.handle_arrival(index, now);
                index += 1;
            }
        }
        self.count_unfinished(end);
    }

    fn schedule(&mut self, time: Millis, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn handle_event(&mut self, now: Millis) {
        let Some(Reverse((_, _, event))) = self.events.pop() else {
            return;
        };
        match event {
            Event::Finish { hold, run } => {
                self.end_run(run, now);
                self.scheduler.finish(hold, now);
                self.start_queued(now);
            }
            Event::Retry(index) => self.handle_arrival(index, now),
            Event::Tick => {
                self.start_queued(now);
                self.start_gangs(now);
                self.sample_vm_usage(now);
                self.schedule(now + TICK_INTERVAL, Event::Tick);
            }
        }
    }

    fn handle_arrival(&mut self, index: usize, now: Millis) {
        let arrival = self.arrivals[index];
        if self.window.contains(now) {
            self.classes[arrival.class].arrived += 1;
        }
        let task = self.pending_task(&arrival, now);
        if task.spec.kind == Kind::Gang {
            self.waiting_gangs.push(index);
            return;
        }
        match self.scheduler.submit(task, now) {
            SubmitOutcome::Placed(placement) => self.start(index, placement.hold, now),
            SubmitOutcome::Queued(key) => {
                self.queued.insert(key, index);
            }
            SubmitOutcome::Refused(reason) => self.record_refusal(index, Some(reason), now),
        }
    }

    fn pending_task(&self, arrival: &Arrival, now: Millis) -> PendingTask {
        let class = &self.scenario.raw.classes[arrival.class];
        let expected_run = Millis((class.mean_ms() * class.declared).max(1.0) as u64);
        PendingTask {
            service: team_service(arrival.team),
            class: class.name.as_str().into(),
            spec: TaskSpec {
                kind: class.kind,
                urgency: class.urgency,
                size: arrival.size,
                expected_run,
                is_long: expected_run > Millis(1000),
            },
            arrived: now,
            deadline: now + Millis(class.start_ms),
        }
    }

    fn start(&mut self, index: usize, hold: HoldKey, now: Millis) {
        let arrival = self.arrivals[index];
        let wait = now.since(arrival.at).0;
        let stats = &mut self.classes[arrival.class];
        let max_wait = &mut stats.max_waits[(now.0 / 1000) as usize];
        *max_wait = (*max_wait).max(wait);
        if self.window.contains(arrival.at) {
            stats.waits.saturating_record(wait);
        }
        let run = self.runs.len();
        self.runs.push(Run {
            arrival: index,
            start: now,
            ended: false,
        });
        self.schedule(now + arrival.run, Event::Finish { hold, run });
    }

    fn start_queued(&mut self, now: Millis) {
        for (key, _) in self.scheduler.expire(now) {
            if let Some(index) = self.queued.remove(key) {
                self.record_refusal(index, None, now);
            }
        }
        while let Some((key, _, placement)) = self.scheduler.place_next(now) {
            if let Some(index) = self.queued.remove(key) {
                self.start(index, placement.hold, now);
            }
        }
    }

    fn start_gangs(&mut self, now: Millis) {
        for index in std::mem::take(&mut self.waiting_gangs) {
            let arrival = self.arrivals[index];
            let task = self.pending_task(&arrival, arrival.at);
            let count = self.scenario.raw.classes[arrival.class].tasks;
            match self.scheduler.place_gang(&task, count, now) {
                Some(gang) => {
                    for placement in gang {
                        self.start(index, placement.hold, now);
                    }
                }
                None if task.deadline < now => self.record_refusal(index, None, now),
                None => self.waiting_gangs.push(index),
            }
        }
    }

    /// Samples the VMs in use, once per second of virtual time.
    fn sample_vm_usage(&mut self, now: Millis) {
        if self.scenario.raw.packing && self.window.contains(now) && now.0.is_multiple_of(1000) {
            self.vm_usage.push(measure_usage(self.scheduler.fleet()));
        }
    }

    /// Counts a task that does not run and schedules a retry if the caller has any left.
    ///
    /// Without a reason, the task's deadline has passed.
    fn record_refusal(&mut self, index: usize, reason: Option<Reason>, now: Millis) {
        let arrival = self.arrivals[index];
        let stats = &mut self.classes[arrival.class];
        if self.window.contains(arrival.at) {
            match reason {
                Some(reason) => *stats.refused.entry(reason).or_default() += 1,
                None => stats.expired += 1,
            }
            stats
                .refusal_times
                .saturating_record(now.since(arrival.at).0);
        }
        if arrival.prior_attempts < self.scenario.raw.retries {
            let at = now + RETRY_DELAY;
            self.arrivals.push(Arrival {
                at,
                prior_attempts: arrival.prior_attempts + 1,
                ..arrival
            });
            self.schedule(at, Event::Retry(self.arrivals.len() - 1));
        }
    }

    fn end_run(&mut self, run: usize, now: Millis) {
        let ended_run = &mut self.runs[run];
        ended_run.ended = true;
        let start = ended_run.start;
        let arrival = self.arrivals[ended_run.arrival];
        let stats = &mut self.classes[arrival.class];
        stats.finished += u64::from(self.window.contains(now));
        let slot_ms = self.window.overlap(start, now);
        stats.slot_ms += slot_ms;
        stats.crest_slot_ms += self.crest.map_or(0, |crest| crest.overlap(start, now));
        self.team_slot_ms[arrival.team] += slot_ms;
    }

    /// Counts the tasks that still run or wait at the end.
    fn count_unfinished(&mut self, end: Millis) {
        for run in 0..self.runs.len() {
            if !self.runs[run].ended {
                self.end_run(run, end);
            }
        }
        for index in self.queued.values().chain(&self.waiting_gangs) {
            let arrival = self.arrivals[*index];
            if self.window.contains(arrival.at) {
                let wait = end.since(arrival.at).0;
                self.classes[arrival.class].waits.saturating_record(wait);
            }
        }
    }

    fn into_outcome(self, policy: &RawPolicy, load: f64, trace_len: usize) -> ReplayOutcome {
        ReplayOutcome {
            policy: policy.name.clone(),
            load,
            recovery_s: self.recovery(),
            packing: mean_usage(&self.vm_usage),
            amplification: self.arrivals.len() as f64 / trace_len.max(1) as f64,
            classes: self.classes,
            team_slot_ms: self.team_slot_ms,
        }
    }

    /// Returns the seconds from the end of the ramp down to the last second in which an urgent task
    /// waited longer than `RECOVERED_WAIT_MS`.
    fn recovery(&self) -> Option<u64> {
        let crest = self.scenario.raw.crest?;
        let crest_over = (crest.plateau_end().0 / 1000 + crest.ramp_s) as usize;
        let classes = self.scenario.raw.classes.iter().zip(&self.classes);
        let urgent = classes.filter(|(class, _)| class.urgency == Urgency::Urgent);
        let last = urgent
            .flat_map(|(_, stats)| stats.max_waits.iter().enumerate().skip(crest_over))
            .filter(|(_, wait)| **wait > RECOVERED_WAIT_MS)
            .map(|(second, _)| second + 1 - crest_over)
            .max();
        Some(last.unwrap_or(0) as u64)
    }
}
