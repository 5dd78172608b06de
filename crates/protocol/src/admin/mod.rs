//! The `admin` module defines the administration API that the command-line tool
//! speaks; `docs/ADMIN-API.md` shows the shapes.

pub mod burn;

use std::time::Duration;

use aspenloft_core::prelude::{Backend, Name};

use crate::engine::OrderKind;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

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
    /// Whether the host has lost touch with the platform and all other hosts.
    #[serde(default)]
    pub isolated: bool,
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

/// `BackendStatus` is what a host knows of a backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The backend server.
    pub backend: Backend,
    /// Its home host, while one is live.
    pub home: Option<Name>,
    /// The home's last word on it, if any has come here.
    pub load: Option<BackendLoad>,
}

/// `BackendLoad` is a home's word on a backend server, some time ago.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// Slots in all.
    pub slots: u32,
    /// Slots in use or reserved.
    pub taken: u32,
    /// How old the word is.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

/// `OrderRequest` is an operator's order to a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// The backend server.
    pub backend: Name,
    /// What it must do.
    pub kind: OrderKind,
}

/// `OrderResponse` says that a backend server has taken an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// The order's fencing number.
    pub fence: u64,
}

/// The paths of the administration API.
pub mod paths {
    /// `POST`: an [`super::OrderRequest`], answered by an [`super::OrderResponse`].
    pub const ORDERS: &str = "/admin/orders";
    /// `GET`: the host's [`super::HostStatus`].
    pub const STATUS: &str = "/admin/status";
    /// `GET`: whether the process runs.
    pub const HEALTH: &str = "/healthz";
    /// `GET`: whether the host takes callers' requests.
    pub const READY: &str = "/readyz";
    /// `GET`: the page for Prometheus.
    pub const METRICS: &str = "/metrics";
    /// `GET`: the [`super::BackendStatus`] of each backend server.
    pub const BACKENDS: &str = "/admin/backends";
    /// `GET`, with a request's id after a slash: the decisions for that request.
    pub const EXPLAIN: &str = "/admin/explain";
    /// `POST`: starts a graceful shutdown; the answer is the [`super::HostStatus`].
    pub const DRAIN: &str = "/admin/drain";
    /// `GET`: the table in force.
    pub const TABLE: &str = "/admin/table";
    /// `POST`: a table as text, answered by all findings.
    pub const TABLE_CHECK: &str = "/admin/table/check";
    /// `POST`: an edit, answered by what became of it.
    pub const TABLE_EDIT: &str = "/admin/table/edit";
    /// `GET`: the last edits.
    pub const TABLE_HISTORY: &str = "/admin/table/history";
    /// `GET`: the version in force at each host.
    pub const TABLE_HOSTS: &str = "/admin/table/hosts";
    /// `POST`: puts the hosts' table back into a service that fell back.
    pub const TABLE_RESTORE: &str = "/admin/table/restore";
    /// `GET`: the [`super::burn::BurnReport`]; `?grain=day` for days of history.
    pub const BURN: &str = "/admin/burn";
}
