//! The `admin` module defines the administration API that the command-line tool uses;
//! `docs/ADMIN-API.md` shows the JSON of its messages.

pub mod burn;

use std::time::Duration;

use aspenloft_core::prelude::{Backend, Name};

use crate::engine::OrderKind;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// `HostStatus` is the status that a host reports of itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The host's name.
    pub host: Name,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// The version of the table that the host uses; zero for none.
    pub table_version: u64,
    /// Whether the host's last call to the platform succeeded.
    pub platform_reachable: bool,
    /// Whether the host can reach neither the platform nor any other host.
    #[serde(default)]
    pub isolated: bool,
    /// Whether the host is leaving the deployment.
    pub leaving: bool,
    /// Callers' requests in flight that this host received.
    pub in_flight: u64,
    /// The other hosts, as this host knows them.
    pub peers: Vec<PeerStatus>,
    /// The backend servers whose home host this host is.
    pub homes: Vec<Name>,
}

/// `PeerStatus` is the status of a host as another host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The other host's name.
    pub host: Name,
    /// The data centre in which it runs.
    pub data_centre: Name,
    /// Whether it is considered live.
    pub live: bool,
    /// The table version that it last reported; zero for none.
    pub table_version: u64,
}

/// `BackendStatus` is the status of a backend server as a host knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// The backend server as the platform lists it.
    pub backend: Backend,
    /// Its home host, if a live one is known.
    pub home: Option<Name>,
    /// The load that the home host last reported, if a report has arrived.
    pub load: Option<BackendLoad>,
}

/// `BackendLoad` is the load of a backend server as its home host reported it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendLoad {
    /// The total number of slots.
    pub slots: u32,
    /// Slots in use or reserved.
    pub taken: u32,
    /// The age of the report.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "age_ms")]
    pub age: Duration,
}

/// `OrderRequest` is an operator's order to a backend server, for instance to load a
/// model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrderRequest {
    /// The name of the backend server.
    pub backend: Name,
    /// The operation to perform.
    pub kind: OrderKind,
}

/// `OrderResponse` confirms that a backend server has executed an order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderResponse {
    /// The fencing token of the order.
    pub fence: u64,
}

/// The paths of the administration API.
pub mod paths {
    /// `POST`: an [`super::OrderRequest`], answered by an [`super::OrderResponse`].
    pub const ORDERS: &str = "/admin/orders";
    /// `GET`: the host's [`super::HostStatus`].
    pub const STATUS: &str = "/admin/status";
    /// `GET`: the liveness probe.
    pub const HEALTH: &str = "/healthz";
    /// `GET`: the readiness probe: whether the host accepts callers' requests.
    pub const READY: &str = "/readyz";
    /// `GET`: the metrics in the Prometheus text format.
    pub const METRICS: &str = "/metrics";
    /// `GET`: the [`super::BackendStatus`] of each backend server.
    pub const BACKENDS: &str = "/admin/backends";
    /// `GET`, with a request id after a slash: the routing decisions for that request.
    pub const EXPLAIN: &str = "/admin/explain";
    /// `POST`: starts a graceful shutdown; returns the [`super::HostStatus`].
    pub const DRAIN: &str = "/admin/drain";
    /// `GET`: the table that the host uses.
    pub const TABLE: &str = "/admin/table";
    /// `POST`: validates a table given as text; returns all findings.
    pub const TABLE_CHECK: &str = "/admin/table/check";
    /// `POST`: applies an edit; returns its outcome.
    pub const TABLE_EDIT: &str = "/admin/table/edit";
    /// `GET`: the most recent edits.
    pub const TABLE_HISTORY: &str = "/admin/table/history";
    /// `GET`: the table version that each host uses.
    pub const TABLE_HOSTS: &str = "/admin/table/hosts";
    /// `POST`: writes the hosts' table to a key-value service that has reverted to an
    /// older version.
    pub const TABLE_RESTORE: &str = "/admin/table/restore";
    /// `GET`: the [`super::burn::BurnReport`]; `?grain=day` for a history by day.
    pub const BURN: &str = "/admin/burn";
}
