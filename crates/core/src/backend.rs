//! The `backend` module describes backend servers as the platform lists them.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::Name;
use crate::units::Tokens;

/// `BackendRole` is the kind of work that a backend server does.
#[derive(
    Debug, Display, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum BackendRole {
    /// A model engine that runs prefill.
    #[display("prefill")]
    Prefill,
    /// A model engine that runs decode.
    #[display("decode")]
    Decode,
    /// A server of a plain service.
    #[display("service")]
    Service,
}

/// `Backend` is a backend server in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The server's name, unique in the deployment.
    pub name: Name,
    /// The address at which it accepts requests.
    pub addr: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// The kind of work that it does.
    pub role: BackendRole,
    /// The name of the model or the plain service that it serves.
    pub serves: Name,
    /// Whether the platform lists it as leaving the deployment.
    #[serde(default)]
    pub leaving: bool,
}

/// `BackendState` is the exact state of one backend server, as its home host knows it.
/// It is sent in digests, so it holds only what the ranking of servers needs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendState {
    /// The total number of slots.
    pub slots: u32,
    /// Slots in use or reserved.
    pub taken: u32,
    /// Prompt tokens of queued and running prefills.
    pub queued_tokens: Tokens,
    /// The expected time until a slot is free.
    pub free_in: Duration,
    /// The recently measured prefill time per token; zero if not known.
    pub prefill_per_token: Duration,
    /// The recently measured time of a decode step; zero if not known.
    pub step: Duration,
    /// Whether the server rejects new work or cannot be reached.
    pub closed: bool,
}
