//! Requests and parts of prompts that crash every server are found, and sound ones are not.

use std::time::{Duration, Instant};

use aspenloft_core::suspects::{Fingerprint, PromptPart};
use aspenloft_policy::crash_tracker::{
    CRASH_OVERHEAD_PARTS, Cause, Crash, CrashTracker, RequestCauses, Standing,
};
use aspenloft_policy::stream_versions::Scope;

const SERVICE: u64 = 7;
const POISON: u64 = 1;
const INNOCENT: u64 = 2;

fn causes(request: u64, parts: &[u64]) -> RequestCauses {
    let parts = parts.iter().map(|part| PromptPart(*part)).collect();
    RequestCauses { service: SERVICE, request: Fingerprint(request), parts }
}

fn crash(server: u64, request: u64, parts: &[u64]) -> Crash {
    Crash { server, causes: causes(request, parts) }
}

fn part(part: u64) -> Cause {
    Cause::Part { service: SERVICE, part: PromptPart(part) }
}

fn request(request: u64) -> Cause {
    Cause::Request(Fingerprint(request))
}

/// Returns the cause by which a request is held back.
fn held_by(
    tracker: &mut CrashTracker,
    request: u64,
    parts: &[u64],
    now: Instant,
) -> Option<(Cause, bool)> {
    match tracker.standing(&causes(request, parts), now) {
        Standing::Held { cause, firm } => Some((cause, firm)),
        Standing::Clear | Standing::Suspect => None,
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

#[test]
fn a_request_is_held_back_at_the_second_crash_and_convicted_at_the_third() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for server in 1..=2 {
        assert_eq!(held_by(&mut tracker, POISON, &[], start), None);
        assert!(tracker.record_crash(crash(server, POISON, &[]), start, true));
        tracker.record_crash(crash(1, INNOCENT, &[]), start, true);
    }
    assert_eq!(held_by(&mut tracker, POISON, &[], start), Some((request(POISON), false)));
    assert_eq!(held_by(&mut tracker, INNOCENT, &[], start), None, "one server crashed twice");
    assert!(!tracker.try_trial(request(POISON), start + seconds(1.9)));
    let trial = start + seconds(2.0);
    assert!(tracker.try_trial(request(POISON), trial));
    tracker.record_crash(crash(3, POISON, &[]), trial, true);
    assert_eq!(held_by(&mut tracker, POISON, &[], trial), Some((request(POISON), true)));
    assert!(!tracker.try_trial(request(POISON), trial + seconds(59.0)));
    let much_later = trial + seconds(2_000.0);
    assert_eq!(held_by(&mut tracker, POISON, &[], much_later), None);
}

#[test]
fn a_request_that_crashes_all_servers_is_tried_twice_after_the_third() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let (mut server, mut late_trials) = (0, 0);
    for second in 0..1_200 {
        let now = start + seconds(f64::from(second));
        let is_held = held_by(&mut tracker, POISON, &[], now).is_some();
        if is_held && !tracker.try_trial(request(POISON), now) {
            continue;
        }
        server += 1;
        late_trials += usize::from(server > 3);
        tracker.record_crash(crash(server, POISON, &[]), now, true);
    }
    assert_eq!(late_trials, 2);
}

#[test]
fn servers_that_crash_at_the_same_moment_convict_no_request_for_good() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut now = start;
    for server in 0..8 {
        now = start + Duration::from_millis(server * 100);
        tracker.record_crash(crash(server, INNOCENT, &[]), now, true);
    }
    assert_eq!(held_by(&mut tracker, INNOCENT, &[], now), Some((request(INNOCENT), false)));
    assert!(tracker.try_trial(request(INNOCENT), now + seconds(2.0)));
    let cleared = tracker.record_answer(&causes(INNOCENT, &[]), now + seconds(2.1));
    assert_eq!(cleared, [request(INNOCENT)]);
    assert_eq!(held_by(&mut tracker, INNOCENT, &[], now + seconds(2.2)), None);
}

#[test]
fn crashes_at_several_hosts_add_up() {
    let now = Instant::now();
    let mut here = CrashTracker::default();
    let mut there = CrashTracker::default();
    here.record_crash(crash(1, POISON, &[]), now, true);
    there.record_crash(crash(2, POISON, &[]), now, true);
    there.record_crash(crash(3, POISON, &[]), now, true);
    for (crash, age) in there.take_crashes(now, Scope::All, 16) {
        here.record_crash(crash, now - age, false);
    }
    assert!(held_by(&mut here, POISON, &[], now).is_some());
    assert_eq!(here.take_crashes(now, Scope::All, 16).len(), 1, "only what a host has seen itself");
    assert!(there.take_crashes(now + seconds(4.0), Scope::All, 16).is_empty());
}

