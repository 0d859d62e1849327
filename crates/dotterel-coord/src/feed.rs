//! The documents of all services, updated by compare-and-set on their revisions.
//!
//! The platform's table is authoritative. The row `documents/{service}` holds the revision, the
//! text and the ids of recent writes, and [`Feed::apply`] replaces it only if the operator
//! specified the current revision. A head row lists the latest changes, so that [`Feed::poll`]
//! needs one read while nothing changes. Nodes send accepted revisions to each other.
//! [`Feed::offer`] accepts a valid document only if its revision is higher, so a node never reverts
//! to an older one.
//!
//! A new node that cannot read the table takes snapshots from all peers that it can reach and keeps
//! the highest revision of each service. A service without a document is not served.
//!
//! An accepted revision that only unreachable nodes have seen stays unknown to a new node without
//! access to the table. It becomes active as soon as the table or such a peer is reachable.

mod apply;
mod head;
mod row;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use compact_str::CompactString;
use dotterel_kernel::{Clock, Document, FieldError, Millis, Revision, Service};
use dotterel_platform::{CallError, Table};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

pub use apply::ApplyOutcome;

use crate::lease::with_timeout;
use head::{Head, Sequence, VersionedHead};
use row::{DocumentRow, VersionedRow};

/// Limits and timeouts of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The maximum time between two polls of the table.
    pub poll_interval: Millis,
    /// The delay before retrying after a failed call.
    pub backoff: Millis,
    /// The time after which a call to the table is abandoned and its outcome treated as unknown.
    pub call_timeout: Millis,
    /// The maximum number of rows requested per scan.
    pub page_size: usize,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            poll_interval: Millis(1000),
            backoff: Millis(100),
            call_timeout: Millis(700),
            page_size: 64,
        }
    }
}

/// An accepted document that this node uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveDocument {
    /// The service that the document describes.
    pub service: Service,
    /// The revision of the document.
    pub revision: Revision,
    /// The TOML source.
    pub text: CompactString,
    /// The parsed document.
    pub document: Document,
}

/// The active documents, sorted by service.
pub type ActiveDocuments = Arc<Vec<Arc<ActiveDocument>>>;

/// A document as sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentUpdate {
    /// The service that the document describes.
    pub service: Service,
    /// The revision of the document.
    pub revision: Revision,
    /// The TOML source.
    pub text: CompactString,
}

/// The outcome of [`Feed::offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is now active.
    Accepted,
    /// This node already has this revision, the same or higher.
    NotNewer(Revision),
    /// The document is invalid.
    Invalid(FieldError),
}

/// The outcome of one poll of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The table was read; this many documents became active.
    Read(usize),
    /// The table could not be read.
    Failed,
}

/// One node's copy of the documents; clones share the state.
#[derive(Clone)]
pub struct Feed {
    inner: Arc<Inner>,
}

struct Inner {
    table: Arc<dyn Table>,
    clock: Clock,
    config: Config,
    active: watch::Sender<ActiveDocuments>,
    cursor: tokio::sync::Mutex<Option<Sequence>>,
    /// Whether all documents have been read from the table at least once.
    loaded: AtomicBool,
}

impl Feed {
    /// Creates a feed without documents.
    #[must_use]
    pub fn new(table: Arc<dyn Table>, clock: Clock, config: Config) -> Self {
        Self {
            inner: Arc::new(Inner {
                table,
                clock,
                config,
                active: watch::Sender::new(ActiveDocuments::default()),
                cursor: tokio::sync::Mutex::new(None),
                loaded: AtomicBool::new(false),
            }),
        }
    }

    /// Returns the active document of a service; a service without one is not served.
    #[must_use]
    pub fn active(&self, service: &Service) -> Option<Arc<ActiveDocument>> {
        let documents = self.inner.active.borrow();
        let index = position(&documents, service).ok()?;
        documents.get(index).map(Arc::clone)
    }

