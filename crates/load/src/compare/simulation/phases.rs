//! The `phases` module moves requests through prefill, KV cache transfer and decode.

use super::*;

impl Simulation<'_> {
    pub(super) fn send_prefill(&mut self, no: RequestNo, engine: EngineId, priority: u8) {
        if self.has_ended(no) {
            return;
        }
        self.record.requests[no].started.get_or_insert(self.now);
        let seq = self.enter_phase(no, Phase::Prefill(engine));
        let delay = self.config.fleet.delay_to_engine(self.states[no].host, engine);
        self.events.push(self.now + delay, Event::Enqueue(no, engine, seq, priority));
    }

    pub(super) fn enqueue(&mut self, no: RequestNo, engine: EngineId, seq: u64, priority: u8) {
        if self.states[no].phase_seq != seq {
            return;
        }
        let request = &self.requests[no];
        let job = PrefillJob {
            request: no,
            // A resumed request also recomputes the tokens that were already sent.
            tokens: request.prompt_tokens + self.states[no].tokens,
            pieces: request.pieces.clone(),
            priority,
        };
        let node = &mut self.nodes[engine];
        match &mut node.engine {
            FakeEngine::Prefill(prefill) if node.alive => prefill.enqueue(job),
            _ => return self.abort_attempt(no),
        }
        self.start_prefill(engine);
    }

    pub(super) fn start_prefill(&mut self, engine: EngineId) {
        let node = &mut self.nodes[engine];
        let FakeEngine::Prefill(prefill) = &mut node.engine else { return };
        let Some(ends_at) = prefill.start_next(self.now) else { return };
        let running = prefill.running.as_ref().map(|running| running.job.request);
        let poisoned = running.is_some_and(|no| self.requests[no].poisoned);
        self.events.push(ends_at, Event::PrefillEnd(engine, node.incarnation));
        if poisoned {
            let half = self.now + (ends_at - self.now) / 2;
            self.record.poisoned_deaths += 1;
            self.events.push(half, Event::Fault(Fault::Crash(engine, POISON_DOWNTIME)));
        }
    }

    pub(super) fn prefill_ended(&mut self, engine: EngineId, incarnation: u64) {
        let at = self.epoch + self.now;
        let node = &mut self.nodes[engine];
        if node.incarnation != incarnation {
            return;
        }
        let FakeEngine::Prefill(prefill) = &mut node.engine else { return };
        let Some(done) = prefill.finish(at) else { return };
        self.record.prefill_tokens += done.computed_tokens;
        self.start_prefill(engine);
        let no = done.job.request;
        if self.states[no].phase != Phase::Prefill(engine) {
            return;
        }
        let seq = self.enter_phase(no, Phase::Ready(engine));
        self.states[no].unused_tokens = done.computed_tokens;
        self.states[no].evict_at = self.now + RESULT_TTL;
        self.events.push(self.now + RESULT_TTL, Event::Evict(no, seq));
        let actions = self.policy.on_prefilled(no, done.computed_tokens, self.now);
        self.apply_actions(actions);
    }

    pub(super) fn evict(&mut self, no: RequestNo, seq: u64) {
        // A refused decode changes `phase_seq` but not the result, which keeps its
        // eviction time. An event of an earlier phase therefore applies as well.
        let state = &self.states[no];
        let ready = matches!(state.phase, Phase::Ready(_));
        if !ready || state.phase_seq < seq || self.now < state.evict_at {
            return;
        }
        self.enter_phase(no, Phase::Idle);
        let actions = self.policy.on_evicted(no, self.now);
        self.apply_actions(actions);
    }

    pub(super) fn send_decode(&mut self, no: RequestNo, engine: EngineId) {
        let from = match self.states[no].phase {
            Phase::Ready(from) => from,
            Phase::Importing(from, to) => {
                self.remove_stream(no, to);
                from
            }
            _ => return,
        };
        let seq = self.enter_phase(no, Phase::Ready(from));
        let delay = self.config.fleet.delay_to_engine(self.states[no].host, engine);
        self.events.push(self.now + delay, Event::ImportArrived(no, engine, seq));
    }

    pub(super) fn import_arrived(&mut self, no: RequestNo, engine: EngineId, seq: u64) {
        let Phase::Ready(from) = self.states[no].phase else { return };
        if self.states[no].phase_seq != seq {
            return;
        }
        let node = &mut self.nodes[engine];
        let accepted = match &mut node.engine {
            FakeEngine::Decode(decode) if node.alive => decode.take_slot(no),
            _ => false,
        };
        if !accepted {
            return self.refuse_import(no, engine);
        }
        let seq = self.enter_phase(no, Phase::Importing(from, engine));
        let ends_at = self.schedule_transfer(no, from, engine);
        self.events.push(ends_at, Event::Imported(no, seq));
    }

    /// Reports to the policy that a decode engine refused a result, and schedules the
    /// eviction of the result at its original time.
    pub(super) fn refuse_import(&mut self, no: RequestNo, engine: EngineId) {
        let evict_at = self.states[no].evict_at.max(self.now);
        let seq = self.states[no].phase_seq;
        self.events.push(evict_at, Event::Evict(no, seq));
        let actions = self.policy.on_decode_refused(no, engine, self.now);
        self.apply_actions(actions);
    }

    /// Schedules a transfer on the link between two data centres, after those that
    /// already wait there; returns when it ends.
    pub(super) fn schedule_transfer(
        &mut self,
        no: RequestNo,
        from: EngineId,
        to: EngineId,
    ) -> Duration {
        let fleet = &self.config.fleet;
        let (a, b) = (fleet.engines[from].centre, fleet.engines[to].centre);
        let tokens = self.requests[no].prompt_tokens + self.states[no].tokens;
        let duration = fleet.transfer_per_token(a, b) * tokens as u32;
        let stalled = self.stalled.get(&(a, b)).copied().unwrap_or_default();
        let starts_at = self.now.max(stalled);
        let ends_at =
            self.links.entry((a, b)).or_default().reserve(duration, self.epoch + starts_at);
        ends_at - self.epoch + fleet.delay(a, b)
    }

    pub(super) fn imported(&mut self, no: RequestNo, seq: u64) {
        let Phase::Importing(_, engine) = self.states[no].phase else { return };
        if self.states[no].phase_seq != seq {
            return;
        }
        self.enter_phase(no, Phase::Decoding(engine));
        self.record.used_tokens += std::mem::take(&mut self.states[no].unused_tokens);
        if let FakeEngine::Decode(decode) = &mut self.nodes[engine].engine {
            decode.streams.insert(no, true);
        }
        self.start_step(engine);
    }
}
