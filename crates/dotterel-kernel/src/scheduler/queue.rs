//! Queued tasks, in one queue per class.
//!
//! Tasks of one class have the same size, so if the first task of a class cannot start, no other
//! task of the class can. Removing a task from the middle of a class queue leaves a stale entry,
//! which is dropped later; many cancellations at once therefore cost amortized constant time each.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use slotmap::{SecondaryMap, SlotMap};

use super::class::ClassKey;
use super::{PendingKey, PendingTask};
use crate::document::Urgency;
use crate::quota::TeamKey;
use crate::size::Size;
use crate::time::Millis;

/// Number of stale entries above which a class queue or the deadline heap is compacted, unless it
/// has at least as many live entries.
const STALE_ENTRY_LIMIT: usize = 64;

/// A queued task and the scheduler's data about it.
#[derive(Clone, Debug)]
pub(super) struct QueuedTask {
    pub(super) task: PendingTask,
    pub(super) class: ClassKey,
    pub(super) team: Option<TeamKey>,
    /// Expected work, in milliseconds of the whole fleet.
    pub(super) work: f64,
    /// Whether the task counts in the backlog. False if, when it was queued, no accepting VM was
    /// large enough for it or its team's quota was used up: such a task delays no other task.
    pub(super) in_backlog: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    rank: u64,
    arrival: u64,
    key: PendingKey,
}

/// Records that the first task of a class could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Blocked {
    /// [`Fleet::capacity_generation`](crate::Fleet::capacity_generation) at that time.
    pub(super) capacity_generation: u64,
    /// Time of the next attempt if no capacity is freed before.
    pub(super) retry_at: Millis,
}

#[derive(Debug, Default)]
struct ClassQueue {
    entries: VecDeque<Entry>,
    stale_count: usize,
    blocked: Option<Blocked>,
}

/// The first task of a class queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Head {
    rank: u64,
    arrival: u64,
    pub(super) class: ClassKey,
    pub(super) key: PendingKey,
}

/// Queued work of one length and urgency.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    pub(super) work: f64,
    pub(super) task_count: u32,
    pub(super) size: Size,
}

impl Backlog {
    fn add(&mut self, queued: &QueuedTask) {
        self.task_count += 1;
        self.work += queued.work;
        self.size = self.size.plus(&queued.task.spec.size);
    }

