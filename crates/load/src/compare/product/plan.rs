//! The `plan` module ranks pairs of engines for a request and admits the request at
//! its entry host.

use super::*;

impl Product {
    /// Returns the time that remains until the deadline of the first token. A stream
    /// that was interrupted gets the full target again to resume.
    pub(super) fn remaining_time(&self, active: &ActiveRequest, now: Duration) -> Duration {
        if active.streaming {
            return self.config.ttft;
        }
        let used = now.saturating_sub(active.request.arrives_at) + CALLER_DELAY;
        self.config.ttft.saturating_sub(used)
    }

    pub(super) fn current_links(&self, now: Duration) -> Links {
        let mut links = links(self.fleet());
        for (from, to, until) in &self.stalled {
            if *until > now {
                let link = links.get(*from, *to);
                links.set(*from, *to, Link { queued: STALLED_LINK_QUEUE, ..link });
            }
        }
        links
    }

    /// Ranks the pairs of engines that can meet the deadline of a request.
    pub(super) fn plan(&mut self, no: RequestNo, now: Duration) -> Vec<Pair> {
        let Some(active) = self.requests[no].clone() else { return Vec::new() };
        let remaining = self.remaining_time(&active, now);
        let candidates = self.candidates(no, &active, now);
        let req = route_request(
            &active.request,
            active.host,
            &self.config,
            remaining,
            self.route_seed(no, &active),
        );
        let decision = route(&req, &candidates, &self.current_links(now), &self.options);
        let limit = remaining.mul_f64(PLAN_TIME_SHARE);
        let feasible = decision.pairs.into_iter().filter(|pair| pair.ttft() <= limit);
        feasible.collect()
    }

    pub(super) fn route_seed(&self, no: RequestNo, active: &ActiveRequest) -> u64 {
        self.config.seed ^ (no as u64) << 8 ^ u64::from(active.attempts)
    }

    pub(super) fn candidates(
        &mut self,
        no: RequestNo,
        active: &ActiveRequest,
        now: Duration,
    ) -> Vec<aspenloft_policy::route::Candidate> {
        let at = self.instant(now);
        let suspect = self.suspect_status(active, now) == SuspectStatus::Suspect;
        let with_suspects =
            if suspect { self.engines_with_other_suspects(no, now) } else { Vec::new() };
        let host = &mut self.hosts[active.host];
        host.candidates(
            &self.config.fleet,
            &active.request,
            &active.excluded,
            |engine| with_suspects.contains(&engine),
            at,
        )
    }

    pub(super) fn suspect_status(&self, active: &ActiveRequest, now: Duration) -> SuspectStatus {
        self.suspects.status(fingerprint(&active.request), self.instant(now))
    }

    /// Lists the engines that run other suspect requests, so that two suspects do not
    /// share an engine.
    pub(super) fn engines_with_other_suspects(
        &self,
        no: RequestNo,
        now: Duration,
    ) -> Vec<EngineId> {
        let others = self.requests.iter().enumerate().filter(|(other, _)| *other != no);
        let active = others.filter_map(|(_, active)| active.as_ref());
        let suspects =
            active.filter(|active| self.suspect_status(active, now) == SuspectStatus::Suspect);
        suspects.flat_map(|active| active.prefill.into_iter().chain(active.decode)).collect()
    }

    pub(super) fn arrival(
        &self,
        no: RequestNo,
        active: &ActiveRequest,
        pairs: &[Pair],
        now: Duration,
    ) -> Arrival {
        let row = format!("priority-{}", active.request.priority);
        let service = pairs
            .first()
            .map_or(0.0, |pair| pair.terms.ttft() - pair.terms.queue - pair.terms.slot);
        let output_tokens =
            self.hosts[active.host].estimates.answer_tokens(&row, Tokens(MAX_OUTPUT_TOKENS));
        Arrival {
            ticket: no as u64,
            flow: Flow {
                row: row.as_str().into(),
                caller: format!("caller-{}", active.request.caller).as_str().into(),
            },
            row_weight: DEFAULT_WEIGHT,
            caller_weight: DEFAULT_WEIGHT,
            priority: active.request.priority,
            cost: output_tokens.0 as f64,
            deadline: self.remaining_time(active, now),
            service: Duration::from_secs_f64(service.max(0.0)),
            queue: ROW_MAX_WAIT,
            queue_length: ROW_QUEUE_LENGTH,
        }
    }

    /// Passes a request to the admission of its entry host.
    pub(super) fn admit(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let pairs = self.plan(no, now);
        let Some(active) = self.requests[no].clone() else { return Vec::new() };
        let arrival = self.arrival(no, &active, &pairs, now);
        let has_capacity = !pairs.is_empty() && self.queue_heads[active.host].is_none();
        let at = self.instant(now);
        match self.hosts[active.host].admission.arrive(&arrival, has_capacity, at) {
            AdmissionDecision::Admit => self.try_pairs(no, pairs),
            AdmissionDecision::Wait { displaced } => displaced
                .map(|refusal| Action::Refuse(refusal.ticket as usize))
                .into_iter()
                .collect(),
            AdmissionDecision::Refuse(refusal) => vec![Action::Refuse(refusal.ticket as usize)],
        }
    }

    /// Refuses those waiting requests of a host that have expired, and dispatches the
    /// others in order while pairs are available.
    pub(super) fn tick(&mut self, host: HostId, now: Duration) -> Vec<Action> {
        let at = self.instant(now);
        let expired = self.hosts[host].admission.expire(at);
        let mut actions: Vec<Action> =
            expired.iter().map(|refusal| Action::Refuse(refusal.ticket as usize)).collect();
        loop {
            let head = self.queue_heads[host].take();
            let next = head.or_else(|| self.hosts[host].admission.next(at).map(|t| t as usize));
            let Some(no) = next else { break };
            let Some(active) = self.requests[no].clone() else { continue };
            let pairs = self.plan(no, now);
            if !pairs.is_empty() {
                actions.extend(self.try_pairs(no, pairs));
                continue;
            }
            if self.remaining_time(&active, now) < self.min_ttft(&active) {
                actions.push(Action::Refuse(no));
                continue;
            }
            self.queue_heads[host] = Some(no);
            break;
        }
        actions.push(Action::After(TICK_INTERVAL, Message::Tick(host)));
        actions
    }

    /// Returns a lower bound for the time from the start of the prefill to the first
    /// token: half the time of a prefill without cached tokens.
    pub(super) fn min_ttft(&self, active: &ActiveRequest) -> Duration {
        crate::compare::fleet::PREFILL_PER_TOKEN * active.request.prompt_tokens as u32 / 2
    }
}
