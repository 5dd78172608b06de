//! Tests of the order in which a host applies what it learns of the backend servers.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use aspenloft_core::prelude::{Era, Position};
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Plain;
use aspenloft_gateway::view::{Keep, ServerChange, UpdateSource, View};
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
        &Keep::Nothing
    ));
    view.apply_changes(vec![(7, ServerChange::Removed("b".into()))], at(7), &Keep::Nothing);
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
        &Keep::Nothing
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
    );
    assert_eq!((names(&view), view.position()), (vec!["a".to_string(), "c".to_string()], at(8)));
    view.apply_changes(Vec::new(), at(6), &Keep::Nothing);
    assert_eq!(view.position(), at(8));
}

#[test]
fn a_kept_server_is_used_until_its_time_ends_and_is_not_kept_again() {
    let (view, now) = (View::default(), Instant::now());
    let until = now + Duration::from_secs(2);
    let entries =
        vec![listed("a"), ServerChange::Listed(ServerEntry { leaving: true, ..server("b") })];
    view.replace_servers(entries, at(1), UpdateSource::Snapshot, &Keep::Nothing);
    view.replace_servers(Vec::new(), at(2), UpdateSource::Snapshot, &Keep::Until(until));
    assert_eq!(names(&view), ["a"], "a server that was leaving is not kept");
    let later = until + Duration::from_secs(1);
    view.replace_servers(Vec::new(), at(3), UpdateSource::Snapshot, &Keep::Until(later));
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
    view.replace_servers(Vec::new(), at(8), UpdateSource::Peer, &kept());
    assert_eq!(names(&view), ["a"], "b was removed before");
    assert!(view.roster().get("a").is_some_and(|s| s.kept_until == Some(until)));
    view.replace_servers(Vec::new(), at(9), UpdateSource::Peer, &Keep::AsPeer(Vec::new()));
    assert!(names(&view).is_empty(), "a host that saw the removal keeps none");
    let new = View::default();
    new.replace_servers(Vec::new(), at(9), UpdateSource::Peer, &kept());
    assert_eq!(names(&new), ["a", "b"], "a host without a list takes them");
}

#[test]
fn a_kept_server_stays_when_its_entry_is_written_again() {
    let (view, now) = (view(), Instant::now());
    view.apply_changes(vec![(8, ServerChange::Removed("a".into()))], at(8), &Keep::Until(now));
    view.apply_changes(vec![(9, listed("a"))], at(9), &Keep::Nothing);
    view.remove_expired(now + Duration::from_secs(1));
    assert_eq!(names(&view), ["a"]);
}

#[test]
fn a_snapshot_of_a_later_era_is_applied_although_its_revision_is_lower() {
    let view = view();
    let later = |revision| Position::new(Era(1), revision);
    let snapshot = vec![listed("b"), listed("c")];
    assert!(view.replace_servers(snapshot, later(3), UpdateSource::Snapshot, &Keep::Nothing));
    assert_eq!((names(&view), view.position()), (vec!["b".into(), "c".into()], later(3)));
    let past = vec![listed("a")];
    assert!(!view.replace_servers(past, at(900), UpdateSource::Peer, &Keep::Nothing));
    view.apply_changes(vec![(901, listed("a"))], at(901), &Keep::Nothing);
    view.apply_changes(vec![(4, listed("d"))], Position::new(Era(2), 4), &Keep::Nothing);
    assert_eq!((names(&view), view.position()), (vec!["b".into(), "c".into()], later(3)));
}
