//! The part that owns shards and runs their jobs.

mod commands;
mod effects;
mod shards;

use std::sync::Arc;

use dotterel_kernel::{Clock, JobId, Millis};
use dotterel_platform::{Pressure, Table};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::host::JobHost;
use super::job::Job;
use super::ledger::{Flushed, Recorded, Shard};
use super::place::Plan;
use super::tenure::Tenure;
use super::{Config, Jobs};
use crate::jobs::record::Phase;
pub use commands::EngineHandle;
use commands::Order;
use effects::Event;

/// The most placements under way at once.
const PLACEMENTS: usize = 64;

/// The time between two removals of old jobs.
const PURGE: Millis = Millis::secs(60);

/// The most orders that wait for an engine.
const ORDERS: usize = 1024;

/// Owns shards and runs their jobs until it is stopped.
pub struct Engine {
    table: Arc<dyn Table>,
    clock: Clock,
    jobs: Jobs,
    config: Config,
    host: Arc<dyn JobHost>,
    tenure: Tenure,
    shards: Vec<Shard>,
    effects: JoinSet<Event>,
    placements: usize,
    /// Where the next round of placements begins, so that no job always comes last.
    turn: usize,
    next_beat: Millis,
    next_survey: Millis,
    next_purge: Millis,
    orders: (mpsc::Sender<Order>, mpsc::Receiver<Order>),
}

impl Engine {
    pub(super) fn new(jobs: Jobs, host: Arc<dyn JobHost>) -> Self {
        Self {
            table: Arc::clone(&jobs.table),
            clock: jobs.clock,
            config: jobs.config,
            host,
            tenure: Tenure::new(jobs.owner.clone(), jobs.config.shards),
            jobs,
            shards: Vec::new(),
            effects: JoinSet::new(),
            placements: 0,
            turn: 0,
            next_beat: Millis::ZERO,
            next_survey: Millis::ZERO,
            next_purge: Millis::ZERO,
            orders: mpsc::channel(ORDERS),
        }
    }

    /// Returns a way to give orders.
    #[must_use]
    pub fn handle(&self) -> EngineHandle {
        EngineHandle::new(self.orders.0.clone())
    }

