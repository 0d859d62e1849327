//! Acquiring, keeping and releasing shards.

use std::sync::Arc;

use dotterel_kernel::Millis;
use dotterel_platform::Version;

use super::{Engine, Shard};

impl Engine {
    /// Drops shards that another node has taken over and acquires free ones.
    pub(super) async fn update_shards(&mut self, now: Millis) {
        let table = Arc::clone(&self.table);
        let read = self.shard_leases.read(&*table, &self.config, now).await;
        let (versions, free) = match read {
            Ok(found) => found,
            Err(err) => return log::warn!(fault:% = err; "failed to read job shard leases"),
        };
        self.shards.retain(|shard| {
            let owned = shard.holds_lease(versions[shard.index as usize]);
            if !owned {
                log::warn!(shard = shard.index; "job shard taken over by another node");
            }
            owned
        });
        for free_shard in free {
            let owned = self
                .shards
                .iter()
                .any(|shard| shard.index == free_shard.shard);
            if owned || !self.host.should_own(free_shard.shard) {
                continue;
            }
            if let Some(version) = self
                .shard_leases
                .acquire(&*table, &self.config, free_shard)
                .await
            {
                self.load_shard(free_shard.shard, version, now).await;
            }
        }
    }

    async fn load_shard(&mut self, index: u32, lease: Version, now: Millis) {
        match Shard::load(&*self.table, &self.config, index, lease, now).await {
            Ok(shard) => {
                log::info!(shard = index, jobs = shard.jobs.len(); "job shard acquired");
                self.shards.push(shard);
            }
            // The next renewal finds this node as the holder and loads the shard again.
            Err(err) => log::warn!(shard = index, fault:% = err; "failed to load job shard"),
        }
    }

    pub(super) async fn purge_shards(&self, now: Millis) {
        for shard in &self.shards {
            if let Err(err) = shard.purge(&*self.table, &self.config, now).await {
                return log::debug!(shard = shard.index, fault:% = err; "failed to purge ended jobs");
            }
        }
    }

    /// Releases all shards.
    pub(super) async fn release_shards(&mut self) {
        let table = Arc::clone(&self.table);
        for shard in &mut self.shards {
            let now = self.clock.now();
            let outcome = shard.flush(&*table, &self.config, None, now).await;
            log::info!(shard = shard.index, parted:? = outcome; "job shard released");
        }
    }
}
