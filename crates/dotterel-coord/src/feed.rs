//! The documents of all services, with compare-and-set on their revisions.
//!
//! The platform's table arbitrates: the row `documents/{service}` holds the revision, the text and
//! the mark of the write, and [`Feed::apply`] replaces it only when the operator knew the current
//! revision. A head row names the latest changes, so that [`Feed::poll`] costs one read while
//! nothing changes. Nodes pass accepted revisions to each other; [`Feed::offer`] takes a higher
//! revision that this node can parse and never a lower one, so nothing reverts on a node.
//!
//! A fresh node that cannot read the table takes the snapshots of all peers that it can reach; the
//! highest revision of each service stays. A service without a revision is not served.
//!
//! An accepted revision that only unreachable nodes have seen cannot be known to a fresh node
//! without the table; it comes in force as soon as either the table or such a peer is reached.

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

use crate::lease::bounded;
use head::{Head, Sequence, StoredHead};
use row::{DocumentRow, Stored};

/// Rhythm and limits of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// The longest time between two polls of the table.
    pub poll_interval: Millis,
    /// The pause after a call that failed.
    pub backoff: Millis,
    /// The longest that a call to the table may take before its outcome counts as unknown.
    pub call_timeout: Millis,
    /// The most rows asked for in one scan.
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

/// A document that is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ActiveDocument {
    /// Its service.
    pub service: Service,
    /// Its revision.
    pub revision: Revision,
    /// The TOML as accepted.
    pub text: CompactString,
    /// The same, checked.
    pub document: Document,
}

/// The documents in force, sorted by service.
pub type ActiveDocuments = Arc<Vec<Arc<ActiveDocument>>>;

/// A document as nodes pass it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentUpdate {
    /// Its service.
    pub service: Service,
    /// Its revision.
    pub revision: Revision,
    /// The TOML as accepted.
    pub text: CompactString,
}

/// The answer to [`Feed::offer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The document is in force now.
    Accepted,
    /// This node holds this revision or a higher one.
    NotNewer(Revision),
    /// This node cannot use the document.
    Invalid(FieldError),
}

/// The outcome of one poll of the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollOutcome {
    /// The table was read; so many documents came in force.
    Read(usize),
    /// The table could not be read.
    Failed,
}

/// The documents as one node holds them; clones share the state.
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
    /// Whether the table was read once.
    loaded: AtomicBool,
}

impl Feed {
    /// Returns a feed that holds no document yet.
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

    /// Returns the document of a service; none means that the service is not served.
    #[must_use]
    pub fn active(&self, service: &Service) -> Option<Arc<ActiveDocument>> {
        let documents = self.inner.active.borrow();
        let index = position(&documents, service).ok()?;
        documents.get(index).map(Arc::clone)
    }

    /// Returns true once all documents were read from the table, even if there were none.
    #[must_use]
    pub fn is_loaded(&self) -> bool {
        self.inner.loaded.load(Ordering::Acquire)
    }

