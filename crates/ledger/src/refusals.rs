//! The `refusals` module makes the errors of the ledger, each with its exact word
//! on whether the call was run; `docs/LEDGER.md` lists them for operators.

use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode, unavailable};
use aspenloft_core::execution::Execution;

use crate::record::Oversized;

/// When a caller should come back to a leaving owner's successor.
const LEAVING_PAUSE: Duration = Duration::from_secs(1);

/// The key-value service cannot be reached, so that nothing may start.
pub fn service_down(pause: Duration) -> Error {
    unavailable("the key-value service does not answer; the call was not sent").retry_after(pause)
}

/// The host stopped being the owner before the call was sent.
pub fn ownership_lost(pause: Duration) -> Error {
    unavailable("the key's ledger changed hands; the call was not sent").retry_after(pause)
}

/// The host leaves and takes no new keys; another one will.
pub fn leaving() -> Error {
    Error::new(ErrorCode::NotReady, "the owner of the key's ledger is leaving")
        .retry_after(LEAVING_PAUSE)
}

/// The intent did not stand in time.
pub fn too_late(pause: Duration) -> Error {
    Error::new(ErrorCode::Timeout, "the call's intent was not written in time; it was not sent")
        .retry_after(pause)
}

/// Too many calls are in flight.
pub fn too_many(pause: Duration) -> Error {
    Error::new(ErrorCode::Overloaded, "too many unrepeatable calls are in flight")
        .retry_after(pause)
}

/// The ledger cannot hold another key before old ones expire.
pub fn full(pause: Duration) -> Error {
    Error::new(ErrorCode::Overloaded, "the ledger is full until older keys expire")
        .retry_after(pause)
}

/// The key came with another request before.
pub fn key_reused() -> Error {
    Error::new(ErrorCode::KeyReused, "this idempotency key was used for a different request")
}

/// The key has an intent and no outcome.
pub fn may_have_run() -> Error {
    Error::new(ErrorCode::Conflict, "a call with this key may have run; it is not run again")
        .execution(Execution::Unknown)
}

/// The first call with the key is in flight and has too many waiting for it.
pub fn still_in_flight(pause: Duration) -> Error {
    Error::new(ErrorCode::Conflict, "the first call with this key is still in flight")
        .execution(Execution::Unknown)
        .retry_after(pause)
}

/// The key ran, but its answer cannot be read at the moment.
pub fn answer_out_of_reach(pause: Duration) -> Error {
    unavailable("a call with this key came before; its record cannot be read now")
        .execution(Execution::Unknown)
        .retry_after(pause)
}

/// The key ran, and its answer was too large to keep.
pub fn answer_not_kept(answer: &Oversized) -> Error {
    let Oversized { status, bytes, body } = answer;
    let message = format!(
        "the call ran and was answered with status {status}; its body of {bytes} bytes \
         (digest {body}) was too large to keep"
    );
    Error::new(ErrorCode::Conflict, message).execution(Execution::Run)
}
