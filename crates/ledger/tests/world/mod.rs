//! A small world for one ledger shard: hosts that die and freeze, a service that
//! fails and loses answers, backend servers that crash, fall silent and answer
//! late. Every choice comes from one seed.

#![allow(dead_code)]

pub mod kv;
pub mod oracle;

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use aspenloft_core::errors::unavailable;
use aspenloft_core::prelude::{Arc, Execution};
use aspenloft_ledger::digest::{KeyDigest, RequestDigest};
use aspenloft_ledger::options::Options;
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

/// Which faults the world has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Faults {
    None,
    All,
    /// All, and the service swaps without comparing versions.
    UncheckedSwaps,
}

struct Host {
    shard: Shard,
    life: u64,
    frozen: bool,
    inbox: VecDeque<Event>,
}

/// Work under way outside the hosts.
#[derive(Debug, Clone)]
struct Job {
    host: usize,
    life: u64,
    work: Work,
}

#[derive(Debug, Clone)]
enum Work {
    /// A call to the service.
    Kv(Action),
    /// A call to the service whose caller has given it up.
    LateKv(Action),
    /// A call that its sender is about to send.
    Send { key: KeyDigest, attempt: AttemptId, call: CallId, not_after: Instant },
    /// A call at the backend server.
    Run { key: KeyDigest, attempt: AttemptId, call: CallId, heard: bool },
}

pub struct World {
    pub kv: FakeKv,
    pub oracle: Oracle,
    pub trace: VecDeque<String>,
    rng: Pcg64Mcg,
    faults: Faults,
    options: Options,
    start: Instant,
    now: Duration,
    down: bool,
    hosts: Vec<Host>,
    jobs: Vec<Job>,
    calls: HashMap<CallId, KeyDigest>,
    waiting: HashMap<CallId, (usize, u64)>,
    keys: u64,
}

