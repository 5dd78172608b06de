//! Tests which connections of a listener are closed or refused when there are too many.

use std::sync::Arc;
use std::time::Duration;

use aspenloft_core::clock::ManualClock;
use aspenloft_transport::connections::{ConnectionLimits, ConnectionSet, TrackedConnection};
use futures::FutureExt;

/// How long the first request of a connection may take.
const FIRST_REQUEST: Duration = Duration::from_millis(500);

const LONG: Duration = Duration::from_secs(1);

fn set(max: usize, max_excess: usize) -> (Arc<ManualClock>, Arc<ConnectionSet>) {
    let clock = Arc::<ManualClock>::default();
    let limits = ConnectionLimits { max, max_excess, first_request: FIRST_REQUEST };
    (clock.clone(), ConnectionSet::new(limits, clock))
}

fn is_closing(connection: &TrackedConnection) -> bool {
    connection.close_requested().now_or_never().is_some()
}

#[test]
fn a_new_connection_takes_the_place_of_the_one_idle_for_longest() {
    let (clock, set) = set(3, 0);
    let open: Vec<_> = (0..3).map(|_| set.admit().expect("a place")).collect();
    clock.advance(LONG);
    // The first is used again, the second is still in use.
    drop(open[0].begin_use());
    let used = open[1].begin_use();
    clock.advance(LONG);
    let fourth = set.admit().expect("a place");
    assert_eq!(open.iter().map(is_closing).collect::<Vec<_>>(), [false, false, true]);
    assert!(!fourth.is_refused());
    let _fifth = set.admit().expect("a place");
    assert!(is_closing(&open[0]) && !is_closing(&open[1]) && !is_closing(&fourth));
    drop(used);
    clock.advance(LONG);
    assert_eq!(set.close_idle(10), 3);
    assert!(is_closing(&open[1]) && is_closing(&fourth));
    drop(open);
    assert_eq!(set.counts(), (0, 0));
}

#[test]
fn connections_whose_first_request_is_on_its_way_are_not_closed() {
    let (_clock, set) = set(2, 1);
    let open: Vec<_> = (0..2).map(|_| set.admit().expect("a place")).collect();
    let refused = set.admit().expect("a place to refuse its requests");
    assert!(refused.is_refused());
    assert!(set.admit().is_none());
    assert!(!open.iter().any(is_closing));
    // It is served once there is room.
    drop(open);
    assert!(!refused.is_refused());
}

#[test]
fn a_connection_that_has_been_used_is_closed_before_one_that_waits_for_its_first_request() {
    let (clock, set) = set(3, 0);
    let open: Vec<_> = (0..3).map(|_| set.admit().expect("a place")).collect();
    drop(open[2].begin_use());
    let _fourth = set.admit().expect("a place");
    assert_eq!(open.iter().map(is_closing).collect::<Vec<_>>(), [false, false, true]);
    assert!(set.admit().is_none());
    clock.advance(FIRST_REQUEST);
    let _fifth = set.admit().expect("a place");
    assert_eq!(open.iter().map(is_closing).collect::<Vec<_>>(), [true, false, true]);
}

/// Callers that are told how long a connection is kept lose no request on one that is closed.
#[test]
fn connections_are_closed_sooner_than_announced() {
    let (clock, set) = set(1_000, 0);
    let mut open: Vec<(TrackedConnection, Option<Duration>, u32)> = Vec::new();
    let step = Duration::from_millis(20);
    let mut closed = 0;
    for turn in 0..4_000 {
        clock.advance(step);
        let connection = set.admit().expect("a place");
        drop(connection.begin_use());
        open.push((connection, set.expected_idle_time(), turn));
        while open.first().is_some_and(|(connection, ..)| is_closing(connection)) {
            let (_, announced, since) = open.remove(0);
            let kept = step * (turn - since);
            assert!(announced.is_none_or(|announced| kept >= announced.mul_f64(0.9)), "{kept:?}");
            assert!(announced.is_some() || since < 300, "nothing was said in turn {since}");
            closed += 1;
        }
    }
    assert!(closed > 2_900, "{closed} were closed");
}

#[test]
fn a_request_that_comes_as_its_connection_is_closed_counts() {
    let (clock, set) = set(1, 0);
    let first = set.admit().expect("a place");
    clock.advance(LONG);
    let _second = set.admit().expect("a place");
    assert!(is_closing(&first) && !first.is_in_use());
    let used = first.begin_use();
    assert!(first.is_in_use());
    drop(used);
    assert!(!first.is_in_use());
    drop(first);
    assert_eq!(set.counts(), (1, 1));
}
