//! The registry of VMs, and one watcher for each VM.

use std::collections::hash_map::Entry;
use std::rc::Rc;

use dotterel_cell::VmKey;
use dotterel_kernel::Millis;
use tokio::sync::mpsc;

use super::Scheduler;
use crate::link::CellNo;
use crate::platform::{Platform, StoreError, VmChanges, VmError};

/// How often the registry is read: well within the time in which a leaving VM may be given work.
const REGISTRY_EVERY: Millis = Millis(400);
/// How long a VM may wait for an end before it answers.
const HOLD_WAIT: Millis = Millis(1000);
/// Pause before a silent VM is asked again; it doubles up to the longest.
const RETRY_MIN: Millis = Millis(100);
const RETRY_MAX: Millis = Millis(800);
/// A VM that answers at once without news isn't asked again before this time.
const QUICK: Millis = Millis(60);

impl<P: Platform> Scheduler<P> {
    /// Reads the registry once, for as long as it takes.
    pub(super) async fn load_vms(&self) {
        while let Err(fault) = self.read_registry(None).await {
            log::warn!(cell = self.no.0, fault:? = fault; "registry not read yet");
            tokio::time::sleep(REGISTRY_EVERY.duration()).await;
        }
    }

    pub(super) async fn follow_registry(self: Rc<Self>) {
        let mut after = None;
        let mut away = false;
        loop {
            match self.read_registry(after).await {
                Ok(version) => {
                    after = Some(version);
                    if away {
                        log::info!(cell = self.no.0; "registry read again");
                    }
                    away = false;
                }
                Err(StoreError::HistoryLost) => {
                    log::info!(cell = self.no.0; "registry's history lost, read whole");
                    after = None;
                    continue;
                }
                Err(fault) => {
                    if !away {
                        log::warn!(cell = self.no.0, fault:? = fault; "registry not read");
                    }
                    away = true;
                }
            }
            self.match_watchers();
            self.plan.notify_one();
            tokio::time::sleep(REGISTRY_EVERY.duration()).await;
        }
    }

    async fn read_registry(&self, after: Option<u64>) -> Result<u64, StoreError> {
        let VmChanges {
            listed,
            removed,
            is_full,
            version,
        } = self.platform.vm_changes(after).await?;
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        if is_full {
            let known: Vec<_> = cell.vms().map(|(_, vm)| vm.info.id.clone()).collect();
            for id in known {
                if !listed.iter().any(|info| info.id == id) {
                    cell.vm_unlisted(&id, now);
                }
            }
        }
        for info in listed {
            if self.is_mine(&info.id) {
                cell.vm_listed(info);
            }
        }
        for id in removed {
            log::info!(vm = id.as_str(); "VM gone from the registry");
            cell.vm_unlisted(&id, now);
        }
        Ok(version)
    }

    /// Returns a number that tells sets of listed VMs apart.
    pub(super) fn roll(&self) -> u64 {
        let cell = self.cell.borrow();
        let listed = cell.vms().filter(|(_, vm)| vm.listed);
        roll_of(listed.map(|(_, vm)| vm.info.id.as_str()))
    }

    /// Returns true when a VM belongs to this cell.
    fn is_mine(&self, _id: &str) -> bool {
        self.no == CellNo(0)
    }

    /// Starts watchers of new VMs and forgets those of VMs that are gone.
    pub(super) fn match_watchers(self: &Rc<Self>) {
        let cell = self.cell.borrow();
        let mut lines = self.lines.borrow_mut();
        lines.retain(|key, _| cell.vm(*key).is_some());
        for (key, _) in cell.vms() {
            if let Entry::Vacant(place) = lines.entry(key) {
                let (line, orders) = mpsc::unbounded_channel();
                place.insert(line);
                tokio::task::spawn_local(Rc::clone(self).carry_orders(key, orders));
                tokio::task::spawn_local(Rc::clone(self).watch_vm(key));
            }
        }
    }

    /// Asks a VM what it does, over and over, for as long as it is known.
    async fn watch_vm(self: Rc<Self>, key: VmKey) {
        let mut over = self.over.subscribe();
        tokio::select! {
            () = self.watch_vm_on(key) => {}
            _ = over.wait_for(|over| *over) => {}
        }
    }

    async fn watch_vm_on(self: &Rc<Self>, key: VmKey) {
        let mut pause = RETRY_MIN;
        let mut away = false;
        while let Some(target) = self.target(key) {
            let sent = self.clock.now();
            let (lease, acked, known) = {
                let mut cell = self.cell.borrow_mut();
                let acked = cell.vm(key).map_or(0, |vm| vm.durable);
                let lease = cell.name_lease(key, sent);
                (lease, acked, lease.is_some())
            };
            let wait = if known { HOLD_WAIT } else { Millis::ZERO };
            let answer = self.platform.hold(&target, lease, acked, wait).await;
            let now = self.clock.now();
            match answer {
                Ok(report) => {
                    if away {
                        log::info!(vm = target.id.as_str(); "VM answers again");
                    }
                    away = false;
                    pause = RETRY_MIN;
                    let (fresh, gone) = {
                        let mut cell = self.cell.borrow_mut();
                        let taken = cell.vm(key).map_or(0, |vm| vm.taken);
                        for end in report.ended.iter().filter(|end| end.number > taken) {
                            log::info!(
                                task:% = end.task, run = end.run, how:? = end.how,
                                vm = target.id.as_str(), end = end.number; "run ended");
                        }
                        cell.report(key, &report, sent, now);
                        let after = cell.vm(key).map(|vm| vm.taken);
                        (after.is_some_and(|after| after > taken), after.is_none())
                    };
                    if gone {
                        // Another life has answered, and needs a watcher of its own.
                        self.match_watchers();
                    }
                    self.plan.notify_one();
                    self.write.notify_one();
                    if !fresh && now.since(sent) < QUICK {
                        tokio::time::sleep(QUICK.duration()).await;
                    }
                }
                Err(VmError::Fenced) => {
                    self.end("a VM has seen a higher token");
                    return;
                }
                Err(fault) => {
                    if !away {
                        log::warn!(vm = target.id.as_str(), fault:? = fault; "VM doesn't answer");
                    }
                    away = true;
                    tokio::time::sleep(pause.duration()).await;
                    pause = Millis(pause.0 * 2).min(RETRY_MAX);
                }
            }
        }
    }
}

/// Returns a number that tells sets of ids apart, whatever their order.
pub(crate) fn roll_of<'a>(ids: impl Iterator<Item = &'a str>) -> u64 {
    ids.fold(0, |roll, id| {
        roll ^ xxhash_rust::xxh3::xxh3_64(id.as_bytes())
    })
}
