//! The `calls` module handles calls: which may start, which wait for a call in flight
//! with the same key, which are refused, and with what error.

use aspenloft_core::prelude::{Error, Result};

use super::event::{Action, AttemptId, Call, CallResult, Outcome};
use super::{ActiveCall, Moment, Queued, Shard, Stage, State, UnrecordedFate};
use crate::digest::KeyDigest;
use crate::record::{Fate, Record};
use crate::refusals;

impl Shard {
    /// Handles a call that arrived.
    pub(super) fn on_call(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        if self.active.contains_key(&call.key) {
            return self.join(call, at, out);
        }
        match &self.state {
            State::Owner(copy) if copy.claimed => self.on_call_as_owner(call, at, out),
            State::Other { owner, until } if *until > at.now => {
                out.push(Action::Answer(call.id, CallResult::Redirect(owner.clone())));
            }
            State::Idle | State::Other { .. } if self.leaving => {
                refuse(call, refusals::leaving(), out);
            }
            State::Idle | State::Other { .. } => self.start_acquiring(call, at, out),
            State::Acquiring(_) | State::Loading { .. } | State::Owner(_) => {
                self.enqueue(call, at, out);
            }
        }
    }

    /// Makes a repeat wait for the call in flight, to get the same answer.
    fn join(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        let pause = self.retry_delay(at);
        let Some(active) = self.active.get_mut(&call.key) else { return };
        if active.request != call.request {
            return refuse(call, refusals::key_reused(), out);
        }
        let bytes = self.active_bytes + call.bytes;
        if active.waiters.len() >= self.options.max_waiters
            || bytes > self.options.max_in_flight_bytes
        {
            return refuse(call, refusals::still_in_flight(pause), out);
        }
        active.waiters.push(call.id);
        active.bytes += call.bytes;
        self.active_bytes = bytes;
    }

    /// Handles a call as the owner, from the copy of the shard.
    fn on_call_as_owner(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        let State::Owner(copy) = &self.state else { return };
        if let Some(record) = copy.records.get(&call.key) {
            return out.push(Action::Answer(call.id, recorded_result(&call, record)));
        }
        if let Some(page) = copy.sealed.get(&call.key) {
            return out.push(Action::ReadPage(*page, call));
        }
        self.free_space(at);
        if let Some(e) = self.refusal(&call, at) {
            return refuse(call, e, out);
        }
        self.accept(call, at);
    }

    /// If the head is full, drops expired records and requests a write, which may seal
    /// a page.
    fn free_space(&mut self, at: Moment) {
        let State::Owner(copy) = &mut self.state else { return };
        if copy.bytes() >= self.options.max_head_bytes {
            copy.expire(at);
            copy.mark_dirty(at.now);
        }
    }

    /// Returns the error with which a new key must be refused now, if any.
    fn refusal(&self, call: &Call, at: Moment) -> Option<Error> {
        if self.leaving {
            return Some(refusals::leaving());
        }
        let State::Owner(copy) = &self.state else { return None };
        if let Some(pause) = self.backoff.remaining_pause(at.now) {
            return Some(refusals::service_down(pause));
        }
        let bytes = self.active_bytes + call.bytes;
        if self.active.len() >= self.options.max_in_flight
            || bytes > self.options.max_in_flight_bytes
        {
            return Some(refusals::too_many_in_flight(self.retry_delay(at)));
        }
        if copy.bytes() >= self.options.max_head_bytes {
            return Some(refusals::shard_full(
                copy.time_until_space(at).unwrap_or(self.retry_delay(at)),
            ));
        }
        None
    }

    /// Accepts a new key; the next write will hold its intent.
    fn accept(&mut self, call: Call, at: Moment) {
        let window = call.window.max(self.options.min_key_window);
        let retention = window + self.options.max_clock_skew;
        let record = Record {
            key: call.key,
            request: call.request,
            expires_ms: at.wall_ms.saturating_add(retention.as_millis() as u64),
            fate: Fate::Intent,
        };
        self.attempts += 1;
        let stage = Stage::Pending { deadline: at.now + self.options.intent_timeout };
        let active = ActiveCall {
            attempt: self.attempts,
            request: call.request,
            stage,
            waiters: vec![call.id],
            bytes: call.bytes,
        };
        self.active_bytes += active.bytes;
        self.active.insert(call.key, active);
        let batch_delay = self.options.batch_delay;
        if let State::Owner(copy) = &mut self.state {
            copy.put(record);
            copy.mark_dirty(at.now + batch_delay);
        }
    }

    /// Makes a call wait until the owner is known.
    pub(super) fn enqueue(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        let bytes: usize = self.queue.iter().map(|queued| queued.call.bytes).sum();
        let full = bytes + call.bytes > self.options.max_in_flight_bytes;
        if full || self.queue.len() >= self.options.max_queued {
            let pause = self.retry_delay(at);
            return refuse(call, refusals::too_many_in_flight(pause), out);
        }
        let deadline = at.now + self.options.intent_timeout;
        self.queue.push_back(Queued { call, deadline });
    }

