//! The `connections` module limits the open connections of one listener.
//!
//! Clients may keep more connections idle than a process has descriptors or memory for. At the
//! limit a new connection takes the place of the one that has been idle for longest. When all
//! are in use, a few more are accepted so that their requests can be refused.

use std::collections::{BTreeMap, HashMap};
use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::Poll;
use std::time::{Duration, Instant};

use aspenloft_core::clock::SharedClock;
use futures::task::AtomicWaker;
use parking_lot::Mutex;

/// While at most this part of the places is taken, nothing is said of how long connections are
/// kept: the number of connections that come changes.
const PLENTY_DIVISOR: usize = 4;

/// `ConnectionLimits` bounds the connections of a set.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum number of connections.
    pub max: usize,
    /// The number of further connections that are accepted to refuse their requests.
    pub max_excess: usize,
    /// How long a connection is kept in any case whose first request may be on its way.
    pub first_request: Duration,
}

/// `ConnectionSet` holds the open connections of one listener.
pub struct ConnectionSet {
    limits: ConnectionLimits,
    clock: SharedClock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    last_id: u64,
    entries: HashMap<u64, Entry>,
    /// The idle connections, by a number that rises each time one becomes idle.
    idle: BTreeMap<u64, u64>,
    /// Those that have not carried a request yet, in the same way.
    unused: BTreeMap<u64, u64>,
    last_turn: u64,
    closed: u64,
}

#[derive(Debug)]
struct Entry {
    /// The connection's number among the idle ones.
    turn: u64,
    idle_since: Instant,
    shared: Arc<Shared>,
}

/// What a set shares with one of its connections.
#[derive(Debug, Default)]
struct Shared {
    /// The number of requests and responses that use the connection.
    uses: AtomicUsize,
    close_requested: AtomicBool,
    waker: AtomicWaker,
}

impl State {
    fn set_idle(&mut self, id: u64, now: Instant) {
        self.last_turn += 1;
        if let Some(entry) = self.entries.get_mut(&id) {
            (entry.turn, entry.idle_since) = (self.last_turn, now);
            self.idle.insert(entry.turn, id);
        }
    }

    fn set_in_use(&mut self, id: u64) {
        if let Some(entry) = self.entries.get(&id) {
            self.idle.remove(&entry.turn);
            self.unused.remove(&entry.turn);
        }
    }

    /// Closes the connection that has been idle for longest, but none that has been waiting for
    /// its first request for less than `first_request`. It no longer counts, because its
    /// descriptor is free as soon as its task has run.
    fn close_oldest(&mut self, first_request: Duration, now: Instant) -> bool {
        let idle = self.idle.first_key_value().map(|(turn, id)| (*turn, *id));
        let unused = self.unused.first_key_value().map(|(turn, id)| (*turn, *id));
        let waited =
            |id| self.entries.get(&id).map(|e| now.saturating_duration_since(e.idle_since));
        let unused = unused.filter(|(_, id)| waited(*id).is_none_or(|w| w >= first_request));
        let Some((_, id)) = idle.into_iter().chain(unused).min() else { return false };
        self.set_in_use(id);
        self.closed += 1;
        if let Some(entry) = self.entries.remove(&id) {
            entry.shared.close_requested.store(true, Ordering::SeqCst);
            entry.shared.waker.wake();
        }
        true
    }
}

impl ConnectionSet {
    /// Creates an empty set.
    pub fn new(limits: ConnectionLimits, clock: SharedClock) -> Arc<ConnectionSet> {
        Arc::new(ConnectionSet { limits, clock, state: Mutex::default() })
    }

