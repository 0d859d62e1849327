//! The platform fakes follow the contracts of the traits of `dotterel_platform`.

use bytes::Bytes;
use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{
    CallError, Commit, ListedVm, ObjectStore, Role, Table, Version, VmList, VmState, Write,
};
use dotterel_standin::{FakeStore, FakeTable, FakeVmList};

fn clock() -> Clock {
    Clock::starting_at(Millis(1_000_000))
}

fn put(key: &str, expect: Version) -> Write {
    Write {
        key: key.into(),
        expect,
        value: Some(Bytes::from_static(b"x")),
    }
}

fn delete(key: &str, expect: Version) -> Write {
    Write {
        value: None,
        ..put(key, expect)
    }
}

async fn commit_applied(table: &FakeTable, writes: &[Write]) -> Vec<Version> {
    match table.commit(writes).await.expect("no fault is set") {
        Commit::Applied(versions) => versions,
        conflict @ Commit::Conflict { .. } => panic!("{conflict:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn versions_are_never_reused() {
    let table = FakeTable::new(clock());
    let first = commit_applied(&table, &[put("a", Version::ABSENT)]).await[0];
    commit_applied(&table, &[delete("a", first)]).await;

    let second = commit_applied(&table, &[put("a", Version::ABSENT)]).await[0];

    assert!(second > first);
}

#[tokio::test(start_paused = true)]
async fn a_conflict_applies_nothing() {
    let table = FakeTable::new(clock());
    commit_applied(&table, &[put("b", Version::ABSENT)]).await;

    let writes = [put("a", Version::ABSENT), put("b", Version::ABSENT)];
    let outcome = table.commit(&writes).await;

    assert!(matches!(outcome, Ok(Commit::Conflict { key, .. }) if key == "b"));
    assert_eq!(table.get("a").await, Ok(None));
    assert_eq!(table.counts().conflicts, 1);
}

#[tokio::test(start_paused = true)]
async fn a_scan_starts_after_the_given_key() {
    let table = FakeTable::new(clock());
    let writes = ["a/1", "a/2", "a/3", "b/1"].map(|key| put(key, Version::ABSENT));
    commit_applied(&table, &writes).await;

    let rows = table.scan("a/", "a/1", 5).await.expect("no fault is set");

    let keys: Vec<_> = rows.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(keys, ["a/2", "a/3"]);
}

#[tokio::test(start_paused = true)]
async fn a_table_shows_the_injected_faults() {
    let table = FakeTable::new(clock());
    table.set_faults(|faults| faults.lose_answers = 1);
    let lost = table.commit(&[put("a", Version::ABSENT)]).await;
    table.set_faults(|faults| faults.down_until = clock().now() + Millis(10));
    let down = table.commit(&[put("b", Version::ABSENT)]).await;

    let keys: Vec<_> = table.peek("").into_iter().map(|row| row.key).collect();
    assert!(matches!(lost, Err(CallError::Unknown(_))));
    assert!(matches!(down, Err(CallError::Unavailable(_))));
    assert_eq!(keys, ["a"]);
}

#[tokio::test(start_paused = true)]
async fn a_store_keeps_and_lists_objects() {
    let store = FakeStore::new(clock());
    for name in ["j/1", "j/2", "k/1"] {
        store
            .put(name, Bytes::from_static(b"x"))
            .await
            .expect("no fault is set");
    }

    let names = store.list("j/", "j/1", 5).await;

    assert_eq!(names, Ok(vec!["j/2".into()]));
    assert_eq!(store.get("j/3").await, Ok(None));
}

#[tokio::test(start_paused = true)]
async fn a_vm_list_lags_and_freezes() {
    let list = FakeVmList::new(clock());
    list.set_lag(Millis(500));
    list.put(ListedVm {
        id: "w1".into(),
        role: Role::Worker,
        state: VmState::Live,
        data_centre: "dc1".into(),
        region: "r1".into(),
        addr: "127.0.0.1:1".into(),
    });
    let within_lag = list.list().await.expect("no fault is set");
    tokio::time::advance(Millis(600).duration()).await;
    list.freeze(true);
    list.set_state("w1", VmState::Leaving);
    tokio::time::advance(Millis(600).duration()).await;
    let frozen = list.list().await.expect("no fault is set");
    list.freeze(false);
    let resumed = list.list().await.expect("no fault is set");

    assert_eq!(within_lag.vms, []);
    assert_eq!(frozen.vms[0].state, VmState::Live);
    assert_eq!(resumed.vms[0].state, VmState::Leaving);
}
