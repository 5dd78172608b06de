//! Stateful fuzzing of the reservation account against a simple oracle.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use aspenloft_core::clock::{Clock, ManualClock};
use aspenloft_core::prelude::{RequestId, ReservationId};
use aspenloft_policy::reservations::{ReservationOptions, Reservations, SlotRequest, Start};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 300;
const STEPS: u32 = 400;

/// What the oracle knows of a holding: whether it runs, and when it lapses.
type Oracle = BTreeMap<u64, (bool, Instant)>;

fn seeds() -> std::ops::Range<u64> {
    // ASPENLOFT_FUZZ_SEEDS lengthens the run; the verdict of CI stays the same.
    let count = std::env::var("ASPENLOFT_FUZZ_SEEDS").ok().and_then(|text| text.parse().ok());
    0..count.unwrap_or(SEEDS)
}

fn ask(id: u64, starts: Instant, expected: u64, priority: u8) -> SlotRequest {
    SlotRequest {
        id: ReservationId(id),
        request: RequestId::from(format!("r{id}").as_str()),
        starts,
        expected: Duration::from_millis(expected),
        priority,
    }
}

#[test]
fn never_more_than_the_slots_and_no_leak() {
    for seed in seeds() {
        run(seed);
    }
}

fn run(seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let clock = ManualClock::default();
    let slots = random.random_range(1..6);
    let options = ReservationOptions::default();
    let mut account = Reservations::new(options);
    account.set_slots(slots);
    let mut oracle = Oracle::new();
    for step in 0..STEPS {
        clock.advance(Duration::from_millis(random.random_range(0..120)));
        let now = clock.now();
        oracle.retain(|_, (_, lapses)| *lapses > now);
        let pick = oracle.keys().nth(random.random_range(0..8)).copied().unwrap_or(0);
        match random.random_range(0..6) {
            0..2 => {
                let id = u64::from(step) + 1;
                let starts = now + Duration::from_millis(random.random_range(0..800));
                let expected = random.random_range(1..1_500);
                let asked = ask(id, starts, expected, random.random_range(0..10));
                if account.reserve(asked, now).is_ok() {
                    oracle.insert(id, (false, starts + options.slack));
                }
            }
            2 => {
                let longest = Duration::from_millis(random.random_range(1..3_000));
                let begun = account.start(ReservationId(pick), longest, now);
                let running = oracle.values().filter(|(running, _)| *running).count() as u32;
                match oracle.get_mut(&pick) {
                    None => assert_eq!(begun, Start::Expired, "seed {seed} step {step}"),
                    Some((true, _)) => assert_eq!(begun, Start::Started),
                    Some(held) if running < slots => {
                        assert_eq!(begun, Start::Started, "seed {seed} step {step}");
                        *held = (true, now + longest);
                    }
                    Some(_) => assert!(matches!(begun, Start::Wait(_)), "seed {seed} step {step}"),
                }
            }
            3 => {
                let released = account.release(ReservationId(pick));
                assert_eq!(released.is_some(), oracle.remove(&pick).is_some(), "seed {seed}");
            }
            4 => {
                let ends = now + Duration::from_millis(random.random_range(0..500));
                account.set_predicted_end(ReservationId(pick), ends);
            }
            _ => {
                let starts = now + Duration::from_millis(random.random_range(0..500));
                let stands = account.postpone(ReservationId(pick), starts, now);
                assert_eq!(stands, oracle.contains_key(&pick), "seed {seed} step {step}");
                // The later start moves the lapse of what has not begun.
                if let Some((false, lapses)) = oracle.get_mut(&pick) {
                    *lapses = (*lapses).max(starts + options.slack);
                }
            }
        }
        account.expire(now);
        let running = oracle.values().filter(|(running, _)| *running).count() as u32;
        assert_eq!(account.taken(), oracle.len() as u32, "seed {seed} step {step}");
        assert_eq!(account.running(), running, "seed {seed} step {step}");
        assert!(account.running() <= slots, "seed {seed} step {step}");
    }
    clock.advance(Duration::from_secs(60));
    account.expire(clock.now());
    assert_eq!(account.taken(), 0, "seed {seed}: a holding outlived its time");
}

#[test]
fn promises_a_slot_for_the_time_of_a_predicted_release() {
    let clock = ManualClock::default();
    let mut account = Reservations::default();
    account.set_slots(1);
    let now = clock.now();
    let later = now + Duration::from_millis(500);
    account.reserve(ask(1, now, 400, 5), now).expect("an empty server");
    assert_eq!(account.start(ReservationId(1), Duration::from_secs(9), now), Start::Started);
    let refused = account.reserve(ask(2, now, 100, 5), now).expect_err("the slot is in use");
    assert_eq!(refused.free_in, Duration::from_millis(400));
    account.reserve(ask(3, later, 100, 5), now).expect("the slot is free by then");
    account.reserve(ask(4, later, 100, 5), now).expect_err("that time is promised");
    // The prediction fails: the first stream still runs when the second would begin.
    clock.advance(Duration::from_millis(500));
    let begun = account.start(ReservationId(3), Duration::from_secs(9), clock.now());
    assert!(matches!(begun, Start::Wait(_)), "{begun:?}");
    account.release(ReservationId(1));
    let begun = account.start(ReservationId(3), Duration::from_secs(9), clock.now());
    assert_eq!(begun, Start::Started);
}

#[test]
fn keeps_headroom_from_low_priorities() {
    let now = ManualClock::default().now();
    let mut account = Reservations::default();
    account.set_slots(20);
    let low = (0..30).filter(|i| account.reserve(ask(*i, now, 100, 0), now).is_ok()).count();
    assert_eq!(low, 19);
    account.reserve(ask(90, now, 100, 9), now).expect("the headroom");
}
