//! The `shutdown` module is a host's graceful stop.
//!
//! The balancer needs two of its questions, a second apart, to see that the host
//! takes no more callers, and sends new connections until then. The host therefore
//! goes on serving, tells callers to close their connections, then closes those
//! that are idle, and ends when nothing is left or the grace is over.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, SharedClock};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use parking_lot::Mutex;

use crate::settings::ShutdownSettings;

/// How long the balancer may still send new connections.
const BALANCER_LAG: Duration = Duration::from_millis(3_200);

/// How long before the end of the grace the host exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// How long a call of a plain service takes when it goes badly. The balancer may go
/// on sending callers until the end where too few hosts are ready.
const LONGEST_CALL: Duration = Duration::from_millis(1_200);

/// How long a usual answer of a model takes under load.
const LONGEST_ANSWER: Duration = Duration::from_millis(5_000);

/// How often the work in flight is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// `Shutdown` holds how far the host is on its way out.
#[derive(Debug)]
pub struct Shutdown {
    leaving: AtomicBool,
    began: Mutex<Option<Instant>>,
    connections: AtomicUsize,
    requests: AtomicUsize,
    // Carries no message; its closing tells idle connections to close.
    close_tx: Sender<()>,
    close_rx: Receiver<()>,
}

impl Default for Shutdown {
    fn default() -> Self {
        let (close_tx, close_rx) = bounded(1);
        Shutdown {
            leaving: AtomicBool::new(false),
            began: Mutex::default(),
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            close_tx,
            close_rx,
        }
    }
}

/// `WorkKind` is a kind of request, by how long it usually takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A call of a plain service.
    Call,
    /// A model's answer.
    Answer,
}

impl ShutdownSettings {
    /// Tells whether `work` may be started `elapsed` after the signal: what the host
    /// does not live to end would be cut off.
    pub fn may_start(&self, work: WorkKind, elapsed: Duration) -> bool {
        let needed = match work {
            WorkKind::Call => LONGEST_CALL,
            WorkKind::Answer => LONGEST_ANSWER,
        };
        self.grace_s.saturating_sub(EXIT_MARGIN).saturating_sub(elapsed) >= needed
    }
}

impl Shutdown {
    /// Tells whether the host is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Tells whether the host may start `work` at `now`.
    pub fn may_start(&self, work: WorkKind, settings: &ShutdownSettings, now: Instant) -> bool {
        let began = *self.began.lock();
        began.is_none_or(|began| settings.may_start(work, now.saturating_duration_since(began)))
    }

    /// Waits until idle connections are to be closed.
    pub async fn close_requested(&self) {
        // The channel ends without a message.
        let _ = self.close_rx.recv().await;
    }

    /// Counts a connection until the guard is dropped.
    pub fn track_connection(self: &Arc<Self>) -> CountGuard {
        CountGuard::begin(self.clone(), |s| &s.connections)
    }

    /// Counts a request until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> CountGuard {
        CountGuard::begin(self.clone(), |s| &s.requests)
    }

    /// Leaves; returns how many requests were cut off.
    pub async fn drain(&self, clock: &SharedClock, settings: &ShutdownSettings) -> usize {
        let began = clock.now();
        *self.began.lock() = Some(began);
        self.leaving.store(true, Ordering::SeqCst);
        log::info!(event = "leaving", requests = self.requests(), connections = self.connections(); "");
        let lag = BALANCER_LAG.min(settings.grace_s / 2);
        task::sleep(lag).await;
        self.close_tx.close();
        let end = began + settings.grace_s.saturating_sub(EXIT_MARGIN);
        while clock.now() < end && self.connections() > 0 {
            task::sleep(LOOK_INTERVAL).await;
        }
        let cut = self.requests();
        log::info!(event = "stopped", cut, connections = self.connections(); "");
        cut
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// `CountGuard` counts one connection or request until it is dropped.
#[derive(Debug)]
pub struct CountGuard {
    shutdown: Arc<Shutdown>,
    of: fn(&Shutdown) -> &AtomicUsize,
}

impl CountGuard {
    fn begin(shutdown: Arc<Shutdown>, of: fn(&Shutdown) -> &AtomicUsize) -> CountGuard {
        of(&shutdown).fetch_add(1, Ordering::SeqCst);
        CountGuard { shutdown, of }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.of)(&self.shutdown).fetch_sub(1, Ordering::SeqCst);
    }
}
