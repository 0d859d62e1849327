//! Waiting tasks, one lane for each class.
//!
//! Tasks of one class ask for the same, so when the head of a lane cannot start, none behind it
//! can. Removal from the middle of a lane leaves a dead entry that is dropped later, so that a
//! wave of cancellations costs constant time for each task.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use slotmap::{SecondaryMap, SlotMap};

use super::class::ClassKey;
use super::{WaitKey, Waiting};
use crate::document::Urgency;
use crate::quota::TeamKey;
use crate::size::Size;
use crate::time::Millis;

/// Dead entries that a lane or the deadline heap may keep beside as many live ones.
const DEAD_LIMIT: usize = 64;

/// A waiting task with what the scheduler keeps about it.
#[derive(Clone, Debug)]
pub(super) struct Item {
    pub(super) task: Waiting,
    pub(super) class: ClassKey,
    pub(super) team: Option<TeamKey>,
    /// Expected work in milliseconds of the whole fleet.
    pub(super) work: f64,
    /// Whether others have to wait for it; work that nothing could start at present holds nobody
    /// up.
    pub(super) competes: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    rank: u64,
    arrival: u64,
    key: WaitKey,
}

/// A note that the head of a lane could not start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Block {
    /// The fleet's gains at that time.
    pub(super) gains: u64,
    /// When to try again even without gains.
    pub(super) until: Millis,
}

#[derive(Debug, Default)]
struct Lane {
    entries: VecDeque<Entry>,
    dead: usize,
    block: Option<Block>,
}

/// The head of a lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Head {
    rank: u64,
    arrival: u64,
    pub(super) class: ClassKey,
    pub(super) key: WaitKey,
}

/// Work and tasks that wait, by length and urgency.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backlog {
    pub(super) work: f64,
    pub(super) tasks: u32,
    pub(super) size: Size,
}

impl Backlog {
    fn add(&mut self, item: &Item) {
        self.tasks += 1;
        self.work += item.work;
        self.size = self.size.plus(&item.task.ask.size);
    }

    fn subtract(&mut self, item: &Item) {
        self.tasks -= 1;
        self.work -= item.work;
        self.size = self.size.minus(&item.task.ask.size);
        if self.tasks == 0 {
            // Rounding errors do not outlast the backlog.
            self.work = 0.0;
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Queue {
    items: SlotMap<WaitKey, Item>,
    lanes: SecondaryMap<ClassKey, Lane>,
    /// One for each lane that is not empty, sorted by rank and arrival.
    heads: Vec<Head>,
    deadlines: BinaryHeap<Reverse<(Millis, WaitKey)>>,
    arrivals: u64,
    /// Short work, then long work, each by urgency.
    backlog: [[Backlog; 3]; 2],
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) fn get(&self, key: WaitKey) -> Option<&Item> {
        self.items.get(key)
    }

    pub(super) fn head(&self, index: usize) -> Option<Head> {
        self.heads.get(index).copied()
    }

    pub(super) fn waiting(&self, class: ClassKey) -> usize {
        self.lanes
            .get(class)
            .map_or(0, |lane| lane.entries.len() - lane.dead)
    }

    /// Returns what waits of one length with this urgency.
    pub(super) fn backlog(&self, long: bool, urgency: Urgency) -> Backlog {
        self.backlog[usize::from(long)][level(urgency)]
    }

    pub(super) fn block(&self, class: ClassKey) -> Option<Block> {
        self.lanes.get(class)?.block
    }

    pub(super) fn set_block(&mut self, class: ClassKey, block: Option<Block>) {
        if let Some(lane) = self.lanes.get_mut(class) {
            lane.block = block;
        }
    }

    pub(super) fn push(&mut self, item: Item, rank: u64) -> WaitKey {
        self.arrivals += 1;
        let class = item.class;
        let deadline = item.task.deadline;
        if item.competes {
            self.backlog_mut(&item).add(&item);
        }
        let key = self.items.insert(item);
        self.deadlines.push(Reverse((deadline, key)));
        let entry = Entry {
            rank,
            arrival: self.arrivals,
            key,
        };
        if !self.lanes.contains_key(class) {
            self.lanes.insert(class, Lane::default());
        }
        let lane = &mut self.lanes[class].entries;
        let index = lane.partition_point(|e| (e.rank, e.arrival) < (entry.rank, entry.arrival));
        lane.insert(index, entry);
        if index == 0 {
            let former = lane.get(1).copied();
            self.swap_head(class, former);
        }
        key
    }

    pub(super) fn remove(&mut self, key: WaitKey) -> Option<Item> {
        let item = self.items.remove(key)?;
        if item.competes {
            self.backlog_mut(&item).subtract(&item);
        }
        self.drop_entry(item.class, key);
        self.trim_deadlines();
        Some(item)
    }

    /// Returns a waiting task whose deadline has passed.
    pub(super) fn late(&mut self, now: Millis) -> Option<WaitKey> {
        while let Some(Reverse((deadline, key))) = self.deadlines.peek().copied() {
            if self.items.contains_key(key) {
                return (deadline < now).then_some(key);
            }
            self.deadlines.pop();
        }
        None
    }

    fn backlog_mut(&mut self, item: &Item) -> &mut Backlog {
        let ask = &item.task.ask;
        &mut self.backlog[usize::from(ask.long)][level(ask.urgency)]
    }

    fn drop_entry(&mut self, class: ClassKey, key: WaitKey) {
        let items = &self.items;
        let lane = &mut self.lanes[class];
        let first = lane.entries.front().copied();
        if first.is_none_or(|entry| entry.key != key) {
            lane.dead += 1;
            if lane.dead > DEAD_LIMIT.max(lane.entries.len() / 2) {
                lane.entries.retain(|entry| items.contains_key(entry.key));
                lane.dead = 0;
            }
            return;
        }
        lane.entries.pop_front();
        while let Some(entry) = lane.entries.front()
            && !items.contains_key(entry.key)
        {
            lane.entries.pop_front();
            lane.dead -= 1;
        }
        lane.block = None;
        self.swap_head(class, first);
    }

    /// Replaces the former head of a lane by the present one.
    fn swap_head(&mut self, class: ClassKey, former: Option<Entry>) {
        if let Some(entry) = former {
            let place = self.find(entry.rank, entry.arrival);
            if self
                .heads
                .get(place)
                .is_some_and(|head| head.key == entry.key)
            {
                self.heads.remove(place);
            }
        }
        if let Some(entry) = self.lanes[class].entries.front().copied() {
            let place = self.find(entry.rank, entry.arrival);
            let head = Head {
                rank: entry.rank,
                arrival: entry.arrival,
                class,
                key: entry.key,
            };
            self.heads.insert(place, head);
        }
    }

    fn find(&self, rank: u64, arrival: u64) -> usize {
        self.heads
            .partition_point(|head| (head.rank, head.arrival) < (rank, arrival))
    }

    fn trim_deadlines(&mut self) {
        if self.deadlines.len() <= DEAD_LIMIT + 2 * self.items.len() {
            return;
        }
        let items = &self.items;
        self.deadlines
            .retain(|Reverse((_, key))| items.contains_key(*key));
    }
}

/// Returns the urgency as an index, the most urgent first.
pub(super) const fn level(urgency: Urgency) -> usize {
    match urgency {
        Urgency::Urgent => 0,
        Urgency::Normal => 1,
        Urgency::Overnight => 2,
    }
}
