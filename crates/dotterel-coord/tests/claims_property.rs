//! Checks that a key runs at most once under random schedules of requests, crashes and faults.

#[path = "support/claims.rs"]
#[expect(dead_code, reason = "each test file uses a part of it")]
mod support;

use dotterel_coord::ClaimOutcome;
use dotterel_coord::claims::State;
use dotterel_kernel::Millis;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{AfterClaim, Cluster, Response, claim_key, recorded_outcome, small_limits};

const NODES: [&str; 3] = ["a", "b", "c"];
const KEYS: [&str; 4] = ["order-1", "order-2", "order-3", "order-4"];

/// The number of schedules tried for each property.
const SCHEDULES: u64 = 400;

/// The maximum length of a schedule.
const MAX_STEPS: usize = 40;

/// The maximum time between two steps, in milliseconds.
const MAX_GAP_MS: u16 = 300;

#[derive(Clone, Debug)]
struct Step {
    delay_before: Millis,
    op: Op,
}

#[derive(Clone, Debug)]
enum Op {
    Request {
        node: usize,
        key: usize,
        after_claim: AfterClaim,
    },
    /// A request whose caller disconnects after a delay.
    AbandonedRequest {
        node: usize,
        key: usize,
        after: Millis,
    },
    Kill {
        node: usize,
    },
    Delay {
        request_delay: Millis,
        response_delay: Millis,
    },
    /// Loses the responses to the next calls to the table after they took effect.
    LoseResponses(u32),
    /// Drops the next calls to the table before they take effect.
    DropRequests(u32),
    TableDown(Millis),
    /// Disconnects the node from the table.
    Disconnect(usize),
    /// Calls of the node to the table have no effect and never return.
    Silent(usize),
    /// Calls of the node to the table take effect but never return.
    Mute(usize),
    MeshFaults {
        loss_percent: u32,
        delay: Millis,
        writers_disagree: bool,
    },
    ClearFaults,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            delay_before: millis(g, MAX_GAP_MS),
            op: Op::arbitrary(g),
        }
    }
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES.len();
        let key = usize::arbitrary(g) % KEYS.len();
        match u8::arbitrary(g) % 32 {
            0..=13 => Self::Request {
                node,
                key,
                after_claim: after_claim(g),
            },
            14..=16 => Self::AbandonedRequest {
                node,
                key,
                after: millis(g, 400),
            },
            17 => Self::Kill { node },
            18..=19 => Self::Delay {
                request_delay: millis(g, 2500),
                response_delay: millis(g, 300),
            },
            20..=21 => Self::LoseResponses(u32::arbitrary(g) % 4),
            22 => Self::DropRequests(u32::arbitrary(g) % 4),
            23 => Self::TableDown(millis(g, 2000)),
            24 => Self::Disconnect(node),
            25 => Self::Silent(node),
            26 => Self::Mute(node),
            27..=29 => Self::MeshFaults {
                loss_percent: u32::arbitrary(g) % 101,
                delay: millis(g, 900),
                writers_disagree: bool::arbitrary(g),
            },
            _ => Self::ClearFaults,
        }
    }
}

fn millis(g: &mut Gen, max: u16) -> Millis {
    Millis(u64::from(u16::arbitrary(g) % max))
}

fn after_claim(g: &mut Gen) -> AfterClaim {
    let ends = [
        AfterClaim::Runs,
        AfterClaim::Runs,
        AfterClaim::Runs,
        AfterClaim::Refused,
        AfterClaim::Refused,
        AfterClaim::DiesBeforeDispatch,
        AfterClaim::DiesAfterDispatch,
    ];
    *g.choose(&ends).expect("the list is not empty")
}

/// One run of a schedule and the responses that callers got.
struct Run {
    cluster: Cluster,
    responses: Vec<(usize, usize, tokio::task::JoinHandle<Response>)>,
}

impl Run {
    fn new(forwarding: bool, seed: u64) -> Self {
        Self {
            cluster: Cluster::new(&NODES, small_limits(), forwarding, seed),
            responses: Vec::new(),
        }
    }

