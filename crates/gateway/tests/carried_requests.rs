//! Tests of hosts that are cut off from the backend servers while callers, the store and the
//! other hosts reach them: their requests are served through other hosts.

mod common;

use std::sync::Arc;
use std::time::{Duration, Instant};

use aspenloft_gateway::roster::ServerRole::{Decode, Plain, Prefill};
use aspenloft_standin::network::Cut;
use common::{MemoryStore, Scripted, TestHost, body, configuration, entry, sealed, status};

const CUTS: [Cut; 3] = [Cut::Refused, Cut::Reset, Cut::Hanging];

/// How soon after the cut requests are to be served as before.
const DETECTION_TIME: Duration = Duration::from_secs(1);

/// Hosts in front of plain servers and engines.
struct Deployment {
    hosts: Vec<TestHost>,
    _servers: Vec<Scripted>,
}

impl Deployment {
    fn start(hosts: usize) -> Deployment {
        let store = Arc::new(MemoryStore::default());
        store.write("configuration", &configuration(1));
        let servers: Vec<Scripted> = (0..8).map(|n| Scripted::start(respond_as(n))).collect();
        for (n, server) in servers.iter().enumerate() {
            let role = [Plain, Plain, Plain, Prefill, Prefill, Decode, Decode, Decode][n];
            store.write(&format!("servers/s{n}"), &entry(&format!("s{n}"), server.addr, role));
        }
        let start = |n: usize| TestHost::start(&format!("h{n}"), store.for_another_host());
        let hosts: Vec<TestHost> = (0..hosts).map(start).collect();
        for host in &hosts {
            host.network.relay_connections();
            host.wait_ready();
        }
        // Hosts find each other.
        std::thread::sleep(Duration::from_millis(500));
        Deployment { hosts, _servers: servers }
    }

    /// Sends calls and model requests to host 0 for `span` and returns how many were sent and
    /// how many served whole.
    fn send_for(&self, span: Duration) -> (usize, usize) {
        let began = Instant::now();
        let (mut sent, mut served) = (0, 0);
        while began.elapsed() < span {
            sent += 1;
            let response = self.send(sent);
            let is_whole = body(&response) == "done" || response.ends_with("0\r\n\r\n");
            served += usize::from(status(&response) == "200" && is_whole);
            std::thread::sleep(Duration::from_millis(20));
        }
        (sent, served)
    }

    fn send(&self, number: usize) -> String {
        let path = ["/once/", "/many/", "/stream/", "/resume/"][number % 4];
        let tokens = if number % 4 > 1 { "tokens: 100,50\r\n" } else { "" };
        self.hosts[0].send(&format!(
            "POST {path} HTTP/1.1\r\nhost: app.test\r\nid: r{number}\r\n{tokens}\
             content-length: 4\r\n\r\nbody"
        ))
    }
}

/// Returns the script of server `number`: a call, a prefill or a stream of three events.
fn respond_as(number: usize) -> impl Fn(usize, &str) -> Vec<u8> + Send + Sync + 'static {
    move |_, req| match number {
        0..3 => sealed(req, "200 OK", "done"),
        3 | 4 => sealed(req, "200 OK", "handle"),
        _ => {
            let id = common::header(req, "id").unwrap_or_default();
            let events: String = (1..=3)
                .map(|n| format!("id: {n}\ndata: token\n\n"))
                .map(|event| format!("{:x}\r\n{event}\r\n", event.len()))
                .collect();
            format!(
                "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n\
                 {events}0\r\n\r\n"
            )
            .into_bytes()
        }
    }
}

// A host answered from what it could reach itself.
#[test]
fn a_host_that_is_cut_off_from_all_servers_serves_through_others() {
    for cut in CUTS {
        let deployment = Deployment::start(3);
        deployment.send_for(Duration::from_millis(300));
        deployment.hosts[0].network.cut(cut, &[]);
        deployment.send_for(DETECTION_TIME);
        let (sent, served) = deployment.send_for(Duration::from_secs(2));
        assert!(served * 100 >= sent * 95, "{cut:?}: {served} of {sent} served");
    }
}
