//! Measures how long the VMs of a node that crashes or stops are without an owner, in virtual time.
//!
//! Eight nodes own 48 VMs of one data centre. Each round stops one node at a different phase of its
//! lease renewals: the node is either killed, or announces its stop and hands its VMs over some time
//! later. A VM is without an owner from the kill, or from the release of its lease, until it grants
//! the lease to another node.

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

const NODE_COUNT: usize = 8;
const VM_COUNT: usize = 48;

/// The number of node stops measured for each lease TTL.
const ROUNDS: usize = 32;

/// The time without heartbeats after which a node no longer counts as live.
const HEARTBEAT_TIMEOUT: Millis = Millis(2_500);

/// The time between two heartbeats of a node.
const HEARTBEAT_INTERVAL: Millis = Millis(500);

/// The time between two checks of which node should own a VM.
const OWNER_CHECK_INTERVAL: Millis = Millis(200);

/// One-way delay between two nodes, and round-trip delay between a node and a VM.
const NETWORK_DELAY: Millis = Millis(1);

/// A lease handler without tasks.
struct NoTasks;

impl LeaseHandler for NoTasks {
    fn granted(&self, _: &Grant, _: Option<Permit>) {}
    fn renewed(&self, _: &VmId, _: &VmReport, _: Option<Permit>) {}
    fn lost(&self, _: &VmId) {}
    fn tasks(&self, _: &VmId) -> RenewalBatch {
        RenewalBatch::default()
    }
}

struct Node {
    members: Arc<Mutex<Members>>,
    background_tasks: JoinSet<()>,
}

fn node_name(node: usize) -> NodeId {
    format!("entry-{node}").as_str().into()
}

