//! The platform's eventually consistent VM list.

mod changes;

use async_trait::async_trait;
use compact_str::CompactString;
use dotterel_kernel::{DataCentre, Millis, Region};
use serde::{Deserialize, Serialize};

use crate::error::CallError;
pub use changes::{Changes, DataCentreHash, DataCentreVms};

/// The role of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs an entry node.
    Entry,
    /// Runs tasks.
    Worker,
}

/// The lifecycle state of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// Serves and accepts new work.
    Live,
    /// Will be removed soon and accepts no new work.
    Leaving,
}

/// An entry of the platform's VM list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name of the VM; the VM of an entry node has the node's name.
    pub id: CompactString,
    /// The role.
    pub role: Role,
    /// The lifecycle state.
    pub state: VmState,
    /// The data centre.
    pub data_centre: DataCentre,
    /// The region.
    pub region: Region,
    /// The IP address and port that it listens on.
    pub addr: CompactString,
}

/// A snapshot of the VM list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// When the platform took the snapshot.
    pub as_of: Millis,
    /// The VMs, sorted by name.
    pub vms: Vec<ListedVm>,
}

/// The platform's list of live and leaving VMs, which lags behind the actual state.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Reading has no side effects, so every error may be retried.
    async fn list(&self) -> Result<Listing, CallError>;

    /// Reads the VMs of those data centres whose hash differs from the one in `known`.
    ///
    /// The default implementation reads the whole list and compares the hashes locally, for
    /// platforms without conditional reads.
    ///
    /// # Errors
    ///
    /// As for [`VmList::list`].
    async fn changes(&self, known: &[DataCentreHash]) -> Result<Changes, CallError> {
        Ok(self.list().await?.changes(known))
    }
}
