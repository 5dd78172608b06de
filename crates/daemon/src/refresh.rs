//! The `refresh` module keeps the view fresh: it reads the platform's list and
//! watches the table, and asks peers for the table while the platform is out.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::errors::Result;
use aspenloft_core::prelude::Host;
use aspenloft_protocol::peer::table::{TableReply, TableRequest};
use aspenloft_protocol::peer::{PeerReply, PeerRequest};
use aspenloft_protocol::platform::Version;
use aspenloft_table::table::{TABLE_KEY, Table};
use async_std::task;

use crate::node::Node;

/// How often the platform's list is read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);

/// How long one watch of the table waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// How long to wait before the platform is tried again after a failure.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Starts the loops; they run as long as the process.
pub fn start(node: &Arc<Node>) {
    let listing = node.clone();
    task::spawn(async move { refresh_listing(&listing).await });
    let table = node.clone();
    task::spawn(async move { watch_table(&table).await });
}

async fn refresh_listing(node: &Node) {
    loop {
        match node.host_list.list().await {
            Ok(listing) => node.view.set_listing(listing),
            Err(e) => log::warn!(event = "list_failed", error = e.to_string().as_str(); ""),
        }
        task::sleep(LIST_INTERVAL).await;
    }
}

async fn watch_table(node: &Node) {
    let mut seen: Version = 0;
    loop {
        match node.kv.watch(TABLE_KEY, seen, WATCH_WAIT).await {
            Ok(Some(found)) => {
                node.view.set_platform_reachable(true);
                seen = found.version;
                take(node, &found.value);
            }
            Ok(None) => node.view.set_platform_reachable(true),
            Err(_) => {
                node.view.set_platform_reachable(false);
                ask_peers(node).await;
                task::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Puts a table in force if it is sound and newer.
fn take(node: &Node, text: &str) {
    match Table::from_json(text) {
        Ok(table) => {
            let version = table.version;
            if node.view.offer_table(table) {
                log::info!(event = "table_in_force", version = version; "");
            }
        }
        Err(e) => log::error!(event = "table_refused", error = e.to_string().as_str(); ""),
    }
}

async fn ask_peers(node: &Node) {
    for host in &node.view.listing().hosts {
        if host.name != node.settings.host
            && let Err(e) = fetch(node, host).await
        {
            log::debug!(event = "fetch_failed", peer = &*host.name, error = e.to_string().as_str(); "");
        }
    }
}

async fn fetch(node: &Node, host: &Host) -> Result<()> {
    let ask = TableRequest::Fetch { have: node.view.table_version() };
    let reply = node.peers.ask(host, PeerRequest::Table(ask)).await?;
    if let PeerReply::Table(TableReply::Newer { text, .. }) = reply {
        take(node, &text);
    }
    Ok(())
}
