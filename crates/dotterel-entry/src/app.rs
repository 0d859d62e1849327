//! State that all parts of a node share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use dotterel_coord::claims::Claims;
use dotterel_coord::feed::Feed;
use dotterel_coord::jobs::Jobs;
use dotterel_coord::journal::{Journal, Reader};
use dotterel_coord::retry::RetryBudget;
use dotterel_kernel::{Clock, DataCentre, Incarnation, NodeId, Region};
use dotterel_mesh::Mesh;
use tokio::sync::Semaphore;

use crate::adapters::Adapters;
use crate::jobs::Holds;
use crate::messages::Messages;
use crate::metrics::Metrics;
use crate::ownership::VmListCache;
use crate::peers::Peers;
use crate::requests::{ReceivedTasks, RecentBodies};
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::workers::Workers;

/// The shared state of a node.
pub struct App {
    /// The settings.
    pub settings: Settings,
    /// The node's clock.
    pub clock: Clock,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The VMs that the node owns.
    pub workers: Workers,
    /// The documents in force.
    pub feed: Feed,
    /// The journal of the node's requests.
    pub journal: Journal,
    /// Reads the shipped journals of all nodes.
    pub journal_reader: Reader,
    /// The claims of unrepeatable requests.
    pub claims: Claims,
    /// The connections to other nodes.
    pub mesh: Mesh<Messages>,
    /// The state of other nodes.
    pub peers: Arc<Peers>,
    /// The adapters of listed VMs.
    pub adapters: Adapters,
    /// The platform's VM list as last read.
    pub vm_list: VmListCache,
    /// Tasks that other nodes forwarded to this one.
    pub received_tasks: ReceivedTasks,
    /// The durable jobs.
    pub jobs: Jobs,
    /// Capacity held for tasks of jobs.
    pub holds: Holds,
    /// Digests of recent bodies, to detect duplicates.
    pub recent_bodies: RecentBodies,
    /// The retry budget.
    pub retry_budget: Mutex<RetryBudget>,
    /// The node's metrics.
    pub metrics: Metrics,
    /// Traffic counters of calls to workers and to the platform.
    pub traffic: Traffic,
    /// Limits the requests in flight.
    pub limiter: Arc<RequestLimiter>,
    /// Whether the node is stopping.
    pub stopping: SharedFlag,
    /// Whether the last read of the platform's VM list succeeded.
    pub platform_reachable: SharedFlag,
}

impl App {
    /// Returns the node's name.
    #[must_use]
    pub const fn node(&self) -> &NodeId {
        &self.settings.node
    }

    /// Returns the region of a data centre, or `None` if it is not known.
    #[must_use]
    pub fn region_of(&self, data_centre: &DataCentre) -> Option<Region> {
        if *data_centre == self.settings.data_centre {
            return Some(self.settings.region.clone());
        }
        let listing = self.vm_list.listing();
        let mut vms = listing.vms.iter();
        vms.find(|vm| vm.data_centre == *data_centre)
            .map(|vm| vm.region.clone())
    }

    /// Returns true if the node accepts requests: it isn't stopping and has read the documents.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stopping.get() && (self.feed.is_loaded() || !self.feed.revisions().is_empty())
    }
}

/// A flag that tasks share.
#[derive(Debug, Default)]
pub struct SharedFlag(AtomicBool);

impl SharedFlag {
    /// Sets the flag.
    pub fn set(&self, value: bool) {
        self.0.store(value, Ordering::Release);
    }

    /// Returns the value of the flag.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Limits the number of requests in flight, and allows waiting for their end.
#[derive(Debug)]
pub struct RequestLimiter {
    semaphore: Arc<Semaphore>,
    count: u32,
}

/// A permit of a [`RequestLimiter`], released on drop.
#[derive(Debug)]
pub struct RequestPermit(
    #[expect(dead_code, reason = "held for its drop")] tokio::sync::OwnedSemaphorePermit,
);

impl RequestLimiter {
    /// Returns a limiter with `count` permits.
    #[must_use]
    pub fn new(count: u32) -> Self {
        Self {
            semaphore: Arc::new(Semaphore::new(count as usize)),
            count,
        }
    }

    /// Acquires a permit, if one is available.
    #[must_use]
    pub fn try_acquire(&self) -> Option<RequestPermit> {
        self.semaphore
            .clone()
            .try_acquire_owned()
            .ok()
            .map(RequestPermit)
    }

    /// Returns the number of acquired permits.
    #[must_use]
    pub fn acquired(&self) -> usize {
        (self.count as usize).saturating_sub(self.semaphore.available_permits())
    }

    /// Waits until no request is in flight.
    pub async fn wait_idle(&self) {
        // The semaphore is never closed, so this returns only once all permits are available.
        drop(self.semaphore.acquire_many(self.count).await);
    }
}