fn heartbeat(node: usize, at: Millis) -> Heartbeat {
    Heartbeat {
        node: node_name(node),
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

fn start_node(number: usize, workers: &[FakeWorker], clock: Clock, terms: Terms) -> Node {
    let now = clock.now();
    let mut members = Members::new(heartbeat(number, now), HEARTBEAT_TIMEOUT, now);
    for peer in (0..NODE_COUNT).filter(|peer| *peer != number) {
        members.record_heartbeat(heartbeat(peer, now), now);
    }
    let mut node = Node {
        members: Arc::new(Mutex::new(members)),
        background_tasks: JoinSet::new(),
    };
    for worker in workers {
        let owner = Owner {
            node: node_name(number),
            incarnation: Incarnation(1),
        };
        let (intent_sender, intents) = watch::channel(LeaseIntent::Drain);
        let upstream = Arc::new(worker.clone());
        let keeper = LeaseKeeper::new(worker.vm(), owner, upstream, Arc::new(NoTasks), clock);
        node.background_tasks
            .spawn(keeper.terms(terms).run(intents));
        node.background_tasks.spawn(update_intent(
            node.members.clone(),
            worker.vm(),
            intent_sender,
            clock,
        ));
    }
    node
}

/// Repeatedly updates the lease intent of a node for one VM from its membership view.
async fn update_intent(
    members: Arc<Mutex<Members>>,
    vm: VmId,
    intent_sender: watch::Sender<LeaseIntent>,
    clock: Clock,
) {
    loop {
        let next = {
            let members = members.lock().expect("the lock is not poisoned");
            let owner = members.desired_owner(&vm, &"dc".into(), clock.now());
            owner.map_or(LeaseIntent::Drain, |owner| {
                match *owner == members.own().node {
                    true => LeaseIntent::Hold,
                    false => LeaseIntent::HandOver(owner.clone()),
                }
            })
        };
        let stopping = members
            .lock()
            .expect("the lock is not poisoned")
            .own()
            .stopping;
        if stopping {
            // The successors must first receive the announcement of the stop and try to acquire the
            // leases.
            tokio::time::sleep((HEARTBEAT_INTERVAL + OWNER_CHECK_INTERVAL).duration()).await;
        }
        intent_sender.send_if_modified(|intent| std::mem::replace(intent, next.clone()) != next);
        tokio::time::sleep(OWNER_CHECK_INTERVAL.duration()).await;
    }
}

/// Sends the node's heartbeats to all others.
async fn send_heartbeats(own: Arc<Mutex<Members>>, others: Vec<Arc<Mutex<Members>>>, clock: Clock) {
    loop {
        let heartbeat = {
            let mut own = own.lock().expect("the lock is not poisoned");
            own.tick(clock.now());
            Heartbeat {
                at: clock.now(),
                ..own.own().clone()
            }
        };
        tokio::time::sleep(NETWORK_DELAY.duration()).await;
        for other in &others {
            let mut other = other.lock().expect("the lock is not poisoned");
            other.record_heartbeat(heartbeat.clone(), clock.now());
        }
        tokio::time::sleep((HEARTBEAT_INTERVAL - NETWORK_DELAY).duration()).await;
    }
}

/// Stops one node and returns how long each of its VMs was without an owner.
async fn run_round(number: usize, terms: Terms, planned: bool) -> Vec<Millis> {
    let clock = Clock::starting_at(Millis(1_000_000));
    let worker = |index| {
        let id = format!("worker-{index:02}");
        let worker = FakeWorker::new(id.as_str().into(), Size::ZERO, clock);
        worker.set_faults(|faults| faults.answer_delay = NETWORK_DELAY);
        worker
    };
    let workers: Vec<FakeWorker> = (0..VM_COUNT).map(worker).collect();
    let mut nodes = Vec::new();
    for number in 0..NODE_COUNT {
        nodes.push(start_node(number, &workers, clock, terms));
        tokio::time::sleep(Millis(37).duration()).await;
    }
    let all: Vec<_> = nodes.iter().map(|node| node.members.clone()).collect();
    for node in &mut nodes {
        node.background_tasks
            .spawn(send_heartbeats(node.members.clone(), all.clone(), clock));
        tokio::time::sleep(Millis(61).duration()).await;
    }
    let phase = terms.ttl().0 * number as u64 / ROUNDS as u64;
    tokio::time::sleep(Millis(10_000 + phase).duration()).await;

    let stopping_node = number % NODE_COUNT;
    let stop_time = clock.now();
    if planned {
        let mut members = nodes[stopping_node]
            .members
            .lock()
            .expect("the lock is not poisoned");
        let mut own = members.own().clone();
        own.stopping = true;
        members.set_own(own);
    } else {
        nodes[stopping_node].background_tasks.abort_all();
    }
    tokio::time::sleep(Millis::secs(15).duration()).await;
    workers
        .iter()
        .filter_map(|worker| unowned_time(worker, &node_name(stopping_node), stop_time, planned))
        .collect()
}

/// Returns how long a VM was without an owner, or `None` if the stopped node did not own it.
fn unowned_time(
    worker: &FakeWorker,
    node: &NodeId,
    stop_time: Millis,
    planned: bool,
) -> Option<Millis> {
    let log = worker.event_log();
    let grants = || log.iter().filter(|seen| seen.event == Event::Granted);
    let before = grants().rfind(|seen| seen.at <= stop_time)?;
    if before.owner.as_ref()?.node != *node {
        return None;
    }
    let released = log
        .iter()
        .find(|seen| matches!(seen.event, Event::Released(_)) && seen.at >= stop_time);
    let unowned_since = released
        .filter(|_| planned)
        .map_or(stop_time, |seen| seen.at);
    let after = grants().find(|seen| seen.at > stop_time)?;
    Some(after.at.since(unowned_since))
}

fn measure(ttl: u64, planned: bool) {
    let raw = RawTerms {
        ttl_ms: ttl,
        call_ms: ttl / 5,
        margin_ms: ttl / 20,
        ..RawTerms::default()
    };
    let terms = Terms::try_from(raw).expect("the terms are in range");
    let mut unowned_times: Vec<Millis> = Vec::new();
    for number in 0..ROUNDS {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .expect("the runtime can be built");
        unowned_times.extend(runtime.block_on(run_round(number, terms, planned)));
    }
    unowned_times.sort_unstable();
    let percentile = |percent: usize| unowned_times[(unowned_times.len() - 1) * percent / 100].0;
    let mode = if planned { "planned" } else { "killed" };
    println!(
        "{mode:<8} {ttl:>7} {:>6} {:>9} {:>7} {:>8}",
        unowned_times.len(),
        percentile(50),
        percentile(99),
        percentile(100)
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
