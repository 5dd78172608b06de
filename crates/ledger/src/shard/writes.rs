//! The `writes` module swaps the head: the records of some milliseconds together,
//! one swap at a time, each read back unless it plainly succeeded.

use std::time::Instant;

use aspenloft_core::prelude::{Execution, Result};
use aspenloft_protocol::platform::{Swap, Version};

use super::event::{Action, AttemptId, OpId};
use super::{Moment, Shard, Stage, State};
use crate::digest::KeyDigest;
use crate::head::{HeadMark, PageRef};
use crate::record::Record;

/// `InFlight` is an operation of the owner towards the service.
#[derive(Debug)]
pub(super) struct InFlight {
    op: OpId,
    kind: Kind,
}

/// `Kind` is what an operation does.
#[derive(Debug)]
enum Kind {
    /// It swaps the head.
    Swap(Write),
    /// It reads the head back.
    ReadBack(Write),
    /// It writes a page.
    Page { page: PageRef, keys: Vec<KeyDigest> },
}

/// `Write` is one swap of the head.
#[derive(Debug, Clone)]
struct Write {
    number: u64,
    tries: u32,
    /// The pending calls whose intents it holds.
    covers: Vec<(KeyDigest, AttemptId)>,
}

impl Shard {
    /// Returns when the next write may start, if one is due.
    pub(super) fn next_write(&self) -> Option<Instant> {
        let State::Owner(copy) = &self.state else { return None };
        if !copy.dirty || copy.op.is_some() {
            return None;
        }
        copy.not_before.max(self.backoff.retry_at())
    }

    /// Starts the next write if it is due.
    pub(super) fn pump(&mut self, at: Moment, out: &mut Vec<Action>) {
        let waits = self.next_write().is_some_and(|when| when > at.now);
        let State::Owner(copy) = &self.state else { return };
        if waits || !copy.dirty || copy.op.is_some() {
            return;
        }
        if !self.seal(at, out) {
            self.swap(at, out);
        }
    }

    /// Writes the finished records into a page when they have grown too many.
    fn seal(&mut self, at: Moment, out: &mut Vec<Action>) -> bool {
        let op = self.next_op();
        let (live, options) = (&self.live, &self.options);
        let State::Owner(copy) = &mut self.state else { return false };
        if !copy.claimed
            || copy.bytes < options.seal_threshold_bytes
            || copy.pages.len() >= options.max_pages
        {
            return false;
        }
        let done = copy.records.values().filter(|record| !live.contains_key(&record.key));
        let records: Vec<_> = done.cloned().collect();
        if records.iter().map(Record::bytes).sum::<usize>() < options.seal_threshold_bytes {
            return false;
        }
        copy.writes += 1;
        copy.not_before = Some(at.now + options.write_interval);
        let expires_ms = records.iter().map(|record| record.expires_ms).max().unwrap_or(at.wall_ms);
        let page = PageRef { epoch: copy.epoch, number: copy.writes, expires_ms };
        let keys = records.iter().map(|record| record.key).collect();
        copy.op = Some(InFlight { op, kind: Kind::Page { page, keys } });
        out.push(Action::WritePage { op, page, records });
        true
    }

    /// Takes note of a page. It counts once a head that refers to it stands.
    pub(super) fn on_page_written(
        &mut self,
        op: OpId,
        result: Result<Swap>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let Some(kind) = self.take_op(op) else { return };
        let (Kind::Page { page, keys }, State::Owner(copy)) = (kind, &mut self.state) else {
            return;
        };
        // After a failure the page may be there: it is left, and the next try
        // takes another name.
        if !matches!(result, Ok(Swap::Done(_))) {
            return self.fail(at, out);
        }
        copy.pages.push(page);
        for key in keys {
            copy.settle(key, None);
            copy.sealed.insert(key, page);
        }
        self.swap(at, out);
    }

    /// Swaps the head for the records as they are now.
    fn swap(&mut self, at: Moment, out: &mut Vec<Action>) {
        let pending = self.live.iter().filter(|(_, live)| live.stage != Stage::Sent);
        let covers = pending.map(|(key, live)| (*key, live.attempt)).collect();
        let write = Write { number: 0, tries: 1, covers };
        self.start(write, at, out);
    }

