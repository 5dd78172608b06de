//! Limits of backend servers over all hosts together: however hosts ask, start, stop and
//! are cut off from each other, a server gets no more requests than its limit allows.

use std::time::{Duration, Instant};

use aspenloft_policy::request_pacer::{Booking, RequestPacer, booked_rate};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const WINDOW: Duration = Duration::from_secs(4);
const STEP: Duration = Duration::from_millis(5);
/// How long after a cut hosts notice that they do not hear of each other.
const DETECTION: Duration = Duration::from_secs(3);

/// Asserts that `sent` keeps the platform's bound for a limit of `per_s`: one and a half
/// times what it allows, and five requests, in any window.
fn assert_within(sent: &mut [Instant], per_s: f64, what: &str) {
    sent.sort();
    let allowed = (1.5 * per_s * WINDOW.as_secs_f64() + 5.0) as usize;
    let mut first = 0;
    for (last, at) in sent.iter().enumerate() {
        while *at - sent[first] >= WINDOW {
            first += 1;
        }
        let count = last - first + 1;
        assert!(count <= allowed, "{what}: {count} requests in 4 s, allowed {allowed}");
    }
}

/// Hosts that ask the home of their part of the deployment while it is divided.
#[test]
fn a_divided_deployment_exceeds_the_limit_of_a_server() {
    for (seed, hosts) in (0..60).zip([3_usize, 12, 74].into_iter().cycle()) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let per_s = rng.random_range(0.1..60.0);
        let start = Instant::now();
        let mut now = start;
        let mut sent = Vec::new();
        // The part of each host, as connected and as noticed, and the pacer of each part.
        let mut part = vec![0_usize; hosts];
        let mut noticed = part.clone();
        let mut changed = now;
        let mut homes: Vec<Option<RequestPacer>> = vec![None; 3];
        while now < start + Duration::from_secs(60) {
            now += STEP;
            if rng.random_bool(0.001) {
                changed = now;
                let parts = rng.random_range(1..=3);
                part.iter_mut().for_each(|p| *p = rng.random_range(0..parts));
            }
            if now >= changed + DETECTION {
                noticed.clone_from(&part);
            }
            for _ in 0..rng.random_range(0..4) {
                let host = rng.random_range(0..hosts);
                // A host that is cut off from its home reaches nobody.
                if part[host] != noticed[host] {
                    continue;
                }
                let live = noticed.iter().filter(|p| **p == noticed[host]).count();
                let rate = booked_rate(per_s, live, hosts);
                let home = homes[noticed[host]].get_or_insert_with(|| RequestPacer::new(rate, now));
                home.set_rate(rate, now);
                if let Booking::Granted(wait) = home.book(Duration::from_millis(300), now) {
                    sent.push(now + wait);
                }
            }
            // The home of a part starts again.
            if rng.random_bool(0.002) {
                homes[rng.random_range(0..3)] = None;
            }
        }
        assert_within(&mut sent, per_s.max(0.2), &format!("seed {seed}, {hosts} hosts"));
    }
}

#[test]
fn an_overloaded_server_gets_its_whole_limit() {
    for per_s in [0.3, 1.4, 3.6, 50.0] {
        let start = Instant::now();
        let mut pacer = RequestPacer::new(per_s, start);
        let mut granted = 0;
        for step in 0..12_000 {
            let now = start + STEP * step;
            if let Booking::Granted(_) = pacer.book(Duration::from_millis(200), now) {
                granted += 1;
            }
        }
        let expected = per_s * 60.0;
        assert!(f64::from(granted) > expected * 0.95 - 1.0, "{granted} of {expected}");
        assert!(f64::from(granted) <= expected * 1.02 + 2.0, "{granted} of {expected}");
    }
}

#[test]
fn a_refusal_reports_when_there_is_room() {
    let now = Instant::now();
    let mut pacer = RequestPacer::new(2.0, now);
    let Booking::Refused(wait) = pacer.book(Duration::ZERO, now) else { panic!("granted") };
    let then = now + wait;
    assert_eq!(pacer.book(Duration::ZERO, then), Booking::Granted(Duration::ZERO));
    assert_eq!(pacer.book(Duration::ZERO, then), Booking::Refused(Duration::from_millis(500)));
}

#[test]
fn a_changed_rate_applies_to_the_next_request() {
    let now = Instant::now();
    let mut pacer = RequestPacer::new(0.0, now);
    let Booking::Refused(wait) = pacer.book(Duration::ZERO, now) else { panic!("granted") };
    assert!(wait > Duration::from_secs(30), "{wait:?}");
    pacer.set_rate(10.0, now);
    let wait = match pacer.book(Duration::from_secs(1), now) {
        Booking::Granted(wait) | Booking::Refused(wait) => wait,
    };
    assert!(wait <= Duration::from_millis(100), "{wait:?}");
}

/// Above some 2e9 requests a second the ratio of two intervals was no number, and the pacer
/// panicked.
#[test]
fn a_limit_as_good_as_none_makes_the_pacer_panic() {
    let rates = [4_294_967_295.0, 2e9, 1e18, f64::MAX, f64::INFINITY, f64::NAN, -1.0, 0.0, 1e-320];
    let now = Instant::now();
    for first in rates {
        for next in rates.into_iter().chain([5.0]) {
            let mut pacer = RequestPacer::new(booked_rate(first, 2, 3), now);
            pacer.set_rate(first, now);
            let _ = pacer.book(Duration::MAX, now);
            pacer.set_rate(next, now);
            let (Booking::Granted(wait) | Booking::Refused(wait)) = pacer.book(Duration::MAX, now);
            assert!(wait <= Duration::from_secs(180), "{first} then {next}: {wait:?}");
        }
        let mut pacer = RequestPacer::new(first, now);
        let is_granted =
            |_: &u32| pacer.book(Duration::ZERO, now) == Booking::Granted(Duration::ZERO);
        let granted = (0..1_000).filter(is_granted).count();
        if first >= 2e9 {
            assert_eq!(granted, 1_000, "at {first}");
        }
    }
}
