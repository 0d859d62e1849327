//! Replay of a trace against the scheduler in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use dotterel_kernel::plugin::UnknownPlugin;
use dotterel_kernel::{
    DataCentre, Epoch, HoldKey, Kind, Millis, PendingKey, PendingTask, PolicySet, Reason,
    Scheduler, Service, Size, SubmitOutcome, TaskSpec, Team, Urgency, Vm, VmId,
};
use slotmap::SecondaryMap;

use crate::packing::{Use, compare, mean};
use crate::scenario::{RawPolicy, Scenario};
use crate::stats::{ClassStats, Outcome, Window, crest, window};
use crate::trace::{Arrival, Trace, quota_slots};

/// How often the owner looks at its queue without being told of a change.
const TICK: Millis = Millis(10);
/// When a refused caller comes back.
const RETRY_AFTER: Millis = Millis(2000);
/// Waits up to this count as ordinary when recovery is judged.
const ORDINARY_MS: u64 = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Finish { hold: HoldKey, run: usize },
    Return(usize),
    Tick,
}

/// A started task.
#[derive(Clone, Copy, Debug)]
struct Run {
    arrival: usize,
    start: Millis,
    ended: bool,
}

struct Replay<'a> {
    scenario: &'a Scenario,
    scheduler: Scheduler,
    arrivals: Vec<Arrival>,
    events: BinaryHeap<Reverse<(Millis, u64, Event)>>,
    counter: u64,
    runs: Vec<Run>,
    queued: SecondaryMap<PendingKey, usize>,
    gangs: Vec<usize>,
    classes: Vec<ClassStats>,
    teams: Vec<u64>,
    packing: Vec<Use>,
    window: Window,
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
) -> Result<Outcome, UnknownPlugin> {
    let mut replay = Replay::new(scenario, trace, plugins(policy)?);
    replay.run();
    Ok(replay.outcome(policy, load, trace.arrivals.len()))
}

