//! Tests of the order in which a host applies what it learns of the backend servers.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Era, Position};
use aspenloft_gateway::departures::Departures;
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_gateway::view::{Keep, RESTORE_SETTLE_TIME, ServerChange, UpdateSource, View};
use common::entry;

fn server(instance: &str) -> ServerEntry {
    entry(instance, SocketAddr::from(([127, 0, 0, 1], 1)), Plain)
}

fn listed(instance: &str) -> ServerChange {
    ServerChange::Listed(server(instance))
}

fn at(revision: u64) -> Position {
    Position::new(Era(0), revision)
}

/// Returns a view with the servers `a` and `b`, which `b` left at revision 7.
fn view() -> View {
    let view = View::default();
    assert!(view.replace_servers(
        vec![listed("a"), listed("b")],
        at(5),
        UpdateSource::Snapshot,
        &Keep::Nothing,
        Instant::now()
    ));
    view.apply_changes(
        vec![(7, ServerChange::Removed("b".into()))],
        at(7),
        &Keep::Nothing,
        Instant::now(),
    );
    view
}

fn names(view: &View) -> Vec<String> {
    let mut names: Vec<_> = view.roster().all().map(|s| s.entry.instance.to_string()).collect();
    names.sort();
    names
}

#[test]
fn a_snapshot_older_than_the_applied_changes_is_not_applied() {
    let view = view();
    assert!(!view.replace_servers(
        vec![listed("b")],
        at(6),
        UpdateSource::Snapshot,
        &Keep::Nothing,
        Instant::now()
    ));
    assert_eq!((names(&view), view.position()), (vec!["a".to_string()], at(7)));
}

#[test]
fn changes_that_were_applied_already_are_left_out() {
    let view = view();
    view.apply_changes(
        vec![(6, listed("b")), (7, listed("b")), (8, listed("c"))],
        at(8),
        &Keep::Nothing,
        Instant::now(),
    );
    assert_eq!((names(&view), view.position()), (vec!["a".to_string(), "c".to_string()], at(8)));
    view.apply_changes(Vec::new(), at(6), &Keep::Nothing, Instant::now());
    assert_eq!(view.position(), at(8));
}

#[test]
fn a_kept_server_is_used_until_its_time_ends_and_is_not_kept_again() {
    let (view, now) = (View::default(), Instant::now());
    let until = now + Duration::from_secs(2);
    let entries =
        vec![listed("a"), ServerChange::Listed(ServerEntry { leaving: true, ..server("b") })];
    view.replace_servers(entries, at(1), UpdateSource::Snapshot, &Keep::Nothing, Instant::now());
    view.replace_servers(
        Vec::new(),
        at(2),
        UpdateSource::Snapshot,
        &Keep::Until(until),
        Instant::now(),
    );
    assert_eq!(names(&view), ["a"], "a server that was leaving is not kept");
    let later = until + Duration::from_secs(1);
    view.replace_servers(
        Vec::new(),
        at(3),
        UpdateSource::Snapshot,
        &Keep::Until(later),
        Instant::now(),
    );
    let is_staying = |at| view.roster().get("a").is_some_and(|s| s.is_staying(at));
    assert!(is_staying(until - Duration::from_millis(1)) && !is_staying(until));
    view.remove_expired(until);
    assert!(names(&view).is_empty());
}

#[test]
fn another_hosts_kept_servers_are_kept_no_longer_and_never_listed_again() {
    let (view, now) = (view(), Instant::now());
    let until = now + Duration::from_secs(1);
    let kept = || Keep::AsPeer(vec![(server("a"), until), (server("b"), until)]);
    view.replace_servers(Vec::new(), at(8), UpdateSource::Peer, &kept(), Instant::now());
    assert_eq!(names(&view), ["a"], "b was removed before");
    assert!(view.roster().get("a").is_some_and(|s| s.kept_until == Some(until)));
    view.replace_servers(
        Vec::new(),
        at(9),
        UpdateSource::Peer,
        &Keep::AsPeer(Vec::new()),
        Instant::now(),
    );
    assert!(names(&view).is_empty(), "a host that saw the removal keeps none");
    let new = View::default();
    new.replace_servers(Vec::new(), at(9), UpdateSource::Peer, &kept(), Instant::now());
    assert_eq!(names(&new), ["a", "b"], "a host without a list takes them");
}

#[test]
fn a_kept_server_stays_when_its_entry_is_written_again() {
    let (view, now) = (view(), Instant::now());
    view.apply_changes(
        vec![(8, ServerChange::Removed("a".into()))],
        at(8),
        &Keep::Until(now),
        Instant::now(),
    );
    view.apply_changes(vec![(9, listed("a"))], at(9), &Keep::Nothing, Instant::now());
    view.remove_expired(now + Duration::from_secs(1));
    assert_eq!(names(&view), ["a"]);
}

