//! Documents never revert and lost edits never come in force, under random schedules of faults.

#[path = "support/feed.rs"]
mod support;

use dotterel_coord::ApplyOutcome;
use dotterel_kernel::{Millis, Revision};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{Cluster, Observed, lock};
use tokio::task::JoinHandle;

const NODES: [&str; 4] = ["a", "b", "c", "d"];

/// Schedules tried.
const TESTS: u64 = 300;

/// The longest schedule.
const STEPS: usize = 30;

/// Within how much time an accepted document is in force on every reachable node.
const IN_FORCE: Millis = Millis::secs(3);

#[derive(Clone, Debug)]
struct Step {
    gap: Millis,
    act: Act,
}

#[derive(Clone, Debug)]
enum Act {
    /// An edit of what the node has in force, or of the revision before.
    Edit {
        node: usize,
        stale: bool,
    },
    Restart(usize),
    /// No other node reaches the node.
    Isolate(usize),
    /// The node does not reach the table.
    Cut(usize),
    Down(Millis),
    Delay {
        out: Millis,
        back: Millis,
    },
    LoseAnswers(u32),
    DropCalls(u32),
    LoseWrites(u32),
    /// Messages about earlier revisions reach the node.
    Replay(usize),
    Heal,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES.len();
        let act = match u8::arbitrary(g) % 29 {
            0..=9 => Act::Edit {
                node,
                stale: u8::arbitrary(g) % 5 == 0,
            },
            10..=12 => Act::Restart(node),
            13..=14 => Act::Isolate(node),
            15..=16 => Act::Cut(node),
            17 => Act::Down(millis(g, 4000)),
            18..=19 => Act::Delay {
                out: millis(g, 1500),
                back: millis(g, 500),
            },
            20..=21 => Act::LoseAnswers(u32::arbitrary(g) % 5),
            22 => Act::DropCalls(u32::arbitrary(g) % 5),
            23..=25 => Act::LoseWrites(u32::arbitrary(g) % 4),
            26..=27 => Act::Replay(node),
            _ => Act::Heal,
        };
        let gap = millis(g, 800);
        Self { gap, act }
    }
}

fn millis(g: &mut Gen, limit: u16) -> Millis {
    Millis(u64::from(u16::arbitrary(g) % limit))
}

/// An edit, known by the start limit in its text.
struct Edit {
    start: u32,
    applying: JoinHandle<ApplyOutcome>,
}

/// One run of a schedule.
struct Trial {
    cluster: Cluster,
    edits: Vec<Edit>,
}

impl Trial {
    fn act(&mut self, act: &Act) -> Result<(), String> {
        let table = &self.cluster.table;
        match *act {
            Act::Edit { node, stale } => self.edit(node, stale),
            Act::Restart(node) => self.cluster.restart(node),
            Act::Isolate(node) => self.cluster.isolate(node),
            Act::Cut(node) => self.cluster.cut(node),
            Act::Down(span) => {
                let until = self.cluster.clock.now() + span;
                table.set_faults(|faults| faults.down_until = until);
            }
            Act::Delay { out, back } => table.set_faults(|faults| {
                faults.delay = out;
                faults.answer_delay = back;
            }),
            Act::LoseAnswers(count) => table.set_faults(|faults| faults.lose_answers = count),
            Act::DropCalls(count) => table.set_faults(|faults| faults.drop_calls = count),
            Act::LoseWrites(count) => self.cluster.lose_writes(count),
            Act::Replay(node) => self.cluster.replay(node),
            Act::Heal => self.cluster.heal(),
        }
        Ok(())
    }

    fn edit(&mut self, node: usize, stale: bool) {
        let held = self.cluster.revision(node);
        let expect = held.map(|held| Revision(held.0 - u64::from(stale && held.0 > 1)));
        let start = 100 + u32::try_from(self.edits.len()).expect("schedules are short");
        let applying = tokio::spawn(self.cluster.edit(node, start, expect));
        self.edits.push(Edit { start, applying });
    }

    fn observed(&self) -> Vec<Vec<Observed>> {
        let lives = self.cluster.lives.iter();
        lives.map(|history| lock(history).clone()).collect()
    }
}

/// A node's revisions only grow.
fn check_monotone(observed: &[Vec<Observed>]) -> Result<(), String> {
    for life in observed {
        if !life.is_sorted_by(|a, b| a.revision < b.revision) {
            return Err(format!("a node reverted: {life:?}"));
        }
    }
    Ok(())
}

/// All nodes have the same text for a revision.
fn check_same(observed: &[Vec<Observed>]) -> Result<(), String> {
    let mut all: Vec<&Observed> = observed.iter().flatten().collect();
    all.sort_by_key(|seen| seen.revision);
    for pair in all.windows(2) {
        if pair[0].revision == pair[1].revision && pair[0].start != pair[1].start {
            return Err(format!("two texts of one revision: {pair:?}"));
        }
    }
    Ok(())
}

/// What an operator was told is what nodes have in force.
fn check_told(
    start: u32,
    applied: &ApplyOutcome,
    observed: &[Vec<Observed>],
) -> Result<(), String> {
    let mut all = observed.iter().flatten();
    let fault = match applied {
        ApplyOutcome::Accepted { revision } => {
            let other = all.find(|seen| seen.revision == *revision && seen.start != start);
            other.map(|seen| format!("accepted as {revision}, which is {seen:?}"))
        }
        ApplyOutcome::Unavailable {
            maybe_applied: true,
        } => None,
        lost => {
            let seen = all.find(|seen| seen.start == start);
            seen.map(|seen| format!("told {lost:?}, but in force: {seen:?}"))
        }
    };
    fault.map_or(Ok(()), Err)
}

async fn try_out(steps: &[Step]) -> Result<(), String> {
    let mut trial = Trial {
        cluster: Cluster::new(&NODES),
        edits: Vec::new(),
    };
    for step in steps {
        tokio::time::sleep(step.gap.duration()).await;
        trial.act(&step.act)?;
    }
    let mut told = Vec::new();
    for edit in std::mem::take(&mut trial.edits) {
        let applied = edit.applying.await;
        told.push((edit.start, applied.map_err(|fault| fault.to_string())?));
    }
    // Writes under way arrive before the faults end.
    tokio::time::sleep(Millis::secs(5).duration()).await;
    trial.cluster.heal();
    tokio::time::sleep(IN_FORCE.duration()).await;
    let observed = trial.observed();
    check_monotone(&observed)?;
    check_same(&observed)?;
    for (start, applied) in &told {
        check_told(*start, applied, &observed)?;
    }
    check_in_force(&trial.cluster, &told)
}

/// Every node has the newest accepted revision.
fn check_in_force(cluster: &Cluster, told: &[(u32, ApplyOutcome)]) -> Result<(), String> {
    let accepted = told.iter().filter_map(|(_, applied)| match applied {
        ApplyOutcome::Accepted { revision } => Some(*revision),
        _ => None,
    });
    let newest = accepted.max();
    for (index, name) in NODES.iter().enumerate() {
        if cluster.revision(index) < newest {
            let held = cluster.revision(index);
            return Err(format!("{name} has {held:?}, accepted is {newest:?}"));
        }
    }
    Ok(())
}

fn documents_hold(steps: Vec<Step>) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O starts");
    let outcome = runtime.block_on(try_out(&steps));
    if let Err(fault) = &outcome {
        eprintln!("{fault}");
    }
    outcome.is_ok()
}

#[test]
fn documents_never_revert_and_lost_edits_never_show() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, 8))
        .tests(TESTS)
        .quickcheck(documents_hold as fn(Vec<Step>) -> bool);
}