    /// Starts a try of a write. Each try has a number of its own, since an earlier
    /// one may still take effect.
    fn start(&mut self, mut write: Write, at: Moment, out: &mut Vec<Action>) {
        let op = self.next_op();
        let State::Owner(copy) = &mut self.state else { return };
        copy.writes += 1;
        write.number = copy.writes;
        copy.dirty = false;
        copy.not_before = Some(at.now + self.options.write_interval);
        copy.expire(at);
        out.push(Action::Swap { op, expect: copy.version, head: copy.head() });
        copy.op = Some(InFlight { op, kind: Kind::Swap(write) });
    }

    pub(super) fn on_swapped(
        &mut self,
        op: OpId,
        result: Result<Swap>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let Some(Kind::Swap(write)) = self.take_op(op) else { return };
        match result {
            Ok(Swap::Done(version)) => self.stand(write, version, at, out),
            // A conflict may come from an earlier try of this very owner.
            Ok(Swap::Conflict(_)) => self.read_back(write, out),
            Err(e) if e.execution == Execution::NotRun => {
                self.fail(at, out);
            }
            Err(_) => self.read_back(write, out),
        }
    }

    /// Reads the head, to learn whether a write took effect.
    fn read_back(&mut self, write: Write, out: &mut Vec<Action>) {
        let op = self.next_op();
        let State::Owner(copy) = &mut self.state else { return };
        copy.op = Some(InFlight { op, kind: Kind::ReadBack(write) });
        out.push(Action::ReadBack(op));
    }

    pub(super) fn on_read_back(
        &mut self,
        op: OpId,
        result: Result<Option<HeadMark>>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let Some(Kind::ReadBack(mut write)) = self.take_op(op) else { return };
        let Ok(mark) = result else { return self.fail(at, out) };
        let State::Owner(copy) = &mut self.state else { return };
        let (epoch, claimed) = (copy.epoch, copy.claimed);
        let mine = mark.filter(|mark| mark.epoch == epoch);
        if let Some(mark) = mine.filter(|mark| mark.write == write.number) {
            return self.stand(write, mark.version, at, out);
        }
        let untouched = mark.map_or(0, |mark| mark.version) == copy.version;
        match mine {
            // An earlier write of this ownership stands; try again on top of it.
            Some(mark) => copy.version = mark.version,
            // Nothing has changed; the try may still take effect, or be lost.
            None if untouched => (),
            None => {
                if !claimed {
                    // A former owner still writes; leave it time to notice.
                    self.backoff.record_failure(at.now);
                }
                return self.lose(at, out);
            }
        }
        if write.tries >= self.options.max_write_attempts {
            return self.fail(at, out);
        }
        write.tries += 1;
        self.start(write, at, out);
    }

    /// Takes note that a write stands: the calls whose intents it holds are sent.
    fn stand(&mut self, write: Write, version: Version, at: Moment, out: &mut Vec<Action>) {
        self.backoff.record_success();
        let State::Owner(copy) = &mut self.state else { return };
        copy.version = version;
        let claims = !copy.claimed;
        copy.claimed = true;
        out.extend(copy.lapsed.drain(..).map(Action::DeletePage));
        for (key, attempt) in write.covers {
            self.release(key, attempt, at, out);
        }
        if claims {
            self.serve_queue(at, out);
        }
    }

    /// Sends a call whose intent stands.
    fn release(&mut self, key: KeyDigest, attempt: AttemptId, at: Moment, out: &mut Vec<Action>) {
        let Some(live) = self.live.get_mut(&key) else { return };
        let Stage::Pending { deadline } = live.stage else { return };
        // A paused host may have woken long after the intent was written.
        if live.attempt != attempt || deadline <= at.now {
            return;
        }
        live.stage = Stage::Sent;
        let not_after = at.now + self.options.send_timeout;
        let Some(call) = live.waiters.first().copied() else { return };
        out.push(Action::Send { key, attempt, call, not_after });
    }

    /// Takes the operation in flight if it is `op`.
    fn take_op(&mut self, op: OpId) -> Option<Kind> {
        let State::Owner(copy) = &mut self.state else { return None };
        let current = copy.op.as_ref().is_some_and(|in_flight| in_flight.op == op);
        if !current {
            return None;
        }
        copy.op.take().map(|in_flight| in_flight.kind)
    }
}
