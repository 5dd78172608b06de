//! The `shard` module is the state machine of one ledger shard at one host.
//!
//! Its parts: [`event`] defines what goes in and out, `calls` decides about calls,
//! `writes` swaps the head, `ownership` gains and loses the shard.

mod calls;
mod copy;
pub mod event;
mod ownership;
mod writes;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;

use crate::backoff::Backoff;
use crate::digest::{KeyDigest, RequestDigest};
use crate::options::Options;
use crate::record::Fate;
use copy::Copy;
use event::{Action, AttemptId, Call, CallId, Event, OpId};

/// `Shard` is one shard of the ledger as one host sees it.
///
/// The lease behind an ownership only keeps hosts from getting into each other's
/// way. What makes a call safe to send is the swap of the head that holds its
/// intent: a former owner's swap fails, since the version has moved.
#[derive(Debug)]
pub struct Shard {
    options: Options,
    state: State,
    /// Calls that wait here, whoever owns the shard.
    live: HashMap<KeyDigest, Live>,
    /// Bytes of the bodies of the live calls.
    live_bytes: usize,
    /// Fates that came while the shard was not owned, to be recorded after the
    /// next acquisition.
    finished: HashMap<KeyDigest, Finished>,
    /// Calls that wait for the ownership to be settled.
    queue: VecDeque<Queued>,
    backoff: Backoff,
    ops: OpId,
    attempts: AttemptId,
    leaving: bool,
}

/// `State` is how the host stands to the shard.
#[derive(Debug)]
enum State {
    /// Nothing is known.
    Idle,
    /// Another host was the owner not long ago.
    Other { owner: Name, until: Instant },
    /// This host tries to become the owner.
    Acquiring(OpId),
    /// This host reads the shard.
    Loading { op: OpId, epoch: u64 },
    /// This host has a copy, which counts once its claim stands.
    Owner(Box<Copy>),
}

/// `Live` is a call whose caller waits.
#[derive(Debug)]
struct Live {
    attempt: AttemptId,
    request: RequestDigest,
    stage: Stage,
    /// The first is the call that is sent; the others are repeats.
    waiters: Vec<CallId>,
    bytes: usize,
}

/// `Stage` is how far a live call has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its intent does not stand yet.
    Pending { deadline: Instant },
    /// It was handed to the sender.
    Sent,
}

/// `Finished` is a fate that is not recorded yet.
#[derive(Debug)]
struct Finished {
    fate: Fate,
    since: Instant,
}

/// `Queued` is a call that waits for the ownership to be settled.
#[derive(Debug)]
struct Queued {
    call: Call,
    deadline: Instant,
}

/// `Moment` is the time at which an event is handled.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// The host's monotonic clock.
    pub now: Instant,
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl Shard {
    /// Creates the shard at a host that knows nothing of it. Hosts and shards need
    /// different seeds, because the seed spreads their retries.
    pub fn new(options: Options, seed: u64) -> Shard {
        Shard {
            options,
            state: State::Idle,
            live: HashMap::new(),
            live_bytes: 0,
            finished: HashMap::new(),
            queue: VecDeque::new(),
            backoff: Backoff::new(seed),
            ops: 0,
            attempts: 0,
            leaving: false,
        }
    }

    /// Handles one event.
    pub fn handle(&mut self, event: Event, at: Moment) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Call(call) => self.on_call(call, at, &mut out),
            Event::Acquired(op, result) => self.on_acquired(op, result, at, &mut out),
            Event::Loaded(op, result) => self.on_loaded(op, result, at, &mut out),
            Event::Swapped(op, result) => self.on_swapped(op, result, at, &mut out),
            Event::ReadBack(op, result) => self.on_read_back(op, result, at, &mut out),
            Event::PageWritten(op, result) => self.on_page_written(op, result, at, &mut out),
            Event::PageRead(call, result) => self.on_page_read(call, result, at, &mut out),
            Event::Sent(key, attempt, outcome) => self.on_sent(key, attempt, outcome, at, &mut out),
            Event::LeaseLost => self.lose(at, &mut out),
            Event::Leave => self.leaving = true,
            Event::Tick => (),
        }
        self.refuse_late(at, &mut out);
        self.pump(at, &mut out);
        self.hand_over(&mut out);
        out
    }

    /// Returns when the shard next needs [`Event::Tick`], if ever.
    pub fn next_tick(&self) -> Option<Instant> {
        let pending = self.live.values().filter_map(|live| match live.stage {
            Stage::Pending { deadline } => Some(deadline),
            Stage::Sent => None,
        });
        let queued = self.queue.iter().map(|queued| queued.deadline);
        pending.chain(queued).chain(self.next_write()).min()
    }

    /// Tells whether this host holds the shard and its claim stands.
    pub fn is_owner(&self) -> bool {
        matches!(&self.state, State::Owner(copy) if copy.claimed)
    }

    /// Tells whether this host has nothing left to do for the shard.
    pub fn is_idle(&self) -> bool {
        let unowned = matches!(self.state, State::Idle | State::Other { .. });
        unowned && self.in_flight() == 0
    }

    /// Returns how many calls wait here.
    pub fn in_flight(&self) -> usize {
        self.live.len() + self.queue.len()
    }

    fn next_op(&mut self) -> OpId {
        self.ops += 1;
        self.ops
    }

    /// Returns how long a refused caller should stay away.
    fn pause(&self, at: Moment) -> Duration {
        self.backoff.remaining_pause(at.now).unwrap_or(self.options.owner_cache_ttl)
    }
}
