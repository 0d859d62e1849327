//! Orders that wait to be sent to one VM.

use std::collections::VecDeque;

use dotterel_cell::TaskName;

use super::orders::VmOrder;

/// Waiting orders of one VM: at most one start and one stop for each run.
///
/// Stops come first. They free capacity, and starts that wait for long are placed elsewhere.
#[derive(Debug, Default)]
pub(super) struct OrderQueue {
    stops: VecDeque<VmOrder>,
    starts: VecDeque<VmOrder>,
}

impl OrderQueue {
    /// Adds an order. A repeated one takes the place of the one that waits, and a stop removes the
    /// waiting start of its run.
    pub(super) fn push(&mut self, order: VmOrder) {
        let run = order.run();
        let orders = match order {
            VmOrder::Start(..) => &mut self.starts,
            VmOrder::Stop(..) => {
                self.starts.retain(|start| start.run() != run);
                &mut self.stops
            }
        };
        match orders.iter_mut().find(|waiting| waiting.run() == run) {
            Some(waiting) => *waiting = order,
            None => orders.push_back(order),
        }
    }

    /// Removes and returns the next order to send.
    pub(super) fn pop(&mut self) -> Option<VmOrder> {
        self.stops.pop_front().or_else(|| self.starts.pop_front())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.stops.is_empty() && self.starts.is_empty()
    }
}

impl VmOrder {
    /// Returns the run that the order is for.
    fn run(&self) -> (TaskName, u32) {
        match self {
            Self::Start(start, _) => (start.task, start.run),
            Self::Stop(task, run) => (*task, *run),
        }
    }
}
