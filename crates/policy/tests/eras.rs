//! Tests of the era of the key-value service that its responses name.

use aspenloft_core::prelude::{Era, Position};
use aspenloft_policy::eras::EraReading::{Latest, Past, Unconfirmed};
use aspenloft_policy::eras::EraTracker;

fn tracker_at(era: u64) -> EraTracker {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.read(Some(Era(era))), Latest(Era(era)));
    tracker
}

#[test]
fn the_first_era_that_is_named_counts_whatever_it_is() {
    let mut tracker = EraTracker::default();
    assert_eq!(tracker.read(None), Latest(Era(0)));
    assert_eq!(tracker.read(Some(Era(7))), Latest(Era(7)));
}

#[test]
fn a_response_of_an_earlier_era_is_past() {
    let mut tracker = tracker_at(4);
    assert_eq!(tracker.read(Some(Era(5))), Latest(Era(5)));
    assert_eq!(tracker.read(Some(Era(4))), Past(Era(4)));
    assert_eq!(tracker.latest(), Era(5));
}

#[test]
fn a_response_without_an_era_is_one_of_the_latest() {
    let mut tracker = tracker_at(4);
    assert_eq!(tracker.read(None), Latest(Era(4)));
}

#[test]
fn a_rise_by_more_than_one_must_be_named_twice_in_a_row() {
    let mut tracker = tracker_at(4);
    assert_eq!(tracker.read(Some(Era(9))), Unconfirmed(Era(9)));
    assert_eq!(tracker.latest(), Era(4));
    assert_eq!(tracker.read(Some(Era(9))), Latest(Era(9)));
    assert_eq!(tracker.read(Some(Era(u64::MAX))), Unconfirmed(Era(u64::MAX)));
    assert_eq!(tracker.read(Some(Era(9))), Latest(Era(9)));
    assert_eq!(tracker.read(Some(Era(u64::MAX))), Unconfirmed(Era(u64::MAX)));
}

#[test]
fn later_eras_come_after_earlier_ones_whatever_the_revision() {
    let position = |era, revision| Position::new(Era(era), revision);
    let ordered =
        [position(0, 9), position(1, 0), position(1, 300), position(2, 7), position(2, 8)];
    for (earlier, later) in ordered.iter().zip(&ordered[1..]) {
        assert!(earlier < later);
        assert!(earlier.fencing_token() < later.fencing_token());
    }
    assert_eq!(position(0, 9).fencing_token(), 9);
    assert_eq!(position(u64::MAX, 9).fencing_token(), u64::MAX);
}

#[test]
fn the_era_never_falls_and_past_responses_never_count() {
    bolero::check!().with_iterations(5_000).with_type::<Vec<Option<u8>>>().cloned().for_each(
        |named| {
            let mut tracker = EraTracker::default();
            for era in named {
                let before = tracker.latest();
                let reading = tracker.read(era.map(|era| Era(u64::from(era))));
                assert!(tracker.latest() >= before);
                match reading {
                    Latest(era) => assert_eq!(era, tracker.latest()),
                    Past(era) => assert!(era < tracker.latest()),
                    Unconfirmed(era) => assert!(era > tracker.latest()),
                }
            }
        },
    );
}
