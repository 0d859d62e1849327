//! Embeds the worker lease alone: one node holds a VM, dies, and another takes over.
//!
//! Run it with `cargo run -p dotterel-coord --example worker_lease`.

use std::sync::Arc;

use dotterel_coord::{LeaseHandler, LeaseIntent, LeaseKeeper, Permit, RenewalBatch};
use dotterel_kernel::{Clock, Incarnation, Millis, Size, VmId};
use dotterel_platform::{Grant, Owner, VmReport};
use dotterel_standin::FakeWorker;
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// Prints what a node learns of its lease.
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
        println!("{}: holds {vm} no more", self.0);
    }

    fn tasks(&self, _: &VmId) -> RenewalBatch {
        RenewalBatch::default()
    }
}

fn keep(
    node: &'static str,
    worker: &FakeWorker,
    clock: Clock,
) -> (watch::Sender<LeaseIntent>, JoinHandle<()>) {
    let owner = Owner {
        node: node.into(),
        incarnation: Incarnation(1),
    };
    let (wish, wishes) = watch::channel(LeaseIntent::Hold);
    let upstream = Arc::new(worker.clone());
    let keeper = LeaseKeeper::new(worker.vm(), owner, upstream, Arc::new(Printer(node)), clock);
    (wish, tokio::spawn(keeper.run(wishes)))
}

#[tokio::main(flavor = "current_thread")]
async fn main() {
    let clock = Clock::system();
    let worker = FakeWorker::new("worker-1".into(), Size::ZERO, clock);
    let (_first, process) = keep("entry-1", &worker, clock);
    tokio::time::sleep(Millis(100).duration()).await;
    let (second, _process) = keep("entry-2", &worker, clock);
    tokio::time::sleep(Millis::secs(2).duration()).await;

    println!("entry-1 is killed");
    process.abort();
    tokio::time::sleep(Millis::secs(4).duration()).await;

    println!("entry-2 gives the lease back");
    second.send_replace(LeaseIntent::Drain);
    tokio::time::sleep(Millis(100).duration()).await;
}
