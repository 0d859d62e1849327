//! Injects faults into the calls to a fake.

use std::future::pending;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use compact_str::CompactString;
use dotterel_kernel::{Clock, Millis};
use dotterel_platform::CallError;

use crate::faults::{ANY_CALLER, Faults, matches_caller};

/// Locks a fake's state, ignoring poisoning, which would mask the original panic of a test.
pub(crate) fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Implements the methods common to all fakes: handles per caller, and faults.
macro_rules! impl_faults {
    ($fake:ident) => {
        impl $fake {
            /// Returns a handle for a named caller, so that faults can be limited to it.
            #[must_use]
            pub fn for_caller(&self, caller: &str) -> Self {
                Self {
                    injector: self.injector.for_caller(caller),
                    ..self.clone()
                }
            }

            /// Returns the configured faults.
            #[must_use]
            pub fn faults(&self) -> $crate::faults::Faults {
                self.injector.faults()
            }

            /// Changes the configured faults.
            pub fn set_faults(&self, change: impl FnOnce(&mut $crate::faults::Faults)) {
                self.injector.update(change);
            }
        }
    };
}
pub(crate) use impl_faults;

/// Applies a fake's faults to the calls of one caller.
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

    /// Returns an injector for a named caller that shares these faults.
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

    pub(crate) fn update(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.faults));
    }

    /// Runs a call, subject to the faults of the call and of its reply.
    pub(crate) async fn call<T, F>(&self, effect: F) -> Result<T, CallError>
    where
        T: Send + 'static,
        F: FnOnce() -> T + Send + 'static,
    {
        let reply = self.deliver_call(effect).await?;
        self.deliver_reply().await?;
        Ok(reply)
    }

    /// Runs a table transaction; like [`Self::call`], but also subject to `drop_commits`.
    pub(crate) async fn commit<T, F>(&self, effect: F) -> Result<T, CallError>
    where
        T: Send + 'static,
        F: FnOnce() -> T + Send + 'static,
    {
        if consume_one(&mut lock(&self.faults).drop_commits) {
            return Err(connection_broken());
        }
        self.call(effect).await
    }

    /// Runs a call, without the faults of its reply.
    ///
    /// A delayed call runs in its own tokio task, because a call that was sent still arrives when
    /// its caller is cancelled.
    pub(crate) async fn deliver_call<T, F>(&self, effect: F) -> Result<T, CallError>
    where
        T: Send + 'static,
        F: FnOnce() -> T + Send + 'static,
    {
        if matches_caller(&lock(&self.faults).cut, &self.caller) {
            return Err(CallError::NotSent("no connection".into()));
        }
        let delay = lock(&self.faults).delay;
        if delay == Millis::ZERO {
            self.apply_arrival_faults().await?;
            return Ok(effect());
        }
        let injector = self.clone();
        let delivery = tokio::spawn(async move {
            tokio::time::sleep(delay.duration()).await;
            injector.apply_arrival_faults().await?;
            Ok(effect())
        });
        delivery
            .await
            .unwrap_or_else(|err| Err(CallError::Unknown(err.to_string().into())))
    }

    /// Applies the faults of the reply.
    pub(crate) async fn deliver_reply(&self) -> Result<(), CallError> {
        if matches_caller(&lock(&self.faults).mute, &self.caller) {
            return pending().await;
        }
        let delay = lock(&self.faults).answer_delay;
        if delay > Millis::ZERO {
            tokio::time::sleep(delay.duration()).await;
        }
        if consume_one(&mut lock(&self.faults).lose_answers) {
            return Err(CallError::Unknown("the answer was lost".into()));
        }
        Ok(())
    }

    /// Applies the faults of a call that has arrived.
    async fn apply_arrival_faults(&self) -> Result<(), CallError> {
        if matches_caller(&lock(&self.faults).silent, &self.caller) {
            return pending().await;
        }
        let mut faults = lock(&self.faults);
        if self.clock.now() < faults.down_until {
            return Err(CallError::Unavailable("out of service".into()));
        }
        if consume_one(&mut faults.drop_calls) {
            return Err(connection_broken());
        }
        Ok(())
    }
}

fn connection_broken() -> CallError {
    CallError::Unknown("the connection broke".into())
}

fn consume_one(count: &mut u32) -> bool {
    let had_any = *count > 0;
    *count = count.saturating_sub(1);
    had_any
}
