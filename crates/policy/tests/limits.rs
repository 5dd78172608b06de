//! Limits over all hosts together: in any sequence of changes of hosts and homes, no more
//! requests pass than the bucket has issued permits.

use std::time::{Duration, Instant};

use aspenloft_core::prelude::Name;
use aspenloft_policy::concurrency::{InFlightCounter, LEASE_TTL};
use aspenloft_policy::limits::{
    PERMIT_TTL, PermitBucket, PermitPool, SpendOutcome, fallback_rate, issued_rate,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const SEEDS: u64 = 200;
const STEPS: u32 = 2_000;

/// Spends one permit at a host, drawing from the home when needed.
fn request(pool: &mut PermitPool, home: &mut PermitBucket, now: Instant) -> bool {
    let mut spend = pool.spend(now);
    if let SpendOutcome::Draw(wanted) = spend {
        let draw = home.draw(wanted, now);
        pool.record_draw(draw, now);
        spend = pool.retry_spend(now);
    }
    spend == SpendOutcome::Granted
}

#[test]
fn never_passes_more_than_the_limit_while_homes_and_hosts_change() {
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let start = Instant::now();
        let rate = rng.random_range(1.0..500.0);
        let hosts = rng.random_range(1..40);
        let mut now = start;
        let mut home = PermitBucket::new(rate, now);
        let mut pools = vec![PermitPool::new(now); hosts];
        let mut passed = 0_u64;
        for _ in 0..STEPS {
            now += Duration::from_micros(rng.random_range(0..20_000));
            let host = rng.random_range(0..hosts);
            match rng.random_range(0..500) {
                // The home fails and another host becomes the home of the limit.
                0 => home = PermitBucket::new(rate, now),
                // A host is replaced.
                1 => pools[host] = PermitPool::new(now),
                _ => passed += u64::from(request(&mut pools[host], &mut home, now)),
            }
            let filled = rate * (now - start).as_secs_f64();
            assert!(passed as f64 <= filled + 1.0, "seed {seed}: {passed} passed of {filled}");
        }
    }
}

#[test]
fn passes_nearly_all_of_the_limit_under_overload() {
    for seed in 0..20 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let start = Instant::now();
        let (rate, hosts) = (100.0, 7);
        let mut home = PermitBucket::new(rate, start);
        let mut pools = vec![PermitPool::new(start); hosts];
        let mut passed = 0_u64;
        let mut now = start;
        while now - start < Duration::from_secs(30) {
            now += Duration::from_millis(5);
            passed += u64::from(request(&mut pools[rng.random_range(0..hosts)], &mut home, now));
        }
        let used = passed as f64 / (rate * 30.0);
        assert!(used > 0.95, "seed {seed}: only {used} of the limit was used");
    }
}

#[test]
fn unspent_permits_of_an_idle_host_expire() {
    let start = Instant::now();
    let later = start + PERMIT_TTL + Duration::from_millis(1);
    let mut home = PermitBucket::new(1_000.0, start);
    let mut pool = PermitPool::new(start);
    pool.record_draw(home.draw(50, start + Duration::from_secs(1)), start);
    assert_eq!(pool.available(), 50);
    assert!(matches!(pool.spend(later), SpendOutcome::Draw(_)));
}

#[test]
fn a_refusal_states_when_the_next_permit_is_expected() {
    let start = Instant::now();
    let mut home = PermitBucket::new(0.5, start);
    let draw = home.draw(1, start);
    assert_eq!((draw.permits, draw.retry_after), (0, Duration::from_secs(2)));
    let mut pool = PermitPool::new(start);
    pool.record_draw(draw, start);
    assert_eq!(pool.spend(start), SpendOutcome::Refused(Duration::from_secs(2)));
    assert_eq!(home.draw(1, start + Duration::from_secs(2)).permits, 1);
}

#[test]
fn fallback_shares_and_the_issued_rate_do_not_exceed_the_limit() {
    for listed in 1..50_usize {
        for silent in 0..listed {
            let alone = fallback_rate(100.0, listed) * silent as f64;
            let sum = issued_rate(100.0, listed, silent) + alone;
            assert!(sum <= 100.0 + 1e-9, "{listed} listed, {silent} silent: {sum}");
        }
    }
}

