//! The `shard` module is the state machine of one ledger shard at one host.
//!
//! The module [`event`] defines its inputs and outputs, `calls` handles calls,
//! `writes` updates the head, and `ownership` acquires and releases the shard.

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
use crate::options::ShardOptions;
use crate::record::Fate;
use copy::ShardCopy;
use event::{Action, AttemptId, Call, CallId, Event, OpId};

/// `Shard` is one shard of the ledger as one host sees it.
///
/// The lease behind an ownership only keeps hosts from interfering with each other.
/// A call is safe to send because its intent was committed by a compare-and-swap of
/// the head: the swap of a former owner fails, since the version has changed.
#[derive(Debug)]
pub struct Shard {
    options: ShardOptions,
    state: State,
    /// The calls whose callers wait at this host, regardless of the owner.
    active: HashMap<KeyDigest, ActiveCall>,
    /// The total size of the bodies of the active calls, in bytes.
    active_bytes: usize,
    /// Fates that became known while this host did not own the shard, to be recorded
    /// after the next acquisition.
    unrecorded: HashMap<KeyDigest, UnrecordedFate>,
    /// The calls that wait until the owner is known.
    queue: VecDeque<Queued>,
    backoff: Backoff,
    ops: OpId,
    attempts: AttemptId,
    leaving: bool,
}

/// `State` is the ownership of the shard as this host knows it.
#[derive(Debug)]
enum State {
    /// The owner is not known.
    Idle,
    /// Another host is the owner; this is cached until `until`.
    Other { owner: Name, until: Instant },
    /// This host tries to become the owner.
    Acquiring(OpId),
    /// This host has become the owner and reads the shard.
    Loading { op: OpId, epoch: u64 },
    /// This host has read the shard. It may serve calls once its claim is committed.
    Owner(Box<ShardCopy>),
}

/// `ActiveCall` is a call whose caller waits.
#[derive(Debug)]
struct ActiveCall {
    attempt: AttemptId,
    request: RequestDigest,
    stage: Stage,
    /// The callers that wait: first the one whose call is sent, then its repeats.
    waiters: Vec<CallId>,
    bytes: usize,
}

/// `Stage` is the progress of an active call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Its intent is not committed yet.
    Pending { deadline: Instant },
    /// It was passed to the sender.
    Sent,
}

/// `UnrecordedFate` is a fate that is not recorded in the head yet.
#[derive(Debug)]
struct UnrecordedFate {
    fate: Fate,
    since: Instant,
}

/// `Queued` is a call that waits until the owner is known.
#[derive(Debug)]
struct Queued {
    call: Call,
    deadline: Instant,
}

/// `Moment` is the time of an event by both clocks of the host.
#[derive(Debug, Clone, Copy)]
pub struct Moment {
    /// The host's monotonic clock.
    pub now: Instant,
    /// Milliseconds since the Unix epoch.
    pub wall_ms: u64,
}

impl Shard {
    /// Creates the shard at a host without any state of it. Hosts and shards need
    /// different seeds, because the jitter of their retries depends on the seed.
    pub fn new(options: ShardOptions, seed: u64) -> Shard {
        Shard {
            options,
            state: State::Idle,
            active: HashMap::new(),
            active_bytes: 0,
            unrecorded: HashMap::new(),
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
            Event::LeaseLost => self.on_ownership_lost(at, &mut out),
            Event::Leave => self.leaving = true,
            Event::Tick => (),
        }
        self.refuse_expired(at, &mut out);
        self.start_due_write(at, &mut out);
        self.release_if_idle(&mut out);
        out
    }

    /// Returns when the shard next needs an [`Event::Tick`], if it needs one.
    pub fn next_tick(&self) -> Option<Instant> {
        let pending = self.active.values().filter_map(|active| match active.stage {
            Stage::Pending { deadline } => Some(deadline),
            Stage::Sent => None,
        });
        let queued = self.queue.iter().map(|queued| queued.deadline);
        pending.chain(queued).chain(self.next_write()).min()
    }

    /// Returns whether this host owns the shard and its claim is committed.
    pub fn is_owner(&self) -> bool {
        matches!(&self.state, State::Owner(copy) if copy.claimed)
    }

    /// Returns whether this host has nothing left to do for the shard.
    pub fn is_idle(&self) -> bool {
        let unowned = matches!(self.state, State::Idle | State::Other { .. });
        unowned && self.in_flight() == 0
    }

    /// Returns the number of calls that are active or queued at this host.
    pub fn in_flight(&self) -> usize {
        self.active.len() + self.queue.len()
    }

    fn next_op(&mut self) -> OpId {
        self.ops += 1;
        self.ops
    }

    /// Returns how long a refused caller should wait before it retries.
    fn retry_delay(&self, at: Moment) -> Duration {
        self.backoff.remaining_pause(at.now).unwrap_or(self.options.owner_cache_ttl)
    }
}
