//! The `shutdown` module implements a host's graceful shutdown.
//!
//! The balancer takes a host out after two failed readiness probes, a second apart,
//! and sends new connections until then. The host therefore continues to serve, asks
//! callers to close their connections, then closes those that are idle, and ends when
//! no connection is left or the grace period is over. Shortly before that it answers the requests
//! that still wait. `docs/design/stopping.md` lists where a request may be at that time.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, SharedClock};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::future::timeout;
use async_std::task;
use async_trait::async_trait;
use parking_lot::Mutex;

use crate::settings::ShutdownSettings;

/// How long the balancer may continue to send new connections.
const BALANCER_LAG: Duration = Duration::from_millis(3_200);

/// How long before the end of the grace period the host exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// How long before the process exits the requests that wait are answered.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// How long after the signal work may begin that usually ends in time. Later on the balancer
/// sends callers only because too few hosts are ready, and what begins must end.
const CERTAIN_END_AFTER: Duration = Duration::from_millis(3_000);

/// How long a slow call of a plain service takes. Such calls are accepted for as long
/// as they can end in time, because the balancer may send callers until the end if too
/// few hosts are ready.
const CALL_DURATION: Duration = Duration::from_millis(1_200);

/// How long a typical model request takes under load.
const GENERATION_DURATION: Duration = Duration::from_millis(5_000);

/// How long connections that arrive as the host exits may take to be refused.
const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// How often the open connections are checked during a drain.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long exit hooks may take after the last connection has ended.
const EXIT_HOOK_TIMEOUT: Duration = Duration::from_millis(250);

/// `ExitHook` is work that must be done before the process exits, because other hosts rely on it.
#[async_trait]
pub trait ExitHook: Send + Sync {
    /// Does the work. It is given up if it takes too long.
    async fn finish(&self);
}

/// `Shutdown` holds the state of a host's shutdown and counts its work in flight.
pub struct Shutdown {
    leaving: AtomicBool,
    /// Whether the process is about to exit.
    exiting: AtomicBool,
    /// When the shutdown began, and its limits.
    began: Mutex<Option<(Instant, ShutdownSettings)>>,
    connections: AtomicUsize,
    requests: AtomicUsize,
    // Carries no messages: closing the channel tells idle connections to close.
    close_tx: Sender<()>,
    close_rx: Receiver<()>,
    // Carries no messages: closing the channel has the requests answered that still wait.
    answer_tx: Sender<()>,
    answer_rx: Receiver<()>,
    exit_hooks: Mutex<Vec<Arc<dyn ExitHook>>>,
}

impl Default for Shutdown {
    fn default() -> Self {
        let (close_tx, close_rx) = bounded(1);
        let (answer_tx, answer_rx) = bounded(1);
        Shutdown {
            leaving: AtomicBool::new(false),
            exiting: AtomicBool::new(false),
            began: Mutex::default(),
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            close_tx,
            close_rx,
            answer_tx,
            answer_rx,
            exit_hooks: Mutex::default(),
        }
    }
}

/// `WorkKind` classifies requests by how long they usually take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkKind {
    /// A call of a plain service.
    Call {
        /// Whether callers may repeat a call that was not answered.
        repeatable: bool,
    },
    /// A model request.
    Generation,
}

impl ShutdownSettings {
    /// Tells whether `work` that must end within `limit` may start `elapsed` after the signal:
    /// whether it can be expected to end before the process does and, if it comes late and cannot
    /// be repeated, whether it ends before in any case.
    pub fn may_start(&self, work: WorkKind, limit: Duration, elapsed: Duration) -> bool {
        let usual = match work {
            WorkKind::Call { .. } => CALL_DURATION,
            WorkKind::Generation => GENERATION_DURATION,
        };
        let is_certain =
            elapsed >= CERTAIN_END_AFTER && work != WorkKind::Call { repeatable: true };
        let needed = if is_certain { limit } else { usual.min(limit) };
        self.answer_after().saturating_sub(elapsed) >= needed
    }

    /// Returns how long after the signal the process exits.
    fn exit_after(&self) -> Duration {
        self.grace_s.saturating_sub(EXIT_MARGIN)
    }

