//! The engine, which owns shards and runs their jobs.

mod handle;
mod host_calls;
mod shards;

use std::sync::Arc;

use dotterel_kernel::{Clock, JobId, Millis};
use dotterel_platform::{Table, TaskSignal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::host::JobHost;
use super::job::Job;
use super::place::Reservation;
use super::shard::{FlushOutcome, Recorded, Shard};
use super::shard_leases::ShardLeases;
use super::{Config, Jobs};
use crate::jobs::record::Phase;
use handle::Command;
pub use handle::EngineHandle;
use host_calls::Event;

/// The maximum number of concurrent placements.
const MAX_PLACEMENTS: usize = 64;

/// The interval between two purges of ended jobs.
const PURGE_INTERVAL: Millis = Millis::secs(60);

/// The capacity of the engine's command queue.
const COMMAND_CAPACITY: usize = 1024;

/// Owns shards and runs their jobs until it is stopped.
pub struct Engine {
    table: Arc<dyn Table>,
    clock: Clock,
    jobs: Jobs,
    config: Config,
    host: Arc<dyn JobHost>,
    shard_leases: ShardLeases,
    shards: Vec<Shard>,
    host_calls: JoinSet<Event>,
    pending_placements: usize,
    /// How far the list of jobs is rotated before placements, so that no job is starved.
    rotation: usize,
    next_renewal: Millis,
    next_poll: Millis,
    next_purge: Millis,
    commands: (mpsc::Sender<Command>, mpsc::Receiver<Command>),
}

impl Engine {
    pub(super) fn new(jobs: Jobs, host: Arc<dyn JobHost>) -> Self {
        Self {
            table: Arc::clone(&jobs.table),
            clock: jobs.clock,
            config: jobs.config,
            host,
            shard_leases: ShardLeases::new(jobs.owner.clone(), jobs.config.shards),
            jobs,
            shards: Vec::new(),
            host_calls: JoinSet::new(),
            pending_placements: 0,
            rotation: 0,
            next_renewal: Millis::ZERO,
            next_poll: Millis::ZERO,
            next_purge: Millis::ZERO,
            commands: mpsc::channel(COMMAND_CAPACITY),
        }
    }

    /// Returns a handle for commands to this engine.
    #[must_use]
    pub fn handle(&self) -> EngineHandle {
        EngineHandle::new(self.commands.0.clone())
    }

    /// Runs until `stop` becomes true or its sender is dropped, then releases the shards.
    ///
    /// Tasks on the VMs continue to run; the next owners of the shards adopt them.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut rounds = tokio::time::interval(self.config.round_interval.duration());
        rounds.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = rounds.tick() => self.run_round().await,
                Some(Ok(event)) = self.host_calls.join_next() => self.handle_event(event),
                Some(command) = self.commands.1.recv() => self.send_signal(command),
                () = stopped(&mut stop) => break,
            }
        }
        self.release_shards().await;
    }

    async fn run_round(&mut self) {
        let now = self.clock.now();
        if now >= self.next_renewal {
            self.next_renewal = now + self.config.renew_interval();
            self.update_shards(now).await;
        }
        self.read_inboxes().await;
        self.update_parked();
        self.place_tasks();
        self.flush_shards().await;
        self.request_stops();
        if now >= self.next_poll {
            self.next_poll = now + self.config.poll_interval;
            self.poll_running();
        }
        if now >= self.next_purge {
            self.next_purge = now + PURGE_INTERVAL;
            self.purge_shards(now).await;
        }
    }

    async fn read_inboxes(&mut self) {
        let now = self.clock.now();
        let table = Arc::clone(&self.table);
        let mut unused = Vec::new();
        for shard in &mut self.shards {
            let cancelled = match shard.read_inbox(&*table, &self.config).await {
                Ok(cancelled) => cancelled,
                Err(err) => {
                    log::debug!(shard = shard.index, fault:% = err; "failed to read job shard inbox");
                    // All shards are in the same table, so skip the rest until the next round.
                    break;
                }
            };
            for id in cancelled {
                let reservation = shard.job(id).and_then(|job| job.cancel(now));
                unused.extend(reservation);
            }
        }
        self.release_holds(unused);
    }

    fn update_parked(&mut self) {
        for job in self.shards.iter_mut().flat_map(|shard| &mut shard.jobs) {
            if matches!(job.phase, Phase::Active | Phase::Parked(_)) {
                job.update_parked(self.host.check_runnable(&job.spec));
            }
        }
    }

    /// Places the tasks of urgent jobs first, and rotates among jobs of equal urgency.
    fn place_tasks(&mut self) {
        let now = self.clock.now();
        let mut all: Vec<&mut Job> = self.shards.iter_mut().flat_map(|s| &mut s.jobs).collect();
        self.rotation = (self.rotation + 1) % all.len().max(1);
        all.rotate_left(self.rotation);
        all.sort_by_key(|job| job.spec.urgency);
        for job in all {
            if self.pending_placements >= MAX_PLACEMENTS {
                break;
            }
            if let Some(request) = job.placement_request(now, &self.config) {
                self.pending_placements += 1;
                let host = Arc::clone(&self.host);
                self.host_calls.spawn(host_calls::place(host, request));
            }
        }
    }

    async fn flush_shards(&mut self) {
        let table = Arc::clone(&self.table);
        let mut remaining = Vec::new();
        // All shards are in the same table: after a failed write the others wait for a new round.
        let mut unavailable = false;
        for mut shard in std::mem::take(&mut self.shards) {
            let now = self.clock.now();
            if unavailable || !shard.needs_flush(now, &self.config) {
                remaining.push(shard);
                continue;
            }
            let keep = self.host.should_own(shard.index);
            let owner = keep.then_some(&self.jobs.owner);
            match shard.flush(&*table, &self.config, owner, now).await {
                FlushOutcome::Applied(recorded) => {
                    self.handle_recorded(&mut shard, recorded);
                    remaining.push(shard);
                }
                FlushOutcome::Later => {
                    unavailable = true;
                    remaining.push(shard);
                }
                FlushOutcome::Parted => log::info!(shard = shard.index; "job shard released"),
                FlushOutcome::Deposed => log::warn!(shard = shard.index; "job shard lost"),
            }
        }
        self.shards = remaining;
    }

    /// Reports recorded ends to the host and starts the attempts that are now durable.
    fn handle_recorded(&mut self, shard: &mut Shard, recorded: Vec<Recorded>) {
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
            if let Some((reservation, starts)) = entry.take_starts(&planned) {
                log::info!(job:%, tasks = starts.len(); "attempts recorded");
                let host = Arc::clone(&self.host);
                self.host_calls
                    .spawn(host_calls::launch(host, job, reservation.holds, starts));
            }
        }
    }

    fn request_stops(&mut self) {
        for job in self.shards.iter_mut().flat_map(|shard| &mut shard.jobs) {
            let stops = job.take_stops();
            if !stops.is_empty() {
                let host = Arc::clone(&self.host);
                self.host_calls.spawn(host_calls::stop(host, job.id, stops));
            }
        }
    }

    fn poll_running(&mut self) {
        let jobs = self.shards.iter().flat_map(|shard| &shard.jobs);
        let running = jobs.flat_map(|job| {
            let id = job.id;
            job.running().map(move |(index, a)| (id, index, a.clone()))
        });
        let running: Vec<_> = running.collect();
        if !running.is_empty() {
            let host = Arc::clone(&self.host);
            self.host_calls.spawn(host_calls::poll(host, running));
        }
    }

    fn send_signal(&mut self, command: Command) {
        let job = self.shards.iter_mut().find_map(|s| s.job(command.job));
        let Some(job) = job else {
            return;
        };
        let attempt = match command.signal {
            TaskSignal::Checkpoint => job.checkpoint(command.index),
            TaskSignal::Throttle | TaskSignal::Restore => {
                let found = job.running().find(|entry| entry.0 == command.index);
                found.map(|entry| entry.1.clone())
            }
        };
        if let Some(attempt) = attempt {
            let host = Arc::clone(&self.host);
            self.host_calls
                .spawn(host_calls::signal(host, attempt, command.signal));
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.clock.now();
        let config = self.config;
        match event {
            Event::Placed(request, reservation) => {
                self.pending_placements -= 1;
                let unused = match self.job(request.job) {
                    Some(job) => job.apply_placement(&request, reservation, now, &config),
                    None => reservation,
                };
                self.release_holds(unused);
            }
            Event::Launched(id, outcomes) => {
                for (index, task, outcome) in outcomes {
                    self.update_job(id, |job| {
                        job.apply_launch(index, task, &outcome, now, &config);
                    });
                }
            }
            Event::Polled(found) => {
                for (id, index, task, state) in found {
                    self.update_job(id, |job| job.apply_state(index, task, state, now, &config));
                }
            }
            Event::Done => {}
        }
    }

    /// Updates a job and releases the holds that it no longer needs.
    fn update_job(&mut self, id: JobId, update: impl FnOnce(&mut Job)) {
        let now = self.clock.now();
        let Some(job) = self.job(id) else {
            return;
        };
        update(job);
        let unused = job.drop_planned(now);
        self.release_holds(unused);
    }

    fn job(&mut self, id: JobId) -> Option<&mut Job> {
        self.shards.iter_mut().find_map(|shard| shard.job(id))
    }

    fn release_holds(&mut self, reservations: impl IntoIterator<Item = Reservation>) {
        for reservation in reservations {
            let host = Arc::clone(&self.host);
            self.host_calls
                .spawn(host_calls::release(host, reservation.holds));
        }
    }
}

/// Waits until `stop` becomes true or its sender is dropped.
async fn stopped(stop: &mut watch::Receiver<bool>) {
    // An error means that the sender was dropped, which also stops the engine.
    drop(stop.wait_for(|stop| *stop).await);
}
