//! What must always hold, shown on cells under faults.
//!
//! Each test runs the scenarios of one tag. Whatever a scenario checks itself, the whole judgement
//! of [`judge`] follows at its end.

mod callers;
mod cell;
mod judge;
mod node;
mod random;
mod relay;
mod steps;
mod watch;

use cucumber::World as _;
use cucumber::writer::Stats;
use steps::Promise;
use tokio::sync::Semaphore;

const FEATURE: &str = "tests/features/promises.feature";

/// The most cells at one time in this process.
const CELLS: usize = 5;

/// Limits the cells at one time.
pub(crate) static PLACES: Semaphore = Semaphore::const_new(CELLS);

/// Runs the scenarios of a tag, one after another.
async fn hold(tag: &'static str) {
    let _place = PLACES.acquire().await.expect("the semaphore stays open");
    let writer = Promise::cucumber()
        .with_default_cli()
        .fail_on_skipped()
        .max_concurrent_scenarios(1)
        .after(|_, _, scenario, _, world| {
            Box::pin(async move {
                let world = world.expect("a scenario has a world");
                let faults = world.judge().await;
                assert!(faults.is_empty(), "{}: {faults:#?}", scenario.name);
            })
        })
        .filter_run(FEATURE, move |_, _, scenario| {
            scenario.tags.iter().any(|found| found == tag)
        })
        .await;

    assert!(writer.passed_steps() > 0, "no scenario has the tag {tag}");
    assert!(!writer.execution_has_failed(), "a scenario of {tag} failed");
}

macro_rules! promises {
    ($($name:ident: $tag:literal,)*) => {$(
        #[tokio::test(flavor = "multi_thread", worker_threads = 2)]
        async fn $name() {
            hold($tag).await;
        }
    )*};
}

promises! {
    promises_hold_when_nodes_die: "death",
    promises_hold_when_nodes_pause: "pause",
    promises_hold_when_data_centres_are_cut: "cut",
    promises_hold_when_the_table_fails: "table",
    promises_hold_when_keys_are_repeated: "keys",
    promises_hold_when_connections_fall_silent: "silence",
    promises_hold_when_workers_misbehave: "workers",
    promises_hold_when_workers_leave: "leaving",
    promises_hold_when_nodes_stop: "stop",
    promises_hold_when_documents_change: "documents",
    promises_hold_when_work_is_odd: "work",
    promises_hold_under_pairs_of_faults: "pairs",
}
