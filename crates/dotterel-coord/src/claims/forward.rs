//! Writes changes to the table, through the shard's usual writer or directly.

use compact_str::format_compact;
use dotterel_kernel::{Millis, RequestId};
use tokio::sync::oneshot;

use super::Claims;
use super::change::{Change, ChangeOutcome};
use super::claim::Durability;
use super::committer::Op;
use super::outcome::{Body, RecordedOutcome};

/// The result of forwarding a change.
pub(super) enum Forward {
    /// No peer received the change; this node writes the shard itself.
    Local,
    /// The peer replied with a definite outcome.
    Replied(Box<ChangeOutcome>),
    /// The outcome is not known; the peer may still make the change.
    Failed,
}

impl Claims {
    /// Makes a change durable, through the shard's usual writer if it replies.
    pub(super) async fn write(&self, change: Change, deadline: Millis) -> Durability {
        let index = self.shard_of(change.key());
        let forward = self.forward(index, &change, deadline).await;
        if let Forward::Replied(result) = forward
            && *result == ChangeOutcome::Written
        {
            return Durability::Durable;
        }
        let (reply_tx, reply_rx) = oneshot::channel();
        self.shard(index).send(Op::write(change, Some(reply_tx)));
        match self.wait_reply(reply_rx, deadline).await {
            Some(_) => Durability::Durable,
            None => Durability::Pending,
        }
    }

    pub(super) async fn forward(&self, shard: u32, change: &Change, deadline: Millis) -> Forward {
        let Some(peers) = &self.inner.peers else {
            return Forward::Local;
        };
        let Some(writer) = peers.writer(shard) else {
            return Forward::Local;
        };
        // Reserves half of the remaining time for committing the change locally.
        let limit = self
            .config()
            .peer_timeout
            .0
            .min(deadline.since(self.now()).0 / 2);
        let call = peers.forward(&writer, change);
        match tokio::time::timeout(Millis(limit).duration(), call).await {
            Ok(Err(err)) if err.had_no_effect() => Forward::Local,
            Ok(Ok(ChangeOutcome::Unavailable) | Err(_)) | Err(_) => Forward::Failed,
            Ok(Ok(result)) => Forward::Replied(Box::new(result)),
        }
    }

    /// Moves a large body to the object store; if that fails, keeps only its length and hash.
    pub(super) async fn store_large_body(
        &self,
        request: RequestId,
        mut outcome: RecordedOutcome,
    ) -> RecordedOutcome {
        let Body::Inline(bytes) = &outcome.body else {
            return outcome;
        };
        if bytes.len() <= self.config().inline_body {
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

/// Runs a write to completion even if the caller's future is dropped.
pub(super) async fn run_detached(
    write: impl Future<Output = Durability> + Send + 'static,
) -> Durability {
    tokio::spawn(write).await.unwrap_or(Durability::Pending)
}
