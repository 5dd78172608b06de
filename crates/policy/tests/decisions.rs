//! Routing, admission, the cache index, estimates and the store of decisions.

use std::time::Duration;

use aspenloft_core::clock::{Clock, ManualClock};
use aspenloft_core::prelude::{BackendRole, BackendState, Name, RequestId, Tokens};
use aspenloft_policy::admission::{Admission, AdmissionDecision, Arrival, RefusalReason};
use aspenloft_policy::cache_index::{ApplyOutcome, CacheIndex};
use aspenloft_policy::estimate::{Estimates, StepModel};
use aspenloft_policy::explain::{Attempt, Explanations};
use aspenloft_policy::fair_queue::Flow;
use aspenloft_policy::prefill_queue::{PrefillQueue, PrefillRequest};
use aspenloft_policy::route::{
    Candidate, Filter, Link, Links, RouteOptions, RouteRequest, Verdict, route,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MS: Duration = Duration::from_millis(1);

fn candidate(name: &str, role: BackendRole) -> Candidate {
    let state = BackendState { slots: 20, step: MS * 20, ..BackendState::default() };
    Candidate {
        name: name.into(),
        serves: "scribe".into(),
        role,
        centre: 0,
        leaving: false,
        down: false,
        suspect: false,
        state,
        age: Duration::ZERO,
        cached: Tokens(0),
    }
}

fn request() -> RouteRequest {
    RouteRequest {
        serves: "scribe".into(),
        centre: 0,
        prompt: Tokens(4_000),
        deadline: MS * 1_700,
        tbt: MS * 47,
        goodput_weight: 1.0,
        waste_weight: 1.0,
        seed: 7,
    }
}

type Change = fn(&mut Candidate);

#[test]
fn each_filter_has_its_verdict() {
    let cases: [(Filter, Change); 7] = [
        (Filter::Model, |c| c.serves = "other".into()),
        (Filter::Leaving, |c| c.leaving = true),
        (Filter::Leaving, |c| c.state.closed = true),
        (Filter::Down, |c| c.down = true),
        (Filter::Suspect, |c| c.suspect = true),
        (Filter::Stale, |c| c.age = MS * 20_000),
        (Filter::Full, |c| c.state.free_in = MS * 1_800),
    ];
    for (filter, change) in cases {
        let mut bad = candidate("bad", BackendRole::Decode);
        change(&mut bad);
        let good = candidate("good", BackendRole::Decode);
        let candidates = [candidate("p", BackendRole::Prefill), bad, good];
        let links = Links::new(1, Link::default());
        let decision = route(&request(), &candidates, &links, &RouteOptions::default());
        assert_eq!(decision.verdicts[1], Verdict::Excluded(filter));
        assert_eq!(decision.verdicts[2], Verdict::Ranked);
        assert!(decision.pairs.iter().all(|pair| pair.decode == 2), "{filter:?}");
    }
}

#[test]
fn chooses_the_best_pair_and_not_the_best_server_of_each_role() {
    let mut far = candidate("far", BackendRole::Decode);
    far.centre = 1;
    let mut near = candidate("near", BackendRole::Decode);
    near.state.free_in = MS * 30;
    let candidates = [candidate("p", BackendRole::Prefill), far, near];
    let mut links = Links::new(2, Link { delay: MS * 5, ..Link::default() });
    links.set(0, 0, Link::default());
    links.set(0, 1, Link { delay: MS * 5, per_token: MS / 10, queued: Tokens(0) });
    let decision = route(&request(), &candidates, &links, &RouteOptions::default());
    assert_eq!(decision.pairs[0].decode, 2, "the slow link costs more than the wait");
}

#[test]
fn prefers_the_cached_prefix() {
    let mut cached = candidate("cached", BackendRole::Prefill);
    cached.cached = Tokens(4_000);
    cached.state.free_in = MS * 50;
    let candidates =
        [candidate("cold", BackendRole::Prefill), cached, candidate("d", BackendRole::Decode)];
    let links = Links::new(1, Link::default());
    let decision = route(&request(), &candidates, &links, &RouteOptions::default());
    assert_eq!(decision.pairs[0].prefill, 1);
}

fn arrival(ticket: u64, caller: &str, caller_weight: u32, priority: u8) -> Arrival {
    Arrival {
        ticket,
        flow: Flow { row: "row".into(), caller: caller.into() },
        row_weight: 100,
        caller_weight,
        priority,
        cost: 100.0,
        deadline: MS * 1_700,
        service: MS * 200,
        queue: MS * 1_500,
        queue_length: 64,
    }
}

#[test]
fn refuses_at_once_a_request_that_cannot_meet_its_deadline() {
    let now = ManualClock::default().now();
    let mut admission = Admission::default();
    let slow = Arrival { service: MS * 1_800, ..arrival(1, "a", 100, 5) };
    let AdmissionDecision::Refuse(refusal) = admission.arrive(&slow, true, now) else {
        panic!("a request that cannot meet its deadline was not refused");
    };
    assert_eq!(refusal.reason, RefusalReason::TooSlow);
    assert!(refusal.retry_after > Duration::ZERO);
}

/// Simulates a load of 150 % of capacity and returns the number of requests served per
/// caller.
fn overload(callers: &[(&str, u32, u8, u32)], seed: u64) -> Vec<f64> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let clock = ManualClock::default();
    let mut admission = Admission::default();
    let mut served = vec![0.0; callers.len()];
    let mut owner = std::collections::HashMap::new();
    let arrivals: u32 = callers.iter().map(|caller| caller.3).sum();
    let mut ticket = 0;
    for tick in 0..20_000_u32 {
        clock.advance(MS);
        let now = clock.now();
        admission.expire(now);
        for (i, (name, weight, priority, rate)) in callers.iter().enumerate() {
            if random.random_range(0..1_000) < *rate {
                ticket += 1;
                owner.insert(ticket, i);
                if admission.arrive(&arrival(ticket, name, *weight, *priority), false, now)
                    == AdmissionDecision::Admit
                {
                    served[i] += 1.0;
                }
            }
        }
        // Capacity is two thirds of the arrival rate.
        let departures = |tick: u32| u64::from(tick) * u64::from(arrivals) * 2 / 3_000;
        if departures(tick + 1) > departures(tick)
            && let Some(next) = admission.next(now)
        {
            served[owner[&next]] += 1.0;
        }
    }
    served
}

