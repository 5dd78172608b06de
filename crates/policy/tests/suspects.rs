//! Identification of requests that crash servers, in a simulated fleet that follows the
//! placement rule: a suspect runs only on a server that runs no other suspect.

use std::time::{Duration, Instant};

use aspenloft_policy::suspects::{
    CONVICTION_TTL, Fingerprint, MAX_FINGERPRINTS, SuspectRegistry, SuspectStatus, Verdict,
};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 500;
const SERVERS: usize = 10;
const SLOTS: usize = 20;
const HOSTS: usize = 6;
const POISON: Fingerprint = Fingerprint(u64::MAX);

/// A fleet whose hosts exchange verdicts before a caller can retry.
struct Fleet {
    rng: Pcg64Mcg,
    now: Instant,
    registries: Vec<SuspectRegistry>,
    running: Vec<Vec<Fingerprint>>,
    crashed: usize,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        Fleet {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Instant::now(),
            registries: vec![SuspectRegistry::default(); HOSTS],
            running: vec![Vec::new(); SERVERS],
            crashed: 0,
        }
    }

    fn broadcast(&mut self, verdicts: &[Verdict]) {
        for registry in &mut self.registries {
            registry.merge_verdicts(verdicts, self.now);
        }
    }

    /// Places a request that arrives at a random host; returns `false` when it is refused.
    fn place(&mut self, request: Fingerprint) -> bool {
        let host = self.rng.random_range(0..HOSTS);
        let status = self.registries[host].status(request, self.now);
        let suspects = |running: &[Fingerprint]| {
            running
                .iter()
                .any(|f| self.registries[host].status(*f, self.now) == SuspectStatus::Suspect)
        };
        let open = (0..SERVERS).filter(|s| self.running[*s].len() < SLOTS);
        let server = match status {
            SuspectStatus::Convicted => None,
            SuspectStatus::Suspect => {
                open.filter(|s| !suspects(&self.running[*s])).choose(&mut self.rng)
            }
            SuspectStatus::Clear => open.choose(&mut self.rng),
        };
        if let Some(server) = server {
            self.running[server].push(request);
        }
        server.is_some()
    }

    /// Crashes the server that runs the poisonous request, if any, and returns the requests
    /// that it was running.
    fn crash(&mut self) -> Vec<Fingerprint> {
        let Some(server) = self.running.iter().position(|r| r.contains(&POISON)) else {
            return Vec::new();
        };
        self.crashed += 1;
        let lost = std::mem::take(&mut self.running[server]);
        let home = self.rng.random_range(0..HOSTS);
        let verdicts = self.registries[home].record_server_death(&lost, self.now);
        self.broadcast(&verdicts);
        lost
    }

    fn finish_some(&mut self) {
        let server = self.rng.random_range(0..SERVERS);
        let Some(done) = self.running[server].pop() else { return };
        assert_ne!(done, POISON, "the poisonous request never finishes");
        let home = self.rng.random_range(0..HOSTS);
        if let Some(verdict) = self.registries[home].record_finished(done, self.now) {
            self.broadcast(&[verdict]);
        }
    }
}

#[test]
fn one_poisonous_request_crashes_at_most_two_servers() {
    for seed in 0..SEEDS {
        let mut fleet = Fleet::new(seed);
        let mut waiting: Vec<Fingerprint> = Vec::new();
        let (mut next, mut convicted_at) = (0, None);
        for step in 0..3_000_u32 {
            fleet.now += Duration::from_millis(10);
            if fleet.rng.random_range(0..4) > 0 {
                next += 1;
                fleet.place(Fingerprint(next));
            }
            // The caller retries the poisonous request repeatedly.
            let sent = step % 50 == 0 && !fleet.running.iter().any(|r| r.contains(&POISON));
            if sent && !fleet.place(POISON) {
                let status = fleet.registries[0].status(POISON, fleet.now);
                if status == SuspectStatus::Convicted {
                    convicted_at.get_or_insert(step);
                }
            }
            if fleet.rng.random_range(0..10) == 0 {
                // The router itself retries the other requests of the crashed server.
                let lost = fleet.crash();
                waiting.extend(lost.into_iter().filter(|f| *f != POISON));
            } else {
                let poisoned = fleet.running.iter().any(|r| r.last() == Some(&POISON));
                if !poisoned {
                    fleet.finish_some();
                }
            }
            waiting.retain(|request| !fleet.place(*request));
        }
        assert!(fleet.crashed <= 2, "seed {seed}: {} servers crashed", fleet.crashed);
        assert!(convicted_at.is_some(), "seed {seed}: never convicted");
        assert!(waiting.is_empty(), "seed {seed}: innocent requests were not retried");
    }
}

#[test]
fn a_late_verdict_does_not_weaken_a_conviction() {
    let now = Instant::now();
    let mut registry = SuspectRegistry::default();
    registry.merge_verdicts(
        &[Verdict { fingerprint: POISON, standing: SuspectStatus::Convicted }],
        now,
    );
    registry
        .merge_verdicts(&[Verdict { fingerprint: POISON, standing: SuspectStatus::Suspect }], now);
    registry
        .merge_verdicts(&[Verdict { fingerprint: POISON, standing: SuspectStatus::Clear }], now);
    assert_eq!(registry.status(POISON, now), SuspectStatus::Convicted);
    assert_eq!(registry.status(POISON, now + CONVICTION_TTL), SuspectStatus::Clear);
}

#[test]
fn other_requests_stay_clear_when_the_only_suspect_crashes_another_server() {
    let now = Instant::now();
    let mut registry = SuspectRegistry::default();
    registry.record_server_death(&[POISON, Fingerprint(1)], now);
    registry.record_finished(Fingerprint(1), now);
    let verdicts = registry.record_server_death(&[Fingerprint(2), POISON, Fingerprint(3)], now);
    assert_eq!(verdicts, [Verdict { fingerprint: POISON, standing: SuspectStatus::Convicted }]);
    assert_eq!(registry.status(Fingerprint(2), now), SuspectStatus::Clear);
}

#[test]
fn memory_is_bounded_and_convictions_are_evicted_last() {
    let now = Instant::now();
    let mut registry = SuspectRegistry::default();
    registry.merge_verdicts(
        &[Verdict { fingerprint: POISON, standing: SuspectStatus::Convicted }],
        now,
    );
    let many: Vec<Fingerprint> = (0..2 * MAX_FINGERPRINTS as u64).map(Fingerprint).collect();
    registry.record_server_death(&many, now);
    assert_eq!(registry.len(), MAX_FINGERPRINTS);
    assert_eq!(registry.status(POISON, now), SuspectStatus::Convicted);
}
