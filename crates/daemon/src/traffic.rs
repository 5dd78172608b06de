//! The `traffic` module counts what control costs on the network: all messages
//! between hosts but those that carry prompts, tokens and answers.

use std::sync::atomic::{AtomicU64, Ordering};

use aspenloft_protocol::peer::PeerRequest;
use aspenloft_protocol::peer::home::HomeRequest;

/// `Traffic` counts bytes of control messages, without what h2 and TCP add.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Counts bytes sent.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes received.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes sent and received so far.
    pub fn totals(&self) -> (u64, u64) {
        (self.sent.load(Ordering::Relaxed), self.received.load(Ordering::Relaxed))
    }
}

/// Tells whether `req` and its replies are control rather than callers' data.
pub fn is_control(req: &PeerRequest) -> bool {
    match req {
        PeerRequest::Home(HomeRequest::Prefill(_) | HomeRequest::Decode(_)) => false,
        // Calls of the ledger carry the callers' bodies and answers.
        PeerRequest::Ledger(_) => false,
        _ => true,
    }
}
