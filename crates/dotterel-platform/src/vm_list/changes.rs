//! Incremental reads of the VM list, by data centre.

use dotterel_kernel::{DataCentre, Millis};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{ListedVm, Listing};
use crate::api;

/// A hash of one data centre's VMs, used like an `ETag` in conditional reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreHash {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The hash of its VMs, sorted by name.
    pub hash: u64,
}

/// All VMs of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreVms {
    /// The data centre.
    pub data_centre: DataCentre,
    /// The VMs, sorted by name; empty if the list no longer has any for this data centre.
    pub vms: Vec<ListedVm>,
}

/// The data centres whose VMs differ from what the reader has.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// When the platform took the snapshot.
    pub as_of: Millis,
    /// The current VMs of each changed data centre, sorted by data centre.
    pub data_centres: Vec<DataCentreVms>,
}

impl Listing {
    /// Returns the hashes of all data centres, sorted by data centre.
    #[must_use]
    pub fn hashes(&self) -> Vec<DataCentreHash> {
        let entry = |group: DataCentreVms| DataCentreHash {
            hash: xxh3_64(&api::encode(&group.vms)),
            data_centre: group.data_centre,
        };
        self.by_data_centre().into_iter().map(entry).collect()
    }

    /// Returns the data centres whose hash differs from the one in `known`.
    #[must_use]
    pub fn changes(&self, known: &[DataCentreHash]) -> Changes {
        let mut data_centres = self.by_data_centre();
        for entry in known {
            let found =
                data_centres.binary_search_by(|group| group.data_centre.cmp(&entry.data_centre));
            match found {
                Ok(index) if xxh3_64(&api::encode(&data_centres[index].vms)) == entry.hash => {
                    data_centres.remove(index);
                }
                Ok(_) => {}
                Err(index) => {
                    let removed = DataCentreVms {
                        data_centre: entry.data_centre.clone(),
                        vms: Vec::new(),
                    };
                    data_centres.insert(index, removed);
                }
            }
        }
        Changes {
            as_of: self.as_of,
            data_centres,
        }
    }

    /// Replaces the VMs of the changed data centres and keeps the list sorted by name.
    pub fn apply(&mut self, changes: Changes) {
        self.as_of = changes.as_of;
        for group in changes.data_centres {
            self.vms.retain(|vm| vm.data_centre != group.data_centre);
            self.vms.extend(group.vms);
        }
        self.vms.sort_by(|a, b| a.id.cmp(&b.id));
    }

    fn by_data_centre(&self) -> Vec<DataCentreVms> {
        let mut data_centres: Vec<DataCentreVms> = Vec::new();
        for vm in &self.vms {
            let found =
                data_centres.binary_search_by(|group| group.data_centre.cmp(&vm.data_centre));
            match found {
                Ok(index) => data_centres[index].vms.push(vm.clone()),
                Err(index) => data_centres.insert(
                    index,
                    DataCentreVms {
                        data_centre: vm.data_centre.clone(),
                        vms: vec![vm.clone()],
                    },
                ),
            }
        }
        data_centres
    }
}
