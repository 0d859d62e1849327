//! Polls the registry of VMs, and each VM in it.

use std::collections::hash_map::Entry;
use std::rc::Rc;
use std::time::Instant;

use compact_str::CompactString;
use dotterel_cell::{Cell, Report, VmKey};
use dotterel_kernel::Millis;
use tokio::sync::mpsc;

use super::Scheduler;
use super::orders::CALL_BYTES;
use super::passes::Pass;
use crate::link::CellNo;
use crate::platform::{Platform, StoreError, VmChanges, VmError, VmTarget};

/// Interval between reads of the registry: well within the time for which a VM that is about to
/// leave still accepts work.
const REGISTRY_POLL_INTERVAL: Millis = Millis(400);
/// Pause after a full response, which leaves time for other work: 500 changes in 0.1 s are the heartbeats
/// of 7,500 VMs.
const CATCH_UP_PAUSE: Millis = Millis(100);
/// How long a VM may delay its reply to a poll until a run ends.
const HOLD_WAIT: Millis = Millis(1000);
/// The same while the VM has more ends than a reply lists: the rest follows once these are acknowledged.
const BACKLOG_WAIT: Millis = Millis(200);
/// Reports with fewer runs and ends are applied too fast to be worth measuring.
const TIMED_REPORT_LEN: usize = 100;
/// Backoff between polls of a VM that doesn't reply: doubles from the minimum up to the maximum.
const MIN_BACKOFF: Millis = Millis(100);
const MAX_BACKOFF: Millis = Millis(800);
/// Minimum interval between polls of a VM whose reply reports no new ends.
const MIN_POLL_INTERVAL: Millis = Millis(60);
/// How often it is checked whether a VM that has restarted can be called: the leader commits a transaction several
/// times a second.
const FENCE_CHECK_INTERVAL: Millis = Millis(60);
/// What a run or an end takes in the reply to a poll, without its saved state.
const LISTED_RUN_BYTES: u64 = 60;

/// How far a read of the registry has got.
struct RegistryRead {
    version: u64,
    /// There may be further changes.
    has_more: bool,
}

impl<P: Platform> Scheduler<P> {
    /// Reads the whole registry, retrying without limit.
    pub(super) async fn load_vms(&self) {
        loop {
            match self.read_registry(None).await {
                Ok(read) => {
                    self.registry_version.set(Some(read.version));
                    return;
                }
                Err(err) => log::warn!(
                    cell = self.cell_no.0, fault:? = err; "failed to read the registry, retrying"),
            }
            tokio::time::sleep(REGISTRY_POLL_INTERVAL.duration()).await;
        }
    }

    pub(super) async fn poll_registry(self: Rc<Self>) {
        let mut after = self.registry_version.get();
        let mut unavailable = false;
        self.sync_watchers();
        loop {
            let mut has_more = false;
            match self.read_registry(after).await {
                Ok(read) => {
                    after = Some(read.version);
                    has_more = read.has_more;
                    if unavailable {
                        log::info!(cell = self.cell_no.0; "registry readable again");
                    }
                    unavailable = false;
                }
                Err(StoreError::HistoryLost) => {
                    log::info!(
                        cell = self.cell_no.0;
                        "registry's change history lost, reading all of it");
                    after = None;
                    continue;
                }
                Err(err) => {
                    if !unavailable {
                        log::warn!(
                            cell = self.cell_no.0, fault:? = err; "failed to read the registry");
                    }
                    unavailable = true;
                }
            }
            self.sync_watchers();
            self.plan_wakeup.notify_one();
            // Each heartbeat is a change: with thousands of VMs there are more between two polls than
            // fit into a response.
            let pause = if has_more {
                CATCH_UP_PAUSE
            } else {
                REGISTRY_POLL_INTERVAL
            };
            tokio::time::sleep(pause.duration()).await;
        }
    }

