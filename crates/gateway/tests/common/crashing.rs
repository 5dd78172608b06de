//! Servers that crash when they begin to answer a request with a certain part in its prompt,
//! and are back after a while as another process.

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use aspenloft_gateway::roster::{ServerEntry, ServerRole};
use parking_lot::Mutex;

use super::{MemoryStore, entry, free_addr, header, read_message};

/// How long a crashed engine is down.
const DOWN_TIME: Duration = Duration::from_millis(400);

/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// The number of events in a stream.
pub const EVENTS: usize = 5;

/// What the engines of a test have seen.
#[derive(Debug, Default)]
pub struct EngineLog {
    /// How often an engine has crashed.
    pub crashes: AtomicUsize,
    /// How often a request with a crashing part arrived.
    pub crashing_arrivals: AtomicUsize,
}

/// A server whose process comes and goes at one address.
pub struct CrashingEngine {
    pub addr: SocketAddr,
    name: String,
    role: ServerRole,
    store: Arc<MemoryStore>,
    crashing_parts: Vec<String>,
    born: AtomicU64,
    down: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    log: Arc<EngineLog>,
}

impl CrashingEngine {
    /// Starts a server of `role` that crashes by `crashing_parts`, and registers it in `store`.
    pub fn start(
        name: &str,
        role: ServerRole,
        store: &Arc<MemoryStore>,
        crashing_parts: &[&str],
        log: &Arc<EngineLog>,
    ) -> Arc<CrashingEngine> {
        let engine = Arc::new(CrashingEngine {
            addr: free_addr(),
            name: name.to_string(),
            role,
            store: store.clone(),
            crashing_parts: crashing_parts.iter().map(|part| part.to_string()).collect(),
            born: AtomicU64::new(0),
            down: AtomicBool::new(false),
            open: Mutex::default(),
            log: log.clone(),
        });
        let listener = engine.clone().begin_process();
        let running = engine.clone();
        std::thread::spawn(move || running.run(listener));
        engine
    }

    fn begin_process(self: Arc<Self>) -> TcpListener {
        let listener = TcpListener::bind(self.addr).expect("bind");
        listener.set_nonblocking(true).expect("nonblocking");
        let born_ms = self.born.fetch_add(1, Ordering::SeqCst) + 1;
        self.down.store(false, Ordering::SeqCst);
        let entry = ServerEntry { born_ms, ..entry(&self.name, self.addr, self.role) };
        self.store.write(&format!("servers/{}", self.name), &entry);
        listener
    }

    fn run(self: Arc<Self>, mut listener: TcpListener) {
        loop {
            if self.down.load(Ordering::SeqCst) {
                drop(listener);
                for stream in self.open.lock().drain(..) {
                    let _ = stream.shutdown(Shutdown::Both);
                }
                std::thread::sleep(DOWN_TIME);
                listener = self.clone().begin_process();
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    stream.set_nonblocking(false).expect("blocking");
                    self.open.lock().push(stream.try_clone().expect("a clone"));
                    let engine = self.clone();
                    std::thread::spawn(move || engine.serve(stream));
                }
                Err(_) => std::thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    /// Ends the process, as if it had crashed.
    pub fn crash(&self) {
        self.log.crashes.fetch_add(1, Ordering::SeqCst);
        self.down.store(true, Ordering::SeqCst);
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(req) = read_message(&mut stream) {
            let parts = header(&req, "parts").unwrap_or_default();
            let crashes =
                parts.split(',').any(|part| self.crashing_parts.iter().any(|c| c == part));
            if crashes {
                self.log.crashing_arrivals.fetch_add(1, Ordering::SeqCst);
            }
            if self.down.load(Ordering::SeqCst) {
                return;
            }
            let id = header(&req, "id").unwrap_or_default();
            let head = format!(
                "HTTP/1.1 200 OK\r\nid: {id}\r\nseal: s\r\ntransfer-encoding: chunked\r\n\r\n"
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            std::thread::sleep(EVENT_INTERVAL);
            if crashes && !self.down.load(Ordering::SeqCst) {
                self.crash();
                return;
            }
            for number in 1..=EVENTS {
                let event = format!("id: {number}\ndata: token\n\n");
                let chunk = format!("{:x}\r\n{event}\r\n", event.len());
                if self.down.load(Ordering::SeqCst) || stream.write_all(chunk.as_bytes()).is_err() {
                    return;
                }
                std::thread::sleep(EVENT_INTERVAL);
            }
            if stream.write_all(b"0\r\n\r\n").is_err() {
                return;
            }
        }
    }
}
