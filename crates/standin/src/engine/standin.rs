//! The `standin` module holds the engine's state and implements cancellations,
//! extensions of holds, reports and orders.

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Error, ErrorCode, Result};
use aspenloft_core::prelude::{RequestId, Tokens};
use aspenloft_protocol::engine::{
    CacheEvents, CacheSnapshot, EventsQuery, ExtendCommand, Hold, HoldState, LoadReport, Order,
};
use async_std::channel::{Receiver, Sender, bounded};
use async_std::task;
use parking_lot::Mutex;

use super::cache::PrefixCache;
use super::faults::EngineFaults;
use super::holds::Holds;
use super::link::Link;
use super::loads::LoadHistory;
use super::options::EngineOptions;
use super::queue::PrefillQueue;
use super::records::{EngineRecords, OrderRecord};

/// Poll interval of frozen or stalled work.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The states in which a hold takes a decode slot.
const DECODE_STATES: [HoldState; 2] = [HoldState::Importing, HoldState::Decoding];

/// `EngineStandin` is a test double of a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    pub(super) options: EngineOptions,
    /// The injected faults.
    pub faults: Mutex<EngineFaults>,
    pub(super) state: Mutex<State>,
}

/// `State` is an engine's mutable state. Lock order: faults first, then state.
#[derive(Debug)]
pub(super) struct State {
    pub holds: Holds,
    pub cache: PrefixCache,
    pub queue: PrefillQueue,
    pub link: Link,
    pub loads: LoadHistory,
    pub records: EngineRecords,
    pub incarnation: Incarnation,
    highest_fence: u64,
}

/// `Incarnation` is one run of the engine between a start and a crash. Its channel is
/// closed at the crash.
#[derive(Debug)]
pub(super) struct Incarnation {
    pub number: u64,
    restarts_at: Option<Instant>,
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Incarnation {
    fn new(number: u64, restarts_at: Option<Instant>) -> Incarnation {
        let (tx, rx) = bounded(1);
        Incarnation { number, restarts_at, tx, rx }
    }
}

impl EngineStandin {
    /// Creates an engine that is up, without faults.
    pub fn new(options: EngineOptions) -> Arc<Self> {
        let state = State {
            holds: Holds::default(),
            cache: PrefixCache::new(options.cache_pieces),
            queue: PrefillQueue::new(options.concurrent_prefills),
            link: Link::default(),
            loads: LoadHistory::default(),
            records: EngineRecords::default(),
            incarnation: Incarnation::new(0, None),
            highest_fence: 0,
        };
        Arc::new(EngineStandin { options, faults: Mutex::default(), state: Mutex::new(state) })
    }

    /// Returns the unexpired holds.
    pub fn holds(&self) -> Vec<Hold> {
        let mut state = self.state.lock();
        state.holds.expire(Instant::now());
        state.holds.list()
    }

    /// Returns the records of all work that the engine started, across crashes.
    pub fn records(&self) -> EngineRecords {
        self.state.lock().records.clone()
    }

    /// Tells whether a prefill or decode of `request` has ever begun.
    pub fn has_run(&self, request: &RequestId) -> bool {
        self.state.lock().records.has_run(request)
    }

    /// Crashes the engine: it drops its connections, loses all holds and caches, and stays
    /// down for [`EngineFaults::down`]. Its records are kept.
    pub fn crash(&self) {
        let down = self.faults.lock().down;
        let mut state = self.state.lock();
        let number = state.incarnation.number + 1;
        state.incarnation.rx.close();
        state.incarnation.tx.close();
        state.incarnation = Incarnation::new(number, Some(Instant::now() + down));
        state.holds = Holds::default();
        state.cache.clear();
        state.queue = PrefillQueue::new(self.options.concurrent_prefills);
        state.link = Link::default();
        state.loads = LoadHistory::default();
        state.records.crashes += 1;
    }

    /// Tells whether the engine is running, as opposed to down after a crash.
    pub fn is_up(&self) -> bool {
        let state = self.state.lock();
        state.incarnation.restarts_at.is_none_or(|at| at <= Instant::now())
    }

