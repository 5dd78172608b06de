//! The `backend` module describes backend servers as the platform lists them.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::ids::Name;

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
