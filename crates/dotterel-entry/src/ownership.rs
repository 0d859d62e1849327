//! Chooses which VMs this node tries to own, from the platform's list and the live nodes.
//!
//! The choice only sets the intent of each lease's keeper. A VM grants its lease to one owner at a
//! time, even if nodes disagree on the choice.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dotterel_coord::{LeaseIntent, LeaseKeeper, LeavingVms, poll_vm_list};
use dotterel_kernel::{Millis, VmId};
use dotterel_platform::{CallError, ListedVm, Listing, Owner, Role, VmList};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::app::App;
use crate::messages::{Call, Reply};

const LIST_INTERVAL: Millis = Millis(1_000);
const LIST_TIMEOUT: Millis = Millis(1_000);
const INTENT_INTERVAL: Millis = Millis(200);

/// How long a VM may be missing from the list before it counts as gone.
const MISSING_TIMEOUT: Millis = Millis::secs(30);

/// The list, the leaving VMs, and the missing VMs that were queried, with the time of the first
/// query.
type CacheState = (Arc<Listing>, LeavingVms, Vec<(VmId, Millis)>);

/// The platform's VM list as last read.
#[derive(Default)]
pub struct VmListCache {
    state: Mutex<CacheState>,
}

impl VmListCache {
    /// Returns the list.
    #[must_use]
    pub fn listing(&self) -> Arc<Listing> {
        self.state().0.clone()
    }

    /// Returns a VM's entry in the list.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<ListedVm> {
        let state = self.state();
        state.0.vms.iter().find(|listed| listed.id == vm.0).cloned()
    }

    /// Returns since when a VM has been missing from the list, or `None` if it counts as present.
    ///
    /// A VM counts as present until it has been missing for `MISSING_TIMEOUT`, measured in the time
    /// of the list from the first call after it disappeared.
    #[must_use]
    pub fn missing_since(&self, vm: &VmId) -> Option<Millis> {
        let mut state = self.state();
        let as_of = state.0.as_of;
        if state.0.vms.iter().any(|listed| listed.id == vm.0) {
            state.2.retain(|missing| missing.0 != *vm);
            return None;
        }
        let since = match state.2.iter().find(|missing| missing.0 == *vm) {
            Some(missing) => missing.1,
            None => {
                state.2.push((vm.clone(), as_of));
                as_of
            }
        };
        (as_of.since(since) > MISSING_TIMEOUT).then_some(since)
    }

    /// Returns true if the list marks the VM as leaving.
    #[must_use]
    pub fn is_leaving(&self, vm: &VmId) -> bool {
        self.state().1.contains(vm)
    }

    fn update(&self, listing: Listing) {
        let mut state = self.state();
        if listing.as_of < state.0.as_of {
            return;
        }
        state.1.update_list(&listing);
        state.0 = Arc::new(listing);
    }

    fn state(&self) -> MutexGuard<'_, CacheState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the platform's list periodically until the future is dropped.
pub async fn follow_list(app: Arc<App>, list: Arc<dyn VmList>) {
    let handler = |read| handle_listing(&app, read);
    poll_vm_list(&*list, LIST_INTERVAL, LIST_TIMEOUT, handler).await;
}

fn handle_listing(app: &Arc<App>, read: Result<Listing, CallError>) {
    app.platform_reachable.set(read.is_ok());
    match read {
        Ok(listing) => {
            app.peers.update_listing(&listing);
            app.adapters.retain(&listing.vms);
            app.vm_list.update(listing);
        }
        Err(err) => {
            log::warn!(fault:% = err; "failed to read VM list");
            tokio::spawn(fetch_from_peers(app.clone()));
        }
    }
}

/// Fetches the list from a peer, if this node started while the platform was unreachable.
async fn fetch_from_peers(app: Arc<App>) {
    if !app.vm_list.listing().vms.is_empty() {
        return;
    }
    for node in app.peers.live(app.clock.now()) {
        let reply = app.mesh.call(&node, &Call::Workers, LIST_TIMEOUT).await;
        if let Ok(Reply::Workers(vms)) = reply
            && !vms.is_empty()
        {
            app.vm_list.update(Listing {
                as_of: Millis::ZERO,
                vms,
            });
            return;
        }
    }
}

/// A VM and the task of its lease keeper.
struct VmKeeper {
    vm: VmId,
    addr: compact_str::CompactString,
    seen: Millis,
    intent: watch::Sender<LeaseIntent>,
    task: JoinHandle<()>,
}

