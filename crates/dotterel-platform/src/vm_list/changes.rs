//! Reading only the data centres whose VMs have changed.

use dotterel_kernel::{DataCentre, Millis};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{ListedVm, Listing};
use crate::api;

/// What a reader holds of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreHash {
    /// The data centre.
    pub data_centre: DataCentre,
    /// A hash of its VMs.
    pub hash: u64,
}

/// All VMs of one data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentreVms {
    /// The data centre.
    pub data_centre: DataCentre,
    /// Its VMs, sorted by name; empty when the list has none any more.
    pub vms: Vec<ListedVm>,
}

/// The data centres whose VMs are not as the reader holds them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// When the platform made the list.
    pub as_of: Millis,
    /// Sorted by data centre.
    pub data_centres: Vec<DataCentreVms>,
}

impl Listing {
    /// Returns the tags of all data centres, sorted by data centre.
    #[must_use]
    pub fn hashes(&self) -> Vec<DataCentreHash> {
        let tag = |part: DataCentreVms| DataCentreHash {
            hash: xxh3_64(&api::encode(&part.vms)),
            data_centre: part.data_centre,
        };
        self.parts().into_iter().map(tag).collect()
    }

    /// Returns what a reader lacks who holds the data centres with these tags.
    #[must_use]
    pub fn changes(&self, held: &[DataCentreHash]) -> Changes {
        let mut parts = self.parts();
        for tag in held {
            let found = parts.binary_search_by(|part| part.data_centre.cmp(&tag.data_centre));
            match found {
                Ok(index) if xxh3_64(&api::encode(&parts[index].vms)) == tag.hash => {
                    parts.remove(index);
                }
                Ok(_) => {}
                Err(index) => {
                    let gone = DataCentreVms {
                        data_centre: tag.data_centre.clone(),
                        vms: Vec::new(),
                    };
                    parts.insert(index, gone);
                }
            }
        }
        Changes {
            as_of: self.as_of,
            data_centres: parts,
        }
    }

    /// Takes in what has changed since this list was read.
    pub fn apply(&mut self, changes: Changes) {
        self.as_of = changes.as_of;
        for part in changes.data_centres {
            self.vms.retain(|vm| vm.data_centre != part.data_centre);
            self.vms.extend(part.vms);
        }
        self.vms.sort_by(|a, b| a.id.cmp(&b.id));
    }

    fn parts(&self) -> Vec<DataCentreVms> {
        let mut parts: Vec<DataCentreVms> = Vec::new();
        for vm in &self.vms {
            let found = parts.binary_search_by(|part| part.data_centre.cmp(&vm.data_centre));
            match found {
                Ok(index) => parts[index].vms.push(vm.clone()),
                Err(index) => parts.insert(
                    index,
                    DataCentreVms {
                        data_centre: vm.data_centre.clone(),
                        vms: vec![vm.clone()],
                    },
                ),
            }
        }
        parts
    }
}
