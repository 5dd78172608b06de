//! The `admin` module defines the administration API that the command-line tool
//! speaks; `docs/ADMIN-API.md` shows the shapes.

pub mod burn;

use aspenloft_core::prelude::Name;
use serde::{Deserialize, Serialize};

/// `HostStatus` is a host's word on itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's name.
    pub host: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// The version of the table in force here; zero for none.
    pub table_version: u64,
    /// Whether the platform answered lately.
    pub platform_reachable: bool,
    /// Whether the host is leaving.
    pub leaving: bool,
    /// Requests in flight that callers sent to this host.
    pub in_flight: u64,
    /// What this host knows of the others.
    pub peers: Vec<PeerStatus>,
    /// The backend servers whose home this host is.
    pub homes: Vec<Name>,
}

/// `PeerStatus` is what a host knows of another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The other host's name.
    pub host: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Whether it is held to be live.
    pub live: bool,
    /// The version of the table that it last said it has; zero for none.
    pub table_version: u64,
}

/// The paths of the administration API.
pub mod paths {
    /// `GET`: the host's [`super::HostStatus`].
    pub const STATUS: &str = "/admin/status";
    /// `GET`: the table. `POST`: an edit.
    pub const TABLE: &str = "/admin/table";
    /// `GET`: the [`super::burn::BurnReport`]; `?grain=day` for days of history.
    pub const BURN: &str = "/admin/burn";
}
