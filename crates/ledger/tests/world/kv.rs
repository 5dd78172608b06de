//! The `kv` module is a fake of the key-value service for one ledger shard.

use std::collections::HashMap;
use std::time::Duration;

use aspenloft_core::errors::unavailable;
use aspenloft_core::prelude::{Error, Execution, Result};
use aspenloft_ledger::head::{Head, HeadId, PageRef, StoredShard};
use aspenloft_ledger::record::Record;
use aspenloft_ledger::shard::event::{Acquired, Action, Event};
use aspenloft_protocol::platform::{Swap, Version};

/// The duration of a lease.
pub const LEASE: Duration = Duration::from_secs(6);

#[derive(Debug)]
pub struct Owner {
    pub host: usize,
    pub version: Version,
    pub ends: Duration,
}

#[derive(Debug, Default)]
pub struct FakeKv {
    pub head: Option<(Version, Head)>,
    pub owner: Option<Owner>,
    pub pages: HashMap<PageRef, Vec<Record>>,
    /// Whether swaps skip the comparison of versions, to prove that the tests detect
    /// what it prevents.
    pub swaps_unchecked: bool,
    pub writes: u64,
    pub revision: Version,
}

impl FakeKv {
    /// Performs `action` for `host` and returns its result.
    pub fn apply(&mut self, action: &Action, host: usize, now: Duration) -> Event {
        match action {
            Action::Acquire(op) => Event::Acquired(*op, Ok(self.acquire(host, now))),
            Action::Load(op) => Event::Loaded(*op, self.load()),
            Action::Swap { op, expect, head } => Event::Swapped(*op, Ok(self.swap(*expect, head))),
            Action::ReadBack(op) => Event::ReadBack(*op, Ok(self.head_id())),
            Action::WritePage { op, page, records } => {
                self.writes += 1;
                let known = self.pages.insert(*page, records.clone());
                assert!(known.is_none(), "a page's name is never used twice");
                Event::PageWritten(*op, Ok(Swap::Done(self.next())))
            }
            Action::ReadPage(page, call) => {
                let records = self.pages.get(page).ok_or_else(|| unavailable("no page"));
                let found =
                    records.map(|records| records.iter().find(|r| r.key == call.key).cloned());
                Event::PageRead(call.clone(), found)
            }
            Action::DeletePage(page) => {
                self.pages.remove(page);
                Event::Tick
            }
            Action::Release(epoch) => {
                self.owner.take_if(|owner| owner.version == *epoch);
                Event::Tick
            }
            Action::Send { .. } | Action::Answer(..) => unreachable!("not for the service"),
        }
    }

    fn next(&mut self) -> Version {
        self.revision += 1;
        self.revision
    }

    fn acquire(&mut self, host: usize, now: Duration) -> Acquired {
        match &self.owner {
            Some(owner) if owner.ends > now && owner.host != host => {
                Acquired::Other(owner.host.to_string().into())
            }
            _ => {
                self.writes += 1;
                let version = self.next();
                self.owner = Some(Owner { host, version, ends: now + LEASE });
                Acquired::Mine(version)
            }
        }
    }

    fn load(&self) -> Result<StoredShard> {
        let Some((version, head)) = self.head.clone() else {
            return Ok(StoredShard { version: 0, head: None, sealed: Vec::new() });
        };
        let mut sealed = Vec::new();
        for page in &head.pages {
            let records = self.pages.get(page).ok_or_else(|| unavailable("no page"))?;
            sealed.extend(records.iter().map(|record| (record.key, *page)));
        }
        Ok(StoredShard { version, head: Some(head), sealed })
    }

    fn swap(&mut self, expect: Version, head: &Head) -> Swap {
        self.writes += 1;
        let current = self.head.as_ref().map_or(0, |(version, _)| *version);
        if current != expect && !self.swaps_unchecked {
            return Swap::Conflict(current);
        }
        let version = self.next();
        self.head = Some((version, head.clone()));
        Swap::Done(version)
    }

    fn head_id(&self) -> Option<HeadId> {
        let (version, head) = self.head.as_ref()?;
        Some(HeadId { version: *version, epoch: head.epoch, write: head.write })
    }
}

/// Returns the event for the failure of `action` with `execution`.
pub fn failed(action: &Action, execution: Execution) -> Event {
    let e: Error = unavailable("fault").execution(execution);
    match action {
        Action::Acquire(op) => Event::Acquired(*op, Err(e)),
        Action::Load(op) => Event::Loaded(*op, Err(e)),
        Action::Swap { op, .. } => Event::Swapped(*op, Err(e)),
        Action::ReadBack(op) => Event::ReadBack(*op, Err(e)),
        Action::WritePage { op, .. } => Event::PageWritten(*op, Err(e)),
        Action::ReadPage(_, call) => Event::PageRead(call.clone(), Err(e)),
        Action::DeletePage(_) | Action::Release(_) => Event::Tick,
        Action::Send { .. } | Action::Answer(..) => unreachable!("not for the service"),
    }
}
