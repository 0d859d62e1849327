//! The teams' quotas, as this node may use them.
//!
//! A team's quota is split over the nodes in proportion to the workers that they own, each piece
//! rounded up to whole tasks, so that what is held can exceed a quota by less than one task for
//! each node.

use std::sync::Arc;

use dotterel_kernel::{Millis, Size};
use dotterel_platform::Role;

use crate::app::App;
use crate::workers::Piece;

const PERIOD: Millis = Millis(500);

/// Sets the allotments again and again until the future is dropped.
pub async fn run(app: Arc<App>) {
    loop {
        allot(&app);
        tokio::time::sleep(PERIOD.duration()).await;
    }
}

fn allot(app: &App) {
    let listing = app.vm_list.listing();
    let listed = listing.vms.iter().filter(|vm| vm.role == Role::Worker);
    let owned = app.workers.owned() as u64;
    let all = (listed.count() as u64).max(owned).max(1);
    let documents = app.feed.watch().borrow().clone();
    let pieces = documents.iter().map(|accepted| Piece {
        service: accepted.service.clone(),
        team: accepted.document.team.clone(),
        limit: accepted
            .document
            .quota
            .map(|quota| part_of(&quota, owned, all)),
    });
    app.workers.allot(&pieces.collect::<Vec<_>>());
}

fn part_of(quota: &Size, owned: u64, all: u64) -> Size {
    let part = |whole: u32| {
        let part = (u64::from(whole) * owned).div_ceil(all);
        u32::try_from(part).unwrap_or(u32::MAX)
    };
    Size {
        milli_cores: part(quota.milli_cores),
        memory_mb: part(quota.memory_mb),
        accelerators: part(quota.accelerators),
        slots: part(quota.slots),
        connections: part(quota.connections),
    }
}
