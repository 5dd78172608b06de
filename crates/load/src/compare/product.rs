//! The `product` module drives the product's own decisions: routes, timed
//! reservations at home hosts, admission, retries and suspects. Hosts learn of
//! engines by digests once a second and by the answers of homes.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::{BackendState, Tokens};
use aspenloft_core::standing::{Fingerprint, Standing};
use aspenloft_policy::admission::{Admitted, Arrival};
use aspenloft_policy::fair_queue::Flow;
use aspenloft_policy::reservations::Begin;
use aspenloft_policy::route::{Link, Links, Pair, RouteOptions, route, route_decode};
use aspenloft_policy::suspects::SuspectBook;

use super::fleet::{CALLER_DELAY, EngineId, FAR_DELAY, Fleet, HostId};
use super::home::{DecodeAsk, Homes, PrefillAsk};
use super::host::{EntryHost, engine_name, links, route_request};
use super::policy::{Action, Forecast, Note, Policy, Reports, Setting};
use super::workload::{MAX_ANSWER, Request, RequestNo};

/// How often a host looks after those who wait.
const TICK: Duration = Duration::from_millis(20);

/// How often homes publish the state of their engines.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// Reservations that one try of a request asks for before it waits again.
const MAX_TRIES: u32 = 6;

/// New prefills of one request after the first.
const MAX_RESTARTS: u32 = 3;

/// The wait before a request without any fitting pair is tried again.
const TRY_AGAIN: Duration = Duration::from_millis(50);

/// The longest wait before a slot that should be free is asked for again.
const SLOT_WAIT: Duration = Duration::from_millis(20);

/// The share of the time left that a plan may use up, because estimates err.
const PLAN_SHARE: f64 = 0.9;

/// How much longer than expected a transfer may take before another target is
/// chosen.
const TRANSFER_FACTOR: u32 = 3;

/// The least time before a transfer counts as stalled.
const TRANSFER_SLACK: Duration = Duration::from_millis(100);

/// How long a link that stalled is avoided.
const LINK_REST: Duration = Duration::from_secs(5);

/// Tokens on a link that let no other transfer end in time.
const STALLED_TOKENS: Tokens = Tokens(1 << 40);

/// The row's longest wait and longest queue, as the table's defaults have them.
const ROW_QUEUE: Duration = Duration::from_millis(500);
const ROW_QUEUE_LENGTH: u32 = 64;

/// The row's share of requests that may be tried again, in percent.
const ROW_RETRY_PERCENT: u32 = 10;

/// The priority of all admitted work at engines. Admission has ordered it already,
/// and a home's account holds only if nothing overtakes at the engine.
const ENGINE_PRIORITY: u8 = 5;

/// The weights of row and caller.
const WEIGHT: u32 = 100;

/// `Product` is the product's policy on all hosts.
pub struct Product {
    setting: Setting,
    base: Instant,
    hosts: Vec<EntryHost>,
    /// The popped request of each host that waits for room.
    heads: Vec<Option<RequestNo>>,
    homes: Homes,
    suspects: SuspectBook,
    options: RouteOptions,
    stalled: Vec<(usize, usize, Duration)>,
    live: Vec<Option<Live>>,
}

#[derive(Debug, Clone)]
struct Live {
    host: HostId,
    request: Request,
    /// Pairs that are still to be tried, worst first.
    pairs: Vec<Pair>,
    tries: u32,
    restarts: u32,
    /// Decode engines that this request has lost.
    lost: Vec<EngineId>,
    prefill: Option<EngineId>,
    decode: Option<EngineId>,
    /// Whether a result lies on the prefill engine.
    ready: bool,
    streaming: bool,
    ran: bool,
}

impl Product {
    /// Creates the policy.
    pub fn new(setting: &Setting) -> Product {
        let base = Instant::now();
        let hosts = setting.fleet.hosts.iter().map(|_| EntryHost::new(&setting.fleet, base));
        Product {
            setting: setting.clone(),
            base,
            hosts: hosts.collect(),
            heads: vec![None; setting.fleet.hosts.len()],
            homes: Homes::new(&setting.fleet),
            suspects: SuspectBook::default(),
            options: RouteOptions::default(),
            stalled: Vec::new(),
            live: Vec::new(),
        }
    }