    /// Returns a channel that closes at the next crash, or `None` while the engine is down.
    pub(super) fn crash_signal(&self) -> Option<Receiver<()>> {
        self.is_up().then(|| self.state.lock().incarnation.rx.clone())
    }

    /// Waits until the engine is not frozen.
    pub(super) async fn wait_while_frozen(&self) {
        while self.faults.lock().frozen {
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sleeps for `duration`, extended by the slowdown and while the engine is frozen.
    pub(super) async fn simulate_work(&self, duration: Duration) {
        let duration = self.faults.lock().with_slowdown(duration);
        task::sleep(duration).await;
        self.wait_while_frozen().await;
    }

    /// Returns the number of decode slots in use.
    pub(super) fn active_slots(&self) -> u32 {
        let mut state = self.state.lock();
        state.holds.expire(Instant::now());
        state.holds.count(&DECODE_STATES)
    }

    pub(super) fn check_accepting(&self) -> Result<()> {
        if self.faults.lock().refusing {
            return Err(Error::new(ErrorCode::NotReady, "the engine takes no new work"));
        }
        Ok(())
    }

    /// Cancels a request, unless a fault prevents it. Returns `false` if the command was
    /// lost and must not be answered.
    pub(super) fn cancel(&self, request: &RequestId) -> bool {
        let mut faults = self.faults.lock();
        if faults.lose_cancels > 0 {
            faults.lose_cancels -= 1;
            return false;
        }
        if !faults.ignore_cancels {
            drop(faults);
            self.release(request);
        }
        true
    }

    pub(super) fn release(&self, request: &RequestId) {
        let mut state = self.state.lock();
        state.queue.cancel(request);
        state.holds.remove(request);
        self.record_load(&mut state);
    }

    pub(super) fn extend(&self, command: &ExtendCommand) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.holds.expire(now);
        for request in &command.requests {
            state.holds.extend(request, now + command.hold);
        }
    }

    /// Records the current load, for reports that lag.
    pub(super) fn record_load(&self, state: &mut State) {
        let (queued, queued_tokens) = state.queue.load();
        let report = LoadReport {
            slots: self.options.slots,
            active: state.holds.count(&DECODE_STATES),
            queued,
            queued_tokens,
            age: Duration::ZERO,
        };
        state.loads.record(report, Instant::now());
    }

    pub(super) fn load(&self) -> LoadReport {
        let lag = self.faults.lock().load_lag;
        let now = Instant::now();
        let mut state = self.state.lock();
        state.holds.expire(now);
        self.record_load(&mut state);
        let report = state.loads.report(lag, now);
        LoadReport { slots: self.options.slots, ..report }
    }

    pub(super) fn events(&self, query: EventsQuery) -> CacheEvents {
        let faults = self.faults.lock().clone();
        self.state.lock().cache.events(query.after, &faults, Instant::now())
    }

    pub(super) fn snapshot(&self) -> CacheSnapshot {
        self.state.lock().cache.snapshot()
    }

    /// Carries out an order unless it is late or its fencing number is outdated.
    pub(super) async fn order(&self, order: Order) -> Result<()> {
        let received = Instant::now();
        let delay = self.faults.lock().order_delay;
        self.simulate_work(delay).await;
        let late = received.elapsed() > order.valid;
        let mut state = self.state.lock();
        let outdated = self.options.check_fencing && order.fence < state.highest_fence;
        let obeyed = !late && !outdated;
        if obeyed {
            state.highest_fence = state.highest_fence.max(order.fence);
        }
        state.records.orders.push(OrderRecord { order, obeyed });
        match (outdated, late) {
            (true, _) => Err(Error::new(ErrorCode::Conflict, "the fencing number is outdated")),
            (_, true) => Err(Error::new(ErrorCode::Timeout, "the order expired before it ran")),
            _ => Ok(()),
        }
    }

    /// Adds `tokens` to the prompt tokens computed by prefills.
    pub(super) fn record_prefill_tokens(&self, tokens: Tokens) {
        self.state.lock().records.prefill_tokens += tokens;
    }
}
