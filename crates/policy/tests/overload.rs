//! Overload, simulated without I/O: the wait queue, the allowance of extra sends, the
//! choice of plain servers and their health.

use std::time::{Duration, Instant};

use aspenloft_policy::retry_window::{RetryAllowance, RetryWindow};
use aspenloft_policy::server_health::ServerHealth;
use aspenloft_policy::service_choice::{ServerLoad, choose_server};
use aspenloft_policy::waiting::{
    ArrivalDecision, WaitOptions, WaitingRequest, decide_arrival, expected_wait, placement_order,
    timed_out,
};

const STEP: Duration = Duration::from_millis(4);

fn waiting_request(id: u64, arrived: Instant) -> WaitingRequest {
    WaitingRequest {
        continues: false,
        id,
        priority: 1,
        arrived,
        due: arrived + Duration::from_secs(1),
        deadline: arrived + Duration::from_secs(14),
    }
}

#[test]
fn requests_on_time_are_placed_in_order_of_arrival_before_late_ones() {
    let start = Instant::now();
    let now = start + Duration::from_millis(1_500);
    let at = |id, ms| waiting_request(id, start + Duration::from_millis(ms));
    let queue = [at(1, 0), at(2, 1_300), at(3, 1_000), at(4, 300)];
    assert_eq!(placement_order(&queue, now, &WaitOptions::default()), [3, 2, 1, 4]);
}

#[test]
fn a_row_with_higher_priority_is_placed_before_others_on_time() {
    let now = Instant::now();
    let urgent = WaitingRequest { priority: 0, ..waiting_request(2, now) };
    assert_eq!(
        placement_order(&[waiting_request(1, now), urgent], now, &WaitOptions::default()),
        [2, 1]
    );
}

#[test]
fn capacity_is_expected_when_as_many_requests_have_ended_as_are_ahead() {
    let remaining = vec![500, 100, 300];
    assert_eq!(expected_wait(remaining.clone(), 0, STEP), STEP * 100);
    assert_eq!(expected_wait(remaining.clone(), 1, STEP), STEP * 300);
    assert!(expected_wait(remaining, 7, STEP) > STEP * 1_000);
    assert_eq!(expected_wait(Vec::new(), 0, STEP), Duration::ZERO);
}

#[test]
fn a_request_that_would_time_out_in_the_queue_is_refused_on_arrival() {
    let now = Instant::now();
    let options = WaitOptions::default();
    let soon = Duration::from_millis(2_500);
    let late = Duration::from_millis(3_500);
    assert_eq!(
        decide_arrival(&waiting_request(1, now), soon, now, &options),
        ArrivalDecision::Wait
    );
    assert_eq!(
        decide_arrival(&waiting_request(1, now), late, now, &options),
        ArrivalDecision::Refuse(late)
    );
}

#[test]
fn no_request_waits_longer_than_three_targets_or_past_its_deadline() {
    let start = Instant::now();
    let options = WaitOptions::default();
    let brief =
        WaitingRequest { deadline: start + Duration::from_secs(1), ..waiting_request(2, start) };
    let queue = [waiting_request(1, start), brief];
    let at = |ms| timed_out(&queue, start + Duration::from_millis(ms), &options);
    assert_eq!(at(999), [0_u64; 0]);
    assert_eq!(at(1_000), [2]);
    assert_eq!(at(3_000), [1, 2]);
}

/// Simulates arrivals at `per_s` for `span`, served at `capacity_per_s`. Returns how many
/// were placed in time to meet their target, and how many arrived.
fn replay_burst(per_s: u64, capacity_per_s: u64, span: Duration) -> (usize, usize) {
    let start = Instant::now();
    let options = WaitOptions::default();
    let mut queue: Vec<WaitingRequest> = Vec::new();
    let (mut on_time, mut arrived) = (0, 0);
    for ms in 0..span.as_millis() as u64 {
        let now = start + Duration::from_millis(ms);
        if ms % (1_000 / per_s) == 0 {
            arrived += 1;
            queue.push(waiting_request(arrived as u64, now));
        }
        let expired = timed_out(&queue, now, &options);
        queue.retain(|w| !expired.contains(&w.id));
        if ms % (1_000 / capacity_per_s) == 0
            && let Some(id) = placement_order(&queue, now, &options).first().copied()
        {
            let served = queue.iter().position(|w| w.id == id).map(|at| queue.remove(at));
            on_time += usize::from(served.is_some_and(|w| w.meets_target(now, &options)));
        }
    }
    (on_time, arrived)
}

