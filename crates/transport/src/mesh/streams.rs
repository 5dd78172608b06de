//! The `streams` module sends and receives frames on one `h2` stream, within the
//! peer's flow-control window.

use std::future::poll_fn;

use aspenloft_core::errors::{Error, ErrorCode, Result, unavailable};
use aspenloft_core::execution::Execution;
use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};

use crate::frames;

/// `SendSide` is the state of the sending side of a stream after data was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SendSide {
    /// The sending side stays open for more data.
    Open,
    /// The last `DATA` frame closes the sending side. If the end were sent in a
    /// separate frame, a fast peer could already have sent its whole reply and closed
    /// the stream.
    Closed,
}

/// Sends `data`, waiting for the peer's flow-control window.
pub(super) async fn send_all(
    send: &mut SendStream<Bytes>,
    mut data: Bytes,
    send_side: SendSide,
) -> Result<()> {
    while !data.is_empty() {
        send.reserve_capacity(data.len());
        let capacity = poll_fn(|cx| send.poll_capacity(cx)).await;
        let capacity = match capacity {
            Some(Ok(capacity)) => capacity,
            Some(Err(e)) => return Err(connection_error(e)),
            None => return Err(unavailable("the stream of the call is closed")),
        };
        let part = data.split_to(capacity.min(data.len()));
        let last = send_side == SendSide::Closed && data.is_empty();
        send.send_data(part, last).map_err(connection_error)?;
    }
    Ok(())
}

/// Reads the next frame and returns its body, or `None` at the end of the stream.
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
            Some(Err(e)) => return Err(connection_error(e)),
            None => return Ok(None),
        }
    }
}

/// Converts an error of `h2`. A stream that the peer refused was not processed, see
/// section 8.7 of RFC 9113; for other errors it is unknown whether the call was run.
pub(super) fn connection_error(e: h2::Error) -> Error {
    let execution = match e.reason() {
        Some(h2::Reason::REFUSED_STREAM) => Execution::NotRun,
        _ => Execution::Unknown,
    };
    Error::new(ErrorCode::Unavailable, format!("peer connection: {e}")).execution(execution)
}