#[test]
fn memory_is_bounded() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for n in 0..600 {
        let at = start + Duration::from_millis(n);
        tracker.record_crash(crash(1, n, &[n, n + 1]), at, true);
        let parts: Vec<u64> = (0..64).map(|part| n * 64 + part).collect();
        tracker.record_answer(&causes(n, &parts), at);
        let conviction = aspenloft_policy::crash_tracker::Conviction { cause: part(n), crashes: 3 };
        tracker.record_conviction(conviction, Duration::ZERO, at + seconds(1.0));
    }
    let (crashes, convictions, answered) = tracker.sizes();
    assert!(crashes <= 256 && convictions <= 256 && answered <= 2 * 8_192 + 65);
}

/// Returns a prompt whose parts are those of request `number` alone, but for the 67th.
fn long_prompt(number: u64) -> Vec<u64> {
    let own = (0..70).map(|place| number * 1_000 + place);
    own.map(|part| if part % 1_000 == 66 { POISON } else { part }).collect()
}

// A crash with many parts was told to no other host.
#[test]
fn crashes_that_do_not_fit_into_a_notice_do_not_add_up() {
    let start = Instant::now();
    let mut here = CrashTracker::default();
    let mut there: Vec<CrashTracker> = (0..3).map(|_| CrashTracker::default()).collect();
    for (number, tracker) in there.iter_mut().enumerate() {
        let number = number as u64 + 1;
        let at = start + seconds(number as f64);
        tracker.record_crash(crash(number, number, &long_prompt(number)), at, true);
    }
    let now = start + seconds(3.5);
    for _ in 0..10 {
        for tracker in &mut there {
            let pieces = tracker.take_crashes(now, Scope::All, 12);
            let parts = |c: &Crash| c.causes.parts.len() + CRASH_OVERHEAD_PARTS;
            assert!(pieces.iter().map(|(crash, _)| parts(crash)).sum::<usize>() <= 12);
            for (crash, age) in pieces {
                here.record_crash(crash, now - age, false);
            }
        }
    }
    assert_eq!(held_by(&mut here, 9, &long_prompt(9), now), Some((part(POISON), false)));
    assert!(there.iter().all(|tracker| !tracker.is_telling(now, Scope::All)));
}

// The oldest crash filled each notice, and the others were never told.
#[test]
fn of_several_crashes_that_do_not_fit_only_the_oldest_is_told() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for number in 1..=8 {
        tracker.record_crash(crash(number, number, &[number, 100 + number]), now, true);
    }
    for scope in [Scope::Group, Scope::All] {
        let mut told: Vec<u64> = (0..8)
            .flat_map(|_| tracker.take_crashes(now, scope, 2 + CRASH_OVERHEAD_PARTS))
            .map(|(crash, _)| crash.server)
            .collect();
        told.sort_unstable();
        assert_eq!(told, (1..=8).collect::<Vec<u64>>(), "{scope:?}");
    }
}

// A piece that came after the conviction would have counted its crash again.
#[test]
fn each_piece_of_a_crash_counts_as_a_crash() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for number in 1..=3 {
        let at = start + seconds(number as f64);
        tracker.record_crash(crash(number, 100 + number, &[POISON]), at, false);
    }
    let at = start + seconds(4.0);
    for piece in [&[POISON, 7][..], &[8, 9], &[10]] {
        tracker.record_crash(crash(4, 104, piece), at, false);
    }
    let (conviction, _) = tracker.conviction(part(POISON), at).expect("a conviction");
    assert_eq!(conviction.crashes, 4);
    assert!(!tracker.record_crash(crash(4, 104, &[9, 10]), at, false), "nothing new");
}

// The answers to many other requests made a sound part seem to have had none.
#[test]
fn a_part_that_was_answered_after_crashes_is_held_back() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let sound = 3;
    for number in 1..=2 {
        let at = start + seconds(number as f64);
        tracker.record_crash(crash(number, 100 + number, &[POISON, sound]), at, true);
    }
    tracker.record_answer(&causes(200, &[sound]), start + seconds(3.0));
    for number in 0..40_000u64 {
        tracker.record_answer(&causes(1_000_000 + number, &[]), start + seconds(4.0));
    }
    tracker.record_crash(crash(3, 103, &[POISON, sound]), start + seconds(5.0), true);
    assert_eq!(held_by(&mut tracker, 9, &[sound], start + seconds(5.0)), None);
    let held = held_by(&mut tracker, 9, &[POISON], start + seconds(5.0));
    assert_eq!(held, Some((part(POISON), false)));
}

