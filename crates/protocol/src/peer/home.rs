//! The `home` module defines the messages to the home host of a backend server.

use std::time::Duration;

pub use aspenloft_core::backend::BackendState;
use aspenloft_core::prelude::{Name, RequestId, ReservationId, Tokens};
use aspenloft_core::suspects::Fingerprint;
use serde::{Deserialize, Serialize};

use crate::engine::{FinishReason, KvHandle, PrefillResult, Token};

/// `HomeRequest` is a request to the home host of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HomeRequest {
    /// Reserves capacity on a backend server.
    Reserve(ReserveRequest),
    /// Releases a reservation.
    Release {
        /// The name of the backend server.
        backend: Name,
        /// The id of the reservation.
        reservation: ReservationId,
    },
    /// Runs a prefill that uses a reservation.
    Prefill(HomePrefill),
    /// Runs a decode that uses a reservation. The replies are batches of tokens and a
    /// [`HomeReply::Finished`].
    Decode(HomeDecode),
}

/// `ReserveRequest` asks for capacity on a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReserveRequest {
    /// The id of the request.
    pub request: RequestId,
    /// The name of the backend server.
    pub backend: Name,
    /// The name of the request's row.
    pub row: Name,
    /// The fingerprint of the request. Requests suspected of crashing servers are isolated
    /// by it.
    pub fingerprint: Fingerprint,
    /// The expected number of prompt tokens to prefill, without those in the server's
    /// prefix cache; zero for a decode.
    pub prompt_tokens: Tokens,
    /// The expected number of tokens that remain to be generated.
    pub expected_tokens: Tokens,
    /// The priority in the queue; higher runs first.
    pub priority: u8,
    /// For a decode, the time until the slot is needed; for a prefill, the maximum useful
    /// time in the queue.
    pub starts_in: Duration,
}

/// `HomePrefill` asks the home host to run a prefill.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomePrefill {
    /// The id of the request.
    pub request: RequestId,
    /// The name of the backend server.
    pub backend: Name,
    /// The id of the reservation that the work uses.
    pub reservation: ReservationId,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The text of the prompt.
    pub prompt: Name,
    /// The priority in the queue; higher runs first.
    pub priority: u8,
    /// The timeout for the result.
    pub limit: Duration,
}

/// `HomeDecode` asks the home host to run a decode.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HomeDecode {
    /// The id of the request.
    pub request: RequestId,
    /// The name of the backend server.
    pub backend: Name,
    /// The id of the reservation that the work uses.
    pub reservation: ReservationId,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The handle of the KV cache to import.
    pub kv: KvHandle,
    /// The backend server that holds the KV cache.
    pub source: Name,
    /// The index of the first token to return.
    pub from_token: u64,
    /// The text already sent to the caller.
    pub sent: Name,
    /// The maximum number of tokens to generate, counted from index zero.
    pub max_tokens: Tokens,
    /// The expected total number of tokens, counted from index zero.
    pub expected_tokens: Tokens,
    /// The priority in the queue; higher runs first.
    pub priority: u8,
    /// The timeout for the slot, and then again for the transfer of the KV cache.
    pub limit: Duration,
}

/// `HomeReply` is a reply to a [`HomeRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum HomeReply {
    /// The capacity is reserved.
    Reserved(ReservationId),
    /// There is no free capacity. Carries the server's current state.
    Refused(BackendState),
    /// The reservation no longer exists.
    Released,
    /// The prefill has finished.
    Prefilled(PrefillResult),
    /// The next generated tokens, in order.
    Tokens(Vec<Token>),
    /// The decode is complete.
    Finished(FinishReason),
}