#[test]
fn late_answers_of_a_home_and_fallback_shares_stay_within_the_rate() {
    const RATE: f64 = 20.0;
    const HOSTS: usize = 3;
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let start = Instant::now();
        let mut home = PermitBucket::new(RATE, start);
        let mut pools = vec![PermitPool::new(start); HOSTS];
        let mut shares = vec![PermitBucket::new(fallback_rate(RATE, HOSTS), start); HOSTS];
        let mut passed = 0;
        for step in 0..500 {
            let now = start + Duration::from_millis(step * 20);
            for (pool, share) in pools.iter_mut().zip(&mut shares) {
                match pool.spend(now) {
                    SpendOutcome::Granted => passed += 1,
                    SpendOutcome::Refused(_) => {}
                    // The home issues, but its answer comes too late to be used.
                    SpendOutcome::Draw(wanted) if rng.random_bool(0.3) => {
                        home.draw(wanted, now);
                        if pool.record_unanswered(now) {
                            pool.add_borrowed(share.draw(1, now), now);
                        }
                    }
                    SpendOutcome::Draw(wanted) => {
                        pool.record_draw(home.draw(wanted, now), now);
                        *share = PermitBucket::new(fallback_rate(RATE, HOSTS), now);
                    }
                }
                let filled = RATE * (now - start).as_secs_f64();
                assert!(f64::from(passed) <= filled + 1.0, "seed {seed}: {passed} of {filled}");
            }
        }
    }
}

#[test]
fn a_host_uses_its_own_share_while_its_home_stays_silent() {
    const RATE: f64 = 20.0;
    let start = Instant::now();
    let mut pool = PermitPool::new(start);
    let mut share = PermitBucket::new(fallback_rate(RATE, 4), start);
    let mut passed = 0;
    for step in 0..500 {
        let now = start + Duration::from_millis(step * 20);
        if pool.spend(now) == SpendOutcome::Granted {
            passed += 1;
        } else if pool.record_unanswered(now) {
            pool.add_borrowed(share.draw(1, now), now);
        }
    }
    // Ten seconds at five per second, less the timeout of the home and a permit or two.
    assert!((40..=50).contains(&passed), "{passed} passed");
}

#[test]
fn requests_in_flight_stay_within_the_stated_bound() {
    const LIMIT: u32 = 40;
    // Eight hosts renew in turn, each once a second, in steps of 5 ms.
    const RENEW_STEPS: u32 = 25;
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let names: Vec<Name> = (0..8).map(|i| format!("h{i}").into()).collect();
        let mut held = vec![0_u32; names.len()];
        let mut now = Instant::now();
        let mut home = InFlightCounter::new(now);
        let mut changed = now;
        for step in 0..STEPS {
            now += Duration::from_millis(5);
            if step % RENEW_STEPS == 0 {
                let host = (step / RENEW_STEPS) as usize % names.len();
                home.renew(&names[host], held[host], now);
            }
            let host = rng.random_range(0..names.len());
            match rng.random_range(0..1_000) {
                0 if now - changed > LEASE_TTL => {
                    home = InFlightCounter::new(now);
                    changed = now;
                }
                1..=550 if home.acquire(&names[host], LIMIT, now) => {
                    held[host] += 1;
                    // A home with renewals from every host admits none above the limit.
                    let total: u32 = held.iter().sum();
                    let warm = now - changed >= LEASE_TTL;
                    assert!(!warm || total <= LIMIT, "seed {seed}: admitted the {total}th");
                }
                _ if held[host] > 0 => {
                    held[host] -= 1;
                    home.release(&names[host]);
                }
                _ => (),
            }
            // After a change of home the bound is one and a half times the limit.
            let total: u32 = held.iter().sum();
            assert!(total <= LIMIT + LIMIT.div_ceil(2), "seed {seed}: {total} in flight");
        }
    }
}
