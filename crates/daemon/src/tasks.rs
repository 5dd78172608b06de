//! The `tasks` module starts the loops of limits, suspects and service levels.

use std::sync::Arc;
use std::time::Duration;

use async_std::task;

use crate::levels::history;
use crate::limits::service as limits;
use crate::node::Node;
use crate::suspects;

/// How often a host looks for backend servers that decline.
const LOOK_INTERVAL: Duration = Duration::from_secs(1);

/// Starts the loops; they run as long as the process.
pub fn start(node: &Arc<Node>) {
    task::spawn(limits::renew_for_ever(node.clone()));
    task::spawn(history::write_for_ever(node.clone()));
    task::spawn(look_for_slow_servers(node.clone()));
    let starting = node.clone();
    task::spawn(async move { suspects::learn_at_start(&starting).await });
}

/// Looks for servers that decline, and logs those newly found.
async fn look_for_slow_servers(node: Arc<Node>) {
    let mut known: Vec<aspenloft_core::prelude::Name> = Vec::new();
    loop {
        task::sleep(LOOK_INTERVAL).await;
        let found = node.levels.slow_servers(node.clock.now());
        for slow in found.iter().filter(|slow| !known.contains(&slow.server)) {
            log::warn!(
                event = "server_declines", server = &*slow.server, ratio = slow.ratio; ""
            );
        }
        known = found.into_iter().map(|slow| slow.server).collect();
    }
}
