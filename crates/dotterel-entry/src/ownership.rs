//! Which VMs this node tries to own, by the platform's list and the live nodes.
//!
//! The choice is a wish only: the VM grants its lease to one owner, whatever the nodes believe.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use dotterel_coord::{LeaseIntent, LeaseKeeper, Leaving, follow};
use dotterel_kernel::{Millis, VmId};
use dotterel_platform::{CallError, ListedVm, Listing, Owner, Role, VmList};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::app::App;
use crate::messages::{Call, Reply};

const LIST_PERIOD: Millis = Millis(1_000);
const LIST_TIMEOUT: Millis = Millis(1_000);
const WISH_PERIOD: Millis = Millis(200);

/// How long a VM may be missing from the list before it is given up.
const MISSING_LIMIT: Millis = Millis::secs(30);

/// The list, the VMs that leave, and those asked for that are missing, with since when.
type Known = (Arc<Listing>, Leaving, Vec<(VmId, Millis)>);

/// The platform's list as it was read last.
#[derive(Default)]
pub struct Listed {
    state: Mutex<Known>,
}

impl Listed {
    /// Returns the list.
    #[must_use]
    pub fn listing(&self) -> Arc<Listing> {
        self.state().0.clone()
    }

    /// Returns the VM as it was listed last.
    #[must_use]
    pub fn find(&self, vm: &VmId) -> Option<ListedVm> {
        let state = self.state();
        state.0.vms.iter().find(|listed| listed.id == vm.0).cloned()
    }

    /// Returns since when a VM has been missing from the list, once it has been for long.
    #[must_use]
    pub fn gone(&self, vm: &VmId) -> Option<Millis> {
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
        (as_of.since(since) > MISSING_LIMIT).then_some(since)
    }

    /// Returns true when the VM takes no new work, by the list's word.
    #[must_use]
    pub fn leaving(&self, vm: &VmId) -> bool {
        self.state().1.contains(vm)
    }

    fn hear(&self, listing: Listing) {
        let mut state = self.state();
        if listing.as_of < state.0.as_of {
            return;
        }
        state.1.hear_list(&listing);
        state.0 = Arc::new(listing);
    }

    fn state(&self) -> MutexGuard<'_, Known> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the platform's list again and again until the future is dropped.
pub async fn follow_list(app: Arc<App>, list: Arc<dyn VmList>) {
    let tell = |read| hear_list(&app, read);
    follow(&*list, LIST_PERIOD, LIST_TIMEOUT, tell).await;
}

fn hear_list(app: &Arc<App>, read: Result<Listing, CallError>) {
    app.platform.set(read.is_ok());
    match read {
        Ok(listing) => {
            app.peers.update_listing(&listing);
            app.adapters.retain(&listing.vms);
            app.listed.hear(listing);
        }
        Err(fault) => {
            log::warn!(fault:% = fault; "list of VMs not read");
            tokio::spawn(ask_peers(app.clone()));
        }
    }
}

/// Takes the list of a peer, for a node that started while the platform was down.
async fn ask_peers(app: Arc<App>) {
    if !app.listed.listing().vms.is_empty() {
        return;
    }
    for node in app.peers.live(app.clock.now()) {
        let reply = app.mesh.call(&node, &Call::Workers, LIST_TIMEOUT).await;
        if let Ok(Reply::Workers(vms)) = reply
            && !vms.is_empty()
        {
            app.listed.hear(Listing {
                as_of: Millis::ZERO,
                vms,
            });
            return;
        }
    }
}

/// One VM with the task that keeps its lease.
struct Kept {
    vm: VmId,
    addr: compact_str::CompactString,
    seen: Millis,
    wish: watch::Sender<LeaseIntent>,
    task: JoinHandle<()>,
}

/// The keepers of all VMs of this node's data centre.
pub struct Keepers {
    app: Arc<App>,
    kept: Vec<Kept>,
}

impl Keepers {
    /// Returns no keepers yet.
    #[must_use]
    pub const fn new(app: Arc<App>) -> Self {
        Self {
            app,
            kept: Vec::new(),
        }
    }

