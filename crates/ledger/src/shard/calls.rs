//! The `calls` module decides about calls: which may start, which join another,
//! which are refused, and with what word.

use aspenloft_core::prelude::{Error, Result};

use super::event::{Action, AttemptId, Call, CallResult, Outcome};
use super::{Finished, Live, Moment, Queued, Shard, Stage, State};
use crate::digest::KeyDigest;
use crate::record::{Fate, Record};
use crate::refusals;

impl Shard {
    /// Decides about a call that came in.
    pub(super) fn on_call(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        if self.live.contains_key(&call.key) {
            return self.join(call, at, out);
        }
        match &self.state {
            State::Owner(copy) if copy.claimed => self.consult(call, at, out),
            State::Other { owner, until } if *until > at.now => {
                out.push(Action::Answer(call.id, CallResult::Redirect(owner.clone())));
            }
            State::Idle | State::Other { .. } if self.leaving => {
                refuse(call, refusals::leaving(), out);
            }
            State::Idle | State::Other { .. } => self.ask_for_ownership(call, at, out),
            State::Acquiring(_) | State::Loading { .. } | State::Owner(_) => {
                self.enqueue(call, at, out);
            }
        }
    }

    /// Makes a repeat wait for the call in flight, whose answer it gets too.
    fn join(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        let pause = self.pause(at);
        let Some(live) = self.live.get_mut(&call.key) else { return };
        if live.request != call.request {
            return refuse(call, refusals::key_reused(), out);
        }
        let bytes = self.live_bytes + call.bytes;
        if live.waiters.len() >= self.options.max_waiters
            || bytes > self.options.max_in_flight_bytes
        {
            return refuse(call, refusals::still_in_flight(pause), out);
        }
        live.waiters.push(call.id);
        live.bytes += call.bytes;
        self.live_bytes = bytes;
    }

    /// Decides about a call from the owner's copy.
    fn consult(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        let State::Owner(copy) = &self.state else { return };
        if let Some(record) = copy.records.get(&call.key) {
            return out.push(Action::Answer(call.id, verdict(&call, record)));
        }
        if let Some(page) = copy.sealed.get(&call.key) {
            return out.push(Action::ReadPage(*page, call));
        }
        self.make_room(at);
        if let Some(e) = self.obstacle(&call, at) {
            return refuse(call, e, out);
        }
        self.begin(call, at);
    }

    /// Drops expired records and asks for a write, which may seal a page, when the
    /// head is full.
    fn make_room(&mut self, at: Moment) {
        let State::Owner(copy) = &mut self.state else { return };
        if copy.bytes() >= self.options.max_head_bytes {
            copy.expire(at);
            copy.mark_dirty(at.now);
        }
    }

    /// Returns why a new key cannot be taken now, if so.
    fn obstacle(&self, call: &Call, at: Moment) -> Option<Error> {
        if self.leaving {
            return Some(refusals::leaving());
        }
        let State::Owner(copy) = &self.state else { return None };
        if let Some(pause) = self.backoff.remaining_pause(at.now) {
            return Some(refusals::service_down(pause));
        }
        let bytes = self.live_bytes + call.bytes;
        if self.live.len() >= self.options.max_in_flight || bytes > self.options.max_in_flight_bytes
        {
            return Some(refusals::too_many_in_flight(self.pause(at)));
        }
        if copy.bytes() >= self.options.max_head_bytes {
            return Some(refusals::shard_full(copy.room_in(at).unwrap_or(self.pause(at))));
        }
        None
    }

    /// Takes a new key: its intent goes into the next write.
    fn begin(&mut self, call: Call, at: Moment) {
        let window = call.window.max(self.options.min_key_window);
        let kept = window + self.options.max_clock_skew;
        let record = Record {
            key: call.key,
            request: call.request,
            expires_ms: at.wall_ms.saturating_add(kept.as_millis() as u64),
            fate: Fate::Intent,
        };
        self.attempts += 1;
        let stage = Stage::Pending { deadline: at.now + self.options.intent_timeout };
        let live = Live {
            attempt: self.attempts,
            request: call.request,
            stage,
            waiters: vec![call.id],
            bytes: call.bytes,
        };
        self.live_bytes += live.bytes;
        self.live.insert(call.key, live);
        let gather = self.options.batch_delay;
        if let State::Owner(copy) = &mut self.state {
            copy.put(record);
            copy.mark_dirty(at.now + gather);
        }
    }

