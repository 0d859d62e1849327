//! Heartbeats, and what they set off.

use std::net::SocketAddr;
use std::sync::Arc;

use dotterel_coord::{Heard, Heartbeat};
use dotterel_kernel::{Millis, NodeId, Revision, Service};
use dotterel_mesh::Peer;
use dotterel_platform::Role;
use xxhash_rust::xxh3::Xxh3;

use crate::app::App;
use crate::messages::{Beat, Call, Reply};

/// The time between two heartbeats to nodes of the same data centre.
const BEAT: Millis = Millis(400);

/// Every so many of them go to nodes of other data centres as well.
const FAR_BEATS: u64 = 3;

const BEAT_TIMEOUT: Millis = Millis(1_000);
const PULL_TIMEOUT: Millis = Millis(2_000);

/// Sends heartbeats to all peers until the future is dropped.
pub async fn beat(app: Arc<App>) {
    for count in 0_u64.. {
        announce(&app, count.is_multiple_of(FAR_BEATS));
        tokio::time::sleep(BEAT.duration()).await;
    }
}

/// Sends one heartbeat to every connected peer, or only to those of the same data centre.
pub(crate) fn announce(app: &Arc<App>, far: bool) {
    let now = app.clock.now();
    let own = own(app, now);
    app.peers.tick(own.clone(), now);
    app.workers.hear_health(app.peers.health(now));
    app.mesh.set_peers(contacts(app));
    let documents = digest(&own.documents);
    let heartbeat = Heartbeat {
        documents: Vec::new(),
        ..own
    };
    let beat = Beat {
        heartbeat,
        documents,
        largest: app.workers.largest(),
        health: app.workers.health(),
    };
    for link in app.mesh.status() {
        if link.connected && (far || app.peers.near(&link.peer.node)) {
            tokio::spawn(send(app.clone(), link.peer.node, beat.clone()));
        }
    }
}

async fn send(app: Arc<App>, node: NodeId, beat: Beat) {
    let sent = app.mesh.call(&node, &Call::Beat(beat), BEAT_TIMEOUT).await;
    match sent {
        // A fresh node need not wait until the peer's heartbeats find their way to it.
        Ok(_) if app.feed.revisions().is_empty() => pull(app, node).await,
        Ok(_) => {}
        Err(fault) => {
            log::debug!(peer = node.as_str(), fault:% = fault; "heartbeat not answered");
        }
    }
}

/// Returns a hash of the revisions in force.
fn digest(revisions: &[(Service, Revision)]) -> u64 {
    let mut hash = Xxh3::new();
    for (service, revision) in revisions {
        hash.update(service.as_str().as_bytes());
        hash.update(&revision.0.to_be_bytes());
    }
    hash.digest()
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

/// Takes in a heartbeat; asks for the sender's revisions when they have changed.
pub(crate) fn hear(app: &Arc<App>, from: NodeId, beat: Beat) {
    app.peers.note(&from, beat.largest, beat.health);
    let mut heartbeat = beat.heartbeat;
    let known = app.peers.documents(&from);
    let changed = digest(&known) != beat.documents;
    heartbeat.documents = known;
    let met = app.peers.met(&from);
    match app.peers.hear(heartbeat.clone(), app.clock.now()) {
        Heard::Joined => {
            log::info!(peer = from.as_str(); "peer joined");
            if met {
                // Packets of a connection to its last life would vanish until that times out.
                app.mesh.reconnect(&from);
            }
        }
        Heard::Superseded => {
            log::error!(peer = from.as_str(); "another process uses this node's name");
        }
        Heard::Newer | Heard::Stale => {}
    }
    if changed {
        tokio::spawn(compare(app.clone(), from, heartbeat));
    }
}

/// Notes the revisions in force on a peer and fetches the documents that it has newer.
async fn compare(app: Arc<App>, from: NodeId, mut heartbeat: Heartbeat) {
    let reply = app.mesh.call(&from, &Call::Revisions, PULL_TIMEOUT).await;
    let Ok(Reply::Revisions(revisions)) = reply else {
        return;
    };
    let own = app.feed.revisions();
    let newer = revisions.iter().any(|(service, revision)| {
        let known = own.binary_search_by(|(name, _)| name.cmp(service));
        known.map_or(true, |index| own[index].1 < *revision)
    });
    heartbeat.documents = revisions;
    app.peers.hear(heartbeat, app.clock.now());
    if newer {
        pull(app, from).await;
    }
}

/// Fetches the documents that a peer has newer.
async fn pull(app: Arc<App>, from: NodeId) {
    let call = Call::Documents(app.feed.revisions());
    if let Ok(Reply::Documents(newer)) = app.mesh.call(&from, &call, PULL_TIMEOUT).await {
        for passed in newer {
            app.feed
                .offer(&passed.service, passed.revision, &passed.text);
        }
    }
}
