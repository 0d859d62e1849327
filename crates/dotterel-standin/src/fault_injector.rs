//! Passes calls to a model and shows its faults on the way.

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use dotterel_kernel::{Clock, Millis};
use dotterel_platform::CallError;

use crate::faults::{ANY_CALLER, Faults, names};

/// Locks a model's state; a panic in a test must not hide behind a poisoned lock.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Gives a model the methods that every model has: handles for callers, and faults.
macro_rules! impl_faults {
    ($model:ident) => {
        impl $model {
            /// Returns a handle for a named caller, to whom faults may apply alone.
            #[must_use]
            pub fn for_caller(&self, caller: &str) -> Self {
                Self {
                    injector: self.injector.for_caller(caller),
                    ..self.clone()
                }
            }

            /// Returns the present faults.
            #[must_use]
            pub fn faults(&self) -> $crate::faults::Faults {
                self.injector.faults()
            }

            /// Changes the faults.
            pub fn set_faults(&self, change: impl FnOnce(&mut $crate::faults::Faults)) {
                self.injector.set(change);
            }
        }
    };
}
pub(crate) use impl_faults;

/// The way from one caller to a model.
#[derive(Clone, Debug)]
pub(crate) struct FaultInjector {
    clock: Clock,
    faults: Arc<Mutex<Faults>>,
    caller: CompactString,
}

impl FaultInjector {
    pub(crate) fn new(clock: Clock) -> Self {
        Self {
            clock,
            faults: Arc::default(),
            caller: ANY_CALLER.into(),
        }
    }

    /// Returns the way of a named caller, subject to the same faults.
    pub(crate) fn for_caller(&self, caller: &str) -> Self {
        Self {
            caller: caller.into(),
            ..self.clone()
        }
    }

    pub(crate) const fn clock(&self) -> &Clock {
        &self.clock
    }

    pub(crate) fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    pub(crate) fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
    }

    /// Brings a call to the model, applies it and brings the answer back.
    pub(crate) async fn call<T, F>(&self, effect: F) -> Result<T, CallError>
    where
        T: Send + 'static,
        F: FnOnce() -> T + Send + 'static,
    {
        let answer = self.arrive(effect).await?;
        self.reply().await?;
        Ok(answer)
    }

    /// Brings a transaction to the model, applies it and brings the answer back.
    pub(crate) async fn commit<T, F>(&self, effect: F) -> Result<T, CallError>
    where
        T: Send + 'static,
        F: FnOnce() -> T + Send + 'static,
    {
        if take(&mut lock(&self.faults).drop_commits) {
            return Err(broken());
        }
        self.call(effect).await
    }

    /// Brings a call to the model and applies it.
    ///
    /// A delayed call travels in a task of its own, because what was sent arrives even when the
    /// caller gives up.
    pub(crate) async fn arrive<T, F>(&self, effect: F) -> Result<T, CallError>
    where
        T: Send + 'static,
        F: FnOnce() -> T + Send + 'static,
    {
        if names(&lock(&self.faults).cut, &self.caller) {
            return Err(CallError::NotSent("no connection".into()));
        }
        let delay = lock(&self.faults).delay;
        if delay == Millis::ZERO {
            self.judge().await?;
            return Ok(effect());
        }
        let injector = self.clone();
        let travel = tokio::spawn(async move {
            tokio::time::sleep(delay.duration()).await;
            injector.judge().await?;
            Ok(effect())
        });
        travel
            .await
            .unwrap_or_else(|fault| Err(CallError::Unknown(fault.to_string().into())))
    }

    /// Brings an answer back.
    pub(crate) async fn reply(&self) -> Result<(), CallError> {
        if names(&lock(&self.faults).mute, &self.caller) {
            return pending().await;
        }
        let delay = lock(&self.faults).answer_delay;
        if delay > Millis::ZERO {
            tokio::time::sleep(delay.duration()).await;
        }
        if take(&mut lock(&self.faults).lose_answers) {
            return Err(CallError::Unknown("the answer was lost".into()));
        }
        Ok(())
    }

    async fn judge(&self) -> Result<(), CallError> {
        if names(&lock(&self.faults).silent, &self.caller) {
            return pending().await;
        }
        let mut faults = lock(&self.faults);
        if self.clock.now() < faults.down_until {
            return Err(CallError::Unavailable("out of service".into()));
        }
        if take(&mut faults.drop_calls) {
            return Err(broken());
        }
        Ok(())
    }
}

fn broken() -> CallError {
    CallError::Unknown("the connection broke".into())
}

fn take(count: &mut u32) -> bool {
    let some = *count > 0;
    *count = count.saturating_sub(1);
    some
}
