//! A stand-in of a model replica, which reads prompts or streams answers.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::deployment::{Deployment, HEARTBEAT, Record};
use crate::http::{Message, answer, read_message};
use crate::json::Json;
use crate::store::Store;

/// How long a prompt is read.
const PREFILL_TIME: Duration = Duration::from_millis(90);

/// The events of an answer.
const EVENTS: usize = 69;

/// How long a replica is down after a crash.
const DOWN: Duration = Duration::from_millis(2_500);

/// How long a replica takes to change its stage.
const SWITCH_TIME: Duration = Duration::from_secs(6);

/// What the engines of a deployment have seen.
#[derive(Default)]
pub struct Seen {
    /// The requests that arrived, with the id of the replica.
    pub arrivals: Vec<(Instant, String, String)>,
    /// The crashes, with the id of the request.
    pub crashes: Vec<(Instant, String, String)>,
}

/// How a replica answers.
#[derive(Clone)]
pub struct Behaviour {
    /// The time between two events.
    pub event_interval: Duration,
    /// The id of the part of a prompt that crashes replicas, if one does.
    pub deadly: Option<String>,
}

/// A replica. Clones share the state.
#[derive(Clone)]
pub struct Engine {
    id: String,
    zone: &'static str,
    service: String,
    addr: SocketAddr,
    store: Store,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    behaviour: Behaviour,
    stage: Arc<Mutex<&'static str>>,
    busy: Arc<AtomicBool>,
    orders: Arc<AtomicU64>,
    born: Arc<AtomicU64>,
    /// The version of the software, and the one with which the replica starts again.
    version: Arc<Mutex<(&'static str, &'static str)>>,
    is_down: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    /// Starts a replica in `stage`.
    pub fn start(
        deployment: &Deployment,
        number: usize,
        service: &str,
        stage: &'static str,
        behaviour: Behaviour,
        seen: &Arc<Mutex<Seen>>,
    ) -> Engine {
        let ip = deployment.replica_ip(number);
        let listener = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
        let engine = Engine {
            id: format!("i-{service}-{number}"),
            zone: ["zone-a", "zone-b", "zone-c"][number % 3],
            service: service.to_string(),
            addr: listener.local_addr().expect("an address"),
            store: deployment.store.clone(),
            record: deployment.record.clone(),
            seen: seen.clone(),
            behaviour,
            stage: Arc::new(Mutex::new(stage)),
            busy: Arc::default(),
            orders: Arc::default(),
            born: Arc::new(AtomicU64::new(now_ms())),
            version: Arc::new(Mutex::new(("v1", "v1"))),
            is_down: Arc::default(),
            connections: Arc::default(),
        };
        let writer = engine.clone();
        thread::spawn(move || {
            for sequence in 1u64.. {
                if !writer.is_down.load(Ordering::SeqCst) {
                    writer.write_entry(sequence);
                }
                thread::sleep(HEARTBEAT);
            }
        });
        let running = engine.clone();
        thread::spawn(move || running.run(listener));
        engine
    }

