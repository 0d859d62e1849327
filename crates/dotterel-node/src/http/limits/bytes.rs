//! The byte budget, the guards of the bytes taken from it, and the progress of uploads.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use dotterel_kernel::Millis;
use slotmap::{DefaultKey, SlotMap};
use tokio::sync::Notify;
use tokio::time::timeout;

use super::MIN_AGE_SWEEPS;
use super::body::BodyError;
use super::refusals::{Refusal, Refusals};

/// An upload that brought this much in the last two sweeps isn't closed in favor of others: 4 KB/s,
/// half of what each upload gets when a link of 10 Mbit/s carries as many as the smallest budget holds.
pub(super) const PROGRESSING_BYTES: usize = 2048;
/// An upload must bring this much in [`STALL_SWEEPS`].
const MIN_PROGRESS_BYTES: usize = 1024;
/// 3 s, as much as a head gets; a lost segment is repeated several times within it.
pub(super) const STALL_SWEEPS: u64 = 12;
/// How long a reader waits for the bytes of an upload or frame that was closed in its favor.
const RELEASE_TIMEOUT: Millis = Millis(500);

/// Bytes held for callers, and the uploads that hold them.
#[derive(Debug)]
pub struct ByteBudget {
    port: &'static str,
    limit: usize,
    used: Cell<usize>,
    sweeps: Cell<u64>,
    uploads: RefCell<SlotMap<DefaultKey, Rc<Upload>>>,
    released: Notify,
    refusals: Rc<Refusals>,
}

/// Bytes of a budget, given back on drop.
#[derive(Debug)]
pub struct ByteGuard {
    budget: Rc<ByteBudget>,
    bytes: usize,
}

impl ByteGuard {
    /// Returns the number of bytes held.
    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Acquires more bytes; returns false, and acquires nothing, if the budget has too few.
    #[must_use]
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let is_acquired = self.budget.try_take(bytes);
        if is_acquired {
            self.bytes += bytes;
        }
        is_acquired
    }

    /// Acquires more bytes once they are released, if that is soon; returns false otherwise.
    pub async fn grow(&mut self, bytes: usize) -> bool {
        if self.try_grow(bytes) {
            return true;
        }
        let budget = Rc::clone(&self.budget);
        let acquired = timeout(RELEASE_TIMEOUT.duration(), async {
            loop {
                budget.released.notified().await;
                if self.try_grow(bytes) {
                    return;
                }
            }
        });
        acquired.await.is_ok()
    }
}

impl Drop for ByteGuard {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.used.set(budget.used.get() - self.bytes);
        budget.released.notify_waiters();
    }
}

impl ByteBudget {
    pub(super) fn new(port: &'static str, limit: usize, refusals: &Rc<Refusals>) -> Rc<Self> {
        Rc::new(Self {
            port,
            limit,
            used: Cell::new(0),
            sweeps: Cell::new(0),
            uploads: RefCell::default(),
            released: Notify::new(),
            refusals: Rc::clone(refusals),
        })
    }

    /// Returns the number of bytes held.
    #[must_use]
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns a guard without bytes.
    #[must_use]
    pub fn guard(self: &Rc<Self>) -> ByteGuard {
        ByteGuard {
            budget: Rc::clone(self),
            bytes: 0,
        }
    }

    /// Records a refusal.
    pub fn record(&self, refusal: Refusal) {
        self.refusals
            .record(refusal, self.port, self.used.get(), self.limit);
    }

    fn try_take(&self, bytes: usize) -> bool {
        let used = self.used.get().saturating_add(bytes);
        let fits = used <= self.limit;
        if fits {
            self.used.set(used);
        }
        fits
    }

    /// Takes bytes whose number is bounded otherwise, even beyond the limit.
    pub(super) fn take(self: &Rc<Self>, bytes: usize) -> ByteGuard {
        self.used.set(self.used.get() + bytes);
        ByteGuard {
            budget: Rc::clone(self),
            bytes,
        }
    }

    pub(super) fn begin_upload(self: &Rc<Self>) -> UploadGuard {
        let upload = Rc::new(Upload {
            started: self.sweeps.get(),
            received: Cell::new(0),
            marks: Cell::new([0; 2]),
            checked: Cell::new((self.sweeps.get(), 0)),
            ended: Cell::new(None),
            wakeup: Notify::new(),
        });
        UploadGuard {
            key: self.uploads.borrow_mut().insert(Rc::clone(&upload)),
            bytes: self.guard(),
            upload,
        }
    }

