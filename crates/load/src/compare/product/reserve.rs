//! The `reserve` module requests reservations from home hosts, one pair of engines
//! after the other.

use aspenloft_policy::estimate::RowWeights;

use super::*;

impl Product {
    /// Tries to reserve the pairs of a plan, best first.
    pub(super) fn try_pairs(&mut self, no: RequestNo, mut pairs: Vec<Pair>) -> Vec<Action> {
        pairs.reverse();
        if let Some(active) = &mut self.requests[no] {
            active.pairs = pairs;
        }
        self.try_next_pair(no)
    }

    /// Requests a slot from the home host of the next pair's decode engine.
    pub(super) fn try_next_pair(&mut self, no: RequestNo) -> Vec<Action> {
        let Some(active) = &mut self.requests[no] else { return Vec::new() };
        let Some(pair) = active.pairs.last() else { return Vec::new() };
        active.attempts += 1;
        let (host, decode) = (active.host, pair.decode);
        let delay = self.fleet().delay_to_engine(host, decode);
        vec![Action::After(delay, Message::ReserveDecode(no, decode))]
    }

    /// Continues after a home host refused a reservation: tries the next pair, retries
    /// later if the prefill was already started, or else waits at the head of the
    /// queue or passes admission again.
    pub(super) fn on_reservation_refused(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        now: Duration,
    ) -> Vec<Action> {
        let Some(active) = &mut self.requests[no] else { return Vec::new() };
        active.pairs.retain(|pair| pair.decode != engine && pair.prefill != engine);
        if active.attempts < MAX_RESERVATION_ATTEMPTS && !active.pairs.is_empty() {
            return self.try_next_pair(no);
        }
        active.attempts = 0;
        if active.prefill_started {
            return vec![Action::After(RETRY_DELAY, Message::Retry(no))];
        }
        let host = active.host;
        if self.queue_heads[host].is_none() {
            self.queue_heads[host] = Some(no);
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
        let at = self.instant(now);
        let Some(active) = &self.requests[no] else { return Vec::new() };
        let starts_in = active.pairs.last().map_or(Duration::ZERO, Pair::decode_starts_in);
        let row = format!("priority-{}", active.request.priority);
        let output_tokens = match self.config.length_estimate {
            LengthEstimate::Weighted => {
                let weights = RowWeights {
                    goodput: self.config.goodput_weight,
                    waste: self.config.waste_weight,
                };
                let estimates = &self.hosts[active.host].estimates;
                estimates.reserved_tokens(&row, Tokens(MAX_OUTPUT_TOKENS), weights)
            }
            LengthEstimate::Longest => Tokens(MAX_OUTPUT_TOKENS),
        };
        let req = DecodeSlotRequest {
            starts: at + if active.result_ready { Duration::ZERO } else { starts_in },
            output_tokens,
            priority: active.request.priority,
        };
        let host = active.host;
        let refusal = self.homes.reserve_decode(no, engine, &req, at);
        if refusal.is_none()
            && let Some(active) = &mut self.requests[no]
        {
            active.decode = Some(engine);
        }
        let delay = self.fleet().delay_to_engine(host, engine);
        vec![Action::After(delay, Message::DecodeReserved(no, engine, refusal.map(Box::new)))]
    }

    pub(super) fn on_decode_reserved(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        refusal: Option<Box<BackendState>>,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.instant(now);
        let Some(active) = &mut self.requests[no] else {
            self.homes.release(no, engine, at);
            return Vec::new();
        };
        let host = active.host;
        match refusal {
            Some(state) if active.result_ready => {
                self.hosts[host].update_state(engine, *state, at);
                active.excluded.push(engine);
                self.reassign_decode(no, now)
            }
            Some(state) => {
                self.hosts[host].update_state(engine, *state, at);
                self.on_reservation_refused(no, engine, now)
            }
            None if active.result_ready => self.start_decode(no, now),
            None => {
                let Some(pair) = active.pairs.last() else { return Vec::new() };
                let prefill = pair.prefill;
                let delay = self.fleet().delay_to_engine(host, prefill);
                vec![Action::After(delay, Message::ReservePrefill(no, prefill))]
            }
        }
    }

    pub(super) fn reserve_prefill(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.instant(now);
        let Some(active) = self.requests[no].clone() else { return Vec::new() };
        let Some(pair) = active.pairs.last() else { return Vec::new() };
        let other_time = pair.terms.ttft() - pair.terms.queue;
        let remaining = self.remaining_time(&active, now).as_secs_f64();
        let req = PrefillTurnRequest {
            tokens: self.hosts[active.host].uncached(engine, &active.request),
            max_wait: Duration::from_secs_f64((remaining - other_time).max(0.0)),
        };
        let refusal = self.homes.reserve_prefill(no, engine, &req, at);
        if refusal.is_none()
            && let Some(active) = &mut self.requests[no]
        {
            active.prefill = Some(engine);
        }
        let delay = self.fleet().delay_to_engine(active.host, engine);
        vec![Action::After(delay, Message::PrefillReserved(no, engine, refusal.map(Box::new)))]
    }

    pub(super) fn on_prefill_reserved(
        &mut self,
        no: RequestNo,
        engine: EngineId,
        refusal: Option<Box<BackendState>>,
        now: Duration,
    ) -> Vec<Action> {
        let at = self.instant(now);
        let Some(active) = &mut self.requests[no] else {
            self.homes.release(no, engine, at);
            return Vec::new();
        };
        let host = active.host;
        let Some(state) = refusal else {
            active.prefill_started = true;
            self.hosts[host].retries.deposit(ROW_RETRY_PERCENT);
            return vec![Action::Prefill(no, engine, ENGINE_PRIORITY)];
        };
        let decode = active.decode.take();
        self.hosts[host].update_state(engine, *state, at);
        if let Some(decode) = decode {
            self.homes.release(no, decode, at);
        }
        self.on_reservation_refused(no, engine, now)
    }
}
