//! The `liveness` module checks with pings that a connection works for as long as calls
//! use it.
//!
//! A connection can stop delivering data for good while new connections to the same
//! host work. Only an answer shows that it still works, therefore both ends send pings
//! while a call is active. An idle connection gets no pings and is closed after a
//! while, so that two hosts without calls cause no traffic.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use futures::pin_mut;

use super::options::MeshOptions;

/// `Liveness` is the state of one connection, shared by the calls on it.
#[derive(Debug)]
pub(super) struct Liveness {
    active_calls: AtomicUsize,
    suspect: AtomicBool,
    ended: AtomicBool,
    wake_tx: Sender<()>,
    wake_rx: Receiver<()>,
    // This channel carries no message. It is closed when the connection is suspected to
    // be broken or has ended.
    suspected_tx: Sender<()>,
    suspected_rx: Receiver<()>,
}

impl Liveness {
    pub(super) fn new() -> Arc<Liveness> {
        let (wake_tx, wake_rx) = bounded(1);
        let (suspected_tx, suspected_rx) = bounded(1);
        Arc::new(Liveness {
            active_calls: AtomicUsize::new(0),
            suspect: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            wake_tx,
            wake_rx,
            suspected_tx,
            suspected_rx,
        })
    }

    /// Counts a new call on the connection; `None` if the connection has ended.
    pub(super) fn start_call(self: &Arc<Self>) -> Option<CallGuard> {
        // The call is counted before the check: either the task that closes an idle
        // connection sees the call, or the check sees that the connection has ended.
        self.active_calls.fetch_add(1, Ordering::SeqCst);
        let guard = CallGuard(self.clone());
        if self.has_ended() {
            return None;
        }
        let _ = self.wake_tx.try_send(());
        Some(guard)
    }

    pub(super) fn has_ended(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    pub(super) fn is_suspect(&self) -> bool {
        self.suspect.load(Ordering::SeqCst)
    }

    /// Waits until the connection is suspected to be broken or has ended.
    pub(super) async fn suspected_or_ended(&self) {
        let _ = self.suspected_rx.recv().await;
    }

    pub(super) fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.suspected_tx.close();
    }

    fn active_calls(&self) -> usize {
        self.active_calls.load(Ordering::SeqCst)
    }

    /// Sends pings until one is not answered in time or the connection is idle.
    /// `first_pong` is closed when the first ping is answered.
    pub(super) async fn monitor(
        &self,
        mut pings: h2::PingPong,
        options: &MeshOptions,
        first_pong: Sender<()>,
    ) {
        while self.ping(&mut pings, options).await {
            first_pong.close();
            if self.active_calls() > 0 {
                task::sleep(options.ping_interval).await;
            } else if !self.wait_for_call(options).await {
                return;
            }
        }
    }

    /// Sends one ping and returns whether it was answered in time.
    async fn ping(&self, pings: &mut h2::PingPong, options: &MeshOptions) -> bool {
        let pong = pings.ping(h2::Ping::opaque());
        pin_mut!(pong);
        let answered = match timeout(options.suspect_after, &mut pong).await {
            Ok(answered) => answered.is_ok(),
            Err(_) => {
                self.suspect.store(true, Ordering::SeqCst);
                self.suspected_tx.close();
                let remaining = options.ping_timeout.saturating_sub(options.suspect_after);
                matches!(timeout(remaining, pong).await, Ok(Ok(_)))
            }
        };
        if answered {
            self.suspect.store(false, Ordering::SeqCst);
        }
        answered
    }

    /// Waits for the next call; `false` if none starts within the idle timeout.
    async fn wait_for_call(&self, options: &MeshOptions) -> bool {
        if timeout(options.idle_timeout, self.wake_rx.recv()).await.is_ok() {
            return true;
        }
        self.ended.store(true, Ordering::SeqCst);
        if self.active_calls() == 0 {
            return false;
        }
        // A call was started in the meantime.
        self.ended.store(false, Ordering::SeqCst);
        true
    }
}

/// `CallGuard` counts one call on a connection until it is dropped.
#[derive(Debug)]
pub(super) struct CallGuard(Arc<Liveness>);

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.0.active_calls.fetch_sub(1, Ordering::SeqCst);
    }
}
