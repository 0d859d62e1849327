//! Calls between meshes on loopback, and who is refused.

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

/// Answers with the call itself, the later the lower its number.
struct Reversed;

impl Handler<Echo> for Reversed {
    async fn handle(&self, _from: NodeId, call: (u64, Vec<u8>)) -> (u64, Vec<u8>) {
        tokio::time::sleep(Duration::from_millis(100 - call.0.min(100))).await;
        call
    }
}

fn open(authority: &Authority, certified: &str, claimed: &str) -> (Mesh<Echo>, Listener) {
    let keys = authority.issue(&certified.into()).expect("keys are made");
    let identity = Identity::from_pem(
        &certified.into(),
        &keys.certificate,
        &keys.key,
        authority.pem(),
    );
    let config = Config {
        node: claimed.into(),
        incarnation: Incarnation(1),
        identity: identity.expect("the keys are sound"),
    };
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    Mesh::open(&config, socket).expect("the mesh opens")
}

fn serving(authority: &Authority, node: &str) -> Mesh<Echo> {
    let (mesh, inbox) = open(authority, node, node);
    tokio::spawn(inbox.serve::<Echo, Reversed>(Arc::new(Reversed)));
    mesh
}

fn know(mesh: &Mesh<Echo>, node: &str, other: &Mesh<Echo>) {
    mesh.set_peers(vec![Peer {
        node: node.into(),
        addr: other.addr(),
    }]);
}

async fn until(check: impl Fn() -> bool) {
    let all = async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), all)
        .await
        .expect("the condition comes true");
}

#[tokio::test]
async fn answers_out_of_order_reach_their_own_calls() {
    let authority = Authority::generate().expect("an authority is made");
    let (a, b) = (serving(&authority, "a"), serving(&authority, "b"));
    know(&a, "b", &b);

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
    let ours = Authority::generate().expect("an authority is made");
    let theirs = Authority::generate().expect("an authority is made");
    let (stranger, b) = (serving(&theirs, "a"), serving(&ours, "b"));

    know(&stranger, "b", &b);
    let reply = stranger
        .call(&"b".into(), &(1, Vec::new()), Millis(500))
        .await;

    assert!(matches!(reply, Err(MeshError::NotSent(_))), "{reply:?}");
}

#[tokio::test]
async fn a_client_without_our_authority_is_counted_by_the_server() {
    let ours = Authority::generate().expect("an authority is made");
    let theirs = Authority::generate().expect("an authority is made");
    let b = serving(&ours, "b");
    let keys = theirs.issue(&"a".into()).expect("keys are made");
    // The stranger trusts our authority, so that only its own certificate is at fault.
    let identity = Identity::from_pem(&"a".into(), &keys.certificate, &keys.key, ours.pem());
    let config = Config {
        node: "a".into(),
        incarnation: Incarnation(1),
        identity: identity.expect("the keys are sound"),
    };
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let (stranger, _inbox) = Mesh::<Echo>::open(&config, socket).expect("the mesh opens");

    know(&stranger, "b", &b);
    let reply = stranger
        .call(&"b".into(), &(1, Vec::new()), Millis(500))
        .await;

    assert!(matches!(reply, Err(MeshError::NotSent(_))), "{reply:?}");
    until(|| b.counters().refused_peers > 0).await;
}

#[tokio::test]
async fn a_name_other_than_the_certificates_is_refused_and_counted() {
    let authority = Authority::generate().expect("an authority is made");
    let b = serving(&authority, "b");
    let (impostor, _inbox) = open(&authority, "c", "a");

    know(&impostor, "b", &b);
    let reply = impostor
        .call(&"b".into(), &(1, Vec::new()), Millis(500))
        .await;

    assert!(matches!(reply, Err(MeshError::NotSent(_))), "{reply:?}");
    until(|| b.counters().refused_peers > 0).await;
}

#[tokio::test]
async fn a_call_without_an_answer_in_time_is_unknown_and_the_link_goes_on() {
    let authority = Authority::generate().expect("an authority is made");
    let (a, b) = (serving(&authority, "a"), serving(&authority, "b"));
    know(&a, "b", &b);
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
async fn a_restarted_peer_is_reached_again() {
    let authority = Authority::generate().expect("an authority is made");
    let (a, b) = (serving(&authority, "a"), serving(&authority, "b"));
    know(&a, "b", &b);
    let before = a
        .call(&"b".into(), &(100, Vec::new()), Millis::secs(10))
        .await;

    b.close().await;
    until(|| !a.status()[0].connected).await;
    let again = serving(&authority, "b");
    know(&a, "b", &again);
    let after = a
        .call(&"b".into(), &(100, Vec::new()), Millis::secs(10))
        .await;

    assert!(before.is_ok() && after.is_ok(), "{before:?} {after:?}");
}

#[tokio::test]
async fn bytes_of_open_and_lost_connections_count_on_both_sides() {
    const BODY: u64 = 10_000;
    let authority = Authority::generate().expect("an authority is made");
    let (a, b) = (serving(&authority, "a"), serving(&authority, "b"));
    know(&a, "b", &b);

    let call = (100, vec![0; BODY as usize]);
    let reply = a.call(&"b".into(), &call, Millis::secs(10)).await;
    let (open, served) = (a.counters(), b.counters());
    b.close().await;
    until(|| !a.status()[0].connected).await;
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
