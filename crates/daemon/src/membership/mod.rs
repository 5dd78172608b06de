//! The `membership` module keeps the view up to date by heartbeats with other hosts,
//! the platform's list and the table. The decisions are in `aspenloft-membership`;
//! see `docs/design/membership.md`.

pub mod beats;
pub mod listing;
pub mod tables;

use std::sync::Arc;

use async_std::task;

use crate::node::Node;

/// Spawns the loops, which run until the process exits.
pub fn start(node: &Arc<Node>) {
    task::spawn(listing::run(node.clone()));
    task::spawn(tables::run(node.clone()));
    task::spawn(beats::run(node.clone()));
}
