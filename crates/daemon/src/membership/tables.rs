//! The `tables` module brings newer tables to this host: from the platform's
//! key-value service at the hosts that watch it, else from other hosts.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::Host;
use aspenloft_membership::machine::Event;
use aspenloft_protocol::peer::table::{TableReply, TableRequest};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use aspenloft_protocol::platform::Version;
use aspenloft_table::stored::StoredTable;
use aspenloft_table::table::{TABLE_KEY, Table};
use async_std::future::timeout;
use async_std::task;

use super::beats::carry_out;
use crate::node::Node;

/// How long one watch of the table waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long to wait before the platform is tried again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How often a host that does not watch looks whether it should.
const ROLE_STEP: Duration = Duration::from_millis(500);

/// How often a host that does not watch asks the service whether it is there.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// A key that is never written, for asking whether the service is there.
const PROBE_KEY: &str = "aspenloft/probe";

/// The longest wait for the table of another host.
const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Watches the table for ever, while that is this host's part.
pub async fn run(node: Arc<Node>) {
    let mut seen: Version = 0;
    let mut probed = node.clock.now();
    loop {
        if node.view.watches_table() {
            watch(&node, &mut seen).await;
            continue;
        }
        task::sleep(ROLE_STEP).await;
        let now = node.clock.now();
        if now.saturating_duration_since(probed) >= PROBE_INTERVAL {
            probed = now;
            let answered = node.kv.get(PROBE_KEY).await.is_ok();
            node.view.set_platform_reachable(answered, node.clock.now());
        }
    }
}

async fn watch(node: &Arc<Node>, seen: &mut Version) {
    match node.kv.watch(TABLE_KEY, *seen, WATCH_WAIT).await {
        Ok(found) => {
            node.view.set_platform_reachable(true, node.clock.now());
            match found {
                Some(found) => {
                    *seen = found.version;
                    take_stored(node, &found.value);
                }
                None => note_service_version(node, 0),
            }
        }
        Err(_) => {
            node.view.set_platform_reachable(false, node.clock.now());
            task::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Takes the value of the key-value service.
fn take_stored(node: &Arc<Node>, text: &str) {
    match StoredTable::from_json(text) {
        Ok(stored) => {
            note_service_version(node, stored.version);
            put_in_force(node, stored.table());
        }
        Err(e) => log::error!(event = "table_refused", error = e.to_string().as_str(); ""),
    }
}

/// Notes the service's version, and says so when the service has fallen back.
fn note_service_version(node: &Node, version: u64) {
    let before = node.view.service_version();
    node.view.set_service_version(version);
    let in_force = node.view.table_version();
    if version < in_force && version != before {
        log::error!(event = "table_fell_back", service = version, in_force = in_force; "");
    }
}

/// Puts `table` in force if it is newer, and tells the other hosts.
pub fn put_in_force(node: &Arc<Node>, table: Table) {
    let version = table.version;
    if node.view.offer_table(table) {
        log::info!(event = "table_in_force", version = version; "");
        let actions = node.view.handle(Event::TableInForce(version), node.clock.now());
        carry_out(node, actions);
    }
}

/// Fetches the table of another host.
pub async fn fetch(node: Arc<Node>, from: Host) {
    let fetched = timeout(FETCH_TIMEOUT, ask(&node, &from)).await;
    if let Ok(Err(e)) = fetched {
        log::debug!(event = "fetch_failed", peer = &*from.name, error = e.to_string().as_str(); "");
    }
    node.view.handle(Event::FetchEnded, node.clock.now());
}

async fn ask(node: &Arc<Node>, from: &Host) -> Result<()> {
    let have = node.view.table_version();
    let reply = node.peers.ask(from, PeerRequest::Table(TableRequest::Fetch { have })).await?;
    if let PeerReply::Table(TableReply::Newer { text, .. }) = reply {
        put_in_force(node, Table::from_json(&text)?);
    }
    Ok(())
}

/// Answers another host that asks for a table newer than it has.
pub fn serve(node: &Node, req: &TableRequest) -> PeerReply {
    let TableRequest::Fetch { have } = req;
    let reply = match node.view.table_text() {
        Some((version, text)) if version > *have => TableReply::Newer { version, text },
        _ => TableReply::Same,
    };
    PeerReply::Table(reply)
}
