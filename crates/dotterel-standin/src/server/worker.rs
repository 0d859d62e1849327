//! A worker over HTTP.

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_kernel::{Epoch, NodeId, TaskId};
use dotterel_platform::{AcquireRequest, RenewRequest, StartRequest, TaskSignal, Upstream, api};

use super::{Api, Call, Reply};
use crate::worker::FakeWorker;

/// One worker behind one address.
#[derive(Clone, Debug)]
pub(crate) struct WorkerApi(pub(crate) FakeWorker);

#[async_trait]
impl Api for WorkerApi {
    async fn answer(&self, call: Call) -> Reply {
        let worker = self.0.of(&call.caller);
        let reply = match call.path.as_str() {
            path if path.starts_with("/v1/lease/") => lease_call(&worker, &call).await,
            path if path.starts_with("/v1/tasks/") => task_call(&worker, &call).await,
            _ => Ok(Reply::not_found()),
        };
        reply
            .unwrap_or_else(|fault| Reply::refused(fault.to_string()))
            .truncated(worker.faults().truncate)
    }
}

async fn lease_call(worker: &FakeWorker, call: &Call) -> Result<Reply, postcard::Error> {
    Ok(match call.path.as_str() {
        api::ACQUIRE => {
            let ask: AcquireRequest = api::decode(&call.body)?;
            Reply::of(worker.acquire(&ask).await)
        }
        api::RENEW => {
            let renewal: RenewRequest = api::decode(&call.body)?;
            Reply::of(worker.renew(&renewal).await)
        }
        api::RELEASE => {
            let (epoch, heir): (Epoch, Option<NodeId>) = api::decode(&call.body)?;
            Reply::of(worker.release(epoch, heir.as_ref()).await)
        }
        _ => Reply::not_found(),
    })
}

async fn task_call(worker: &FakeWorker, call: &Call) -> Result<Reply, postcard::Error> {
    Ok(match call.path.as_str() {
        api::RUN => {
            let (start, body): (StartRequest, Bytes) = api::decode(&call.body)?;
            Reply::of(worker.run(&start, body).await)
        }
        api::LAUNCH => {
            let (start, body): (StartRequest, Bytes) = api::decode(&call.body)?;
            Reply::of(worker.launch(&start, body).await)
        }
        api::STATE => {
            let task: TaskId = api::decode(&call.body)?;
            Reply::of(worker.state(task).await)
        }
        api::STOP => {
            let task: TaskId = api::decode(&call.body)?;
            Reply::of(worker.stop(task).await)
        }
        api::SIGNAL => {
            let ask: (Epoch, TaskId, TaskSignal) = api::decode(&call.body)?;
            Reply::of(worker.signal(ask.0, ask.1, ask.2).await)
        }
        _ => Reply::not_found(),
    })
}
