//! The `simulation` module runs a load pattern as a discrete-event simulation.

use std::time::{Duration, Instant};

use aspenloft_policy::engine_choice::MEMORY_SHARE;
use aspenloft_policy::engine_memory::RunForecast;
use aspenloft_policy::mechanisms::Mechanisms;
use aspenloft_policy::waiting::{self, ArrivalDecision, WaitOptions, WaitingRequest};

use super::engines::{DecodeEngine, EngineRun, PrefillEngine, RequestNo};
use super::hosts::{Hosts, LocalRun, QueuedRequest};
use super::pattern::LoadPattern;
use super::report::{FleetReport, Outcome, percentile_ms};
use super::workload::{FleetRequest, generate};
use crate::compare::events::EventQueue;

/// How often a host processes its queue.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long an engine counts as full after it refused a request.
const FULL_DURATION: Duration = Duration::from_millis(300);

/// The share of a KV cache's life in which it is used.
const USABLE_LIFE_SHARE: f64 = 0.8;

/// The least time after which a rejected caller comes back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The time after the last arrival at which a run is cut off.
const MAX_DRAIN: Duration = Duration::from_secs(30);

#[derive(Debug)]
enum Event {
    Arrive(RequestNo),
    Poll(usize),
    Digest(usize),
    Prefilled(RequestNo),
    Send(RequestNo),
    Step(usize, u64),
    Crash(usize, Duration),
    Recover(usize),
}

/// `Progress` is how far a request has come.
#[derive(Debug, Clone, Default)]
struct Progress {
    host: usize,
    retries: u32,
    engine: usize,
    /// Until when the KV cache of its prompt can be used.
    cache_until: Option<Duration>,
    queued_at: Option<Duration>,
    first_token: Option<Duration>,
    paused: bool,
    outcome: Option<Outcome>,
}

struct Simulation<'a> {
    pattern: &'a LoadPattern,
    mechanisms: Mechanisms,
    wait: WaitOptions,
    requests: Vec<FleetRequest>,
    progress: Vec<Progress>,
    hosts: Hosts<'a>,
    prefill: Vec<PrefillEngine>,
    decode: Vec<DecodeEngine>,
    events: EventQueue<Event>,
    now: Duration,
    ended: usize,
    waits: Vec<Duration>,
    report: FleetReport,
}

/// Runs `pattern` with `seed` and the decisions of `mechanisms`.
pub fn run(pattern: &LoadPattern, mechanisms: Mechanisms, seed: u64) -> FleetReport {
    let requests = generate(pattern, seed);
    let progress =
        requests.iter().map(|r| Progress { host: r.host, ..Progress::default() }).collect();
    let report = FleetReport { pattern: pattern.name.clone(), seed, ..FleetReport::default() };
    let mut simulation = Simulation {
        pattern,
        mechanisms,
        wait: WaitOptions::default(),
        progress,
        hosts: Hosts::new(pattern, mechanisms, Instant::now()),
        prefill: (0..pattern.engines.prefill).map(|_| PrefillEngine::default()).collect(),
        decode: (0..pattern.engines.decode).map(|_| DecodeEngine::default()).collect(),
        events: EventQueue::default(),
        now: Duration::ZERO,
        ended: 0,
        waits: Vec::new(),
        report,
        requests,
    };
    simulation.run();
    simulation.into_report()
}