    /// Returns a channel that shows the documents in force and wakes at every change.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<ActiveDocuments> {
        self.inner.active.subscribe()
    }

    /// Returns the revisions in force, sorted by service.
    #[must_use]
    pub fn revisions(&self) -> Vec<(Service, Revision)> {
        let documents = self.inner.active.borrow();
        documents
            .iter()
            .map(|held| (held.service.clone(), held.revision))
            .collect()
    }

    /// Returns all documents in force, for a fresh node.
    #[must_use]
    pub fn snapshot(&self) -> Vec<DocumentUpdate> {
        self.newer_than(&[])
    }

    /// Returns the documents that a peer lacks, given its revisions sorted by service.
    #[must_use]
    pub fn newer_than(&self, revisions: &[(Service, Revision)]) -> Vec<DocumentUpdate> {
        let documents = self.inner.active.borrow();
        documents
            .iter()
            .filter(|held| {
                let known = revisions.binary_search_by(|(service, _)| service.cmp(&held.service));
                known.map_or(true, |index| revisions[index].1 < held.revision)
            })
            .map(|held| DocumentUpdate {
                service: held.service.clone(),
                revision: held.revision,
                text: held.text.clone(),
            })
            .collect()
    }

    /// Takes an accepted document from a peer or from the table.
    ///
    /// Peers only pass on what the table has confirmed, so a higher revision is always the truth.
    #[expect(
        clippy::must_use_candidate,
        reason = "the document is in force either way"
    )]
    pub fn offer(&self, service: &Service, revision: Revision, text: &str) -> OfferOutcome {
        if let Some(held) = self.active(service)
            && held.revision >= revision
        {
            return OfferOutcome::NotNewer(held.revision);
        }
        let document = match checked(service, text) {
            Ok(document) => document,
            Err(fault) => {
                log::error!(service:% = service, revision:% = revision, fault:% = fault; "document not usable");
                return OfferOutcome::Invalid(fault);
            }
        };
        self.put(ActiveDocument {
            service: service.clone(),
            revision,
            text: text.into(),
            document,
        })
    }

    /// Polls the table at jittered intervals until the future is dropped.
    pub async fn run(&self) {
        loop {
            let pause = match self.poll().await {
                PollOutcome::Read(_) => self.pause(),
                PollOutcome::Failed => self.inner.config.backoff,
            };
            tokio::time::sleep(pause.duration()).await;
        }
    }

    /// Reads from the table what has changed since the last poll.
    pub async fn poll(&self) -> PollOutcome {
        let mut cursor = self.inner.cursor.lock().await;
        match self.catch_up(&mut cursor).await {
            Ok(count) => PollOutcome::Read(count),
            Err(fault) => {
                log::debug!(fault:% = fault; "documents not read");
                PollOutcome::Failed
            }
        }
    }

    async fn catch_up(&self, cursor: &mut Option<Sequence>) -> Result<usize, CallError> {
        let head = self.head().await?.head;
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
            let stored = self.row(service).await?;
            count += usize::from(stored.row.is_some_and(|row| self.take(service, &row)));
        }
        Ok(count)
    }

    async fn scan(&self) -> Result<usize, CallError> {
        let mut count = 0;
        let mut after = CompactString::default();
        loop {
            let page = self.inner.config.page_size;
            let call = self.inner.table.scan(row::PREFIX, &after, page);
            let rows = bounded(self.inner.config.call_timeout, call).await?;
            for raw in &rows {
                let Some((service, row)) = DocumentRow::decode(raw) else {
                    log::error!(key:% = raw.key; "document row has no known encoding");
                    continue;
                };
                count += usize::from(self.take(&service, &row));
            }
            match rows.last() {
                Some(last) if rows.len() == page => after = last.key.clone(),
                _ => return Ok(count),
            }
        }
    }

    async fn row(&self, service: &Service) -> Result<Stored, CallError> {
        let call = DocumentRow::read(&*self.inner.table, service);
        bounded(self.inner.config.call_timeout, call).await
    }

    async fn head(&self) -> Result<StoredHead, CallError> {
        let call = Head::read(&*self.inner.table);
        bounded(self.inner.config.call_timeout, call).await
    }

    fn take(&self, service: &Service, row: &DocumentRow) -> bool {
        self.offer(service, row.revision, &row.text) == OfferOutcome::Accepted
    }

    /// Brings a document in force unless a higher revision came meanwhile.
    fn put(&self, accepted: ActiveDocument) -> OfferOutcome {
        let mut outcome = OfferOutcome::Accepted;
        self.inner.active.send_if_modified(|documents| {
            match position(documents, &accepted.service) {
                Ok(index) if documents[index].revision >= accepted.revision => {
                    outcome = OfferOutcome::NotNewer(documents[index].revision);
                    return false;
                }
                Ok(index) => Arc::make_mut(documents)[index] = Arc::new(accepted),
                Err(index) => Arc::make_mut(documents).insert(index, Arc::new(accepted)),
            }
            true
        });
        outcome
    }

    fn pause(&self) -> Millis {
        let period = self.inner.config.poll_interval.0;
        Millis(rand::rng().random_range(period * 6 / 10..=period))
    }
}

/// Parses a document and checks that it describes the service.
fn checked(service: &Service, text: &str) -> Result<Document, FieldError> {
    let document = Document::parse(text)?;
    if document.service != *service {
        let allowed = service.0.clone();
        return Err(FieldError::new("service", &document.service, allowed));
    }
    Ok(document)
}

fn position(documents: &[Arc<ActiveDocument>], service: &Service) -> Result<usize, usize> {
    documents.binary_search_by(|held| held.service.cmp(service))
}
