//! The `tables` module obtains newer tables: from the platform's key-value service on
//! the hosts that watch it, and from other hosts otherwise.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::Host;
use aspenloft_membership::state_machine::Event;
use aspenloft_protocol::peer::table::{TableReply, TableRequest};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use aspenloft_protocol::platform::Version;
use aspenloft_table::stored::StoredTable;
use aspenloft_table::table::{TABLE_KEY, Table};
use async_std::future::timeout;
use async_std::task;

use super::beats::perform;
use crate::node::Node;

/// The longest wait of one watch call for a newer table.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// The pause before the platform is called again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How often a host that does not watch the table checks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How often a host that does not watch the table checks that the key-value service
/// is reachable.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// A key that is never written; reading it checks that the service is reachable.
const PROBE_KEY: &str = "aspenloft/probe";

/// The longest wait for a table from another host.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Watches the table while the membership gives this host that role, and otherwise
/// only probes the key-value service. Runs forever.
pub async fn run(node: Arc<Node>) {
    let mut seen: Version = 0;
    let mut probed = node.clock.now();
    loop {
        if node.view.watches_table() {
            watch(&node, &mut seen).await;
            continue;
        }
        task::sleep(ROLE_CHECK_INTERVAL).await;
        let now = node.clock.now();
        if now.saturating_duration_since(probed) >= PROBE_INTERVAL {
            probed = now;
            let answered = node.kv.get(PROBE_KEY).await.is_ok();
            node.view.set_platform_reachable(answered, node.clock.now());
        }
    }
}

/// Makes one watch call for a value newer than `seen` and applies the value returned.
async fn watch(node: &Arc<Node>, seen: &mut Version) {
    match node.kv.watch(TABLE_KEY, *seen, WATCH_WAIT).await {
        Ok(found) => {
            node.view.set_platform_reachable(true, node.clock.now());
            match found {
                Some(found) => {
                    *seen = found.version;
                    apply_stored(node, &found.value);
                }
                None => record_stored_version(node, 0),
            }
        }
        Err(_) => {
            node.view.set_platform_reachable(false, node.clock.now());
            task::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Applies the value that the key-value service holds.
fn apply_stored(node: &Arc<Node>, text: &str) {
    match StoredTable::from_json(text) {
        Ok(stored) => {
            record_stored_version(node, stored.version);
            put_in_force(node, stored.table());
        }
        Err(e) => log::error!(event = "table_refused", error = e.to_string().as_str(); ""),
    }
}

/// Records the table version at the key-value service, and logs an error when it has
/// fallen below the version in force.
fn record_stored_version(node: &Node, version: u64) {
    let before = node.view.stored_version();
    node.view.set_stored_version(version);
    let in_force = node.view.table_version();
    if version < in_force && version != before {
        log::error!(event = "table_fell_back", service = version, in_force = in_force; "");
    }
}

/// Puts `table` in force if it is newer than the current one, and announces its
/// version to the other hosts.
pub fn put_in_force(node: &Arc<Node>, table: Table) {
    let version = table.version;
    if node.view.offer_table(table) {
        log::info!(event = "table_in_force", version = version; "");
        let actions = node.view.handle(Event::TableInForce(version), node.clock.now());
        perform(node, actions);
    }
}

/// Fetches the table from another host and puts it in force if it is newer.
pub async fn fetch(node: Arc<Node>, from: Host) {
    let fetched = timeout(FETCH_TIMEOUT, fetch_newer(&node, &from)).await;
    if let Ok(Err(e)) = fetched {
        log::debug!(event = "fetch_failed", peer = &*from.name, error = e.to_string().as_str(); "");
    }
    node.view.handle(Event::FetchEnded, node.clock.now());
}

async fn fetch_newer(node: &Arc<Node>, from: &Host) -> Result<()> {
    let have = node.view.table_version();
    let reply =
        node.peers.call_unary(from, PeerRequest::Table(TableRequest::Fetch { have })).await?;
    if let PeerReply::Table(TableReply::Newer { text, .. }) = reply {
        put_in_force(node, Table::from_json(&text)?);
    }
    Ok(())
}

/// Serves another host's request for a table newer than the one it has.
pub fn serve(node: &Node, req: &TableRequest) -> PeerReply {
    let TableRequest::Fetch { have } = req;
    let reply = match node.view.table_text() {
        Some((version, text)) if version > *have => TableReply::Newer { version, text },
        _ => TableReply::Same,
    };
    PeerReply::Table(reply)
}
