//! The rows in which the progress of a job is stored.
//!
//! The first row holds which tasks are done, and what has happened to the others: failed runs, saved states,
//! lost runs. If that is longer than a row may be, the history of later tasks goes into further rows, the pages.
//! A page holds the tasks from its start to that of the next page, so a task stays in its page until that is
//! divided, and each row can be written by itself. A new page is written before the row that its tasks leave:
//! in between they are in both, and the later page counts.

use std::hash::{DefaultHasher, Hash, Hasher};

use super::{Job, ProgressDetail};
use crate::record::{MAX_ROW_BYTES, PageStart, Progress, encode};

/// A row of a job's progress beyond the first one.
#[derive(Clone, Copy, Debug)]
pub struct ProgressPage {
    /// Its first task.
    pub start: PageStart,
    /// Hash of what was written last; `None` if that isn't known.
    written: Option<u64>,
}

/// A row of a job's progress that has to be written.
#[derive(Clone, Debug)]
pub struct ProgressRow {
    /// Start of the page; `None` for the first row.
    pub page: Option<PageStart>,
    /// The encoded content.
    pub bytes: Vec<u8>,
}

impl Job {
    /// Returns the rows that have changed, in the order in which they have to be written, and whether saved
    /// states were left out. The first row is always among them, as the last.
    pub fn changed_progress(&mut self) -> (Vec<ProgressRow>, bool) {
        if self.pages.is_empty() {
            let bytes = encode(&self.progress(ProgressDetail::Full));
            if bytes.len() <= MAX_ROW_BYTES {
                return (vec![ProgressRow { page: None, bytes }], false);
            }
        }
        let mut first = self.progress(ProgressDetail::WithoutRunning);
        let mut rows = Vec::new();
        for page in self.pages.iter().rev() {
            let part = first.split_off(page.start);
            divide(Some(page.start), part, &mut rows);
        }
        divide(None, first, &mut rows);
        for start in rows.iter().filter_map(|row| row.page) {
            if let Err(at) = self.page_index(start) {
                let page = ProgressPage {
                    start,
                    written: None,
                };
                self.pages.insert(at, page);
            }
        }
        rows.retain(|row| !self.is_written(row));
        (rows, true)
    }

    /// Records that a row is about to be written.
    pub fn note_written(&mut self, row: &ProgressRow) {
        self.has_progress_row = true;
        if let Some(at) = row.page.and_then(|start| self.page_index(start).ok()) {
            self.pages[at].written = Some(hash(&row.bytes));
        }
    }

    /// Records that rows which were about to be written may not have been.
    pub fn forget_written(&mut self) {
        for page in &mut self.pages {
            page.written = None;
        }
    }

    /// Records the pages that an earlier term has written.
    pub fn restore_pages(&mut self, mut starts: Vec<PageStart>) {
        starts.sort_unstable();
        let pages = starts.into_iter().map(|start| ProgressPage {
            start,
            written: None,
        });
        self.pages = pages.collect();
        self.has_progress_row |= !self.pages.is_empty();
    }

    fn is_written(&self, row: &ProgressRow) -> bool {
        let known = row.page.and_then(|start| self.page_index(start).ok());
        known.is_some_and(|at| self.pages[at].written == Some(hash(&row.bytes)))
    }

    fn page_index(&self, start: PageStart) -> Result<usize, usize> {
        self.pages.binary_search_by_key(&start, |page| page.start)
    }
}

/// Encodes a part of a job's progress in as many rows as it takes, the last one first.
fn divide(page: Option<PageStart>, mut part: Progress, rows: &mut Vec<ProgressRow>) {
    let bytes = encode(&part);
    if bytes.len() > MAX_ROW_BYTES
        && let Some(middle) = part.middle()
    {
        let rest = part.split_off(middle);
        divide(Some(middle), rest, rows);
        divide(page, part, rows);
    } else {
        rows.push(ProgressRow { page, bytes });
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    bytes.hash(&mut hasher);
    hasher.finish()
}
