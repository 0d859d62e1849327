//! Checks that documents never revert and rejected edits never become active, under random
//! schedules of faults.

#[path = "support/feed.rs"]
mod support;

use dotterel_coord::ApplyOutcome;
use dotterel_kernel::{Millis, Revision};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{Activation, Cluster, lock};
use tokio::task::JoinHandle;

const NODES: [&str; 4] = ["a", "b", "c", "d"];

/// The number of schedules tried.
const SCHEDULES: u64 = 300;

/// The maximum length of a schedule.
const MAX_STEPS: usize = 30;

/// The time within which an accepted document must be active on every reachable node.
const PROPAGATION_TIMEOUT: Millis = Millis::secs(3);

#[derive(Clone, Debug)]
struct Step {
    delay_before: Millis,
    op: Op,
}

#[derive(Clone, Debug)]
enum Op {
    /// An edit of the active revision of the node, or of the one before if `stale`.
    Edit {
        node: usize,
        stale: bool,
    },
    Restart(usize),
    /// Blocks updates between the node and all its peers.
    Isolate(usize),
    /// Disconnects the node from the table.
    Disconnect(usize),
    TableDown(Millis),
    Delay {
        request_delay: Millis,
        response_delay: Millis,
    },
    LoseResponses(u32),
    DropRequests(u32),
    /// Loses the responses to the next writes, but not to reads.
    LoseWriteResponses(u32),
    /// Delivers messages with earlier revisions to the node.
    Replay(usize),
    ClearFaults,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES.len();
        let op = match u8::arbitrary(g) % 29 {
            0..=9 => Op::Edit {
                node,
                stale: u8::arbitrary(g) % 5 == 0,
            },
            10..=12 => Op::Restart(node),
            13..=14 => Op::Isolate(node),
            15..=16 => Op::Disconnect(node),
            17 => Op::TableDown(millis(g, 4000)),
            18..=19 => Op::Delay {
                request_delay: millis(g, 1500),
                response_delay: millis(g, 500),
            },
            20..=21 => Op::LoseResponses(u32::arbitrary(g) % 5),
            22 => Op::DropRequests(u32::arbitrary(g) % 5),
            23..=25 => Op::LoseWriteResponses(u32::arbitrary(g) % 4),
            26..=27 => Op::Replay(node),
            _ => Op::ClearFaults,
        };
        let delay_before = millis(g, 800);
        Self { delay_before, op }
    }
}

fn millis(g: &mut Gen, max: u16) -> Millis {
    Millis(u64::from(u16::arbitrary(g) % max))
}

/// An edit, identified by the start limit in its text.
struct Edit {
    start_ms: u32,
    task: JoinHandle<ApplyOutcome>,
}

/// One run of a schedule.
struct Run {
    cluster: Cluster,
    edits: Vec<Edit>,
}

impl Run {
    fn apply(&mut self, op: &Op) -> Result<(), String> {
        let table = &self.cluster.table;
        match *op {
            Op::Edit { node, stale } => self.edit(node, stale),
            Op::Restart(node) => self.cluster.restart(node),
            Op::Isolate(node) => self.cluster.isolate(node),
            Op::Disconnect(node) => self.cluster.disconnect_from_table(node),
            Op::TableDown(duration) => {
                let until = self.cluster.clock.now() + duration;
                table.set_faults(|faults| faults.down_until = until);
            }
            Op::Delay {
                request_delay,
                response_delay,
            } => table.set_faults(|faults| {
                faults.delay = request_delay;
                faults.answer_delay = response_delay;
            }),
            Op::LoseResponses(count) => table.set_faults(|faults| faults.lose_answers = count),
            Op::DropRequests(count) => table.set_faults(|faults| faults.drop_calls = count),
            Op::LoseWriteResponses(count) => self.cluster.lose_write_responses(count),
            Op::Replay(node) => self.cluster.replay(node),
            Op::ClearFaults => self.cluster.clear_faults(),
        }
        Ok(())
    }

    fn edit(&mut self, node: usize, stale: bool) {
        let active = self.cluster.revision(node);
        let expected = active.map(|active| Revision(active.0 - u64::from(stale && active.0 > 1)));
        let start_ms =
            100 + u32::try_from(self.edits.len()).expect("the number of edits fits in u32");
        let task = tokio::spawn(self.cluster.edit(node, start_ms, expected));
        self.edits.push(Edit { start_ms, task });
    }