    fn fleet(&self) -> &Fleet {
        &self.setting.fleet
    }

    fn at(&self, now: Duration) -> Instant {
        self.base + now
    }

    /// Returns the time that is left for the first token of a request. A broken
    /// stream has a target's time to go on.
    fn left(&self, live: &Live, now: Duration) -> Duration {
        if live.streaming {
            return self.setting.ttft;
        }
        let used = now.saturating_sub(live.request.comes) + CALLER_DELAY;
        self.setting.ttft.saturating_sub(used)
    }

    fn links(&self, now: Duration) -> Links {
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
    fn plan(&mut self, no: RequestNo, now: Duration) -> Vec<Pair> {
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        let left = self.left(&live, now);
        let candidates = self.candidates(no, &live, now);
        let req =
            route_request(&live.request, live.host, &self.setting, left, self.seed(no, &live));
        let decision = route(&req, &candidates, &self.links(now), &self.options);
        let limit = left.mul_f64(PLAN_SHARE);
        let fit = decision.pairs.into_iter().filter(|pair| pair.first_token() <= limit);
        fit.collect()
    }

    fn seed(&self, no: RequestNo, live: &Live) -> u64 {
        self.setting.seed ^ (no as u64) << 8 ^ u64::from(live.tries)
    }

    fn candidates(
        &mut self,
        no: RequestNo,
        live: &Live,
        now: Duration,
    ) -> Vec<aspenloft_policy::route::Candidate> {
        let at = self.at(now);
        let suspect = self.standing(live, now) == Standing::Suspect;
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

    fn standing(&self, live: &Live, now: Duration) -> Standing {
        self.suspects.standing(fingerprint(&live.request), self.at(now))
    }

    /// Lists the engines on which other suspects are at work.
    fn engines_with_suspects(&self, no: RequestNo, now: Duration) -> Vec<EngineId> {
        let others = self.live.iter().enumerate().filter(|(other, _)| *other != no);
        let live = others.filter_map(|(_, live)| live.as_ref());
        let suspects = live.filter(|live| self.standing(live, now) == Standing::Suspect);
        suspects.flat_map(|live| live.prefill.into_iter().chain(live.decode)).collect()
    }

    fn arrival(&self, no: RequestNo, live: &Live, pairs: &[Pair], now: Duration) -> Arrival {
        let row = format!("priority-{}", live.request.priority);
        let service = pairs
            .first()
            .map_or(0.0, |pair| pair.terms.first_token() - pair.terms.queue - pair.terms.slot);
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
    fn admit(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let pairs = self.plan(no, now);
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        let arrival = self.arrival(no, &live, &pairs, now);
        let room = !pairs.is_empty() && self.heads[live.host].is_none();
        let at = self.at(now);
        match self.hosts[live.host].admission.arrive(&arrival, room, at) {
            Admitted::Go => self.go(no, pairs),
            Admitted::Wait { displaced } => displaced
                .map(|refusal| Action::Refuse(refusal.ticket as usize))
                .into_iter()
                .collect(),
            Admitted::Refuse(refusal) => vec![Action::Refuse(refusal.ticket as usize)],
        }
    }

    /// Tries the pairs of a plan, best first.
    fn go(&mut self, no: RequestNo, mut pairs: Vec<Pair>) -> Vec<Action> {
        pairs.reverse();
        if let Some(live) = &mut self.live[no] {
            live.pairs = pairs;
        }
        self.try_next(no)
    }

    /// Asks the home of the next pair's decode engine for a slot.
    fn try_next(&mut self, no: RequestNo) -> Vec<Action> {
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        let Some(pair) = live.pairs.last() else { return Vec::new() };
        live.tries += 1;
        let (host, decode) = (live.host, pair.decode);
        let delay = self.fleet().to_engine(host, decode);
        vec![Action::Later(delay, Note::ReserveDecode(no, decode))]
    }

    /// Goes on after a home has refused: with the next pair, with a new plan from
    /// the fresh states, or at the head of those who wait.
    fn refused(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action> {
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

    /// Looks after those who wait at a host.
    fn tick(&mut self, host: HostId, now: Duration) -> Vec<Action> {
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
    fn least_time(&self, live: &Live) -> Duration {
        super::fleet::PREFILL_PER_TOKEN * live.request.prompt as u32 / 2
    }

    fn reserve_decode(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &self.live[no] else { return Vec::new() };
        let starts_in = live.pairs.last().map_or(Duration::ZERO, Pair::decode_starts_in);
        let row = format!("priority-{}", live.request.priority);
        let answer = match self.setting.forecast {
            Forecast::Mean => {
                self.hosts[live.host].estimates.answer_tokens(&row, Tokens(MAX_ANSWER))
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

    fn decode_reserved(
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

    fn reserve_prefill(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        let Some(pair) = live.pairs.last() else { return Vec::new() };
        let rest = pair.terms.first_token() - pair.terms.queue;
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

    fn prefill_reserved(
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

    /// Starts the decode of a result against its reservation.
    fn begin(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        let Some(engine) = live.decode else { return self.move_result(no, now) };
        match self.homes.begin(no, engine, at) {
            Begin::Started => {
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
            Begin::Wait(wait) => vec![Action::Later(wait.min(SLOT_WAIT), Note::Retry(no))],
            Begin::Lapsed => {
                live.decode = None;
                self.move_result(no, now)
            }
        }
    }

    /// Offers a result to another decode engine within its life.
    fn move_result(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
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

    fn is_stalled(&self, live: &Live, to: EngineId, now: Duration) -> bool {
        let centre = |engine: EngineId| self.setting.fleet.engines[engine].centre;
        let Some(from) = live.prefill else { return false };
        let link = (centre(from), centre(to));
        self.stalled.iter().any(|(a, b, until)| (*a, *b) == link && *until > now)
    }

    /// Chooses another target when a transfer should have ended by now.
    fn check_transfer(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action> {
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
    fn restart(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        self.release_all(no, now);
        let Some(live) = self.live[no].clone() else { return Vec::new() };
        if self.standing(&live, now) == Standing::Convicted {
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
    fn go_or_wait(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
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

    fn retry(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        let Some(live) = &self.live[no] else { return Vec::new() };
        match (live.ready, live.decode) {
            (true, Some(_)) => self.begin(no, now),
            (true, None) => self.move_result(no, now),
            (false, _) if live.prefill.is_none() => self.go_or_wait(no, now),
            (false, _) => Vec::new(),
        }
    }

    fn release_all(&mut self, no: RequestNo, now: Duration) {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else { return };
        live.ready = false;
        live.tries = 0;
        live.pairs.clear();
        live.lost.clear();
        for engine in live.prefill.take().into_iter().chain(live.decode.take()) {
            self.homes.release(no, engine, at);
        }
    }

    fn publish(&mut self, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let mut actions = vec![Action::Later(PUBLISH_INTERVAL, Note::Publish)];
        for engine in 0..self.fleet().engines.len() {
            let state = self.homes.state(engine, at);
            for host in 0..self.hosts.len() {
                let delay = self.fleet().to_engine(host, engine);
                let note = Note::State(host, engine, Box::new(state.clone()));
                actions.push(Action::Later(delay, note));
            }
        }
        actions
    }
}

/// Returns the fingerprint by which a request is known when it comes again.
fn fingerprint(request: &Request) -> Fingerprint {
    Fingerprint(request.fingerprint)
}

impl Policy for Product {
    fn name(&self) -> &'static str {
        "product"
    }

    fn start(&mut self) -> Vec<Action> {
        let ticks = (0..self.hosts.len()).map(|host| Action::Later(TICK, Note::Tick(host)));
        ticks.chain([Action::Later(Duration::ZERO, Note::Publish)]).collect()
    }

    fn arrived(
        &mut self,
        no: RequestNo,
        host: HostId,
        request: &Request,
        now: Duration,
    ) -> Vec<Action> {
        if self.live.len() <= no {
            self.live.resize(no + 1, None);
        }
        let live = Live {
            host,
            request: request.clone(),
            pairs: Vec::new(),
            tries: 0,
            restarts: 0,
            lost: Vec::new(),
            prefill: None,
            decode: None,
            ready: false,
            streaming: false,
            ran: false,
        };
        if self.standing(&live, now) == Standing::Convicted {
            return vec![Action::Refuse(no)];
        }
        self.live[no] = Some(live);
        self.admit(no, now)
    }

    fn note(&mut self, note: Note, now: Duration) -> Vec<Action> {
        match note {
            Note::Tick(host) => self.tick(host, now),
            Note::Publish => self.publish(now),
            Note::State(host, engine, state) => {
                let at = self.at(now);
                self.hosts[host].hear(engine, *state, at);
                Vec::new()
            }
            Note::Retry(no) => self.retry(no, now),
            Note::ReserveDecode(no, engine) => self.reserve_decode(no, engine, now),
            Note::DecodeReserved(no, engine, refusal) => {
                self.decode_reserved(no, engine, refusal, now)
            }
            Note::ReservePrefill(no, engine) => self.reserve_prefill(no, engine, now),
            Note::PrefillReserved(no, engine, refusal) => {
                self.prefill_reserved(no, engine, refusal, now)
            }
            Note::Transfer(no, engine) => self.check_transfer(no, engine, now),
            Note::Deadline(_) => Vec::new(),
        }
    }

    fn reports(&mut self, reports: &Reports, _: Duration) {
        for (engine, events) in reports.events.iter().enumerate() {
            let name = engine_name(engine);
            for (seq, piece, stored) in events {
                for host in &mut self.hosts {
                    host.index.apply(&name, *seq, *piece, *stored);
                }
            }
        }
    }

    fn prefilled(&mut self, no: RequestNo, _: u64, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        let Some(live) = &mut self.live[no] else { return Vec::new() };
        live.ready = true;
        if let Some(engine) = live.prefill {
            self.homes.release(no, engine, at);
            let pieces = &live.request.pieces;
            self.hosts[live.host].index.observe(&engine_name(engine), pieces);
        }
        self.begin(no, now)
    }

    fn decode_refused(&mut self, no: RequestNo, engine: EngineId, now: Duration) -> Vec<Action> {
        let at = self.at(now);
        self.homes.release(no, engine, at);
        if let Some(live) = &mut self.live[no] {
            live.decode = None;
            live.lost.push(engine);
        }
        self.move_result(no, now)
    }

    fn evicted(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }

    fn streaming(&mut self, no: RequestNo, _: Duration) {
        if let Some(live) = &mut self.live[no] {
            live.streaming = true;
        }
    }

    fn stepped(&mut self, engine: EngineId, streams: u32, took: Duration, _: Duration) {
        self.homes.stepped(engine, streams, took);
    }

    fn over(&mut self, no: RequestNo, answer: u64, now: Duration) {
        let at = self.at(now);
        self.release_all(no, now);
        let Some(live) = self.live.get_mut(no).and_then(Option::take) else { return };
        let host = &mut self.hosts[live.host];
        host.admission.leave(no as u64);
        if answer > 0 {
            let row = format!("priority-{}", live.request.priority);
            host.estimates.output.touch(&row.as_str().into(), at).add(answer as f64);
            self.suspects.finished(fingerprint(&live.request), at);
        }
    }

    fn engine_lost(
        &mut self,
        engine: EngineId,
        running: &[RequestNo],
        now: Duration,
    ) -> Vec<Action> {
        let at = self.at(now);
        let live = running.iter().filter_map(|no| self.live[*no].as_ref());
        let suspects: Vec<Fingerprint> = live.map(|live| fingerprint(&live.request)).collect();
        self.suspects.server_died(&suspects, at);
        self.homes.reset(engine, &self.setting.fleet);
        for host in &mut self.hosts {
            host.set_down(engine, true, at);
        }
        Vec::new()
    }

    fn engine_back(&mut self, engine: EngineId, now: Duration) {
        let at = self.at(now);
        self.homes.reset(engine, &self.setting.fleet);
        for host in &mut self.hosts {
            host.set_down(engine, false, at);
        }
    }

    fn broken(&mut self, no: RequestNo, now: Duration) -> Vec<Action> {
        self.restart(no, now)
    }
}
