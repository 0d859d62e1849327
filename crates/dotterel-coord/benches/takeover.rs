//! How long the VMs of a node that dies or stops are without an owner, in virtual time.
//!
//! Eight nodes own 48 VMs of one data centre. One node after another is killed, or hands its VMs
//! over some time after it has announced its stop, at another phase of its renewals. A VM counts from that moment until it grants its lease
//! to another node.

use std::sync::{Arc, Mutex};

use dotterel_coord::{
    Heartbeat, LeaseHandler, LeaseIntent, LeaseKeeper, Members, Permit, RawTerms, RenewalBatch,
    Terms,
};
use dotterel_kernel::{Clock, Incarnation, Millis, NodeId, Size, VmId};
use dotterel_platform::{Grant, Owner, VmReport};
use dotterel_standin::{Event, FakeWorker};
use tokio::sync::watch;
use tokio::task::JoinSet;

const NODES: usize = 8;
const VMS: usize = 48;

/// Ends of nodes for each time to live.
const ROUNDS: usize = 32;

/// How long a silent node counts as live.
const PATIENCE: Millis = Millis(2_500);

/// The time between two heartbeats of a node.
const BEAT: Millis = Millis(500);

/// The time between two looks at who should own a VM.
const LOOK: Millis = Millis(200);

/// One way between two nodes, and there and back between a node and a VM.
const DELAY: Millis = Millis(1);

/// A holder that has no tasks.
struct Idle;

impl LeaseHandler for Idle {
    fn granted(&self, _: &Grant, _: Option<Permit>) {}
    fn renewed(&self, _: &VmId, _: &VmReport, _: Option<Permit>) {}
    fn lost(&self, _: &VmId) {}
    fn tasks(&self, _: &VmId) -> RenewalBatch {
        RenewalBatch::default()
    }
}

struct Node {
    members: Arc<Mutex<Members>>,
    jobs: JoinSet<()>,
}

fn name(node: usize) -> NodeId {
    format!("entry-{node}").as_str().into()
}

fn heartbeat(node: usize, at: Millis) -> Heartbeat {
    Heartbeat {
        node: name(node),
        incarnation: Incarnation(1),
        data_centre: "dc".into(),
        region: "region".into(),
        addr: format!("10.0.0.{node}:1").into(),
        at,
        stopping: false,
        spare: Size::ZERO,
        documents: Vec::new(),
    }
}

fn start(number: usize, workers: &[FakeWorker], clock: Clock, terms: Terms) -> Node {
    let now = clock.now();
    let mut members = Members::new(heartbeat(number, now), PATIENCE, now);
    for peer in (0..NODES).filter(|peer| *peer != number) {
        members.record_heartbeat(heartbeat(peer, now), now);
    }
    let mut node = Node {
        members: Arc::new(Mutex::new(members)),
        jobs: JoinSet::new(),
    };
    for worker in workers {
        let owner = Owner {
            node: name(number),
            incarnation: Incarnation(1),
        };
        let (wish, wishes) = watch::channel(LeaseIntent::Drain);
        let upstream = Arc::new(worker.clone());
        let keeper = LeaseKeeper::new(worker.vm(), owner, upstream, Arc::new(Idle), clock);
        node.jobs.spawn(keeper.terms(terms).run(wishes));
        node.jobs
            .spawn(look(node.members.clone(), worker.vm(), wish, clock));
    }
    node
}

async fn look(
    members: Arc<Mutex<Members>>,
    vm: VmId,
    wish: watch::Sender<LeaseIntent>,
    clock: Clock,
) {
    loop {
        let next = {
            let members = members.lock().expect("no panic holds it");
            let owner = members.desired_owner(&vm, &"dc".into(), clock.now());
            owner.map_or(LeaseIntent::Drain, |owner| {
                match *owner == members.own().node {
                    true => LeaseIntent::Hold,
                    false => LeaseIntent::HandOver(owner.clone()),
                }
            })
        };
        let stopping = members.lock().expect("no panic holds it").own().stopping;
        if stopping {
            // The heirs must have heard of the stop and seek the leases by then.
            tokio::time::sleep((BEAT + LOOK).duration()).await;
        }
        wish.send_if_modified(|wish| std::mem::replace(wish, next.clone()) != next);
        tokio::time::sleep(LOOK.duration()).await;
    }
}

