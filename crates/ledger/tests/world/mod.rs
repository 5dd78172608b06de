//! The `world` module simulates one ledger shard with hosts that crash and pause, a
//! key-value service that fails and loses answers, and backend servers that crash, do
//! not answer or answer late. All random choices come from one seed.

#![allow(dead_code)]

pub mod kv;
pub mod oracle;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use aspenloft_core::errors::unavailable;
use aspenloft_core::prelude::{Arc, Execution};
use aspenloft_ledger::digest::{KeyDigest, RequestDigest};
use aspenloft_ledger::options::ShardOptions;
use aspenloft_ledger::record::Answer;
use aspenloft_ledger::shard::event::{Action, AttemptId, Call, CallId, CallResult, Event, Outcome};
use aspenloft_ledger::shard::{Moment, Shard};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use kv::{FakeKv, failed};
use oracle::Oracle;

const HOSTS: usize = 3;
const TRACE_LINES: usize = 80;

/// `Faults` selects the faults that are injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    None,
    All,
    /// All faults, and the service swaps without comparing versions.
    UncheckedSwaps,
}

struct Host {
    shard: Shard,
    boot: u64,
    paused: bool,
    inbox: VecDeque<Event>,
}

/// `Job` is an operation of a host that is in progress outside it.
#[derive(Debug, Clone)]
struct Job {
    host: usize,
    boot: u64,
    work: Work,
}

#[derive(Debug, Clone)]
enum Work {
    /// A call to the service.
    Kv(Action),
    /// A call to the service whose host no longer waits for its result.
    LateKv(Action),
    /// A call that the host is about to send.
    Send { key: KeyDigest, attempt: AttemptId, call: CallId, not_after: Instant },
    /// A call that the backend server has received.
    Run { key: KeyDigest, attempt: AttemptId, call: CallId, answer_received: bool },
}

pub struct World {
    pub kv: FakeKv,
    pub oracle: Oracle,
    pub trace: VecDeque<String>,
    rng: Pcg64Mcg,
    faults: Faults,
    options: ShardOptions,
    start: Instant,
    now: Duration,
    down: bool,
    hosts: Vec<Host>,
    jobs: Vec<Job>,
    calls: HashMap<CallId, KeyDigest>,
    waiting: HashMap<CallId, (usize, u64)>,
    keys: u64,
}

