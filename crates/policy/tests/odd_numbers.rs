//! Tests that decisions can be made with any numbers: they come from callers, servers and other
//! hosts.

use std::time::{Duration, Instant};

use aspenloft_core::clock::{after, bounded_seconds};
use aspenloft_policy::engine_memory::{RunForecast, peak_tokens};
use aspenloft_policy::role_split::{Demand, EngineSpeed, prefill_engines};
use aspenloft_policy::waiting::{
    ArrivalDecision, WaitOptions, WaitingRequest, decide_arrival, expected_wait,
};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const COUNTS: [u64; 7] = [0, 1, 100, u32::MAX as u64, i64::MAX as u64, u64::MAX - 1, u64::MAX];

const NUMBERS: [f64; 9] = [0.0, -0.0, 1e-320, 1.0, 1e300, f64::MAX, f64::INFINITY, f64::NAN, -1.0];

const PERIODS: [Duration; 5] = [
    Duration::ZERO,
    Duration::from_nanos(1),
    Duration::from_secs(60),
    Duration::from_secs(i64::MAX as u64),
    Duration::MAX,
];

#[test]
fn a_point_in_time_is_moved_beyond_its_limit() {
    let now = Instant::now();
    for period in PERIODS {
        assert!(after(now, period) >= now, "{period:?}");
    }
    for seconds in NUMBERS {
        let bounded = bounded_seconds(seconds, Duration::from_secs(60));
        assert!(bounded <= Duration::from_secs(60), "{seconds}");
        assert_eq!(bounded_seconds(seconds, Duration::MAX) > Duration::ZERO, seconds >= 1e-9);
    }
}

#[test]
fn forecasts_of_any_sizes_overflow() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut count = || *COUNTS.choose(&mut rng).expect("a count");
    for _ in 0..2_000 {
        let run = RunForecast::new(count(), count(), count(), count());
        let runs = [run, run.advanced(count()), RunForecast { held: count(), remaining: count() }];
        assert!(peak_tokens(&runs) >= run.held);
        let _ = expected_wait(vec![count(), count()], 7, Duration::from_millis(4));
    }
}

#[test]
fn waits_of_any_length_overflow() {
    let now = Instant::now();
    for arrival in PERIODS {
        for target in PERIODS {
            let arrived = after(now, arrival);
            let due = after(arrived, target);
            let request = WaitingRequest {
                id: 1,
                continues: false,
                priority: 1,
                arrived,
                due,
                deadline: due,
            };
            for expected in PERIODS {
                let decision = decide_arrival(&request, expected, now, &WaitOptions::default());
                let waits = decision == ArrivalDecision::Wait;
                assert!(waits || decision == ArrivalDecision::Refuse(expected));
            }
        }
    }
}

#[test]
fn engines_are_divided_by_any_demand() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    for _ in 0..2_000 {
        let mut number = || *NUMBERS.choose(&mut rng).expect("a number");
        let demand = Demand { prompt: number(), answer: number() };
        let (prefill_per_ms, memory) = (number(), number());
        let engines = rng.random_range(0..40);
        let prefill = rng.random_range(0..=engines);
        for step in [Duration::ZERO, Duration::from_millis(3), Duration::MAX] {
            let speed = EngineSpeed { prefill_per_ms, step, memory };
            assert!(prefill_engines(engines, prefill, demand, speed) <= engines);
        }
    }
}