    async fn read_registry(&self, after: Option<u64>) -> Result<RegistryRead, StoreError> {
        let VmChanges {
            listed,
            removed,
            is_full,
            has_more,
            version,
        } = self.platform.vm_changes(after).await?;
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        if is_full {
            let mut ids: Vec<_> = listed.iter().map(|info| info.id.clone()).collect();
            ids.sort_unstable();
            let known: Vec<_> = cell.vms().map(|(_, vm)| vm.info.id.clone()).collect();
            for id in known {
                if ids.binary_search(&id).is_err() {
                    cell.vm_unlisted(&id, now);
                }
            }
        }
        for info in listed {
            if self.owns_vm(&info.id) {
                if cell.vm_by_id(&info.id).is_none() && !is_full {
                    log::info!(
                        vm = info.id.as_str(), address = info.address.as_str(),
                        incarnation = info.incarnation;
                        "VM joined the registry");
                }
                let incarnation = info.incarnation;
                let address = info.address.clone();
                let key = cell.vm_by_id(&info.id);
                let was_unconfirmed = key.is_some_and(|key| has_unconfirmed_entry(&cell, key));
                let key = cell.vm_listed(info, now);
                if has_unconfirmed_entry(&cell, key) && !was_unconfirmed {
                    self.vm_wakeup.notify_waiters();
                    log::info!(
                        vm = cell.vm(key).map_or("", |vm| &vm.info.id),
                        address = address.as_str(), incarnation;
                        "registry entry names another process than the VM's, waiting for its reply");
                }
            }
        }
        for id in removed {
            // An entry that is malformed is removed again with each of its changes.
            let key = cell.vm_by_id(&id);
            if key.and_then(|key| cell.vm(key)).is_some_and(|vm| vm.listed) {
                log::info!(vm = id.as_str(); "VM removed from the registry");
            }
            cell.vm_unlisted(&id, now);
        }
        Ok(RegistryRead { version, has_more })
    }

    /// Returns true when a VM belongs to this cell.
    fn owns_vm(&self, _id: &str) -> bool {
        self.cell_no == CellNo(0)
    }

    /// Starts the watchers of new VMs and drops the order queues of VMs that are gone.
    pub(super) fn sync_watchers(self: &Rc<Self>) {
        let cell = self.cell.borrow();
        let mut queues = self.order_queues.borrow_mut();
        queues.retain(|key, _| cell.vm(*key).is_some());
        for (key, _) in cell.vms() {
            if let Entry::Vacant(slot) = queues.entry(key) {
                let (sender, orders) = mpsc::unbounded_channel();
                slot.insert(sender);
                tokio::task::spawn_local(Rc::clone(self).deliver_orders(key, orders));
                tokio::task::spawn_local(Rc::clone(self).watch_vm(key));
            }
        }
    }

    /// Returns another address at which a VM may reply, from an entry that it hasn't confirmed.
    fn unconfirmed_address(&self, key: VmKey) -> Option<CompactString> {
        let cell = self.cell.borrow();
        let vm = cell.vm(key)?;
        let entry = vm.unconfirmed.as_ref()?;
        (entry.address != vm.info.address).then(|| entry.address.clone())
    }

    /// Polls a VM until it is removed from the cell or the term ends.
    async fn watch_vm(self: Rc<Self>, key: VmKey) {
        let mut ended = self.ended.subscribe();
        tokio::select! {
            () = self.poll_vm(key) => {}
            _ = ended.wait_for(|ended| *ended) => {}
        }
    }