    /// Handles the outcome of sending a call.
    pub(super) fn on_sent(
        &mut self,
        key: KeyDigest,
        attempt: AttemptId,
        outcome: Outcome,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        if self.active.get(&key).is_none_or(|active| active.attempt != attempt) {
            return;
        }
        match outcome {
            Outcome::Answered(answer) => {
                let fate = Fate::of_answer(&answer, self.options.max_answer_bytes);
                self.record_fate(key, Some(fate), at);
                self.finish(key, CallResult::Answer(answer), out);
            }
            // The intent is withdrawn, so that a repeat may run.
            Outcome::NotSent(e) => {
                self.record_fate(key, None, at);
                self.finish(key, CallResult::Failed(e), out);
            }
            // The intent stays, so that no repeat can run.
            Outcome::Unknown(e) => self.finish(key, CallResult::Failed(e), out),
        }
    }

    /// Records the fate of a call that was sent; `None` withdraws its intent.
    fn record_fate(&mut self, key: KeyDigest, fate: Option<Fate>, at: Moment) {
        let batch_delay = self.options.batch_delay;
        match (&mut self.state, fate) {
            (State::Owner(copy), fate) if copy.records.contains_key(&key) => {
                copy.set_fate(key, fate);
                copy.mark_dirty(at.now + batch_delay);
            }
            // Without a copy, an answer is kept for the next acquisition. A withdrawal
            // is dropped; the intent then remains and repeats are refused.
            (_, Some(fate)) if self.unrecorded.len() < self.options.max_in_flight => {
                self.unrecorded.insert(key, UnrecordedFate { fate, since: at.now });
            }
            _ => (),
        }
    }

    /// Answers all callers that wait for a call and removes it.
    pub(super) fn finish(&mut self, key: KeyDigest, result: CallResult, out: &mut Vec<Action>) {
        let Some(active) = self.active.remove(&key) else { return };
        self.active_bytes -= active.bytes;
        let answers = active.waiters.into_iter().map(|id| Action::Answer(id, result.clone()));
        out.extend(answers);
    }

    /// Refuses the pending calls that `selects` accepts. Their intents are removed from
    /// the copy, and by the next write also from the head if they are committed.
    pub(super) fn refuse_pending(
        &mut self,
        e: &Error,
        selects: impl Fn(&Stage) -> bool,
        out: &mut Vec<Action>,
    ) {
        let pending = self.active.iter().filter(|(_, active)| active.stage != Stage::Sent);
        let keys: Vec<_> =
            pending.filter(|(_, active)| selects(&active.stage)).map(|(key, _)| *key).collect();
        for key in keys {
            if let State::Owner(copy) = &mut self.state {
                copy.set_fate(key, None);
                copy.dirty = true;
            }
            self.finish(key, CallResult::Failed(e.clone()), out);
        }
    }

    /// Refuses the calls whose deadline has passed.
    pub(super) fn refuse_expired(&mut self, at: Moment, out: &mut Vec<Action>) {
        let e = refusals::intent_timed_out(self.retry_delay(at));
        let expired =
            |stage: &Stage| matches!(stage, Stage::Pending { deadline } if *deadline <= at.now);
        self.refuse_pending(&e, expired, out);
        while self.queue.front().is_some_and(|queued| queued.deadline <= at.now) {
            if let Some(queued) = self.queue.pop_front() {
                refuse(queued.call, e.clone(), out);
            }
        }
    }

    /// Refuses the calls that wait until the owner is known.
    pub(super) fn refuse_queue(&mut self, e: &Error, out: &mut Vec<Action>) {
        for queued in std::mem::take(&mut self.queue) {
            refuse(queued.call, e.clone(), out);
        }
    }

    /// Answers a repeat whose record was read from its page.
    pub(super) fn on_page_read(
        &mut self,
        call: Call,
        result: Result<Option<Record>>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let result = match result {
            Ok(Some(record)) => recorded_result(&call, &record),
            Ok(None) | Err(_) => CallResult::Failed(refusals::unreadable(self.retry_delay(at))),
        };
        out.push(Action::Answer(call.id, result));
    }
}

/// Returns the result of a call whose key has a record.
fn recorded_result(call: &Call, record: &Record) -> CallResult {
    if record.request != call.request {
        return CallResult::Failed(refusals::key_reused());
    }
    match &record.fate {
        Fate::Intent => CallResult::Failed(refusals::may_have_run()),
        Fate::Answered(answer) => CallResult::Answer(answer.clone()),
        Fate::Oversized(answer) => CallResult::Failed(refusals::answer_not_kept(answer)),
    }
}

/// Answers one call with an error.
fn refuse(call: Call, e: Error, out: &mut Vec<Action>) {
    out.push(Action::Answer(call.id, CallResult::Failed(e)));
}
