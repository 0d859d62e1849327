//! Heartbeats, and what they set off.

use std::net::SocketAddr;
use std::sync::Arc;

use dotterel_coord::{Heard, Heartbeat};
use dotterel_kernel::{Millis, NodeId};
use dotterel_mesh::Peer;
use dotterel_platform::Role;

use crate::app::App;
use crate::messages::{Call, Reply};

const BEAT: Millis = Millis(250);
const BEAT_TIMEOUT: Millis = Millis(1_000);
const PULL_TIMEOUT: Millis = Millis(2_000);

/// Sends heartbeats to all peers until the future is dropped.
pub async fn beat(app: Arc<App>) {
    loop {
        announce(&app);
        tokio::time::sleep(BEAT.duration()).await;
    }
}

/// Sends one heartbeat to every connected peer.
pub(crate) fn announce(app: &Arc<App>) {
    let now = app.clock.now();
    let own = own(app, now);
    app.peers.tick(own.clone(), now);
    app.mesh.set_peers(contacts(app));
    for link in app.mesh.status() {
        if link.connected {
            tokio::spawn(send(app.clone(), link.peer.node, own.clone()));
        }
    }
}

async fn send(app: Arc<App>, node: NodeId, own: Heartbeat) {
    let sent = app.mesh.call(&node, &Call::Beat(own), BEAT_TIMEOUT).await;
    if let Err(fault) = sent {
        log::debug!(peer = node.as_str(), fault:% = fault; "heartbeat not answered");
    }
}

fn own(app: &App, now: Millis) -> Heartbeat {
    let settings = &app.settings;
    let addr = settings.mesh.advertise.unwrap_or(app.mesh.addr());
    Heartbeat {
        node: settings.node.clone(),
        incarnation: app.incarnation,
        data_centre: settings.data_centre.clone(),
        region: settings.region.clone(),
        addr: compact_str::format_compact!("{addr}"),
        at: now,
        stopping: app.stopping.get(),
        spare: app.workers.spare(),
        documents: app.feed.revisions(),
    }
}

/// Returns all nodes to keep links to: heard ones first, then listed ones, then those in the
/// settings; the first address of a node counts.
fn contacts(app: &App) -> Vec<Peer> {
    let heard = app.peers.heard();
    let heard = heard.iter().filter_map(|peer| {
        let addr: SocketAddr = peer.addr.parse().ok()?;
        Some(Peer {
            node: peer.node.clone(),
            addr,
        })
    });
    let listing = app.listed.listing();
    let listed = listing.vms.iter().filter(|vm| vm.role == Role::Entry);
    let listed = listed.filter_map(|vm| {
        let addr: SocketAddr = vm.addr.parse().ok()?;
        Some(Peer {
            node: NodeId(vm.id.clone()),
            addr,
        })
    });
    let settled = app.settings.mesh.peers.iter().cloned();
    let mut contacts: Vec<Peer> = Vec::new();
    for peer in heard.chain(listed).chain(settled) {
        if contacts.iter().all(|known| known.node != peer.node) {
            contacts.push(peer);
        }
    }
    contacts
}

/// Takes in a heartbeat and fetches the documents that the sender has newer.
pub(crate) fn hear(app: &Arc<App>, from: NodeId, heartbeat: Heartbeat) {
    let own = app.feed.revisions();
    let newer = heartbeat.documents.iter().any(|(service, revision)| {
        let known = own.binary_search_by(|(name, _)| name.cmp(service));
        known.map_or(true, |index| own[index].1 < *revision)
    });
    let heard = app.peers.hear(heartbeat, app.clock.now());
    match heard {
        Heard::Joined => log::info!(peer = from.as_str(); "peer joined"),
        Heard::Superseded => {
            log::error!(peer = from.as_str(); "another process uses this node's name");
        }
        Heard::Newer | Heard::Stale => {}
    }
    if newer {
        tokio::spawn(pull(app.clone(), from));
    }
}

/// Fetches the documents that a peer has newer.
pub async fn pull(app: Arc<App>, from: NodeId) {
    let call = Call::Documents(app.feed.revisions());
    if let Ok(Reply::Documents(newer)) = app.mesh.call(&from, &call, PULL_TIMEOUT).await {
        for passed in newer {
            app.feed
                .offer(&passed.service, passed.revision, &passed.text);
        }
    }
}
