//! Serves a fake worker over HTTP.

use async_trait::async_trait;
use bytes::Bytes;
use dotterel_kernel::{Epoch, NodeId, TaskId};
use dotterel_platform::{AcquireRequest, RenewRequest, StartRequest, TaskSignal, Upstream, api};

use super::{Api, Call, Reply};
use crate::worker::FakeWorker;

/// A worker, served at its own address.
#[derive(Clone, Debug)]
pub(crate) struct WorkerApi(pub(crate) FakeWorker);

#[async_trait]
impl Api for WorkerApi {
    async fn respond(&self, call: Call) -> Reply {
        let worker = self.0.for_caller(&call.caller);
        let reply = match call.path.as_str() {
            path if path.starts_with("/v1/lease/") => lease_call(&worker, &call).await,
            path if path.starts_with("/v1/tasks/") => task_call(&worker, &call).await,
            _ => Ok(Reply::not_found()),
        };
        reply
            .unwrap_or_else(|err| Reply::bad_request(err.to_string()))
            .truncated(worker.faults().truncate)
    }
}

async fn lease_call(worker: &FakeWorker, call: &Call) -> Result<Reply, postcard::Error> {
    Ok(match call.path.as_str() {
        api::ACQUIRE => {
            let request: AcquireRequest = api::decode(&call.body)?;
            Reply::from_result(worker.acquire(&request).await)
        }
        api::RENEW => {
            let renewal: RenewRequest = api::decode(&call.body)?;
            Reply::from_result(worker.renew(&renewal).await)
        }
        api::RELEASE => {
            let (epoch, successor): (Epoch, Option<NodeId>) = api::decode(&call.body)?;
            Reply::from_result(worker.release(epoch, successor.as_ref()).await)
        }
        _ => Reply::not_found(),
    })
}

async fn task_call(worker: &FakeWorker, call: &Call) -> Result<Reply, postcard::Error> {
    Ok(match call.path.as_str() {
        api::RUN => {
            let (start, body): (StartRequest, Bytes) = api::decode(&call.body)?;
            Reply::from_result(worker.run(&start, body).await)
        }
        api::LAUNCH => {
            let (start, body): (StartRequest, Bytes) = api::decode(&call.body)?;
            Reply::from_result(worker.launch(&start, body).await)
        }
        api::STATE => {
            let task: TaskId = api::decode(&call.body)?;
            Reply::from_result(worker.state(task).await)
        }
        api::STOP => {
            let task: TaskId = api::decode(&call.body)?;
            Reply::from_result(worker.stop(task).await)
        }
        api::SIGNAL => {
            let args: (Epoch, TaskId, TaskSignal) = api::decode(&call.body)?;
            Reply::from_result(worker.signal(args.0, args.1, args.2).await)
        }
        _ => Reply::not_found(),
    })
}