#[test]
fn a_snapshot_of_a_later_era_is_applied_although_its_revision_is_lower() {
    let view = view();
    let later = |revision| Position::new(Era(1), revision);
    let snapshot = vec![listed("b"), listed("c")];
    assert!(view.replace_servers(
        snapshot,
        later(3),
        UpdateSource::Snapshot,
        &Keep::Nothing,
        Instant::now()
    ));
    assert_eq!((names(&view), view.position()), (vec!["b".into(), "c".into()], later(3)));
    let past = vec![listed("a")];
    assert!(!view.replace_servers(
        past,
        at(900),
        UpdateSource::Peer,
        &Keep::Nothing,
        Instant::now()
    ));
    view.apply_changes(vec![(901, listed("a"))], at(901), &Keep::Nothing, Instant::now());
    view.apply_changes(
        vec![(4, listed("d"))],
        Position::new(Era(2), 4),
        &Keep::Nothing,
        Instant::now(),
    );
    assert_eq!((names(&view), view.position()), (vec!["b".into(), "c".into()], later(3)));
}

/// Returns a view in which `a` stays, `b` has left and `c` left after it had announced it, and
/// the snapshot of a copy that lists all of them, in the next era.
fn restored_view(now: Instant) -> View {
    let view = view();
    let leaving = ServerChange::Listed(ServerEntry { leaving: true, ..server("c") });
    let removed = ServerChange::Removed("c".into());
    view.apply_changes(vec![(8, leaving), (9, removed)], at(9), &Keep::Nothing, now);
    let copy = vec![listed("a"), listed("b"), listed("c")];
    let position = Position::new(Era(1), 4);
    assert!(view.replace_servers(copy, position, UpdateSource::Snapshot, &Keep::Nothing, now));
    view
}

fn staying(view: &View, now: Instant) -> Vec<String> {
    let roster = view.roster();
    let mut names: Vec<_> =
        roster.all().filter(|s| s.is_staying(now)).map(|s| s.entry.instance.to_string()).collect();
    names.sort();
    names
}

#[test]
fn servers_that_had_left_are_not_used_when_an_older_copy_lists_them() {
    let now = Instant::now();
    let view = restored_view(now);
    assert_eq!(names(&view), ["a", "b", "c"]);
    assert_eq!(staying(&view, now), ["a"]);
    let settled = now + RESTORE_SETTLE_TIME;
    assert_eq!(staying(&view, settled - Duration::from_millis(1)), ["a"]);
    assert_eq!(staying(&view, settled), ["a", "b"], "b renews its lease, c is leaving for good");
}

#[test]
fn a_server_that_registers_again_after_a_restore_is_used_at_once() {
    let now = Instant::now();
    let view = restored_view(now);
    let restarted = ServerChange::Listed(ServerEntry { born_ms: 2, ..server("c") });
    let changes = vec![(5, listed("b")), (6, restarted)];
    view.apply_changes(changes, Position::new(Era(1), 6), &Keep::Nothing, now);
    assert_eq!(staying(&view, now), ["a", "b", "c"]);
}

#[test]
fn servers_that_are_gone_are_remembered_within_bounds() {
    let now = Instant::now();
    let mut departures = Departures::default();
    for number in 0..10_000 {
        let at = now + Duration::from_millis(number);
        departures.record(&server(&format!("s{number}")), Era(0), at);
    }
    assert_eq!(departures.len(), 4_096);
    assert!(departures.of(&server("s9999")).is_some() && departures.of(&server("s0")).is_none());
    departures.record(&server("last"), Era(0), now + Duration::from_secs(200));
    assert_eq!(departures.len(), 1);
}

#[test]
fn a_host_that_missed_a_removal_withholds_the_server_as_others_do() {
    let now = Instant::now();
    let until = now + Duration::from_secs(4);
    let missed = View::default();
    let snapshot = || vec![listed("a"), listed("b"), listed("c")];
    missed.replace_servers(snapshot(), at(5), UpdateSource::Snapshot, &Keep::Nothing, now);
    let leaving = ServerChange::Listed(ServerEntry { leaving: true, ..server("c") });
    let reply = || vec![listed("a"), ServerChange::Withheld(server("b"), until), leaving.clone()];
    let keep = Keep::AsPeer(Vec::new());
    missed.replace_servers(reply(), Position::new(Era(1), 4), UpdateSource::Peer, &keep, now);
    assert_eq!(staying(&missed, now), ["a"]);
    assert_eq!(staying(&missed, until), ["a", "b"]);
    // The marks count whatever the position of the other host.
    let ahead = View::default();
    let position = Position::new(Era(1), 9);
    ahead.replace_servers(snapshot(), position, UpdateSource::Snapshot, &Keep::Nothing, now);
    ahead.merge_marks(&reply());
    assert_eq!((staying(&ahead, now), ahead.position()), (vec!["a".into()], position));
}
