//! The adapters of listed VMs, one per VM.

use std::sync::{Arc, Mutex, PoisonError};

use compact_str::CompactString;
use dotterel_kernel::VmId;
use dotterel_platform::{ListedVm, Upstream};

/// Creates the adapter of a listed VM.
pub type Connect = Arc<dyn Fn(&ListedVm) -> Arc<dyn Upstream> + Send + Sync>;

/// The adapters in use.
pub struct Adapters {
    connect: Connect,
    /// Sorted by VM identifier.
    adapters: Mutex<Vec<Adapter>>,
}

struct Adapter {
    vm: VmId,
    addr: CompactString,
    upstream: Arc<dyn Upstream>,
}

impl Adapters {
    /// Returns an empty set of adapters.
    #[must_use]
    pub const fn new(connect: Connect) -> Self {
        Self {
            connect,
            adapters: Mutex::new(Vec::new()),
        }
    }

    /// Returns the adapter of a listed VM; creates a new one if the VM's address has changed.
    #[must_use]
    pub fn for_vm(&self, listed: &ListedVm) -> Arc<dyn Upstream> {
        let mut adapters = self.adapters.lock().unwrap_or_else(PoisonError::into_inner);
        let found = adapters.binary_search_by(|adapter| adapter.vm.0.cmp(&listed.id));
        if let Ok(index) = found
            && adapters[index].addr == listed.addr
        {
            return adapters[index].upstream.clone();
        }
        let upstream = (self.connect)(listed);
        let adapter = Adapter {
            vm: VmId(listed.id.clone()),
            addr: listed.addr.clone(),
            upstream: upstream.clone(),
        };
        match found {
            Ok(index) => adapters[index] = adapter,
            Err(index) => adapters.insert(index, adapter),
        }
        upstream
    }

    /// Removes the adapters of VMs that are not listed.
    pub fn retain(&self, listed: &[ListedVm]) {
        let mut adapters = self.adapters.lock().unwrap_or_else(PoisonError::into_inner);
        adapters.retain(|adapter| listed.iter().any(|vm| vm.id == adapter.vm.0));
    }
}
