//! The platform's lagging list of VMs.

mod changes;

use async_trait::async_trait;
use compact_str::CompactString;
use dotterel_kernel::{DataCentre, Millis, Region};
use serde::{Deserialize, Serialize};

use crate::error::CallError;
pub use changes::{Changes, DataCentreHash, DataCentreVms};

/// What a VM is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// It runs an entry node.
    Entry,
    /// It runs tasks.
    Worker,
}

/// Whether a VM stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmState {
    /// It serves.
    Live,
    /// It is about to go and takes no new work.
    Leaving,
}

/// A VM as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Its name; an entry VM's name is its node's name.
    pub id: CompactString,
    /// Its role.
    pub role: Role,
    /// Its state.
    pub state: VmState,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Its region.
    pub region: Region,
    /// The IP address and port it serves at.
    pub addr: CompactString,
}

/// The list at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// When the platform made the list.
    pub as_of: Millis,
    /// The VMs, sorted by name.
    pub vms: Vec<ListedVm>,
}

/// The platform's list of live and leaving VMs, which lags behind the truth.
#[async_trait]
pub trait VmList: Send + Sync {
    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Reading has no effect, so every error may be retried.
    async fn list(&self) -> Result<Listing, CallError>;

    /// Reads the data centres of which the reader does not hold the present VMs.
    ///
    /// On a platform without conditional reads this costs as much as the whole list.
    ///
    /// # Errors
    ///
    /// As for [`VmList::list`].
    async fn changes(&self, held: &[DataCentreHash]) -> Result<Changes, CallError> {
        Ok(self.list().await?.changes(held))
    }
}