/// Builds the plug-ins of a policy.
///
/// # Errors
///
/// Returns the first plug-in name that is not registered.
pub fn plugins(policy: &RawPolicy) -> Result<PolicySet, UnknownPlugin> {
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

/// Fills a scheduler with the VMs of a scenario.
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

fn service(team: usize) -> Service {
    Service(format!("service-{team}").into())
}

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
        scheduler.quotas_mut().assign(&service(number), key);
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
            counter: 0,
            runs: Vec::new(),
            queued: SecondaryMap::new(),
            gangs: Vec::new(),
            classes: scenario.raw.classes.iter().map(|_| stats()).collect(),
            teams: vec![0; teams],
            packing: Vec::new(),
            window: window(scenario),
            crest: crest(scenario),
        }
    }

    fn run(&mut self) {
        let end = Millis::secs(self.scenario.raw.seconds);
        let fresh = self.arrivals.len();
        let mut index = 0;
        self.schedule(TICK, Event::Tick);
        loop {
            let due = self.events.peek().map(|Reverse((time, ..))| *time);
            let arrival = (index < fresh).then(|| self.arrivals[index].at);
            let now = [due, arrival].into_iter().flatten().min().unwrap_or(end);
            if now >= end {
                break;
            }
            if due == Some(now) {
                self.handle(now);
            } else {
                self.arrive(index, now);
                index += 1;
            }
        }
        self.close(end);
    }

    fn schedule(&mut self, time: Millis, event: Event) {
        self.counter += 1;
        self.events.push(Reverse((time, self.counter, event)));
    }

    fn handle(&mut self, now: Millis) {
        let Some(Reverse((_, _, event))) = self.events.pop() else {
            return;
        };
        match event {
            Event::Finish { hold, run } => {
                self.end_run(run, now);
                self.scheduler.finish(hold, now);
                self.start_waiting(now);
            }
            Event::Return(index) => self.arrive(index, now),
            Event::Tick => {
                self.start_waiting(now);
                self.start_gangs(now);
                self.count_vms(now);
                self.schedule(now + TICK, Event::Tick);
            }
        }
    }

    fn arrive(&mut self, index: usize, now: Millis) {
        let arrival = self.arrivals[index];
        if self.window.contains(now) {
            self.classes[arrival.class].arrived += 1;
        }
        let task = self.task(&arrival, now);
        if task.spec.kind == Kind::Gang {
            self.gangs.push(index);
            return;
        }
        match self.scheduler.submit(task, now) {
            SubmitOutcome::Placed(placement) => self.start(index, placement.hold, now),
            SubmitOutcome::Queued(key) => {
                self.queued.insert(key, index);
            }
            SubmitOutcome::Refused(reason) => self.refuse(index, Some(reason), now),
        }
    }

    fn task(&self, arrival: &Arrival, now: Millis) -> PendingTask {
        let class = &self.scenario.raw.classes[arrival.class];
        let expected_run = Millis((class.mean_ms() * class.declared).max(1.0) as u64);
        PendingTask {
            service: service(arrival.team),
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
        let second = &mut stats.seconds[(now.0 / 1000) as usize];
        *second = (*second).max(wait);
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

    fn start_waiting(&mut self, now: Millis) {
        for (key, _) in self.scheduler.expire(now) {
            if let Some(index) = self.queued.remove(key) {
                self.refuse(index, None, now);
            }
        }
        while let Some((key, _, placement)) = self.scheduler.place_next(now) {
            if let Some(index) = self.queued.remove(key) {
                self.start(index, placement.hold, now);
            }
        }
    }

    fn start_gangs(&mut self, now: Millis) {
        for index in std::mem::take(&mut self.gangs) {
            let arrival = self.arrivals[index];
            let task = self.task(&arrival, arrival.at);
            let count = self.scenario.raw.classes[arrival.class].tasks;
            match self.scheduler.place_gang(&task, count, now) {
                Some(gang) => {
                    for placement in gang {
                        self.start(index, placement.hold, now);
                    }
                }
                None if task.deadline < now => self.refuse(index, None, now),
                None => self.gangs.push(index),
            }
        }
    }

    /// Counts the VMs in use, once a second.
    fn count_vms(&mut self, now: Millis) {
        if self.scenario.raw.packing && self.window.contains(now) && now.0.is_multiple_of(1000) {
            self.packing.push(compare(self.scheduler.fleet()));
        }
    }

    /// Counts a task that does not run; its caller may come back.
    fn refuse(&mut self, index: usize, reason: Option<Reason>, now: Millis) {
        let arrival = self.arrivals[index];
        let stats = &mut self.classes[arrival.class];
        if self.window.contains(arrival.at) {
            match reason {
                Some(reason) => *stats.refused.entry(reason).or_default() += 1,
                None => stats.expired += 1,
            }
            stats.told.saturating_record(now.since(arrival.at).0);
        }
        if arrival.tries < self.scenario.raw.retries {
            let at = now + RETRY_AFTER;
            self.arrivals.push(Arrival {
                at,
                tries: arrival.tries + 1,
                ..arrival
            });
            self.schedule(at, Event::Return(self.arrivals.len() - 1));
        }
    }

    fn end_run(&mut self, run: usize, now: Millis) {
        let started = &mut self.runs[run];
        started.ended = true;
        let start = started.start;
        let arrival = self.arrivals[started.arrival];
        let stats = &mut self.classes[arrival.class];
        stats.finished += u64::from(self.window.contains(now));
        let work = self.window.overlap(start, now);
        stats.work += work;
        stats.crest_work += self.crest.map_or(0, |crest| crest.overlap(start, now));
        self.teams[arrival.team] += work;
    }

    /// Counts what still runs and waits at the end.
    fn close(&mut self, end: Millis) {
        for run in 0..self.runs.len() {
            if !self.runs[run].ended {
                self.end_run(run, end);
            }
        }
        for index in self.queued.values().chain(&self.gangs) {
            let arrival = self.arrivals[*index];
            if self.window.contains(arrival.at) {
                let wait = end.since(arrival.at).0;
                self.classes[arrival.class].waits.saturating_record(wait);
            }
        }
    }

    fn outcome(self, policy: &RawPolicy, load: f64, fresh: usize) -> Outcome {
        Outcome {
            policy: policy.name.clone(),
            load,
            recovery_s: self.recovery(),
            packing: mean(&self.packing),
            amplification: self.arrivals.len() as f64 / fresh.max(1) as f64,
            classes: self.classes,
            teams: self.teams,
        }
    }

    /// Returns the seconds from the end of the crest until urgent waits stay ordinary.
    fn recovery(&self) -> Option<u64> {
        let crest = self.scenario.raw.crest?;
        let over = (crest.end().0 / 1000 + crest.ramp_s) as usize;
        let classes = self.scenario.raw.classes.iter().zip(&self.classes);
        let urgent = classes.filter(|(class, _)| class.urgency == Urgency::Urgent);
        let last = urgent
            .flat_map(|(_, stats)| stats.seconds.iter().enumerate().skip(over))
            .filter(|(_, wait)| **wait > ORDINARY_MS)
            .map(|(second, _)| second + 1 - over)
            .max();
        Some(last.unwrap_or(0) as u64)
    }
}
