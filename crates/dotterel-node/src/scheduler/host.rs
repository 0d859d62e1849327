//! Starts the role on this node and lets fronts in.

use std::cell::{Cell as StdCell, RefCell};
use std::rc::Rc;

use dotterel_cell::Cell;
use dotterel_kernel::{Clock, Millis};
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::time::timeout;

use super::{Scheduler, Takeover};
use crate::link::{self, CellNo, Down, Up};
use crate::metrics::Metrics;
use crate::platform::Platform;
use crate::settings::Settings;

/// Time for a front to say which cell it wants.
const HELLO_TIMEOUT: Millis = Millis(1000);
/// Time for a release to reach the store when the node stops.
const RELEASE_TIMEOUT: Millis = Millis(1500);
/// Slack for the clocks of VMs and for orders on their way, beyond the lease.
const LEASE_SLACK: Millis = Millis(500);
/// Holds the roles of this node.
pub struct Host<P> {
    platform: Rc<P>,
    settings: Rc<Settings>,
    metrics: Rc<Metrics>,
    clock: Clock,
    roles: RefCell<Vec<Rc<Scheduler<P>>>>,
}

impl<P: Platform> Host<P> {
    /// Returns a host without roles.
    #[must_use]
    pub fn new(
        platform: Rc<P>,
        settings: Rc<Settings>,
        metrics: Rc<Metrics>,
        clock: Clock,
    ) -> Self {
        Self {
            platform,
            settings,
            metrics,
            clock,
            roles: RefCell::default(),
        }
    }

    /// Returns true when this node holds a role.
    #[must_use]
    pub fn holds_any(&self) -> bool {
        !self.roles.borrow().is_empty()
    }

    /// Returns true when this node holds the role of a cell.
    #[must_use]
    pub fn holds(&self, cell: CellNo) -> bool {
        self.roles.borrow().iter().any(|role| role.no == cell)
    }

    /// Begins a term of a role.
    pub fn begin(self: Rc<Self>, takeover: Takeover) {
        for role in self.roles.borrow().iter() {
            if role.no == takeover.cell {
                role.end("taken anew by this node");
            }
        }
        let now = self.clock.now();
        let lease = self.settings.limits.lease_ttl + LEASE_SLACK;
        let term = takeover.owner.term;
        let cell = Cell::new(self.settings.limits, term, now, now + lease);
        let scheduler = Rc::new(Scheduler {
            platform: Rc::clone(&self.platform),
            settings: Rc::clone(&self.settings),
            metrics: Rc::clone(&self.metrics),
            clock: self.clock,
            no: takeover.cell,
            term,
            fence: takeover.fence,
            before: takeover.before,
            owner: takeover.owner,
            fences: RefCell::default(),
            cell: RefCell::new(cell),
            waiters: RefCell::default(),
            peers: RefCell::default(),
            next: StdCell::new(0),
            calls: RefCell::default(),
            lines: RefCell::default(),
            plan: Notify::new(),
            write: Notify::new(),
            busy: RefCell::default(),
            took: StdCell::new(Millis::ZERO),
            began: now,
            largest: StdCell::new(self.settings.milli_cores),
            renewed: StdCell::new(now),
            away: StdCell::new(None),
            unsure: StdCell::new(None),
            releasing: StdCell::new(false),
            over: watch::Sender::new(false),
        });
        tokio::task::spawn_local(async move {
            let mut over = scheduler.over.subscribe();
            let loaded = tokio::select! {
                loaded = scheduler.load() => loaded,
                _ = over.wait_for(|over| *over) => false,
            };
            if !loaded {
                return;
            }
            self.roles.borrow_mut().push(Rc::clone(&scheduler));
            Rc::clone(&scheduler).run().await;
            self.roles
                .borrow_mut()
                .retain(|role| !Rc::ptr_eq(role, &scheduler));
        });
    }

    /// Lets fronts in.
    pub async fn listen(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                tokio::time::sleep(Millis(20).duration()).await;
                continue;
            };
            let host = Rc::clone(&self);
            tokio::task::spawn_local(async move { host.admit(stream).await });
        }
    }

    async fn admit(&self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        let (from, mut to) = stream.into_split();
        let mut from = BufReader::new(from);
        let hello = timeout(HELLO_TIMEOUT.duration(), link::read::<Up, _>(&mut from)).await;
        let Ok(Ok(Up::Hello {
            node,
            cell,
            milli_cores,
        })) = hello
        else {
            return;
        };
        let (down, mut queue) = mpsc::channel(link::QUEUE);
        match self.role(cell).await {
            Some(role) => {
                let welcome = Down::Welcome { fence: role.fence };
                if down.try_send(welcome).is_ok() {
                    tokio::task::spawn_local(async move {
                        // The reader sees the end of the connection.
                        let _ = link::write_queue(&mut to, &mut queue).await;
                        let _ = to.shutdown().await;
                    });
                    role.serve_peer(node, milli_cores, from, down).await;
                }
            }
            None => {
                // The queue is empty and its capacity is above one, so this takes the message.
                let _ = down.try_send(Down::NotHolder);
                drop(down);
                let _ = link::write_queue(&mut to, &mut queue).await;
            }
        }
    }

    /// Returns the role of a cell, which may be about to begin.
    async fn role(&self, cell: CellNo) -> Option<Rc<Scheduler<P>>> {
        const TRIES: u32 = 10;
        const PAUSE: Millis = Millis(60);
        for attempt in 0..TRIES {
            let role = self
                .roles
                .borrow()
                .iter()
                .find(|role| role.no == cell && !role.releasing.get())
                .cloned();
            if role.is_some() || attempt + 1 == TRIES {
                return role;
            }
            tokio::time::sleep(PAUSE.duration()).await;
        }
        None
    }

    /// Gives all roles back, so that successors need not wait.
    pub async fn release(&self) {
        let roles = self.roles.borrow().clone();
        for role in roles {
            role.releasing.set(true);
            role.write.notify_one();
            let mut over = role.over.subscribe();
            let wait = over.wait_for(|over| *over);
            if timeout(RELEASE_TIMEOUT.duration(), wait).await.is_err() {
                role.end("stopping, and the store doesn't answer");
            }
        }
    }
}
