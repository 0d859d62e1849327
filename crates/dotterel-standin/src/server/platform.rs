//! Serves the fake platform over HTTP.

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use dotterel_platform::{DataCentreHash, ObjectStore, Table, VmList, Write, api};

use super::{Api, Call, Reply};
use crate::store::FakeStore;
use crate::table::FakeTable;
use crate::vm_list::FakeVmList;

/// The platform's three services, served at one address.
#[derive(Clone, Debug)]
pub(crate) struct PlatformApi {
    /// The table.
    pub(crate) table: FakeTable,
    /// The object store.
    pub(crate) store: FakeStore,
    /// The VM list.
    pub(crate) vms: FakeVmList,
}

#[async_trait]
impl Api for PlatformApi {
    async fn respond(&self, call: Call) -> Reply {
        let reply = match call.path.as_str() {
            path if path.starts_with("/v1/table/") => self.table_call(&call).await,
            path if path.starts_with("/v1/store/") => self.store_call(&call).await,
            path if path.starts_with("/v1/vms/") => self.list_call(&call).await,
            _ => Ok(Reply::not_found()),
        };
        reply.unwrap_or_else(|err| Reply::bad_request(err.to_string()))
    }
}

impl PlatformApi {
    async fn table_call(&self, call: &Call) -> Result<Reply, postcard::Error> {
        let table = self.table.for_caller(&call.caller);
        let reply = match call.path.as_str() {
            api::TABLE_GET => {
                let key: CompactString = api::decode(&call.body)?;
                Reply::from_result(table.get(&key).await)
            }
            api::TABLE_SCAN => {
                let args: (CompactString, CompactString, usize) = api::decode(&call.body)?;
                Reply::from_result(table.scan(&args.0, &args.1, args.2).await)
            }
            api::TABLE_COMMIT => {
                let writes: Vec<Write> = api::decode(&call.body)?;
                Reply::from_result(table.commit(&writes).await)
            }
            _ => Reply::not_found(),
        };
        Ok(reply.truncated(table.faults().truncate))
    }

    async fn list_call(&self, call: &Call) -> Result<Reply, postcard::Error> {
        let vms = self.vms.for_caller(&call.caller);
        let reply = match call.path.as_str() {
            api::VM_LIST => Reply::from_result(vms.list().await),
            api::VM_CHANGES => {
                let known: Vec<DataCentreHash> = api::decode(&call.body)?;
                Reply::from_result(vms.changes(&known).await)
            }
            _ => Reply::not_found(),
        };
        Ok(reply.truncated(vms.faults().truncate))
    }

    async fn store_call(&self, call: &Call) -> Result<Reply, postcard::Error> {
        let store = self.store.for_caller(&call.caller);
        let reply = match call.path.as_str() {
            api::STORE_PUT => {
                let (name, value): (CompactString, Bytes) = api::decode(&call.body)?;
                Reply::from_result(store.put(&name, value).await)
            }
            api::STORE_GET => {
                let name: CompactString = api::decode(&call.body)?;
                Reply::from_result(store.get(&name).await)
            }
            api::STORE_LIST => {
                let args: (CompactString, CompactString, usize) = api::decode(&call.body)?;
                Reply::from_result(store.list(&args.0, &args.1, args.2).await)
            }
            _ => Reply::not_found(),
        };
        Ok(reply.truncated(store.faults().truncate))
    }
}