impl Simulation<'_> {
    fn run(&mut self) {
        for (no, request) in self.requests.iter().enumerate() {
            self.events.push(request.arrives_at, Event::Arrive(no));
        }
        for host in 0..self.pattern.hosts {
            self.events.push(Duration::ZERO, Event::Digest(host));
        }
        for crash in &self.pattern.crashes {
            for engine in 0..crash.engines.min(self.decode.len()) {
                self.events.push(crash.at, Event::Crash(engine, crash.down));
            }
        }
        let end = self.pattern.length + MAX_DRAIN;
        while self.ended < self.requests.len() {
            match self.events.pop() {
                Some((at, event)) if at <= end => {
                    self.now = at;
                    self.handle(event);
                }
                _ => return,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(no) => self.arrive(no),
            Event::Poll(host) => self.poll(host),
            Event::Digest(host) => {
                self.hosts.publish(host, self.now);
                let next = self.now + self.pattern.digests.interval;
                self.events.push(next, Event::Digest(host));
            }
            Event::Prefilled(no) => self.prefilled(no),
            Event::Send(no) => self.send(no),
            Event::Step(engine, incarnation) => self.step(engine, incarnation),
            Event::Crash(engine, down) => self.crash(engine, down),
            Event::Recover(engine) => self.decode[engine].down_until = None,
        }
    }

    fn forecast(&self, no: RequestNo) -> RunForecast {
        let request = &self.requests[no];
        let memory = (self.pattern.engines.memory_tokens as f64 * MEMORY_SHARE) as u64;
        let expected = request.expected.min(memory.saturating_sub(request.prompt)).max(1);
        RunForecast::new(request.prompt, 0, expected, self.pattern.answer_tokens.max)
    }

    fn available(&self) -> Vec<usize> {
        let up = |engine: &usize| self.decode[*engine].down_until.is_none();
        (0..self.decode.len()).filter(up).collect()
    }

    fn arrive(&mut self, no: RequestNo) {
        if self.requests[no].prompt >= self.pattern.engines.memory_tokens {
            return self.end(no, Outcome::RejectedOnArrival);
        }
        let host = self.progress[no].host;
        let forecast = self.forecast(no);
        if self.hosts.all[host].queue.is_empty() && self.place(no, forecast, false) {
            return;
        }
        let waiter = self.waiter(no);
        let expected = self.hosts.expected_wait(host, self.now);
        let at = self.hosts.at(self.now);
        if let ArrivalDecision::Refuse(after) =
            waiting::decide_arrival(&waiter, expected, at, &self.wait)
            && self.mechanisms.early_rejection
        {
            return self.reject(no, after, Outcome::RejectedOnArrival);
        }
        self.enqueue(no, waiter, forecast);
    }

    fn waiter(&self, no: RequestNo) -> WaitingRequest {
        // A caller that comes back is a new request for the host.
        let arrived = self.hosts.at(self.now);
        let deadline = self.hosts.at(self.requests[no].arrives_at + self.pattern.deadline);
        WaitingRequest {
            id: no as u64,
            continues: false,
            priority: 1,
            arrived,
            due: arrived + self.pattern.target,
            deadline,
        }
    }

    fn enqueue(&mut self, no: RequestNo, waiter: WaitingRequest, forecast: RunForecast) {
        let host = self.progress[no].host;
        self.progress[no].queued_at = Some(self.now);
        self.hosts.all[host].queue.push(QueuedRequest { waiter, request: no, forecast });
        self.schedule_poll(host);
    }

    fn schedule_poll(&mut self, host: usize) {
        if !std::mem::replace(&mut self.hosts.all[host].poll_scheduled, true) {
            self.events.push(self.now + POLL_INTERVAL, Event::Poll(host));
        }
    }

    /// Places the queued requests for which there is capacity, and rejects those that have
    /// waited too long.
    fn poll(&mut self, host: usize) {
        self.hosts.all[host].poll_scheduled = false;
        let at = self.hosts.at(self.now);
        let waiters: Vec<WaitingRequest> =
            self.hosts.all[host].queue.iter().map(|queued| queued.waiter).collect();
        for id in waiting::timed_out(&waiters, at, &self.wait) {
            let no = id as RequestNo;
            self.dequeue(no);
            let after = self.hosts.expected_wait(host, self.now);
            self.reject(no, after, Outcome::RejectedLater);
        }
        for queued in self.hosts.placement_order(host, self.now) {
            let is_late = !queued.waiter.meets_target(at, &self.wait);
            if !self.place(queued.request, queued.forecast, is_late) {
                break;
            }
            self.dequeue(queued.request);
            if is_late {
                self.report.late_placements += 1;
                let others = (0..self.hosts.all.len()).filter(|other| *other != host);
                let waits = others.map(|other| self.hosts.on_time(other, self.now)).sum::<usize>();
                self.report.passed_over += usize::from(waits > 0);
            }
        }
        if !self.hosts.all[host].queue.is_empty() {
            self.schedule_poll(host);
        }
    }

    fn dequeue(&mut self, no: RequestNo) {
        let progress = &mut self.progress[no];
        if let Some(queued_at) = progress.queued_at.take() {
            self.waits.push(self.now - queued_at);
        }
        self.hosts.all[progress.host].queue.retain(|queued| queued.request != no);
    }

    /// Places a request on engines. Returns false if none has capacity.
    fn place(&mut self, no: RequestNo, forecast: RunForecast, is_late: bool) -> bool {
        let host = self.progress[no].host;
        let engines = self.available();
        let chosen = self.hosts.choose_decode(host, forecast, is_late, &engines, self.now);
        let Some(engine) = chosen else { return false };
        let request = &self.requests[no];
        let run = LocalRun {
            engine,
            placed: self.now,
            prompt: request.prompt,
            generated: 0,
            expected: request.expected,
            max: self.pattern.answer_tokens.max,
        };
        self.hosts.all[host].runs.insert(no, run);
        self.progress[no].engine = engine;
        if self.progress[no].cache_until.is_some_and(|until| until > self.now) {
            self.events.push(self.now + self.pattern.engines.start, Event::Send(no));
            return true;
        }
        self.prefill(no, host, engine);
        true
    }

    fn prefill(&mut self, no: RequestNo, host: usize, decode: usize) {
        let tokens = self.requests[no].prompt;
        self.report.prompt_tokens += tokens;
        // A cache that was lost has been read for nothing.
        if self.progress[no].cache_until.take().is_some() {
            self.report.wasted_tokens += tokens;
        }
        let read_at = match self.hosts.choose_prefill(host, decode, self.now) {
            Some(engine) => {
                self.hosts.all[host].prefills.insert(no, (engine, tokens));
                self.prefill[engine].add(self.now, tokens, &self.pattern.engines)
            }
            // A decode engine reads at half the speed.
            None => {
                let speed = self.pattern.engines.prefill_tokens_per_ms / 2.0;
                self.now + Duration::from_secs_f64(tokens as f64 / speed / 1e3)
            }
        };
        self.events.push(read_at, Event::Prefilled(no));
    }

    fn prefilled(&mut self, no: RequestNo) {
        let host = self.progress[no].host;
        self.hosts.all[host].prefills.remove(&no);
        let life = self.pattern.engines.cache_life.mul_f64(USABLE_LIFE_SHARE);
        self.progress[no].cache_until = Some(self.now + life);
        self.events.push(self.now + self.pattern.engines.start, Event::Send(no));
    }

    /// Sends a request, whose prompt has been read, to its decode engine.
    fn send(&mut self, no: RequestNo) {
        let Progress { host, engine, .. } = self.progress[no];
        let request = &self.requests[no];
        let run =
            EngineRun { request: no, prompt: request.prompt, generated: 0, answer: request.answer };
        if !self.decode[engine].accept(run, &self.pattern.engines) {
            return self.refused(no, host, engine);
        }
        self.progress[no].first_token = Some(self.now);
        let held = self.decode[engine].held(&self.pattern.engines);
        let share = held as f64 / self.pattern.engines.memory_tokens as f64;
        self.report.peak_memory_share = self.report.peak_memory_share.max(share);
        self.schedule_step(engine);
    }

    fn refused(&mut self, no: RequestNo, host: usize, engine: usize) {
        self.report.refused_by_engines += 1;
        self.hosts.all[host].runs.remove(&no);
        if self.mechanisms.full_pause {
            self.hosts.all[host].full.insert(engine, self.now + FULL_DURATION);
        }
        let forecast = self.forecast(no);
        if !self.place(no, forecast, false) {
            let waiter = WaitingRequest {
                arrived: self.hosts.at(self.requests[no].arrives_at),
                due: self.hosts.at(self.requests[no].arrives_at + self.pattern.target),
                ..self.waiter(no)
            };
            self.enqueue(no, waiter, forecast);
        }
    }

    fn schedule_step(&mut self, engine: usize) {
        let node = &mut self.decode[engine];
        if node.stepping || node.runs.is_empty() {
            return;
        }
        node.stepping = true;
        let at = self.now + node.step_time(&self.pattern.engines);
        self.events.push(at, Event::Step(engine, node.incarnation));
    }

    fn step(&mut self, engine: usize, incarnation: u64) {
        let node = &mut self.decode[engine];
        if node.incarnation != incarnation {
            return;
        }
        node.stepping = false;
        let outcome = node.step(&self.pattern.engines);
        let event_tokens = self.pattern.engines.event_tokens;
        for run in &self.decode[engine].runs {
            let host = self.progress[run.request].host;
            if let Some(local) = self.hosts.all[host].runs.get_mut(&run.request) {
                local.generated = run.generated / event_tokens * event_tokens;
            }
        }
        for (no, tokens) in outcome.preempted {
            self.report.preempted += 1;
            self.report.wasted_tokens += tokens;
            self.progress[no].paused = true;
        }
        for run in outcome.ended {
            self.end_stream(run.request);
        }
        self.schedule_step(engine);
    }

    fn end_stream(&mut self, no: RequestNo) {
        let progress = &self.progress[no];
        let request = &self.requests[no];
        let due = request.arrives_at + self.pattern.target;
        let outcome = match progress.first_token {
            Some(at) if at > due => Outcome::LateFirst,
            _ if progress.paused => Outcome::Paused,
            _ if request.packet_lost => Outcome::PacketLost,
            _ => Outcome::OnTime,
        };
        self.end(no, outcome);
    }

    fn reject(&mut self, no: RequestNo, after: Duration, outcome: Outcome) {
        let request = &self.requests[no];
        let left = (request.arrives_at + self.pattern.deadline).saturating_sub(self.now);
        let after = after.max(MIN_RETRY_AFTER);
        if self.progress[no].retries >= self.pattern.retries || after > left / 3 {
            return self.end(no, outcome);
        }
        self.progress[no].retries += 1;
        self.progress[no].host = request.next_host;
        self.events.push(self.now + after, Event::Arrive(no));
    }

    fn crash(&mut self, engine: usize, down: Duration) {
        let until = self.now + down;
        for no in self.decode[engine].crash(until) {
            self.end(no, Outcome::Failed);
        }
        self.events.push(until, Event::Recover(engine));
    }

    fn end(&mut self, no: RequestNo, outcome: Outcome) {
        if self.progress[no].outcome.replace(outcome).is_none() {
            self.ended += 1;
        }
        let host = self.progress[no].host;
        self.hosts.all[host].runs.remove(&no);
    }

    fn into_report(mut self) -> FleetReport {
        let mut sizes: Vec<u64> = self.requests.iter().map(|request| request.prompt).collect();
        sizes.sort_unstable();
        let bound = |tenths: usize| sizes.get(sizes.len() * tenths / 10).copied().unwrap_or(0);
        let bounds = [bound(7), bound(9)];
        let mut report = self.report;
        report.by_host = vec![Default::default(); self.pattern.hosts];
        report.by_second = vec![Default::default(); self.pattern.length.as_secs() as usize + 1];
        for (request, progress) in self.requests.iter().zip(&self.progress) {
            let outcome = progress.outcome.unwrap_or(Outcome::Failed);
            let size = bounds.iter().filter(|bound| request.prompt >= **bound).count();
            report.all.add(outcome);
            report.by_size[size].add(outcome);
            report.by_host[request.host].add(outcome);
            report.by_second[request.arrives_at.as_secs() as usize].add(outcome);
        }
        self.waits.sort_unstable();
        report.wait_ms = [percentile_ms(&self.waits, 0.5), percentile_ms(&self.waits, 0.99)];
        report
    }
}
