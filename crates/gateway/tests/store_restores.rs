//! Tests of a key-value service that comes back from an older copy: its revisions are given
//! out again, and what was written since the copy is gone.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_gateway::configuration::Configuration;
use aspenloft_gateway::roster::ServerEntry;
use aspenloft_gateway::roster::ServerRole::Plain;
use common::{
    MemoryStore, Scripted, StoreCopy, TestHost, configuration, entry, sealed, status, wait_for,
};

/// How long requests may reach a server after it announced that it leaves.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// How long a new configuration may take.
const CONFIGURATION_LIMIT: Duration = Duration::from_secs(2);

/// The number of writes that the service loses.
const LOST_WRITES: usize = 30;

fn get(id: &str) -> String {
    format!("GET /many/ HTTP/1.1\r\nhost: app.test\r\nid: {id}\r\n\r\n")
}

fn good() -> Scripted {
    Scripted::start(|_, req| sealed(req, "200 OK", "done"))
}

/// Raises the revision of `store` by `count`.
fn write_other_keys(store: &MemoryStore, count: usize) {
    for number in 0..count {
        store.write(&format!("somebody/else-{number}"), &number);
    }
}

/// Waits until `host` has read all changes of its store.
fn settle() {
    std::thread::sleep(Duration::from_millis(300));
}

fn leaving(entry: ServerEntry) -> ServerEntry {
    ServerEntry { leaving: true, ..entry }
}

/// Asserts that no request through `host` reaches `server` any more.
fn assert_unused(host: &TestHost, server: &Scripted) {
    let before = server.count();
    for n in 0..20 {
        assert_eq!(status(&host.send(&get(&format!("unused-{n}")))), "200");
    }
    assert_eq!(server.count(), before, "requests reach a server that is leaving");
}

/// A host in front of two servers, whose store has a copy from before its last writes.
struct Restored {
    host: TestHost,
    first: Scripted,
    first_entry: ServerEntry,
    copy: StoreCopy,
}

fn host_with_copy() -> Restored {
    let (first, second) = (good(), good());
    let first_entry = entry("s1", first.addr, Plain);
    let host = TestHost::with_servers(&[first_entry.clone(), entry("s2", second.addr, Plain)]);
    let copy = host.store.copy();
    write_other_keys(&host.store, LOST_WRITES);
    settle();
    Restored { host, first, first_entry, copy }
}

// Hosts dropped all that the service said until its revisions had passed those of before.
#[test]
fn a_server_that_leaves_after_a_restore_gets_no_more_requests() {
    let Restored { host, first, first_entry, copy } = host_with_copy();
    host.store.restore(&copy);
    settle();
    host.store.write("servers/s1", &leaving(first_entry));
    std::thread::sleep(DRAIN_LIMIT);
    assert_unused(&host, &first);
}

// A watch went on from a revision that had been given out again, and missed what was new.
#[test]
fn a_change_at_a_revision_that_is_given_out_again_is_not_missed() {
    let Restored { host, first, first_entry, copy } = host_with_copy();
    host.store.set_down(true);
    settle();
    host.store.restore(&copy);
    host.store.write("servers/s1", &leaving(first_entry));
    write_other_keys(&host.store, LOST_WRITES + 10);
    host.store.set_down(false);
    std::thread::sleep(DRAIN_LIMIT);
    assert_unused(&host, &first);
}

// A host that had read the older service seemed ahead of those that read the restored one.
#[test]
fn a_change_after_a_restore_reaches_hosts_that_do_not_watch() {
    let Restored { host, first, first_entry, copy } = host_with_copy();
    let second = host.start_without_store();
    host.store.restore(&copy);
    settle();
    host.store.write("servers/s1", &leaving(first_entry));
    host.store.write("configuration", &configuration_without_once(2));
    let written = Instant::now();
    let once = "GET /once/ HTTP/1.1\r\nhost: app.test\r\nid: o\r\n\r\n";
    wait_for("the new version", || status(&second.send(once)) == "404");
    assert!(written.elapsed() < CONFIGURATION_LIMIT, "{:?}", written.elapsed());
    std::thread::sleep(DRAIN_LIMIT.saturating_sub(written.elapsed()));
    assert_unused(&second, &first);
}

