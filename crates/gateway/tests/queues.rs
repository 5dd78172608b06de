//! Tests what hosts know of each other's queues.

use std::time::{Duration, Instant};

use aspenloft_gateway::loads::{EngineLoads, LoadDigest, QueueDigest, QueueScope, service_key};

fn queue(service: &str, on_time: usize, late: usize) -> QueueDigest {
    QueueDigest { service: service_key(service), on_time, late }
}

#[test]
fn queues_are_told_apart_by_service_and_by_what_can_still_be_in_time() {
    let (loads, _changes) = EngineLoads::new();
    let now = Instant::now();
    loads.set_queues(vec![queue("model", 1, 0)]);
    for (host, queues) in [
        ("h2", vec![queue("model", 2, 3), queue("other", 5, 0)]),
        ("h3", vec![queue("model", 0, 4)]),
    ] {
        loads.update_peer(&host.into(), LoadDigest::default(), now);
        loads.set_peer_queues(host, queues);
    }
    assert_eq!(loads.queued_elsewhere("model", QueueScope::OnTime, now), 2);
    assert_eq!(loads.queued_elsewhere("model", QueueScope::All, now), 9);
    assert_eq!(loads.queued("model", now), 10);
    assert_eq!(loads.queueing_hosts("model", QueueScope::OnTime, now), ["h2".into()]);
    assert_eq!(loads.queueing_hosts("model", QueueScope::All, now).len(), 2);
    assert_eq!(loads.digest().waiting, 1);
}

/// A host that has died or is frozen kept others from placing their late requests.
#[test]
fn the_queue_of_a_silent_host_holds_nobody_up() {
    let (loads, _changes) = EngineLoads::new();
    let now = Instant::now();
    loads.update_peer(&"h2".into(), LoadDigest::default(), now);
    loads.set_peer_queues("h2", vec![queue("model", 1, 0)]);
    let after = |ms| now + Duration::from_millis(ms);
    assert_eq!(loads.queued_elsewhere("model", QueueScope::OnTime, after(599)), 1);
    assert_eq!(loads.queued_elsewhere("model", QueueScope::OnTime, after(600)), 0);
    assert_eq!(loads.queueing_hosts("model", QueueScope::All, after(600)).len(), 0);
}

#[test]
fn the_queues_in_a_digest_are_bounded() {
    let (loads, _changes) = EngineLoads::new();
    loads.set_queues((0..100).map(|n| queue(&format!("s{n}"), n, 0)).collect());
    let told = loads.queues();
    assert_eq!((told.len(), told[0]), (16, queue("s99", 99, 0)));
}

/// A host of the previous build says how many requests wait and nothing else.
#[test]
fn requests_on_hosts_that_do_not_send_their_queues_count_as_on_time() {
    let (loads, _changes) = EngineLoads::new();
    let now = Instant::now();
    let digest = LoadDigest { waiting: 3, ..LoadDigest::default() };
    loads.update_peer(&"h2".into(), digest, now);
    assert_eq!(loads.queued_elsewhere("model", QueueScope::OnTime, now), 3);
    assert_eq!(loads.queueing_hosts("model", QueueScope::OnTime, now), ["h2".into()]);
}
