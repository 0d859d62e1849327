//! Peers without a certificate of the cluster.

use std::net::UdpSocket;

use dotterel_entry::messages::{Call, Messages};
use dotterel_kernel::{Incarnation, Millis};
use dotterel_mesh::keys::Authority;
use dotterel_mesh::{Config, Identity, Mesh, MeshError, Peer};

use crate::support::{Site, until};

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_without_a_known_certificate_is_refused_and_counted() {
    let site = Site::start(1).await;
    let entry = site.entry("entry-a");
    let theirs = Authority::generate().expect("an authority is made");
    let keys = theirs.issue(&"entry-b".into()).expect("keys are made");
    // The stranger trusts the cluster, so that only its own certificate is at fault.
    let trusted = site.authority.pem();
    let identity = Identity::from_pem(&"entry-b".into(), &keys.certificate, &keys.key, trusted);
    let config = Config {
        node: "entry-b".into(),
        incarnation: Incarnation(1),
        identity: identity.expect("the keys are sound"),
    };
    let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    let (mesh, _inbox) = Mesh::<Messages>::open(&config, socket).expect("the mesh opens");
    mesh.set_peers(vec![Peer {
        node: "entry-a".into(),
        addr: entry.mesh,
    }]);

    let reply = mesh
        .call(&"entry-a".into(), &Call::Workers, Millis(500))
        .await;

    assert!(matches!(reply, Err(MeshError::NotSent(_))), "{reply:?}");
    until(async || {
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
