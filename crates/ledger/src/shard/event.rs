//! The `event` module defines the events and actions of a shard.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Error, Name, Result};
use aspenloft_protocol::platform::{Swap, Version};

use crate::digest::{KeyDigest, RequestDigest};
use crate::head::{Epoch, Head, HeadId, PageRef, StoredShard};
use crate::record::{Answer, Record};

/// `CallId` identifies a call that waits at this host for its result.
pub type CallId = u64;

/// `OpId` identifies an operation on the key-value service, so that late results of
/// earlier operations can be ignored.
pub type OpId = u64;

/// `AttemptId` identifies an attempt of this host to send a call.
pub type AttemptId = u64;

/// `Call` is the part of a caller's call that the ledger needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The identifier that [`Action::Answer`] refers to.
    pub id: CallId,
    /// The digest of its idempotency key.
    pub key: KeyDigest,
    /// The digest of its method, path and body.
    pub request: RequestDigest,
    /// How long the row of the call asks for the key to be kept.
    pub window: Duration,
    /// The size of its body in bytes.
    pub bytes: usize,
}

/// `Event` is an input of a shard.
#[derive(Debug)]
pub enum Event {
    /// A call arrived.
    Call(Call),
    /// The result of [`Action::Acquire`].
    Acquired(OpId, Result<Acquired>),
    /// The result of [`Action::Load`].
    Loaded(OpId, Result<StoredShard>),
    /// The result of [`Action::Swap`].
    Swapped(OpId, Result<Swap>),
    /// The result of [`Action::ReadBack`].
    ReadBack(OpId, Result<Option<HeadId>>),
    /// The result of [`Action::WritePage`].
    PageWritten(OpId, Result<Swap>),
    /// The result of [`Action::ReadPage`].
    PageRead(Call, Result<Option<Record>>),
    /// The result of [`Action::Send`].
    Sent(KeyDigest, AttemptId, Outcome),
    /// The host's lease has expired or may have.
    LeaseLost,
    /// The host is leaving: it accepts no new keys and releases the shard once the
    /// shard is idle.
    Leave,
    /// A timer event; see [`Shard::next_tick`](super::Shard::next_tick).
    Tick,
}

/// `Acquired` is the outcome of an attempt to become the owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Acquired {
    /// This host is the owner.
    Mine(Epoch),
    /// Another host is.
    Other(Name),
}

/// `Outcome` is the outcome of sending a call, as far as the sender knows it.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// The backend server answered.
    Answered(Arc<Answer>),
    /// No byte of the call was sent.
    NotSent(Error),
    /// The call may have run.
    Unknown(Error),
}

/// `Action` is an output of a shard, for the host to perform.
#[derive(Debug, Clone)]
pub enum Action {
    /// Become the owner, unless another host is.
    Acquire(OpId),
    /// Read the head and the keys of its pages.
    Load(OpId),
    /// Replace the head by a compare-and-swap.
    Swap {
        /// The operation, for its result.
        op: OpId,
        /// The version that the head must have.
        expect: Version,
        /// The new head.
        head: Box<Head>,
    },
    /// Read the head's mark, after a swap whose success is not certain.
    ReadBack(OpId),
    /// Write a page, which must not exist yet.
    WritePage {
        /// The operation, for its result.
        op: OpId,
        /// The name of the page.
        page: PageRef,
        /// The records of the page.
        records: Vec<Record>,
    },
    /// Read the record of a repeated call from its page.
    ReadPage(PageRef, Call),
    /// Delete a page that no head refers to any more.
    DeletePage(PageRef),
    /// Send a call, unless `not_after` has passed.
    Send {
        /// The digest of its idempotency key.
        key: KeyDigest,
        /// The attempt, for its result.
        attempt: AttemptId,
        /// The call to send.
        call: CallId,
        /// The last moment at which it may be sent.
        not_after: Instant,
    },
    /// Release the ownership, so that the next host does not have to wait until the
    /// lease expires.
    Release(Epoch),
    /// Answer a call.
    Answer(CallId, CallResult),
}

/// `CallResult` is the result of a call for its caller.
#[derive(Debug, Clone)]
pub enum CallResult {
    /// The answer of the backend server, either new or stored.
    Answer(Arc<Answer>),
    /// Another host owns the shard.
    Redirect(Name),
    /// An error, which states whether the call was run.
    Failed(Error),
}