#[test]
fn a_long_burst_of_twice_the_capacity_is_served_on_time_up_to_capacity() {
    let (on_time, arrived) = replay_burst(20, 10, Duration::from_secs(10));
    assert_eq!(arrived, 200);
    assert!(on_time >= 95, "only {on_time} of 100 placements met their target");
}

fn allowance() -> RetryAllowance {
    RetryAllowance { ratio: 0.2, slack: 50.0, window: Duration::from_secs(10) }
}

#[test]
fn all_hosts_together_stay_within_the_allowance_in_every_window() {
    let start = Instant::now();
    let allowance = allowance();
    let mut hosts: Vec<RetryWindow> = (0..6).map(|_| RetryWindow::default()).collect();
    let mut extras: Vec<Instant> = Vec::new();
    let mut requests: Vec<Instant> = Vec::new();
    for ms in 0..40_000_u64 {
        let now = start + Duration::from_millis(ms);
        let host = (ms % 6) as usize;
        if ms % 30 == 0 {
            hosts[host].record_request(now, &allowance);
            requests.push(now);
        }
        if hosts[host].try_extra_send(now, &allowance, 6) {
            extras.push(now);
        }
        if ms % 500 == 0 {
            let recent = |at: &&Instant| now.duration_since(**at) <= allowance.window;
            let (extra, asked) =
                (extras.iter().filter(recent).count(), requests.iter().filter(recent).count());
            let most = allowance.ratio * asked as f64 + allowance.slack;
            assert!(extra as f64 <= most, "{extra} extra sends of {most} at {ms} ms");
        }
    }
    assert!(extras.len() > 100, "the allowance is used: {}", extras.len());
}

#[test]
fn a_failing_server_is_avoided_until_its_failure_rate_decays() {
    let now = Instant::now();
    let mut health = ServerHealth::default();
    for _ in 0..10 {
        health.record_failure(now);
    }
    let server = |failure_rate| ServerLoad { in_flight: 1, slots: 6, failure_rate, local: true };
    let bad = server(health.failure_rate(now));
    assert_eq!(choose_server(&[bad, server(0.0)]), Some(1));
    let later = now + Duration::from_secs(30);
    assert!(health.failure_rate(later) < 0.01, "the failure rate decays");
    let away = ServerLoad { local: false, ..server(0.0) };
    assert_eq!(choose_server(&[away, server(0.0)]), Some(1));
}

#[test]
fn an_unreachable_server_is_excluded_for_longer_each_time() {
    let mut now = Instant::now();
    let mut health = ServerHealth::default();
    let first = health.record_unreachable(now);
    assert!(health.is_paused(now));
    now += first;
    assert!(!health.is_paused(now));
    let second = health.record_unreachable(now);
    assert!(second > first);
    for _ in 0..10 {
        now += Duration::from_secs(5);
        assert!(health.record_unreachable(now) <= Duration::from_secs(2));
    }
    health.record_success(now);
    assert!(!health.is_paused(now));
}

/// While an engine is down, requests queue up. When its pause ends, only one of them may
/// probe it, so that the others are not lost if it is still down.
#[test]
fn a_server_is_probed_by_a_single_request_after_its_pause() {
    let start = Instant::now();
    let mut health = ServerHealth::default();
    let mut now = start + health.record_unreachable(start);
    for round in 0..4 {
        let mut dispatched = 0;
        for _ in 0..16 {
            if !health.is_paused(now) {
                health.record_dispatch(now);
                dispatched += 1;
            }
        }
        assert_eq!(dispatched, 1, "round {round}");
        let pause = health.record_unreachable(now + Duration::from_millis(200));
        assert!(health.is_paused(now + Duration::from_millis(600)), "round {round}");
        now += Duration::from_millis(200) + pause;
    }
    health.record_dispatch(now);
    health.record_success(now);
    assert!(!health.is_paused(now), "an answer ends the probe");
    health.record_dispatch(now);
    assert!(!health.is_paused(now), "a server that answers needs no probe");
}

/// A stream that was taken up waited behind new ones, which had all engines to choose from.
#[test]
fn a_stream_that_goes_on_waits_behind_new_ones() {
    let now = Instant::now();
    let urgent = WaitingRequest { priority: 0, ..waiting_request(1, now) };
    let late = now + Duration::from_millis(100);
    let taken_up = WaitingRequest { continues: true, ..waiting_request(2, late) };
    assert_eq!(placement_order(&[urgent, taken_up], late, &WaitOptions::default()), [2, 1]);
}
