//! The `writes` module writes the head by compare-and-swap. It batches the records of
//! a few milliseconds, runs one swap at a time, and reads the head back whenever the
//! success of a swap is not certain.

use std::time::Instant;

use aspenloft_core::prelude::{Execution, Result};
use aspenloft_protocol::platform::{Swap, Version};

use super::event::{Action, AttemptId, OpId};
use super::{Moment, Shard, Stage, State};
use crate::digest::KeyDigest;
use crate::head::{HeadId, PageRef};
use crate::record::Record;

/// `InFlight` is an operation of the owner on the key-value service.
#[derive(Debug)]
pub(super) struct InFlight {
    op: OpId,
    kind: OpKind,
}

/// `OpKind` is the kind of an operation.
#[derive(Debug)]
enum OpKind {
    /// A swap of the head.
    Swap(Write),
    /// A read-back of the head, to learn whether a swap took effect.
    ReadBack(Write),
    /// The write of a page.
    Page { page: PageRef, keys: Vec<KeyDigest> },
}

/// `Write` is one swap of the head.
#[derive(Debug, Clone)]
struct Write {
    number: u64,
    attempts: u32,
    /// The pending calls whose intents the head holds.
    intents: Vec<(KeyDigest, AttemptId)>,
}

impl Shard {
    /// Returns when the next write may start, if one is needed.
    pub(super) fn next_write(&self) -> Option<Instant> {
        let State::Owner(copy) = &self.state else { return None };
        if !copy.dirty || copy.op.is_some() {
            return None;
        }
        copy.not_before.max(self.backoff.retry_at())
    }

    /// Starts the next write if it is due.
    pub(super) fn start_due_write(&mut self, at: Moment, out: &mut Vec<Action>) {
        let not_due = self.next_write().is_some_and(|when| when > at.now);
        let State::Owner(copy) = &self.state else { return };
        if not_due || !copy.dirty || copy.op.is_some() {
            return;
        }
        if !self.seal(at, out) {
            self.swap(at, out);
        }
    }

    /// Starts to move the finished records into a page if they exceed the threshold;
    /// returns whether it did.
    fn seal(&mut self, at: Moment, out: &mut Vec<Action>) -> bool {
        let op = self.next_op();
        let (active, options) = (&self.active, &self.options);
        let State::Owner(copy) = &mut self.state else { return false };
        if !copy.claimed
            || copy.bytes < options.seal_threshold_bytes
            || copy.pages.len() >= options.max_pages
        {
            return false;
        }
        let finished = copy.records.values().filter(|record| !active.contains_key(&record.key));
        let records: Vec<_> = finished.cloned().collect();
        if records.iter().map(Record::bytes).sum::<usize>() < options.seal_threshold_bytes {
            return false;
        }
        copy.writes += 1;
        copy.not_before = Some(at.now + options.write_interval);
        let expires_ms = records.iter().map(|record| record.expires_ms).max().unwrap_or(at.wall_ms);
        let page = PageRef { epoch: copy.epoch, number: copy.writes, expires_ms };
        let keys = records.iter().map(|record| record.key).collect();
        copy.op = Some(InFlight { op, kind: OpKind::Page { page, keys } });
        out.push(Action::WritePage { op, page, records });
        true
    }

    /// Handles the result of writing a page. The page takes effect once a head that
    /// refers to it is committed.
    pub(super) fn on_page_written(
        &mut self,
        op: OpId,
        result: Result<Swap>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let Some(kind) = self.take_op(op) else { return };
        let (OpKind::Page { page, keys }, State::Owner(copy)) = (kind, &mut self.state) else {
            return;
        };
        // After a failure the page may exist. It is left there, and the next attempt
        // uses another name.
        if !matches!(result, Ok(Swap::Done(_))) {
            return self.on_service_failure(at, out);
        }
        copy.pages.push(page);
        for key in keys {
            copy.set_fate(key, None);
            copy.sealed.insert(key, page);
        }
        self.swap(at, out);
    }

    /// Starts to write the current records to the head.
    fn swap(&mut self, at: Moment, out: &mut Vec<Action>) {
        let pending = self.active.iter().filter(|(_, active)| active.stage != Stage::Sent);
        let intents = pending.map(|(key, active)| (*key, active.attempt)).collect();
        let write = Write { number: 0, attempts: 1, intents };
        self.start_write(write, at, out);
    }

