//! The `carry` module carries requests from engine to engine.

use super::*;

impl World<'_> {
    pub(super) fn send_prefill(&mut self, no: RequestNo, engine: EngineId, priority: u8) {
        if self.is_over(no) {
            return;
        }
        self.ledger.accounts[no].started.get_or_insert(self.now);
        let turn = self.enter(no, Phase::Prefill(engine));
        let delay = self.setting.fleet.to_engine(self.live[no].host, engine);
        self.events.push(self.now + delay, Event::Join(no, engine, turn, priority));
    }

    pub(super) fn join(&mut self, no: RequestNo, engine: EngineId, turn: u64, priority: u8) {
        if self.live[no].turn != turn {
            return;
        }
        let request = &self.requests[no];
        let job = PrefillJob {
            request: no,
            // A resume works on the tokens that were sent as well.
            tokens: request.prompt + self.live[no].tokens,
            pieces: request.pieces.clone(),
            priority,
        };
        let node = &mut self.nodes[engine];
        match &mut node.work {
            Work::Prefill(prefill) if node.alive => prefill.join(job),
            _ => return self.break_off(no),
        }
        self.start_prefill(engine);
    }

    pub(super) fn start_prefill(&mut self, engine: EngineId) {
        let node = &mut self.nodes[engine];
        let Work::Prefill(prefill) = &mut node.work else { return };
        let Some(ends) = prefill.start(self.now) else { return };
        let running = prefill.running.as_ref().map(|running| running.job.request);
        let poisoned = running.is_some_and(|no| self.requests[no].poisoned);
        self.events.push(ends, Event::PrefillEnd(engine, node.life));
        if poisoned {
            let half = self.now + (ends - self.now) / 2;
            self.ledger.poisoned_deaths += 1;
            self.events.push(half, Event::Fault(Fault::Crash(engine, POISON_DOWN)));
        }
    }

    pub(super) fn prefill_end(&mut self, engine: EngineId, life: u64) {
        let at = self.base + self.now;
        let node = &mut self.nodes[engine];
        if node.life != life {
            return;
        }
        let Work::Prefill(prefill) = &mut node.work else { return };
        let Some(done) = prefill.finish(at) else { return };
        self.ledger.prefill_tokens += done.worked;
        self.start_prefill(engine);
        let no = done.job.request;
        if self.live[no].phase != Phase::Prefill(engine) {
            return;
        }
        let turn = self.enter(no, Phase::Ready(engine));
        self.live[no].unused = done.worked;
        self.live[no].evicted_at = self.now + RESULT_LIFE;
        self.events.push(self.now + RESULT_LIFE, Event::Evict(no, turn));
        let actions = self.policy.prefilled(no, done.worked, self.now);
        self.perform(actions);
    }

    pub(super) fn evict(&mut self, no: RequestNo, turn: u64) {
        // A result that was offered and refused keeps its end; turns in between
        // belong to the same result.
        let live = &self.live[no];
        let ready = matches!(live.phase, Phase::Ready(_));
        if !ready || live.turn < turn || self.now < live.evicted_at {
            return;
        }
        self.enter(no, Phase::Idle);
        let actions = self.policy.evicted(no, self.now);
        self.perform(actions);
    }

    pub(super) fn send_decode(&mut self, no: RequestNo, engine: EngineId) {
        let from = match self.live[no].phase {
            Phase::Ready(from) => from,
            Phase::Importing(from, to) => {
                self.drop_stream(no, to);
                from
            }
            _ => return,
        };
        let turn = self.enter(no, Phase::Ready(from));
        let delay = self.setting.fleet.to_engine(self.live[no].host, engine);
        self.events.push(self.now + delay, Event::Import(no, engine, turn));
    }

    pub(super) fn import(&mut self, no: RequestNo, engine: EngineId, turn: u64) {
        let Phase::Ready(from) = self.live[no].phase else { return };
        if self.live[no].turn != turn {
            return;
        }
        let node = &mut self.nodes[engine];
        let taken = match &mut node.work {
            Work::Decode(decode) if node.alive => decode.import(no),
            _ => false,
        };
        if !taken {
            return self.refuse_import(no, engine);
        }
        let turn = self.enter(no, Phase::Importing(from, engine));
        let ends = self.transfer(no, from, engine);
        self.events.push(ends, Event::Imported(no, turn));
    }

    /// Tells the policy that an engine does not take a result, and evicts the
    /// result when its time is up.
    pub(super) fn refuse_import(&mut self, no: RequestNo, engine: EngineId) {
        let evicted_at = self.live[no].evicted_at.max(self.now);
        let turn = self.live[no].turn;
        self.events.push(evicted_at, Event::Evict(no, turn));
        let actions = self.policy.decode_refused(no, engine, self.now);
        self.perform(actions);
    }

    /// Puts a transfer on its link; returns when it ends.
    pub(super) fn transfer(&mut self, no: RequestNo, from: EngineId, to: EngineId) -> Duration {
        let fleet = &self.setting.fleet;
        let (a, b) = (fleet.engines[from].centre, fleet.engines[to].centre);
        let tokens = self.requests[no].prompt + self.live[no].tokens;
        let length = fleet.transfer_per_token(a, b) * tokens as u32;
        let stalled = self.stalled.get(&(a, b)).copied().unwrap_or_default();
        let starts = self.now.max(stalled);
        let ends = self.links.entry((a, b)).or_default().reserve(length, self.base + starts);
        ends - self.base + fleet.delay(a, b)
    }

    pub(super) fn imported(&mut self, no: RequestNo, turn: u64) {
        let Phase::Importing(_, engine) = self.live[no].phase else { return };
        if self.live[no].turn != turn {
            return;
        }
        self.enter(no, Phase::Decoding(engine));
        self.ledger.used_tokens += std::mem::take(&mut self.live[no].unused);
        if let Work::Decode(decode) = &mut self.nodes[engine].work {
            decode.streams.insert(no, true);
        }
        self.start_step(engine);
    }
}
