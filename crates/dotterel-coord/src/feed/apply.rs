//! How an operator's edit becomes a revision.

use compact_str::CompactString;
use dotterel_kernel::{FieldError, Millis, NodeId, Revision, Service};
use dotterel_platform::{CallError, Commit, Write};
use uuid::Uuid;

use super::head::{self, StoredHead};
use super::row::{self, Mark, Stored};
use super::{Feed, checked};
use crate::lease::bounded;

/// The outcome of [`Feed::apply`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The edit is accepted and in force on this node.
    Accepted {
        /// Its revision.
        revision: Revision,
    },
    /// The document has another revision than the operator expected.
    Conflict {
        /// The current revision; zero when there is no document.
        current: Revision,
        /// The current text.
        text: CompactString,
    },
    /// The text is not a document of this service.
    Invalid(FieldError),
    /// The table did not answer in time.
    Unavailable {
        /// True when the edit may yet be accepted.
        maybe_applied: bool,
    },
}

/// One edit on its way.
struct Edit<'a> {
    service: &'a Service,
    text: &'a str,
    expect: Option<Revision>,
    id: Uuid,
    by: &'a NodeId,
}

/// The outcome of one attempt.
enum Attempt {
    Over(ApplyOutcome),
    Again,
    /// No effect; worth a pause.
    Failed,
    /// The write may have taken effect or may yet do so.
    Unsure,
}

impl Feed {
    /// Replaces the document of a service if its revision is still the expected one.
    ///
    /// `expect` is none for a service that has no document yet. A write whose answer was lost is
    /// resolved by its mark in the row until `deadline`.
    pub async fn apply(
        &self,
        service: &Service,
        text: &str,
        expect: Option<Revision>,
        by: &NodeId,
        deadline: Millis,
    ) -> ApplyOutcome {
        if let Err(fault) = checked(service, text) {
            return ApplyOutcome::Invalid(fault);
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
        let resolved = tokio::time::timeout_at(at, self.resolve(&edit, &mut maybe_applied)).await;
        resolved.unwrap_or(ApplyOutcome::Unavailable { maybe_applied })
    }

    /// Tries until the outcome is certain.
    async fn resolve(&self, edit: &Edit<'_>, maybe_applied: &mut bool) -> ApplyOutcome {
        loop {
            match self.attempt(edit, maybe_applied).await {
                Attempt::Over(applied) => return applied,
                Attempt::Again => {}
                Attempt::Failed | Attempt::Unsure => {
                    tokio::time::sleep(self.inner.config.backoff.duration()).await;
                }
            }
        }
    }

    async fn attempt(&self, edit: &Edit<'_>, maybe_applied: &mut bool) -> Attempt {
        let Ok(stored) = self.row(edit.service).await else {
            return Attempt::Failed;
        };
        if let Some(applied) = self.verdict(edit, &stored) {
            return Attempt::Over(applied);
        }
        let Ok(head) = self.head().await else {
            return Attempt::Failed;
        };
        let writes = self.writes(edit, &stored, &head);
        // Until the call returns, the write may have taken effect.
        let before = std::mem::replace(maybe_applied, true);
        let call = self.inner.table.commit(&writes);
        match bounded(self.inner.config.call_timeout, call).await {
            Ok(Commit::Applied(_)) => {
                let current = stored.row.unwrap_or_default().revision;
                Attempt::Over(self.accept(edit, current.next()))
            }
            Ok(Commit::Conflict { .. }) => {
                *maybe_applied = before;
                Attempt::Again
            }
            Err(CallError::Unknown(_)) => Attempt::Unsure,
            Err(_) => {
                *maybe_applied = before;
                Attempt::Failed
            }
        }
    }

    /// Tells the outcome from the row alone; none when the edit is still to be written.
    fn verdict(&self, edit: &Edit<'_>, stored: &Stored) -> Option<ApplyOutcome> {
        let row = stored.row.as_ref();
        if let Some(revision) = row.and_then(|row| row.made_by(edit.id)) {
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

    fn writes(&self, edit: &Edit<'_>, stored: &Stored, head: &StoredHead) -> [Write; 2] {
        let current = stored.row.clone().unwrap_or_default();
        let mark = Mark {
            id: edit.id,
            revision: current.revision.next(),
            by: edit.by.clone(),
            at: self.inner.clock.now(),
        };
        let document = Write {
            key: row::key(edit.service),
            expect: stored.version,
            value: Some(current.successor(edit.text, mark).encode()),
        };
        let head = Write {
            key: head::KEY.into(),
            expect: head.version,
            value: Some(head.head.successor(edit.service).encode()),
        };
        [document, head]
    }
}
