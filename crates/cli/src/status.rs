//! The `status` module formats the status of a host, its peers and the backend servers.

use aspenloft_protocol::admin::{BackendStatus, HostStatus, PeerStatus};

use crate::columns::columns;

/// Formats the status of a host and of its peers, as far as the host knows them.
pub fn host_text(host: &HostStatus) -> String {
    let state = if host.leaving { "leaving" } else { "serving" };
    let platform = if host.platform_reachable { "reachable" } else { "NOT reachable" };
    let homes = if host.homes.is_empty() { "none".into() } else { host.homes.join(", ") };
    let properties = [
        ["host".into(), format!("{} in {}", host.host, host.data_centre)],
        ["state".into(), format!("{state}, {} in flight", host.in_flight)],
        ["table".into(), version_text(host.table_version)],
        ["platform".into(), platform.into()],
        ["home of".into(), homes],
    ];
    let peers: Vec<_> = host.peers.iter().map(|peer| peer_cells(peer, host)).collect();
    let mut text = columns(["", ""], &properties).trim_start().to_string();
    text.push('\n');
    if peers.is_empty() {
        text.push_str("no other hosts are known\n");
    } else {
        text.push_str(&columns(["peer", "data centre", "state", "table", ""], &peers));
    }
    text
}

fn peer_cells(peer: &PeerStatus, host: &HostStatus) -> [String; 5] {
    let state = if peer.live { "live" } else { "NOT live" };
    let behind = peer.table_version < host.table_version && peer.table_version > 0;
    let remark = if behind { "behind this host" } else { "" };
    [
        peer.host.to_string(),
        peer.data_centre.to_string(),
        state.into(),
        version_text(peer.table_version),
        remark.into(),
    ]
}

fn version_text(version: u64) -> String {
    if version == 0 { "none known".into() } else { format!("version {version}") }
}

/// Formats the status of the backend servers.
pub fn backends_text(backends: &[BackendStatus]) -> String {
    if backends.is_empty() {
        return "no backend servers are listed\n".into();
    }
    let rows: Vec<_> = backends.iter().map(backend_cells).collect();
    columns(["server", "role", "serves", "data centre", "state", "home", "slots", "age"], &rows)
}

fn backend_cells(status: &BackendStatus) -> [String; 8] {
    let backend = &status.backend;
    let unknown = || "?".to_string();
    let load = status.load.as_ref();
    [
        backend.name.to_string(),
        backend.role.to_string(),
        backend.serves.to_string(),
        backend.data_centre.to_string(),
        if backend.leaving { "leaving" } else { "staying" }.into(),
        status.home.as_ref().map_or_else(|| "none".into(), |home| home.to_string()),
        load.map_or_else(unknown, |load| format!("{} of {}", load.taken, load.slots)),
        load.map_or_else(unknown, |load| format!("{:.1} s", load.age.as_secs_f64())),
    ]
}

/// Formats the status of a host whose drain has just started.
pub fn drain_text(host: &HostStatus) -> String {
    format!(
        "{} is leaving. It finishes {} requests in flight, then exits; `aspenloft status` shows \
         the rest until then.",
        host.host, host.in_flight
    )
}
