//! A UDP relay in front of a node, which can block chosen senders to simulate a partition.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

const DATAGRAM_BYTES: usize = 65_536;

/// Forwards datagrams to a node and its replies back to the senders; dropping it stops it.
pub(crate) struct Relay {
    pub(crate) addr: SocketAddr,
    routes: Arc<Mutex<Routes>>,
    task: JoinHandle<()>,
}

struct Routes {
    target: SocketAddr,
    blocked: HashSet<IpAddr>,
}

impl Relay {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let socket = bind().await;
        let addr = socket.local_addr().expect("the socket is bound");
        let blocked = HashSet::new();
        let routes = Arc::new(Mutex::new(Routes { target, blocked }));
        let task = tokio::spawn(forward(Arc::new(socket), routes.clone()));
        Self { addr, routes, task }
    }

    /// Changes the address to which datagrams are forwarded.
    pub(crate) fn redirect(&self, target: SocketAddr) {
        self.routes.lock().expect("the lock is not poisoned").target = target;
    }

    /// Drops all datagrams from and to these addresses, and only these; an empty set blocks none.
    pub(crate) fn block(&self, senders: HashSet<IpAddr>) {
        self.routes
            .lock()
            .expect("the lock is not poisoned")
            .blocked = senders;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn bind() -> UdpSocket {
    let any_port = (Ipv4Addr::LOCALHOST, 0);
    UdpSocket::bind(any_port)
        .await
        .expect("loopback has free ports")
}

/// Forwards datagrams over one socket per sender, so that replies can be routed back to it.
async fn forward(front: Arc<UdpSocket>, routes: Arc<Mutex<Routes>>) {
    let mut flows: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut reply_tasks = tokio::task::JoinSet::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((size, sender)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(target) = target_for(&routes, sender) else {
            continue;
        };
        let back = match flows.entry(sender) {
            Entry::Occupied(entry) => entry.get().clone(),
            Entry::Vacant(entry) => {
                let back = entry.insert(Arc::new(bind().await)).clone();
                reply_tasks.spawn(forward_replies(
                    front.clone(),
                    back.clone(),
                    sender,
                    routes.clone(),
                ));
                back
            }
        };
        // Errors are ignored: the sender retransmits lost datagrams.
        let _ = back.send_to(&buffer[..size], target).await;
    }
}

async fn forward_replies(
    front: Arc<UdpSocket>,
    back: Arc<UdpSocket>,
    sender: SocketAddr,
    routes: Arc<Mutex<Routes>>,
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok(size) = back.recv(&mut buffer).await else {
            continue;
        };
        if target_for(&routes, sender).is_some() {
            let _ = front.send_to(&buffer[..size], sender).await;
        }
    }
}

/// Returns the address to forward to, or `None` if the sender is blocked.
fn target_for(routes: &Mutex<Routes>, sender: SocketAddr) -> Option<SocketAddr> {
    let routes = routes.lock().expect("the lock is not poisoned");
    (!routes.blocked.contains(&sender.ip())).then_some(routes.target)
}
