//! Reads the shipped journals of nodes, also after their death.

use std::sync::Arc;

use compact_str::CompactString;
use dotterel_kernel::{
    Account, Fate, Gap, Incarnation, Millis, NodeId, Record, RequestId, Service,
};
use dotterel_platform::{CallError, ObjectStore};

use super::life::{self, Life};
use super::segment::{
    self, ROOT, Segment, last_life, last_name, life_of, life_prefix, node_of, node_prefix,
};
use super::tally::hour_of;

/// The most names asked for in one listing.
const PAGE: usize = 1000;

/// What the shipped journal of one life says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupOutcome {
    /// The request, with its settled fate.
    Settled(Record),
    /// The request was open in the last segment that names it, so its fate is unknown.
    Unsettled(Record),
    /// No segment names the request.
    Absent(Gap),
}

/// Reads journals from the object store.
#[derive(Clone)]
pub struct Reader {
    store: Arc<dyn ObjectStore>,
}

impl Reader {
    /// Returns a reader of the journals in a store.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Returns the account of a life that has ended.
    ///
    /// Requests that were open in its last segment count as `unknown`. What came after that
    /// segment is a gap.
    ///
    /// # Errors
    ///
    /// Fails if the object store cannot be read.
    pub async fn account(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
        service: Option<&Service>,
        since: Millis,
    ) -> Result<Account, CallError> {
        let mut life = self.life(node, incarnation).await?;
        for record in life.take_open() {
            life.tally.count(Some(&record), &lost(record.clone()));
        }
        let first = hour_of(since);
        if first < life.counted {
            let cause = "older than the journal counts";
            life.gaps.insert(0, gap(node, incarnation, first, cause));
        }
        if !life.ended {
            life.gaps.push(tail_gap(node, incarnation, life.until));
        }
        Ok(Account {
            as_of: life.until,
            nodes: vec![node.clone()],
            gaps: life.gaps,
            lines: life.tally.lines(service, since),
        })
    }

    /// Looks a request up in the journal of one life.
    ///
    /// # Errors
    ///
    /// Fails if the object store cannot be read.
    pub async fn lookup(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
        request: RequestId,
    ) -> Result<LookupOutcome, CallError> {
        let mut latest = None;
        let mut until = Millis::ZERO;
        for name in self.names(node, incarnation, None).await? {
            let Some(segment) = self.segment(&name).await? else {
                continue;
            };
            until = until.max(segment.until);
            let index = segment
                .records
                .binary_search_by_key(&request, |record| record.request);
            if let Ok(index) = index {
                latest = segment.records.into_iter().nth(index);
            }
        }
        Ok(match latest {
            None => LookupOutcome::Absent(tail_gap(node, incarnation, until)),
            Some(record) if record.fate.is_some() => LookupOutcome::Settled(record),
            Some(record) => LookupOutcome::Unsettled(lost(record)),
        })
    }

    /// Returns the lives of a node that have shipped anything, the oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the object store cannot be read.
    pub async fn incarnations(&self, node: &NodeId) -> Result<Vec<Incarnation>, CallError> {
        let prefix = node_prefix(node);
        let mut lives = Vec::new();
        let mut after = CompactString::default();
        loop {
            let names = self.store.list(&prefix, &after, 1).await?;
            let Some(life) = names.first().and_then(|name| life_of(&prefix, name)) else {
                return Ok(lives);
            };
            lives.push(life);
            after = last_name(node, life);
        }
    }

    /// Returns the nodes that have shipped anything, sorted.
    ///
    /// # Errors
    ///
    /// Fails if the object store cannot be read.
    pub async fn nodes(&self) -> Result<Vec<NodeId>, CallError> {
        let mut nodes = Vec::new();
        let mut after = CompactString::default();
        loop {
            let names = self.store.list(ROOT, &after, 1).await?;
            let Some(node) = names.first().and_then(|name| node_of(name)) else {
                return Ok(nodes);
            };
            after = last_life(&node);
            nodes.push(node);
        }
    }

    async fn life(&self, node: &NodeId, incarnation: Incarnation) -> Result<Life, CallError> {
        let sum = self.store.get(&life::name(node, incarnation)).await?;
        let mut life = sum.as_deref().and_then(Life::decode).unwrap_or_default();
        let counted = life.next.checked_sub(1);
        let after = counted.map(|seq| segment::name(node, incarnation, seq));
        let mut latest: Vec<Record> = Vec::new();
        for name in self.names(node, incarnation, after).await? {
            let Some(segment) = self.segment(&name).await? else {
                continue;
            };
            life.until = life.until.max(segment.until);
            life.gaps = segment.gaps;
            merge_records(&mut latest, segment.records);
        }
        for record in &latest {
            life.advance(record);
        }
        Ok(life)
    }

    /// Lists the segments of a life that come after the named one.
    async fn names(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
        after: Option<CompactString>,
    ) -> Result<Vec<CompactString>, CallError> {
        let prefix = life_prefix(node, incarnation);
        let mut names: Vec<CompactString> = Vec::new();
        loop {
            let last = names.last().or(after.as_ref());
            let after = last.cloned().unwrap_or_default();
            let page = self.store.list(&prefix, &after, PAGE).await?;
            let full = page.len() == PAGE;
            names.extend(page);
            if !full {
                return Ok(names);
            }
        }
    }

    async fn segment(&self, name: &str) -> Result<Option<Segment>, CallError> {
        let value = self.store.get(name).await?;
        let segment = value.as_deref().and_then(Segment::decode);
        if segment.is_none() {
            log::error!(name; "journal segment is missing or has no known encoding");
        }
        Ok(segment)
    }
}

/// Puts later states of records in place of earlier ones, sorted by request.
fn merge_records(latest: &mut Vec<Record>, records: Vec<Record>) {
    for record in records {
        match latest.binary_search_by_key(&record.request, |known| known.request) {
            Ok(index) => latest[index] = record,
            Err(index) => latest.insert(index, record),
        }
    }
}

/// Returns an open record as it stands after the death of its node.
const fn lost(mut record: Record) -> Record {
    if record.fate.is_none() {
        record.fate = Some(Fate::Unknown);
    }
    record
}

fn tail_gap(node: &NodeId, incarnation: Incarnation, since: Millis) -> Gap {
    let cause = "the node ended without shipping what came after";
    gap(node, incarnation, since, cause)
}

fn gap(node: &NodeId, incarnation: Incarnation, since: Millis, cause: &str) -> Gap {
    Gap {
        node: node.clone(),
        incarnation,
        since,
        cause: cause.into(),
    }
}
