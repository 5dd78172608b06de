//! A host tells a path that it has lost from servers that are down.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use aspenloft_policy::own_path::{OwnPath, PathState};

fn server(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], number))
}

#[test]
fn failures_at_two_servers_raise_a_doubt_that_a_check_settles() {
    let now = Instant::now();
    for (reached, state) in [(true, PathState::Open), (false, PathState::Cut)] {
        let mut path = OwnPath::default();
        assert!(!path.record_failure(server(1), now));
        assert!(!path.record_failure(server(1), now), "the same server");
        assert!(path.record_failure(server(2), now));
        assert_eq!(path.state(), PathState::Doubted);
        assert!(!path.record_failure(server(3), now), "one check at a time");
        path.record_check(reached, now);
        assert_eq!(path.state(), state);
    }
}

#[test]
fn a_success_between_failures_shows_that_the_path_is_open() {
    let now = Instant::now();
    let mut path = OwnPath::default();
    for number in 1..20 {
        assert!(!path.record_failure(server(number), now));
        assert!(!path.record_success());
    }
    assert_eq!(path.state(), PathState::Open);
}

#[test]
fn failures_that_are_long_apart_raise_no_doubt() {
    let mut now = Instant::now();
    let mut path = OwnPath::default();
    for number in 1..20 {
        assert!(!path.record_failure(server(number), now));
        now += Duration::from_secs(3);
    }
}

#[test]
fn servers_that_are_down_cause_one_check_a_second() {
    let start = Instant::now();
    let mut path = OwnPath::default();
    let mut checks = 0;
    for tick in 0..100 {
        let now = start + Duration::from_millis(tick * 100);
        if path.record_failure(server((tick % 3) as u16), now) {
            checks += 1;
            path.record_check(true, now);
        }
    }
    assert!((8..=11).contains(&checks), "{checks} checks in 10 s");
}

#[test]
fn a_cut_ends_with_the_first_success() {
    let now = Instant::now();
    let mut path = OwnPath::default();
    path.record_failure(server(1), now);
    path.record_failure(server(2), now);
    assert!(path.record_check(false, now));
    assert!(!path.record_check(false, now));
    assert!(path.is_suspect(now));
    assert!(path.record_success());
    assert_eq!(path.state(), PathState::Open);
    assert!(!path.is_suspect(now));
}
