//! Messages on a stream: a length in four bytes, then the message in postcard.
//!
//! The length makes a message that was cut off recognisable: a peer acts on whole messages only.

use dotterel_kernel::{Incarnation, NodeId};
use quinn::{RecvStream, SendStream, VarInt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::MeshError;

/// The longest message in bytes.
pub(crate) const MESSAGE_LIMIT: usize = 32 << 20;

/// Tells the peer to drop a stream that was given up.
pub(crate) const GIVEN_UP: VarInt = VarInt::from_u32(1);

const PREFIX_BYTES: usize = 4;

/// The first message of every connection.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// Who calls; the certificate must carry this name.
    pub(crate) node: NodeId,
    /// The caller's life.
    pub(crate) incarnation: Incarnation,
}

/// Encodes a message with its length in front.
pub(crate) fn encode<M: Serialize>(message: &M) -> Result<Vec<u8>, MeshError> {
    let mut bytes = vec![0; PREFIX_BYTES];
    bytes = postcard::to_extend(message, bytes).map_err(MeshError::not_sent)?;
    let length = bytes.len() - PREFIX_BYTES;
    if length > MESSAGE_LIMIT {
        return Err(MeshError::not_sent("the message is too long"));
    }
    let prefix = u32::try_from(length).map_err(MeshError::not_sent)?;
    bytes[..PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(bytes)
}

/// Decodes a whole message; anything cut off or too long gives none.
pub(crate) fn decode<M: DeserializeOwned>(bytes: &[u8]) -> Option<M> {
    let (prefix, message) = bytes.split_first_chunk::<PREFIX_BYTES>()?;
    if u32::from_be_bytes(*prefix) as usize != message.len() {
        return None;
    }
    postcard::from_bytes(message).ok()
}

/// Reads a whole message.
pub(crate) async fn read<M: DeserializeOwned>(stream: &mut RecvStream) -> Result<M, MeshError> {
    let bytes = stream
        .read_to_end(MESSAGE_LIMIT + PREFIX_BYTES)
        .await
        .map_err(MeshError::unknown)?;
    decode(&bytes).ok_or_else(|| MeshError::unknown("the message is not whole"))
}

/// Writes an encoded message and ends the stream.
///
/// The message counts as sent only once this returns; before that the peer cannot have all of it.
pub(crate) async fn write(stream: &mut SendStream, bytes: &[u8]) -> Result<(), MeshError> {
    stream.write_all(bytes).await.map_err(MeshError::not_sent)?;
    stream.finish().map_err(MeshError::not_sent)
}
