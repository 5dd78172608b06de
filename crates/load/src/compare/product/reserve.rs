//! The `reserve` module asks homes for room, pair by pair.

use aspenloft_policy::estimate::Weights;

use super::*;

impl Product {
    /// Tries the pairs of a plan, best first.
    pub(super) fn go(&mut self, no: RequestNo, mut pairs: Vec<Pair>) -> Vec<Action> {
        pairs.reverse();
        if let Some(live) = &mut self.live[no] {
            live.pairs = pairs;
        }
        self.try_next(no)
    }

    /// Asks the home of the next pair's decode engine for a slot.
    pub(super) fn try_next(&mut self, no: RequestNo) -> Vec<Action> {
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        let Some(pair) = live.pairs.last() else { return Vec::new() };
        live.tries += 1;
        let (host, decode) = (live.host, pair.decode);
        let delay = self.fleet().to_engine(host, decode);
        vec![Action::Later(delay, Note::ReserveDecode(no, decode))]
    }

    /// Goes on after a home has refused: with the next pair, with a new plan from
    /// the fresh states, or at the head of those who wait.
    pub(super) fn refused(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        now: Duration,
    ) -> Vec<Action> {
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        live.pairs.retain(|pair| pair.decode != engine && pair.prefill != engine);
        if live.tries < MAX_TRIES && !live.pairs.is_empty() {
            return self.try_next(no);
        }
        live.tries = 0;
        if live.ran {
            return vec![Action::Later(TRY_AGAIN, Note::Retry(no))];
        }
        let host = live.host;
        if self.heads[host].is_none() {
            self.heads[host] = Some(no);
            return Vec::new();
        }
        self.admit(no, now)
    }

    pub(super) fn reserve_decode(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &self.live[no] else { return Vec::new() };
        let starts_in = live.pairs.last().map_or(Duration::ZERO, Pair::decode_starts_in);
        let row = format!("priority-{}", live.request.priority);
        let answer = match self.setting.forecast {
            Forecast::Weighted => {
                let weights = Weights {
                    goodput: self.setting.goodput_weight,
                    waste: self.setting.waste_weight,
                };
                let estimates = &self.hosts[live.host].estimates;
                estimates.reserved_tokens(&row, Tokens(MAX_ANSWER), weights)
            }
            Forecast::Longest => Tokens(MAX_ANSWER),
        };
        let ask = DecodeAsk {
            starts: at + if live.ready { Duration::ZERO } else { starts_in },
            answer,
            priority: live.request.priority,
        };
        let host = live.host;
        let refusal = self.homes.reserve_decode(no, engine, &ask, at);
        if refusal.is_none()
            && let Some(live) = &mut self.live[no]
        {
            live.decode = Some(engine);
        }
        let delay = self.fleet().to_engine(host, engine);
        vec![Action::Later(delay, Note::DecodeReserved(no, engine, refusal.map(Box::new)))]
    }

    pub(super) fn decode_reserved(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        refusal: Option<Box<BackendState>>,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else {
            self.homes.release(no, engine, at);
            return Vec::new();
        };
        let host = live.host;
        match refusal {
            Some(state) if live.ready => {
                self.hosts[host].hear(engine, *state, at);
                live.lost.push(engine);
                self.move_result(no, now)
            }
            Some(state) => {
                self.hosts[host].hear(engine, *state, at);
                self.refused(no, engine, now)
            }
            None if live.ready => self.begin(no, now),
            None => {
                let Some(pair) = live.pairs.last() else { return Vec::new() };
                let prefill = pair.prefill;
                let delay = self.fleet().to_engine(host, prefill);
                vec![Action::Later(delay, Note::ReservePrefill(no, prefill))]
            }
        }
    }

    pub(super) fn reserve_prefill(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        let Some(pair) = live.pairs.last() else { return Vec::new() };
        let rest = pair.terms.ttft() - pair.terms.queue;
        let left = self.left(&live, now).as_secs_f64();
        let ask = PrefillAsk {
            tokens: self.hosts[live.host].uncached(engine, &live.request),
            patience: Duration::from_secs_f64((left - rest).max(0.0)),
        };
        let refusal = self.homes.reserve_prefill(no, engine, &ask, at);
        if refusal.is_none()
            && let Some(live) = &mut self.live[no]
        {
            live.prefill = Some(engine);
        }
        let delay = self.fleet().to_engine(live.host, engine);
        vec![Action::Later(delay, Note::PrefillReserved(no, engine, refusal.map(Box::new)))]
    }

    pub(super) fn prefill_reserved(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        refusal: Option<Box<BackendState>>,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else {
            self.homes.release(no, engine, at);
            return Vec::new();
        };
        let host = live.host;
        let Some(state) = refusal else {
            live.ran = true;
            self.hosts[host].retries.deposit(ROW_RETRY_PERCENT);
            return vec![Action::Prefill(no, engine, ENGINE_PRIORITY)];
        };
        let decode = live.decode.take();
        self.hosts[host].hear(engine, *state, at);
        if let Some(decode) = decode {
            self.homes.release(no, decode, at);
        }
        self.refused(no, engine, now)
    }
}
