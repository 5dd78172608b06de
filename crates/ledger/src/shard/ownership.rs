//! The `ownership` module acquires and releases a shard.

use aspenloft_core::prelude::Result;

use super::copy::ShardCopy;
use super::event::{Acquired, Action, Call, CallResult, OpId};
use super::{Moment, Shard, State};
use crate::head::StoredShard;
use crate::refusals;

impl Shard {
    /// Starts to acquire the shard and queues `call` meanwhile, unless the service
    /// failed recently.
    pub(super) fn start_acquiring(&mut self, call: Call, at: Moment, out: &mut Vec<Action>) {
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
                    let redirect = CallResult::Redirect(owner.clone());
                    out.push(Action::Answer(queued.call.id, redirect));
                }
            }
            Err(_) => self.on_service_failure(at, out),
        }
    }

    /// Starts to read the shard after acquiring it with `epoch`.
    pub(super) fn load(&mut self, epoch: u64, out: &mut Vec<Action>) {
        let op = self.next_op();
        self.state = State::Loading { op, epoch };
        out.push(Action::Load(op));
    }

    pub(super) fn on_loaded(
        &mut self,
        op: OpId,
        result: Result<StoredShard>,
        at: Moment,
        out: &mut Vec<Action>,
    ) {
        let State::Loading { op: current, epoch } = self.state else { return };
        if current != op {
            return;
        }
        let Ok(loaded) = result else { return self.on_service_failure(at, out) };
        let mut copy = ShardCopy::new(epoch, loaded);
        for (key, unrecorded) in self.unrecorded.drain() {
            // The key of an older fate may have expired and been used again, so that its
            // intent belongs to another call.
            if at.now.saturating_duration_since(unrecorded.since) < self.options.min_key_window {
                copy.resolve_intent(key, unrecorded.fate);
            }
        }
        // The claim changes the head's version, so that no earlier owner can write.
        copy.mark_dirty(at.now);
        self.state = State::Owner(Box::new(copy));
    }

    /// Handles the calls that waited for the claim.
    pub(super) fn serve_queue(&mut self, at: Moment, out: &mut Vec<Action>) {
        for queued in std::mem::take(&mut self.queue) {
            self.on_call(queued.call, at, out);
        }
    }

    /// Gives up the shard. Calls that were not sent are refused. Calls that were sent
    /// stay active, since their answers are valid whichever host owns the shard.
    pub(super) fn on_ownership_lost(&mut self, at: Moment, out: &mut Vec<Action>) {
        let e = refusals::ownership_lost(self.retry_delay(at));
        self.state = State::Idle;
        self.refuse_pending(&e, |_| true, out);
        self.refuse_queue(&e, out);
    }

    /// Releases the shard if the host is leaving and has nothing left to do for it.
    pub(super) fn release_if_idle(&mut self, out: &mut Vec<Action>) {
        let State::Owner(copy) = &self.state else { return };
        if self.leaving && copy.is_persisted() && self.in_flight() == 0 {
            out.push(Action::Release(copy.epoch()));
            self.state = State::Idle;
        }
    }

    /// Handles a failure of the service: all calls that were not sent are refused at
    /// once, and neither a write nor an acquisition starts during the backoff.
    pub(super) fn on_service_failure(&mut self, at: Moment, out: &mut Vec<Action>) {
        let pause = self.backoff.record_failure(at.now);
        let e = refusals::service_down(pause);
        let mut keeps_copy = false;
        if let State::Owner(copy) = &mut self.state {
            copy.op = None;
            copy.dirty = true;
            keeps_copy = copy.claimed;
        }
        if !keeps_copy {
            self.state = State::Idle;
        }
        self.refuse_pending(&e, |_| true, out);
        self.refuse_queue(&e, out);
    }
}