/// The lease keepers of all VMs of this node's data centre.
pub struct LeaseKeepers {
    app: Arc<App>,
    keepers: Vec<VmKeeper>,
}

impl LeaseKeepers {
    /// Returns an empty set of keepers.
    #[must_use]
    pub const fn new(app: Arc<App>) -> Self {
        Self {
            app,
            keepers: Vec::new(),
        }
    }

    /// Reconciles the keepers with the list and the live nodes until the node stops.
    ///
    /// All leases are handed over before this returns.
    pub async fn run(mut self) {
        while !self.app.stopping.get() {
            self.reconcile();
            tokio::time::sleep(INTENT_INTERVAL.duration()).await;
        }
        self.hand_over().await;
    }

    fn reconcile(&mut self) {
        let now = self.app.clock.now();
        let listing = self.app.vm_list.listing();
        let dc = self.app.settings.data_centre.clone();
        let workers = listing.vms.iter().filter(|vm| vm.role == Role::Worker);
        for listed in workers.filter(|vm| vm.data_centre == dc) {
            self.ensure_keeper(listed, now);
        }
        self.drop_missing(now);
        for keeper in &self.keepers {
            if self.app.vm_list.is_leaving(&keeper.vm) {
                self.app.workers.mark_leaving(&keeper.vm);
            }
            let intent = self.intent(&keeper.vm, now);
            keeper.intent.send_if_modified(|current| {
                let changed = *current != intent;
                *current = intent;
                changed
            });
        }
    }

    fn intent(&self, vm: &VmId, now: Millis) -> LeaseIntent {
        let dc = &self.app.settings.data_centre;
        match self.app.peers.desired_owner(vm, dc, now) {
            Some(node) if node == *self.app.node() => LeaseIntent::Hold,
            Some(node) => LeaseIntent::HandOver(node),
            None => LeaseIntent::Drain,
        }
    }

    fn ensure_keeper(&mut self, listed: &ListedVm, now: Millis) {
        let vm = VmId(listed.id.clone());
        match self.keepers.iter_mut().find(|keeper| keeper.vm == vm) {
            Some(keeper) if keeper.addr == listed.addr => keeper.seen = now,
            Some(_) => self.drop_vm(&vm),
            None => self.add(listed, vm, now),
        }
    }

    fn add(&mut self, listed: &ListedVm, vm: VmId, now: Millis) {
        let upstream = self.app.adapters.for_vm(listed);
        self.app.workers.add(vm.clone(), upstream.clone());
        let owner = Owner {
            node: self.app.node().clone(),
            incarnation: self.app.incarnation,
        };
        let handler = Arc::new(self.app.workers.clone());
        let keeper = LeaseKeeper::new(vm.clone(), owner, upstream, handler, self.app.clock);
        let keeper = keeper.terms(self.app.settings.lease_terms);
        let (intent, intents) = watch::channel(LeaseIntent::Drain);
        self.keepers.push(VmKeeper {
            vm,
            addr: listed.addr.clone(),
            seen: now,
            intent,
            task: tokio::spawn(keeper.run(intents)),
        });
    }

    fn drop_missing(&mut self, now: Millis) {
        let is_missing = |keeper: &&VmKeeper| now.since(keeper.seen) > MISSING_TIMEOUT;
        let missing: Vec<VmId> = self
            .keepers
            .iter()
            .filter(is_missing)
            .map(|keeper| keeper.vm.clone())
            .collect();
        for vm in missing {
            self.drop_vm(&vm);
        }
    }

    /// Drops the keeper of a VM, whose task releases the lease in the background.
    fn drop_vm(&mut self, vm: &VmId) {
        self.keepers.retain(|keeper| keeper.vm != *vm);
        self.app.workers.remove(vm);
    }

    /// Hands each lease over to its successor and waits for the keepers.
    async fn hand_over(self) {
        let now = self.app.clock.now();
        let dc = &self.app.settings.data_centre;
        let mut tasks = Vec::new();
        for keeper in self.keepers {
            let successor = self.app.peers.successor(&keeper.vm, dc, now);
            keeper
                .intent
                .send_replace(successor.map_or(LeaseIntent::Drain, LeaseIntent::HandOver));
            tasks.push(keeper.task);
        }
        for task in tasks {
            // The intent's sender was dropped, so the keeper releases its lease and returns.
            let _ = task.await;
        }
    }
}
