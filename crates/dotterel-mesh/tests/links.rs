//! Calls between meshes over loopback, and the refusal of untrusted peers.

use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;

use dotterel_kernel::{Incarnation, Millis, NodeId};
use dotterel_mesh::keys::Authority;
use dotterel_mesh::{Config, Handler, Identity, Listener, Mesh, MeshError, Peer, Protocol};

struct Echo;

impl Protocol for Echo {
    type Call = (u64, Vec<u8>);
    type Reply = (u64, Vec<u8>);
}

/// Replies with the call itself; the lower its number, the later the reply.
struct ReverseOrder;

impl Handler<Echo> for ReverseOrder {
    async fn handle(&self, _from: NodeId, call: (u64, Vec<u8>)) -> (u64, Vec<u8>) {
        tokio::time::sleep(Duration::from_millis(100 - call.0.min(100))).await;
        call
    }
}

fn open(authority: &Authority, certified_name: &str, claimed_name: &str) -> (Mesh<Echo>, Listener) {
    let keys = authority
        .issue(&certified_name.into())
        .expect("the certificate is issued");
    let identity = Identity::from_pem(
        &certified_name.into(),
        &keys.certificate,
        &keys.key,
        authority.pem(),
    );
    let config = Config {
        node: claimed_name.into(),
        incarnation: Incarnation(1),
        identity: identity.expect("the identity is valid"),
    };
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket binds");
    Mesh::open(&config, socket).expect("the mesh opens")
}

fn open_and_serve(authority: &Authority, node: &str) -> Mesh<Echo> {
    let (mesh, listener) = open(authority, node, node);
    tokio::spawn(listener.serve::<Echo, ReverseOrder>(Arc::new(ReverseOrder)));
    mesh
}

fn connect(mesh: &Mesh<Echo>, node: &str, other: &Mesh<Echo>) {
    mesh.set_peers(vec![Peer {
        node: node.into(),
        addr: other.addr(),
    }]);
}

async fn wait_until(check: impl Fn() -> bool) {
    let wait = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), wait)
        .await
        .expect("the condition is met in time");
}

#[tokio::test]
async fn replies_out_of_order_reach_their_own_calls() {
    let authority = Authority::generate().expect("the authority is generated");
    let (a, b) = (
        open_and_serve(&authority, "a"),
        open_and_serve(&authority, "b"),
    );
    connect(&a, "b", &b);

    let calls = (0..100u64).map(|number| {
        let a = a.clone();
        tokio::spawn(async move {
            let call = (number, vec![number as u8; 10_000]);
            let reply = a.call(&"b".into(), &call, Millis::secs(10)).await;
            (call, reply)
        })
    });

    for task in calls.collect::<Vec<_>>() {
        let (call, reply) = task.await.expect("the call does not panic");
        assert_eq!(reply, Ok(call));
    }
}

#[tokio::test]
async fn a_peer_of_another_authority_is_not_trusted() {
    let ours = Authority::generate().expect("the authority is generated");
    let theirs = Authority::generate().expect("the authority is generated");
    let (untrusted, b) = (open_and_serve(&theirs, "a"), open_and_serve(&ours, "b"));

    connect(&untrusted, "b", &b);
    let reply = untrusted
        .call(&"b".into(), &(1, Vec::new()), Millis(500))
        .await;

    assert!(matches!(reply, Err(MeshError::NotSent(_))), "{reply:?}");
}

