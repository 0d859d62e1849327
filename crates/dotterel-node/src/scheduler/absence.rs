//! Answers that this leader knows no such job.
//!
//! A leader that has been replaced without noticing doesn't know the jobs that its successor has
//! accepted, and a caller takes the answer to a cancellation for its acknowledgement. So the answer
//! waits for a renewal of the leadership that is sent after the request, and is refused while the store
//! is away.

use compact_str::CompactString;
use dotterel_cell::JobId;

use super::Scheduler;
use super::writer::STORE_RETRY_AFTER;
use crate::link::{Reply, Request};
use crate::platform::Platform;

/// A request about a job that wasn't known when it arrived.
pub(super) struct AbsenceCheck {
    peer: u64,
    request_id: u64,
    job: JobId,
    is_cancel: bool,
    /// The tenant that the request names.
    tenant: Option<CompactString>,
    /// The renewal in flight was sent after the request had arrived.
    is_covered: bool,
}

impl<P: Platform> Scheduler<P> {
    /// Answers a request about an unknown job once the leadership is renewed, which is due soon anyway.
    pub(super) fn check_absence(
        &self,
        peer: u64,
        request_id: u64,
        job: JobId,
        is_cancel: bool,
        tenant: Option<CompactString>,
    ) {
        if self.is_store_unavailable() {
            self.refuse_absence(peer, request_id, job);
            return;
        }
        self.absence_checks.borrow_mut().push(AbsenceCheck {
            peer,
            request_id,
            job,
            is_cancel,
            tenant,
            is_covered: false,
        });
    }

    /// Records that a renewal of the leadership is about to be sent.
    pub(super) fn cover_absences(&self) {
        for check in self.absence_checks.borrow_mut().iter_mut() {
            check.is_covered = true;
        }
    }

    /// Answers the requests that the last renewal covers. Their jobs may have been submitted meanwhile.
    pub(super) fn confirm_absences(&self) {
        let covered = |check: &mut AbsenceCheck| check.is_covered;
        let checks: Vec<_> = self
            .absence_checks
            .borrow_mut()
            .extract_if(.., covered)
            .collect();
        for check in checks {
            if self.belongs_to_other(check.job, check.tenant.as_deref()) {
                self.refuse_other_tenant(check.peer, check.request_id, check.job);
            } else if !check.is_cancel {
                let state = self.cell.borrow().state(check.job);
                self.reply(check.peer, check.request_id, Reply::State(state));
            } else if self.cell.borrow().job(check.job).is_some() {
                self.handle_request(check.peer, check.request_id, Request::Cancel(check.job));
            } else {
                self.reply(check.peer, check.request_id, Reply::Cancelled(false));
            }
        }
    }

    /// Refuses the requests that wait for a renewal.
    pub(super) fn refuse_absences(&self) {
        for check in self.absence_checks.take() {
            self.refuse_absence(check.peer, check.request_id, check.job);
        }
    }

    fn refuse_absence(&self, peer: u64, request_id: u64, job: JobId) {
        log::info!(
            job:% = job, retry_ms = STORE_RETRY_AFTER.0,
            reason = "store unavailable, another leader may know the job";
            "query refused");
        self.reply(peer, request_id, Reply::Refused(STORE_RETRY_AFTER));
    }
}