    /// Returns true once all documents have been read from the table, even if there are none.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.inner.loaded.load(Ordering::Acquire)
    }

    /// Subscribes to the active documents; the receiver is notified of every change.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ActiveDocuments> {
        self.inner.active.subscribe()
    }

    /// Returns the revisions of the active documents, sorted by service.
    #[must_use]
    pub fn revisions(&self) -> Vec<(Service, Revision)> {
        let documents = self.inner.active.borrow();
        documents
            .iter()
            .map(|current| (current.service.clone(), current.revision))
            .collect()
    }

    /// Returns all active documents, for a new node.
    #[must_use]
    pub fn snapshot(&self) -> Vec<DocumentUpdate> {
        self.newer_than(&[])
    }

    /// Returns the documents that a peer lacks or has in a lower revision.
    ///
    /// `revisions` are the revisions of the peer, sorted by service.
    #[must_use]
    pub fn newer_than(&self, revisions: &[(Service, Revision)]) -> Vec<DocumentUpdate> {
        let documents = self.inner.active.borrow();
        documents
            .iter()
            .filter(|current| {
                let known =
                    revisions.binary_search_by(|(service, _)| service.cmp(&current.service));
                known.map_or(true, |index| revisions[index].1 < current.revision)
            })
            .map(|current| DocumentUpdate {
                service: current.service.clone(),
                revision: current.revision,
                text: current.text.clone(),
            })
            .collect()
    }

    /// Activates a document from a peer or the table if its revision is higher than the current
    /// one.
    ///
    /// Peers send only documents that the table has confirmed, so the higher revision is always
    /// the valid one.
    #[expect(
        clippy::must_use_candidate,
        reason = "the call takes effect even if the outcome is ignored"
    )]
    pub fn offer(&self, service: &Service, revision: Revision, text: &str) -> OfferOutcome {
        if let Some(current) = self.active(service)
            && current.revision >= revision
        {
            return OfferOutcome::NotNewer(current.revision);
        }
        let document = match parse_for_service(service, text) {
            Ok(document) => document,
            Err(err) => {
                log::error!(service:% = service, revision:% = revision, fault:% = err; "invalid document ignored");
                return OfferOutcome::Invalid(err);
            }
        };
        self.activate(ActiveDocument {
            service: service.clone(),
            revision,
            text: text.into(),
            document,
        })
    }

    /// Polls the table at jittered intervals until the future is dropped.
    pub async fn run(&self) {
        loop {
            let delay = match self.poll().await {
                PollOutcome::Read(_) => self.jittered_interval(),
                PollOutcome::Failed => self.inner.config.backoff,
            };
            tokio::time::sleep(delay.duration()).await;
        }
    }

    /// Reads the changes since the last poll from the table.
    pub async fn poll(&self) -> PollOutcome {
        let mut cursor = self.inner.cursor.lock().await;
        match self.read_changes(&mut cursor).await {
            Ok(count) => PollOutcome::Read(count),
            Err(err) => {
                log::debug!(fault:% = err; "failed to read documents");
                PollOutcome::Failed
            }
        }
    }

    async fn read_changes(&self, cursor: &mut Option<Sequence>) -> Result<usize, CallError> {
        let head = self.read_head().await?.head;
        let changed = cursor.and_then(|seen| head.changed_since(seen));
        let count = match changed {
            Some(services) => self.read_rows(&services).await?,
            None => self.scan().await?,
        };
        *cursor = Some(head.sequence());
        self.inner.loaded.store(true, Ordering::Release);
        Ok(count)
    }

    async fn read_rows(&self, services: &[Service]) -> Result<usize, CallError> {
        let mut count = 0;
        for service in services {
            let stored = self.read_row(service).await?;
            count += usize::from(stored.row.is_some_and(|row| self.offer_row(service, &row)));
        }
        Ok(count)
    }

    async fn scan(&self) -> Result<usize, CallError> {
        let mut count = 0;
        let mut after = CompactString::default();
        loop {
            let page = self.inner.config.page_size;
            let call = self.inner.table.scan(row::PREFIX, &after, page);
            let rows = with_timeout(self.inner.config.call_timeout, call).await?;
            for raw in &rows {
                let Some((service, row)) = DocumentRow::decode(raw) else {
                    log::error!(key:% = raw.key; "document row cannot be decoded");
                    continue;
                };
                count += usize::from(self.offer_row(&service, &row));
            }
            match rows.last() {
                Some(last) if rows.len() == page => after = last.key.clone(),
                _ => return Ok(count),
            }
        }
    }

    async fn read_row(&self, service: &Service) -> Result<VersionedRow, CallError> {
        let call = DocumentRow::read(&*self.inner.table, service);
        with_timeout(self.inner.config.call_timeout, call).await
    }

    async fn read_head(&self) -> Result<VersionedHead, CallError> {
        let call = Head::read(&*self.inner.table);
        with_timeout(self.inner.config.call_timeout, call).await
    }

    fn offer_row(&self, service: &Service, row: &DocumentRow) -> bool {
        self.offer(service, row.revision, &row.text) == OfferOutcome::Accepted
    }

    /// Activates a document unless the same or a higher revision has become active meanwhile.
    fn activate(&self, candidate: ActiveDocument) -> OfferOutcome {
        let mut outcome = OfferOutcome::Accepted;
        self.inner.active.send_if_modified(|documents| {
            match position(documents, &candidate.service) {
                Ok(index) if documents[index].revision >= candidate.revision => {
                    outcome = OfferOutcome::NotNewer(documents[index].revision);
                    return false;
                }
                Ok(index) => Arc::make_mut(documents)[index] = Arc::new(candidate),
                Err(index) => Arc::make_mut(documents).insert(index, Arc::new(candidate)),
            }
            true
        });
        outcome
    }

    fn jittered_interval(&self) -> Millis {
        let interval = self.inner.config.poll_interval.0;
        Millis(rand::rng().random_range(interval * 6 / 10..=interval))
    }
}

/// Parses a document and checks that it describes the service.
fn parse_for_service(service: &Service, text: &str) -> Result<Document, FieldError> {
    let document = Document::parse(text)?;
    if document.service != *service {
        let allowed = service.0.clone();
        return Err(FieldError::new("service", &document.service, allowed));
    }
    Ok(document)
}

fn position(documents: &[Arc<ActiveDocument>], service: &Service) -> Result<usize, usize> {
    documents.binary_search_by(|current| current.service.cmp(service))
}
