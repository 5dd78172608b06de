//! A small deployment: the store, replicas of one plain service, and hosts.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store::Store;

/// `stable_window_ms` of the sites.
pub const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// The record of what was sent, answered and run, which goes to `record.txt`.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Record> {
        let file = Mutex::new(File::create(path).expect("record.txt can be written"));
        Arc::new(Record { began: Instant::now(), file })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {}", text.as_ref());
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis())
}

/// What a replica does with a request.
pub trait Behaviour: Send + Sync {
    /// Answers `req`, the request with the number `number` at this replica.
    fn serve(
        &self,
        replica: &Replica,
        number: usize,
        req: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()>;
}

/// A sound replica: it works for `work` and answers 200 with a seal.
pub struct Sound {
    pub work: Duration,
}

impl Behaviour for Sound {
    fn serve(
        &self,
        replica: &Replica,
        number: usize,
        req: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        std::thread::sleep(self.work);
        replica.answer(req, number, 200, "", b"done", stream)
    }
}

pub struct Replica {
    pub instance: String,
    pub addr: SocketAddr,
    pub record: Arc<Record>,
    behaviour: Box<dyn Behaviour>,
    requests: AtomicUsize,
    /// How often each attempt was run.
    pub runs: Mutex<HashMap<String, usize>>,
}

impl Replica {
    pub fn start(
        instance: &str,
        record: &Arc<Record>,
        behaviour: Box<dyn Behaviour>,
    ) -> Arc<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Arc::new(Replica {
            instance: instance.to_string(),
            addr: listener.local_addr().expect("an address"),
            record: record.clone(),
            behaviour,
            requests: AtomicUsize::new(0),
            runs: Mutex::default(),
        });
        let serving = replica.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = serving.clone();
                std::thread::spawn(move || replica.serve(stream));
            }
        });
        replica
    }

    /// Writes the replica's entry to the store.
    pub fn list(&self, store: &Store, service: &str, zone: &str, extra: &str) {
        let (addr, born) = (self.addr, unix_ms());
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{addr}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"born\":{born}{extra}}}"
        );
        store.write(&format!("servers/{}", self.instance), &entry);
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a clone of the socket"));
        while let Ok(req) = http::read(&mut reader) {
            let id = req.header("x-aspenloft-attempt-id").unwrap_or("-").to_string();
            let expected = req.header("x-aspenloft-expect-instance");
            if expected.is_some_and(|instance| instance != self.instance) {
                let _ = http::respond(&mut stream, 421, "X-Aspenloft-Not-Executed: 1\r\n", b"");
                continue;
            }
            if req.target().starts_with("/api/") {
                let _ = http::respond(&mut stream, 404, "", b"");
                continue;
            }
            let number = self.requests.fetch_add(1, Ordering::SeqCst);
            let bytes = req.body.len();
            self.record.line(format!("{} runs {id} ({bytes} bytes)", self.instance));
            *self.runs.lock().unwrap().entry(id).or_default() += 1;
            if self.behaviour.serve(self, number, &req, &mut stream).is_err() {
                return;
            }
        }
    }

    /// Sends a whole answer with the replica's seal.
    pub fn answer(
        &self,
        req: &http::Message,
        number: usize,
        status: u16,
        headers: &str,
        body: &[u8],
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let id = req.header("x-aspenloft-attempt-id").unwrap_or("-");
        let head = format!(
            "X-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Server-Seal: {}.{number}\r\n{headers}",
            self.instance
        );
        let sent = http::respond(stream, status, &head, body);
        self.record.line(format!("{} answers {id}: {status} ({:?})", self.instance, sent.is_ok()));
        sent
    }
}

