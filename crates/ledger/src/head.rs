//! The `head` module defines the values that a shard stores in the key-value service:
//! its owner, the head that every write replaces, and the sealed pages.

use aspenloft_core::prelude::Name;
use aspenloft_protocol::platform::{LeaseId, Version};
use serde::{Deserialize, Serialize};

use crate::digest::KeyDigest;
use crate::record::Record;

/// `Epoch` numbers the ownerships of a shard. It is the version of the owner's key at
/// the acquisition, so it increases and never repeats.
pub type Epoch = Version;

/// `Owner` is the value of a shard's owner key, which is deleted when its lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The name of the owner.
    pub host: Name,
    /// The lease that the key is attached to.
    pub lease: LeaseId,
}

/// `Head` is the value that every write of a shard replaces as a whole by a
/// compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The ownership under which it was written.
    pub epoch: Epoch,
    /// The number of the write within the ownership. A read-back compares it to learn
    /// whether the write took effect.
    pub write: u64,
    /// The sealed pages, oldest first.
    pub pages: Vec<PageRef>,
    /// The records that are not in a page.
    pub records: Vec<Record>,
}

/// `PageRef` refers to a sealed page. Epoch and number together name it, so no other
/// ownership can write a page of the same name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PageRef {
    /// The ownership that sealed it.
    pub epoch: Epoch,
    /// The number of the write within the ownership.
    pub number: u64,
    /// When its last record expires, in milliseconds since the Unix epoch.
    pub expires_ms: u64,
}

/// `StoredShard` is the state of a shard as a new owner reads it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredShard {
    /// The head's version; zero when there is none yet.
    pub version: Version,
    /// The head, if there is one.
    pub head: Option<Head>,
    /// The keys of the sealed pages.
    pub sealed: Vec<(KeyDigest, PageRef)>,
}

/// `HeadId` identifies the write that produced the head, for a read-back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeadId {
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

/// Returns the common prefix of the keys of the shard's pages.
pub fn pages_prefix(shard: u32) -> String {
    format!("aspenloft/ledger/{shard}/page/")
}

/// Returns the key of a page.
pub fn page_key(shard: u32, page: PageRef) -> String {
    format!("{}{}-{}", pages_prefix(shard), page.epoch, page.number)
}
