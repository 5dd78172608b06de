//! The `head` module defines the values that a shard has in the key-value service:
//! the owner's key, the head that every write swaps, and the sealed pages.

use aspenloft_core::prelude::Name;
use aspenloft_protocol::platform::{LeaseId, Version};
use serde::{Deserialize, Serialize};

use crate::digest::KeyDigest;
use crate::record::Record;

/// `Epoch` numbers the ownerships of a shard: it is the version of the owner's key
/// at the acquisition, therefore it grows and never repeats.
pub type Epoch = Version;

/// `Owner` is the value of a shard's owner key, which goes with its lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The owner.
    pub host: Name,
    /// The lease that the key hangs on.
    pub lease: LeaseId,
}

/// `Head` is the value that every write of a shard swaps as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The ownership under which it was written.
    pub epoch: Epoch,
    /// The number of the write within the ownership, for a read-back.
    pub write: u64,
    /// The sealed pages, oldest first.
    pub pages: Vec<PageRef>,
    /// The records that are in no page.
    pub records: Vec<Record>,
}

/// `PageRef` points at a sealed page. The pair of epoch and write is its name;
/// no other ownership can write a page of the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PageRef {
    /// The ownership that sealed it.
    pub epoch: Epoch,
    /// Its number within the ownership.
    pub number: u64,
    /// When its last record may be forgotten, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// `Loaded` is what a new owner has read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loaded {
    /// The head's version; zero when there is none yet.
    pub version: Version,
    /// The head, if there is one.
    pub head: Option<Head>,
    /// The keys of the sealed pages.
    pub sealed: Vec<(KeyDigest, PageRef)>,
}

/// `HeadMark` is what a read-back needs of the head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadMark {
    /// The head's version.
    pub version: Version,
    /// The ownership that wrote it.
    pub epoch: Epoch,
    /// The number of the write.
    pub write: u64,
}

/// Returns the key of the shard's owner.
pub fn owner_key(shard: u32) -> String {
    format!("aspenloft/ledger/{shard}/owner")
}

/// Returns the key of the shard's head.
pub fn head_key(shard: u32) -> String {
    format!("aspenloft/ledger/{shard}/head")
}

/// Returns the common start of the keys of the shard's pages.
pub fn pages_prefix(shard: u32) -> String {
    format!("aspenloft/ledger/{shard}/page/")
}

/// Returns the key of a page.
pub fn page_key(shard: u32, page: PageRef) -> String {
    format!("{}{}-{}", pages_prefix(shard), page.epoch, page.number)
}