#[test]
fn parts_of_crashes_use_up_the_memory() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for number in 0..40 {
        let parts: Vec<u64> = (0..4_000).map(|place| number * 4_000 + place).collect();
        let at = start + Duration::from_millis(number);
        tracker.record_crash(crash(number, number, &parts), at, true);
    }
    let (crashes, ..) = tracker.sizes();
    assert_eq!(crashes, 65_536 / 4_000);
}

/// Records a crash each half second by requests of their own with these parts.
fn crash_by(
    tracker: &mut CrashTracker,
    from: Instant,
    numbers: std::ops::Range<u64>,
    parts: &[u64],
) -> Instant {
    let mut at = from;
    for number in numbers {
        at = from + seconds(0.5 * number as f64);
        tracker.record_crash(crash(number, 100 + number, parts), at, true);
    }
    at
}

#[test]
fn a_part_is_convicted_by_requests_that_share_nothing_else() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut now = start;
    for number in 0..3_u64 {
        now = start + seconds(number as f64);
        assert_eq!(held_by(&mut tracker, 9, &[50, 4], now), None);
        tracker.record_crash(crash(number, 100 + number, &[10 + number, 4]), now, true);
    }
    assert_eq!(held_by(&mut tracker, 9, &[50, 4, 60], now), Some((part(4), false)));
    assert_eq!(held_by(&mut tracker, 9, &[10, 50], now), None);
    let other_service = RequestCauses { service: 8, ..causes(9, &[4]) };
    assert_eq!(tracker.standing(&other_service, now), Standing::Clear);
}

#[test]
fn of_parts_that_come_together_the_one_without_answers_is_convicted() {
    for parts in [[1, 2], [2, 1]] {
        let start = Instant::now();
        let mut tracker = CrashTracker::default();
        tracker.record_answer(&causes(9, &[1]), start);
        let now = crash_by(&mut tracker, start + seconds(1.0), 0..5, &parts);
        assert_eq!(held_by(&mut tracker, 9, &parts, now), Some((part(2), true)), "{parts:?}");
        assert_eq!(held_by(&mut tracker, 9, &[1, 3], now), None);
    }
}

#[test]
fn a_part_that_was_held_back_in_vain_is_released_when_another_explains_more() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let now = crash_by(&mut tracker, start, 0..3, &[1, 2]);
    assert_eq!(held_by(&mut tracker, 9, &[5, 2], now), Some((part(2), false)), "the later part");
    let now = crash_by(&mut tracker, start, 3..6, &[1, 3]);
    assert_eq!(held_by(&mut tracker, 9, &[1, 9], now), Some((part(1), true)));
    assert_eq!(held_by(&mut tracker, 9, &[5, 2], now), None);
    assert!(tracker.recently_cleared(now, 16).iter().any(|(cause, _)| *cause == part(2)));
}

#[test]
fn two_parts_are_convicted_at_the_same_time() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for number in 0..4_u64 {
        let at = start + seconds(number as f64);
        tracker.record_crash(crash(number, 100 + number, &[1, 2]), at, true);
        tracker.record_crash(crash(50 + number, 200 + number, &[1, 3]), at, true);
        tracker.record_answer(&causes(300 + number, &[1, 4]), at + seconds(0.5));
    }
    let now = start + seconds(4.0);
    assert_eq!(held_by(&mut tracker, 9, &[1, 2], now).map(|h| h.0), Some(part(2)));
    assert_eq!(held_by(&mut tracker, 9, &[1, 3], now).map(|h| h.0), Some(part(3)));
    assert_eq!(held_by(&mut tracker, 9, &[1, 4], now), None);
}

/// Two crashing parts with a common first part came at once, and that part was convicted.
#[test]
fn a_part_that_several_crashing_ones_share_is_not_convicted_in_their_place() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    tracker.record_answer(&causes(1, &[1, 4]), start);
    for number in 0..3_u64 {
        let at = start + seconds(1.0 + number as f64);
        tracker.record_crash(crash(number, 100 + number, &[1, 2]), at, true);
        tracker.record_crash(crash(50 + number, 200 + number, &[1, 3]), at, true);
    }
    let now = start + seconds(4.0);
    assert_eq!(held_by(&mut tracker, 9, &[1, 4], now), None);
    assert_eq!(held_by(&mut tracker, 9, &[1, 2], now), Some((part(2), false)));
    assert_eq!(held_by(&mut tracker, 9, &[1, 3], now), Some((part(3), false)));
}