fn configuration_without_once(version: u64) -> Configuration {
    let mut configuration = configuration(version);
    configuration.routes.retain(|route| &*route.name != "once");
    configuration
}

// A host noticed the loss of its entry only when it next renewed its lease.
#[test]
fn a_host_lists_itself_again_after_a_restore() {
    let store = Arc::new(MemoryStore::default());
    store.write("configuration", &configuration(1));
    let copy = store.copy();
    let host = TestHost::start("h1", store);
    let is_listed = || host.store.value("aspenloft/hosts/h1").is_some();
    wait_for("the host to list itself", is_listed);
    settle();
    host.store.restore(&copy);
    let restored = Instant::now();
    wait_for("the host to list itself again", is_listed);
    assert!(restored.elapsed() < Duration::from_secs(3), "{:?}", restored.elapsed());
}

// The copy listed servers as ready that had left since.
#[test]
fn a_server_that_had_left_gets_no_requests_when_the_copy_lists_it_again() {
    let Restored { host, first, first_entry, copy } = host_with_copy();
    host.store.write("servers/s1", &leaving(first_entry));
    settle();
    host.store.remove("servers/s1");
    settle();
    host.store.restore(&copy);
    settle();
    assert_unused(&host, &first);
}

#[test]
fn servers_that_the_copy_lacks_are_used_until_they_register_again() {
    let (first, second) = (good(), good());
    let host = TestHost::with_servers(&[entry("s1", first.addr, Plain)]);
    let copy = host.store.copy();
    let (second_entry, third_entry) =
        (entry("s2", second.addr, Plain), entry("s3", second.addr, Plain));
    host.store.write("servers/s2", &second_entry);
    host.store.write("servers/s3", &third_entry);
    settle();
    host.store.restore(&copy);
    host.store.remove("servers/s1");
    let restored = Instant::now();
    while restored.elapsed() < Duration::from_millis(1_200) {
        assert_eq!(status(&host.send(&get("a"))), "200", "after {:?}", restored.elapsed());
    }
    host.store.write("servers/s2", &second_entry);
    std::thread::sleep(Duration::from_millis(1_500));
    assert_eq!(status(&host.send(&get("b"))), "200", "the second server registered again");
    host.store.remove("servers/s2");
    wait_for("both to be gone", || status(&host.send(&get("c"))) == "503");
}

// A host that started after the return had the configuration of the copy until it was rewritten.
#[test]
fn a_host_that_starts_after_a_restore_gets_the_newest_configuration_from_others() {
    let host = TestHost::with_servers(&[entry("s1", good().addr, Plain)]);
    let copy = host.store.copy();
    host.store.write("configuration", &configuration_without_once(2));
    let once = "GET /once/ HTTP/1.1\r\nhost: app.test\r\nid: o\r\n\r\n";
    wait_for("the new version", || status(&host.send(once)) == "404");
    host.store.restore(&copy);
    settle();
    host.store.write("aspenloft/hosts/h1", &host_entry(&host));
    let second = TestHost::start("h2", host.store.for_another_host());
    second.wait_ready();
    let started = Instant::now();
    wait_for("the newest version", || status(&second.send(once)) == "404");
    assert!(started.elapsed() < CONFIGURATION_LIMIT, "{:?}", started.elapsed());
    assert_eq!(status(&host.send(once)), "404", "the version never falls");
}

fn host_entry(host: &TestHost) -> serde_json::Value {
    let addr = host.settings.listen.peers;
    serde_json::json!({ "name": "h1", "addr": addr, "data_centre": "dc-a" })
}

// A host that started after the return took the copy at its word.
#[test]
fn a_host_that_starts_after_a_restore_learns_from_others_which_servers_had_left() {
    let Restored { host, first, first_entry, copy } = host_with_copy();
    host.store.write("servers/s1", &leaving(first_entry));
    settle();
    host.store.remove("servers/s1");
    settle();
    host.store.restore(&copy);
    settle();
    host.store.write("aspenloft/hosts/h1", &host_entry(&host));
    let second = TestHost::start("h2", host.store.for_another_host());
    second.wait_ready();
    // Digests come within 250 ms, and views are fetched every 150 ms.
    std::thread::sleep(Duration::from_millis(600));
    assert_unused(&second, &first);
}
