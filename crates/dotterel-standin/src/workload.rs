//! What tasks do on a stand-in worker.

use bytes::Bytes;
use dotterel_kernel::{Millis, Size};
use dotterel_platform::{StartRequest, TaskResponse};
use serde::Deserialize;

/// The run time of a task whose body says nothing.
const DEFAULT_RUN: Millis = Millis(1);

/// What one task is going to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Work {
    /// How long it runs at full speed; [`Millis::MAX`] until it is stopped.
    pub run: Millis,
    /// What it answers in the end.
    pub answer: TaskResponse,
    /// What it really uses.
    pub usage: Size,
    /// Its number within its job, if its body tells.
    pub index: Option<u32>,
}

/// Decides what a task does.
pub trait Workload: Send + Sync {
    /// Returns what the task is going to do.
    fn work(&self, start: &StartRequest, body: &Bytes) -> Work;
}

impl<F> Workload for F
where
    F: Fn(&StartRequest, &Bytes) -> Work + Send + Sync,
{
    fn work(&self, start: &StartRequest, body: &Bytes) -> Work {
        self(start, body)
    }
}

/// Reads the work from a JSON body and answers with the body itself.
///
/// The body `{"run_ms": 40, "status": 200, "index": 3}` runs for 40 ms, answers with status 200
/// and is the task number 3 of its job; all fields may be left out. A body that is no such JSON
/// runs for one millisecond.
#[derive(Clone, Copy, Debug, Default)]
pub struct JsonWorkload;

#[derive(Default, Deserialize)]
struct Wish {
    run_ms: Option<u64>,
    status: Option<u16>,
    index: Option<u32>,
}

impl Workload for JsonWorkload {
    fn work(&self, start: &StartRequest, body: &Bytes) -> Work {
        let wish: Option<Wish> = serde_json::from_slice(body).ok();
        let content_type = match wish {
            Some(_) => "application/json",
            None => "application/octet-stream",
        };
        let wish = wish.unwrap_or_default();
        let answer = TaskResponse {
            status: wish.status.unwrap_or(200),
            content_type: content_type.into(),
            body: body.clone(),
        };
        Work {
            run: wish.run_ms.map_or(DEFAULT_RUN, Millis),
            answer,
            usage: start.size,
            index: wish.index,
        }
    }
}
