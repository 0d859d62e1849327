//! The administrator's HTTP interface: injects faults and returns the event logs of workers.
//!
//! | call | effect |
//! | --- | --- |
//! | `GET /v1/faults` | returns the faults of all fakes |
//! | `PUT /v1/faults/{fake}` | replaces a fake's faults; `down_ms` is the length of an outage |
//! | `POST /v1/hush/{fake}` | permanently stalls the fake's open connections |
//! | `PUT /v1/leaving/{vm}` with `true` or `false` | makes the worker refuse or accept new tasks |
//! | `POST /v1/restart/{vm}` | restarts the worker |
//! | `PUT /v1/vms/state/{vm}` with `"live"` or `"leaving"` | sets a VM's state in the list |
//! | `PUT /v1/vms/entry` with a listed VM | adds a VM to the list |
//! | `PUT /v1/vms/lag` with milliseconds | sets the list's lag |
//! | `PUT /v1/vms/frozen` with `true` or `false` | stops or resumes the list's updates |
//! | `GET /v1/witness/{vm}` | returns the worker's event log |
//! | `GET /v1/violations` | returns the violated invariants |
//! | `GET /v1/table` | returns the table's usage counts |
//!
//! The fakes are `table`, `store`, `vms` and the workers by name.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use async_trait::async_trait;
use compact_str::CompactString;
use dotterel_kernel::{Clock, Millis};
use dotterel_platform::{ListedVm, VmState};
use http::Method;
use serde::Deserialize;
use serde::de::DeserializeOwned;

use super::{Api, Call, PlatformApi, Reply};
use crate::checker;
use crate::faults::Faults;
use crate::worker::FakeWorker;

/// The body of a request that sets faults.
#[derive(Debug, Deserialize)]
struct FaultUpdate {
    #[serde(flatten)]
    faults: Faults,
    down_ms: Option<Millis>,
}

/// The administrator's interface to a platform and its workers.
#[derive(Clone, Debug)]
pub(crate) struct AdminApi {
    pub(crate) clock: Clock,
    pub(crate) platform: PlatformApi,
    pub(crate) workers: Vec<FakeWorker>,
    /// Counters whose increment stalls the open connections of a server, by the server's name.
    pub(crate) connection_generations: Vec<(CompactString, Arc<AtomicU64>)>,
}

#[async_trait]
impl Api for AdminApi {
    async fn respond(&self, call: Call) -> Reply {
        let path = call.path.strip_prefix("/v1/").unwrap_or_default();
        let (topic, name) = path.split_once('/').unwrap_or((path, ""));
        let outcome = match (&call.method, topic) {
            (&Method::GET, _) => self.read(topic, name),
            (&Method::PUT, "faults") => self.put_faults(name, &call),
            (&Method::PUT, "vms") => self.put_vms(name, &call),
            (&Method::PUT, "leaving") => self.put_leaving(name, &call),
            (&Method::POST, "restart") => self.restart(name),
            (&Method::POST, "hush") => self.stall_connections(name),
            _ => Ok(Reply::not_found()),
        };
        outcome.unwrap_or_else(Reply::bad_request)
    }
}

type Outcome = Result<Reply, String>;

impl AdminApi {
    fn worker(&self, name: &str) -> Result<&FakeWorker, String> {
        let found = self.workers.iter().find(|w| w.vm().as_str() == name);
        found.ok_or_else(|| format!("no worker is named `{name}`"))
    }

    fn read(&self, topic: &str, name: &str) -> Outcome {
        Ok(match topic {
            "faults" => Reply::json(&self.faults()),
            "witness" => Reply::json(&self.worker(name)?.event_log()),
            "violations" => Reply::json(&self.violations()),
            "table" => Reply::json(&self.platform.table.counts()),
            _ => Reply::not_found(),
        })
    }

    fn faults(&self) -> Vec<(CompactString, Faults)> {
        let platform = &self.platform;
        let mut all = vec![
            ("store".into(), platform.store.faults()),
            ("table".into(), platform.table.faults()),
            ("vms".into(), platform.vms.faults()),
        ];
        all.extend(self.workers.iter().map(|w| (w.vm().0, w.faults())));
        all
    }

    fn violations(&self) -> Vec<checker::Violation> {
        let mut found = checker::over_capacity(&self.workers);
        found.extend(checker::overlapping_runs(&self.workers));
        found
    }

    fn put_faults(&self, fake: &str, call: &Call) -> Outcome {
        let mut update: FaultUpdate = parse(call)?;
        if let Some(length) = update.down_ms {
            update.faults.down_until = self.clock.now() + length;
        }
        let set = |faults: &mut Faults| *faults = update.faults;
        match fake {
            "table" => self.platform.table.set_faults(set),
            "store" => self.platform.store.set_faults(set),
            "vms" => self.platform.vms.set_faults(set),
            vm => self.worker(vm)?.set_faults(set),
        }
        Ok(done())
    }

    fn put_vms(&self, name: &str, call: &Call) -> Outcome {
        let vms = &self.platform.vms;
        match name {
            "lag" => vms.set_lag(parse(call)?),
            "frozen" => vms.freeze(parse(call)?),
            "entry" => vms.put(parse::<ListedVm>(call)?),
            _ => match name.strip_prefix("state/") {
                Some(vm) => vms.set_state(vm, parse::<VmState>(call)?),
                None => return Ok(Reply::not_found()),
            },
        }
        Ok(done())
    }

    fn put_leaving(&self, vm: &str, call: &Call) -> Outcome {
        self.worker(vm)?.set_leaving(parse(call)?);
        Ok(done())
    }

    fn restart(&self, vm: &str) -> Outcome {
        self.worker(vm)?.restart();
        Ok(done())
    }

    fn stall_connections(&self, fake: &str) -> Outcome {
        let server = match fake {
            "table" | "store" | "vms" => "platform",
            vm => vm,
        };
        let counter = self
            .connection_generations
            .iter()
            .find(|entry| entry.0 == server);
        let (_, generation) = counter.ok_or_else(|| format!("no model is named `{fake}`"))?;
        generation.fetch_add(1, Ordering::SeqCst);
        Ok(done())
    }
}

fn parse<T: DeserializeOwned>(call: &Call) -> Result<T, String> {
    serde_json::from_slice(&call.body).map_err(|err| err.to_string())
}

fn done() -> Reply {
    Reply::json(&"done")
}
