//! The `membership` module keeps the view fresh: heartbeats with other hosts, the
//! platform's list, and the table. The decisions are in `aspenloft-membership`; see
//! `docs/design/membership.md`.

pub mod beats;
pub mod listing;
pub mod tables;

use std::sync::Arc;

use async_std::task;

use crate::node::Node;

/// Starts the loops; they run as long as the process.
pub fn start(node: &Arc<Node>) {
    task::spawn(listing::run(node.clone()));
    task::spawn(tables::run(node.clone()));
    task::spawn(beats::run(node.clone()));
}