#[tokio::test]
async fn a_client_of_another_authority_is_refused_and_counted() {
    let ours = Authority::generate().expect("the authority is generated");
    let theirs = Authority::generate().expect("the authority is generated");
    let b = open_and_serve(&ours, "b");
    let keys = theirs
        .issue(&"a".into())
        .expect("the certificate is issued");
    // The client trusts b's authority, so that the only error is its own certificate.
    let identity = Identity::from_pem(&"a".into(), &keys.certificate, &keys.key, ours.pem());
    let config = Config {
        node: "a".into(),
        incarnation: Incarnation(1),
        identity: identity.expect("the identity is valid"),
    };
    let socket = UdpSocket::bind("127.0.0.1:0").expect("the socket binds");
    let (untrusted, _listener) = Mesh::<Echo>::open(&config, socket).expect("the mesh opens");

    connect(&untrusted, "b", &b);
    let reply = untrusted
        .call(&"b".into(), &(1, Vec::new()), Millis(500))
        .await;

    assert!(matches!(reply, Err(MeshError::NotSent(_))), "{reply:?}");
    wait_until(|| b.counters().refused_peers > 0).await;
}

#[tokio::test]
async fn a_certificate_for_another_name_is_refused_and_counted() {
    let authority = Authority::generate().expect("the authority is generated");
    let b = open_and_serve(&authority, "b");
    let (impostor, _listener) = open(&authority, "c", "a");

    connect(&impostor, "b", &b);
    let reply = impostor
        .call(&"b".into(), &(1, Vec::new()), Millis(500))
        .await;

    assert!(matches!(reply, Err(MeshError::NotSent(_))), "{reply:?}");
    wait_until(|| b.counters().refused_peers > 0).await;
}

#[tokio::test]
async fn a_call_that_times_out_is_unknown_and_the_link_stays_usable() {
    let authority = Authority::generate().expect("the authority is generated");
    let (a, b) = (
        open_and_serve(&authority, "a"),
        open_and_serve(&authority, "b"),
    );
    connect(&a, "b", &b);
    let first = a
        .call(&"b".into(), &(100, Vec::new()), Millis::secs(10))
        .await;

    let late = a.call(&"b".into(), &(0, Vec::new()), Millis(20)).await;
    let next = a
        .call(&"b".into(), &(100, Vec::new()), Millis::secs(10))
        .await;

    assert_eq!(first, Ok((100, Vec::new())));
    assert!(matches!(late, Err(MeshError::Unknown(_))), "{late:?}");
    assert_eq!(next, Ok((100, Vec::new())));
}

#[tokio::test]
async fn calls_reach_a_restarted_peer() {
    let authority = Authority::generate().expect("the authority is generated");
    let (a, b) = (
        open_and_serve(&authority, "a"),
        open_and_serve(&authority, "b"),
    );
    connect(&a, "b", &b);
    let before = a
        .call(&"b".into(), &(100, Vec::new()), Millis::secs(10))
        .await;

    b.close().await;
    wait_until(|| !a.status()[0].connected).await;
    let restarted = open_and_serve(&authority, "b");
    connect(&a, "b", &restarted);
    let after = a
        .call(&"b".into(), &(100, Vec::new()), Millis::secs(10))
        .await;

    assert!(before.is_ok() && after.is_ok(), "{before:?} {after:?}");
}

#[tokio::test]
async fn bytes_of_open_and_lost_connections_are_counted_on_both_sides() {
    const BODY: u64 = 10_000;
    let authority = Authority::generate().expect("the authority is generated");
    let (a, b) = (
        open_and_serve(&authority, "a"),
        open_and_serve(&authority, "b"),
    );
    connect(&a, "b", &b);

    let call = (100, vec![0; BODY as usize]);
    let reply = a.call(&"b".into(), &call, Millis::secs(10)).await;
    let (open, served) = (a.counters(), b.counters());
    b.close().await;
    wait_until(|| !a.status()[0].connected).await;
    let lost = a.counters();

    assert_eq!(reply, Ok(call));
    assert!(
        open.bytes_sent > BODY && open.bytes_received > BODY,
        "{open:?}"
    );
    assert!(
        served.bytes_sent > BODY && served.bytes_received > BODY,
        "{served:?}"
    );
    assert!(
        lost.bytes_sent >= open.bytes_sent,
        "{lost:?} after {open:?}"
    );
    assert!(
        lost.bytes_received >= open.bytes_received,
        "{lost:?} after {open:?}"
    );
}
