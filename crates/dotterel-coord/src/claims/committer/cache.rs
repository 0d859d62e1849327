//! A shard as a node last saw it.

use compact_str::CompactString;
use dotterel_platform::{Row, Version};

use super::{Counters, Setup};
use crate::claims::entry::{ClaimKey, Entry};
use crate::claims::page::{self, Indexed};
use crate::claims::row::ShardRow;
use crate::lease::bounded;

/// The cached row of a shard and an index of its pages.
pub(super) struct Cache {
    /// The key of the row.
    pub(super) key: CompactString,
    /// The version of the row as last seen.
    pub(super) version: Version,
    /// The row as last seen.
    pub(super) row: ShardRow,
    /// What is known of the pages, the oldest first.
    pub(super) pages: Vec<Indexed>,
    current: bool,
    setup: Setup,
}

impl Cache {
    pub(super) fn new(key: CompactString, setup: Setup) -> Self {
        Self {
            key,
            version: Version::ABSENT,
            row: ShardRow::default(),
            pages: Vec::new(),
            current: false,
            setup,
        }
    }

    /// Returns true when the row is thought to be the newest.
    pub(super) const fn is_current(&self) -> bool {
        self.current
    }

    /// Notes that the row may have changed.
    pub(super) const fn forget(&mut self) {
        self.current = false;
    }

    /// Takes over what this node has written.
    pub(super) fn replace(&mut self, version: Version, row: ShardRow) {
        self.version = version;
        self.row = row;
        self.current = true;
    }

    /// Reads the row and those of its pages that are not known; returns false when a read failed.
    pub(super) async fn read(&mut self) -> bool {
        let key = self.key.clone();
        let Some(row) = self.fetch(&key).await else {
            return false;
        };
        let (version, content) = match row {
            None => (Version::ABSENT, Some(ShardRow::default())),
            Some(row) => (row.version, ShardRow::decode(&row.value)),
        };
        let Some(content) = content else {
            log::error!(shard:% = self.key; "claim shard has no known encoding");
            return false;
        };
        if !self.index(&content).await {
            return false;
        }
        self.replace(version, content);
        true
    }

    /// Returns the entries of the keys in the pages, those of newer pages first; none when a read
    /// failed.
    pub(super) async fn older(&self, keys: impl Iterator<Item = &ClaimKey>) -> Option<Vec<Entry>> {
        let wanted: Vec<&ClaimKey> = keys.filter(|key| self.row.find(key).is_none()).collect();
        let mut found = Vec::new();
        for indexed in self.pages.iter().rev() {
            if !wanted.iter().any(|key| indexed.may_hold(key)) {
                continue;
            }
            let (_, entries) = self.page(indexed.number).await?;
            let hits = entries.into_iter();
            found.extend(hits.filter(|entry| wanted.contains(&&entry.key)));
        }
        Some(found)
    }

    async fn index(&mut self, row: &ShardRow) -> bool {
        let mut pages = Vec::with_capacity(row.pages.len());
        for listed in &row.pages {
            let known = self.pages.iter().find(|page| page.number == listed.number);
            if let Some(known) = known {
                pages.push(known.clone());
                continue;
            }
            let Some((version, entries)) = self.page(listed.number).await else {
                return false;
            };
            pages.push(Indexed::new(listed.number, version, &entries));
        }
        self.pages = pages;
        true
    }

    /// Reads a page; none when it cannot be read, or has just been deleted by another node.
    async fn page(&self, number: u64) -> Option<(Version, Vec<Entry>)> {
        let row = self.fetch(&page::key(&self.key, number)).await??;
        let entries = page::decode(&row.value)?;
        Some((row.version, entries))
    }

    async fn fetch(&self, key: &str) -> Option<Option<Row>> {
        Counters::add(&self.setup.counters.reads, 1);
        let call = self.setup.table.get(key);
        match bounded(self.setup.config.call_timeout, call).await {
            Ok(row) => Some(row),
            Err(fault) => {
                log::debug!(key, fault:% = fault; "claim shard not read");
                None
            }
        }
    }
}
