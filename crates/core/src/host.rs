//! The `host` module describes the router's own hosts as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::Name;

/// `Host` is a host of the router in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The host's name, unique in the deployment.
    pub name: Name,
    /// The address at which it accepts connections of other hosts.
    pub addr: SocketAddr,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// Whether the platform lists it as leaving the deployment.
    #[serde(default)]
    pub leaving: bool,
}
