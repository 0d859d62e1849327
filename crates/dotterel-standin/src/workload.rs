//! The behaviour of tasks on a fake worker.

use bytes::Bytes;
use dotterel_kernel::{Millis, Size};
use dotterel_platform::{StartRequest, TaskResponse};
use serde::Deserialize;

/// The run time of a task whose body doesn't set one.
const DEFAULT_RUN_TIME: Millis = Millis(1);

/// The behaviour of one task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SimulatedTask {
    /// Run time at full speed; with [`Millis::MAX`] it runs until it is stopped.
    pub run_time: Millis,
    /// The answer when it completes.
    pub answer: TaskResponse,
    /// The resources that it uses, as opposed to its declared size.
    pub usage: Size,
    /// Its index within its job, if its body contains one.
    pub index: Option<u32>,
}

/// Defines how tasks behave.
pub trait Workload: Send + Sync {
    /// Returns the behaviour of a task.
    fn simulate(&self, start: &StartRequest, body: &Bytes) -> SimulatedTask;
}

impl<F> Workload for F
where
    F: Fn(&StartRequest, &Bytes) -> SimulatedTask + Send + Sync,
{
    fn simulate(&self, start: &StartRequest, body: &Bytes) -> SimulatedTask {
        self(start, body)
    }
}

/// Reads the behaviour from the task's JSON body and answers with the body itself.
///
/// The body `{"run_ms": 40, "status": 200, "index": 3}` runs for 40 ms, answers with status 200
/// and is the task with index 3 of its job; all fields are optional. A task with any other body
/// runs for 1 ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonWorkload;

#[derive(Default, Deserialize)]
struct TaskSpec {
    run_ms: Option<u64>,
    status: Option<u16>,
    index: Option<u32>,
}

impl Workload for JsonWorkload {
    fn simulate(&self, start: &StartRequest, body: &Bytes) -> SimulatedTask {
        let spec: Option<TaskSpec> = serde_json::from_slice(body).ok();
        let content_type = match spec {
            Some(_) => "application/json",
            None => "application/octet-stream",
        };
        let spec = spec.unwrap_or_default();
        let answer = TaskResponse {
            status: spec.status.unwrap_or(200),
            content_type: content_type.into(),
            body: body.clone(),
        };
        SimulatedTask {
            run_time: spec.run_ms.map_or(DEFAULT_RUN_TIME, Millis),
            answer,
            usage: start.size,
            index: spec.index,
        }
    }
}
