//! The `faults` module breaks engines, links and data centres.

use super::*;

impl World<'_> {
    pub(super) fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Crash(engine, down) => {
                self.crash(engine);
                self.events.push(self.now + down, Event::Back(engine));
            }
            Fault::LoseCentre(centre) => self.lose_centre(centre),
            Fault::StallLink(from, to, length) => {
                self.stalled.insert((from, to), self.now + length);
                self.stall_transfers(from, to, length);
            }
        }
    }

    /// Delays the transfers that are on a link.
    pub(super) fn stall_transfers(&mut self, from: usize, to: usize, length: Duration) {
        let engines = &self.setting.fleet.engines;
        let on_link: Vec<RequestNo> = (0..self.live.len())
            .filter(|no| match self.live[*no].phase {
                Phase::Importing(a, b) => (engines[a].centre, engines[b].centre) == (from, to),
                _ => false,
            })
            .collect();
        for no in on_link {
            let phase = self.live[no].phase;
            let turn = self.enter(no, phase);
            self.events.push(self.now + length, Event::Imported(no, turn));
        }
    }

    pub(super) fn crash(&mut self, engine: EngineId) {
        let node = &mut self.nodes[engine];
        if !node.alive {
            return;
        }
        node.alive = false;
        node.life += 1;
        node.seen_events = 0;
        let mut running = Vec::new();
        match &mut node.work {
            Work::Prefill(prefill) => {
                if let Some(run) = &prefill.running {
                    let share = (self.now - run.began).as_secs_f64()
                        / (run.ends - run.began).as_secs_f64().max(1e-9);
                    self.ledger.prefill_tokens += (run.worked as f64 * share) as u64;
                    running.push(run.job.request);
                }
                **prefill = PrefillEngine::default();
            }
            Work::Decode(decode) => {
                running.extend(decode.streams.keys().copied());
                *decode = DecodeEngine::default();
            }
        }
        let actions = self.policy.engine_lost(engine, &running, self.now);
        self.perform(actions);
        for no in 0..self.live.len() {
            match self.live[no].phase {
                Phase::Prefill(on) | Phase::Ready(on) | Phase::Decoding(on) if on == engine => {
                    self.break_off(no);
                }
                Phase::Importing(from, to) if from == engine => {
                    self.drop_stream(no, to);
                    self.break_off(no);
                }
                Phase::Importing(from, to) if to == engine => {
                    self.enter(no, Phase::Ready(from));
                    self.refuse_import(no, engine);
                }
                _ => (),
            }
        }
    }

    pub(super) fn lose_centre(&mut self, centre: usize) {
        let fleet = &self.setting.fleet;
        if fleet.hosts.len() > 1 {
            for (host, at) in fleet.hosts.iter().enumerate() {
                self.hosts_alive[host] &= *at != centre;
            }
        }
        for no in 0..self.live.len() {
            let here = !self.hosts_alive[self.live[no].host];
            if here && self.requests[no].comes + CALLER_DELAY <= self.now {
                self.end(no, Outcome::Failed);
            }
        }
        let engines = 0..self.setting.fleet.engines.len();
        for engine in engines.filter(|engine| fleet.engines[*engine].centre == centre) {
            self.crash(engine);
        }
    }
}