    /// Returns how long after the signal the requests are answered that still wait.
    fn answer_after(&self) -> Duration {
        self.exit_after().saturating_sub(ANSWER_MARGIN)
    }
}

impl Shutdown {
    /// Tells whether the shutdown has begun.
    pub fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Tells whether the host may start `work` at `now` that must end within `limit`.
    pub fn may_start(&self, work: WorkKind, limit: Duration, now: Instant) -> bool {
        if self.exiting.load(Ordering::SeqCst) {
            return false;
        }
        self.began.lock().as_ref().is_none_or(|(began, settings)| {
            settings.may_start(work, limit, now.saturating_duration_since(*began))
        })
    }

    /// Waits until idle connections are to be closed.
    pub async fn close_requested(&self) {
        // Returns an error once the channel is closed.
        let _ = self.close_rx.recv().await;
    }

    /// Tells whether idle connections are being closed.
    pub fn is_closing(&self) -> bool {
        self.close_tx.is_closed()
    }

    /// Waits until the requests are to be answered that still wait.
    pub async fn answer_requested(&self) {
        // Returns an error once the channel is closed.
        let _ = self.answer_rx.recv().await;
    }

    /// Counts a connection until the guard is dropped.
    pub fn track_connection(self: &Arc<Self>) -> CountGuard {
        CountGuard::begin(self.clone(), |s| &s.connections)
    }

    /// Counts a request until the guard is dropped.
    pub fn track_request(self: &Arc<Self>) -> CountGuard {
        CountGuard::begin(self.clone(), |s| &s.requests)
    }

    /// Has `hook` run before the process exits.
    pub fn add_exit_hook(&self, hook: Arc<dyn ExitHook>) {
        self.exit_hooks.lock().push(hook);
    }

    /// Shuts the host down gracefully; returns the number of requests that were still
    /// running at the end.
    pub async fn drain(&self, clock: &SharedClock, settings: &ShutdownSettings) -> usize {
        let began = clock.now();
        *self.began.lock() = Some((began, settings.clone()));
        self.leaving.store(true, Ordering::SeqCst);
        log::info!(event = "leaving", requests = self.requests(), connections = self.connections(); "");
        let lag = BALANCER_LAG.min(settings.grace_s / 2);
        task::sleep(lag).await;
        self.close_tx.close();
        let mut hooks = None;
        let (answer_at, end) = (began + settings.answer_after(), began + settings.exit_after());
        while clock.now() < end && self.connections() > 0 {
            if clock.now() >= answer_at {
                self.answer_tx.close();
                hooks.get_or_insert_with(|| task::spawn(self.run_exit_hooks()));
            }
            task::sleep(POLL_INTERVAL).await;
        }
        // Connections may still arrive, and are refused.
        self.exiting.store(true, Ordering::SeqCst);
        self.answer_tx.close();
        let interrupted = self.requests();
        let hooks = hooks.unwrap_or_else(|| task::spawn(self.run_exit_hooks()));
        if timeout(EXIT_HOOK_TIMEOUT, hooks).await.is_err() {
            log::warn!(event = "exit_hook_unfinished"; "");
        }
        let last = clock.now() + REFUSAL_TIME;
        while clock.now() < last.min(end) && self.connections() > 0 {
            task::sleep(REFUSAL_TIME / 10).await;
        }
        log::info!(event = "stopped", cut = interrupted, connections = self.connections(); "");
        interrupted
    }

    /// Runs the exit hooks, one after the other.
    fn run_exit_hooks(&self) -> impl Future<Output = ()> + Send + 'static {
        let exit_hooks = self.exit_hooks.lock().clone();
        async move {
            for hook in exit_hooks {
                hook.finish().await;
            }
        }
    }

    fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// `CountGuard` counts one connection or request until it is dropped.
pub struct CountGuard {
    shutdown: Arc<Shutdown>,
    counter: fn(&Shutdown) -> &AtomicUsize,
}

impl CountGuard {
    fn begin(shutdown: Arc<Shutdown>, counter: fn(&Shutdown) -> &AtomicUsize) -> CountGuard {
        counter(&shutdown).fetch_add(1, Ordering::SeqCst);
        CountGuard { shutdown, counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.shutdown).fetch_sub(1, Ordering::SeqCst);
    }
}
