//! The `listing` module reads the platform's list of hosts and backend servers.
//! Delegates read it often; other hosts read it rarely, or when a delegate has read a
//! different list.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use aspenloft_membership::roster::fingerprint;
use aspenloft_membership::state_machine::Event;
use async_std::task;

use super::beats::perform;
use crate::node::Node;

/// How often a delegate, or a host that knows no backend servers, reads the list.
const DELEGATE_INTERVAL: Duration = Duration::from_secs(1);

/// How often all other hosts read the list.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// How often the loop checks whether a read is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// `RefreshFlag` requests a read of the list before the next regular one.
#[derive(Debug, Default)]
pub struct RefreshFlag(AtomicBool);

impl RefreshFlag {
    /// Requests a read.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Returns whether a read was requested since the last call, and clears the flag.
    fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

/// Reads the list at the interval of this host's role, forever.
pub async fn run(node: Arc<Node>) {
    loop {
        node.listing_refresh.take();
        read(&node).await;
        let read_at = node.clock.now();
        loop {
            task::sleep(CHECK_INTERVAL).await;
            let age = node.clock.now().saturating_duration_since(read_at);
            let no_backends = node.view.listing().backends.is_empty();
            let often = no_backends || node.view.is_delegate() || node.listing_refresh.take();
            let interval = if often { DELEGATE_INTERVAL } else { READ_INTERVAL };
            if age >= interval {
                break;
            }
            // `take` cleared the flag, but the requested read is not due yet: keep it.
            if often {
                node.listing_refresh.set();
            }
        }
    }
}

async fn read(node: &Arc<Node>) {
    match node.host_list.list().await {
        Ok(listing) => {
            let fingerprint = fingerprint(&listing);
            let event = Event::Listed { listing: Arc::new(listing), fingerprint };
            let actions = node.view.handle(event, node.clock.now());
            perform(node, actions);
        }
        Err(e) => log::warn!(event = "list_failed", error = e.to_string().as_str(); ""),
    }
}
