//! The request that crashes servers, against a small fleet that obeys the rule of
//! placement: a suspect runs only where no other suspect runs.

use std::time::{Duration, Instant};

use aspenloft_policy::suspects::{
    CONVICTION_LIFE, Fingerprint, MAX_REMEMBERED, SuspectBook, SuspectStatus, Verdict,
};
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 500;
const SERVERS: usize = 10;
const SLOTS: usize = 20;
const HOSTS: usize = 6;
const POISON: Fingerprint = Fingerprint(u64::MAX);

/// A fleet whose hosts share what they learn before a caller can send again.
struct Fleet {
    rng: Pcg64Mcg,
    now: Instant,
    books: Vec<SuspectBook>,
    running: Vec<Vec<Fingerprint>>,
    fallen: usize,
}

impl Fleet {
    fn new(seed: u64) -> Fleet {
        Fleet {
            rng: Pcg64Mcg::seed_from_u64(seed),
            now: Instant::now(),
            books: vec![SuspectBook::default(); HOSTS],
            running: vec![Vec::new(); SERVERS],
            fallen: 0,
        }
    }

    fn spread(&mut self, verdicts: &[Verdict]) {
        for book in &mut self.books {
            book.learn(verdicts, self.now);
        }
    }

    /// Places a request that enters by a random host; `false` when it is refused.
    fn place(&mut self, request: Fingerprint) -> bool {
        let host = self.rng.random_range(0..HOSTS);
        let standing = self.books[host].standing(request, self.now);
        let suspects = |running: &[Fingerprint]| {
            running
                .iter()
                .any(|f| self.books[host].standing(*f, self.now) == SuspectStatus::Suspect)
        };
        let open = (0..SERVERS).filter(|s| self.running[*s].len() < SLOTS);
        let server = match standing {
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

    /// Lets a server die if it runs the poisonous request; its work is sent again.
    fn crash(&mut self) -> Vec<Fingerprint> {
        let Some(server) = self.running.iter().position(|r| r.contains(&POISON)) else {
            return Vec::new();
        };
        self.fallen += 1;
        let lost = std::mem::take(&mut self.running[server]);
        let home = self.rng.random_range(0..HOSTS);
        let verdicts = self.books[home].server_died(&lost, self.now);
        self.spread(&verdicts);
        lost
    }

    fn finish_some(&mut self) {
        let server = self.rng.random_range(0..SERVERS);
        let Some(done) = self.running[server].pop() else { return };
        assert_ne!(done, POISON, "the poisonous request never finishes");
        let home = self.rng.random_range(0..HOSTS);
        if let Some(verdict) = self.books[home].finished(done, self.now) {
            self.spread(&[verdict]);
        }
    }
}

#[test]
fn at_most_two_servers_fall_to_one_poisonous_request() {
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
            // Its caller sends it again and again.
            let sent = step % 50 == 0 && !fleet.running.iter().any(|r| r.contains(&POISON));
            if sent && !fleet.place(POISON) {
                let standing = fleet.books[0].standing(POISON, fleet.now);
                if standing == SuspectStatus::Convicted {
                    convicted_at.get_or_insert(step);
                }
            }
            if fleet.rng.random_range(0..10) == 0 {
                // What else was running is tried again by the router itself.
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
        assert!(fleet.fallen <= 2, "seed {seed}: {} servers fell", fleet.fallen);
        assert!(convicted_at.is_some(), "seed {seed}: never refused for good");
        assert!(waiting.is_empty(), "seed {seed}: innocent requests never ran again");
    }
}

#[test]
fn a_late_suspicion_does_not_soften_a_conviction() {
    let now = Instant::now();
    let mut book = SuspectBook::default();
    book.learn(&[Verdict { fingerprint: POISON, standing: SuspectStatus::Convicted }], now);
    book.learn(&[Verdict { fingerprint: POISON, standing: SuspectStatus::Suspect }], now);
    book.learn(&[Verdict { fingerprint: POISON, standing: SuspectStatus::Clear }], now);
    assert_eq!(book.standing(POISON, now), SuspectStatus::Convicted);
    assert_eq!(book.standing(POISON, now + CONVICTION_LIFE), SuspectStatus::Clear);
}

#[test]
fn the_innocent_stay_clear_when_the_only_suspect_kills_again() {
    let now = Instant::now();
    let mut book = SuspectBook::default();
    book.server_died(&[POISON, Fingerprint(1)], now);
    book.finished(Fingerprint(1), now);
    let verdicts = book.server_died(&[Fingerprint(2), POISON, Fingerprint(3)], now);
    assert_eq!(verdicts, [Verdict { fingerprint: POISON, standing: SuspectStatus::Convicted }]);
    assert_eq!(book.standing(Fingerprint(2), now), SuspectStatus::Clear);
}

#[test]
fn memory_is_bounded_and_convictions_stay_longest() {
    let now = Instant::now();
    let mut book = SuspectBook::default();
    book.learn(&[Verdict { fingerprint: POISON, standing: SuspectStatus::Convicted }], now);
    let many: Vec<Fingerprint> = (0..2 * MAX_REMEMBERED as u64).map(Fingerprint).collect();
    book.server_died(&many, now);
    assert_eq!(book.len(), MAX_REMEMBERED);
    assert_eq!(book.standing(POISON, now), SuspectStatus::Convicted);
}
