//! The `plan` module chooses pairs of engines for a request and lets it through the
//! gate of its host.

use super::*;

impl Product {
    /// Returns the time that is left for the first token of a request. A broken
    /// stream has a target's time to go on.
    pub(super) fn left(&self, live: &Live, now: Duration) -> Duration {
        if live.streaming {
            return self.setting.ttft;
        }
        let used = now.saturating_sub(live.request.comes) + CALLER_DELAY;
        self.setting.ttft.saturating_sub(used)
    }

    pub(super) fn links(&self, now: Duration) -> Links {
        let mut links = links(self.fleet());
        for (from, to, until) in &self.stalled {
            if *until > now {
                let link = links.get(*from, *to);
                links.set(*from, *to, Link { queued: STALLED_TOKENS, ..link });
            }
        }
        links
    }

    /// Ranks the pairs that can meet the target of a request.
    pub(super) fn plan(&mut self, no: RequestNo, now: Duration) -> Vec<Pair> {
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        let left = self.left(&live, now);
        let candidates = self.candidates(no, &live, now);
        let req =
            route_request(&live.request, live.host, &self.setting, left, self.seed(no, &live));
        let decision = route(&req, &candidates, &self.links(now), &self.options);
        let limit = left.mul_f64(PLAN_SHARE);
        let fit = decision.pairs.into_iter().filter(|pair| pair.ttft() <= limit);
        fit.collect()
    }

    pub(super) fn seed(&self, no: RequestNo, live: &Live) -> u64 {
        self.setting.seed ^ (no as u64) << 8 ^ u64::from(live.tries)
    }

    pub(super) fn candidates(
        &mut self,
        no: RequestNo,
        live: &Live,
        now: Duration,
    ) -> Vec<aspenloft_policy::route::Candidate> {
        let at = self.at(now);
        let suspect = self.standing(live, now) == SuspectStatus::Suspect;
        let busy = if suspect { self.engines_with_suspects(no, now) } else { Vec::new() };
        let host = &mut self.hosts[live.host];
        host.candidates(
            &self.setting.fleet,
            &live.request,
            &live.lost,
            |engine| busy.contains(&engine),
            at,
        )
    }

    pub(super) fn standing(&self, live: &Live, now: Duration) -> SuspectStatus {
        self.suspects.standing(fingerprint(&live.request), self.at(now))
    }

    /// Lists the engines on which other suspects are at work.
    pub(super) fn engines_with_suspects(&self, no: RequestNo, now: Duration) -> Vec<EngineId> {
        let others = self.live.iter().enumerate().filter(|(other, _)| *other != no);
        let live = others.filter_map(|(_, live)| live.as_ref());
        let suspects = live.filter(|live| self.standing(live, now) == SuspectStatus::Suspect);
        suspects.flat_map(|live| live.prefill.into_iter().chain(live.decode)).collect()
    }

    pub(super) fn arrival(
        &self,
        no: RequestNo,
        live: &Live,
        pairs: &[Pair],
        now: Duration,
    ) -> Arrival {
        let row = format!("priority-{}", live.request.priority);
        let service = pairs
            .first()
            .map_or(0.0, |pair| pair.terms.ttft() - pair.terms.queue - pair.terms.slot);
        let answer = self.hosts[live.host].estimates.answer_tokens(&row, Tokens(MAX_ANSWER));
        Arrival {
            ticket: no as u64,
            flow: Flow {
                row: row.as_str().into(),
                caller: format!("caller-{}", live.request.caller).as_str().into(),
            },
            row_weight: WEIGHT,
            caller_weight: WEIGHT,
            priority: live.request.priority,
            cost: answer.0 as f64,
            deadline: self.left(live, now),
            service: Duration::from_secs_f64(service.max(0.0)),
            queue: ROW_QUEUE,
            queue_length: ROW_QUEUE_LENGTH,
        }
    }

    /// Lets a request through the gate of its host.
    pub(super) fn admit(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let pairs = self.plan(no, now);
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        let arrival = self.arrival(no, &live, &pairs, now);
        let room = !pairs.is_empty() && self.heads[live.host].is_none();
        let at = self.at(now);
        match self.hosts[live.host].admission.arrive(&arrival, room, at) {
            AdmissionDecision::Admit => self.go(no, pairs),
            AdmissionDecision::Wait { displaced } => displaced
                .map(|refusal| Action::Refuse(refusal.ticket as usize))
                .into_iter()
                .collect(),
            AdmissionDecision::Refuse(refusal) => vec![Action::Refuse(refusal.ticket as usize)],
        }
    }

    /// Looks after those who wait at a host.
    pub(super) fn tick(&mut self, host: HostId, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let late = self.hosts[host].admission.expire(at);
        let mut actions: Vec<Action> =
            late.iter().map(|refusal| Action::Refuse(refusal.ticket as usize)).collect();
        loop {
            let head = self.heads[host].take();
            let next = head.or_else(|| self.hosts[host].admission.next(at).map(|t| t as usize));
            let Some(no) = next else { break };
            let Some(live) = self.live[no].clone() else { continue };
            let pairs = self.plan(no, now);
            if !pairs.is_empty() {
                actions.extend(self.go(no, pairs));
                continue;
            }
            if self.left(&live, now) < self.least_time(&live) {
                actions.push(Action::Refuse(no));
                continue;
            }
            self.heads[host] = Some(no);
            break;
        }
        actions.push(Action::Later(TICK, Note::Tick(host)));
        actions
    }

    /// Returns the least time from a start to the first token.
    pub(super) fn least_time(&self, live: &Live) -> Duration {
        crate::compare::fleet::PREFILL_PER_TOKEN * live.request.prompt as u32 / 2
    }
}
