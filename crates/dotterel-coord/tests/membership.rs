//! Tests of node liveness, the desired owners of VMs, and leaving VMs.

use dotterel_coord::{Heartbeat, HeartbeatOutcome, LeavingVms, Members, rendezvous};
use dotterel_kernel::{Incarnation, Millis, NodeId, Size, VmId};
use dotterel_platform::{ListedVm, Listing, Role, VmState};
use quickcheck::{Gen, QuickCheck};

const HEARTBEAT_TIMEOUT: Millis = Millis(1_500);
const SEED: u64 = 20_261_204;

fn heartbeat(node: u8, incarnation: u8, at: u8) -> Heartbeat {
    Heartbeat {
        node: name(node),
        incarnation: Incarnation(incarnation.into()),
        data_centre: "dc".into(),
        region: "region".into(),
        addr: "127.0.0.1:1".into(),
        at: Millis(at.into()),
        stopping: false,
        spare: Size::ZERO,
        documents: Vec::new(),
    }
}

fn name(node: u8) -> NodeId {
    format!("n{node}").as_str().into()
}

fn listed(id: &str, role: Role, state: VmState) -> ListedVm {
    ListedVm {
        id: id.into(),
        role,
        state,
        data_centre: "dc".into(),
        region: "region".into(),
        addr: "127.0.0.1:1".into(),
    }
}

fn members(peers: u8) -> Members {
    let mut members = Members::new(heartbeat(0, 1, 0), HEARTBEAT_TIMEOUT, Millis::ZERO);
    for peer in 1..=peers {
        members.record_heartbeat(heartbeat(peer, 1, 0), Millis::ZERO);
    }
    members
}

fn owners(members: &Members, now: Millis) -> Vec<Option<NodeId>> {
    let owner = |vm| members.desired_owner(&VmId(vm), &"dc".into(), now).cloned();
    (0..48).map(|vm| owner(format!("w{vm}").into())).collect()
}

fn check() -> QuickCheck {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, SEED))
        .tests(300)
}

#[test]
fn newest_heartbeat_of_the_newest_incarnation_wins() {
    fn holds(heartbeats: Vec<(u8, u8, bool)>) -> bool {
        let mut members = members(0);
        for (incarnation, at, stopping) in &heartbeats {
            let mut heartbeat = heartbeat(1, *incarnation, *at);
            heartbeat.stopping = *stopping;
            members.record_heartbeat(heartbeat, Millis::ZERO);
        }
        let newest = heartbeats.iter().map(|entry| (entry.0, entry.1)).max();
        let known = members.peer(&name(1)).map(|peer| &peer.heartbeat);
        known.map(|known| (known.incarnation.0, known.at.0))
            == newest.map(|newest| (newest.0.into(), newest.1.into()))
    }
    check().quickcheck(holds as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn a_stopping_node_stays_stopping_within_its_incarnation() {
    let mut members = members(1);
    let mut stopping = heartbeat(1, 1, 1);
    stopping.stopping = true;
    members.record_heartbeat(stopping, Millis::ZERO);

    let same = members.record_heartbeat(heartbeat(1, 1, 2), Millis::ZERO);

    assert_eq!(same, HeartbeatOutcome::Updated);
    assert!(
        members
            .peer(&name(1))
            .is_some_and(|peer| peer.heartbeat.stopping)
    );
    assert_eq!(owners(&members, Millis::ZERO), vec![Some(name(0)); 48]);
    assert_eq!(
        members.record_heartbeat(heartbeat(1, 2, 0), Millis::ZERO),
        HeartbeatOutcome::Joined
    );
    assert!(owners(&members, Millis::ZERO).contains(&Some(name(1))));
}

#[test]
fn liveness_depends_on_heartbeats_and_not_on_the_vm_list() {
    let mut members = members(1);
    let vms = vec![listed("n2", Role::Entry, VmState::Live)];
    members.update_list(&Listing {
        as_of: Millis(1),
        vms,
    });

    let live = |node| members.is_live(&name(node), HEARTBEAT_TIMEOUT);

    assert!(live(0) && live(1) && !live(2));
    assert!(!members.is_live(&name(1), HEARTBEAT_TIMEOUT + Millis(1)));
}

#[test]
fn missed_heartbeats_do_not_count_while_this_node_was_paused() {
    let mut members = members(1);

    members.tick(Millis::secs(60));

    assert!(members.is_live(&name(1), Millis::secs(60)));
}

#[test]
fn a_stopping_node_changes_the_owner_of_only_its_own_vms() {
    fn holds(count: u8, stopped: u8) -> bool {
        let count = count % 8 + 1;
        let stopped = stopped % count + 1;
        let mut members = members(count);
        let before = owners(&members, Millis::ZERO);
        let mut last = heartbeat(stopped, 1, 1);
        last.stopping = true;
        members.record_heartbeat(last, Millis::ZERO);
        let after = owners(&members, Millis::ZERO);
        let moved =
            |(was, is): (&Option<NodeId>, &Option<NodeId>)| match *was == Some(name(stopped)) {
                true => *is != *was && is.is_some(),
                false => is == was,
            };
        before.iter().zip(&after).all(moved)
    }
    check().quickcheck(holds as fn(u8, u8) -> bool);
}

#[test]
fn rendezvous_does_not_depend_on_the_order_of_nodes() {
    fn holds(key: String, mut names: Vec<String>) -> bool {
        let selected = rendezvous(&key, names.clone(), |name| name);
        names.reverse();
        rendezvous(&key, names, |name| name) == selected
    }
    check().quickcheck(holds as fn(String, Vec<String>) -> bool);
}

#[test]
fn a_vm_is_leaving_until_a_later_list_omits_it() {
    /// Each notice has a time. Without a state, the VM itself reports that it is leaving; with one, a
    /// list shows the VM as live, shows it as leaving, or omits it.
    fn holds(notices: Vec<(u8, Option<u8>)>) -> bool {
        let mut leaving = LeavingVms::default();
        let (mut since, mut newest) = (None, 0);
        for (at, list) in notices {
            let at_ms = Millis(at.into());
            let Some(shown) = list.map(|state| state % 3) else {
                leaving.mark_leaving(&"w".into(), at_ms);
                since = since.max(Some(at));
                continue;
            };
            let state = [VmState::Live, VmState::Leaving][usize::from(shown % 2)];
            let vms = (shown < 2).then(|| listed("w", Role::Worker, state));
            leaving.update_list(&Listing {
                as_of: at_ms,
                vms: vms.into_iter().collect(),
            });
            if at < newest {
                continue;
            }
            newest = at;
            match shown {
                1 => since = since.max(Some(at)),
                2 if since.is_some_and(|since| since < at) => since = None,
                _ => {}
            }
        }
        leaving.contains(&"w".into()) == since.is_some()
    }
    check().quickcheck(holds as fn(Vec<(u8, Option<u8>)>) -> bool);
}
