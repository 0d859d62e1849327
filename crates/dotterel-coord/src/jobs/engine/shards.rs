//! Taking, keeping and giving back shards.

use std::sync::Arc;

use dotterel_kernel::Millis;
use dotterel_platform::Version;

use super::{Engine, Shard};

impl Engine {
    /// Drops shards that another node has taken and takes those that are free.
    pub(super) async fn claim(&mut self, now: Millis) {
        let table = Arc::clone(&self.table);
        let read = self.tenure.read(&*table, &self.config, now).await;
        let (versions, free) = match read {
            Ok(found) => found,
            Err(fault) => return log::warn!(fault:%; "leases of job shards not read"),
        };
        self.shards.retain(|shard| {
            let kept = shard.in_force(versions[shard.index as usize]);
            if !kept {
                log::warn!(shard = shard.index; "job shard taken by another node");
            }
            kept
        });
        for free in free {
            let owned = self.shards.iter().any(|shard| shard.index == free.shard);
            if owned || !self.host.should_own(free.shard) {
                continue;
            }
            if let Some(version) = self.tenure.take(&*table, &self.config, free).await {
                self.load(free.shard, version, now).await;
            }
        }
    }

    async fn load(&mut self, index: u32, lease: Version, now: Millis) {
        match Shard::load(&*self.table, &self.config, index, lease, now).await {
            Ok(shard) => {
                log::info!(shard = index, jobs = shard.jobs.len(); "job shard taken");
                self.shards.push(shard);
            }
            // The next beat finds this node as the holder and loads again.
            Err(fault) => log::warn!(shard = index, fault:%; "job shard not read"),
        }
    }

    pub(super) async fn purge(&self, now: Millis) {
        for shard in &self.shards {
            if let Err(fault) = shard.purge(&*self.table, &self.config, now).await {
                return log::debug!(shard = shard.index, fault:%; "old jobs not purged");
            }
        }
    }

    /// Gives all shards back.
    pub(super) async fn part(&mut self) {
        let table = Arc::clone(&self.table);
        for shard in &mut self.shards {
            let now = self.clock.now();
            let parted = shard.flush(&*table, &self.config, None, now).await;
            log::info!(shard = shard.index, parted:? = parted; "job shard given back");
        }
    }
}
