//! The `result` module takes the result of a prefill to a decode engine, and starts
//! again what was lost.

use super::*;

impl Product {
    /// Starts the decode of a result against its reservation.
    pub(super) fn begin(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        let Some(engine) = live.decode else { return self.move_result(no, now) };
        match self.homes.begin(no, engine, at) {
            Start::Started => {
                let (prefill, tokens) = (live.prefill, live.request.prompt);
                let expected = prefill.map_or(Duration::ZERO, |from| {
                    let centre = |engine: EngineId| self.setting.fleet.engines[engine].centre;
                    self.setting.fleet.transfer_per_token(centre(from), centre(engine))
                        * tokens as u32
                });
                let patience = expected * TRANSFER_FACTOR + TRANSFER_SLACK + FAR_DELAY;
                vec![
                    Action::Decode(no, engine),
                    Action::Later(patience, Note::Transfer(no, engine)),
                ]
            }
            Start::Wait(wait) => vec![Action::Later(wait.min(SLOT_WAIT), Note::Retry(no))],
            Start::Expired => {
                live.decode = None;
                self.move_result(no, now)
            }
        }
    }

    /// Offers a result to another decode engine within its life.
    pub(super) fn move_result(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        let candidates = self.candidates(no, &live, now);
        let left = self.left(&live, now);
        let req =
            route_request(&live.request, live.host, &self.setting, left, self.seed(no, &live));
        let ranked = route_decode(&req, &candidates, &self.options);
        let reachable = ranked.into_iter().find(|to| !self.is_stalled(&live, *to, now));
        let Some(engine) = reachable else {
            if let Some(live) = &mut self.live[no] {
                live.lost.clear();
            }
            return vec![Action::Later(TRY_AGAIN, Note::Retry(no))];
        };
        let delay = self.fleet().to_engine(live.host, engine);
        vec![Action::Later(delay, Note::ReserveDecode(no, engine))]
    }

    pub(super) fn is_stalled(&self, live: &Live, to: EngineId, now: Duration) -> bool {
        let centre = |engine: EngineId| self.setting.fleet.engines[engine].centre;
        let Some(from) = live.prefill else { return false };
        let link = (centre(from), centre(to));
        self.stalled.iter().any(|(a, b, until)| (*a, *b) == link && *until > now)
    }

    /// Chooses another target when a transfer should have ended by now.
    pub(super) fn check_transfer(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        if live.streaming || !live.ready || live.decode != Some(engine) {
            return Vec::new();
        }
        let Some(from) = live.prefill else { return Vec::new() };
        let engines = &self.setting.fleet.engines;
        let link = (engines[from].centre, engines[engine].centre);
        self.stalled.retain(|(_, _, until)| *until > now);
        self.stalled.push((link.0, link.1, now + LINK_REST));
        live.decode = None;
        live.lost.push(engine);
        self.homes.release(no, engine, at);
        self.move_result(no, now)
    }

    /// Runs a new prefill if the budget and the time allow it.
    pub(super) fn restart(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        self.release_all(no, now);
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        if self.standing(&live, now) == SuspectStatus::Convicted {
            return vec![Action::Fail(no)];
        }
        let (left, needed) = (self.left(&live, now), self.least_time(&live));
        let budget = self.hosts[live.host].retries.withdraw(at, left, needed);
        if live.restarts >= MAX_RESTARTS || budget.is_err() {
            return vec![Action::Fail(no)];
        }
        if let Some(live) = &mut self.live[no] {
            live.restarts += 1;
        }
        self.go_or_wait(no, now)
    }

    /// Tries a request that has run before, or waits a little for room.
    pub(super) fn go_or_wait(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let pairs = self.plan(no, now);
        if !pairs.is_empty() {
            return self.go(no, pairs);
        }
        let Some(live) = &self.live[no] else { return Vec::new() };
        let waited = now.saturating_sub(live.request.comes);
        let patience = self.setting.ttft * (2 + live.restarts);
        if !live.streaming && waited > patience {
            return vec![Action::Fail(no)];
        }
        vec![Action::Later(TRY_AGAIN, Note::Retry(no))]
    }

    pub(super) fn retry(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let Some(live) = &self.live[no] else { return Vec::new() };
        match (live.ready, live.decode) {
            (true, Some(_)) => self.begin(no, now),
            (true, None) => self.move_result(no, now),
            (false, _) if live.prefill.is_none() => self.go_or_wait(no, now),
            (false, _) => Vec::new(),
        }
    }
}
