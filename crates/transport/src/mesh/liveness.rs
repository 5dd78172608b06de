//! The `liveness` module has a connection prove that it is alive for as long as
//! calls depend on it.
//!
//! A connection can go silent for good while new ones work. Only an answer proves
//! it alive; therefore both ends ping while a call is on the connection, and an
//! idle one is closed rather than pinged, which keeps idle pairs of hosts free.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use futures::pin_mut;

use super::options::MeshOptions;

/// `Liveness` is what is known of one connection. The calls on it share it.
#[derive(Debug)]
pub(super) struct Liveness {
    calls: AtomicUsize,
    suspect: AtomicBool,
    ended: AtomicBool,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
    // Both channels carry no message; their closing is the news.
    suspected_tx: Sender<()>,
    suspected_rx: Receiver<()>,
}

impl Liveness {
    pub(super) fn new() -> Arc<Liveness> {
        let (wake_tx, wake_rx) = bounded(1);
        let (suspected_tx, suspected_rx) = bounded(1);
        Arc::new(Liveness {
            calls: AtomicUsize::new(0),
            suspect: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            wake_tx,
            wake_rx,
            suspected_tx,
            suspected_rx,
        })
    }

    /// Counts a call on the connection; `None` when the connection has ended.
    pub(super) fn begin(self: &Arc<Self>) -> Option<CallCount> {
        // Counting comes first, so that an idle connection that is about to end
        // either sees the call or is seen to have ended.
        self.calls.fetch_add(1, Ordering::SeqCst);
        let count = CallCount(self.clone());
        if self.has_ended() {
            return None;
        }
        let _ = self.wake_tx.try_send(());
        Some(count)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.suspect.load(Ordering::SeqCst)
    }

    /// Waits until the connection is suspected or has ended.
    pub(super) async fn suspected_or_ended(&self) {
        let _ = self.suspected_rx.recv().await;
    }

    pub(super) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.suspected_tx.close();
    }

    fn calls(&self) -> usize {
        self.calls.load(Ordering::SeqCst)
    }

    /// Proves the connection alive until it is silent or idle; `proven` is closed
    /// at the first proof.
    pub(super) async fn watch(
        &self,
        mut pings: h2::PingPong,
        options: &MeshOptions,
        proven: Sender<()>,
    ) {
        while self.ping(&mut pings, options).await {
            proven.close();
            if self.calls() > 0 {
                task::sleep(options.ping_interval).await;
            } else if !self.wait_for_call(options).await {
                return;
            }
        }
    }

    /// Sends one ping; tells whether it was answered in time.
    async fn ping(&self, pings: &mut h2::PingPong, options: &MeshOptions) -> bool {
        let pong = pings.ping(h2::Ping::opaque());
        pin_mut!(pong);
        let answered = match timeout(options.suspect_after, &mut pong).await {
            Ok(answered) => answered.is_ok(),
            Err(_) => {
                self.suspect.store(true, Ordering::SeqCst);
                self.suspected_tx.close();
                let rest = options.ping_timeout.saturating_sub(options.suspect_after);
                matches!(timeout(rest, pong).await, Ok(Ok(_)))
            }
        };
        if answered {
            self.suspect.store(false, Ordering::SeqCst);
        }
        answered
    }

    /// Waits for the next call; false when none has come in the idle time.
    async fn wait_for_call(&self, options: &MeshOptions) -> bool {
        if timeout(options.idle_timeout, self.wake_rx.recv()).await.is_ok() {
            return true;
        }
        self.ended.store(true, Ordering::SeqCst);
        if self.calls() == 0 {
            return false;
        }
        // A call came in this very moment.
        self.ended.store(false, Ordering::SeqCst);
        true
    }
}

/// `CallCount` counts one call on a connection until it is dropped.
#[derive(Debug)]
pub(super) struct CallCount(Arc<Liveness>);

impl Drop for CallCount {
    fn drop(&mut self) {
        self.0.calls.fetch_sub(1, Ordering::SeqCst);
    }
}