    pub(super) fn sweep(&self) {
        let now = self.sweeps.get() + 1;
        self.sweeps.set(now);
        for upload in self.uploads.borrow().values() {
            if upload.ended.get().is_none() && upload.is_stalled(now) {
                upload.end(BodyError::Stalled);
                self.record(Refusal::StalledBody);
            }
        }
    }
}

/// A body that is being read.
#[derive(Debug)]
pub(super) struct Upload {
    /// The sweep after which it began.
    started: u64,
    pub(super) received: Cell<usize>,
    /// `received` at the last sweep and at the one before.
    marks: Cell<[usize; 2]>,
    /// The sweep of the last check for progress, and `received` at that time.
    checked: Cell<(u64, usize)>,
    /// Why it was ended, if it was.
    pub(super) ended: Cell<Option<BodyError>>,
    pub(super) wakeup: Notify,
}

impl Upload {
    fn pace(&self, now: u64) -> Pace {
        Pace {
            age: now - self.started,
            recent: self.received.get() - self.marks.get()[1],
        }
    }

    /// Notes a sweep; returns true if the upload made too little progress until it.
    fn is_stalled(&self, now: u64) -> bool {
        let received = self.received.get();
        self.marks.set([received, self.marks.get()[0]]);
        let (checked_at, checked) = self.checked.get();
        if now - checked_at < STALL_SWEEPS {
            return false;
        }
        self.checked.set((now, received));
        received - checked < MIN_PROGRESS_BYTES
    }

    fn end(&self, err: BodyError) {
        self.ended.set(Some(err));
        self.wakeup.notify_one();
    }
}

/// Age of an upload in sweeps, and the bytes of its last two.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Pace {
    pub(super) age: u64,
    pub(super) recent: usize,
}

/// Returns the upload to close in favor of one with the pace `own`: the slowest of those that make
/// next to no progress, unless `own` is slower still.
pub(super) fn slowest<K>(own: Pace, others: impl Iterator<Item = (K, Pace)>) -> Option<K> {
    let is_new = own.age < MIN_AGE_SWEEPS;
    others
        .filter(|(_, pace)| {
            pace.age >= MIN_AGE_SWEEPS
                && pace.recent < PROGRESSING_BYTES
                && (is_new || pace.recent < own.recent)
        })
        .min_by_key(|(_, pace)| (pace.recent, std::cmp::Reverse(pace.age)))
        .map(|(key, _)| key)
}

/// An upload and its bytes, which are given back on drop.
#[derive(Debug)]
pub(super) struct UploadGuard {
    key: DefaultKey,
    pub(super) upload: Rc<Upload>,
    pub(super) bytes: ByteGuard,
}

impl UploadGuard {
    /// Acquires more bytes, and closes slower uploads for them if there are too few.
    pub(super) async fn acquire(&mut self, more: usize) -> Result<(), BodyError> {
        let budget = Rc::clone(&self.bytes.budget);
        while !self.bytes.try_grow(more) {
            let slowest = {
                let uploads = budget.uploads.borrow();
                let others = uploads
                    .iter()
                    .filter(|(key, other)| *key != self.key && other.ended.get().is_none())
                    .map(|(key, other)| (key, other.pace(budget.sweeps.get())));
                let own = self.upload.pace(budget.sweeps.get());
                slowest(own, others).map(|key| Rc::clone(&uploads[key]))
            };
            let Some(slowest) = slowest else {
                budget.record(Refusal::BodyBudget);
                return Err(BodyError::Budget);
            };
            slowest.end(BodyError::Budget);
            budget.record(Refusal::SlowBody);
            let released = timeout(RELEASE_TIMEOUT.duration(), budget.released.notified()).await;
            if let Some(err) = self.upload.ended.get() {
                return Err(err);
            }
            if released.is_err() {
                budget.record(Refusal::BodyBudget);
                return Err(BodyError::Budget);
            }
        }
        Ok(())
    }
}

impl Drop for UploadGuard {
    fn drop(&mut self) {
        let budget = &self.bytes.budget;
        budget.uploads.borrow_mut().remove(self.key);
    }
}
