//! The `streams` module moves frames over one `h2` stream, as fast as the far side
//! takes them.

use std::future::poll_fn;

use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_core::execution::Execution;
use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use crate::frames;

/// `End` says what follows the bytes that are sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// More bytes.
    Open,
    /// Nothing: the last byte closes the sending side. As a message of its own the
    /// end could come after a quick peer's whole answer, by when the stream is gone.
    Closed,
}

/// Sends `data` as the peer's window allows.
pub(super) async fn send_all(
    send: &mut SendStream<Bytes>,
    mut data: Bytes,
    end: End,
) -> Result<()> {
    while !data.is_empty() {
        send.reserve_capacity(data.len());
        let capacity = poll_fn(|cx| send.poll_capacity(cx)).await;
        let capacity = match capacity {
            Some(Ok(capacity)) => capacity,
            Some(Err(e)) => return Err(broken(e)),
            None => return Err(unavailable("the call's stream is closed")),
        };
        let part = data.split_to(capacity.min(data.len()));
        let last = end == End::Closed && data.is_empty();
        send.send_data(part, last).map_err(broken)?;
    }
    Ok(())
}

/// Reads until one whole frame is there; `None` at the end of the stream.
pub(super) async fn next_frame(recv: &mut RecvStream, buf: &mut BytesMut) -> Result<Option<Bytes>> {
    loop {
        if let Some(frame) = frames::split_frame(buf)? {
            return Ok(Some(frame));
        }
        match recv.data().await {
            Some(Ok(data)) => {
                let _ = recv.flow_control().release_capacity(data.len());
                buf.extend_from_slice(&data);
            }
            Some(Err(e)) => return Err(broken(e)),
            None => return Ok(None),
        }
    }
}

/// Makes the error of a broken connection. A stream that the peer refused was never
/// handed to a handler, by section 8.7 of RFC 9113; of any other nothing is known.
pub(super) fn broken(e: h2::Error) -> Error {
    let execution = match e.reason() {
        Some(h2::Reason::REFUSED_STREAM) => Execution::NotRun,
        _ => Execution::Unknown,
    };
    Error::new(ErrorCode::Unavailable, format!("peer connection: {e}")).execution(execution)
}
