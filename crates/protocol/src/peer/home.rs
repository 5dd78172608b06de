//! The `home` module defines the messages to the home host of a backend server.

use std::time::Duration;

pub use aspenloft_core::backend::BackendState;
use aspenloft_core::prelude::{Name, RequestId, ReservationId, Tokens};
use aspenloft_core::suspects::Fingerprint;
use serde::{Deserialize, Serialize};

use crate::engine::{FinishReason, KvHandle, PrefillResult, Token};

/// `HomeRequest` is a call to the home host of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HomeRequest {
    /// Reserves room on a backend server.
    Reserve(ReserveRequest),
    /// Gives a reservation back.
    Release {
        /// The backend server.
        backend: Name,
        /// The reservation.
        reservation: ReservationId,
    },
    /// Runs a prefill against a reservation.
    Prefill(HomePrefill),
    /// Runs a decode against a reservation; replies are token batches.
    Decode(HomeDecode),
}

/// `ReserveRequest` asks for room on a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The request.
    pub request: RequestId,
    /// The backend server.
    pub backend: Name,
    /// The row's name.
    pub row: Name,
    /// What the request asks of an engine; suspects are kept apart by it.
    pub fingerprint: Fingerprint,
    /// Tokens of the prompt that need work.
    pub prompt_tokens: Tokens,
    /// The tokens that the answer likely has yet to get.
    pub expected_tokens: Tokens,
    /// Higher goes first.
    pub priority: u8,
    /// For a decode, when the slot is needed, counted from now; for a prefill, the
    /// longest wait for the turn that still makes sense.
    pub starts_in: Duration,
}

/// `HomePrefill` runs a prefill at its home host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomePrefill {
    /// The request.
    pub request: RequestId,
    /// The backend server.
    pub backend: Name,
    /// The reservation.
    pub reservation: ReservationId,
    /// What the request asks of an engine.
    pub fingerprint: Fingerprint,
    /// The prompt.
    pub prompt: Name,
    /// Higher goes first.
    pub priority: u8,
    /// The longest wait for the result.
    pub limit: Duration,
}

/// `HomeDecode` runs a decode at its home host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomeDecode {
    /// The request.
    pub request: RequestId,
    /// The backend server.
    pub backend: Name,
    /// The reservation.
    pub reservation: ReservationId,
    /// What the request asks of an engine.
    pub fingerprint: Fingerprint,
    /// The KV cache to import.
    pub kv: KvHandle,
    /// The backend server that holds it.
    pub source: Name,
    /// The index of the first token wanted.
    pub from_token: u64,
    /// The text already sent to the caller.
    pub sent: Name,
    /// The most tokens to generate, counted from index zero.
    pub max_tokens: Tokens,
    /// The tokens that the answer likely has in all.
    pub expected_tokens: Tokens,
    /// Higher goes first.
    pub priority: u8,
    /// The longest wait for the slot, and then for the transfer.
    pub limit: Duration,
}

/// `HomeReply` is a reply of a home host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HomeReply {
    /// The room is held.
    Reserved(ReservationId),
    /// There is no room; the state is fresh.
    Refused(BackendState),
    /// The reservation is gone.
    Released,
    /// The prefill is done.
    Prefilled(PrefillResult),
    /// Tokens in order.
    Tokens(Vec<Token>),
    /// The decode is whole.
    Finished(FinishReason),
}
