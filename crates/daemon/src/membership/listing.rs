//! The `listing` module reads the platform's list of hosts and backend servers:
//! delegates often, the others seldom or when a delegate has read another list.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use aspenloft_membership::machine::Event;
use aspenloft_membership::roster::fingerprint;
use async_std::task;

use super::beats::perform;
use crate::node::Node;

/// How often a delegate, or a host that knows no backend servers, reads the list.
const DELEGATE_INTERVAL: Duration = Duration::from_secs(1);

/// How often the other hosts read the list.
const READ_INTERVAL: Duration = Duration::from_secs(10);

/// How often it is considered whether a reading is due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// `RefreshFlag` asks for a reading before its time.
#[derive(Debug, Default)]
pub struct RefreshFlag(AtomicBool);

impl RefreshFlag {
    /// Asks.
    pub fn set(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    /// Tells whether it was asked since the last time.
    fn take(&self) -> bool {
        self.0.swap(false, Ordering::Relaxed)
    }
}

/// Reads the list for ever.
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
            let due = if often { DELEGATE_INTERVAL } else { READ_INTERVAL };
            if age >= due {
                break;
            }
            // A hint that came too soon after a reading waits for its time.
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
