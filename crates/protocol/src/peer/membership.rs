//! The `membership` module defines the heartbeats between hosts.

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// `Heartbeat` is a host's sign of life.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The host.
    pub host: Name,
    /// The version of the table in force there; zero for none.
    pub table_version: u64,
    /// Whether the host is leaving.
    pub leaving: bool,
}
