//! Tests of when a host that is behind asks others.

use std::time::{Duration, Instant};

use aspenloft_policy::catch_up::{CatchUp, CatchUpOptions};

/// Returns the times in milliseconds at which hosts are asked within `span`, none of which
/// answers within `timeout`.
fn asked(watches: bool, timeout: Duration, span: Duration) -> Vec<u128> {
    let (options, began) = (CatchUpOptions::default(), Instant::now());
    let mut state = CatchUp::default();
    let mut open: Vec<Instant> = Vec::new();
    let mut times = Vec::new();
    let mut now = began;
    while now < began + span {
        if open.first().is_some_and(|at| now - *at >= timeout) {
            open.remove(0);
            state.record_failure();
        }
        if state.should_ask(watches, open.len(), &options, now) {
            state.record_call(now);
            open.push(now);
            times.push((now - began).as_millis());
        }
        now += Duration::from_millis(50);
    }
    times
}

#[test]
fn the_next_host_is_asked_long_before_a_call_fails() {
    let times = asked(false, Duration::from_secs(2), Duration::from_millis(900));
    assert_eq!(times, [0, 200, 400, 600]);
}

#[test]
fn a_host_that_watches_the_service_gives_its_watch_time() {
    let times = asked(true, Duration::from_secs(2), Duration::from_millis(700));
    assert_eq!(times, [450, 650]);
}

#[test]
fn calls_under_way_are_bounded_and_a_failed_one_is_replaced_at_once() {
    let times = asked(false, Duration::from_secs(1), Duration::from_millis(1_300));
    assert_eq!(times, [0, 200, 400, 600, 1_000, 1_200]);
}

#[test]
fn how_long_a_host_was_behind_is_told_once() {
    let (options, now) = (CatchUpOptions::default(), Instant::now());
    let mut state = CatchUp::default();
    assert_eq!(state.record_level(now), None);
    assert!(state.should_ask(false, 0, &options, now));
    state.record_call(now);
    let caught_up = state.record_level(now + Duration::from_millis(70)).expect("it was behind");
    assert_eq!((caught_up.behind, caught_up.calls), (Duration::from_millis(70), 1));
    assert_eq!(state.record_level(now), None);
}
