//! The `status` module reports the state of a host and whether it is ready.

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_protocol::admin::{BackendLoad, BackendStatus, HostStatus, PeerStatus};

use crate::node::Node;

/// Checks whether the host can serve callers; the error gives the reason if not.
pub fn ready(node: &Node) -> Result<&'static str> {
    if node.shutdown.is_leaving() {
        return Err(Error::new(ErrorCode::NotReady, "this host is leaving"));
    }
    node.view.table()?;
    if node.view.is_isolated(node.clock.now()) {
        return Err(Error::new(
            ErrorCode::NotReady,
            "neither the platform nor any other host can be reached",
        ));
    }
    if node.view.listing().backends.is_empty() {
        return Err(Error::new(ErrorCode::NotReady, "no backend servers are known yet"));
    }
    Ok("ready")
}

/// Returns the status of this host and what it knows of the other hosts.
pub fn status(node: &Node) -> HostStatus {
    let view = &node.view;
    let listing = view.listing();
    let members = view.members(node.clock.now()).into_iter();
    let others = members.filter(|member| member.host.name != view.me().name);
    let peers = others.map(|member| PeerStatus {
        host: member.host.name,
        data_centre: member.host.data_centre,
        live: member.live,
        table_version: member.table_version,
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
        isolated: view.is_isolated(node.clock.now()),
        leaving: node.shutdown.is_leaving(),
        in_flight: node.shutdown.requests() as u64,
        peers: peers.collect(),
        homes: homes.map(|backend| backend.name.clone()).collect(),
    }
}

/// Returns the status of each backend server as this host knows it.
pub fn backends(node: &Node) -> Vec<BackendStatus> {
    let now = node.clock.now();
    let listing = node.view.listing();
    let known = listing.backends.iter().map(|backend| {
        let state = node.view.state_of(&backend.name, now);
        let load = state.map(|(s, age)| BackendLoad { slots: s.slots, taken: s.taken, age });
        let home = node.view.home(backend).ok().map(|home| home.name);
        BackendStatus { backend: backend.clone(), home, load }
    });
    known.collect()
}