#[test]
fn crashes_before_an_answer_do_not_count() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let now = crash_by(&mut tracker, start, 0..4, &[1, 2]);
    assert!(held_by(&mut tracker, 9, &[1, 2], now).is_some());
    let cleared = tracker.record_answer(&causes(9, &[1, 2]), now + seconds(0.1));
    assert_eq!(cleared, [part(1), part(2)]);
    let again = tracker.record_answer(&causes(10, &[1, 2]), now + seconds(0.15));
    assert!(again.is_empty(), "what is cleared already need not be told again");
    assert_eq!(held_by(&mut tracker, 9, &[1, 2], now + seconds(0.2)), None);
    let stale = aspenloft_policy::crash_tracker::Conviction { cause: part(2), crashes: 4 };
    tracker.record_conviction(stale, seconds(0.5), now + seconds(0.3));
    assert_eq!(held_by(&mut tracker, 9, &[1, 2], now + seconds(0.3)), None);
}

#[test]
fn servers_that_crash_at_the_same_moment_convict_no_part() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for server in 0..8 {
        let at = now + Duration::from_millis(server * 10);
        tracker.record_crash(crash(server, server, &[1, 2]), at, true);
    }
    let now = now + seconds(0.1);
    assert_eq!(held_by(&mut tracker, 9, &[1, 2], now), None);
    assert_eq!(tracker.standing(&causes(9, &[1, 2]), now), Standing::Suspect);
    assert_eq!(tracker.standing(&causes(9, &[3]), now), Standing::Clear);
}

#[test]
fn one_request_that_is_sent_again_convicts_no_part() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for server in 0..5_u64 {
        let at = start + seconds(server as f64);
        tracker.record_crash(crash(server, POISON, &[1, 2]), at, true);
    }
    let now = start + seconds(5.0);
    assert_eq!(held_by(&mut tracker, POISON, &[1, 2], now), Some((request(POISON), true)));
    assert_eq!(held_by(&mut tracker, 9, &[1, 2], now), None);
}

#[test]
fn a_part_is_tried_rarely_and_less_and_less() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let now = crash_by(&mut tracker, start, 0..3, &[2]);
    assert!(!tracker.try_trial(part(2), now + seconds(1.9)));
    assert!(tracker.try_trial(part(2), now + seconds(2.0)));
    assert!(!tracker.try_trial(part(2), now + seconds(3.9)), "one trial at a time");
    let trial = now + seconds(2.0);
    crash_by(&mut tracker, start, 3..5, &[2]);
    assert!(!tracker.try_trial(part(2), trial + seconds(59.0)));
    assert!(tracker.try_trial(part(2), trial + seconds(60.0)));
    let sixth = trial + seconds(60.1);
    tracker.record_crash(crash(6, 106, &[2]), sixth, true);
    assert!(!tracker.try_trial(part(2), sixth + seconds(239.0)));
    assert_eq!(held_by(&mut tracker, 9, &[2], sixth + seconds(1_500.0)), Some((part(2), true)));
}

#[test]
fn a_host_that_starts_learns_the_convictions_of_others() {
    let start = Instant::now();
    let mut known = CrashTracker::default();
    let now = crash_by(&mut known, start, 0..5, &[2]);
    let mut new = CrashTracker::default();
    for (conviction, age) in known.convictions(now, 0, 16) {
        new.record_conviction(conviction, age, now);
    }
    assert_eq!(held_by(&mut new, 9, &[2], now), Some((part(2), true)));
    // A crash that the new host sees itself does not weaken what it was told.
    new.record_crash(crash(77, 177, &[2]), now, true);
    assert_eq!(held_by(&mut new, 9, &[2], now), Some((part(2), true)));
}

/// Sixty per cent of 20 engines are killed five times under requests that share their first
/// part and, ten each, the second.
#[test]
fn kills_of_most_servers_convict_nothing() {
    bolero::check!().with_iterations(300).with_type::<[[u8; 8]; 5]>().cloned().for_each(|kills| {
        let start = Instant::now();
        let mut tracker = CrashTracker::default();
        let mut number = 0;
        for (round, killed) in kills.into_iter().enumerate() {
            let at = start + seconds(2.0 * round as f64);
            for (server, begun) in killed.into_iter().enumerate() {
                number += 1;
                let server = (round * 100 + server) as u64;
                let at = at + Duration::from_millis(u64::from(begun) / 8);
                tracker.record_crash(crash(server, number, &[1, u64::from(begun % 10)]), at, true);
            }
            // The others go on: some of the requests that come next begin.
            for sound in 0..10 {
                number += 1;
                tracker.record_answer(&causes(number, &[1, sound]), at + seconds(1.0));
            }
        }
        let now = start + seconds(10.0);
        for second in 0..10 {
            assert_eq!(held_by(&mut tracker, 0, &[1, second], now), None);
        }
    });
}
