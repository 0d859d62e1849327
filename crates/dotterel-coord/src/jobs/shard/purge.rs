//! Deletion of ended jobs after their retention.

use dotterel_kernel::{JobId, Millis};
use dotterel_platform::{CallError, Commit, Row, Table};

use super::write::delete;
use super::{PAGE_ROWS, Shard};
use crate::jobs::Config;
use crate::jobs::record::{Progress, decode, end_prefix, spec_key};
use crate::lease::with_timeout;

impl Shard {
    /// Deletes jobs whose retention has expired, at most as many as fit into one transaction.
    ///
    /// Identifiers sort by time of submission, so the first page holds the oldest jobs.
    pub(in crate::jobs) async fn purge(
        &self,
        table: &dyn Table,
        config: &Config,
        now: Millis,
    ) -> Result<(), CallError> {
        let prefix = end_prefix(self.index);
        let page = with_timeout(config.call_timeout, table.scan(&prefix, "", PAGE_ROWS)).await?;
        let mut writes = Vec::new();
        for row in page {
            if writes.len() + 2 > config.batch_rows {
                break;
            }
            let Some(job) = expired(&prefix, &row, config, now) else {
                continue;
            };
            let key = spec_key(self.index, job);
            if let Some(spec) = with_timeout(config.call_timeout, table.get(&key)).await? {
                writes.push(delete(spec.key, spec.version));
            }
            writes.push(delete(row.key, row.version));
        }
        if writes.is_empty() {
            return Ok(());
        }
        // After a conflict or a lost reply the next purge reads the rows again.
        match with_timeout(config.call_timeout, table.commit(&writes)).await? {
            Commit::Applied(_) => log::debug!(shard = self.index, rows = writes.len(); "purged"),
            Commit::Conflict { key, .. } => log::debug!(key:%; "purge rejected: row has changed"),
        }
        Ok(())
    }
}

fn expired(prefix: &str, row: &Row, config: &Config, now: Millis) -> Option<JobId> {
    let progress: Progress = decode(&row.value)?;
    if now.since(progress.at) < config.retention {
        return None;
    }
    row.key.strip_prefix(prefix)?.parse().ok()
}
