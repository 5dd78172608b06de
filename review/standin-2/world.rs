//! The parts of a small deployment: the record, the hosts, the replicas and the clients.

use std::fs::{self, File};
use std::io::{BufReader, Result, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::store::Store;

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
    /// The ids that replicas have begun to run.
    runs: Arc<Mutex<Vec<String>>>,
    /// The ids that replicas have answered in full.
    answered: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn create(path: &Path) -> Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        let (runs, answered) = Default::default();
        Ok(Record { start: Instant::now(), file, runs, answered })
    }

    /// Returns the ids that replicas have begun to run.
    pub fn runs(&self) -> Vec<String> {
        self.runs.lock().unwrap().clone()
    }

    /// Returns the ids that replicas have answered in full.
    pub fn answered(&self) -> Vec<String> {
        self.answered.lock().unwrap().clone()
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The ports of all hosts, which differ in their addresses only.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub peers: u16,
    pub metrics: u16,
}

/// Returns four ports that are free on each of `ips`.
pub fn free_ports(ips: &[String]) -> Ports {
    let seed = std::process::id() as u16;
    for attempt in 0..500u16 {
        let base = 21_000 + seed.wrapping_mul(37).wrapping_add(attempt * 53) % 10_000;
        let is_free = |ip: &String| {
            (base..base + 4).all(|port| {
                TcpListener::bind((ip.as_str(), port)).is_ok()
                    && UdpSocket::bind((ip.as_str(), port)).is_ok()
            })
        };
        if ips.iter().all(is_free) {
            return Ports { front: base, ready: base + 1, peers: base + 2, metrics: base + 3 };
        }
    }
    panic!("no free ports");
}

/// A host process.
pub struct Node {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Mutex<Child>,
}

/// The processes that have been started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that have been started and are still there, and waits for their end.
pub fn end_all() {
    let started: Vec<u32> = STARTED.lock().unwrap().drain(..).collect();
    for pid in &started {
        unsafe { kill(*pid as i32, SIGKILL) };
    }
    for pid in started {
        unsafe { waitpid(pid as i32, std::ptr::null_mut(), 0) };
    }
}

/// The limits of a machine and the bounds that the settings name.
pub const MEMORY_MB: u64 = 110;
pub const GRACE_S: u64 = 8;

impl Node {
    /// Starts a host with the settings that the template of the deploy file gives.
    pub fn start(
        dir: &Path,
        index: usize,
        ip: &str,
        zone: &str,
        ports: Ports,
        seeds: &[String],
        store: &Store,
    ) -> Result<Node> {
        let name = format!("frontend-{zone}-{index}");
        let seeds: Vec<String> =
            seeds.iter().map(|ip| format!("\"{ip}:{}\"", ports.peers)).collect();
        let settings = format!(
            r#"{{"host":"{name}","data_centre":"{zone}","listen":{{"callers":"{ip}:{}","readiness":"{ip}:{}","peers":"{ip}:{}","metrics":"{ip}:{}"}},"key_value":"{}","retries":{{"ratio":0.2,"slack":52,"window_s":10}},"shutdown":{{"grace_s":{GRACE_S}}},"memory_mb":{MEMORY_MB},"seeds":[{}]}}"#,
            ports.front,
            ports.ready,
            ports.peers,
            ports.metrics,
            store.addr,
            seeds.join(",")
        );
        let path = dir.join(format!("{name}.json"));
        fs::write(&path, settings)?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/aspenloft-node")
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("ASPENLOFT_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        let addr = |port| SocketAddr::new(ip.parse().unwrap(), port);
        Ok(Node {
            name,
            zone: zone.to_string(),
            front: addr(ports.front),
            ready: addr(ports.ready),
            child: Mutex::new(child),
        })
    }

    pub fn pid(&self) -> u32 {
        self.child.lock().unwrap().id()
    }

    pub fn signal(&self, signal: i32) {
        if self.exited().is_some() {
            return;
        }
        unsafe { kill(self.pid() as i32, signal) };
    }

    /// Returns the exit status once the process has ended.
    pub fn exited(&self) -> Option<String> {
        let mut child = self.child.lock().unwrap();
        let (status, id) = (child.try_wait().ok().flatten(), child.id());
        // The id may belong to another process now.
        STARTED.lock().unwrap().retain(|pid| status.is_none() || *pid != id);
        status.map(|status| status.to_string())
    }

    pub fn is_ready(&self) -> bool {
        let get = || -> Result<u16> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            stream.write_all(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            let head = http::read_head(&mut BufReader::new(stream))?;
            Ok(head.map_or(0, |head| head.status()))
        };
        get().is_ok_and(|status| status == 200)
    }

    /// Returns the resident memory and its peak, in MB.
    pub fn memory_mb(&self) -> Option<(f64, f64)> {
        let status = fs::read_to_string(format!("/proc/{}/status", self.pid())).ok()?;
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name))?;
            line.split_whitespace().nth(1)?.parse::<f64>().ok()
        };
        Some((field("VmRSS:")? / 1024.0, field("VmHWM:")? / 1024.0))
    }
}

