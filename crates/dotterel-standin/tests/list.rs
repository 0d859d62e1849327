//! A reader that asks only for changes holds the whole list.

use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{ListedVm, Listing, Role, VmList, VmState};
use dotterel_standin::FakeVmList;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 0x0060_115e;
const SIZE: usize = 60;
const CASES: u64 = 200;

/// One change of the list.
#[derive(Clone, Debug)]
enum Step {
    Put { vm: u8, centre: u8 },
    Leave(u8),
    Remove(u8),
    Freeze(bool),
    Read,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = u8::arbitrary(g) % 8;
        match u8::arbitrary(g) % 10 {
            0..4 => Self::Put {
                vm,
                centre: u8::arbitrary(g) % 3,
            },
            4 => Self::Leave(vm),
            5..7 => Self::Remove(vm),
            7 => Self::Freeze(bool::arbitrary(g)),
            _ => Self::Read,
        }
    }
}

fn name(vm: u8) -> String {
    format!("w{vm}")
}

fn change(list: &FakeVmList, step: &Step) {
    match *step {
        Step::Put { vm, centre } => list.put(ListedVm {
            id: name(vm).into(),
            role: Role::Worker,
            state: VmState::Live,
            data_centre: format!("dc{centre}").as_str().into(),
            region: "r1".into(),
            addr: "127.0.0.1:1".into(),
        }),
        Step::Leave(vm) => list.set_state(&name(vm), VmState::Leaving),
        Step::Remove(vm) => list.remove(&name(vm)),
        Step::Freeze(frozen) => list.freeze(frozen),
        Step::Read => {}
    }
}

async fn follows(steps: Vec<Step>) -> bool {
    let list = FakeVmList::new(Clock::system());
    let mut held = Listing::default();
    for step in &steps {
        tokio::time::advance(Millis(1).duration()).await;
        change(&list, step);
        if matches!(step, Step::Read) {
            let changes = list.changes(&held.hashes()).await;
            held.apply(changes.expect("no fault is set"));
            if Ok(held.clone()) != list.list().await {
                return false;
            }
        }
    }
    true
}

fn holds(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime.expect("a runtime starts").block_on(follows(steps))
}

#[test]
fn a_reader_of_changes_holds_the_whole_list() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, SEED))
        .tests(CASES)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}
