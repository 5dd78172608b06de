//! The `frames` module encodes messages between hosts as frames: a length, a version
//! and a `bincode` body. The size of a frame is limited, so that a faulty peer cannot
//! make a host allocate memory without limit.

use aspenloft_core::errors::{Result, internal, invalid};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the messages between hosts. Hosts of different versions reject
/// each other's frames, because they could decode them wrongly.
pub const FRAME_VERSION: u8 = 1;

/// The maximum size of the body of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// The size of the header, which holds the length and the version, in bytes.
const HEADER_BYTES: usize = 5;

fn codec_config() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<MAX_FRAME_BYTES>()
}

/// Appends `message` to `buf` as one frame.
pub fn encode(message: &impl Serialize, buf: &mut BytesMut) -> Result<()> {
    let body = bincode::serde::encode_to_vec(message, codec_config())
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

/// Splits the first frame off `buf` and returns its body, or `None` if the frame is
/// still incomplete.
pub fn split_frame(buf: &mut BytesMut) -> Result<Option<Bytes>> {
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

/// Decodes the message in the body of a frame.
pub fn decode<M: DeserializeOwned>(body: &[u8]) -> Result<M> {
    bincode::serde::decode_from_slice(body, codec_config())
        .map(|(message, _)| message)
        .map_err(|e| invalid(format!("decode: {e}")))
}
