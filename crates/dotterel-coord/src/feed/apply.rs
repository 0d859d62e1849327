//! Applies an operator's edit as a new revision.

use compact_str::CompactString;
use dotterel_kernel::{FieldError, Millis, NodeId, Revision, Service};
use dotterel_platform::{CallError, Commit, Write};
use uuid::Uuid;

use super::head::{self, VersionedHead};
use super::row::{self, VersionedRow, WriteRecord};
use super::{Feed, parse_for_service};
use crate::lease::with_timeout;

/// The outcome of [`Feed::apply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The edit was accepted and is active on this node.
    Accepted {
        /// The new revision.
        revision: Revision,
    },
    /// The document's revision differs from the expected one.
    Conflict {
        /// The current revision, or zero if there is no document.
        current: Revision,
        /// The current text.
        text: CompactString,
    },
    /// The text is not a valid document of this service.
    Invalid(FieldError),
    /// The outcome could not be determined before the deadline.
    Unavailable {
        /// Whether the edit may have been accepted or may still be.
        maybe_applied: bool,
    },
}

/// An edit in progress.
struct Edit<'a> {
    service: &'a Service,
    text: &'a str,
    expect: Option<Revision>,
    id: Uuid,
    by: &'a NodeId,
}

/// The result of one attempt to apply an edit.
enum Attempt {
    Done(ApplyOutcome),
    Retry,
    /// The attempt had no effect; retry after a delay.
    Failed,
    /// The write may have taken effect or may still do so.
    Unresolved,
}

impl Feed {
    /// Replaces the document of a service if its revision is still the expected one.
    ///
    /// `expect` is `None` for a service that has no document yet. If the reply to a write is lost,
    /// the row is checked for the id of the write until `deadline`.
    pub async fn apply(
        &self,
        service: &Service,
        text: &str,
        expect: Option<Revision>,
        by: &NodeId,
        deadline: Millis,
    ) -> ApplyOutcome {
        if let Err(err) = parse_for_service(service, text) {
            return ApplyOutcome::Invalid(err);
        }
        let edit = Edit {
            service,
            text,
            expect,
            id: Uuid::now_v7(),
            by,
        };
        let mut maybe_applied = false;
        let at = self.inner.clock.instant(deadline);
        let result =
            tokio::time::timeout_at(at, self.apply_with_retries(&edit, &mut maybe_applied)).await;
        result.unwrap_or(ApplyOutcome::Unavailable { maybe_applied })
    }

    /// Retries until the outcome is known.
    async fn apply_with_retries(&self, edit: &Edit<'_>, maybe_applied: &mut bool) -> ApplyOutcome {
        loop {
            match self.attempt(edit, maybe_applied).await {
                Attempt::Done(outcome) => return outcome,
                Attempt::Retry => {}
                Attempt::Failed | Attempt::Unresolved => {
                    tokio::time::sleep(self.inner.config.backoff.duration()).await;
                }
            }
        }
    }

    async fn attempt(&self, edit: &Edit<'_>, maybe_applied: &mut bool) -> Attempt {
        let Ok(stored) = self.read_row(edit.service).await else {
            return Attempt::Failed;
        };
        if let Some(outcome) = self.resolve_from_row(edit, &stored) {
            return Attempt::Done(outcome);
        }
        let Ok(head) = self.read_head().await else {
            return Attempt::Failed;
        };
        let writes = self.writes(edit, &stored, &head);
        // The write may take effect from now on; reset once the call proves otherwise.
        let before = std::mem::replace(maybe_applied, true);
        let call = self.inner.table.commit(&writes);
        match with_timeout(self.inner.config.call_timeout, call).await {
            Ok(Commit::Applied(_)) => {
                let current = stored.row.unwrap_or_default().revision;
                Attempt::Done(self.accept(edit, current.next()))
            }
            Ok(Commit::Conflict { .. }) => {
                *maybe_applied = before;
                Attempt::Retry
            }
            Err(CallError::Unknown(_)) => Attempt::Unresolved,
            Err(_) => {
                *maybe_applied = before;
                Attempt::Failed
            }
        }
    }

    /// Returns the outcome if the row determines it, or `None` if the edit has yet to be written.
    fn resolve_from_row(&self, edit: &Edit<'_>, stored: &VersionedRow) -> Option<ApplyOutcome> {
        let row = stored.row.as_ref();
        if let Some(revision) = row.and_then(|row| row.revision_of(edit.id)) {
            return Some(self.accept(edit, revision));
        }
        if row.map(|row| row.revision) == edit.expect {
            return None;
        }
        let row = row.cloned().unwrap_or_default();
        self.offer(edit.service, row.revision, &row.text);
        Some(ApplyOutcome::Conflict {
            current: row.revision,
            text: row.text,
        })
    }

    fn accept(&self, edit: &Edit<'_>, revision: Revision) -> ApplyOutcome {
        self.offer(edit.service, revision, edit.text);
        ApplyOutcome::Accepted { revision }
    }

    fn writes(&self, edit: &Edit<'_>, stored: &VersionedRow, head: &VersionedHead) -> [Write; 2] {
        let current = stored.row.clone().unwrap_or_default();
        let write = WriteRecord {
            id: edit.id,
            revision: current.revision.next(),
            by: edit.by.clone(),
            at: self.inner.clock.now(),
        };
        let document = Write {
            key: row::key(edit.service),
            expect: stored.version,
            value: Some(current.with_write(edit.text, write).encode()),
        };
        let head = Write {
            key: head::KEY.into(),
            expect: head.version,
            value: Some(head.head.with_change(edit.service).encode()),
        };
        [document, head]
    }
}
