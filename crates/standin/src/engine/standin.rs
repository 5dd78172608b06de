//! The `standin` module is the engine's state and the calls that end at once.

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

/// How often frozen or stalled work looks whether it may go on.
pub(super) const LOOK_INTERVAL: Duration = Duration::from_millis(5);

/// The states that take a decode slot.
const DECODE_STATES: [HoldState; 2] = [HoldState::Importing, HoldState::Decoding];

/// `EngineStandin` is a model engine.
#[derive(Debug)]
pub struct EngineStandin {
    pub(super) options: EngineOptions,
    /// What is wrong with the engine.
    pub faults: Mutex<EngineFaults>,
    pub(super) state: Mutex<State>,
}

/// `State` is all that changes. Its lock is taken after that of the faults.
#[derive(Debug)]
pub(super) struct State {
    pub holds: Holds,
    pub cache: PrefixCache,
    pub queue: PrefillQueue,
    pub link: Link,
    pub loads: LoadHistory,
    pub records: EngineRecords,
    pub life: Life,
    highest_fence: u64,
}

/// `Life` is the time between a start of the engine and its crash. Its channel
/// closes at the crash.
#[derive(Debug)]
pub(super) struct Life {
    pub number: u64,
    up_at: Option<Instant>,
    tx: Sender<()>,
    rx: Receiver<()>,
}

impl Life {
    fn new(number: u64, up_at: Option<Instant>) -> Life {
        let (tx, rx) = bounded(1);
        Life { number, up_at, tx, rx }
    }
}

impl EngineStandin {
    /// Creates an engine.
    pub fn new(options: EngineOptions) -> Arc<Self> {
        let state = State {
            holds: Holds::default(),
            cache: PrefixCache::new(options.cache_pieces),
            queue: PrefillQueue::new(options.concurrent_prefills),
            link: Link::default(),
            loads: LoadHistory::default(),
            records: EngineRecords::default(),
            life: Life::new(0, None),
            highest_fence: 0,
        };
        Arc::new(EngineStandin { options, faults: Mutex::default(), state: Mutex::new(state) })
    }

    /// Lists what the engine holds now.
    pub fn holds(&self) -> Vec<Hold> {
        let mut state = self.state.lock();
        state.holds.expire(Instant::now());
        state.holds.list()
    }

    /// Returns all that the engine ever ran.
    pub fn records(&self) -> EngineRecords {
        self.state.lock().records.clone()
    }

    /// Tells whether any part of `request` was ever run.
    pub fn has_run(&self, request: &RequestId) -> bool {
        self.state.lock().records.has_run(request)
    }

    /// Crashes the engine: connections drop, all holds and caches are lost, and it
    /// is down for [`EngineFaults::down`]. Its records stay.
    pub fn crash(&self) {
        let down = self.faults.lock().down;
        let mut state = self.state.lock();
        let number = state.life.number + 1;
        state.life.rx.close();
        state.life.tx.close();
        state.life = Life::new(number, Some(Instant::now() + down));
        state.holds = Holds::default();
        state.cache.clear();
        state.queue = PrefillQueue::new(self.options.concurrent_prefills);
        state.link = Link::default();
        state.loads = LoadHistory::default();
        state.records.crashes += 1;
    }

    /// Tells whether the engine is up.
    pub fn is_up(&self) -> bool {
        let state = self.state.lock();
        state.life.up_at.is_none_or(|at| at <= Instant::now())
    }

    /// Returns what closes at the next crash, or `None` while the engine is down.
    pub(super) fn life(&self) -> Option<Receiver<()>> {
        self.is_up().then(|| self.state.lock().life.rx.clone())
    }

    /// Waits for as long as the engine is frozen.
    pub(super) async fn while_frozen(&self) {
        while self.faults.lock().frozen {
            task::sleep(LOOK_INTERVAL).await;
        }
    }

    /// Works for `length`, longer if slowed down or frozen.
    pub(super) async fn work(&self, length: Duration) {
        let length = self.faults.lock().with_slowdown(length);
        task::sleep(length).await;
        self.while_frozen().await;
    }

    /// Counts decode slots in use.
    pub(super) fn active(&self) -> u32 {
        let mut state = self.state.lock();
        state.holds.expire(Instant::now());
        state.holds.count(&DECODE_STATES)
    }

    pub(super) fn refuse_if_told(&self) -> Result<()> {
        if self.faults.lock().refusing {
            return Err(Error::new(ErrorCode::NotReady, "the engine takes no new work"));
        }
        Ok(())
    }

    /// Forgets a request unless a fault keeps the cancellation from working.
    /// `false` when the command was lost.
    pub(super) fn cancel(&self, request: &RequestId) -> bool {
        let mut faults = self.faults.lock();
        if faults.lose_cancels > 0 {
            faults.lose_cancels -= 1;
            return false;
        }
        if !faults.ignore_cancels {
            drop(faults);
            self.forget(request);
        }
        true
    }

    pub(super) fn forget(&self, request: &RequestId) {
        let mut state = self.state.lock();
        state.queue.cancel(request);
        state.holds.remove(request);
        self.note_load(&mut state);
    }

    pub(super) fn extend(&self, command: &ExtendCommand) {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.holds.expire(now);
        for request in &command.requests {
            state.holds.extend(request, now + command.hold);
        }
    }

    /// Notes the load for later, lagging reports.
    pub(super) fn note_load(&self, state: &mut State) {
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
        self.note_load(&mut state);
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

    /// Carries out an order if it is still valid and its fencing number holds.
    pub(super) async fn order(&self, order: Order) -> Result<()> {
        let received = Instant::now();
        let delay = self.faults.lock().order_delay;
        self.work(delay).await;
        let late = received.elapsed() > order.valid;
        let mut state = self.state.lock();
        let fenced = self.options.check_fencing && order.fence < state.highest_fence;
        let obeyed = !late && !fenced;
        if obeyed {
            state.highest_fence = state.highest_fence.max(order.fence);
        }
        state.records.orders.push(OrderRecord { order, obeyed });
        match (fenced, late) {
            (true, _) => Err(Error::new(ErrorCode::Conflict, "the fencing number is old")),
            (_, true) => Err(Error::new(ErrorCode::Timeout, "the order came too late to start")),
            _ => Ok(()),
        }
    }

    /// Counts tokens of prefill work.
    pub(super) fn count_prefill(&self, tokens: Tokens) {
        self.state.lock().records.prefill_tokens += tokens;
    }
}