    /// Runs until `stop` turns true or its sender is gone, then gives the shards back.
    ///
    /// What runs on the VMs goes on; the next owners take it over.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut rounds = tokio::time::interval(self.config.round_interval.duration());
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = rounds.tick() => self.round().await,
                Some(Ok(event)) = self.effects.join_next() => self.apply(event),
                Some(order) = self.orders.1.recv() => self.press(order),
                () = stopped(&mut stop) => break,
            }
        }
        self.part().await;
    }

    async fn round(&mut self) {
        let now = self.clock.now();
        if now >= self.next_beat {
            self.next_beat = now + self.config.renew_interval();
            self.claim(now).await;
        }
        self.intake().await;
        self.judge();
        self.place();
        self.flush().await;
        self.stop_doubts();
        if now >= self.next_survey {
            self.next_survey = now + self.config.poll_interval;
            self.survey();
        }
        if now >= self.next_purge {
            self.next_purge = now + PURGE;
            self.purge(now).await;
        }
    }

    async fn intake(&mut self) {
        let now = self.clock.now();
        let table = Arc::clone(&self.table);
        let mut unused = Vec::new();
        for shard in &mut self.shards {
            let cancelled = match shard.intake(&*table, &self.config).await {
                Ok(cancelled) => cancelled,
                Err(fault) => {
                    log::debug!(shard = shard.index, fault:%; "inbox of a job shard not read");
                    // All shards are in the same table; the next round asks again.
                    break;
                }
            };
            for id in cancelled {
                let plan = shard.job(id).and_then(|job| job.cancel(now));
                unused.extend(plan);
            }
        }
        self.release(unused);
    }

    fn judge(&mut self) {
        for job in self.shards.iter_mut().flat_map(|shard| &mut shard.jobs) {
            if matches!(job.phase, Phase::Active | Phase::Parked(_)) {
                job.judge(self.host.check_runnable(&job.spec));
            }
        }
    }

    /// Looks for room, for urgent jobs first and for equals in turn.
    fn place(&mut self) {
        let now = self.clock.now();
        let mut all: Vec<&mut Job> = self.shards.iter_mut().flat_map(|s| &mut s.jobs).collect();
        self.turn = (self.turn + 1) % all.len().max(1);
        all.rotate_left(self.turn);
        all.sort_by_key(|job| job.spec.urgency);
        for job in all {
            if self.placements >= PLACEMENTS {
                break;
            }
            if let Some(need) = job.need(now, &self.config) {
                self.placements += 1;
                let host = Arc::clone(&self.host);
                self.effects.spawn(effects::place(host, need));
            }
        }
    }

    async fn flush(&mut self) {
        let table = Arc::clone(&self.table);
        let mut kept = Vec::new();
        // All shards are in the same table: when one write fails, the others wait for a round.
        let mut down = false;
        for mut shard in std::mem::take(&mut self.shards) {
            let now = self.clock.now();
            if down || !shard.dirty(now, &self.config) {
                kept.push(shard);
                continue;
            }
            let wanted = self.host.should_own(shard.index);
            let owner = wanted.then_some(&self.jobs.owner);
            match shard.flush(&*table, &self.config, owner, now).await {
                Flushed::Applied(recorded) => {
                    self.recorded(&mut shard, recorded);
                    kept.push(shard);
                }
                Flushed::Later => {
                    down = true;
                    kept.push(shard);
                }
                Flushed::Parted => log::info!(shard = shard.index; "job shard given back"),
                Flushed::Deposed => log::warn!(shard = shard.index; "job shard lost"),
            }
        }
        self.shards = kept;
    }

    /// Starts the attempts that are now durable.
    fn recorded(&mut self, shard: &mut Shard, recorded: Vec<Recorded>) {
        for Recorded {
            job,
            planned,
            ended,
        } in recorded
        {
            self.host.ends_recorded(&ended);
            let Some(entry) = shard.job(job) else {
                continue;
            };
            if let Some((plan, starts)) = entry.committed(&planned) {
                log::info!(job:%, tasks = starts.len(); "attempts recorded");
                let host = Arc::clone(&self.host);
                self.effects
                    .spawn(effects::launch(host, job, plan.holds, starts));
            }
        }
    }

    fn stop_doubts(&mut self) {
        for job in self.shards.iter_mut().flat_map(|shard| &mut shard.jobs) {
            let doubts = job.take_doubts();
            if !doubts.is_empty() {
                let host = Arc::clone(&self.host);
                self.effects.spawn(effects::stop(host, job.id, doubts));
            }
        }
    }

    fn survey(&mut self) {
        let jobs = self.shards.iter().flat_map(|shard| &shard.jobs);
        let running = jobs.flat_map(|job| {
            let id = job.id;
            job.running().map(move |(index, a)| (id, index, a.clone()))
        });
        let running: Vec<_> = running.collect();
        if !running.is_empty() {
            let host = Arc::clone(&self.host);
            self.effects.spawn(effects::survey(host, running));
        }
    }

    fn press(&mut self, order: Order) {
        let job = self.shards.iter_mut().find_map(|s| s.job(order.job));
        let Some(job) = job else {
            return;
        };
        let attempt = match order.pressure {
            Pressure::Checkpoint => job.checkpoint(order.index),
            Pressure::Throttle | Pressure::Restore => {
                let found = job.running().find(|entry| entry.0 == order.index);
                found.map(|entry| entry.1.clone())
            }
        };
        if let Some(attempt) = attempt {
            let host = Arc::clone(&self.host);
            self.effects
                .spawn(effects::press(host, attempt, order.pressure));
        }
    }

    fn apply(&mut self, event: Event) {
        let now = self.clock.now();
        let config = self.config;
        match event {
            Event::Placed(need, plan) => {
                self.placements -= 1;
                let unused = match self.job(need.job) {
                    Some(job) => job.placed(&need, plan, now, &config),
                    None => plan,
                };
                self.release(unused);
            }
            Event::Launched(id, outcomes) => {
                for (index, task, outcome) in outcomes {
                    self.change(id, |job| job.launched(index, task, &outcome, now, &config));
                }
            }
            Event::Stood(found) => {
                for (id, index, task, standing) in found {
                    self.change(id, |job| job.stood(index, task, standing, now, &config));
                }
            }
            Event::Done => {}
        }
    }

    /// Changes a job and gives back what it no longer needs.
    fn change(&mut self, id: JobId, change: impl FnOnce(&mut Job)) {
        let now = self.clock.now();
        let Some(job) = self.job(id) else {
            return;
        };
        change(job);
        let unused = job.unplan(now);
        self.release(unused);
    }

    fn job(&mut self, id: JobId) -> Option<&mut Job> {
        self.shards.iter_mut().find_map(|shard| shard.job(id))
    }

    fn release(&mut self, plans: impl IntoIterator<Item = Plan>) {
        for plan in plans {
            let host = Arc::clone(&self.host);
            self.effects.spawn(effects::release(host, plan.holds));
        }
    }
}

/// Waits until `stop` turns true or its sender is gone.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender is gone, which is an order to stop as well.
    drop(stop.wait_for(|stop| *stop).await);
}
