//! Reads the shipped journals of nodes, including dead ones.

use std::sync::Arc;

use compact_str::CompactString;
use dotterel_kernel::{
    Account, Fate, Gap, Incarnation, Millis, NodeId, Record, RequestId, Service,
};
use dotterel_platform::{CallError, ObjectStore};

use super::segment::{
    self, ROOT, Segment, incarnation_end, incarnation_prefix, node_end, node_prefix,
    parse_incarnation, parse_node,
};
use super::snapshot::{self, Snapshot};
use super::tally::hour_of;

/// The maximum number of names requested per listing.
const PAGE_SIZE: usize = 1000;

/// The outcome of [`Reader::lookup`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupOutcome {
    /// The request has a settled fate.
    Settled(Record),
    /// The request was open in the last segment that contains it, so its fate is unknown.
    Unsettled(Record),
    /// No segment contains the request; the gap is what the incarnation did not ship.
    Absent(Gap),
}

/// Reads journals from the object store.
#[derive(Clone)]
pub struct Reader {
    store: Arc<dyn ObjectStore>,
}

impl Reader {
    /// Creates a reader of the journals in an object store.
    #[must_use]
    pub fn new(store: Arc<dyn ObjectStore>) -> Self {
        Self { store }
    }

    /// Returns the account of an incarnation that has ended.
    ///
    /// Requests that were open in its last segment count as `unknown`. Unless the node stopped
    /// cleanly, the time after that segment is a gap.
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
        let mut snapshot = self.snapshot(node, incarnation).await?;
        for record in snapshot.take_open() {
            snapshot
                .tally
                .count(Some(&record), &with_unknown_fate(record.clone()));
        }
        let first = hour_of(since);
        if first < snapshot.pruned_before {
            let cause = "older than the journal counts";
            snapshot
                .gaps
                .insert(0, gap(node, incarnation, first, cause));
        }
        if !snapshot.finished {
            snapshot
                .gaps
                .push(tail_gap(node, incarnation, snapshot.until));
        }
        Ok(Account {
            as_of: snapshot.until,
            nodes: vec![node.clone()],
            gaps: snapshot.gaps,
            lines: snapshot.tally.summaries(service, since),
        })
    }

    /// Looks up a request in the journal of one incarnation.
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
            Some(record) => LookupOutcome::Unsettled(with_unknown_fate(record)),
        })
    }

    /// Returns the incarnations of a node that have shipped anything, the oldest first.
    ///
    /// # Errors
    ///
    /// Fails if the object store cannot be read.
    pub async fn incarnations(&self, node: &NodeId) -> Result<Vec<Incarnation>, CallError> {
        let prefix = node_prefix(node);
        let mut incarnations = Vec::new();
        let mut after = CompactString::default();
        loop {
            let names = self.store.list(&prefix, &after, 1).await?;
            let Some(incarnation) = names
                .first()
                .and_then(|name| parse_incarnation(&prefix, name))
            else {
                return Ok(incarnations);
            };
            incarnations.push(incarnation);
            after = incarnation_end(node, incarnation);
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
            let Some(node) = names.first().and_then(|name| parse_node(name)) else {
                return Ok(nodes);
            };
            after = node_end(&node);
            nodes.push(node);
        }
    }

    async fn snapshot(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
    ) -> Result<Snapshot, CallError> {
        let stored = self.store.get(&snapshot::name(node, incarnation)).await?;
        let mut snapshot = stored
            .as_deref()
            .and_then(Snapshot::decode)
            .unwrap_or_default();
        let last_seq = snapshot.next_seq.checked_sub(1);
        let after = last_seq.map(|seq| segment::name(node, incarnation, seq));
        let mut latest: Vec<Record> = Vec::new();
        for name in self.names(node, incarnation, after).await? {
            let Some(segment) = self.segment(&name).await? else {
                continue;
            };
            snapshot.until = snapshot.until.max(segment.until);
            snapshot.gaps = segment.gaps;
            merge_records(&mut latest, segment.records);
        }
        for record in &latest {
            snapshot.add_record(record);
        }
        Ok(snapshot)
    }

    /// Lists the segment names of an incarnation that sort after `after`.
    async fn names(
        &self,
        node: &NodeId,
        incarnation: Incarnation,
        after: Option<CompactString>,
    ) -> Result<Vec<CompactString>, CallError> {
        let prefix = incarnation_prefix(node, incarnation);
        let mut names: Vec<CompactString> = Vec::new();
        loop {
            let last = names.last().or(after.as_ref());
            let after = last.cloned().unwrap_or_default();
            let page = self.store.list(&prefix, &after, PAGE_SIZE).await?;
            let full = page.len() == PAGE_SIZE;
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
            log::error!(name; "journal segment is missing or cannot be decoded");
        }
        Ok(segment)
    }
}

/// Merges newer states of records into a list sorted by request.
fn merge_records(latest: &mut Vec<Record>, records: Vec<Record>) {
    for record in records {
        match latest.binary_search_by_key(&record.request, |known| known.request) {
            Ok(index) => latest[index] = record,
            Err(index) => latest.insert(index, record),
        }
    }
}

/// Returns the record of a dead node's request, with the fate `unknown` if it was open.
const fn with_unknown_fate(mut record: Record) -> Record {
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