    fn apply(&mut self, op: &Op) {
        let table = &self.cluster.table;
        match *op {
            Op::Request {
                node,
                key,
                after_claim,
            } => {
                let claim_request = self.cluster.claim_request(KEYS[key], KEYS[key]);
                let request = self
                    .cluster
                    .handle_request(node, claim_request, after_claim);
                self.responses.push((node, key, tokio::spawn(request)));
            }
            Op::AbandonedRequest { node, key, after } => {
                let claim_request = self.cluster.claim_request(KEYS[key], KEYS[key]);
                let request = self
                    .cluster
                    .handle_request(node, claim_request, AfterClaim::Refused);
                let request = tokio::time::timeout(after.duration(), request);
                let abandoned = async move { request.await.unwrap_or(Response::Missing) };
                self.responses.push((node, key, tokio::spawn(abandoned)));
            }
            Op::Kill { node } => self.cluster.nodes[node].liveness.kill(),
            Op::Delay {
                request_delay,
                response_delay,
            } => table.set_faults(|faults| {
                faults.delay = request_delay;
                faults.answer_delay = response_delay;
            }),
            Op::LoseResponses(count) => table.set_faults(|faults| faults.lose_answers = count),
            Op::DropRequests(count) => table.set_faults(|faults| faults.drop_calls = count),
            Op::TableDown(duration) => {
                let until = self.cluster.clock.now() + duration;
                table.set_faults(|faults| faults.down_until = until);
            }
            Op::Disconnect(node) => table.set_faults(|faults| faults.cut.push(NODES[node].into())),
            Op::Silent(node) => table.set_faults(|faults| faults.silent.push(NODES[node].into())),
            Op::Mute(node) => table.set_faults(|faults| faults.mute.push(NODES[node].into())),
            Op::MeshFaults {
                loss_percent,
                delay,
                writers_disagree,
            } => self.cluster.set_mesh_faults(|faults| {
                faults.loss_percent = loss_percent;
                faults.delay = delay;
                faults.writers_disagree = writers_disagree;
            }),
            Op::ClearFaults => self.cluster.clear_faults(),
        }
    }

    /// Waits until all requests have ended and the live nodes have finished their background work.
    async fn settle(&mut self) -> Vec<(usize, Response)> {
        self.cluster.clear_faults();
        let mut responses = Vec::new();
        for (_, key, task) in &mut self.responses {
            let timeout = Millis::secs(10).duration();
            // A request at a dead node never ends.
            let result = tokio::time::timeout(timeout, task).await;
            if let Ok(result) = result {
                responses.push((*key, result.expect("the request handler does not panic")));
            }
        }
        tokio::time::sleep(Millis::secs(20).duration()).await;
        responses
    }

    fn has_dead_node(&self, key: usize) -> bool {
        let mut requests = self.responses.iter();
        requests.any(|(node, request_key, _)| {
            *request_key == key && self.cluster.nodes[*node].liveness.is_dead()
        })
    }
}

fn check_responses(run: &Run, responses: &[(usize, Response)]) -> Result<(), String> {
    for (key, response) in responses {
        let Response::Repeat(State::Done(outcome)) = response else {
            continue;
        };
        let runs = run.cluster.dispatched();
        let dispatch = runs
            .iter()
            .find(|dispatch| dispatch.key == claim_key(KEYS[*key]));
        if dispatch.is_none_or(|dispatch| recorded_outcome(dispatch.request) != *outcome) {
            return Err(format!(
                "{} returned an outcome that belongs to no run",
                KEYS[*key]
            ));
        }
    }
    Ok(())
}

/// Checks with a new node that a key that ran cannot run again, and that a key used only at live
/// nodes is not blocked.
async fn check_key(run: &Run, key: usize) -> Result<(), String> {
    let name = KEYS[key];
    let runs = run.cluster.runs(&claim_key(name));
    if runs > 1 {
        return Err(format!("{name} ran {runs} times"));
    }
    let new_node = run.cluster.start_node(small_limits());
    let outcome = new_node
        .claims
        .claim(run.cluster.claim_request(name, name))
        .await;
    let node_died = run.has_dead_node(key);
    match (&outcome, runs) {
        (ClaimOutcome::Won(_), 1) => Err(format!("{name} could run again")),
        (ClaimOutcome::Won(_), _) => Ok(()),
        (ClaimOutcome::Repeat(entry), 1) if matches!(entry.state, State::Done(_)) => Ok(()),
        (ClaimOutcome::Repeat(_), _) if node_died => Ok(()),
        _ => Err(format!("{name} ended as {outcome:?} after {runs} runs")),
    }
}

async fn run_schedule(steps: &[Step], forwarding: bool) -> Result<(), String> {
    let mut run = Run::new(forwarding, steps.len() as u64);
    for step in steps {
        tokio::time::sleep(step.delay_before.duration()).await;
        run.apply(&step.op);
    }
    let responses = run.settle().await;
    check_responses(&run, &responses)?;
    for node in run
        .cluster
        .nodes
        .iter()
        .filter(|node| !node.liveness.is_dead())
    {
        if node.claims.pending() > 0 {
            return Err("a live node has unfinished changes".into());
        }
    }
    for key in 0..KEYS.len() {
        check_key(&run, key).await?;
    }
    Ok(())
}

fn property_holds(steps: &[Step], forwarding: bool) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .expect("the runtime can be built");
    let outcome = runtime.block_on(run_schedule(steps, forwarding));
    if let Err(err) = &outcome {
        eprintln!("{err}");
    }
    outcome.is_ok()
}

fn check_property(seed: u64, property: fn(Vec<Step>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(MAX_STEPS, seed))
        .tests(SCHEDULES)
        .quickcheck(property);
}

#[test]
fn every_key_runs_at_most_once_when_each_node_writes() {
    check_property(5, |steps| property_holds(&steps, false));
}

#[test]
fn every_key_runs_at_most_once_when_changes_are_forwarded() {
    check_property(55, |steps| property_holds(&steps, true));
}
