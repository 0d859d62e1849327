//! An in-memory object store.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::sync::{Arc, Mutex};

use async_trait::async_trait;
use bytes::Bytes;
use compact_str::CompactString;
use dotterel_kernel::Clock;
use dotterel_platform::{CallError, ObjectStore};

use crate::fault_injector::{FaultInjector, impl_faults, lock};

type Objects = BTreeMap<CompactString, Bytes>;

/// An in-memory [`ObjectStore`].
#[derive(Clone, Debug)]
pub struct FakeStore {
    injector: FaultInjector,
    objects: Arc<Mutex<Objects>>,
}

impl_faults!(FakeStore);

impl FakeStore {
    /// Returns an empty store.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            injector: FaultInjector::new(clock),
            objects: Arc::default(),
        }
    }
}

fn list(objects: &Objects, prefix: &str, after: &str, limit: usize) -> Vec<CompactString> {
    objects
        .range::<str, _>((Bound::Included(prefix.max(after)), Bound::Unbounded))
        .map(|(name, _)| name)
        .filter(|name| name.as_str() > after)
        .take_while(|name| name.starts_with(prefix))
        .take(limit)
        .cloned()
        .collect()
}

#[async_trait]
impl ObjectStore for FakeStore {
    async fn put(&self, name: &str, value: Bytes) -> Result<(), CallError> {
        let (objects, name) = (self.objects.clone(), CompactString::from(name));
        let write = move || {
            lock(&objects).insert(name, value);
        };
        self.injector.call(write).await
    }

    async fn get(&self, name: &str) -> Result<Option<Bytes>, CallError> {
        let (objects, name) = (self.objects.clone(), CompactString::from(name));
        self.injector
            .call(move || lock(&objects).get(&name).cloned())
            .await
    }

    async fn list(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<CompactString>, CallError> {
        let objects = self.objects.clone();
        let (prefix, after) = (CompactString::from(prefix), CompactString::from(after));
        self.injector
            .call(move || list(&lock(&objects), &prefix, &after, limit))
            .await
    }
}
