//! What all parts of a node share.

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
use crate::ownership::Listed;
use crate::peers::Peers;
use crate::requests::{Bodies, Recall};
use crate::settings::Settings;
use crate::traffic::Traffic;
use crate::workers::Workers;

/// The parts of one node.
pub struct App {
    /// The settings.
    pub settings: Settings,
    /// The node's clock.
    pub clock: Clock,
    /// The node's life.
    pub incarnation: Incarnation,
    /// The VMs that the node owns.
    pub workers: Workers,
    /// The documents in force.
    pub feed: Feed,
    /// The journal of the node's requests.
    pub journal: Journal,
    /// The shipped journals of all nodes.
    pub reader: Reader,
    /// The claims of unrepeatable requests.
    pub claims: Claims,
    /// The links to other nodes.
    pub mesh: Mesh<Messages>,
    /// What is known of other nodes.
    pub peers: Arc<Peers>,
    /// The adapters of listed VMs.
    pub adapters: Adapters,
    /// The platform's list as it was read last.
    pub listed: Listed,
    /// Tasks that other nodes forwarded to this one.
    pub recall: Recall,
    /// The durable jobs.
    pub jobs: Jobs,
    /// Capacity set apart for tasks of jobs.
    pub holds: Holds,
    /// Digests of recent bodies, for the flag on duplicates.
    pub bodies: Bodies,
    /// The budget for retries.
    pub budget: Mutex<RetryBudget>,
    /// The counters for operators.
    pub metrics: Metrics,
    /// What calls to workers and to the platform cost.
    pub traffic: Traffic,
    /// Places for requests in flight.
    pub gate: Arc<Gate>,
    /// Whether the node is stopping.
    pub stopping: Flag,
    /// Whether the platform answered last.
    pub platform: Flag,
}

impl App {
    /// Returns the node's name.
    #[must_use]
    pub const fn node(&self) -> &NodeId {
        &self.settings.node
    }

    /// Returns the region of a data centre, as far as it is known.
    #[must_use]
    pub fn region_of(&self, data_centre: &DataCentre) -> Option<Region> {
        if *data_centre == self.settings.data_centre {
            return Some(self.settings.region.clone());
        }
        let listing = self.listed.listing();
        let mut vms = listing.vms.iter();
        vms.find(|vm| vm.data_centre == *data_centre)
            .map(|vm| vm.region.clone())
    }

    /// Returns true when the node takes requests.
    #[must_use]
    pub fn ready(&self) -> bool {
        !self.stopping.get() && (self.feed.is_loaded() || !self.feed.revisions().is_empty())
    }
}

/// A flag that tasks share.
#[derive(Debug, Default)]
pub struct Flag(AtomicBool);

impl Flag {
    /// Sets the flag.
    pub fn set(&self, value: bool) {
        self.0.store(value, Ordering::Release);
    }

    /// Returns the flag.
    #[must_use]
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }
}

/// Places for requests in flight, so that their number is bounded and their end can be awaited.
#[derive(Debug)]
pub struct Gate {
    places: Arc<Semaphore>,
    count: u32,
}

/// A place in a [`Gate`].
#[derive(Debug)]
pub struct Pass(
    #[expect(dead_code, reason = "held for its drop")] tokio::sync::OwnedSemaphorePermit,
);

impl Gate {
    /// Returns a gate with so many places.
    #[must_use]
    pub fn new(count: u32) -> Self {
        Self {
            places: Arc::new(Semaphore::new(count as usize)),
            count,
        }
    }

    /// Takes a place, if one is free.
    #[must_use]
    pub fn enter(&self) -> Option<Pass> {
        self.places.clone().try_acquire_owned().ok().map(Pass)
    }

    /// Returns the number of places taken.
    #[must_use]
    pub fn taken(&self) -> usize {
        (self.count as usize).saturating_sub(self.places.available_permits())
    }

    /// Waits until no place is taken.
    pub async fn idle(&self) {
        // The semaphore is never closed, so this returns only when all places are free.
        drop(self.places.acquire_many(self.count).await);
    }
}