    /// Polls a VM once.
    ///
    /// A VM that restarts under its id numbers its ends from 1 again, so an acknowledgement meant
    /// for the previous incarnation would discard ends that nobody has seen. Ends are acknowledged
    /// and leases extended only on a connection on which the incarnation has replied; a restart
    /// breaks it.
    async fn poll_once(
        &self,
        key: VmKey,
        target: &VmTarget,
        session: &mut Session<P::VmConnection>,
        now: Millis,
    ) -> Result<Report, VmError> {
        if session.connection.is_none() {
            session.connection = Some(self.platform.connect_vm(target).await?);
        }
        let Some(connection) = session.connection.as_mut() else {
            return Err(VmError::Away);
        };
        let leadership = self.leadership_remaining();
        let (mut lease, mut acked, mut wait) = (None, 0, Millis::ZERO);
        {
            let mut cell = self.cell.borrow_mut();
            let vm = cell.vm(key);
            let known = vm.filter(|vm| session.incarnation == Some(vm.info.incarnation));
            if let Some(durable_end) = known.map(|vm| vm.durable_end) {
                acked = durable_end;
                lease = cell.extend_lease(key, leadership, now);
                if leadership == Millis::ZERO {
                    wait = HOLD_WAIT;
                }
            }
        }
        if lease.is_some() {
            self.note_extended_lease();
            wait = HOLD_WAIT;
        }
        if session.has_more_ends {
            wait = wait.min(BACKLOG_WAIT);
        }
        if let Some(stops_end) = self.cell.borrow().awaited_stops(key, now) {
            wait = wait.min(stops_end);
        }
        wait = wait.min(HOLD_WAIT - session.delay);
        let polled = self.platform.hold(target, connection, lease, acked, wait);
        let report = polled.await?;
        self.log_other_life(target, session.incarnation, &report, lease);
        session.incarnation = Some(report.incarnation);
        session.has_more_ends = report.has_more_ends;
        session.reply_bytes = listed_bytes(&report);
        Ok(report)
    }

    /// Logs that a poll meant for one life of a VM was carried out by another one.
    fn log_other_life(
        &self,
        target: &VmTarget,
        expected: Option<u64>,
        report: &Report,
        lease: Option<Millis>,
    ) {
        if let Some(expected) = expected.filter(|expected| *expected != report.incarnation) {
            log::warn!(
                vm = target.id.as_str(), expected, incarnation = report.incarnation,
                clock_ms = report.clock.0, lease_ms = lease.map_or(0, |lease| lease.0),
                term = self.term;
                "poll carried out by another life of the VM");
        }
    }

    /// Delays the next poll on a connection as far as the pace on a small link asks for. The first one
    /// isn't delayed, since the recovery of the cell or of the VM waits for it.
    async fn delay_poll(&self, session: &mut Session<P::VmConnection>) {
        let Some(pace) = &self.poll_pace else {
            return;
        };
        let delay = pace.poll_delay(CALL_BYTES + session.reply_bytes, self.clock.now());
        session.delay = delay;
        if delay > Millis::ZERO {
            tokio::time::sleep(delay.duration()).await;
        }
    }

    /// Waits for a token to call a VM with; returns `None` once the VM is removed from the cell.
    async fn await_target(&self, key: VmKey) -> Option<VmTarget> {
        loop {
            let target = self.target(key);
            if target.is_some() || self.cell.borrow().vm(key).is_none() {
                return target;
            }
            tokio::time::sleep(FENCE_CHECK_INTERVAL.duration()).await;
        }
    }

