//! The `ownership` module gains and loses a shard.

use aspenloft_core::prelude::Result;

use super::copy::Copy;
use super::event::{Acquired, Action, Call, CallResult, OpId};
use super::{Moment, Shard, State};
use crate::head::Loaded;
use crate::refusals;

impl Shard {
    /// Makes `call` wait while this host tries to become the owner, unless the
    /// service failed just now.
    pub(super) fn ask_for_ownership(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
        if let Some(pause) = self.backoff.remaining_pause(at.now) {
            let e = refusals::service_down(pause);
            return out.push(Action::Answer(call.id, CallResult::Failed(e)));
        }
        let op = self.next_op();
        self.state = State::Acquiring(op);
        out.push(Action::Acquire(op));
        self.enqueue(call, at, out);
    }

    pub(super) fn on_acquired(
        &mut self,
        op: OpId,
        result: Result<Acquired>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        if !matches!(self.state, State::Acquiring(current) if current == op) {
            return;
        }
        match result {
            Ok(Acquired::Mine(epoch)) => self.load(epoch, out),
            Ok(Acquired::Other(owner)) => {
                self.backoff.record_success();
                let until = at.now + self.options.owner_cache_ttl;
                self.state = State::Other { owner: owner.clone(), until };
                for queued in std::mem::take(&mut self.queue) {
                    let verdict = CallResult::Redirect(owner.clone());
                    out.push(Action::Answer(queued.call.id, verdict));
                }
            }
            Err(_) => self.fail(at, out),
        }
    }

    /// Starts to read the shard under `epoch`.
    pub(super) fn load(&mut self, epoch: u64, out: &mut Vec<Action>) {
        let op = self.next_op();
        self.state = State::Loading { op, epoch };
        out.push(Action::Load(op));
    }

    pub(super) fn on_loaded(
        &mut self,
        op: OpId,
        result: Result<Loaded>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let State::Loading { op: current, epoch } = self.state else { return };
        if current != op {
            return;
        }
        let Ok(loaded) = result else { return self.fail(at, out) };
        let mut copy = Copy::new(epoch, loaded);
        for (key, finished) in self.finished.drain() {
            // An older fate might meet the intent of a later use of the key.
            if at.now.saturating_duration_since(finished.since) < self.options.min_key_window {
                copy.settle_intent(key, finished.fate);
            }
        }
        // The claim moves the version, so that no earlier owner can write again.
        copy.mark_dirty(at.now);
        self.state = State::Owner(Box::new(copy));
    }

    /// Decides about the calls that waited for the claim.
    pub(super) fn serve_queue(&mut self, at: Moment, out: &mut Vec<Action>) {
        for queued in std::mem::take(&mut self.queue) {
            self.on_call(queued.call, at, out);
        }
    }

    /// Gives the shard up. Calls that were not sent are refused; those that were
    /// sent are waited for, since their answers are true whoever owns the shard.
    pub(super) fn lose(&mut self, at: Moment, out: &mut Vec<Action>) {
        let e = refusals::ownership_lost(self.pause(at));
        self.state = State::Idle;
        self.refuse_pending(&e, |_| true, out);
        self.refuse_queue(&e, out);
    }

    /// Gives the shard up once a leaving host has nothing left to do for it.
    pub(super) fn hand_over(&mut self, out: &mut Vec<Action>) {
        let State::Owner(copy) = &self.state else { return };
        if self.leaving && copy.is_settled() && self.in_flight() == 0 {
            out.push(Action::Release(copy.epoch()));
            self.state = State::Idle;
        }
    }

    /// Takes note that the service failed: all that is not sent is refused at
    /// once, and the service is left alone for a while.
    pub(super) fn fail(&mut self, at: Moment, out: &mut Vec<Action>) {
        let pause = self.backoff.record_failure(at.now);
        let e = refusals::service_down(pause);
        let mut keeps = false;
        if let State::Owner(copy) = &mut self.state {
            copy.op = None;
            copy.dirty = true;
            keeps = copy.claimed;
        }
        if !keeps {
            self.state = State::Idle;
        }
        self.refuse_pending(&e, |_| true, out);
        self.refuse_queue(&e, out);
    }
}
