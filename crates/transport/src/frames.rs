//! The `frames` module packs messages between hosts: a length, a version and a
//! `bincode` body. Every decode is bounded, because a broken peer must not make a
//! host allocate without limit.

use aspenloft_core::errors::{Result, internal, invalid};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the messages between hosts. Hosts of different versions refuse
/// each other's frames rather than misread them.
pub const FRAME_VERSION: u8 = 1;

/// The largest body of one frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Bytes before the body: the length and the version.
const HEADER_BYTES: usize = 5;

fn config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Appends `message` to `buf` as one frame.
pub fn encode(message: &impl Serialize, buf: &mut BytesMut) -> Result<()> {
    let body = bincode::serde::encode_to_vec(message, config())
        .map_err(|e| internal(format!("encode: {e}")))?;
    if body.len() > MAX_FRAME_BYTES {
        return Err(invalid(format!("frame of {} bytes is too large", body.len())));
    }
    buf.reserve(HEADER_BYTES + body.len());
    buf.put_u32(body.len() as u32);
    buf.put_u8(FRAME_VERSION);
    buf.put_slice(&body);
    Ok(())
}

/// Takes one whole frame from the front of `buf`, or `None` until it is all there.
pub fn take(buf: &mut BytesMut) -> Result<Option<Bytes>> {
    if buf.len() < HEADER_BYTES {
        return Ok(None);
    }
    let length = u32::from_be_bytes([buf[0], buf[1], buf[2], buf[3]]) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(invalid(format!("frame of {length} bytes is too large")));
    }
    if buf[4] != FRAME_VERSION {
        return Err(invalid(format!("frame version {} is not {FRAME_VERSION}", buf[4])));
    }
    if buf.len() < HEADER_BYTES + length {
        return Ok(None);
    }
    buf.advance(HEADER_BYTES);
    Ok(Some(buf.split_to(length).freeze()))
}

/// Decodes the body of one frame.
pub fn decode<M: DeserializeOwned>(body: &[u8]) -> Result<M> {
    bincode::serde::decode_from_slice(body, config())
        .map(|(message, _)| message)
        .map_err(|e| invalid(format!("decode: {e}")))
}