    fn histories(&self) -> Vec<Vec<Activation>> {
        let histories = self.cluster.histories.iter();
        histories.map(|history| lock(history).clone()).collect()
    }
}

/// Checks that the revisions of a node only increase.
fn check_monotone(histories: &[Vec<Activation>]) -> Result<(), String> {
    for history in histories {
        if !history.is_sorted_by(|a, b| a.revision < b.revision) {
            return Err(format!("a node reverted: {history:?}"));
        }
    }
    Ok(())
}

/// Checks that all nodes have the same text for a revision.
fn check_same_text(histories: &[Vec<Activation>]) -> Result<(), String> {
    let mut activations: Vec<&Activation> = histories.iter().flatten().collect();
    activations.sort_by_key(|activation| activation.revision);
    for pair in activations.windows(2) {
        if pair[0].revision == pair[1].revision && pair[0].start_ms != pair[1].start_ms {
            return Err(format!("two texts for one revision: {pair:?}"));
        }
    }
    Ok(())
}

/// Checks that what the nodes have activated agrees with the outcome of an edit.
fn check_outcome(
    start_ms: u32,
    outcome: &ApplyOutcome,
    histories: &[Vec<Activation>],
) -> Result<(), String> {
    let mut activations = histories.iter().flatten();
    let violation = match outcome {
        ApplyOutcome::Accepted { revision } => {
            let conflicting = activations.find(|activation| {
                activation.revision == *revision && activation.start_ms != start_ms
            });
            conflicting
                .map(|activation| format!("accepted as {revision}, but active is {activation:?}"))
        }
        ApplyOutcome::Unavailable {
            maybe_applied: true,
        } => None,
        rejected => {
            let activation = activations.find(|activation| activation.start_ms == start_ms);
            activation.map(|activation| {
                format!("not accepted ({rejected:?}), but activated: {activation:?}")
            })
        }
    };
    violation.map_or(Ok(()), Err)
}

async fn run_schedule(steps: &[Step]) -> Result<(), String> {
    let mut run = Run {
        cluster: Cluster::new(&NODES),
        edits: Vec::new(),
    };
    for step in steps {
        tokio::time::sleep(step.delay_before.duration()).await;
        run.apply(&step.op)?;
    }
    let mut outcomes = Vec::new();
    for edit in std::mem::take(&mut run.edits) {
        let result = edit.task.await;
        outcomes.push((edit.start_ms, result.map_err(|err| err.to_string())?));
    }
    // Writes in flight must arrive before the faults end.
    tokio::time::sleep(Millis::secs(5).duration()).await;
    run.cluster.clear_faults();
    tokio::time::sleep(PROPAGATION_TIMEOUT.duration()).await;
    let histories = run.histories();
    check_monotone(&histories)?;
    check_same_text(&histories)?;
    for (start_ms, outcome) in &outcomes {
        check_outcome(*start_ms, outcome, &histories)?;
    }
    check_propagated(&run.cluster, &outcomes)
}

/// Checks that every node has at least the newest accepted revision.
fn check_propagated(cluster: &Cluster, outcomes: &[(u32, ApplyOutcome)]) -> Result<(), String> {
    let accepted = outcomes.iter().filter_map(|(_, outcome)| match outcome {
        ApplyOutcome::Accepted { revision } => Some(*revision),
        _ => None,
    });
    let newest = accepted.max();
    for (index, name) in NODES.iter().enumerate() {
        if cluster.revision(index) < newest {
            let active = cluster.revision(index);
            return Err(format!(
                "{name} has {active:?}, but {newest:?} was accepted"
            ));
        }
    }
    Ok(())
}

fn property_holds(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime can be built");
    let outcome = runtime.block_on(run_schedule(&steps));
    if let Err(err) = &outcome {
        eprintln!("{err}");
    }
    outcome.is_ok()
}

#[test]
fn documents_never_revert_and_rejected_edits_stay_inactive() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, 8))
        .tests(SCHEDULES)
        .quickcheck(property_holds as fn(Vec<Step>) -> bool);
}
