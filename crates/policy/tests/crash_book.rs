//! Requests that crash whatever runs them are found, innocent ones are not.

use std::time::{Duration, Instant};

use aspenloft_core::suspects::Fingerprint;
use aspenloft_policy::crash_book::CrashBook;

const POISON: Fingerprint = Fingerprint(1);
const INNOCENT: Fingerprint = Fingerprint(2);

#[test]
fn the_third_server_that_breaks_off_convicts() {
    let now = Instant::now();
    let mut book = CrashBook::default();
    for server in 1..=3 {
        assert!(!book.is_convicted(POISON, now));
        assert!(book.broke(POISON, server, now));
        book.broke(INNOCENT, 1, now);
    }
    assert!(book.is_convicted(POISON, now));
    assert!(!book.is_convicted(INNOCENT, now), "one server broke off three times");
    assert!(!book.is_convicted(POISON, now + Duration::from_secs(61)));
}

#[test]
fn breaks_at_several_hosts_add_up() {
    let now = Instant::now();
    let mut here = CrashBook::default();
    let mut there = CrashBook::default();
    here.broke(POISON, 1, now);
    there.broke(POISON, 2, now);
    there.broke(POISON, 3, now);
    for (request, server) in there.recent(now, Duration::from_secs(2), 16) {
        here.broke(request, server, now);
    }
    assert!(here.is_convicted(POISON, now));
    assert!(there.recent(now + Duration::from_secs(3), Duration::from_secs(2), 16).is_empty());
}

#[test]
fn memory_is_bounded() {
    let start = Instant::now();
    let mut book = CrashBook::default();
    for n in 0..10_000 {
        book.broke(Fingerprint(n), 1, start + Duration::from_millis(n));
    }
    let all = book.recent(start + Duration::from_secs(10), Duration::from_secs(100), 100_000);
    assert!(all.len() <= 1_024, "{} breaks", all.len());
}
