//! Property test: a reader that polls only for changes has the whole VM list.

use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{ListedVm, Listing, Role, VmList, VmState};
use dotterel_standin::FakeVmList;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 0x0060_115e;
const GEN_SIZE: usize = 60;
const CASES: u64 = 200;

/// A change to the list, or a poll by the reader.
#[derive(Clone, Debug)]
enum Step {
    Put { vm: u8, data_centre: u8 },
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
                data_centre: u8::arbitrary(g) % 3,
            },
            4 => Self::Leave(vm),
            5..7 => Self::Remove(vm),
            7 => Self::Freeze(bool::arbitrary(g)),
            _ => Self::Read,
        }
    }
}

fn vm_id(vm: u8) -> String {
    format!("w{vm}")
}

fn apply_step(list: &FakeVmList, step: &Step) {
    match *step {
        Step::Put { vm, data_centre } => list.put(ListedVm {
            id: vm_id(vm).into(),
            role: Role::Worker,
            state: VmState::Live,
            data_centre: format!("dc{data_centre}").as_str().into(),
            region: "r1".into(),
            addr: "127.0.0.1:1".into(),
        }),
        Step::Leave(vm) => list.set_state(&vm_id(vm), VmState::Leaving),
        Step::Remove(vm) => list.remove(&vm_id(vm)),
        Step::Freeze(frozen) => list.freeze(frozen),
        Step::Read => {}
    }
}

async fn reader_matches_list(steps: Vec<Step>) -> bool {
    let list = FakeVmList::new(Clock::system());
    let mut known = Listing::default();
    for step in &steps {
        tokio::time::advance(Millis(1).duration()).await;
        apply_step(&list, step);
        if matches!(step, Step::Read) {
            let changes = list.changes(&known.hashes()).await;
            known.apply(changes.expect("no fault is set"));
            if Ok(known.clone()) != list.list().await {
                return false;
            }
        }
    }
    true
}

fn matches_under_paused_time(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build();
    runtime
        .expect("a runtime starts")
        .block_on(reader_matches_list(steps))
}

#[test]
fn a_reader_of_changes_has_the_whole_list() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(CASES)
        .quickcheck(matches_under_paused_time as fn(Vec<Step>) -> bool);
}
