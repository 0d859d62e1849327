//! Uses the worker lease on its own: one node holds a VM and is killed, and another takes over.
//!
//! Run it with `cargo run -p dotterel-coord --example worker_lease`.

use std::sync::Arc;

use dotterel_coord::{LeaseHandler, LeaseIntent, LeaseKeeper, Permit, RenewalBatch};
use dotterel_kernel::{Clock, Incarnation, Millis, Size, VmId};
use dotterel_platform::{Grant, Owner, VmReport};
use dotterel_standin::FakeWorker;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Prints the lease events of a node.
struct Printer(&'static str);

impl LeaseHandler for Printer {
    fn granted(&self, grant: &Grant, permit: Option<Permit>) {
        let may = if permit.is_some() { "may" } else { "may not" };
        let Grant { vm, epoch, .. } = grant;
        println!(
            "{}: holds {vm} under epoch {epoch} and {may} start tasks",
            self.0
        );
    }

    fn renewed(&self, _: &VmId, _: &VmReport, _: Option<Permit>) {}

    fn lost(&self, vm: &VmId) {
        println!("{}: lost the lease of {vm}", self.0);
    }

    fn tasks(&self, _: &VmId) -> RenewalBatch {
        RenewalBatch::default()
    }
}

/// Starts the task that keeps the lease of a VM for a node.
fn start_keeper(
    node: &'static str,
    worker: &FakeWorker,
    clock: Clock,
) -> (watch::Sender<LeaseIntent>, JoinHandle<()>) {
    let owner = Owner {
        node: node.into(),
        incarnation: Incarnation(1),
    };
    let (intent_sender, intents) = watch::channel(LeaseIntent::Hold);
    let upstream = Arc::new(worker.clone());
    let keeper = LeaseKeeper::new(worker.vm(), owner, upstream, Arc::new(Printer(node)), clock);
    (intent_sender, tokio::spawn(keeper.run(intents)))
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let clock = Clock::system();
    let worker = FakeWorker::new("worker-1".into(), Size::ZERO, clock);
    let (_first, keeper_task) = start_keeper("entry-1", &worker, clock);
    tokio::time::sleep(Millis(100).duration()).await;
    let (second, _keeper_task) = start_keeper("entry-2", &worker, clock);
    tokio::time::sleep(Millis::secs(2).duration()).await;

    println!("entry-1 is killed");
    keeper_task.abort();
    tokio::time::sleep(Millis::secs(4).duration()).await;

    println!("entry-2 releases the lease");
    second.send_replace(LeaseIntent::Drain);
    tokio::time::sleep(Millis(100).duration()).await;
}