/// Sends the node's heartbeats to all others.
async fn beat(own: Arc<Mutex<Members>>, others: Vec<Arc<Mutex<Members>>>, clock: Clock) {
    loop {
        let heartbeat = {
            let mut own = own.lock().expect("no panic holds it");
            own.tick(clock.now());
            Heartbeat {
                at: clock.now(),
                ..own.own().clone()
            }
        };
        tokio::time::sleep(DELAY.duration()).await;
        for other in &others {
            let mut other = other.lock().expect("no panic holds it");
            other.record_heartbeat(heartbeat.clone(), clock.now());
        }
        tokio::time::sleep((BEAT - DELAY).duration()).await;
    }
}

/// Ends one node and returns how long each of its VMs was without an owner.
async fn round(number: usize, terms: Terms, planned: bool) -> Vec<Millis> {
    let clock = Clock::starting_at(Millis(1_000_000));
    let worker = |index| {
        let id = format!("worker-{index:02}");
        let worker = FakeWorker::new(id.as_str().into(), Size::ZERO, clock);
        worker.set_faults(|faults| faults.answer_delay = DELAY);
        worker
    };
    let workers: Vec<FakeWorker> = (0..VMS).map(worker).collect();
    let mut nodes = Vec::new();
    for number in 0..NODES {
        nodes.push(start(number, &workers, clock, terms));
        tokio::time::sleep(Millis(37).duration()).await;
    }
    let all: Vec<_> = nodes.iter().map(|node| node.members.clone()).collect();
    for node in &mut nodes {
        node.jobs
            .spawn(beat(node.members.clone(), all.clone(), clock));
        tokio::time::sleep(Millis(61).duration()).await;
    }
    let phase = terms.ttl().0 * number as u64 / ROUNDS as u64;
    tokio::time::sleep(Millis(10_000 + phase).duration()).await;

    let dying = number % NODES;
    let end = clock.now();
    if planned {
        let mut members = nodes[dying].members.lock().expect("no panic holds it");
        let mut own = members.own().clone();
        own.stopping = true;
        members.set_own(own);
    } else {
        nodes[dying].jobs.abort_all();
    }
    tokio::time::sleep(Millis::secs(15).duration()).await;
    workers
        .iter()
        .filter_map(|worker| gap(worker, &name(dying), end, planned))
        .collect()
}

/// Returns how long a VM was without an owner, or none if another node owned it.
fn gap(worker: &FakeWorker, node: &NodeId, end: Millis, planned: bool) -> Option<Millis> {
    let log = worker.event_log();
    let grants = || log.iter().filter(|seen| seen.event == Event::Granted);
    let before = grants().rfind(|seen| seen.at <= end)?;
    if before.owner.as_ref()?.node != *node {
        return None;
    }
    let released = log
        .iter()
        .find(|seen| matches!(seen.event, Event::Released(_)) && seen.at >= end);
    let from = released.filter(|_| planned).map_or(end, |seen| seen.at);
    let after = grants().find(|seen| seen.at > end)?;
    Some(after.at.since(from))
}

fn measure(ttl: u64, planned: bool) {
    let raw = RawTerms {
        ttl_ms: ttl,
        call_ms: ttl / 5,
        margin_ms: ttl / 20,
        ..RawTerms::default()
    };
    let terms = Terms::try_from(raw).expect("the terms are within their ranges");
    let mut gaps: Vec<Millis> = Vec::new();
    for number in 0..ROUNDS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("a runtime can be built");
        gaps.extend(runtime.block_on(round(number, terms, planned)));
    }
    gaps.sort_unstable();
    let at = |percent: usize| gaps[(gaps.len() - 1) * percent / 100].0;
    let how = if planned { "planned" } else { "killed" };
    println!(
        "{how:<8} {ttl:>7} {:>6} {:>9} {:>7} {:>8}",
        gaps.len(),
        at(50),
        at(99),
        at(100)
    );
}

fn main() {
    println!("node     TTL, ms    VMs median ms  p99 ms worst ms");
    for planned in [false, true] {
        for ttl in [1_500, 3_000, 5_000] {
            measure(ttl, planned);
        }
    }
}
