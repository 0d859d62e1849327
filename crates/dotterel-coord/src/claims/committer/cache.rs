//! A node's cached copy of a shard.

use compact_str::CompactString;
use dotterel_platform::{Row, Version};

use super::{Counters, ShardContext};
use crate::claims::entry::{ClaimKey, Entry};
use crate::claims::page::{self, PageIndex};
use crate::claims::row::ShardRow;
use crate::lease::with_timeout;

/// The cached row of a shard and an index of its pages.
pub(super) struct Cache {
    /// The key of the row.
    pub(super) key: CompactString,
    /// The version of the cached row.
    pub(super) version: Version,
    /// The cached row.
    pub(super) row: ShardRow,
    /// The indexes of the pages, the oldest first.
    pub(super) pages: Vec<PageIndex>,
    current: bool,
    context: ShardContext,
}

impl Cache {
    pub(super) fn new(key: CompactString, context: ShardContext) -> Self {
        Self {
            key,
            version: Version::ABSENT,
            row: ShardRow::default(),
            pages: Vec::new(),
            current: false,
            context,
        }
    }

    /// Returns true if the row is believed to be the latest version.
    pub(super) const fn is_current(&self) -> bool {
        self.current
    }

    /// Marks the cached row as possibly stale.
    pub(super) const fn invalidate(&mut self) {
        self.current = false;
    }

    /// Replaces the cached row with the current one.
    pub(super) fn replace(&mut self, version: Version, row: ShardRow) {
        self.version = version;
        self.row = row;
        self.current = true;
    }

    /// Reads the row and those of its pages that are not indexed yet; returns false if a read
    /// failed.
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
            log::error!(shard:% = self.key; "claim shard row cannot be decoded");
            return false;
        };
        if !self.index_pages(&content).await {
            return false;
        }
        self.replace(version, content);
        true
    }

    /// Returns the entries for the keys in the pages, those of newer pages first, or `None` if a
    /// read failed.
    pub(super) async fn paged_entries(
        &self,
        keys: impl Iterator<Item = &ClaimKey>,
    ) -> Option<Vec<Entry>> {
        let wanted: Vec<&ClaimKey> = keys.filter(|key| self.row.find(key).is_none()).collect();
        let mut found = Vec::new();
        for page_index in self.pages.iter().rev() {
            if !wanted.iter().any(|key| page_index.may_hold(key)) {
                continue;
            }
            let (_, entries) = self.read_page(page_index.number).await?;
            let hits = entries.into_iter();
            found.extend(hits.filter(|entry| wanted.contains(&&entry.key)));
        }
        Some(found)
    }

    async fn index_pages(&mut self, row: &ShardRow) -> bool {
        let mut pages = Vec::with_capacity(row.pages.len());
        for listed in &row.pages {
            let cached = self.pages.iter().find(|page| page.number == listed.number);
            if let Some(cached) = cached {
                pages.push(cached.clone());
                continue;
            }
            let Some((version, entries)) = self.read_page(listed.number).await else {
                return false;
            };
            pages.push(PageIndex::new(listed.number, version, &entries));
        }
        self.pages = pages;
        true
    }

    /// Reads a page; returns `None` if the read failed or another node has just deleted the page.
    async fn read_page(&self, number: u64) -> Option<(Version, Vec<Entry>)> {
        let row = self.fetch(&page::key(&self.key, number)).await??;
        let entries = page::decode(&row.value)?;
        Some((row.version, entries))
    }

    async fn fetch(&self, key: &str) -> Option<Option<Row>> {
        Counters::add(&self.context.counters.reads, 1);
        let call = self.context.table.get(key);
        match with_timeout(self.context.config.call_timeout, call).await {
            Ok(row) => Some(row),
            Err(err) => {
                log::debug!(key, fault:% = err; "failed to read claim shard");
                None
            }
        }
    }
}
