//! At most once under random schedules of requests, deaths and faults.

#[path = "support/claims.rs"]
#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use dotterel_coord::ClaimOutcome;
use dotterel_coord::claims::State;
use dotterel_kernel::Millis;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{Cluster, End, Told, key_of, outcome_of, small};

const NODES: [&str; 3] = ["a", "b", "c"];
const KEYS: [&str; 4] = ["order-1", "order-2", "order-3", "order-4"];

/// Schedules tried by each property.
const TESTS: u64 = 400;

/// The longest schedule.
const STEPS: usize = 40;

/// The longest time between two steps, in milliseconds.
const GAP_MS: u16 = 300;

#[derive(Clone, Debug)]
struct Step {
    gap: Millis,
    act: Act,
}

#[derive(Clone, Debug)]
enum Act {
    Request {
        node: usize,
        key: usize,
        end: End,
    },
    /// A request whose caller leaves after a while.
    Leave {
        node: usize,
        key: usize,
        after: Millis,
    },
    Kill {
        node: usize,
    },
    Delay {
        out: Millis,
        back: Millis,
    },
    LoseAnswers(u32),
    DropCalls(u32),
    Down(Millis),
    Cut(usize),
    Silent(usize),
    Mute(usize),
    Mesh {
        lose: u32,
        delay: Millis,
        confused: bool,
    },
    Heal,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            gap: millis(g, GAP_MS),
            act: Act::arbitrary(g),
        }
    }
}

impl Arbitrary for Act {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES.len();
        let key = usize::arbitrary(g) % KEYS.len();
        match u8::arbitrary(g) % 32 {
            0..=13 => Self::Request {
                node,
                key,
                end: end(g),
            },
            14..=16 => Self::Leave {
                node,
                key,
                after: millis(g, 400),
            },
            17 => Self::Kill { node },
            18..=19 => Self::Delay {
                out: millis(g, 2500),
                back: millis(g, 300),
            },
            20..=21 => Self::LoseAnswers(u32::arbitrary(g) % 4),
            22 => Self::DropCalls(u32::arbitrary(g) % 4),
            23 => Self::Down(millis(g, 2000)),
            24 => Self::Cut(node),
            25 => Self::Silent(node),
            26 => Self::Mute(node),
            27..=29 => Self::Mesh {
                lose: u32::arbitrary(g) % 101,
                delay: millis(g, 900),
                confused: bool::arbitrary(g),
            },
            _ => Self::Heal,
        }
    }
}

fn millis(g: &mut Gen, limit: u16) -> Millis {
    Millis(u64::from(u16::arbitrary(g) % limit))
}

fn end(g: &mut Gen) -> End {
    let ends = [
        End::Runs,
        End::Runs,
        End::Runs,
        End::Refused,
        End::Refused,
        End::DiesBefore,
        End::DiesAfter,
    ];
    *g.choose(&ends).expect("there are ends")
}

/// One run of a schedule, and what it said.
struct Trial {
    cluster: Cluster,
    told: Vec<(usize, usize, tokio::task::JoinHandle<Told>)>,
}

impl Trial {
    fn new(forwarding: bool, seed: u64) -> Self {
        Self {
            cluster: Cluster::new(&NODES, small(), forwarding, seed),
            told: Vec::new(),
        }
    }

    fn act(&mut self, act: &Act) {
        let table = &self.cluster.table;
        match *act {
            Act::Request { node, key, end } => {
                let ask = self.cluster.ask(KEYS[key], KEYS[key]);
                let request = self.cluster.request(node, ask, end);
                self.told.push((node, key, tokio::spawn(request)));
            }
            Act::Leave { node, key, after } => {
                let ask = self.cluster.ask(KEYS[key], KEYS[key]);
                let request = self.cluster.request(node, ask, End::Refused);
                let request = tokio::time::timeout(after.duration(), request);
                let left = async move { request.await.unwrap_or(Told::Nothing) };
                self.told.push((node, key, tokio::spawn(left)));
            }
            Act::Kill { node } => self.cluster.nodes[node].life.end(),
            Act::Delay { out, back } => table.set_faults(|faults| {
                faults.delay = out;
                faults.answer_delay = back;
            }),
            Act::LoseAnswers(count) => table.set_faults(|faults| faults.lose_answers = count),
            Act::DropCalls(count) => table.set_faults(|faults| faults.drop_calls = count),
            Act::Down(span) => {
                let until = self.cluster.clock.now() + span;
                table.set_faults(|faults| faults.down_until = until);
            }
            Act::Cut(node) => table.set_faults(|faults| faults.cut.push(NODES[node].into())),
            Act::Silent(node) => table.set_faults(|faults| faults.silent.push(NODES[node].into())),
            Act::Mute(node) => table.set_faults(|faults| faults.mute.push(NODES[node].into())),
            Act::Mesh {
                lose,
                delay,
                confused,
            } => self.cluster.set_mesh(|faults| {
                faults.lose = lose;
                faults.delay = delay;
                faults.confused = confused;
            }),
            Act::Heal => self.cluster.heal(),
        }
    }