#[test]
fn shares_follow_weights_within_five_percent() {
    for seed in 0..10 {
        // Each caller exceeds its share; the second sends four times as much as the first.
        let served = overload(&[("a", 100, 5, 120), ("b", 100, 5, 480), ("c", 200, 5, 240)], seed);
        let total: f64 = served.iter().sum();
        for (got, share) in served.iter().zip([0.25, 0.25, 0.5]) {
            let fair: f64 = (total * share).min(20_000.0 * if share > 0.4 { 0.24 } else { 0.12 });
            assert!(*got >= fair * 0.95, "seed {seed}: {served:?}");
        }
    }
}

#[test]
fn a_low_priority_is_not_starved() {
    let served = overload(&[("high", 100, 9, 400), ("low", 100, 5, 400)], 1);
    assert!(served[1] > 0.0 && served[0] > served[1] * 1.5, "{served:?}");
}

#[test]
fn the_queue_is_bounded_and_expires_late_requests() {
    let clock = ManualClock::default();
    let mut admission = Admission::default();
    for ticket in 0..200 {
        admission.arrive(&arrival(ticket, "a", 100, 5), false, clock.now());
    }
    assert_eq!(admission.waiting(), 64);
    clock.advance(MS * 1_500);
    assert_eq!(admission.expire(clock.now()).len(), 64);
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn a_gap_marks_a_replica_as_incomplete_until_a_snapshot() {
    let mut index = CacheIndex::new(100);
    let a: Name = "a".into();
    index.snapshot(&a, 10, [1, 2, 3]);
    assert_eq!(index.apply(&a, 11, 4, true), ApplyOutcome::InOrder);
    assert_eq!(index.apply(&a, 11, 4, false), ApplyOutcome::AlreadyApplied);
    assert_eq!(index.lookup(&[1, 2, 3, 4, 5])[&a].tokens, Tokens(8_000));
    assert_eq!(index.apply(&a, 13, 6, true), ApplyOutcome::Gap);
    assert!(index.lookup(&[1])[&a].incomplete);
    index.snapshot(&a, 20, [1]);
    let found = index.lookup(&[1, 2])[&a];
    assert_eq!((found.tokens, found.incomplete), (Tokens(2_000), false));
    assert!(index.lookup(&[9, 1]).is_empty(), "only a prefix counts");
}

#[test]
fn the_index_is_bounded_and_agrees_with_a_simple_map() {
    for seed in 0..50 {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let (mut index, capacity) = (CacheIndex::new(10_000), 300);
        let mut small = CacheIndex::new(capacity);
        let mut oracle = std::collections::HashSet::new();
        let names: Vec<Name> = (0..4).map(|i| format!("e{i}").into()).collect();
        let mut seqs = [0_u64; 4];
        for _ in 0..2_000 {
            let (e, piece) = (random.random_range(0..4), random.random_range(0..400_u64));
            let stored = random.random_range(0..3) > 0;
            seqs[e] += 1;
            index.apply(&names[e], seqs[e], piece, stored);
            small.apply(&names[e], seqs[e], piece, stored);
            if stored {
                oracle.insert((e, piece));
            } else {
                oracle.remove(&(e, piece));
            }
            assert!(small.len() <= capacity, "seed {seed}");
        }
        assert_eq!(index.len(), oracle.len(), "seed {seed}");
        for piece in 0..400 {
            let found = index.lookup(&[piece]);
            for (e, name) in names.iter().enumerate() {
                assert_eq!(found.contains_key(name), oracle.contains(&(e, piece)), "seed {seed}");
            }
        }
        names.iter().for_each(|name| index.remove_replica(name));
        assert!(index.is_empty(), "seed {seed}");
    }
}

#[test]
fn a_prefill_queue_refuses_a_request_that_would_wait_too_long() {
    let clock = ManualClock::default();
    let mut queue = PrefillQueue::new(MS / 10);
    let prefill_request = |id| PrefillRequest {
        id: aspenloft_core::prelude::ReservationId(id),
        request: RequestId::from("r"),
        tokens: Tokens(4_000),
        max_wait: MS * 500,
    };
    queue.reserve(prefill_request(1), clock.now()).expect("an empty queue");
    queue.reserve(prefill_request(2), clock.now()).expect("a wait of 400 ms");
    let refused = queue.reserve(prefill_request(3), clock.now()).expect_err("a wait of 800 ms");
    assert_eq!(refused.free_in, MS * 800);
    clock.advance(MS * 400);
    queue.reserve(prefill_request(3), clock.now()).expect("the first is nearly done");
    clock.advance(Duration::from_secs(60));
    queue.expire(clock.now());
    assert!(queue.is_empty(), "entries that never started have expired");
}

#[test]
fn estimates_step_times_and_answer_lengths() {
    let mut step = StepModel::default();
    for active in (1..=20).cycle().take(400) {
        step.add(active, MS * (10 + active));
    }
    let predicted = step.predict(30).expect("measured");
    assert!((predicted.as_secs_f64() - 0.040).abs() < 0.001, "{predicted:?}");
    let mut estimates = Estimates::default();
    let row: Name = "row".into();
    assert_eq!(estimates.answer_tokens(&row, Tokens(64)), Tokens(64));
    estimates.output.get_or_insert(&row, ManualClock::default().now()).add(10.0);
    assert_eq!(estimates.answer_tokens(&row, Tokens(64)), Tokens(10));
}

#[test]
fn decisions_are_stored_up_to_a_bound() {
    let candidates = [candidate("p", BackendRole::Prefill), candidate("d", BackendRole::Decode)];
    let links = Links::new(1, Link::default());
    let decision = route(&request(), &candidates, &links, &RouteOptions::default());
    let mut explanations = Explanations::new(10);
    for i in 0..50 {
        let id = RequestId::from(format!("r{i}").as_str());
        explanations.record_attempt(&id, Attempt::new(&candidates, &decision));
        explanations.set_outcome(&id, "answered");
    }
    assert_eq!(explanations.len(), 10);
    assert!(explanations.get(&"r39".into()).is_none());
    let last = explanations.get(&"r49".into()).expect("the newest");
    assert_eq!(last.attempts[0].ranked[0].decode, "d".into());
    assert_eq!(last.attempts[0].candidates.len(), 2);
}