/// Makes the key with number `n`.
pub fn key(n: u64) -> KeyDigest {
    KeyDigest::new("booking", "tester", &n.to_string())
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> World {
        // Small pages, so that a short run seals many.
        let options =
            Options { seal_threshold_bytes: 900, max_answer_bytes: 60, ..Options::default() };
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let hosts = (0..HOSTS).map(|_| Host {
            shard: Shard::new(options.clone(), rng.random()),
            life: 0,
            frozen: false,
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

    /// Takes `steps` random steps, then heals everything and checks that every
    /// caller on a living host has its word.
    pub fn run(&mut self, steps: u32) -> Result<(), String> {
        for _ in 0..steps {
            self.step()?;
        }
        self.heal()
    }

    fn step(&mut self) -> Result<(), String> {
        let broken = self.faults != Faults::None;
        match self.rng.random_range(0..100) {
            0..18 => self.call(),
            18..72 => self.job(),
            72..90 => self.tick(),
            90..94 if broken => self.freeze_or_wake(),
            94 if broken => self.kill(),
            95 if broken => {
                self.down = !self.down && self.rng.random_bool(0.3);
                self.note(format!("down {}", self.down));
                Ok(())
            }
            96 if broken => self.lose_lease(),
            97 if broken => self.leave(),
            _ => self.renew(),
        }
    }

    fn note(&mut self, line: String) {
        if self.trace.len() == TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(format!("{:?} {line}", self.now));
    }

    fn moment(&self) -> Moment {
        Moment { now: self.start + self.now, wall_ms: self.now.as_millis() as u64 }
    }

    /// A caller sends a fresh key, or repeats one of the last few.
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
        self.waiting.insert(id, (host, self.hosts[host].life));
        self.note(format!("host {host}: call {id} with key {n}"));
        self.deliver(host, Event::Call(call))
    }

    /// Gives `event` to a host, at once or when it wakes.
    fn deliver(&mut self, host: usize, event: Event) -> Result<(), String> {
        if self.hosts[host].frozen {
            self.hosts[host].inbox.push_back(event);
            return Ok(());
        }
        let at = self.moment();
        let actions = self.hosts[host].shard.handle(event, at);
        let life = self.hosts[host].life;
        for action in actions {
            self.note(format!("host {host}: {action:?}").chars().take(200).collect());
            match action {
                Action::Answer(call, verdict) => self.answer(call, &verdict)?,
                Action::Send { key, attempt, call, not_after } => {
                    self.oracle.handed.insert(key);
                    let work = Work::Send { key, attempt, call, not_after };
                    self.jobs.push(Job { host, life, work });
                }
                action => self.jobs.push(Job { host, life, work: Work::Kv(action) }),
            }
        }
        Ok(())
    }

    fn answer(&mut self, call: CallId, verdict: &CallResult) -> Result<(), String> {
        self.waiting.remove(&call);
        self.oracle.check(self.calls[&call], call, verdict)
    }

    /// Gives the result of a job to its host, unless that life has ended.
    fn report(&mut self, job: &Job, event: Event) -> Result<(), String> {
        if self.hosts[job.host].life != job.life {
            return Ok(());
        }
        self.deliver(job.host, event)
    }

    /// Moves a random job on.
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
            Work::Run { key, attempt, call, heard } => {
                self.execute(&job, key, attempt, call, heard)
            }
        }
    }

    fn take_effect(&mut self, action: &Action, host: usize) -> Event {
        let event = self.kv.apply(action, host, self.now);
        if let Some((_, head)) = &self.kv.head {
            self.oracle.intended.extend(head.records.iter().map(|record| record.key));
        }
        self.note(format!("host {host}: service did {event:?}").chars().take(200).collect());
        event
    }

    /// The service serves a call, with one of its faults.
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
            // The call takes effect after its caller gave it up.
            88..92 => {
                self.jobs.push(Job { work: Work::LateKv(action.clone()), ..job.clone() });
                failed(action, Execution::Unknown)
            }
            92..95 => failed(action, Execution::Unknown),
            _ => failed(action, Execution::NotRun),
        };
        self.report(job, event)
    }

    /// The host's sender sends a call.
    fn send(
        &mut self,
        job: &Job,
        key: KeyDigest,
        attempt: AttemptId,
        call: CallId,
        not_after: Instant,
    ) -> Result<(), String> {
        let host = &self.hosts[job.host];
        if host.life != job.life {
            return Ok(());
        }
        if host.frozen {
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
        let work = Work::Run { key, attempt, call, heard: !silent };
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
        heard: bool,
    ) -> Result<(), String> {
        let crash = match self.faults {
            Faults::None => 99,
            _ => self.rng.random_range(0..100),
        };
        let mut body = Vec::new();
        if crash >= 10 {
            body = self.oracle.run(key, call)?;
            self.note(format!("ran call {call}"));
        }
        if !heard {
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
            if self.hosts[host].frozen { Ok(()) } else { self.deliver(host, Event::Tick) }
        })
    }

    fn freeze_or_wake(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..HOSTS);
        let freezes = !self.hosts[host].frozen && self.rng.random_bool(0.4);
        self.note(format!("host {host}: frozen {freezes}"));
        if !freezes {
            return self.wake(host);
        }
        self.hosts[host].frozen = true;
        Ok(())
    }

    fn wake(&mut self, host: usize) -> Result<(), String> {
        self.hosts[host].frozen = false;
        let mut inbox: Vec<_> = std::mem::take(&mut self.hosts[host].inbox).into();
        // What piled up is handled in no order that could be relied on.
        while !inbox.is_empty() {
            let i = self.rng.random_range(0..inbox.len());
            let event = inbox.remove(i);
            self.deliver(host, event)?;
        }
        Ok(())
    }

    fn kill(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..HOSTS);
        self.note(format!("host {host}: killed"));
        let shard = Shard::new(self.options.clone(), self.rng.random());
        let life = self.hosts[host].life + 1;
        self.hosts[host] = Host { shard, life, frozen: false, inbox: VecDeque::new() };
        self.waiting.retain(|_, (at, born)| *at != host || *born == life);
        Ok(())
    }

    /// A host starts to leave, and may be killed at any later step.
    fn leave(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..HOSTS);
        self.note(format!("host {host}: leaves"));
        self.deliver(host, Event::Leave)
    }

    /// A host hears that its lease has lapsed, whether true or not.
    fn lose_lease(&mut self) -> Result<(), String> {
        let host = self.rng.random_range(0..HOSTS);
        self.deliver(host, Event::LeaseLost)
    }

    fn renew(&mut self) -> Result<(), String> {
        if let Some(owner) = &mut self.kv.owner
            && !self.down
            && !self.hosts[owner.host].frozen
            && owner.ends > self.now
        {
            owner.ends = self.now + kv::LEASE;
        }
        Ok(())
    }

    fn heal(&mut self) -> Result<(), String> {
        self.faults = Faults::None;
        self.down = false;
        for host in 0..HOSTS {
            self.wake(host)?;
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
            Some(call) => Err(format!("call {call} never had its word")),
            None => Ok(()),
        }
    }
}