/// Returns the key with number `n`.
pub fn key(n: u64) -> KeyDigest {
    KeyDigest::new("booking", "tester", &n.to_string())
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> World {
        // With small pages a short run seals many of them.
        let options = ShardOptions {
            seal_threshold_bytes: 900,
            max_answer_bytes: 60,
            ..ShardOptions::default()
        };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|_| Host {
            shard: Shard::new(options.clone(), rng.random()),
            boot: 0,
            paused: false,
            inbox: VecDeque::new(),
        });
        let hosts = hosts.collect();
        let swaps_unchecked = faults == Faults::UncheckedSwaps;
        World {
            kv: FakeKv { swaps_unchecked, ..FakeKv::default() },
            oracle: Oracle::default(),
            trace: VecDeque::new(),
            rng,
            faults,
            options,
            start: Instant::now(),
            now: Duration::ZERO,
            down: false,
            hosts,
            jobs: Vec::new(),
            calls: HashMap::new(),
            waiting: HashMap::new(),
            keys: 0,
        }
    }

    /// Takes `steps` random steps, then ends all faults and checks that every caller
    /// gets a result, except for those whose host crashed.
    pub fn run(&mut self, steps: u32) -> Result<(), String> {
        for _ in 0..steps {
            self.step()?;
        }
        self.end_faults()
    }

    fn step(&mut self) -> Result<(), String> {
        let faults = self.faults != Faults::None;
        match self.rng.random_range(0..100) {
            0..18 => self.call(),
            18..72 => self.job(),
            72..90 => self.tick(),
            90..94 if faults => self.pause_or_resume(),
            94 if faults => self.crash_host(),
            95 if faults => {
                self.down = !self.down && self.rng.random_bool(0.3);
                self.record(format!("down {}", self.down));
                Ok(())
            }
            96 if faults => self.lose_lease(),
            97 if faults => self.leave(),
            _ => self.renew(),
        }
    }

    fn record(&mut self, line: String) {
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:?} {line}", self.now));
    }

    fn moment(&self) -> Moment {
        Moment { now: self.start + self.now, wall_ms: self.now.as_millis() as u64 }
    }

    /// A caller sends a new key or repeats one of the latest.
    fn call(&mut self) -> Result<(), String> {
        if self.rng.random_bool(0.4) {
            self.keys += 1;
        }
        let n = self.keys - self.rng.random_range(0..4.min(self.keys + 1));
        let id = self.calls.len() as CallId;
        let window = Duration::from_secs(24 * 3600);
        let request = RequestDigest::new("POST", "/bookings", &n.to_be_bytes());
        let call = Call { id, key: key(n), request, window, bytes: 10 };
        let host = self.rng.random_range(0..HOSTS);
        self.calls.insert(id, call.key);
        self.waiting.insert(id, (host, self.hosts[host].boot));
        self.record(format!("host {host}: call {id} with key {n}"));
        self.deliver(host, Event::Call(call))
    }

    /// Passes `event` to a host, or queues it while the host is paused.
    fn deliver(&mut self, host: usize, event: Event) -> Result<(), String> {
        if self.hosts[host].paused {
            self.hosts[host].inbox.push_back(event);
            return Ok(());
        }
        let at = self.moment();
        let actions = self.hosts[host].shard.handle(event, at);
        let boot = self.hosts[host].boot;
        for action in actions {
            self.record(format!("host {host}: {action:?}").chars().take(200).collect());
            match action {
                Action::Answer(call, result) => self.answer(call, &result)?,
                Action::Send { key, attempt, call, not_after } => {
                    self.oracle.sent.insert(key);
                    let work = Work::Send { key, attempt, call, not_after };
                    self.jobs.push(Job { host, boot, work });
                }
                action => self.jobs.push(Job { host, boot, work: Work::Kv(action) }),
            }
        }
        Ok(())
    }

    fn answer(&mut self, call: CallId, result: &CallResult) -> Result<(), String> {
        self.waiting.remove(&call);
        self.oracle.check(self.calls[&call], call, result)
    }

    /// Passes the result of a job to its host, unless the host has crashed since.
    fn report(&mut self, job: &Job, event: Event) -> Result<(), String> {
        if self.hosts[job.host].boot != job.boot {
            return Ok(());
        }
        self.deliver(job.host, event)
    }

    /// Performs the next step of a random job.
    fn job(&mut self) -> Result<(), String> {
        if self.jobs.is_empty() {
            return Ok(());
        }
        let i = self.rng.random_range(0..self.jobs.len());
        let job = self.jobs.swap_remove(i);
        match job.work.clone() {
            Work::Kv(action) => self.serve(&job, &action),
            Work::LateKv(action) => {
                self.take_effect(&action, job.host);
                Ok(())
            }
            Work::Send { key, attempt, call, not_after } => {
                self.send(&job, key, attempt, call, not_after)
            }
            Work::Run { key, attempt, call, answer_received } => {
                self.execute(&job, key, attempt, call, answer_received)
            }
        }
    }

    fn take_effect(&mut self, action: &Action, host: usize) -> Event {
        let event = self.kv.apply(action, host, self.now);
        if let Some((_, head)) = &self.kv.head {
            self.oracle.intended.extend(head.records.iter().map(|record| record.key));
        }
        self.record(format!("host {host}: service result {event:?}").chars().take(200).collect());
        event
    }

    /// The service handles a call, possibly with a fault.
    fn serve(&mut self, job: &Job, action: &Action) -> Result<(), String> {
        let fault = match self.faults {
            Faults::None => 0,
            _ if self.down => self.rng.random_range(90..100),
            _ => self.rng.random_range(0..100),
        };
        let event = match fault {
            0..82 => self.take_effect(action, job.host),
            // The answer is lost after the call took effect.
            82..88 => {
                self.take_effect(action, job.host);
                failed(action, Execution::Unknown)
            }
            // The call takes effect after its host stopped waiting for it.
            88..92 => {
                self.jobs.push(Job { work: Work::LateKv(action.clone()), ..job.clone() });
                failed(action, Execution::Unknown)
            }
            92..95 => failed(action, Execution::Unknown),
            _ => failed(action, Execution::NotRun),
        };
        self.report(job, event)
    }

    /// A host sends a call, or fails to.
    fn send(
        &mut self,
        job: &Job,
        key: KeyDigest,
        attempt: AttemptId,
        call: CallId,
        not_after: Instant,
    ) -> Result<(), String> {
        let host = &self.hosts[job.host];
        if host.boot != job.boot {
            return Ok(());
        }
        if host.paused {
            self.jobs.push(job.clone());
            return Ok(());
        }
        let late = self.moment().now > not_after;
        let refused = self.faults != Faults::None && self.rng.random_bool(0.15);
        if late || refused {
            let outcome = Outcome::NotSent(unavailable("connection refused"));
            return self.report(job, Event::Sent(key, attempt, outcome));
        }
        let silent = self.faults != Faults::None && self.rng.random_bool(0.15);
        let work = Work::Run { key, attempt, call, answer_received: !silent };
        self.jobs.push(Job { work, ..job.clone() });
        if silent {
            let e = unavailable("silent").execution(Execution::Unknown);
            return self.report(job, Event::Sent(key, attempt, Outcome::Unknown(e)));
        }
        Ok(())
    }

    /// The backend server runs a call, or crashes before or after.
    fn execute(
        &mut self,
        job: &Job,
        key: KeyDigest,
        attempt: AttemptId,
        call: CallId,
        answer_received: bool,
    ) -> Result<(), String> {
        let crash = match self.faults {
            Faults::None => 99,
            _ => self.rng.random_range(0..100),
        };
        let mut body = Vec::new();
        if crash >= 10 {
            body = self.oracle.run(key, call)?;
            self.record(format!("ran call {call}"));
        }
        if !answer_received {
            return Ok(());
        }
        let outcome = if crash < 20 {
            Outcome::Unknown(unavailable("reset").execution(Execution::Unknown))
        } else {
            if self.rng.random_bool(0.2) {
                body.extend([b'.'; 200]);
            }
            let answer = Answer { status: 200, content_type: String::new(), body };
            Outcome::Answered(Arc::new(answer))
        };
        self.report(job, Event::Sent(key, attempt, outcome))
    }

    fn tick(&mut self) -> Result<(), String> {
        let jumps = self.faults != Faults::None && self.rng.random_bool(0.03);
        let longest = if jumps { 8_000 } else { 60 };
        self.now += Duration::from_millis(self.rng.random_range(0..longest));
        if self.faults == Faults::None {
            self.renew()?;
        }
        (0..HOSTS).try_for_each(|host| {
            if self.hosts[host].paused { Ok(()) } else { self.deliver(host, Event::Tick) }
        })
    }

    fn pause_or_resume(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..HOSTS);
        let pauses = !self.hosts[host].paused && self.rng.random_bool(0.4);
        self.record(format!("host {host}: paused {pauses}"));
        if !pauses {
            return self.resume(host);
        }
        self.hosts[host].paused = true;
        Ok(())
    }

    fn resume(&mut self, host: usize) -> Result<(), String> {
        self.hosts[host].paused = false;
        let mut inbox: Vec<_> = std::mem::take(&mut self.hosts[host].inbox).into();
        // The queued events are handled in random order.
        while !inbox.is_empty() {
            let i = self.rng.random_range(0..inbox.len());
            let event = inbox.remove(i);
            self.deliver(host, event)?;
        }
        Ok(())
    }

    fn crash_host(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..HOSTS);
        self.record(format!("host {host}: crashed"));
        let shard = Shard::new(self.options.clone(), self.rng.random());
        let boot = self.hosts[host].boot + 1;
        self.hosts[host] = Host { shard, boot, paused: false, inbox: VecDeque::new() };
        self.waiting.retain(|_, (at, started)| *at != host || *started == boot);
        Ok(())
    }

    /// A host starts to leave; it may crash at any later step.
    fn leave(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..HOSTS);
        self.record(format!("host {host}: leaves"));
        self.deliver(host, Event::Leave)
    }

    /// A host is notified that its lease has expired, whether that is true or not.
    fn lose_lease(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..HOSTS);
        self.deliver(host, Event::LeaseLost)
    }

    fn renew(&mut self) -> Result<(), String> {
        if let Some(owner) = &mut self.kv.owner
            && !self.down
            && !self.hosts[owner.host].paused
            && owner.ends > self.now
        {
            owner.ends = self.now + kv::LEASE;
        }
        Ok(())
    }

    fn end_faults(&mut self) -> Result<(), String> {
        self.faults = Faults::None;
        self.down = false;
        for host in 0..HOSTS {
            self.resume(host)?;
        }
        for _ in 0..400 {
            self.job()?;
            self.tick()?;
        }
        while !self.jobs.is_empty() {
            self.job()?;
        }
        self.tick()?;
        match self.waiting.keys().collect::<Vec<_>>().choose(&mut self.rng) {
            Some(call) => Err(format!("call {call} never got a result")),
            None => Ok(()),
        }
    }
}
