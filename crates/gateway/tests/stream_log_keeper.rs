//! Tests that the versions of streams are written down without a pause while the host that
//! writes them leaves, ends or cannot reach the key-value service.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::streams::{
    WRITE_TIME, at_version, engine, read_events, request, restart_all, start_hosts, take_up,
    versions,
};
use common::{MemoryStore, TestHost, status, wait_for};

/// A grace period that outlasts the tests.
const GRACE: Duration = Duration::from_secs(60);

/// How long it takes until one host of each data centre keeps the log.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// How long it takes until another host has taken the log over from one that cannot write.
const TAKEOVER_TIME: Duration = Duration::from_secs(2);

/// The time for which streams of the tests last: the timeout of their route.
const LIFETIME: Duration = Duration::from_secs(2);

const MARK: &str = "aspenloft/streams/mixed/model";

/// Takes the stream `first` up at a host that starts with what `store` has, and returns the
/// status of the response and the versions in it.
fn take_up_after_restart(store: &MemoryStore, first: &str) -> (String, Vec<String>) {
    let (_store, hosts) = restart_all(store, &["n1"]);
    let response = hosts[0].send(&take_up("again", first, 2));
    (status(&response), versions(&response))
}

/// Starts hosts in front of engines of two versions.
fn start_mixed(names: &[&str]) -> (Arc<MemoryStore>, Vec<TestHost>) {
    let (old, new) = (engine("v1"), engine("v2"));
    let servers = [at_version("d1", &old, "v1"), at_version("d2", &new, "v2")];
    let (store, hosts) = start_hosts(names, &servers);
    std::thread::sleep(SETTLE_TIME);
    (store, hosts)
}

// The first host stopped writing, and the others waited until it was silent.
#[test]
fn streams_that_begin_while_their_writer_leaves_cannot_be_taken_up() {
    let (store, hosts) = start_mixed(&["h1", "h2"]);
    hosts[0].leave(GRACE);
    let begun = read_events(&hosts[1], &request("a"), 2);
    std::thread::sleep(WRITE_TIME);
    assert_eq!(take_up_after_restart(&store, "a"), ("200".to_string(), versions(&begun)));
}

// No host wrote the mark, and a host that had just started took the version that was left for
// the only one.
#[test]
fn a_version_that_comes_and_goes_while_all_hosts_leave_is_not_noticed() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = start_hosts(&["h1", "h2"], &[at_version("d1", &old, "v1")]);
    std::thread::sleep(SETTLE_TIME);
    hosts.iter().for_each(|host| drop(host.leave(GRACE)));
    store.write("servers/d2", &at_version("d2", &new, "v2"));
    std::thread::sleep(WRITE_TIME);
    store.remove("servers/d2");
    assert_eq!(take_up_after_restart(&store, "begun-at-v2"), ("503".to_string(), vec![]));
}

// The first host could not write, and the others did not know.
#[test]
fn streams_are_not_written_down_while_the_first_host_cannot_reach_the_store() {
    let (store, hosts) = start_mixed(&["h1", "h2"]);
    hosts[0].store.set_refusing(true);
    let begun = read_events(&hosts[1], &request("a"), 2);
    std::thread::sleep(TAKEOVER_TIME);
    assert_eq!(take_up_after_restart(&store, "a"), ("200".to_string(), versions(&begun)));
}

#[test]
fn streams_are_written_down_while_the_store_is_slow() {
    let (old, new) = (engine("v1"), engine("v2"));
    let servers = [at_version("d1", &old, "v1"), at_version("d2", &new, "v2")];
    let (store, hosts) = start_hosts(&["h1", "h2"], &servers);
    hosts.iter().for_each(|host| host.store.set_delay(Duration::from_millis(240)));
    let begun = read_events(&hosts[1], &request("a"), 2);
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(take_up_after_restart(&store, "a"), ("200".to_string(), versions(&begun)));
}

// The last records were lost with the host that had not written them yet.
#[test]
fn streams_that_begin_just_before_their_host_ends_cannot_be_taken_up() {
    let (store, hosts) = start_mixed(&["h1"]);
    let begun = read_events(&hosts[0], &request("a"), 2);
    hosts[0].leave(Duration::from_millis(400)).join().expect("the end");
    assert_eq!(take_up_after_restart(&store, "a"), ("200".to_string(), versions(&begun)));
}

// A host that had been out of touch took the mark for one that had outlived its versions.
#[test]
fn the_mark_of_a_version_that_has_just_left_is_removed() {
    let (old, new) = (engine("v1"), engine("v2"));
    let (store, hosts) = start_hosts(&["h1"], &[at_version("d1", &old, "v1")]);
    std::thread::sleep(LIFETIME * 2);
    hosts[0].store.set_silent(true);
    store.write("servers/d2", &at_version("d2", &new, "v2"));
    store.write(MARK, &serde_json::json!({}));
    store.remove("servers/d2");
    hosts[0].store.set_silent(false);
    let response = hosts[0].send(&take_up("b", "begun-at-v2", 2));
    assert_eq!(status(&response), "503", "{response}");
    std::thread::sleep(LIFETIME.mul_f64(0.8));
    assert!(store.value(MARK).is_some(), "streams of the other version may still be taken up");
    wait_for("the mark to end", || store.value(MARK).is_none());
}
