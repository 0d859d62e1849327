//! Mesh connections from peers whose certificate was issued by another authority.

use std::net::UdpSocket;

use dotterel_entry::messages::{Call, Messages};
use dotterel_kernel::{Incarnation, Millis};
use dotterel_mesh::keys::Authority;
use dotterel_mesh::{Config, Identity, Mesh, MeshError, Peer};

use crate::support::{TestBed, wait_until};

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_with_an_untrusted_certificate_is_refused_and_counted() {
    let testbed = TestBed::start(1).await;
    let entry = testbed.start_entry("entry-a");
    let foreign = Authority::generate().expect("an authority can be generated");
    let keys = foreign
        .issue(&"entry-b".into())
        .expect("keys can be issued");
    // The peer trusts the cluster's authority, so only its own certificate can be the cause.
    let roots = testbed.authority.pem();
    let identity = Identity::from_pem(&"entry-b".into(), &keys.certificate, &keys.key, roots);
    let config = Config {
        node: "entry-b".into(),
        incarnation: Incarnation(1),
        identity: identity.expect("the keys are valid"),
    };
    let socket = UdpSocket::bind("127.0.0.1:0").expect("loopback has free ports");
    let (mesh, _inbox) = Mesh::<Messages>::open(&config, socket).expect("the mesh can be opened");
    mesh.set_peers(vec![Peer {
        node: "entry-a".into(),
        addr: entry.mesh,
    }]);

    let reply = mesh
        .call(&"entry-a".into(), &Call::Workers, Millis(500))
        .await;

    assert!(matches!(reply, Err(MeshError::NotSent(_))), "{reply:?}");
    wait_until(async || {
        let metrics = entry.get("/metrics").await;
        let text = String::from_utf8_lossy(&metrics.body).into_owned();
        let mut lines = text.lines();
        lines.any(|line| {
            line.strip_prefix("dotterel_mesh_refused_peers_total ")
                .is_some_and(|count| count.parse::<u64>().is_ok_and(|count| count > 0))
        })
    })
    .await;
}
