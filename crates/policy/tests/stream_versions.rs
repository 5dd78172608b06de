//! The records of the versions at which streams began: what is sent, kept and forgotten.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use aspenloft_policy::stream_versions::{
    Origin, Scope, StreamRecord, StreamTable, VersionHistory, VersionTag, stream_key,
};

fn record(number: u64, version: &str) -> StreamRecord {
    StreamRecord { key: number, version: VersionTag::of(version) }
}

#[test]
fn each_record_is_sent_twice_to_every_host() {
    let now = Instant::now();
    let mut table = StreamTable::default();
    for number in 0..5 {
        table.record_own(record(number, "v1"), now);
    }
    let keys = |records: Vec<StreamRecord>| records.iter().map(|r| r.key).collect::<Vec<u64>>();
    assert_eq!(keys(table.take_unsent(Scope::Group, 3)), [0, 1, 2]);
    assert_eq!(keys(table.take_unsent(Scope::Group, 3)), [0, 1, 2]);
    assert_eq!(keys(table.take_unsent(Scope::Group, 3)), [3, 4]);
    // The hosts of the group are among all hosts.
    assert_eq!(keys(table.take_unsent(Scope::All, 9)), [0, 1, 2, 3, 4]);
    assert!(table.take_unsent(Scope::Group, 9).is_empty());
    assert_eq!(keys(table.take_unsent(Scope::All, 9)), [0, 1, 2, 3, 4]);
    assert!(table.take_unsent(Scope::All, 9).is_empty());
}

#[test]
fn records_are_not_sent_on_by_those_who_receive_them() {
    let mut table = StreamTable::default();
    table.record(record(1, "v1"), Origin::Far, Instant::now());
    assert_eq!(table.version(1), Some(VersionTag::of("v1")));
    assert!(table.take_unsent(Scope::All, 9).is_empty());
}

/// Another request with the same id steered a stream to another version.
#[test]
fn a_second_stream_with_the_same_id_changes_the_version_of_the_first() {
    let now = Instant::now();
    let mut table = StreamTable::default();
    table.record_own(record(1, "v1"), now);
    table.record_own(record(1, "v2"), now);
    table.record(record(1, "v2"), Origin::Far, now);
    assert_eq!(table.version(1), Some(VersionTag::of("v1")));
    assert_ne!(stream_key("a", "id"), stream_key("b", "id"), "services do not share ids");
}

#[test]
fn records_are_forgotten_after_a_minute_and_bounded_in_number() {
    let start = Instant::now();
    let mut table = StreamTable::default();
    table.record(record(1, "v1"), Origin::Far, start);
    table.record(record(2, "v1"), Origin::Far, start);
    // Taking a stream up keeps its record.
    table.record(record(2, "v1"), Origin::Far, start + Duration::from_secs(50));
    table.record(record(3, "v1"), Origin::Far, start + Duration::from_secs(61));
    assert_eq!((table.version(1), table.version(2).is_some()), (None, true));
    for number in 10..200_000 {
        table.record(record(number, "v1"), Origin::Far, start + Duration::from_secs(62));
    }
    let kept = (0..200_000).filter(|number| table.version(*number).is_some()).count();
    assert!(kept <= 32_768, "{kept} records");
    assert!(table.version(199_999).is_some());
}

#[test]
fn an_unknown_version_is_never_recorded_or_continued() {
    let now = Instant::now();
    let mut table = StreamTable::default();
    table.record_own(record(1, ""), now);
    assert_eq!(table.version(1), None);
    assert!(!VersionTag::UNKNOWN.continues_at(VersionTag::UNKNOWN));
    assert!(VersionTag::of("v1").continues_at(VersionTag::of("v1")));
    assert!(!VersionTag::of("v1").continues_at(VersionTag::of("v1.1")));
}

#[test]
fn a_single_version_counts_once_it_has_been_the_only_one_long_enough() {
    let start = Instant::now();
    let at = |s| start + Duration::from_secs(s);
    let listed = |versions: &[&str]| {
        HashMap::from([("m".into(), versions.iter().map(|v| VersionTag::of(v)).collect())])
    };
    let period = Duration::from_secs(30);
    let mut history = VersionHistory::default();
    history.observe(listed(&["v1"]), at(0));
    assert_eq!(history.only_version("m", period, at(29)), None);
    history.observe(listed(&["v1"]), at(29));
    assert_eq!(history.only_version("m", period, at(30)), Some(VersionTag::of("v1")));
    history.observe(listed(&["v1", "v2"]), at(31));
    assert_eq!(history.only_version("m", period, at(90)), None);
    history.observe(listed(&["v2"]), at(91));
    assert_eq!(history.only_version("m", period, at(120)), None);
    assert_eq!(history.only_version("m", period, at(121)), Some(VersionTag::of("v2")));
    history.observe(listed(&[""]), at(130));
    assert_eq!(history.only_version("m", period, at(200)), None);
    assert_eq!(history.only_version("other", period, at(200)), None);
}

#[test]
fn records_of_the_own_data_centre_are_written_once() {
    let (start, second) = (Instant::now(), Duration::from_secs(1));
    let mut table = StreamTable::default();
    table.record_own(record(1, "v1"), start + second);
    table.record(record(2, "v1"), Origin::Near, start + second * 2);
    table.record(record(3, "v1"), Origin::Far, start + second * 3);
    let (records, newest) = table.recorded_since(start);
    assert_eq!(records, [record(2, "v1"), record(1, "v1")]);
    assert_eq!(newest, Some(start + second * 3));
    assert_eq!(table.recorded_since(start + second).0, [record(2, "v1")]);
    assert_eq!(table.recorded_since(start + second * 3), (Vec::new(), None));
}

#[test]
fn a_service_is_mixed_until_streams_of_the_other_version_have_ended() {
    let (start, period) = (Instant::now(), Duration::from_secs(14));
    let listed = |versions: &[&str]| {
        let versions = versions.iter().map(|version| VersionTag::of(version)).collect();
        HashMap::from([("model".into(), versions)])
    };
    let mut history = VersionHistory::default();
    history.observe(listed(&["v1"]), start);
    assert!(history.mixed(|_| period, start).is_empty(), "the first version that is seen");
    history.observe(listed(&["v1", "v2"]), start);
    let late = start + Duration::from_secs(100);
    assert_eq!(history.mixed(|_| period, late).len(), 1);
    history.observe(listed(&["v2"]), late);
    assert_eq!(history.mixed(|_| period, late + Duration::from_secs(13)).len(), 1);
    assert!(history.mixed(|_| period, late + period).is_empty());
}