    fn subtract(&mut self, queued: &QueuedTask) {
        self.task_count -= 1;
        self.work -= queued.work;
        self.size = self.size.minus(&queued.task.spec.size);
        if self.task_count == 0 {
            // Clears accumulated rounding errors.
            self.work = 0.0;
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    tasks: SlotMap<PendingKey, QueuedTask>,
    class_queues: SecondaryMap<ClassKey, ClassQueue>,
    /// The first task of each class queue that is not empty, sorted by rank and arrival.
    heads: Vec<Head>,
    deadlines: BinaryHeap<Reverse<(Millis, PendingKey)>>,
    arrivals: u64,
    /// Short work, then long work, each by urgency.
    backlog: [[Backlog; 3]; 2],
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.tasks.len()
    }

    pub(super) fn get(&self, key: PendingKey) -> Option<&QueuedTask> {
        self.tasks.get(key)
    }

    pub(super) fn head(&self, index: usize) -> Option<Head> {
        self.heads.get(index).copied()
    }

    pub(super) fn class_len(&self, class: ClassKey) -> usize {
        self.class_queues.get(class).map_or(0, |class_queue| {
            class_queue.entries.len() - class_queue.stale_count
        })
    }

    /// Returns the queued work of this length and urgency.
    pub(super) fn backlog(&self, is_long: bool, urgency: Urgency) -> Backlog {
        self.backlog[usize::from(is_long)][urgency_index(urgency)]
    }

    pub(super) fn blocked(&self, class: ClassKey) -> Option<Blocked> {
        self.class_queues.get(class)?.blocked
    }

    pub(super) fn set_blocked(&mut self, class: ClassKey, blocked: Option<Blocked>) {
        if let Some(class_queue) = self.class_queues.get_mut(class) {
            class_queue.blocked = blocked;
        }
    }

    pub(super) fn push(&mut self, queued: QueuedTask, rank: u64) -> PendingKey {
        self.arrivals += 1;
        let class = queued.class;
        let deadline = queued.task.deadline;
        if queued.in_backlog {
            self.backlog_mut(&queued).add(&queued);
        }
        let key = self.tasks.insert(queued);
        self.deadlines.push(Reverse((deadline, key)));
        let entry = Entry {
            rank,
            arrival: self.arrivals,
            key,
        };
        if !self.class_queues.contains_key(class) {
            self.class_queues.insert(class, ClassQueue::default());
        }
        let entries = &mut self.class_queues[class].entries;
        let index = entries.partition_point(|e| (e.rank, e.arrival) < (entry.rank, entry.arrival));
        entries.insert(index, entry);
        if index == 0 {
            let old_head = entries.get(1).copied();
            self.replace_head(class, old_head);
        }
        key
    }

    pub(super) fn remove(&mut self, key: PendingKey) -> Option<QueuedTask> {
        let queued = self.tasks.remove(key)?;
        if queued.in_backlog {
            self.backlog_mut(&queued).subtract(&queued);
        }
        self.remove_entry(queued.class, key);
        self.compact_deadlines();
        Some(queued)
    }

    /// Returns a queued task whose deadline has passed.
    pub(super) fn first_expired(&mut self, now: Millis) -> Option<PendingKey> {
        while let Some(Reverse((deadline, key))) = self.deadlines.peek().copied() {
            if self.tasks.contains_key(key) {
                return (deadline < now).then_some(key);
            }
            self.deadlines.pop();
        }
        None
    }

    fn backlog_mut(&mut self, queued: &QueuedTask) -> &mut Backlog {
        let spec = &queued.task.spec;
        &mut self.backlog[usize::from(spec.is_long)][urgency_index(spec.urgency)]
    }

    fn remove_entry(&mut self, class: ClassKey, key: PendingKey) {
        let tasks = &self.tasks;
        let class_queue = &mut self.class_queues[class];
        let first = class_queue.entries.front().copied();
        if first.is_none_or(|entry| entry.key != key) {
            class_queue.stale_count += 1;
            if class_queue.stale_count > STALE_ENTRY_LIMIT.max(class_queue.entries.len() / 2) {
                class_queue
                    .entries
                    .retain(|entry| tasks.contains_key(entry.key));
                class_queue.stale_count = 0;
            }
            return;
        }
        class_queue.entries.pop_front();
        while let Some(entry) = class_queue.entries.front()
            && !tasks.contains_key(entry.key)
        {
            class_queue.entries.pop_front();
            class_queue.stale_count -= 1;
        }
        class_queue.blocked = None;
        self.replace_head(class, first);
    }

    /// Replaces the previous head of a class queue by the current one.
    fn replace_head(&mut self, class: ClassKey, old_head: Option<Entry>) {
        if let Some(entry) = old_head {
            let index = self.head_index(entry.rank, entry.arrival);
            if self
                .heads
                .get(index)
                .is_some_and(|head| head.key == entry.key)
            {
                self.heads.remove(index);
            }
        }
        if let Some(entry) = self.class_queues[class].entries.front().copied() {
            let index = self.head_index(entry.rank, entry.arrival);
            let head = Head {
                rank: entry.rank,
                arrival: entry.arrival,
                class,
                key: entry.key,
            };
            self.heads.insert(index, head);
        }
    }

    fn head_index(&self, rank: u64, arrival: u64) -> usize {
        self.heads
            .partition_point(|head| (head.rank, head.arrival) < (rank, arrival))
    }

    fn compact_deadlines(&mut self) {
        if self.deadlines.len() <= STALE_ENTRY_LIMIT + 2 * self.tasks.len() {
            return;
        }
        let tasks = &self.tasks;
        self.deadlines
            .retain(|Reverse((_, key))| tasks.contains_key(*key));
    }
}

/// Returns an index of the urgency, the most urgent first.
pub(super) const fn urgency_index(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Overnight => 2,
    }
}
