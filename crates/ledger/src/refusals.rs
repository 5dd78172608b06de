//! The `refusals` module creates the errors of the ledger. Each states exactly whether
//! the call was run; `docs/LEDGER.md` lists them for operators.

use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, unavailable};
use aspenloft_core::execution::Execution;

use crate::record::Oversized;

/// The retry delay for callers of a leaving owner; after it another host can own the
/// shard.
const LEAVING_PAUSE: Duration = Duration::from_secs(1);

/// The key-value service is unreachable, so no call may start.
pub fn service_down(pause: Duration) -> Error {
    unavailable("the key-value service does not answer; the call was not sent").retry_after(pause)
}

/// The host stopped being the owner before the call was sent.
pub fn ownership_lost(pause: Duration) -> Error {
    unavailable("the host no longer owns the ledger shard of this key; the call was not sent")
        .retry_after(pause)
}

/// The host is leaving and accepts no new keys; the next owner will.
pub fn leaving() -> Error {
    Error::new(ErrorCode::NotReady, "the owner of this key's ledger shard is leaving")
        .retry_after(LEAVING_PAUSE)
}

/// The intent was not committed in time.
pub fn intent_timed_out(pause: Duration) -> Error {
    Error::new(
        ErrorCode::Timeout,
        "the intent of the call was not written in time; the call was not sent",
    )
    .retry_after(pause)
}

/// Too many calls are in flight.
pub fn too_many_in_flight(pause: Duration) -> Error {
    Error::new(ErrorCode::Overloaded, "too many unrepeatable calls are in flight")
        .retry_after(pause)
}

/// The shard cannot hold another key until older ones expire.
pub fn shard_full(pause: Duration) -> Error {
    Error::new(
        ErrorCode::Overloaded,
        "the ledger shard of this key is full until older keys expire",
    )
    .retry_after(pause)
}

/// The key was used before for a different request.
pub fn key_reused() -> Error {
    Error::new(ErrorCode::KeyReused, "this idempotency key was used for a different request")
}

/// The key has an intent but no known outcome.
pub fn may_have_run() -> Error {
    Error::new(ErrorCode::Conflict, "a call with this key may have run; it is not run again")
        .execution(Execution::Unknown)
}

/// The first call with the key is in flight and too many repeats already wait for it.
pub fn still_in_flight(pause: Duration) -> Error {
    Error::new(ErrorCode::Conflict, "the first call with this key is still in flight")
        .execution(Execution::Unknown)
        .retry_after(pause)
}

/// The key was used before, but its record cannot be read at the moment.
pub fn unreadable(pause: Duration) -> Error {
    unavailable("this idempotency key was used before; its record cannot be read now")
        .execution(Execution::Unknown)
        .retry_after(pause)
}

/// The call with the key ran, but its answer was too large to keep.
pub fn answer_not_kept(answer: &Oversized) -> Error {
    let Oversized { status, bytes, body } = answer;
    let message = format!(
        "the call ran and was answered with status {status}; its body of {bytes} bytes \
         (digest {body}) was too large to keep"
    );
    Error::new(ErrorCode::Conflict, message).execution(Execution::Run)
}
