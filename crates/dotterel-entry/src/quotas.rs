//! This node's shares of the teams' quotas.
//!
//! A team's quota is split over the nodes in proportion to the workers that they own. Each share is
//! rounded up to whole tasks, so a team may exceed its quota by less than one task per node.

use std::sync::Arc;

use dotterel_kernel::{Millis, Size};
use dotterel_platform::Role;

use crate::app::App;
use crate::workers::QuotaShare;

const UPDATE_INTERVAL: Millis = Millis(500);

/// Updates the shares periodically until the future is dropped.
pub async fn run(app: Arc<App>) {
    loop {
        update_shares(&app);
        tokio::time::sleep(UPDATE_INTERVAL.duration()).await;
    }
}

fn update_shares(app: &App) {
    let listing = app.vm_list.listing();
    let listed = listing.vms.iter().filter(|vm| vm.role == Role::Worker);
    let owned = app.workers.owned_count() as u64;
    let total_workers = (listed.count() as u64).max(owned).max(1);
    let documents = app.feed.watch().borrow().clone();
    let shares = documents.iter().map(|accepted| QuotaShare {
        service: accepted.service.clone(),
        team: accepted.document.team.clone(),
        limit: accepted
            .document
            .quota
            .map(|quota| share_of(&quota, owned, total_workers)),
    });
    app.workers.set_quota_shares(&shares.collect::<Vec<_>>());
}

fn share_of(quota: &Size, owned: u64, total_workers: u64) -> Size {
    let share = |total: u32| {
        let share = (u64::from(total) * owned).div_ceil(total_workers);
        u32::try_from(share).unwrap_or(u32::MAX)
    };
    Size {
        milli_cores: share(quota.milli_cores),
        memory_mb: share(quota.memory_mb),
        accelerators: share(quota.accelerators),
        slots: share(quota.slots),
        connections: share(quota.connections),
    }
}