    /// Returns the stage of the replica.
    pub fn stage(&self) -> &'static str {
        *self.stage.lock().unwrap()
    }

    /// Crashes the replica, which starts again under its id with the software `version`.
    pub fn crash(&self, version: &'static str) {
        self.record.note(&format!("{} crashes", self.id));
        self.version.lock().unwrap().1 = version;
        self.is_down.store(true, Ordering::SeqCst);
    }

    fn write_entry(&self, sequence: u64) {
        let (service, addr, zone) = (&self.service, self.addr, self.zone);
        let version = self.version.lock().unwrap().0;
        let (stage, born) = (*self.stage.lock().unwrap(), self.born.load(Ordering::SeqCst));
        let entry = format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"{version}","slots":12,"state":"ready","cold_remaining_ms":0,"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born}}}"#
        );
        self.store.write(&format!("servers/{}", self.id), entry.as_bytes());
    }

    /// Serves until it crashes, is down for a while, and starts again.
    fn run(self, first: TcpListener) {
        let mut next = Some(first);
        loop {
            let listener = match next.take() {
                Some(listener) => listener,
                None => match TcpListener::bind(self.addr) {
                    Ok(listener) => listener,
                    Err(_) => {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    }
                },
            };
            listener.set_nonblocking(true).expect("a listener that doesn't block");
            while !self.is_down.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let _ = stream.set_nodelay(true);
                        if let Ok(clone) = stream.try_clone() {
                            self.connections.lock().unwrap().push(clone);
                        }
                        let engine = self.clone();
                        thread::spawn(move || engine.serve(stream));
                    }
                    Err(_) => thread::sleep(Duration::from_millis(2)),
                }
            }
            drop(listener);
            for stream in self.connections.lock().unwrap().drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
            thread::sleep(DOWN);
            self.orders.store(0, Ordering::SeqCst);
            self.born.store(now_ms(), Ordering::SeqCst);
            let version = {
                let mut version = self.version.lock().unwrap();
                version.0 = version.1;
                version.0
            };
            self.record.note(&format!("{} is back with the software {version}", self.id));
            self.is_down.store(false, Ordering::SeqCst);
            self.write_entry(1);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(request) = read_message(&mut reader) {
            if self.respond(&request, &mut writer).is_none() {
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Answers a request; `None` if the connection ends.
    fn respond(&self, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let expected = request.header("x-aspenloft-expect-instance");
        let other = expected.is_some_and(|expected| expected != self.id);
        let stage = *self.stage.lock().unwrap();
        let bytes = match (request.method(), request.target()) {
            _ if other => answer(421, &[("X-Aspenloft-Instance-Id", &self.id)], b""),
            ("GET", "/api/report") => {
                let (busy, orders) =
                    (self.busy.load(Ordering::SeqCst), self.orders.load(Ordering::SeqCst));
                let body = format!(
                    r#"{{"stage":"{stage}","models":[{{"name":"m","version":1,"adapters":[]}}],"busy":{busy},"sequence":{orders},"queue_depth":0,"active_requests":0,"kv_used":0,"kv_total":34035,"kv_handles":0}}"#
                );
                answer(200, &[("Content-Type", "application/json")], body.as_bytes())
            }
            ("POST", "/api/order") => self.take_order(&request.body),
            ("DELETE", _) => answer(200, &[], b""),
            _ => return self.run_request(request, stage, writer),
        };
        writer.write_all(&bytes).ok()
    }

    fn take_order(&self, body: &[u8]) -> Vec<u8> {
        let order = Json::parse(&String::from_utf8_lossy(body));
        let stage = order.as_ref().and_then(|order| order.get("stage")).and_then(Json::text);
        let stage = match stage {
            Some("prefill") => "prefill",
            Some("decode") => "decode",
            _ => return answer(400, &[], b""),
        };
        if self.busy.swap(true, Ordering::SeqCst) {
            return answer(409, &[], b"");
        }
        self.orders.fetch_add(1, Ordering::SeqCst);
        self.record.note(&format!("{} is ordered to stage {stage}", self.id));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(SWITCH_TIME);
            *engine.stage.lock().unwrap() = stage;
            engine.busy.store(false, Ordering::SeqCst);
        });
        answer(202, &[], b"")
    }

    fn run_request(&self, request: &Message, stage: &str, writer: &mut TcpStream) -> Option<()> {
        let attempt = request.header("x-aspenloft-attempt-id").unwrap_or("-").to_string();
        let wanted = request.header("x-aspenloft-serving-stage").unwrap_or("decode");
        self.seen.lock().unwrap().arrivals.push((Instant::now(), self.id.clone(), attempt.clone()));
        self.record.note(&format!("{attempt} reaches {} ({wanted})", self.id));
        if self.busy.load(Ordering::SeqCst) {
            let headers =
                [("X-Aspenloft-Attempt-Id", attempt.as_str()), ("X-Aspenloft-Not-Executed", "1")];
            return writer.write_all(&answer(503, &headers, b"")).ok();
        }
        if wanted != stage {
            let headers = [("X-Aspenloft-Instance-Id", self.id.as_str())];
            return writer.write_all(&answer(421, &headers, b"")).ok();
        }
        if stage == "prefill" {
            thread::sleep(PREFILL_TIME);
            let handle = format!("{:016x}", hash(&attempt));
            let body = format!(r#"{{"kv_handle":"{handle}","tokens":3000,"version":1}}"#);
            let headers = [
                ("X-Aspenloft-Attempt-Id", attempt.as_str()),
                ("Content-Type", "application/json"),
            ];
            return writer.write_all(&answer(200, &headers, body.as_bytes())).ok();
        }
        let parts = request.header("x-aspenloft-prompt-prefix").unwrap_or_default();
        let mut ids = parts.split(',').filter_map(|part| part.split(':').next());
        if self.behaviour.deadly.as_ref().is_some_and(|deadly| ids.any(|id| id == deadly)) {
            let crash = (Instant::now(), self.id.clone(), attempt.clone());
            self.seen.lock().unwrap().crashes.push(crash);
            self.record.note(&format!("{} crashes as it begins to answer {attempt}", self.id));
            self.is_down.store(true, Ordering::SeqCst);
            // The listener goes before the connections, as when a process ends.
            thread::sleep(DOWN);
            return None;
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Aspenloft-Attempt-Id: {attempt}\r\nX-Aspenloft-Server-Seal: seal.1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes()).ok()?;
        let version = self.version.lock().unwrap().0;
        let last = request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        if last > 0 {
            self.record
                .note(&format!("{attempt} goes on at {} {version} after event {last}", self.id));
        }
        for number in last + 1..=EVENTS {
            thread::sleep(self.behaviour.event_interval);
            let event = format!("id: {number}\ndata: {attempt} {version}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes()).ok()?;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }
}

/// Returns a number that differs for each text.
pub fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(1, |at| u64::try_from(at.as_millis()).unwrap_or(1))
}