/// Waits until all `nodes` are ready.
pub fn wait_ready(nodes: &[Node]) -> bool {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if nodes.iter().all(Node::is_ready) {
            return true;
        }
        thread::sleep(Duration::from_millis(100));
    }
    false
}

/// What a replica does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Runs calls, each for this long.
    Plain(Duration),
    /// Reads prompts.
    Prefill,
    /// Streams events at this interval.
    Decode(Duration),
}

/// A replica of a service.
pub struct Replica {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub version: String,
    pub addr: SocketAddr,
    pub kind: Kind,
    record: Record,
    /// The end of each line of an event.
    line_end: &'static str,
    handles: AtomicU64,
    pub running: AtomicUsize,
}

impl Replica {
    pub fn start(
        record: &Record,
        id: &str,
        service: &str,
        zone: &str,
        version: &str,
        kind: Kind,
        line_end: &'static str,
    ) -> Result<Arc<Replica>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Arc::new(Replica {
            id: id.to_string(),
            service: service.to_string(),
            zone: zone.to_string(),
            version: version.to_string(),
            addr: listener.local_addr()?,
            kind,
            record: record.clone(),
            line_end,
            handles: AtomicU64::new(0x3fa0_9c41),
            running: AtomicUsize::new(0),
        });
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(replica)
    }

    /// Returns the entry in the store.
    pub fn entry(&self, slots: usize, state: &str) -> String {
        let Replica { service, addr, zone, version, .. } = self;
        let stage = match self.kind {
            Kind::Plain(_) => "",
            Kind::Prefill => {
                r#","stage":"prefill","models":[{"name":"m","version":1,"adapters":[]}]"#
            }
            Kind::Decode(_) => {
                r#","stage":"decode","models":[{"name":"m","version":1,"adapters":[]}]"#
            }
        };
        format!(
            r#"{{"service":"{service}","address":"{addr}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","cold_remaining_ms":0,"sequence":1,"born":1790000000000{stage}}}"#
        )
    }

    fn serve(&self, stream: TcpStream) -> Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = http::read_head(&mut reader)? {
            let body = http::read_body(&mut reader, &head, false)?;
            self.answer(&head, &body, &mut out)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8], out: &mut TcpStream) -> Result<()> {
        let id = head.header("x-aspenloft-attempt-id").unwrap_or("-").to_string();
        let named = head.header("x-aspenloft-expect-instance").unwrap_or(&self.id);
        if named != self.id {
            let headers =
                [("X-Aspenloft-Attempt-Id", id.as_str()), ("X-Aspenloft-Not-Executed", "1")];
            return http::respond(out, "421 Misdirected Request", &headers, b"");
        }
        let path = head.word(1);
        if path.starts_with("/api/kv-handle/") {
            return http::respond(out, "200 OK", &[], b"{}");
        }
        if path == "/api/report" {
            let report = r#"{"stage":"decode","models":[],"busy":false,"sequence":0,"queue_depth":0,"active_requests":0,"kv_used":0,"kv_total":42786,"kv_handles":0}"#;
            return http::respond(out, "200 OK", &[], report.as_bytes());
        }
        if path == "/api/order" {
            return http::respond(out, "409 Conflict", &[], b"{}");
        }
        let is_prefill = head.header("x-aspenloft-serving-stage") == Some("prefill");
        self.record.line(&format!(
            "replica {} {} {id} ({} bytes, deadline {} ms)",
            self.id,
            if is_prefill { "reads the prompt of" } else { "runs" },
            body.len(),
            head.header("x-aspenloft-deadline-ms").unwrap_or("-"),
        ));
        if !is_prefill {
            self.record.runs.lock().unwrap().push(id.clone());
        }
        self.running.fetch_add(1, Ordering::SeqCst);
        let ended = self.run(head, &id, out);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if ended.is_ok() && !is_prefill {
            self.record.answered.lock().unwrap().push(id.clone());
        }
        let how = if ended.is_ok() { "has answered" } else { "finds the connection closed during" };
        self.record.line(&format!("replica {} {how} {id}", self.id));
        ended
    }

    fn run(&self, head: &Head, id: &str, out: &mut TcpStream) -> Result<()> {
        let seal = format!("3e1b.{}.{id}", self.id);
        let headers = [("X-Aspenloft-Attempt-Id", id), ("X-Aspenloft-Server-Seal", &seal)];
        match self.kind {
            Kind::Plain(work) => {
                self.work(work, out)?;
                http::respond(out, "200 OK", &headers, "booked ".repeat(100).as_bytes())
            }
            Kind::Prefill => {
                thread::sleep(Duration::from_millis(90));
                let handle = self.handles.fetch_add(0x1_0001, Ordering::SeqCst);
                let body = format!(r#"{{"kv_handle":"{handle:012x}","tokens":3000,"version":1}}"#);
                http::respond(out, "200 OK", &headers[..1], body.as_bytes())
            }
            Kind::Decode(interval) => {
                let usage = head.header("x-aspenloft-token-usage").unwrap_or("0,1");
                let events: u64 =
                    usage.split(',').nth(1).unwrap_or("1").trim().parse().unwrap_or(1);
                let from: u64 =
                    head.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
                out.write_all(
                    format!(
                        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Server-Seal: {seal}\r\nX-Aspenloft-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
                    )
                    .as_bytes(),
                )?;
                let end = self.line_end;
                for event in from + 1..=events {
                    self.work(interval, out)?;
                    let text = format!(
                        "id: {event}{end}data: piece {event} of {}{end}{end}",
                        self.version
                    );
                    http::write_chunk(out, text.as_bytes())?;
                }
                out.write_all(b"0\r\n\r\n")
            }
        }
    }

    /// Works for `span`, and stops when the connection closes.
    fn work(&self, span: Duration, out: &TcpStream) -> Result<()> {
        let until = Instant::now() + span;
        loop {
            out.set_nonblocking(true)?;
            let peeked = out.peek(&mut [0]);
            out.set_nonblocking(false)?;
            match peeked {
                Ok(0) => return Err(std::io::ErrorKind::ConnectionAborted.into()),
                Err(e) if e.kind() != std::io::ErrorKind::WouldBlock => return Err(e),
                _ => {}
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ok(());
            }
            thread::sleep(left.min(Duration::from_millis(20)));
        }
    }
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub deadline_ms: u64,
    /// When the client closes the connection, if it does not wait for the end.
    pub break_at: Option<Instant>,
}

