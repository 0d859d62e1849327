//! Reads bodies of requests within their size limit, deadline and byte budget.

use std::rc::Rc;

use bytes::Bytes;
use dotterel_kernel::{Clock, Millis};
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::Body as _;

use super::bytes::{ByteBudget, ByteGuard};
use super::refusals::Refusal;
use crate::http::server::RequestBody;

/// A body is held as bytes, as the decoded job, and as its copy in the queue of the link.
pub(super) const BODY_COPIES: usize = 3;
/// Bodies up to this size are read into a buffer of their announced length; others grow by doubling.
pub(super) const FIRST_BUFFER_BYTES: usize = 16 * 1024;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It exceeds its size limit.
    TooLarge,
    /// The connection ended, or the body is malformed.
    CutOff,
    /// It made too little progress.
    Stalled,
    /// It was not complete by the deadline.
    Late,
    /// The budget is exhausted.
    Budget,
}

/// Reads a body of at most `max` bytes until `deadline`. The guard holds the bytes of the body and of the
/// copies that are made of it, until the request is answered.
///
/// The data of all frames is copied into one buffer: a frame that is kept costs more than a chunk of a
/// few bytes, and keeps the buffer that it was read into.
///
/// # Errors
///
/// Returns an error when the body isn't complete, exceeds its limit or the budget, or is too slow.
pub async fn read_body(
    mut body: RequestBody,
    max: usize,
    budget: &Rc<ByteBudget>,
    clock: Clock,
    deadline: Millis,
) -> Result<(Bytes, ByteGuard), BodyError> {
    let announced = body.size_hint().upper();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > max) {
        budget.record(Refusal::LargeBody);
        return Err(BodyError::TooLarge);
    }
    let most = announced.unwrap_or(max);
    let mut guard = budget.begin_upload();
    let upload = Rc::clone(&guard.upload);
    let mut data = Vec::new();
    let mut ended = std::pin::pin!(async {
        let late = clock.sleep_until(deadline);
        let _ = select(
            std::pin::pin!(upload.wakeup.notified()),
            std::pin::pin!(late),
        )
        .await;
    });
    loop {
        let frame = {
            let frame = std::pin::pin!(body.frame());
            match select(frame, ended.as_mut()).await {
                Either::Left((frame, _)) => frame,
                Either::Right(_) => match upload.ended.get() {
                    Some(err) => return Err(err),
                    None => {
                        budget.record(Refusal::LateBody);
                        return Err(BodyError::Late);
                    }
                },
            }
        };
        let Some(frame) = frame else { break };
        let Ok(frame) = frame.map_err(|_| BodyError::CutOff)?.into_data() else {
            continue;
        };
        let size = data.len() + frame.len();
        if size > max {
            budget.record(Refusal::LargeBody);
            return Err(BodyError::TooLarge);
        }
        if size > data.capacity() {
            let capacity = buffer_size(data.capacity(), size, most);
            guard.acquire(capacity - data.capacity()).await?;
            data.reserve_exact(capacity - data.len());
        }
        data.extend_from_slice(&frame);
        upload.received.set(size);
    }
    guard.acquire(data.capacity() * (BODY_COPIES - 1)).await?;
    let bytes = std::mem::replace(&mut guard.bytes, budget.guard());
    Ok((data.into(), bytes))
}

/// Returns the size of the buffer for `needed` bytes of a body of at most `most`.
pub(super) fn buffer_size(current: usize, needed: usize, most: usize) -> usize {
    let doubled = (current * 2).max(FIRST_BUFFER_BYTES);
    doubled.min(most).max(needed)
}
