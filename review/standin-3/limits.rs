//! A replica names a `Server-Limit` that means as good as none.

use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::world::{
    Behaviour, Client, End, Machine, Node, Record, Replica, STABLE_WINDOW, service_name,
    write_configuration,
};

const DEADLINE: Duration = Duration::from_millis(2_500);

/// The services, each with two replicas, and the clients of each.
const SERVICES: usize = 3;
const CLIENTS: usize = 4;

/// How long the clients send requests, and how long each waits before its next one.
const PLAYED: Duration = Duration::from_secs(50);
const PAUSE: Duration = Duration::from_millis(150);

/// A sound replica. It may name a limit, and may answer a share of the requests with a 500 of
/// its own, as lagerspm's do.
struct Sound {
    limit: Option<&'static str>,
    fails_each: usize,
}

impl Behaviour for Sound {
    fn serve(
        &self,
        replica: &Replica,
        number: usize,
        req: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        std::thread::sleep(Duration::from_millis(30));
        let limit = self.limit.map(|limit| format!("Server-Limit: {limit}\r\n"));
        let status = if number % self.fails_each == self.fails_each - 1 { 500 } else { 200 };
        replica.answer(req, number, status, &limit.unwrap_or_default(), b"done", stream)
    }
}

pub fn play(dir: &Path, record: &Arc<Record>, trouble: bool) -> i32 {
    let store = Store::start();
    write_configuration(&store, SERVICES);
    // One in seven: `error_share = 0.14`.
    let fails_each = 7;
    let limit = if trouble { "4294967295" } else { "1000" };
    let mut replicas = Vec::new();
    for service in 0..SERVICES {
        for (zone, limit) in [("z1", None), ("z2", Some(limit))] {
            let behaviour = Box::new(Sound { limit, fails_each });
            let replica = Replica::start(&format!("i-app{service}-{zone}"), record, behaviour);
            replica.list(&store, &service_name(service), zone, "");
            replicas.push(replica);
        }
    }
    let node = Node::start(dir, "h1", "z1", &store, Machine { memory_mb: 110, core: 0 });
    if !node.wait_ready() {
        return 2;
    }
    std::thread::sleep(STABLE_WINDOW);
    let (sent, closed, lost) = (AtomicUsize::new(0), AtomicUsize::new(0), AtomicUsize::new(0));
    let began = Instant::now();
    std::thread::scope(|scope| {
        for i in 0..SERVICES * CLIENTS {
            let (sent, closed, lost, node, replicas) = (&sent, &closed, &lost, &node, &replicas);
            scope.spawn(move || {
                let mut client = Client::new(node.front);
                let path = format!("/any{}/a", i % SERVICES);
                let mut n = 0;
                while began.elapsed() < PLAYED {
                    n += 1;
                    sent.fetch_add(1, Ordering::SeqCst);
                    let id = format!("r-{i}-{n}");
                    // A connection that is used for the first time isn't a kept one.
                    let is_kept = client.stream.is_some();
                    record.line(format!("{id} is sent, kept connection: {is_kept}"));
                    let end = client.call("GET", &path, &id, DEADLINE, b"", false);
                    let ran = replicas.iter().any(|r| r.runs.lock().unwrap().contains_key(&id));
                    record.line(format!("{id} ends: {end:?}, ran: {ran}"));
                    if end == End::Closed {
                        closed.fetch_add(1, Ordering::SeqCst);
                        lost.fetch_add(usize::from(ran && is_kept), Ordering::SeqCst);
                        // The client comes back with a short request first.
                        let id = format!("{id}-again");
                        let end = client.call("GET", &path, &id, DEADLINE, b"", false);
                        record.line(format!("{id} ends: {end:?}"));
                    }
                    std::thread::sleep(PAUSE);
                }
            });
        }
    });
    let (closed, lost) = (closed.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    record.say(format!(
        "of {} requests, {closed} had their connection closed without an answer, {lost} of them after they were passed on from a kept connection",
        sent.load(Ordering::SeqCst)
    ));
    i32::from(lost > 3)
}
