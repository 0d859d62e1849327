//! Message framing: a four-byte big-endian length, then the message encoded with postcard.
//!
//! The length lets the receiver detect truncated messages, which it must not act on.

use dotterel_kernel::{Incarnation, NodeId};
use quinn::{RecvStream, SendStream, VarInt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::MeshError;

/// The maximum message length in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 32 << 20;

/// The QUIC error code of a stream that is reset because its call was cancelled.
pub(crate) const CALL_CANCELLED: VarInt = VarInt::from_u32(1);

const PREFIX_BYTES: usize = 4;

/// The first message of every connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// The connecting node; its certificate must be for this name.
    pub(crate) node: NodeId,
    /// The node's incarnation.
    pub(crate) incarnation: Incarnation,
}

/// Encodes a message with its length prefix.
pub(crate) fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, MeshError> {
    let mut bytes = vec![0; PREFIX_BYTES];
    bytes = postcard::to_extend(message, bytes).map_err(MeshError::not_sent)?;
    let length = bytes.len() - PREFIX_BYTES;
    if length > MAX_MESSAGE_BYTES {
        return Err(MeshError::not_sent("the message is too long"));
    }
    let prefix = u32::try_from(length).map_err(MeshError::not_sent)?;
    bytes[..PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(bytes)
}

/// Decodes a message. Returns `None` if its length differs from the prefix or it is malformed.
pub(crate) fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Option<M> {
    let (prefix, message) = bytes.split_first_chunk::<PREFIX_BYTES>()?;
    if u32::from_be_bytes(*prefix) as usize != message.len() {
        return None;
    }
    postcard::from_bytes(message).ok()
}

/// Reads one message up to the end of the stream.
pub(crate) async fn read<M: DeserializeOwned>(stream: &mut RecvStream) -> Result<M, MeshError> {
    let bytes = stream
        .read_to_end(MAX_MESSAGE_BYTES + PREFIX_BYTES)
        .await
        .map_err(MeshError::unknown)?;
    decode(&bytes).ok_or_else(|| MeshError::unknown("the message is truncated or malformed"))
}

/// Writes an encoded message and finishes the stream.
///
/// Until this returns, the peer cannot have received the complete message, so errors are
/// [`MeshError::NotSent`].
pub(crate) async fn write(stream: &mut SendStream, bytes: &[u8]) -> Result<(), MeshError> {
    stream.write_all(bytes).await.map_err(MeshError::not_sent)?;
    stream.finish().map_err(MeshError::not_sent)
}
