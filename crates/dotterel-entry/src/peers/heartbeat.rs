//! Sends and receives heartbeats, and fetches newer documents from the peers that announce them.

use std::net::SocketAddr;
use std::sync::Arc;

use dotterel_coord::{Heartbeat, HeartbeatOutcome};
use dotterel_kernel::{Millis, NodeId, Revision, Service};
use dotterel_mesh::Peer;
use dotterel_platform::Role;
use xxhash_rust::xxh3::Xxh3;

use crate::app::App;
use crate::messages::{Call, HeartbeatMessage, Reply};

/// The interval between heartbeats to nodes in the same data centre.
const HEARTBEAT_INTERVAL: Millis = Millis(400);

/// One heartbeat in this many also goes to nodes in other data centres.
const REMOTE_HEARTBEAT_EVERY: u64 = 3;

const HEARTBEAT_TIMEOUT: Millis = Millis(1_000);
const FETCH_TIMEOUT: Millis = Millis(2_000);

/// Sends heartbeats to all peers until the future is dropped.
pub async fn send_heartbeats(app: Arc<App>) {
    for count in 0_u64.. {
        broadcast_heartbeat(&app, count.is_multiple_of(REMOTE_HEARTBEAT_EVERY));
        tokio::time::sleep(HEARTBEAT_INTERVAL.duration()).await;
    }
}

/// Sends one heartbeat to every connected peer, or to those in the same data centre only.
///
/// Also updates this node's view of its peers and the peers that the mesh connects to.
pub(crate) fn broadcast_heartbeat(app: &Arc<App>, include_remote: bool) {
    let now = app.clock.now();
    let own = own_heartbeat(app, now);
    app.peers.tick(own.clone(), now);
    app.workers.set_peer_health(app.peers.health(now));
    app.mesh.set_peers(mesh_peers(app));
    let documents = digest(&own.documents);
    let heartbeat = Heartbeat {
        documents: Vec::new(),
        ..own
    };
    let beat = HeartbeatMessage {
        heartbeat,
        documents,
        largest: app.workers.largest(),
        health: app.workers.health(),
    };
    for link in app.mesh.status() {
        if link.connected && (include_remote || app.peers.is_local(&link.peer.node)) {
            tokio::spawn(send(app.clone(), link.peer.node, beat.clone()));
        }
    }
}

async fn send(app: Arc<App>, node: NodeId, beat: HeartbeatMessage) {
    let sent = app
        .mesh
        .call(&node, &Call::Heartbeat(beat), HEARTBEAT_TIMEOUT)
        .await;
    match sent {
        // A new node fetches documents at once instead of waiting for a heartbeat of the peer.
        Ok(_) if app.feed.revisions().is_empty() => fetch_newer(app, node).await,
        Ok(_) => {}
        Err(err) => {
            log::debug!(peer = node.as_str(), fault:% = err; "heartbeat failed");
        }
    }
}

/// Returns a hash of the document revisions in force.
fn digest(revisions: &[(Service, Revision)]) -> u64 {
    let mut hash = Xxh3::new();
    for (service, revision) in revisions {
        hash.update(service.as_str().as_bytes());
        hash.update(&revision.0.to_be_bytes());
    }
    hash.digest()
}

fn own_heartbeat(app: &App, now: Millis) -> Heartbeat {
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

/// Returns the nodes to connect to: those known from heartbeats, from the platform's VM list and
/// from the settings. If the sources name different addresses for a node, the first one wins.
fn mesh_peers(app: &App) -> Vec<Peer> {
    let heartbeats = app.peers.heartbeats();
    let known = heartbeats.iter().filter_map(|peer| {
        let addr: SocketAddr = peer.addr.parse().ok()?;
        Some(Peer {
            node: peer.node.clone(),
            addr,
        })
    });
    let listing = app.vm_list.listing();
    let listed = listing.vms.iter().filter(|vm| vm.role == Role::Entry);
    let listed = listed.filter_map(|vm| {
        let addr: SocketAddr = vm.addr.parse().ok()?;
        Some(Peer {
            node: NodeId(vm.id.clone()),
            addr,
        })
    });
    let configured = app.settings.mesh.peers.iter().cloned();
    let mut peers: Vec<Peer> = Vec::new();
    for peer in known.chain(listed).chain(configured) {
        if peers.iter().all(|other| other.node != peer.node) {
            peers.push(peer);
        }
    }
    peers
}

/// Handles a heartbeat of a peer. Requests the peer's revisions if their hash has changed.
pub(crate) fn on_heartbeat(app: &Arc<App>, from: NodeId, beat: HeartbeatMessage) {
    app.peers
        .record_vm_summary(&from, beat.largest, beat.health);
    let mut heartbeat = beat.heartbeat;
    let known = app.peers.revisions(&from);
    let changed = digest(&known) != beat.documents;
    heartbeat.documents = known;
    let was_known = app.peers.is_known(&from);
    match app
        .peers
        .record_heartbeat(heartbeat.clone(), app.clock.now())
    {
        HeartbeatOutcome::Joined => {
            log::info!(peer = from.as_str(); "peer joined");
            if was_known {
                // Packets on the connection to its previous incarnation would be lost until that
                // connection times out.
                app.mesh.reconnect(&from);
            }
        }
        HeartbeatOutcome::Superseded => {
            log::error!(peer = from.as_str(); "another process uses this node's name");
        }
        HeartbeatOutcome::Updated | HeartbeatOutcome::Stale => {}
    }
    if changed {
        tokio::spawn(sync_revisions(app.clone(), from, heartbeat));
    }
}

/// Requests and records the revisions in force on a peer, then fetches its newer documents if any.
async fn sync_revisions(app: Arc<App>, from: NodeId, mut heartbeat: Heartbeat) {
    let reply = app.mesh.call(&from, &Call::Revisions, FETCH_TIMEOUT).await;
    let Ok(Reply::Revisions(revisions)) = reply else {
        return;
    };
    let own = app.feed.revisions();
    let has_newer = revisions.iter().any(|(service, revision)| {
        let known = own.binary_search_by(|(name, _)| name.cmp(service));
        known.map_or(true, |index| own[index].1 < *revision)
    });
    heartbeat.documents = revisions;
    app.peers.record_heartbeat(heartbeat, app.clock.now());
    if has_newer {
        fetch_newer(app, from).await;
    }
}

/// Fetches the documents of which a peer has a newer revision.
async fn fetch_newer(app: Arc<App>, from: NodeId) {
    let call = Call::Documents(app.feed.revisions());
    if let Ok(Reply::Documents(newer)) = app.mesh.call(&from, &call, FETCH_TIMEOUT).await {
        for document in newer {
            app.feed
                .offer(&document.service, document.revision, &document.text);
        }
    }
}