/// How a client attempt ended.
#[derive(Debug, Clone)]
pub struct Answer {
    /// The status, 0 if there is none.
    pub status: u16,
    pub sealed: bool,
    pub complete: bool,
    pub body: Vec<u8>,
    pub error: String,
    /// Whether a connection was opened and the whole request written.
    pub sent: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
}

pub const HOST: &str = "ficu95.example";

/// Sends `req` to `addr` on a new connection and waits for the whole answer.
pub fn send(record: &Record, addr: SocketAddr, node: &str, req: &Request) -> Answer {
    send_and_keep(record, addr, node, req).0
}

/// Sends a request like [`send`], and returns the connection too if it can be kept.
pub fn send_and_keep(
    record: &Record,
    addr: SocketAddr,
    node: &str,
    req: &Request,
) -> (Answer, Option<TcpStream>) {
    let opened = || TcpStream::connect_timeout(&addr, Duration::from_secs(1));
    send_on(record, opened, node, req)
}

/// Sends a request on the connection that `connect` gives, and returns it if it can be kept.
pub fn send_on(
    record: &Record,
    connect: impl FnOnce() -> Result<TcpStream>,
    node: &str,
    req: &Request,
) -> (Answer, Option<TcpStream>) {
    let mut answer = Answer {
        status: 0,
        sealed: false,
        complete: false,
        body: Vec::new(),
        error: String::new(),
        sent: false,
        sent_at: Instant::now(),
        ended_at: Instant::now(),
    };
    record.line(&format!("client sends {} to {node}", req.id));
    let kept = connect().and_then(|stream| exchange(stream, req, &mut answer));
    if let Err(e) = &kept {
        answer.error = e.to_string();
    }
    answer.ended_at = Instant::now();
    let took = answer.ended_at.duration_since(answer.sent_at).as_millis();
    record.line(&format!(
        "client has of {}: status {}, {} bytes, {} after {took} ms {}",
        req.id,
        answer.status,
        answer.body.len(),
        if answer.complete { "complete" } else { "NOT complete" },
        answer.error
    ));
    (answer, kept.ok())
}

