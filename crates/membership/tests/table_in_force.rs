//! The table's versions: accepted edits come into force at every live host within
//! the promised time, and no host ever goes back, whatever happens beside.

mod common;

use std::time::Duration;

use common::Sim;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The promise; see docs/PROMISES.md.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);

/// How long trouble lets a newly accepted edit be. Before that only one host may
/// know it.
const HEAD_START: Duration = Duration::from_secs(2);

/// Random runs in CI; `ASPENLOFT_FUZZ_RUNS` asks for more.
const RUNS: u64 = 1_000;

/// How often a run looks at the hosts.
const LOOK: Duration = Duration::from_millis(250);

fn runs() -> u64 {
    let asked = std::env::var("ASPENLOFT_FUZZ_RUNS").ok();
    asked.and_then(|text| text.parse().ok()).unwrap_or(RUNS)
}

/// `Watcher` is the oracle: it knows since when each host has had no excuse, and
/// when each version was accepted.
struct Watcher {
    seed: u64,
    fit_since: Vec<Option<Duration>>,
    lives: Vec<u64>,
    accepted: Vec<(u64, Duration)>,
    trace: Vec<String>,
}

impl Watcher {
    /// Looks at all hosts.
    fn look(&mut self, sim: &Sim) {
        for (i, node) in sim.hosts.iter().enumerate() {
            let fit = node.up && !node.paused && node.side == 0;
            if !fit || self.lives[i] != node.life {
                self.fit_since[i] = None;
                self.lives[i] = node.life;
            }
            if fit {
                let since = *self.fit_since[i].get_or_insert(sim.elapsed);
                self.judge(sim, i, since);
            }
            let grows = node.versions.windows(2).all(|pair| pair[0] < pair[1]);
            assert!(grows, "seed {}: {:?} at {i}: {:#?}", self.seed, node.versions, self.trace);
        }
    }

    /// A host that has been fit for the promised time has what was accepted before.
    fn judge(&self, sim: &Sim, i: usize, since: Duration) {
        for (version, at) in &self.accepted {
            let due = since.max(*at) + IN_FORCE_WITHIN;
            let found = sim.hosts[i].version;
            assert!(
                sim.elapsed < due || found >= *version,
                "seed {}: version {found} at host {i}, {version} was accepted at {at:?}, now \
                 {:?}, fit since {since:?}: {:#?}",
                self.seed,
                sim.elapsed,
                self.trace
            );
        }
    }

    fn run(&mut self, sim: &mut Sim, span: Duration) {
        let ends = sim.elapsed + span;
        while sim.elapsed < ends {
            sim.run(LOOK.min(ends - sim.elapsed));
            self.look(sim);
        }
    }

    /// Has an edit accepted through host `i`, if it can be.
    fn edit(&mut self, sim: &mut Sim, i: usize, newest: &mut u64) {
        let node = &sim.hosts[i];
        let able = node.up && !node.paused && node.side == 0 && node.reaches_platform;
        // The service takes no edit while its own table is older than the hosts'.
        if !able || !sim.service_up || sim.service_version < node.version {
            return;
        }
        *newest = sim.service_version + 1;
        sim.service_version = *newest;
        sim.take_table(i, *newest);
        self.accepted.push((*newest, sim.elapsed));
        self.run(sim, HEAD_START);
    }
}

fn fuzz(seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let places = rng.random_range(1..=3);
    let count = rng.random_range(3..=9);
    let mut sim = Sim::new(count, 4, places, seed);
    sim.loss_permille = rng.random_range(0..20);
    sim.service_version = 1;
    let mut newest = 1;
    let mut watcher = Watcher {
        seed,
        fit_since: vec![None; count],
        lives: vec![0; count],
        accepted: vec![(1, sim.elapsed)],
        trace: Vec::new(),
    };
    watcher.run(&mut sim, Duration::from_secs(3));
    for _ in 0..rng.random_range(4..12) {
        let i = rng.random_range(0..count);
        let step = rng.random_range(0..10);
        watcher.trace.push(format!("{:?}: step {step} at host {i}", sim.elapsed));
        match step {
            0..=2 => watcher.edit(&mut sim, i, &mut newest),
            3 => sim.service_up = !sim.service_up,
            4 => sim.hosts[i].paused = !sim.hosts[i].paused,
            5 => sim.hosts[i].side ^= 1,
            // A host is replaced; with the service down its peers must help.
            6 if watcher.someone_else_keeps(&sim, i) => sim.start_host(i),
            7 if watcher.someone_else_keeps(&sim, i) => sim.crash(i),
            8 => sim.hosts[i].reaches_platform ^= true,
            // The service falls back to an older copy and is restored later.
            9 if newest > 1 => sim.service_version = newest - 1,
            _ => {}
        }
        let span = Duration::from_millis(rng.random_range(100..6_000));
        watcher.run(&mut sim, span);
        if sim.service_version < newest && rng.random() {
            newest += 1;
            sim.service_version = newest;
        }
    }
    settle(&mut sim, &mut watcher, newest);
}

