//! Requests that crash every server are convicted, and innocent ones are not.

use std::time::{Duration, Instant};

use aspenloft_core::suspects::Fingerprint;
use aspenloft_policy::crash_tracker::CrashTracker;

const POISON: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

#[test]
fn a_request_is_convicted_when_the_third_server_disconnects() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for server in 1..=3 {
        assert!(!tracker.is_convicted(POISON, now));
        assert!(tracker.record_disconnect(POISON, server, now));
        tracker.record_disconnect(INNOCENT, 1, now);
    }
    assert!(tracker.is_convicted(POISON, now));
    assert!(!tracker.is_convicted(INNOCENT, now), "one server disconnected three times");
    assert!(!tracker.is_convicted(POISON, now + Duration::from_secs(61)));
}

#[test]
fn disconnects_at_several_hosts_add_up() {
    let now = Instant::now();
    let mut here = CrashTracker::default();
    let mut there = CrashTracker::default();
    here.record_disconnect(POISON, 1, now);
    there.record_disconnect(POISON, 2, now);
    there.record_disconnect(POISON, 3, now);
    for (request, server) in there.recent(now, Duration::from_secs(2), 16) {
        here.record_disconnect(request, server, now);
    }
    assert!(here.is_convicted(POISON, now));
    assert!(there.recent(now + Duration::from_secs(3), Duration::from_secs(2), 16).is_empty());
}

#[test]
fn memory_is_bounded() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for n in 0..10_000 {
        tracker.record_disconnect(Fingerprint(n), 1, start + Duration::from_millis(n));
    }
    let all = tracker.recent(start + Duration::from_secs(10), Duration::from_secs(100), 100_000);
    assert!(all.len() <= 1_024, "{} disconnects", all.len());
}
