//! Tasks that crash the VMs that start them.

use dotterel_coord::jobs::Phase;
use dotterel_kernel::{Kind, Millis};

use crate::cluster::{Cluster, sleep_for, spec};

/// Restarts each worker as soon as it runs a task, until the job has ended. Returns the number of
/// restarts and the job's phase.
async fn crash_workers(run_before_crash: Millis) -> (usize, Option<Phase>) {
    const MAX_RESTARTS: usize = 8;
    let mut cluster = Cluster::new(4, 2);
    sleep_for(Millis(100)).await;
    cluster.start_node("a", 1);
    let job = cluster.submit(&spec(Kind::Batch, 1, Millis(600_000))).await;
    let mut restarts = 0;
    for _ in 0..20_000 {
        let phase = cluster.phase(job).await;
        if phase.is_some_and(Phase::is_final) || restarts == MAX_RESTARTS {
            return (restarts, phase);
        }
        let running = cluster.running(job);
        if let Some(run) = running.first()
            && cluster.clock.now() >= run.from + run_before_crash
        {
            let worker = cluster.workers.iter().find(|worker| worker.vm() == run.vm);
            worker.expect("the worker is known").restart();
            restarts += 1;
        }
        sleep_for(Millis(10)).await;
    }
    (restarts, cluster.phase(job).await)
}

/// Guards against starting a task again without limit when each VM that starts it crashes.
#[tokio::test(start_paused = true)]
async fn a_job_whose_task_crashes_its_vms_fails() {
    let (restarts, phase) = crash_workers(Millis(10)).await;

    assert_eq!(phase, Some(Phase::Failed));
    assert_eq!(restarts, 3);
}

/// Guards against giving up a long job because its VMs crash from time to time.
#[tokio::test(start_paused = true)]
async fn a_job_goes_on_when_its_vms_crash_after_a_while() {
    let (_, phase) = crash_workers(Millis::secs(20)).await;

    assert_eq!(phase, Some(Phase::Active));
}
