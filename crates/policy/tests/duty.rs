//! Work that one host does for all, simulated over hosts that leave, end, start, stand still
//! and fail.

use std::time::{Duration, Instant};

use aspenloft_policy::duty::{Candidate, DutyElection, DutyState};

/// How often hosts decide.
const TICK: Duration = Duration::from_millis(250);

/// How long a host counts as live after its last digest.
const LIVENESS: Duration = Duration::from_millis(800);

struct Host {
    own: Candidate,
    election: DutyElection,
    /// Whether the process runs and is not standing still.
    runs: bool,
    fails: bool,
    /// The state that the others know, and when they heard it.
    told: Option<(Candidate, Instant)>,
}

impl Host {
    fn start(name: &str, born_ms: u64) -> Host {
        let state = DutyState::Idle;
        let own = Candidate { name: name.into(), born_ms, leaving: false, state };
        let election = DutyElection::default();
        Host { own, election, runs: true, fails: false, told: None }
    }
}

struct Deployment {
    hosts: Vec<Host>,
    now: Instant,
    /// Since when nobody does the work.
    resting: Duration,
    longest_rest: Duration,
}

impl Deployment {
    fn start(count: usize) -> Deployment {
        let hosts = (0..count).map(|n| Host::start(&format!("h{n}"), 0)).collect();
        let mut deployment = Deployment {
            hosts,
            now: Instant::now(),
            resting: Duration::ZERO,
            longest_rest: Duration::ZERO,
        };
        deployment.run(8);
        (deployment.resting, deployment.longest_rest) = Default::default();
        deployment
    }

    /// Has all hosts decide `ticks` times, in turn and by what they have heard.
    fn run(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now += TICK;
            for index in 0..self.hosts.len() {
                self.decide(index);
            }
            let works =
                |host: &Host| host.runs && !host.fails && host.own.state == DutyState::Active;
            self.resting = match self.hosts.iter().any(works) {
                true => Duration::ZERO,
                false => self.resting + TICK,
            };
            self.longest_rest = self.longest_rest.max(self.resting);
        }
    }

    fn decide(&mut self, index: usize) {
        let others: Vec<Candidate> = (0..self.hosts.len())
            .filter(|other| *other != index)
            .filter_map(|other| self.hosts[other].told.clone())
            .filter(|(_, heard)| self.now.duration_since(*heard) < LIVENESS)
            .map(|(candidate, _)| candidate)
            .collect();
        let host = &mut self.hosts[index];
        if !host.runs {
            return;
        }
        host.own.state = host.election.next(&host.own, &others, self.now);
        if host.fails && host.own.state == DutyState::Active {
            host.own.state = DutyState::Unable;
            host.election.fail(others.len(), self.now);
        }
        host.told = Some((host.own.clone(), self.now));
    }

    fn active(&self) -> Vec<&str> {
        let active = self.hosts.iter().filter(|host| host.own.state == DutyState::Active);
        active.map(|host| &*host.own.name).collect()
    }
}

// A host that had just started took over from one that was killed, and wrote the little it knew.
#[test]
fn the_work_goes_to_a_host_that_has_just_started() {
    let mut deployment = Deployment::start(3);
    deployment.hosts[1] = Host::start("h1", 1);
    deployment.run(4);
    deployment.hosts[0].runs = false;
    deployment.run(12);
    deployment.hosts[0].own.state = DutyState::Idle;
    assert_eq!(deployment.active(), ["h2"]);
}

#[test]
fn one_host_does_the_work_and_goes_on_when_one_with_a_lower_name_starts() {
    let mut deployment = Deployment::start(3);
    assert_eq!(deployment.active(), ["h0"]);
    deployment.hosts[0].runs = false;
    deployment.run(12);
    deployment.hosts[0] = Host::start("h0", 1);
    deployment.run(12);
    assert_eq!(deployment.active(), ["h1"]);
}

// The work rested until a leaving host had ended and its digests had lapsed.
#[test]
fn the_work_rests_while_the_host_that_does_it_leaves() {
    let mut deployment = Deployment::start(3);
    for index in 0..3 {
        deployment.hosts[index].own.leaving = true;
        deployment.run(8);
    }
    assert_eq!(deployment.longest_rest, Duration::ZERO);
    assert_eq!(deployment.active().len(), 1, "{:?}", deployment.active());
    // The first one starts again while the others leave.
    deployment.hosts[0] = Host::start("h0", 1);
    deployment.run(8);
    assert_eq!((deployment.active(), deployment.longest_rest), (vec!["h0"], Duration::ZERO));
}

#[test]
fn the_work_rests_shortly_after_the_host_that_does_it_stands_still_or_fails() {
    for fails in [false, true] {
        let mut deployment = Deployment::start(3);
        (deployment.hosts[0].runs, deployment.hosts[0].fails) = (fails, fails);
        deployment.run(20);
        let rest = deployment.longest_rest;
        assert!(rest <= LIVENESS + Duration::from_millis(1_000), "fails {fails}: {rest:?}");
        assert!(deployment.active().contains(&"h1"), "{:?}", deployment.active());
        // One that stood still notices that another host does the work now.
        (deployment.hosts[0].runs, deployment.hosts[0].fails) = (true, false);
        deployment.run(8);
        assert_eq!(deployment.active().len(), 1, "{:?}", deployment.active());
    }
}

/// Stops in turn that overlap, over many hosts: somebody always does the work.
#[test]
fn the_work_never_rests_while_hosts_leave_and_start_in_any_order() {
    for seed in 0..200_u64 {
        let mut random = seed;
        let mut next = |max: u64| {
            random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
            (random >> 33) % max
        };
        let mut deployment = Deployment::start(4);
        for step in 1..30 {
            let index = next(4) as usize;
            let others_run = deployment.active().iter().any(|name| *name != format!("h{index}"));
            match deployment.hosts[index].own.leaving {
                false => deployment.hosts[index].own.leaving = true,
                // A host that does the work ends only when its grace period is over.
                true if others_run => {
                    let name = deployment.hosts[index].own.name.clone();
                    deployment.hosts[index] = Host::start(&name, step);
                }
                true => {}
            }
            deployment.run(next(6) as usize);
        }
        assert_eq!(deployment.longest_rest, Duration::ZERO, "seed {seed}");
    }
}