unsafe extern "C" {
    fn sched_getaffinity(pid: i32, size: usize, mask: *mut [u64; 16]) -> i32;
    fn sched_setaffinity(pid: i32, size: usize, mask: *const [u64; 16]) -> i32;
    fn setrlimit(resource: i32, limits: *const [u64; 2]) -> i32;
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

const RLIMIT_NOFILE: i32 = 7;
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// `max_fds` of a machine, and how many of these are reserved for files.
const MAX_FDS: u64 = 4_100;
const FILE_FDS: u64 = 200;

/// What a machine gives a process, beside its descriptors.
pub struct Machine {
    pub memory_mb: u64,
    /// The number of the core that the machine shows.
    pub core: usize,
}

/// A process of the system, run as the deploy file says.
pub struct Node {
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub child: Child,
}

/// Returns an address on which nothing listens, below the ports that the system gives to
/// connections by itself, and each only once.
fn free_port() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let number = NEXT.fetch_add(1, Ordering::SeqCst);
        let first = 12_000 + (std::process::id() % 150) as u16 * 100;
        let addr = SocketAddr::from(([127, 0, 0, 1], first + number));
        if TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok() {
            return addr;
        }
    }
}

fn spawn(settings: &Path, log: &Path, max_fds: u64, core: usize) -> Child {
    let out = File::options().create(true).append(true).open(log).expect("the log can be opened");
    let mut command = Command::new("target/release/aspenloft-node");
    command.env_clear().env("ASPENLOFT_CONFIG", settings).env("MALLOC_ARENA_MAX", "1");
    command.stdin(Stdio::null()).stdout(out.try_clone().expect("a clone")).stderr(out);
    // A machine shows one core, and its processes have `max_fds` descriptors.
    unsafe {
        command.pre_exec(move || {
            let mut mask = [0; 16];
            if sched_getaffinity(0, size_of_val(&mask), &mut mask) < 0 {
                return Err(std::io::Error::last_os_error());
            }
            // Hosts take the cores in turn.
            let bit = |core: &usize| mask[core / 64] >> (core % 64) & 1 == 1;
            let count = (0..1024).filter(bit).count().max(1);
            let mut first = [0; 16];
            if let Some(core) = (0..1024).filter(bit).nth(core % count) {
                first[core / 64] = 1 << (core % 64);
            }
            if sched_setaffinity(0, size_of_val(&first), &first) < 0 {
                return Err(std::io::Error::last_os_error());
            }
            setrlimit(RLIMIT_NOFILE, &[max_fds, max_fds]);
            // It ends with this process, also if that is killed.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command.spawn().expect("target/release/aspenloft-node can be started")
}

impl Node {
    pub fn start(dir: &Path, name: &str, zone: &str, store: &Store, machine: Machine) -> Node {
        let (front, ready, metrics, peers) = (free_port(), free_port(), free_port(), free_port());
        let (store, memory_mb) = (store.addr, machine.memory_mb);
        let text = format!(
            "{{\"host\":\"{name}\",\"data_centre\":\"{zone}\",\"listen\":{{\"callers\":\"{front}\",\"readiness\":\"{ready}\",\"peers\":\"{peers}\",\"metrics\":\"{metrics}\"}},\"key_value\":\"{store}\",\"retries\":{{\"ratio\":0.2,\"slack\":52,\"window_s\":10}},\"shutdown\":{{\"grace_s\":8}},\"memory_mb\":{memory_mb},\"seeds\":[]}}"
        );
        let settings = dir.join(format!("{name}.json"));
        std::fs::write(&settings, text).expect("the settings can be written");
        let log = dir.join(format!("{name}.log"));
        let child = spawn(&settings, &log, MAX_FDS - FILE_FDS, machine.core);
        Node { front, ready, child }
    }

    /// Asks for readiness as the platform does: 200 within a second.
    pub fn is_ready(&self) -> bool {
        get(self.ready, "/api/ready", Duration::from_secs(1)).is_some_and(|m| m.status() == 200)
    }

    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.child.id() as i32, signal) };
    }

    /// The memory in use and the most so far, in MiB.
    pub fn memory_mb(&self) -> Option<(u64, u64)> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let field = |name: &str| -> Option<u64> {
            let line = status.lines().find(|line| line.starts_with(name))?;
            Some(line.split_whitespace().nth(1)?.parse::<u64>().ok()? / 1024)
        };
        Some((field("VmRSS:")?, field("VmHWM:")?))
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub fn get(addr: SocketAddr, path: &str, limit: Duration) -> Option<http::Message> {
    let mut stream = TcpStream::connect_timeout(&addr, limit).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let req = format!("GET {path} HTTP/1.1\r\nHost: platform\r\nConnection: close\r\n\r\n");
    stream.write_all(req.as_bytes()).ok()?;
    http::read(&mut BufReader::new(stream)).ok()
}

/// How a client's request ended.
#[derive(Debug, Clone, PartialEq)]
pub enum End {
    /// A whole answer.
    Answer(u16),
    /// The connection ended or was reset without a whole answer.
    Closed,
    /// No answer before the client's deadline.
    Silent,
}

/// A client with one connection, which it keeps.
pub struct Client {
    pub addr: SocketAddr,
    pub stream: Option<TcpStream>,
}

impl Client {
    pub fn new(addr: SocketAddr) -> Client {
        Client { addr, stream: None }
    }

    /// Sends a request and waits for its answer. `chunked` sends the body in chunks.
    pub fn call(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline: Duration,
        body: &[u8],
        chunked: bool,
    ) -> End {
        let end = Instant::now() + deadline;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => match TcpStream::connect_timeout(&self.addr, Duration::from_secs(1)) {
                Ok(stream) => stream,
                Err(_) => return End::Closed,
            },
        };
        let _ = stream.set_nodelay(true);
        let framing = match (chunked, body.len()) {
            (true, _) => "Transfer-Encoding: chunked\r\n".to_string(),
            (false, 0) => String::new(),
            (false, length) => format!("Content-Length: {length}\r\n"),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Deadline-Ms: {}\r\n{framing}\r\n",
            deadline.as_millis()
        );
        let _ = stream.set_write_timeout(Some(deadline));
        if stream.write_all(head.as_bytes()).is_err() {
            return End::Closed;
        }
        let sent = match chunked {
            true => {
                let mut sent = Ok(());
                for part in body.chunks(16 * 1024) {
                    let size = format!("{:x}\r\n", part.len());
                    let text = [size.as_bytes(), part, b"\r\n"].concat();
                    sent = sent.and_then(|()| stream.write_all(&text));
                }
                sent.and_then(|()| stream.write_all(b"0\r\n\r\n"))
            }
            false => stream.write_all(body),
        };
        // An answer may come before the body has been sent.
        let _ = sent;
        let left = end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        let _ = stream.set_read_timeout(Some(left));
        let mut reader = BufReader::new(stream.try_clone().expect("a clone of the socket"));
        match http::read(&mut reader) {
            Ok(answer) => {
                let closes = answer.header("connection").is_some_and(|v| v.contains("close"));
                if !closes {
                    self.stream = Some(stream);
                }
                End::Answer(answer.status())
            }
            Err(e) => match e.kind() {
                std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => End::Silent,
                _ => End::Closed,
            },
        }
    }
}

pub fn service_name(service: usize) -> String {
    format!("app{service}")
}

/// Writes a configuration with `services` services. Route `/onceN/` goes to the service with
/// the number N, for requests that may run once, and `/anyN/` for those that may run again.
pub fn write_configuration(store: &Store, services: usize) {
    let (mut routes, mut listed) = (Vec::new(), Vec::new());
    for n in 0..services {
        let service = service_name(n);
        for (name, kind, attempts) in [("once", "non_idempotent", 1), ("any", "idempotent", 2)] {
            routes.push(format!(
                "{{\"name\":\"{name}{n}\",\"host\":\"shop.example\",\"path_prefix\":\"/{name}{n}/\",\"kind\":\"{kind}\",\"timeout_ms\":2500,\"target_latency_ms\":200,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":{attempts},\"sticky\":false,\"resumable\":false}}"
            ));
        }
        listed.push(format!(
            "{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}}"
        ));
    }
    let (routes, listed) = (routes.join(","), listed.join(","));
    store.write(
        "op/config",
        &format!(
            "{{\"version\":7,\"routes\":[{routes}],\"services\":[{listed}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}"
        ),
    );
}