    /// Lets all requests end and the living nodes finish their background work.
    async fn settle(&mut self) -> Vec<(usize, Told)> {
        self.cluster.heal();
        let mut told = Vec::new();
        for (_, key, task) in &mut self.told {
            let patience = Millis::secs(10).duration();
            // A request at a dead node never ends.
            let answer = tokio::time::timeout(patience, task).await;
            if let Ok(answer) = answer {
                told.push((*key, answer.expect("a front does not panic")));
            }
        }
        tokio::time::sleep(Millis::secs(20).duration()).await;
        told
    }

    fn touched_by_dead(&self, key: usize) -> bool {
        let mut requests = self.told.iter();
        requests.any(|(node, of, _)| *of == key && self.cluster.nodes[*node].life.is_over())
    }
}

fn check_told(trial: &Trial, told: &[(usize, Told)]) -> Result<(), String> {
    for (key, told) in told {
        let Told::Repeat(State::Done(outcome)) = told else {
            continue;
        };
        let runs = trial.cluster.dispatched();
        let run = runs.iter().find(|run| run.key == key_of(KEYS[*key]));
        if run.is_none_or(|run| outcome_of(run.request) != *outcome) {
            return Err(format!("{} was told an outcome of no run", KEYS[*key]));
        }
    }
    Ok(())
}

/// A fresh node must see what ran, and nothing else may block a key of living nodes.
async fn check_key(trial: &Trial, key: usize) -> Result<(), String> {
    let name = KEYS[key];
    let runs = trial.cluster.runs(&key_of(name));
    if runs > 1 {
        return Err(format!("{name} ran {runs} times"));
    }
    let fresh = trial.cluster.fresh(small());
    let outcome = fresh.claims.claim(trial.cluster.ask(name, name)).await;
    let dead = trial.touched_by_dead(key);
    match (&outcome, runs) {
        (ClaimOutcome::Won(_), 1) => Err(format!("{name} could run again")),
        (ClaimOutcome::Won(_), _) => Ok(()),
        (ClaimOutcome::Repeat(entry), 1) if matches!(entry.state, State::Done(_)) => Ok(()),
        (ClaimOutcome::Repeat(_), _) if dead => Ok(()),
        _ => Err(format!("{name} ended as {outcome:?} after {runs} runs")),
    }
}

async fn try_out(steps: &[Step], forwarding: bool) -> Result<(), String> {
    let mut trial = Trial::new(forwarding, steps.len() as u64);
    for step in steps {
        tokio::time::sleep(step.gap.duration()).await;
        trial.act(&step.act);
    }
    let told = trial.settle().await;
    check_told(&trial, &told)?;
    for node in trial
        .cluster
        .nodes
        .iter()
        .filter(|node| !node.life.is_over())
    {
        if node.claims.pending() > 0 {
            return Err("a living node has unfinished changes".into());
        }
    }
    for key in 0..KEYS.len() {
        check_key(&trial, key).await?;
    }
    Ok(())
}

fn run(steps: &[Step], forwarding: bool) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("a runtime without I/O starts");
    let outcome = runtime.block_on(try_out(steps, forwarding));
    if let Err(fault) = &outcome {
        eprintln!("{fault}");
    }
    outcome.is_ok()
}

fn check(seed: u64, property: fn(Vec<Step>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(STEPS, seed))
        .tests(TESTS)
        .quickcheck(property);
}

#[test]
fn every_key_runs_at_most_once_when_each_node_writes() {
    check(5, |steps| run(&steps, false));
}

#[test]
fn every_key_runs_at_most_once_when_changes_are_forwarded() {
    check(55, |steps| run(&steps, true));
}