fn exchange(mut stream: TcpStream, req: &Request, answer: &mut Answer) -> Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(req.deadline_ms)))?;
    if let Some(at) = req.break_at {
        let closed = stream.try_clone()?;
        thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            let _ = closed.shutdown(std::net::Shutdown::Both);
        });
    }
    let mut message = format!("{} {} HTTP/1.1\r\nHost: {HOST}\r\n", req.method, req.path);
    message += &format!("X-Aspenloft-Attempt-Id: {}\r\n", req.id);
    message += &format!("X-Aspenloft-Deadline-Ms: {}\r\n", req.deadline_ms);
    for (name, value) in &req.headers {
        message += &format!("{name}: {value}\r\n");
    }
    message += &format!("Content-Length: {}\r\n\r\n", req.body.len());
    let mut message = message.into_bytes();
    message.extend_from_slice(&req.body);
    answer.sent_at = Instant::now();
    stream.write_all(&message)?;
    answer.sent = true;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else {
        return Err(std::io::Error::other("the connection was closed"));
    };
    answer.status = head.status();
    answer.sealed = head.header("x-aspenloft-server-seal").is_some();
    http::read_body_into(&mut reader, &head, true, &mut answer.body)?;
    answer.complete = true;
    Ok(reader.into_inner())
}

/// The balancer: probes each host every second, and leaves a host out after two misses in a
/// row. If fewer than half of a zone's hosts are left, it uses all of them, and if none is left,
/// those of the other zones.
pub struct Balancer {
    nodes: Arc<Vec<Node>>,
    misses: Mutex<Vec<u32>>,
}

impl Balancer {
    pub fn start(nodes: Arc<Vec<Node>>, record: &Record) -> Arc<Balancer> {
        let misses = Mutex::new(vec![0; nodes.len()]);
        let balancer = Arc::new(Balancer { nodes, misses });
        let (prober, record) = (Arc::downgrade(&balancer), record.clone());
        thread::spawn(move || {
            while let Some(balancer) = prober.upgrade() {
                for (index, node) in balancer.nodes.iter().enumerate() {
                    let is_ready = node.is_ready();
                    let mut misses = balancer.misses.lock().unwrap();
                    misses[index] = if is_ready { 0 } else { misses[index] + 1 };
                    if misses[index] == 2 {
                        record.line(&format!("balancer takes {} out", node.name));
                    }
                }
                drop(balancer);
                thread::sleep(Duration::from_secs(1));
            }
        });
        balancer
    }

    /// Returns the index of the host for the client `client`.
    pub fn pick(&self, client: usize) -> usize {
        let misses = self.misses.lock().unwrap();
        let mut zones: Vec<&str> = self.nodes.iter().map(|node| node.zone.as_str()).collect();
        zones.sort_unstable();
        zones.dedup();
        let zone = zones[client % zones.len()];
        let client = client / zones.len();
        let in_zone = |index: &usize| self.nodes[*index].zone == zone;
        let all: Vec<usize> = (0..misses.len()).filter(in_zone).collect();
        let used: Vec<usize> = (0..misses.len()).filter(|index| misses[*index] < 2).collect();
        let near: Vec<usize> = used.iter().copied().filter(in_zone).collect();
        let chosen = match (near.len(), used.len()) {
            (0, 0) => &all,
            (0, _) => &used,
            (count, _) if count * 2 < all.len() => &all,
            _ => &near,
        };
        chosen[client % chosen.len()]
    }
}

/// Returns an empty folder in the temporary directory.
pub fn work_dir(case: &str) -> Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("aspenloft-review-{case}-{}", std::process::id()));
    fs::create_dir_all(&dir)?;
    Ok(dir)
}
