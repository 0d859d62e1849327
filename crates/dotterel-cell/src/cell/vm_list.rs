//! The stored list of VMs that may have runs.
//!
//! A successor has to know what is running before it starts a task again. The registry isn't enough:
//! a VM that is cut off from it loses its entry and runs on. The leader therefore stores which VMs
//! may have runs, gives none to a VM before that is durable, and deletes a VM from the list once
//! its lease has certainly expired, or once it drains and is empty. A successor waits for the VMs of the
//! list and for no others: it would wait for a whole lease if it found VMs there that have left.

use compact_str::CompactString;
use dotterel_kernel::Millis;
use serde::{Deserialize, Serialize};

use super::Cell;
use crate::record::decode;
use crate::vm::{Vm, VmInfo, VmKey};

/// Rows of the list. A change rewrites one row; at 3,000 VMs a row has about 100 entries.
pub const VM_LIST_ROWS: u8 = 32;

/// A VM that may have runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRecord {
    /// Id of the VM.
    pub id: CompactString,
    /// Address that accepts orders.
    pub address: CompactString,
    /// Wall-clock time at which the VM started.
    pub incarnation: u64,
    /// Service whose tasks the VM runs; empty if it isn't known.
    pub service: CompactString,
    /// False while a call meant for a former life of the VM may have extended its lease further than a leader
    /// asks for, or a start without a reply may do so on a later life.
    pub settled: bool,
}

/// A record as versions wrote it that don't know of settled lives.
#[derive(Deserialize)]
struct FormerRecord {
    id: CompactString,
    address: CompactString,
    incarnation: u64,
}

/// Decodes a row of the list; `None` if it is malformed.
#[must_use]
pub fn decode_vm_list(row: &[u8]) -> Option<Vec<VmRecord>> {
    decode(row).or_else(|| {
        let records: Vec<FormerRecord> = decode(row)?;
        let records = records.into_iter().map(|record| VmRecord {
            id: record.id,
            address: record.address,
            incarnation: record.incarnation,
            service: CompactString::default(),
            settled: false,
        });
        Some(records.collect())
    })
}

/// Returns the row that lists a VM.
#[must_use]
pub fn vm_list_row(id: &str) -> u8 {
    let hash = id.bytes().fold(0u32, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(u32::from(byte))
    });
    u8::try_from(hash % u32::from(VM_LIST_ROWS)).unwrap_or_default()
}

impl Cell {
    /// Restores the list that an earlier term stored. VMs that have left the registry since then
    /// are polled as well, since they may only be cut off from it.
    pub fn restore_vm_list(&mut self, records: &[VmRecord], now: Millis) {
        for record in records {
            let info = VmInfo {
                id: record.id.clone(),
                address: record.address.clone(),
                incarnation: record.incarnation,
                service: record.service.clone(),
                ..VmInfo::default()
            };
            let key = self.vm_recorded(info, now);
            let vm = &mut self.vms[key];
            vm.awaited = true;
            vm.recorded = true;
            vm.settled = record.settled;
        }
    }

    /// Waits for all VMs, for when an earlier term stored no list.
    pub fn await_all_vms(&mut self) {
        for vm in self.vms.values_mut() {
            vm.awaited = true;
        }
    }

    /// Marks the rows of the list that have to be rewritten.
    pub(super) fn update_vm_list(&mut self) {
        let is_changed = |vm: &Vm| belongs_on_list(vm) != vm.recorded;
        let changed = self.vms.iter().filter(|(_, vm)| is_changed(vm));
        let changed: Vec<VmKey> = changed.map(|(key, _)| key).collect();
        for key in changed {
            self.update_vm_record(key);
        }
    }

    /// Marks the row of a VM if it has to be rewritten.
    pub(super) fn update_vm_record(&mut self, key: VmKey) {
        let vm = &mut self.vms[key];
        if belongs_on_list(vm) != vm.recorded {
            // The entry of a VM that still has one may name its previous incarnation.
            vm.recorded = false;
            self.mark_vm_record(key);
        }
    }

    /// Marks the row of a VM.
    pub(super) fn mark_vm_record(&mut self, key: VmKey) {
        let row = vm_list_row(&self.vms[key].info.id);
        self.mark_vm_list_row(row);
    }

    pub(super) fn mark_vm_list_row(&mut self, row: u8) {
        if let Err(at) = self.changed_vm_rows.binary_search(&row) {
            self.changed_vm_rows.insert(at, row);
        }
    }

    /// Returns the content of a row, and the VMs in it.
    pub(super) fn vm_list_content(&self, row: u8) -> (Vec<VmRecord>, Vec<VmKey>) {
        let in_row =
            |(_, vm): &(VmKey, &Vm)| belongs_on_list(vm) && vm_list_row(&vm.info.id) == row;
        let vms = self.vms.iter().filter(in_row);
        let record = |vm: &Vm| VmRecord {
            id: vm.info.id.clone(),
            address: vm.info.address.clone(),
            incarnation: vm.info.incarnation,
            service: vm.info.service.clone(),
            settled: vm.settled,
        };
        vms.map(|(key, vm)| (record(vm), key)).unzip()
    }
}

/// Returns true if a successor has to wait for a VM.
fn belongs_on_list(vm: &Vm) -> bool {
    vm.may_have_runs() && !is_drained(vm)
}

/// Returns true if a VM drains, has no runs and is given none, and its ends are durable. It may be given runs
/// again only after it is back on the list, should it no longer drain.
fn is_drained(vm: &Vm) -> bool {
    vm.info.draining
        && vm.fenced
        && !vm.awaited
        && vm.runs.is_empty()
        && vm.late_starts.is_empty()
        && vm.pending_ends.is_empty()
}
