//! HTTP clients for the platform's services.

use std::net::SocketAddr;
use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::NodeId;

use super::endpoint::{Endpoint, Limits};
use super::traffic::Traffic;
use crate::api;
use crate::error::CallError;
use crate::store::{Commit, ObjectStore, Row, Table, Write};
use crate::vm_list::{Changes, DataCentreHash, Listing, VmList};

macro_rules! client {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug)]
        pub struct $name(Arc<Endpoint>);

        impl $name {
            /// Returns a client that opens connections on demand.
            #[must_use]
            pub fn new(addr: SocketAddr, caller: &NodeId, limits: Limits) -> Self {
                Self(Arc::new(Endpoint::new(addr, caller, limits)))
            }

            /// Returns the client with its calls and bytes counted in `traffic`.
            #[must_use]
            pub fn with_traffic(self, traffic: &Arc<Traffic>) -> Self {
                Self(Arc::new(self.0.with_traffic(traffic)))
            }
        }
    };
}

client! {
    /// A [`Table`] over HTTP.
    HttpTable
}
client! {
    /// An [`ObjectStore`] over HTTP.
    HttpStore
}
client! {
    /// A [`VmList`] over HTTP.
    HttpVmList
}

#[async_trait]
impl Table for HttpTable {
    async fn get(&self, key: &str) -> Result<Option<Row>, CallError> {
        self.0.call(api::TABLE_GET, &key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, CallError> {
        let args = (prefix, after, limit);
        self.0.call(api::TABLE_SCAN, &args).await
    }

    async fn commit(&self, writes: &[Write]) -> Result<Commit, CallError> {
        self.0.call(api::TABLE_COMMIT, &writes).await
    }
}

#[async_trait]
impl ObjectStore for HttpStore {
    async fn put(&self, name: &str, value: Bytes) -> Result<(), CallError> {
        self.0.call(api::STORE_PUT, &(name, value)).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, CallError> {
        self.0.call(api::STORE_GET, &name).await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<CompactString>, CallError> {
        let args = (prefix, after, limit);
        self.0.call(api::STORE_LIST, &args).await
    }
}

#[async_trait]
impl VmList for HttpVmList {
    async fn list(&self) -> Result<Listing, CallError> {
        self.0.call(api::VM_LIST, &()).await
    }

    async fn changes(&self, known: &[DataCentreHash]) -> Result<Changes, CallError> {
        self.0.call(api::VM_CHANGES, &known).await
    }
}
