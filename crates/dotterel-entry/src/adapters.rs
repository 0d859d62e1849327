//! The adapters of listed VMs, one for each VM and address.

use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;
use dotterel_kernel::VmId;
use dotterel_platform::{ListedVm, Upstream};

/// Makes the adapter of a listed VM.
pub type Connect = Arc<dyn Fn(&ListedVm) -> Arc<dyn Upstream> + Send + Sync>;

/// The adapters in use.
pub struct Adapters {
    connect: Connect,
    /// Sorted by VM.
    known: Mutex<Vec<Adapter>>,
}

struct Adapter {
    vm: VmId,
    addr: CompactString,
    upstream: Arc<dyn Upstream>,
}

impl Adapters {
    /// Returns no adapters yet.
    #[must_use]
    pub const fn new(connect: Connect) -> Self {
        Self {
            connect,
            known: Mutex::new(Vec::new()),
        }
    }

    /// Returns the adapter of a listed VM; one that has moved gets a new one.
    #[must_use]
    pub fn of(&self, listed: &ListedVm) -> Arc<dyn Upstream> {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let found = known.binary_search_by(|adapter| adapter.vm.0.cmp(&listed.id));
        if let Ok(index) = found
            && known[index].addr == listed.addr
        {
            return known[index].upstream.clone();
        }
        let upstream = (self.connect)(listed);
        let adapter = Adapter {
            vm: VmId(listed.id.clone()),
            addr: listed.addr.clone(),
            upstream: upstream.clone(),
        };
        match found {
            Ok(index) => known[index] = adapter,
            Err(index) => known.insert(index, adapter),
        }
        upstream
    }

    /// Forgets the adapters of VMs that are no longer listed.
    pub fn retain(&self, listed: &[ListedVm]) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|adapter| listed.iter().any(|vm| vm.id == adapter.vm.0));
    }
}
