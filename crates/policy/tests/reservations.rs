//! Stateful fuzzing of `Reservations` against a simple model.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::clock::{Clock, ManualClock};
use aspenloft_core::prelude::{RequestId, ReservationId};
use aspenloft_policy::reservations::{ReservationOptions, Reservations, SlotRequest, StartOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 300;
const STEPS: u32 = 400;

/// The expected slots: whether each is running, and when it expires.
type Oracle = BTreeMap<u64, (bool, Instant)>;

fn seeds() -> std::ops::Range<u64> {
    // ASPENLOFT_FUZZ_SEEDS runs more seeds than the fixed number of CI.
    let count = std::env::var("ASPENLOFT_FUZZ_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count.unwrap_or(SEEDS)
}

fn slot_request(id: u64, starts: Instant, expected: u64, priority: u8) -> SlotRequest {
    SlotRequest {
        id: ReservationId(id),
        request: RequestId::from(format!("r{id}").as_str()),
        starts,
        expected: Duration::from_millis(expected),
        priority,
    }
}

#[test]
fn never_uses_more_than_the_slots_and_leaks_none() {
    for seed in seeds() {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let clock = ManualClock::default();
    let slots = random.random_range(1..6);
    let options = ReservationOptions::default();
    let mut reservations = Reservations::new(options);
    reservations.set_slots(slots);
    let mut oracle = Oracle::new();
    for step in 0..STEPS {
        clock.advance(Duration::from_millis(random.random_range(0..120)));
        let now = clock.now();
        oracle.retain(|_, (_, expires)| *expires > now);
        let pick = oracle.keys().nth(random.random_range(0..8)).copied().unwrap_or(0);
        match random.random_range(0..6) {
            0..2 => {
                let id = u64::from(step) + 1;
                let starts = now + Duration::from_millis(random.random_range(0..800));
                let expected = random.random_range(1..1_500);
                let req = slot_request(id, starts, expected, random.random_range(0..10));
                if reservations.reserve(req, now).is_ok() {
                    oracle.insert(id, (false, starts + options.slack));
                }
            }
            2 => {
                let longest = Duration::from_millis(random.random_range(1..3_000));
                let begun = reservations.start(ReservationId(pick), longest, now);
                let running = oracle.values().filter(|(running, _)| *running).count() as u32;
                match oracle.get_mut(&pick) {
                    None => assert_eq!(begun, StartOutcome::Expired, "seed {seed} step {step}"),
                    Some((true, _)) => assert_eq!(begun, StartOutcome::Started),
                    Some(held) if running < slots => {
                        assert_eq!(begun, StartOutcome::Started, "seed {seed} step {step}");
                        *held = (true, now + longest);
                    }
                    Some(_) => {
                        assert!(matches!(begun, StartOutcome::Wait(_)), "seed {seed} step {step}")
                    }
                }
            }
            3 => {
                let released = reservations.release(ReservationId(pick));
                assert_eq!(released.is_some(), oracle.remove(&pick).is_some(), "seed {seed}");
            }
            4 => {
                let ends = now + Duration::from_millis(random.random_range(0..500));
                reservations.set_predicted_end(ReservationId(pick), ends);
            }
            _ => {
                let starts = now + Duration::from_millis(random.random_range(0..500));
                let exists = reservations.postpone(ReservationId(pick), starts, now);
                assert_eq!(exists, oracle.contains_key(&pick), "seed {seed} step {step}");
                // Postponing also postpones the expiry of a slot that has not started.
                if let Some((false, expires)) = oracle.get_mut(&pick) {
                    *expires = (*expires).max(starts + options.slack);
                }
            }
        }
        reservations.expire(now);
        let running = oracle.values().filter(|(running, _)| *running).count() as u32;
        assert_eq!(reservations.taken(), oracle.len() as u32, "seed {seed} step {step}");
        assert_eq!(reservations.running(), running, "seed {seed} step {step}");
        assert!(reservations.running() <= slots, "seed {seed} step {step}");
    }
    clock.advance(Duration::from_secs(60));
    reservations.expire(clock.now());
    assert_eq!(reservations.taken(), 0, "seed {seed}: a slot was not released after its expiry");
}

#[test]
fn reserves_a_slot_from_the_time_of_its_predicted_release() {
    let clock = ManualClock::default();
    let mut reservations = Reservations::default();
    reservations.set_slots(1);
    let now = clock.now();
    let later = now + Duration::from_millis(500);
    reservations.reserve(slot_request(1, now, 400, 5), now).expect("an empty server");
    assert_eq!(
        reservations.start(ReservationId(1), Duration::from_secs(9), now),
        StartOutcome::Started
    );
    let refused =
        reservations.reserve(slot_request(2, now, 100, 5), now).expect_err("the slot is in use");
    assert_eq!(refused.free_in, Duration::from_millis(400));
    reservations.reserve(slot_request(3, later, 100, 5), now).expect("the slot is free by then");
    reservations.reserve(slot_request(4, later, 100, 5), now).expect_err("that time is reserved");
    // The first stream runs past its predicted end, so the second cannot start yet.
    clock.advance(Duration::from_millis(500));
    let begun = reservations.start(ReservationId(3), Duration::from_secs(9), clock.now());
    assert!(matches!(begun, StartOutcome::Wait(_)), "{begun:?}");
    reservations.release(ReservationId(1));
    let begun = reservations.start(ReservationId(3), Duration::from_secs(9), clock.now());
    assert_eq!(begun, StartOutcome::Started);
}

#[test]
fn keeps_headroom_from_low_priorities() {
    let now = ManualClock::default().now();
    let mut reservations = Reservations::default();
    reservations.set_slots(20);
    let low = (0..30)
        .filter(|i| reservations.reserve(slot_request(*i, now, 100, 0), now).is_ok())
        .count();
    assert_eq!(low, 19);
    reservations.reserve(slot_request(90, now, 100, 9), now).expect("the headroom");
}