    /// Adds a connection that has just been accepted, and closes another one if there are too
    /// many. Returns `None` if there is no place for it now.
    pub fn admit(self: &Arc<Self>) -> Option<TrackedConnection> {
        let now = self.clock.now();
        let ConnectionLimits { max, max_excess, first_request } = self.limits;
        let mut state = self.state.lock();
        if state.entries.len() >= max {
            state.close_oldest(first_request, now);
        }
        let is_excess = state.entries.len() >= max;
        if state.entries.len() >= max.saturating_add(max_excess) {
            return None;
        }
        state.last_id += 1;
        let (id, shared) = (state.last_id, Arc::<Shared>::default());
        state.last_turn += 1;
        let turn = state.last_turn;
        state.entries.insert(id, Entry { turn, idle_since: now, shared: shared.clone() });
        state.unused.insert(turn, id);
        Some(TrackedConnection { set: self.clone(), id, is_excess, shared })
    }

    /// Closes up to `count` idle connections, those first that have been idle for longest.
    /// Returns the number of connections that were closed.
    pub fn close_idle(&self, count: usize) -> usize {
        let now = self.clock.now();
        let mut state = self.state.lock();
        (0..count).take_while(|_| state.close_oldest(Duration::ZERO, now)).count()
    }

    /// Returns how long a connection that becomes idle now will be kept, if new ones go on to
    /// come as often as they have. Returns `None` while there is plenty of room.
    pub fn expected_idle_time(&self) -> Option<Duration> {
        let now = self.clock.now();
        let state = self.state.lock();
        let (open, max) = (state.entries.len(), self.limits.max);
        if open <= max / PLENTY_DIVISOR {
            return None;
        }
        let (_, oldest) = state.idle.first_key_value()?;
        let idle_since = state.entries.get(oldest)?.idle_since;
        let age = now.saturating_duration_since(idle_since);
        Some(age.mul_f64(max as f64 / open as f64))
    }

    /// Returns how many connections have been closed for others.
    pub fn closed(&self) -> u64 {
        self.state.lock().closed
    }

    /// Returns the number of open connections and that of the idle ones among them.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.state.lock();
        (state.entries.len(), state.idle.len() + state.unused.len())
    }
}

/// `TrackedConnection` is one connection of a set, until it is dropped.
pub struct TrackedConnection {
    set: Arc<ConnectionSet>,
    id: u64,
    is_excess: bool,
    shared: Arc<Shared>,
}

impl TrackedConnection {
    /// Marks the connection as in use until the guard is dropped. One that is already being
    /// closed serves its last request.
    pub fn begin_use(&self) -> ConnectionUse {
        let mut state = self.set.state.lock();
        self.shared.uses.fetch_add(1, Ordering::SeqCst);
        state.set_in_use(self.id);
        ConnectionUse { set: self.set.clone(), id: self.id, shared: self.shared.clone() }
    }

    /// Returns whether there is no room for requests of this connection. Closes another one
    /// that has become idle since this one was accepted.
    pub fn is_refused(&self) -> bool {
        if !self.is_excess {
            return false;
        }
        let (limits, now) = (&self.set.limits, self.set.clock.now());
        let mut state = self.set.state.lock();
        state.entries.len() > limits.max && !state.close_oldest(limits.first_request, now)
    }

    /// Returns whether a request or response uses the connection.
    pub fn is_in_use(&self) -> bool {
        self.shared.uses.load(Ordering::SeqCst) > 0
    }

    /// Waits until the connection is to be closed because another one needs its place.
    pub async fn close_requested(&self) {
        poll_fn(|cx| {
            self.shared.waker.register(cx.waker());
            match self.shared.close_requested.load(Ordering::SeqCst) {
                true => Poll::Ready(()),
                false => Poll::Pending,
            }
        })
        .await;
    }
}

impl Drop for TrackedConnection {
    fn drop(&mut self) {
        let mut state = self.set.state.lock();
        state.set_in_use(self.id);
        state.entries.remove(&self.id);
    }
}

/// `ConnectionUse` marks a connection as in use until it is dropped.
pub struct ConnectionUse {
    set: Arc<ConnectionSet>,
    id: u64,
    shared: Arc<Shared>,
}

impl Drop for ConnectionUse {
    fn drop(&mut self) {
        let now = self.set.clock.now();
        let mut state = self.set.state.lock();
        if self.shared.uses.fetch_sub(1, Ordering::SeqCst) == 1 {
            state.set_idle(self.id, now);
        }
    }
}
