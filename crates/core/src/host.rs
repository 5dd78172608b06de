//! The `host` module describes the router's own hosts as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// `Host` is one host of the router.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name, unique in the deployment.
    pub name: Name,
    /// Where it listens for other hosts.
    pub addr: SocketAddr,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}
