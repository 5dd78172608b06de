//! The `status` module is a host's word on itself and on its readiness.

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_protocol::admin::{HostStatus, PeerStatus};

use crate::node::Node;

/// Tells whether the host can serve callers, or why not.
pub fn ready(node: &Node) -> Result<&'static str> {
    node.view.table()?;
    if node.view.listing().backends.is_empty() {
        return Err(Error::new(ErrorCode::NotReady, "no backend servers known yet"));
    }
    Ok("ready")
}

/// Describes the host and what it knows of the others.
pub fn status(node: &Node) -> HostStatus {
    let view = &node.view;
    let listing = view.listing();
    let others = listing.hosts.iter().filter(|host| host.name != view.me().name);
    let peers = others.map(|host| PeerStatus {
        host: host.name.clone(),
        data_centre: host.data_centre.clone(),
        live: !host.leaving,
        table_version: 0,
    });
    let homes = listing
        .backends
        .iter()
        .filter(|backend| view.home(backend).is_ok_and(|home| home.name == view.me().name));
    HostStatus {
        host: view.me().name.clone(),
        data_centre: view.me().data_centre.clone(),
        table_version: view.table_version(),
        platform_reachable: view.platform_reachable(),
        leaving: view.leaving(),
        in_flight: 0,
        peers: peers.collect(),
        homes: homes.map(|backend| backend.name.clone()).collect(),
    }
}
