//! Tests which hosts are live, the homes that follow from them, and how fast all
//! hosts agree.

mod common;

use std::time::Duration;

use common::Sim;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The time within which all live hosts agree on homes after the last event; see
/// docs/PROMISES.md.
const AGREE_WITHIN: Duration = Duration::from_secs(20);

/// The time within which the death of a host is detected in its data centre.
const LOCAL_DEATH_WITHIN: Duration = Duration::from_secs(8);

/// The default number of random runs; `ASPENLOFT_FUZZ_RUNS` overrides it.
const RUNS: u64 = 120;

fn runs(default: u64) -> u64 {
    let setting = std::env::var("ASPENLOFT_FUZZ_RUNS").ok();
    setting.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn all_hosts_agree_after_start() {
    let mut sim = Sim::new(9, 30, 3, 1);
    sim.run(Duration::from_secs(5));
    assert_eq!(sim.disagreement(), None);
    assert!(sim.homes_at(0).iter().all(Option::is_some));
}

#[test]
fn a_silent_host_loses_its_homes_though_it_stays_listed() {
    let mut sim = Sim::new(12, 60, 3, 2);
    sim.run(Duration::from_secs(10));
    let before = sim.homes_at(0);
    let gone = sim.hosts[3].host.name.clone();
    sim.crash(3);
    sim.run(LOCAL_DEATH_WITHIN);
    let after = sim.homes_at(0);
    assert!(after.iter().flatten().all(|home| *home != gone));
    // Only the servers of the lost host move.
    for (before, after) in before.iter().zip(&after) {
        assert!(before == after || *before == Some(gone.clone()));
    }
    sim.run(AGREE_WITHIN);
    assert_eq!(sim.disagreement(), None);
}

#[test]
fn a_leaving_host_loses_its_homes_within_three_seconds() {
    let mut sim = Sim::new(9, 40, 1, 3);
    sim.run(Duration::from_secs(10));
    let leaving = sim.hosts[4].host.name.clone();
    let now = sim.now();
    sim.hosts[4].membership.handle(aspenloft_membership::state_machine::Event::Leaving, now);
    sim.run(Duration::from_secs(3));
    for i in 0..9 {
        if i != 4 {
            assert!(sim.homes_at(i).iter().flatten().all(|home| *home != leaving), "host {i}");
        }
    }
}

#[test]
fn an_unlisted_host_becomes_a_home_only_after_probation() {
    let mut sim = Sim::new(6, 40, 1, 4);
    let unlisted = sim.listed.remove(5);
    sim.crash(5);
    sim.run(Duration::from_secs(20));
    sim.start_host(5);
    // The list names the other hosts but not this one.
    sim.run(sim.options.unlisted_probation / 2);
    assert!(sim.homes_at(0).iter().flatten().all(|home| *home != unlisted.name));
    sim.run(AGREE_WITHIN);
    assert!(sim.homes_at(0).iter().flatten().any(|home| *home == unlisted.name));
    assert_eq!(sim.disagreement(), None);
}

#[test]
fn a_paused_host_does_not_consider_the_others_dead() {
    let mut sim = Sim::new(9, 40, 1, 5);
    sim.run(Duration::from_secs(10));
    let before = sim.homes_at(2);
    sim.hosts[2].paused = true;
    sim.run(Duration::from_secs(60));
    sim.hosts[2].paused = false;
    // The process resumes before its network; its homes must not change.
    sim.hosts[2].side = 1;
    for _ in 0..40 {
        sim.run(Duration::from_millis(100));
        assert_eq!(sim.homes_at(2), before);
    }
    sim.hosts[2].side = 0;
    sim.run(AGREE_WITHIN);
    assert_eq!(sim.disagreement(), None);
}

#[test]
fn a_clock_set_back_does_not_hide_a_replaced_host() {
    let mut sim = Sim::new(4, 20, 1, 6);
    sim.run(Duration::from_secs(10));
    let now = sim.now();
    let host = sim.hosts[1].host.clone();
    let options = sim.options.clone();
    // The replacement's clock is behind, so its incarnation is lower than the old one.
    sim.hosts[1].membership =
        aspenloft_membership::state_machine::Membership::new(host, 1, options, now);
    sim.hosts[1].fleet = Default::default();
    // The other hosts must consider it live throughout.
    for _ in 0..30 {
        sim.run(Duration::from_millis(500));
        let members = sim.hosts[0].membership.members(sim.now());
        assert!(members.iter().all(|member| member.live), "{members:?}");
    }
    assert_eq!(sim.disagreement(), None);
}

/// Runs random joins, crashes, partitions, pauses and stale lists, and then a period
/// without faults in which all hosts must agree.
fn fuzz(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let data_centres = rng.random_range(1..=3);
    let count = rng.random_range(4..=14);
    let mut sim = Sim::new(count, 30, data_centres, seed);
    sim.loss_permille = rng.random_range(0..100);
    let mut trace = Vec::new();
    for _ in 0..rng.random_range(3..15) {
        let i = rng.random_range(0..count);
        let step = rng.random_range(0..9);
        trace.push((step, i, sim.elapsed));
        match step {
            0 => sim.crash(i),
            1 | 2 => sim.start_host(i),
            3 => sim.hosts[i].paused = true,
            4 => sim.hosts[i].paused = false,
            5 => sim.hosts[i].side = 1,
            6 => sim.list_up = !sim.list_up,
            7 => {
                // The list drops or adds a host, whether it is up or not.
                let host = sim.hosts[i].host.clone();
                match sim.listed.iter().position(|listed| listed.name == host.name) {
                    Some(at) => drop(sim.listed.remove(at)),
                    None => sim.listed.push(host),
                }
            }
            _ => sim.hosts[i].reaches_platform ^= true,
        }
        sim.run(Duration::from_millis(rng.random_range(100..12_000)));
    }
    // No more faults: the network is not partitioned, the list is accurate, and half
    // of the stopped hosts are restarted.
    for i in 0..count {
        sim.hosts[i].side = 0;
        sim.hosts[i].paused = false;
        sim.hosts[i].reaches_platform = true;
        if !sim.hosts[i].up && i % 2 == 0 {
            sim.start_host(i);
        }
    }
    sim.list_up = true;
    let up = sim.hosts.iter().filter(|node| node.up);
    sim.listed = up.map(|node| node.host.clone()).collect();
    sim.run(AGREE_WITHIN);
    if let Some(found) = sim.disagreement() {
        panic!("seed {seed}: hosts disagree: {found}\n{trace:#?}");
    }
    // The expected homes are those computed from the hosts that are running.
    let live = sim.running().into_iter().map(|i| sim.hosts[i].host.clone()).collect();
    let oracle = aspenloft_membership::fleet::Fleet::new(live, sim.backends.clone());
    for i in sim.running() {
        for backend in &sim.backends {
            let found = sim.hosts[i].fleet.home(&backend.name).map(|home| &home.name);
            let expected = oracle.home(&backend.name).map(|home| &home.name);
            assert_eq!(found, expected, "seed {seed}, {} at {i}: {trace:#?}", backend.name);
        }
    }
}

#[test]
fn hosts_agree_after_random_faults() {
    for seed in 0..runs(RUNS) {
        fuzz(seed);
    }
}