    /// Makes a call wait until the ownership is settled.
    pub(super) fn enqueue(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        let bytes: usize = self.queue.iter().map(|queued| queued.call.bytes).sum();
        let full = bytes + call.bytes > self.options.max_in_flight_bytes;
        if full || self.queue.len() >= self.options.max_queued {
            let pause = self.pause(at);
            return refuse(call, refusals::too_many_in_flight(pause), out);
        }
        let deadline = at.now + self.options.intent_timeout;
        self.queue.push_back(Queued { call, deadline });
    }

    /// Takes note of what became of a call that was sent.
    pub(super) fn on_sent(
        &mut self,
        key: KeyDigest,
        attempt: AttemptId,
        outcome: Outcome,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        if self.live.get(&key).is_none_or(|live| live.attempt != attempt) {
            return;
        }
        match outcome {
            Outcome::Answered(answer) => {
                let fate = Fate::of_answer(&answer, self.options.max_answer_bytes);
                self.settle(key, Some(fate), at);
                self.finish(key, CallResult::Answer(answer), out);
            }
            // The intent is withdrawn, so that a repeat may run.
            Outcome::NotSent(e) => {
                self.settle(key, None, at);
                self.finish(key, CallResult::Failed(e), out);
            }
            // The intent stays, so that no repeat ever runs.
            Outcome::Unknown(e) => self.finish(key, CallResult::Failed(e), out),
        }
    }

    /// Records the fate of a sent call; `None` withdraws its intent.
    fn settle(&mut self, key: KeyDigest, fate: Option<Fate>, at: Moment) {
        let gather = self.options.batch_delay;
        match (&mut self.state, fate) {
            (State::Owner(copy), fate) if copy.records.contains_key(&key) => {
                copy.settle(key, fate);
                copy.mark_dirty(at.now + gather);
            }
            // Without a copy, an answer is kept for the next acquisition. A
            // withdrawal is forgotten: the intent then refuses repeats.
            (_, Some(fate)) if self.finished.len() < self.options.max_in_flight => {
                self.finished.insert(key, Finished { fate, since: at.now });
            }
            _ => (),
        }
    }

    /// Answers all that wait for a call and forgets it.
    pub(super) fn finish(&mut self, key: KeyDigest, verdict: CallResult, out: &mut Vec<Action>) {
        let Some(live) = self.live.remove(&key) else { return };
        self.live_bytes -= live.bytes;
        let answers = live.waiters.into_iter().map(|id| Action::Answer(id, verdict.clone()));
        out.extend(answers);
    }

    /// Refuses the pending calls that `chosen` picks. Their intents leave the copy
    /// and, should they stand already, the head with the next write.
    pub(super) fn refuse_pending(
        &mut self,
        e: &Error,
        chosen: impl Fn(&Stage) -> bool,
        out: &mut Vec<Action>,
    ) {
        let pending = self.live.iter().filter(|(_, live)| live.stage != Stage::Sent);
        let keys: Vec<_> =
            pending.filter(|(_, live)| chosen(&live.stage)).map(|(key, _)| *key).collect();
        for key in keys {
            if let State::Owner(copy) = &mut self.state {
                copy.settle(key, None);
                copy.dirty = true;
            }
            self.finish(key, CallResult::Failed(e.clone()), out);
        }
    }

    /// Refuses the calls that have waited too long.
    pub(super) fn refuse_late(&mut self, at: Moment, out: &mut Vec<Action>) {
        let e = refusals::intent_timed_out(self.pause(at));
        let late =
            |stage: &Stage| matches!(stage, Stage::Pending { deadline } if *deadline <= at.now);
        self.refuse_pending(&e, late, out);
        while self.queue.front().is_some_and(|queued| queued.deadline <= at.now) {
            if let Some(queued) = self.queue.pop_front() {
                refuse(queued.call, e.clone(), out);
            }
        }
    }

    /// Refuses the calls that wait for the ownership.
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
        let verdict = match result {
            Ok(Some(record)) => verdict(&call, &record),
            Ok(None) | Err(_) => CallResult::Failed(refusals::record_unreadable(self.pause(at))),
        };
        out.push(Action::Answer(call.id, verdict));
    }
}

/// Returns the word on a call whose key has a record.
fn verdict(call: &Call, record: &Record) -> CallResult {
    if record.request != call.request {
        return CallResult::Failed(refusals::key_reused());
    }
    match &record.fate {
        Fate::Intent => CallResult::Failed(refusals::may_have_run()),
        Fate::Answered(answer) => CallResult::Answer(answer.clone()),
        Fate::Oversized(answer) => CallResult::Failed(refusals::answer_not_kept(answer)),
    }
}

/// Refuses one call.
fn refuse(call: Call, e: Error, out: &mut Vec<Action>) {
    out.push(Action::Answer(call.id, CallResult::Failed(e)));
}