    /// Starts an attempt of a write. Each attempt has its own number, since an earlier
    /// one may still take effect.
    fn start_write(&mut self, mut write: Write, at: Moment, out: &mut Vec<Action>) {
        let op = self.next_op();
        let State::Owner(copy) = &mut self.state else { return };
        copy.writes += 1;
        write.number = copy.writes;
        copy.dirty = false;
        copy.not_before = Some(at.now + self.options.write_interval);
        copy.expire(at);
        out.push(Action::Swap { op, expect: copy.version, head: copy.head() });
        copy.op = Some(InFlight { op, kind: OpKind::Swap(write) });
    }

    pub(super) fn on_swapped(
        &mut self,
        op: OpId,
        result: Result<Swap>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let Some(OpKind::Swap(write)) = self.take_op(op) else { return };
        match result {
            Ok(Swap::Done(version)) => self.on_committed(write, version, at, out),
            // The conflict may be with an earlier attempt of this owner.
            Ok(Swap::Conflict(_)) => self.read_back(write, out),
            Err(e) if e.execution == Execution::NotRun => {
                self.on_service_failure(at, out);
            }
            Err(_) => self.read_back(write, out),
        }
    }

    /// Reads the head, to learn whether a write took effect.
    fn read_back(&mut self, write: Write, out: &mut Vec<Action>) {
        let op = self.next_op();
        let State::Owner(copy) = &mut self.state else { return };
        copy.op = Some(InFlight { op, kind: OpKind::ReadBack(write) });
        out.push(Action::ReadBack(op));
    }

    pub(super) fn on_read_back(
        &mut self,
        op: OpId,
        result: Result<Option<HeadId>>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let Some(OpKind::ReadBack(mut write)) = self.take_op(op) else { return };
        let Ok(head_id) = result else { return self.on_service_failure(at, out) };
        let State::Owner(copy) = &mut self.state else { return };
        let (epoch, claimed) = (copy.epoch, copy.claimed);
        let mine = head_id.filter(|head_id| head_id.epoch == epoch);
        if let Some(head_id) = mine.filter(|head_id| head_id.write == write.number) {
            return self.on_committed(write, head_id.version, at, out);
        }
        let unchanged = head_id.map_or(0, |head_id| head_id.version) == copy.version;
        match mine {
            // An earlier write of this ownership is committed; retry on top of it.
            Some(head_id) => copy.version = head_id.version,
            // The head is unchanged; the attempt may still take effect or be lost.
            None if unchanged => (),
            None => {
                if !claimed {
                    // A former owner still writes; the backoff gives it time to detect that
                    // it no longer owns the shard.
                    self.backoff.record_failure(at.now);
                }
                return self.on_ownership_lost(at, out);
            }
        }
        if write.attempts >= self.options.max_write_attempts {
            return self.on_service_failure(at, out);
        }
        write.attempts += 1;
        self.start_write(write, at, out);
    }

    /// Handles a committed write: the calls whose intents it holds are sent.
    fn on_committed(&mut self, write: Write, version: Version, at: Moment, out: &mut Vec<Action>) {
        self.backoff.record_success();
        let State::Owner(copy) = &mut self.state else { return };
        copy.version = version;
        let claims = !copy.claimed;
        copy.claimed = true;
        out.extend(copy.expired_pages.drain(..).map(Action::DeletePage));
        for (key, attempt) in write.intents {
            self.send_call(key, attempt, at, out);
        }
        if claims {
            self.serve_queue(at, out);
        }
    }

    /// Sends a call whose intent is committed.
    fn send_call(&mut self, key: KeyDigest, attempt: AttemptId, at: Moment, out: &mut Vec<Action>) {
        let Some(active) = self.active.get_mut(&key) else { return };
        let Stage::Pending { deadline } = active.stage else { return };
        // The host may have been paused for long after the intent was written.
        if active.attempt != attempt || deadline <= at.now {
            return;
        }
        active.stage = Stage::Sent;
        let not_after = at.now + self.options.send_timeout;
        let Some(call) = active.waiters.first().copied() else { return };
        out.push(Action::Send { key, attempt, call, not_after });
    }

    /// Removes and returns the operation in flight if it is `op`.
    fn take_op(&mut self, op: OpId) -> Option<OpKind> {
        let State::Owner(copy) = &mut self.state else { return None };
        let current = copy.op.as_ref().is_some_and(|in_flight| in_flight.op == op);
        if !current {
            return None;
        }
        copy.op.take().map(|in_flight| in_flight.kind)
    }
}
