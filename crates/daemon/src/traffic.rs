//! The `traffic` module counts the control traffic: all messages between hosts except
//! those that carry prompts, tokens and answers.

use std::sync::atomic::{AtomicU64, Ordering};

use aspenloft_protocol::peer::PeerRequest;
use aspenloft_protocol::peer::home::HomeRequest;

/// `Traffic` counts the bytes of control messages, without the overhead of HTTP/2 and
/// TCP.
#[derive(Debug, Default)]
pub struct Traffic {
    sent: AtomicU64,
    received: AtomicU64,
}

impl Traffic {
    /// Adds `bytes` to the bytes sent.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Adds `bytes` to the bytes received.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes sent and received so far.
    pub fn totals(&self) -> (u64, u64) {
        (self.sent.load(Ordering::Relaxed), self.received.load(Ordering::Relaxed))
    }
}

/// Returns whether `req` and its replies are control messages, not callers' data.
pub fn is_control(req: &PeerRequest) -> bool {
    match req {
        PeerRequest::Home(HomeRequest::Prefill(_) | HomeRequest::Decode(_)) => false,
        // Ledger calls carry the bodies of callers' requests and answers.
        PeerRequest::Ledger(_) => false,
        _ => true,
    }
}
