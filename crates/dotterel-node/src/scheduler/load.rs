//! Reading back what earlier terms kept.

use compact_str::CompactString;
use dotterel_cell::JobId;
use dotterel_cell::record::{JobRow, Progress, decode};
use dotterel_kernel::Millis;

use super::Scheduler;
use crate::platform::{Platform, Row, Table};

/// Rows of one answer; the store gives no more.
const PAGE: u32 = 500;
/// Pause after a read that failed.
const PAUSE: Millis = Millis(100);

impl<P: Platform> Scheduler<P> {
    /// Reads jobs and their progress, for as long as it takes.
    pub(super) async fn load(&self) {
        let began = self.clock.now();
        self.load_vms().await;
        let progress = self.read_table(Table::Progress).await;
        let jobs = self.read_table(Table::Jobs).await;
        let now = self.clock.now();
        let mut cell = self.cell.borrow_mut();
        let mut ended = 0;
        for row in &jobs {
            let record = decode::<JobRow>(&row.value);
            let (Ok(id), Some(record)) = (row.key.parse::<JobId>(), record) else {
                log::error!(key = row.key.as_str(), table = "jobs"; "row not readable");
                continue;
            };
            let record = match record {
                JobRow::Open(record) => *record,
                JobRow::Ended(end) => {
                    ended += 1;
                    cell.inherit_end(id, &end, now);
                    continue;
                }
            };
            let at = progress.binary_search_by(|other| other.key.cmp(&row.key));
            let written = at.ok().map(|at| &progress[at].value);
            let progress = written.and_then(|value| decode::<Progress>(value));
            if written.is_some() && progress.is_none() {
                log::error!(key = row.key.as_str(), table = "progress"; "row not readable");
            }
            cell.inherit(id, record, progress.as_ref(), now);
        }
        log::info!(
            cell = self.no.0, jobs = jobs.len(), progress = progress.len(), ended,
            took_ms = now.since(began).0; "cell read back");
    }

    async fn read_table(&self, table: Table) -> Vec<Row> {
        let part = self.no.part();
        let mut rows: Vec<Row> = Vec::new();
        let mut from = CompactString::default();
        loop {
            match self.platform.scan(table, &part, &from, PAGE).await {
                Ok(page) => {
                    rows.extend(page.rows);
                    if !page.more {
                        return rows;
                    }
                    if let Some(last) = rows.last() {
                        // The next key after the last one.
                        from = compact_str::format_compact!("{}\0", last.key);
                    }
                }
                Err(fault) => {
                    log::warn!(cell = self.no.0, fault:? = fault; "cell not read back yet");
                    tokio::time::sleep(PAUSE.duration()).await;
                }
            }
        }
    }
}
