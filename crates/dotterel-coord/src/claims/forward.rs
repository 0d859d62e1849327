//! How a change reaches the table: through the shard's usual writer, or from here.

use compact_str::format_compact;
use dotterel_kernel::{Millis, RequestId};
use tokio::sync::oneshot;

use super::Claims;
use super::change::{Change, Verdict};
use super::claim::Written;
use super::committer::Op;
use super::outcome::{Body, RecordedOutcome};

/// What came of forwarding a change.
pub(super) enum Forward {
    /// No peer has the change; the shard is written from here.
    Local,
    /// The peer gave a certain answer.
    Answered(Box<Verdict>),
    /// The peer did not answer, and may yet make the change.
    Failed,
}

impl Claims {
    /// Makes a change durable, through the shard's usual writer if that answers.
    pub(super) async fn write(&self, change: Change, deadline: Millis) -> Written {
        let index = self.shard_of(change.key());
        let forward = self.forward(index, &change, deadline).await;
        if let Forward::Answered(verdict) = forward
            && *verdict == Verdict::Written
        {
            return Written::Durable;
        }
        let (reply, answer) = oneshot::channel();
        self.shard(index).send(Op::write(change, Some(reply)));
        match self.answer(answer, deadline).await {
            Some(_) => Written::Durable,
            None => Written::Pending,
        }
    }

    pub(super) async fn forward(&self, shard: u32, change: &Change, deadline: Millis) -> Forward {
        let Some(peers) = &self.inner.peers else {
            return Forward::Local;
        };
        let Some(writer) = peers.writer(shard) else {
            return Forward::Local;
        };
        // Half of the time is left for committing from here.
        let limit = self
            .config()
            .patience
            .0
            .min(deadline.since(self.now()).0 / 2);
        let call = peers.forward(&writer, change);
        match tokio::time::timeout(Millis(limit).duration(), call).await {
            Ok(Err(fault)) if fault.had_no_effect() => Forward::Local,
            Ok(Ok(Verdict::Unavailable) | Err(_)) | Err(_) => Forward::Failed,
            Ok(Ok(verdict)) => Forward::Answered(Box::new(verdict)),
        }
    }

    /// Moves a large body to the object store, or leaves only its length and hash.
    pub(super) async fn bounded(
        &self,
        request: RequestId,
        mut outcome: RecordedOutcome,
    ) -> RecordedOutcome {
        let Body::Whole(bytes) = &outcome.body else {
            return outcome;
        };
        if bytes.len() <= self.config().body {
            return outcome;
        }
        let name = format_compact!("outcomes/{}", request);
        let stored = match &self.inner.store {
            Some(store) => store.put(&name, bytes.clone()).await.is_ok(),
            None => false,
        };
        outcome.body = if stored {
            Body::Object(name)
        } else {
            Body::omitted(bytes)
        };
        outcome
    }
}

/// Runs a write to its end also when the one who waits for it goes away.
pub(super) async fn detached(write: impl Future<Output = Written> + Send + 'static) -> Written {
    tokio::spawn(write).await.unwrap_or(Written::Pending)
}
