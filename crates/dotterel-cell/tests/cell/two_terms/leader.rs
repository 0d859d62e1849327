//! A leader, and what is under way between it and the VMs.

use dotterel_cell::leadership::{Leadership, recovery_wait};
use dotterel_cell::{Cell, Limits, Order, Report, VmKey};
use dotterel_kernel::Millis;

use super::VMS;
use super::process::Process;
use crate::support::{Bench, Store, vm_info};

/// A poll whose reply has not arrived.
pub(super) struct Poll {
    pub(super) sent: Millis,
    /// The report, unless the VM holds the poll.
    pub(super) report: Option<Report>,
}

/// A leader, which keeps acting once it has been replaced until a VM rejects its fencing token.
pub(super) struct Leader {
    pub(super) bench: Bench,
    pub(super) term: u32,
    pub(super) leadership: Leadership,
    pub(super) polls: [Option<Poll>; VMS],
    pub(super) cut: [bool; VMS],
    pub(super) orders: Vec<Order>,
    pub(super) is_over: bool,
}

impl Leader {
    pub(super) fn new(term: u32, store: &Store, processes: &[Process; VMS], now: Millis) -> Self {
        let limits = Limits::default();
        let mut bench = Bench::new(0);
        bench.now = now;
        bench.cell = Cell::new(limits, term, now, now + recovery_wait(&limits));
        let vms = (0..VMS).zip(processes);
        bench.vms = vms
            .map(|(vm, process)| bench.cell.vm_listed(process.info(vm), now))
            .collect();
        store.restore(&mut bench.cell, Millis::ZERO, now);
        if term > 1 {
            store.restore_stop_list(&mut bench.cell);
        }
        Self {
            bench,
            term,
            leadership: Leadership::acquired(now),
            polls: Default::default(),
            cut: [false; VMS],
            orders: Vec::new(),
            is_over: false,
        }
    }

    pub(super) fn remaining(&self, now: Millis) -> Millis {
        self.leadership.remaining(&Limits::default(), now)
    }

    pub(super) fn key(&self, vm: usize) -> Option<VmKey> {
        self.bench.cell.vm_by_id(&vm_info(vm).id)
    }

    pub(super) fn plan(&mut self) {
        let now = self.bench.now;
        self.bench.cell.tick(now);
        self.bench.plan();
        self.orders.extend(self.bench.cell.take_orders());
    }
}
