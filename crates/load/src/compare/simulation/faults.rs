//! The `faults` module injects the faults of a scenario: engine crashes, stalled
//! links and lost data centres.

use super::*;

impl Simulation<'_> {
    pub(super) fn inject_fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(engine, down) => {
                self.crash(engine);
                self.events.push(self.now + down, Event::EngineRecovered(engine));
            }
            Fault::LoseCentre(centre) => self.lose_centre(centre),
            Fault::StallLink(from, to, duration) => {
                self.stalled.insert((from, to), self.now + duration);
                self.stall_transfers(from, to, duration);
            }
        }
    }

    /// Delays the transfers in progress on a link by `duration`.
    pub(super) fn stall_transfers(&mut self, from: usize, to: usize, duration: Duration) {
        let engines = &self.config.fleet.engines;
        let on_link: Vec<RequestNo> = (0..self.states.len())
            .filter(|no| match self.states[*no].phase {
                Phase::Importing(a, b) => (engines[a].centre, engines[b].centre) == (from, to),
                _ => false,
            })
            .collect();
        for no in on_link {
            let phase = self.states[no].phase;
            let seq = self.enter_phase(no, phase);
            self.events.push(self.now + duration, Event::Imported(no, seq));
        }
    }

    pub(super) fn crash(&mut self, engine: EngineId) {
        let node = &mut self.nodes[engine];
        if !node.alive {
            return;
        }
        node.alive = false;
        node.incarnation += 1;
        node.last_event_seq = 0;
        let mut running = Vec::new();
        match &mut node.engine {
            FakeEngine::Prefill(prefill) => {
                if let Some(run) = &prefill.running {
                    let share = (self.now - run.started_at).as_secs_f64()
                        / (run.ends_at - run.started_at).as_secs_f64().max(1e-9);
                    self.record.prefill_tokens += (run.computed_tokens as f64 * share) as u64;
                    running.push(run.job.request);
                }
                **prefill = PrefillEngine::default();
            }
            FakeEngine::Decode(decode) => {
                running.extend(decode.streams.keys().copied());
                *decode = DecodeEngine::default();
            }
        }
        let actions = self.policy.on_engine_lost(engine, &running, self.now);
        self.apply_actions(actions);
        for no in 0..self.states.len() {
            match self.states[no].phase {
                Phase::Prefill(on) | Phase::Ready(on) | Phase::Decoding(on) if on == engine => {
                    self.abort_attempt(no);
                }
                Phase::Importing(from, to) if from == engine => {
                    self.remove_stream(no, to);
                    self.abort_attempt(no);
                }
                Phase::Importing(from, to) if to == engine => {
                    self.enter_phase(no, Phase::Ready(from));
                    self.refuse_import(no, engine);
                }
                _ => (),
            }
        }
    }

    pub(super) fn lose_centre(&mut self, centre: usize) {
        let fleet = &self.config.fleet;
        if fleet.hosts.len() > 1 {
            for (host, at) in fleet.hosts.iter().enumerate() {
                self.hosts_alive[host] &= *at != centre;
            }
        }
        for no in 0..self.states.len() {
            let host_lost = !self.hosts_alive[self.states[no].host];
            if host_lost && self.requests[no].arrives_at + CALLER_DELAY <= self.now {
                self.end_request(no, Outcome::Failed);
            }
        }
        let engines = 0..self.config.fleet.engines.len();
        for engine in engines.filter(|engine| fleet.engines[*engine].centre == centre) {
            self.crash(engine);
        }
    }
}
