//! Classes of work as the scheduler has met them.

use compact_str::CompactString;
use slotmap::{SlotMap, new_key_type};

use crate::document::Kind;
use crate::id::Service;
use crate::plugin::Ask;
use crate::runtime::Runtimes;
use crate::time::Millis;

new_key_type! {
    /// Names one class of one service.
    pub(super) struct ClassKey;
}

/// Work of a class that runs at least this long counts as long.
const LONG_RUN: Millis = Millis(1000);
/// The part of a class's tasks that must run short for the class to count as short.
const SHORT_PART: f32 = 0.9;

#[derive(Debug)]
struct Class {
    service: Service,
    name: CompactString,
    runtimes: Runtimes,
}

/// All classes met so far, with what was learned of each.
#[derive(Debug, Default)]
pub(super) struct Classes {
    arena: SlotMap<ClassKey, Class>,
    /// Sorted by service and name.
    sorted: Vec<ClassKey>,
}

impl Classes {
    /// Returns the key of a class, new or known.
    pub(super) fn key(&mut self, service: &Service, name: &str) -> ClassKey {
        let found = self.sorted.binary_search_by(|key| {
            let class = &self.arena[*key];
            (&class.service, class.name.as_str()).cmp(&(service, name))
        });
        match found {
            Ok(index) => self.sorted[index],
            Err(index) => {
                let key = self.arena.insert(Class {
                    service: service.clone(),
                    name: name.into(),
                    runtimes: Runtimes::default(),
                });
                self.sorted.insert(index, key);
                key
            }
        }
    }

    pub(super) fn runtimes(&self, key: ClassKey) -> &Runtimes {
        &self.arena[key].runtimes
    }

    pub(super) fn record(&mut self, key: ClassKey, span: Millis) {
        self.arena[key].runtimes.record(span);
    }

    /// Replaces what was declared by what was learned, once enough tasks have finished.
    pub(super) fn correct(&self, key: ClassKey, ask: &mut Ask) {
        let runtimes = &self.arena[key].runtimes;
        if let Some(mean) = runtimes.mean() {
            ask.expected = mean;
        }
        if let Some(span) = runtimes.quantile(SHORT_PART) {
            ask.long = span > LONG_RUN;
        }
        ask.long |= ask.kind == Kind::Service;
    }
}
