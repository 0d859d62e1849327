//! A way for datagrams to one node, which can be cut for chosen senders.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

const DATAGRAM_BYTES: usize = 65_536;

/// Passes datagrams to a node and its answers back; dropping it closes the way.
pub(crate) struct Relay {
    pub(crate) addr: SocketAddr,
    routes: Arc<Mutex<Routes>>,
    task: JoinHandle<()>,
}

struct Routes {
    target: SocketAddr,
    cut: HashSet<IpAddr>,
}

impl Relay {
    pub(crate) async fn start(target: SocketAddr) -> Self {
        let socket = bind().await;
        let addr = socket.local_addr().expect("the socket is bound");
        let cut = HashSet::new();
        let routes = Arc::new(Mutex::new(Routes { target, cut }));
        let task = tokio::spawn(pass(Arc::new(socket), routes.clone()));
        Self { addr, routes, task }
    }

    /// Passes datagrams to another address from now on.
    pub(crate) fn redirect(&self, target: SocketAddr) {
        self.routes.lock().expect("no user panics").target = target;
    }

    /// Drops all datagrams from and to nodes at these addresses; an empty list heals every cut.
    pub(crate) fn cut(&self, senders: HashSet<IpAddr>) {
        self.routes.lock().expect("no user panics").cut = senders;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn bind() -> UdpSocket {
    let any = (Ipv4Addr::LOCALHOST, 0);
    UdpSocket::bind(any).await.expect("loopback has free ports")
}

/// Gives every sender a socket of its own, so that answers find their way back.
async fn pass(front: Arc<UdpSocket>, routes: Arc<Mutex<Routes>>) {
    let mut flows: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    let mut backs = tokio::task::JoinSet::new();
    let mut buffer = vec![0; DATAGRAM_BYTES];
    loop {
        let Ok((size, sender)) = front.recv_from(&mut buffer).await else {
            continue;
        };
        let Some(target) = open(&routes, sender) else {
            continue;
        };
        let back = match flows.entry(sender) {
            Entry::Occupied(known) => known.get().clone(),
            Entry::Vacant(free) => {
                let back = free.insert(Arc::new(bind().await)).clone();
                backs.spawn(answer(front.clone(), back.clone(), sender, routes.clone()));
                back
            }
        };
        // A lost datagram is sent again by its sender.
        let _ = back.send_to(&buffer[..size], target).await;
    }
}

async fn answer(
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
        if open(&routes, sender).is_some() {
            let _ = front.send_to(&buffer[..size], sender).await;
        }
    }
}

fn open(routes: &Mutex<Routes>, sender: SocketAddr) -> Option<SocketAddr> {
    let routes = routes.lock().expect("no user panics");
    (!routes.cut.contains(&sender.ip())).then_some(routes.target)
}
