//! The `event` module defines what a shard is told and what it asks for.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Arc, Error, Name, Result};
use aspenloft_protocol::platform::{Swap, Version};

use crate::digest::{KeyDigest, RequestDigest};
use crate::head::{Epoch, Head, HeadMark, Loaded, PageRef};
use crate::record::{Answer, Record};

/// `CallId` names one call that waits at this host for its verdict.
pub type CallId = u64;

/// `OpId` numbers the operations towards the key-value service, so that a late
/// result of an earlier one is known and ignored.
pub type OpId = u64;

/// `AttemptId` numbers the calls that this host means to send.
pub type AttemptId = u64;

/// `Call` is a caller's call as far as the ledger must know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// The call.
    pub id: CallId,
    /// Its idempotency key.
    pub key: KeyDigest,
    /// What it asks for.
    pub request: RequestDigest,
    /// How long the key is kept.
    pub window: Duration,
    /// The bytes of its body.
    pub bytes: usize,
}

/// `Event` is what a shard is told.
#[derive(Debug)]
pub enum Event {
    /// A call came in.
    Call(Call),
    /// [`Action::Acquire`] is done.
    Acquired(OpId, Result<Acquired>),
    /// [`Action::Load`] is done.
    Loaded(OpId, Result<Loaded>),
    /// [`Action::Swap`] is done.
    Swapped(OpId, Result<Swap>),
    /// [`Action::ReadBack`] is done.
    ReadBack(OpId, Result<Option<HeadMark>>),
    /// [`Action::WritePage`] is done.
    PageWritten(OpId, Result<Swap>),
    /// [`Action::ReadPage`] is done.
    PageRead(Call, Result<Option<Record>>),
    /// [`Action::Send`] is done.
    Sent(KeyDigest, AttemptId, Outcome),
    /// The host's lease has lapsed or may have.
    LeaseLost,
    /// The host leaves: it takes no new key and gives the shard up once it is idle.
    Leave,
    /// Time has passed.
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

/// `Outcome` is what the sender of a call knows of its fate.
#[derive(Debug, Clone)]
pub enum Outcome {
    /// The backend server answered.
    Answered(Arc<Answer>),
    /// No byte of the call was sent.
    NotSent(Error),
    /// The call may have run.
    Unknown(Error),
}

/// `Action` is what a shard asks for.
#[derive(Debug, Clone)]
pub enum Action {
    /// Become the owner, if nobody else is.
    Acquire(OpId),
    /// Read the head and the keys of its pages.
    Load(OpId),
    /// Swap the head.
    Swap {
        /// The operation.
        op: OpId,
        /// The version that the head must have.
        expect: Version,
        /// The new head.
        head: Box<Head>,
    },
    /// Read the head's mark, after a swap that did not plainly succeed.
    ReadBack(OpId),
    /// Write a page, which must not be there yet.
    WritePage {
        /// The operation.
        op: OpId,
        /// The page.
        page: PageRef,
        /// Its records.
        records: Vec<Record>,
    },
    /// Read the record of a repeated call from its page.
    ReadPage(PageRef, Call),
    /// Delete a page that no head refers to any more.
    DeletePage(PageRef),
    /// Send a call, unless `not_after` has passed.
    Send {
        /// Its key.
        key: KeyDigest,
        /// The attempt.
        attempt: AttemptId,
        /// The call.
        call: CallId,
        /// The last moment at which it may be sent.
        not_after: Instant,
    },
    /// Give the ownership back, so that the next host need not wait for the lease.
    Release(Epoch),
    /// Answer a call.
    Answer(CallId, CallResult),
}

/// `CallResult` is the ledger's word on one call.
#[derive(Debug, Clone)]
pub enum CallResult {
    /// The answer of the backend server, fresh or kept.
    Answer(Arc<Answer>),
    /// Another host owns the shard.
    Redirect(Name),
    /// An error, with its word on whether the call was run.
    Failed(Error),
}