    /// Follows the list and the live nodes until the node stops, then hands all leases over.
    pub async fn run(mut self) {
        while !self.app.stopping.get() {
            self.follow();
            tokio::time::sleep(WISH_PERIOD.duration()).await;
        }
        self.hand_over().await;
    }

    fn follow(&mut self) {
        let now = self.app.clock.now();
        let listing = self.app.listed.listing();
        let dc = self.app.settings.data_centre.clone();
        let workers = listing.vms.iter().filter(|vm| vm.role == Role::Worker);
        for listed in workers.filter(|vm| vm.data_centre == dc) {
            self.keep(listed, now);
        }
        self.drop_missing(now);
        for kept in &self.kept {
            if self.app.listed.leaving(&kept.vm) {
                self.app.workers.leaving(&kept.vm);
            }
            let wish = self.wish(&kept.vm, now);
            kept.wish.send_if_modified(|current| {
                let changed = *current != wish;
                *current = wish;
                changed
            });
        }
    }

    fn wish(&self, vm: &VmId, now: Millis) -> LeaseIntent {
        let dc = &self.app.settings.data_centre;
        match self.app.peers.desired_owner(vm, dc, now) {
            Some(node) if node == *self.app.node() => LeaseIntent::Hold,
            Some(node) => LeaseIntent::HandOver(node),
            None => LeaseIntent::Drain,
        }
    }

    fn keep(&mut self, listed: &ListedVm, now: Millis) {
        let vm = VmId(listed.id.clone());
        match self.kept.iter_mut().find(|kept| kept.vm == vm) {
            Some(kept) if kept.addr == listed.addr => kept.seen = now,
            Some(_) => self.drop_vm(&vm),
            None => self.add(listed, vm, now),
        }
    }

    fn add(&mut self, listed: &ListedVm, vm: VmId, now: Millis) {
        let upstream = self.app.adapters.of(listed);
        self.app.workers.add(vm.clone(), upstream.clone());
        let owner = Owner {
            node: self.app.node().clone(),
            incarnation: self.app.incarnation,
        };
        let holder = Arc::new(self.app.workers.clone());
        let keeper = LeaseKeeper::new(vm.clone(), owner, upstream, holder, self.app.clock);
        let keeper = keeper.terms(self.app.settings.lease_terms);
        let (wish, wishes) = watch::channel(LeaseIntent::Drain);
        self.kept.push(Kept {
            vm,
            addr: listed.addr.clone(),
            seen: now,
            wish,
            task: tokio::spawn(keeper.run(wishes)),
        });
    }

    fn drop_missing(&mut self, now: Millis) {
        let missing = |kept: &&Kept| now.since(kept.seen) > MISSING_LIMIT;
        let gone: Vec<VmId> = self
            .kept
            .iter()
            .filter(missing)
            .map(|k| k.vm.clone())
            .collect();
        for vm in gone {
            self.drop_vm(&vm);
        }
    }

    /// Ends the keeper of a VM, which gives the lease back in the background.
    fn drop_vm(&mut self, vm: &VmId) {
        self.kept.retain(|kept| kept.vm != *vm);
        self.app.workers.remove(vm);
    }

    /// Gives every lease to its heir and waits for the keepers.
    async fn hand_over(self) {
        let now = self.app.clock.now();
        let dc = &self.app.settings.data_centre;
        let mut tasks = Vec::new();
        for kept in self.kept {
            let heir = self.app.peers.successor(&kept.vm, dc, now);
            kept.wish
                .send_replace(heir.map_or(LeaseIntent::Drain, LeaseIntent::HandOver));
            tasks.push(kept.task);
        }
        for task in tasks {
            // A keeper whose wishes have ended gives its lease back and returns.
            let _ = task.await;
        }
    }
}