impl Watcher {
    /// Tells whether another fit host has the newest version, so that losing host
    /// `i` loses nothing that only it knew.
    fn someone_else_keeps(&self, sim: &Sim, i: usize) -> bool {
        let newest = sim.hosts.iter().map(|node| node.version).max().unwrap_or_default();
        let others = sim.hosts.iter().enumerate().filter(|(other, _)| *other != i);
        let mut fit = others.filter(|(_, n)| n.up && !n.paused && n.side == 0);
        fit.any(|(_, node)| node.version == newest)
    }
}

/// Ends all trouble; then every host has the newest version, and every host's
/// report says so.
fn settle(sim: &mut Sim, watcher: &mut Watcher, newest: u64) {
    for i in 0..sim.hosts.len() {
        sim.hosts[i].paused = false;
        sim.hosts[i].side = 0;
        sim.hosts[i].reaches_platform = true;
    }
    sim.service_up = true;
    sim.service_version = newest;
    watcher.run(sim, Duration::from_secs(20));
    for i in sim.running() {
        let members = sim.hosts[i].membership.members(sim.now());
        for member in members {
            let truth = sim.hosts.iter().find(|node| node.host.name == member.host.name);
            let truth = truth.expect("a host");
            assert_eq!(member.live, truth.up, "seed {}: {member:?}", watcher.seed);
            if truth.up {
                assert_eq!(member.table_version, newest, "seed {}: {member:?}", watcher.seed);
            }
        }
    }
}

#[test]
fn a_thousand_random_sequences_keep_the_promise() {
    for seed in 0..runs() {
        fuzz(seed);
    }
}

#[test]
fn an_operator_sees_which_live_host_lacks_the_version() {
    let mut sim = Sim::new(6, 4, 2, 7);
    sim.service_version = 1;
    sim.run(Duration::from_secs(5));
    // Host 5 neither fetches nor watches, yet it is live: its word is what counts.
    sim.hosts[5]
        .force
        .offer(aspenloft_table::table::Table { version: 1_000, ..Default::default() })
        .expect("a table");
    sim.service_version = 2;
    sim.run(IN_FORCE_WITHIN);
    for i in 0..5 {
        let members = sim.hosts[i].membership.members(sim.now());
        let lacking: Vec<_> = members
            .iter()
            .filter(|m| m.live && m.table_version < 2)
            .map(|m| &m.host.name)
            .collect();
        assert_eq!(lacking, [&sim.hosts[5].host.name], "seen from host {i}");
    }
}

#[test]
fn a_host_cut_off_from_everyone_says_so_and_one_in_an_outage_does_not() {
    let mut sim = Sim::new(4, 4, 1, 8);
    sim.service_version = 1;
    sim.run(Duration::from_secs(5));
    sim.service_up = false;
    sim.run(Duration::from_secs(60));
    assert!((0..4).all(|i| !sim.hosts[i].membership.is_isolated(sim.now())));
    sim.hosts[2].side = 1;
    sim.run(sim.options.isolated_after + Duration::from_secs(2));
    assert!(sim.hosts[2].membership.is_isolated(sim.now()));
    assert!(!sim.hosts[1].membership.is_isolated(sim.now()));
    assert_eq!(sim.hosts[2].version, 1, "it keeps what it has");
    sim.hosts[2].side = 0;
    sim.run(Duration::from_secs(5));
    assert!(!sim.hosts[2].membership.is_isolated(sim.now()));
}
