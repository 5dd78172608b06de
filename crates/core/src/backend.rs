//! The `backend` module describes backend servers as the platform lists them.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::Name;
use crate::units::Tokens;

/// `BackendRole` is the work that a backend server does.
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
    /// A plain service.
    #[display("service")]
    Service,
}

/// `Backend` is one backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Backend {
    /// The server's name, unique in the deployment.
    pub name: Name,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Its work.
    pub role: BackendRole,
    /// The model that it serves, or the service's name.
    pub serves: Name,
    /// Whether the platform has said that it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

/// `BackendState` is a home host's exact word on one backend server. It travels in
/// digests, thus all of it is needed to rank the server and none is for people.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendState {
    /// Slots in all.
    pub slots: u32,
    /// Slots in use or reserved.
    pub taken: u32,
    /// Tokens of prefill that wait or run.
    pub queued_tokens: Tokens,
    /// When a slot is likely to be free, counted from now.
    pub free_in: Duration,
    /// The time for a token of prefill as measured lately; zero for not known.
    pub prefill_per_token: Duration,
    /// The time of a decode step as measured lately; zero for not known.
    pub step: Duration,
    /// Whether the server refuses new work or cannot be reached.
    pub closed: bool,
}
