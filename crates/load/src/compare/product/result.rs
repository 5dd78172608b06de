//! The `result` module moves the result of a prefill to a decode engine and repeats
//! the prefill when the result is lost.

use super::*;

impl Product {
    /// Starts the decode of a result in its reserved slot.
    pub(super) fn start_decode(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let at = self.instant(now);
        let Some(active) = &mut self.requests[no] else { return Vec::new() };
        let Some(engine) = active.decode else { return self.reassign_decode(no, now) };
        match self.homes.start_decode(no, engine, at) {
            StartOutcome::Started => {
                let (prefill, tokens) = (active.prefill, active.request.prompt_tokens);
                let expected = prefill.map_or(Duration::ZERO, |from| {
                    let centre = |engine: EngineId| self.config.fleet.engines[engine].centre;
                    self.config.fleet.transfer_per_token(centre(from), centre(engine))
                        * tokens as u32
                });
                let max_wait =
                    expected * TRANSFER_TIMEOUT_FACTOR + TRANSFER_TIMEOUT_SLACK + INTER_DC_DELAY;
                vec![
                    Action::Decode(no, engine),
                    Action::After(max_wait, Message::TransferTimeout(no, engine)),
                ]
            }
            StartOutcome::Wait(wait) => {
                vec![Action::After(wait.min(MAX_SLOT_WAIT), Message::Retry(no))]
            }
            StartOutcome::Expired => {
                active.decode = None;
                self.reassign_decode(no, now)
            }
        }
    }

    /// Requests a slot on another decode engine for a result.
    pub(super) fn reassign_decode(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let Some(active) = self.requests[no].clone() else { return Vec::new() };
        let candidates = self.candidates(no, &active, now);
        let remaining = self.remaining_time(&active, now);
        let req = route_request(
            &active.request,
            active.host,
            &self.config,
            remaining,
            self.route_seed(no, &active),
        );
        let ranked = route_decode(&req, &candidates, &self.options);
        let reachable = ranked.into_iter().find(|to| !self.is_stalled(&active, *to, now));
        let Some(engine) = reachable else {
            if let Some(active) = &mut self.requests[no] {
                active.excluded.clear();
            }
            return vec![Action::After(RETRY_DELAY, Message::Retry(no))];
        };
        let delay = self.fleet().delay_to_engine(active.host, engine);
        vec![Action::After(delay, Message::ReserveDecode(no, engine))]
    }

    pub(super) fn is_stalled(&self, active: &ActiveRequest, to: EngineId, now: Duration) -> bool {
        let centre = |engine: EngineId| self.config.fleet.engines[engine].centre;
        let Some(from) = active.prefill else { return false };
        let link = (centre(from), centre(to));
        self.stalled.iter().any(|(a, b, until)| (*a, *b) == link && *until > now)
    }

    /// Treats a transfer that has not ended by its timeout as stalled: avoids its link
    /// for a while and chooses another decode engine.
    pub(super) fn check_transfer(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.instant(now);
        let Some(active) = &mut self.requests[no] else { return Vec::new() };
        if active.streaming || !active.result_ready || active.decode != Some(engine) {
            return Vec::new();
        }
        let Some(from) = active.prefill else { return Vec::new() };
        let engines = &self.config.fleet.engines;
        let link = (engines[from].centre, engines[engine].centre);
        self.stalled.retain(|(_, _, until)| *until > now);
        self.stalled.push((link.0, link.1, now + STALLED_LINK_COOLDOWN));
        active.decode = None;
        active.excluded.push(engine);
        self.homes.release(no, engine, at);
        self.reassign_decode(no, now)
    }

    /// Repeats the prefill if the retry budget and the remaining time allow it.
    pub(super) fn restart(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let at = self.instant(now);
        self.release_all(no, now);
        let Some(active) = self.requests[no].clone() else { return Vec::new() };
        if self.suspect_status(&active, now) == SuspectStatus::Convicted {
            return vec![Action::Fail(no)];
        }
        let (remaining, needed) = (self.remaining_time(&active, now), self.min_ttft(&active));
        let budget = self.hosts[active.host].retries.withdraw(at, remaining, needed);
        if active.restarts >= MAX_RESTARTS || budget.is_err() {
            return vec![Action::Fail(no)];
        }
        if let Some(active) = &mut self.requests[no] {
            active.restarts += 1;
        }
        self.retry_pairs_or_wait(no, now)
    }

    /// Tries the pairs of a new plan for a request that was started before. Without a
    /// feasible pair it retries later, or fails once its wait is too long.
    pub(super) fn retry_pairs_or_wait(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let pairs = self.plan(no, now);
        if !pairs.is_empty() {
            return self.try_pairs(no, pairs);
        }
        let Some(active) = &self.requests[no] else { return Vec::new() };
        let elapsed = now.saturating_sub(active.request.arrives_at);
        let max_wait = self.config.ttft * (2 + active.restarts);
        if !active.streaming && elapsed > max_wait {
            return vec![Action::Fail(no)];
        }
        vec![Action::After(RETRY_DELAY, Message::Retry(no))]
    }

    pub(super) fn retry(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let Some(active) = &self.requests[no] else { return Vec::new() };
        match (active.result_ready, active.decode) {
            (true, Some(_)) => self.start_decode(no, now),
            (true, None) => self.reassign_decode(no, now),
            (false, _) if active.prefill.is_none() => self.retry_pairs_or_wait(no, now),
            (false, _) => Vec::new(),
        }
    }
}