    async fn poll_vm(self: &Rc<Self>, key: VmKey) {
        let mut backoff = MIN_BACKOFF;
        let mut unavailable = false;
        let mut tried_move = false;
        let mut session = Session::default();
        while let Some(mut target) = self.await_target(key).await {
            let moved_to = self.unconfirmed_address(key);
            let tries_move = unavailable && !tried_move && moved_to.is_some();
            if let Some(address) = moved_to.filter(|_| tries_move) {
                target.address = address;
            }
            tried_move = tries_move;
            let sent_at = self.clock.now();
            let result = self.poll_once(key, &target, &mut session, sent_at).await;
            let now = self.clock.now();
            match result {
                Ok(report) => {
                    if unavailable {
                        log::info!(vm = target.id.as_str(); "VM responds again");
                    }
                    unavailable = false;
                    backoff = MIN_BACKOFF;
                    let listed = report.running.len() + report.ended.len();
                    let started_at = (listed >= TIMED_REPORT_LEN).then(Instant::now);
                    let (has_new_ends, replaced) = {
                        let mut cell = self.cell.borrow_mut();
                        let last_end = cell.vm(key).map_or(0, |vm| vm.last_end);
                        for end in report.ended.iter().filter(|end| end.number > last_end) {
                            log::info!(
                                task:% = end.task, run = end.run, how:? = end.outcome,
                                vm = target.id.as_str(), end = end.number; "run ended");
                        }
                        cell.vm_replied_at(key, &target.address, now);
                        cell.apply_report(key, &report, sent_at, now);
                        let after = cell.vm(key).map(|vm| vm.last_end);
                        (after.is_some_and(|after| after > last_end), after.is_none())
                    };
                    if let Some(started_at) = started_at {
                        self.note_pass(Pass::Report, started_at);
                    }
                    self.log_lost_vms();
                    if replaced {
                        // Another incarnation of the VM has replied and needs a watcher of its own.
                        self.sync_watchers();
                    }
                    self.plan_wakeup.notify_one();
                    self.write_wakeup.notify_one();
                    if !has_new_ends && now.since(sent_at) < MIN_POLL_INTERVAL {
                        tokio::time::sleep(MIN_POLL_INTERVAL.duration()).await;
                    }
                    self.delay_poll(&mut session).await;
                }
                Err(VmError::Fenced) => {
                    self.note_higher_fence(key, &target);
                    session = Session::default();
                }
                Err(VmError::OtherVm) if tries_move => {
                    log::warn!(
                        vm = target.id.as_str(), address = target.address.as_str();
                        "another VM uses the address in this VM's registry entry");
                    session = Session::default();
                    self.cell.borrow_mut().entry_refuted(key, &target.address);
                    tokio::time::sleep(backoff.duration()).await;
                }
                Err(VmError::OtherVm) => {
                    log::warn!(vm = target.id.as_str(); "another VM uses this VM's address");
                    self.cell.borrow_mut().vm_replaced(key, now);
                    self.log_lost_vms();
                    self.sync_watchers();
                    self.plan_wakeup.notify_one();
                    self.write_wakeup.notify_one();
                    return;
                }
                Err(err) => {
                    let delay = session.delay;
                    session = Session::default();
                    if !unavailable {
                        log::warn!(vm = target.id.as_str(), fault:? = err; "VM not responding");
                        // Otherwise the call has timed out.
                        let broken = now.since(sent_at) < HOLD_WAIT - delay;
                        let alive_until = broken.then_some(now);
                        self.cell
                            .borrow_mut()
                            .vm_unresponsive(key, alive_until, now);
                    }
                    unavailable = true;
                    // Usually ends by the timeout.
                    let wakeup = self.vm_wakeup.notified();
                    let _ = tokio::time::timeout(backoff.duration(), wakeup).await;
                    backoff = Millis(backoff.0 * 2).min(MAX_BACKOFF);
                }
            }
        }
    }
}

/// Returns about how many bytes the lists of a reply take.
fn listed_bytes(report: &Report) -> u64 {
    let running = report.running.iter().map(|run| run.saved.len());
    let ended = report.ended.iter().map(|end| end.saved.len());
    let saved = running.chain(ended);
    saved.map(|bytes| LISTED_RUN_BYTES + bytes as u64).sum()
}

fn has_unconfirmed_entry(cell: &Cell, key: VmKey) -> bool {
    cell.vm(key).is_some_and(|vm| vm.unconfirmed.is_some())
}

/// The connection for polls of one VM.
struct Session<C> {
    connection: Option<C>,
    /// The incarnation that has replied on it.
    incarnation: Option<u64>,
    /// The last reply may not have listed all ends.
    has_more_ends: bool,
    /// About how many bytes the last reply listed.
    reply_bytes: u64,
    /// How much later than usual the poll is sent.
    delay: Millis,
}

impl<C> Default for Session<C> {
    fn default() -> Self {
        Self {
            connection: None,
            incarnation: None,
            has_more_ends: false,
            reply_bytes: 0,
            delay: Millis::ZERO,
        }
    }
}
