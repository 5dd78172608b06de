//! A small deployment on loopback addresses: the store, plain replicas, and hosts of the
//! router as separate processes, which are all ended with it.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, answer, serve};
use crate::store::Store;

/// The program of the deploy file.
const PROGRAM: &str = "target/release/aspenloft-node";

/// How often a replica writes its entry.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What was sent, answered and run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn note(&self, text: &str) {
        let at = self.began.elapsed().as_millis();
        let _ = writeln!(self.file.lock().unwrap(), "{at:>7} ms  {text}");
    }
}

/// A host of the router.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("a log file");
        let child = Command::new(PROGRAM)
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| name == "PATH" || name == "HOME"))
            .env("ASPENLOFT_CONFIG", &self.settings)
            // The machines of the users have one core, on which the process has one worker
            // and one arena.
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .env("MALLOC_ARENA_MAX", "1")
            .stdin(Stdio::null())
            .stderr(log.try_clone().expect("a log file"))
            .stdout(log)
            .spawn();
        let child = child.expect("the program of the deploy file starts");
        PROCESSES.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            let command = format!("kill -TERM {}", child.id());
            let _ = Command::new("sh").args(["-c", &command]).status();
        }
    }

    /// Tells whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// Returns the resident memory of the process in KiB.
    pub fn memory_kib(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }

    /// Asks whether the host is ready, as the balancer does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut connection) = Connection::open(self.readiness) else { return false };
        let request = format!("GET /api/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.readiness);
        connection.writer.write_all(request.as_bytes()).is_ok()
            && connection.read(Duration::from_secs(1)).is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The processes that are running, for the watchdog.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes and the script itself after `limit`, if it still runs then.
pub fn start_watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for pid in PROCESSES.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-9", &pid.to_string()]).status();
        }
        eprintln!("the script took too long");
        std::process::exit(2);
    });
}

/// The store and the hosts. Everything ends when it is dropped.
pub struct Deployment {
    pub store: Store,
    pub hosts: Vec<Host>,
    pub record: Record,
    prefix: String,
    dir: PathBuf,
}

impl Deployment {
    /// Prepares a host for each of `zones`, with the settings that the template of the deploy
    /// file gives.
    pub fn new(zones: &[&str], memory_mb: u64, record: &Path) -> Deployment {
        let record = Record::create(record);
        let pid = std::process::id();
        let prefix = format!("127.{}.{}", 20 + pid % 200, pid / 200 % 250);
        let dir = std::env::temp_dir().join(format!("aspenloft-review-{pid}"));
        std::fs::create_dir_all(&dir).expect("a temporary folder");
        let store = Store::start(&format!("{prefix}.250"));
        let ips: Vec<String> = (1..=zones.len()).map(|i| format!("{prefix}.{i}")).collect();
        let ports = free_ports(&ips[0], 4);
        let [callers, readiness, peers, metrics] = [ports[0], ports[1], ports[2], ports[3]];
        let seeds: Vec<String> =
            ips.iter().take(3).map(|ip| format!("\"{ip}:{}\"", peers)).collect();
        let hosts = ips.iter().enumerate().map(|(i, ip)| {
            let zone = zones[i];
            let number = zones[..=i].iter().filter(|other| **other == zone).count();
            let name = format!("frontend-{zone}-{number}");
            let settings = dir.join(format!("{name}.json"));
            let text = format!(
                r#"{{
  "host": "{name}",
  "data_centre": "{zone}",
  "listen": {{
    "callers": "{ip}:{callers}",
    "readiness": "{ip}:{readiness}",
    "peers": "{ip}:{peers}",
    "metrics": "{ip}:{metrics}"
  }},
  "key_value": "{}",
  "retries": {{ "ratio": 0.2, "slack": 58, "window_s": 10 }},
  "shutdown": {{ "grace_s": 8 }},
  "memory_mb": {memory_mb},
  "seeds": [{}]
}}"#,
                store.addr,
                seeds.join(",")
            );
            std::fs::write(&settings, text).expect("a settings file");
            Host {
                log: dir.join(format!("{name}.log")),
                callers: format!("{ip}:{callers}").parse().expect("an address"),
                readiness: format!("{ip}:{readiness}").parse().expect("an address"),
                name,
                settings,
                child: None,
            }
        });
        let hosts = hosts.collect();
        Deployment { store, hosts, record, prefix, dir }
    }

    /// Returns an address of the deployment for replica `number`.
    pub fn replica_ip(&self, number: usize) -> String {
        format!("{}.{}", self.prefix, 100 + number)
    }

    /// Waits until all hosts are ready; false if that takes longer than `limit`.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if self.hosts.iter().all(Host::is_ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        match std::env::var_os("KEEP_LOGS") {
            Some(_) => eprintln!("logs: {}", self.dir.display()),
            None => {
                let _ = std::fs::remove_dir_all(&self.dir);
            }
        }
    }
}

fn free_ports(ip: &str, count: usize) -> Vec<u16> {
    let listeners: Vec<TcpListener> =
        (0..count).map(|_| TcpListener::bind((ip, 0)).expect("a free port")).collect();
    listeners.iter().map(|l| l.local_addr().expect("an address").port()).collect()
}

/// What replicas have run, by the id of the request.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

/// Until when a replica sends nothing, if it is silent.
pub type Silence = Arc<Mutex<Option<Instant>>>;

/// Starts a sound replica of a plain service, which works on each request for `work`, and
/// writes its entry to the store.
pub fn start_plain_replica(
    deployment: &Deployment,
    number: usize,
    service: &str,
    work: Duration,
    runs: &Runs,
) -> Silence {
    let ip = deployment.replica_ip(number);
    let listener = TcpListener::bind((ip.as_str(), 0)).expect("a free port");
    let addr = listener.local_addr().expect("an address");
    let id = format!("i-{service}-{number}");
    let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
    let (store, service_name, own_id) = (deployment.store.clone(), service.to_string(), id.clone());
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |at| at.as_millis());
    thread::spawn(move || {
        for sequence in 1u64.. {
            let entry = format!(
                r#"{{"service":"{service_name}","address":"{addr}","zone":"{zone}","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":{sequence},"born":{born}}}"#
            );
            store.write(&format!("servers/{own_id}"), entry.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    });
    let (runs, record) = (runs.clone(), deployment.record.clone());
    let silence = Silence::default();
    let silent = silence.clone();
    serve(listener, move |request| {
        let attempt = request.header("x-aspenloft-attempt-id").unwrap_or("-").to_string();
        if request.header("x-aspenloft-expect-instance").is_some_and(|expected| expected != id) {
            return Some(answer(421, &[("X-Aspenloft-Instance-Id", &id)], b""));
        }
        runs.lock().unwrap().entry(attempt.clone()).or_default().push(id.clone());
        record.note(&format!("{id} runs {attempt} ({} bytes)", request.body.len()));
        thread::sleep(work);
        while let Some(until) = *silent.lock().unwrap()
            && Instant::now() < until
        {
            thread::sleep(Duration::from_millis(5));
        }
        let headers =
            [("X-Aspenloft-Attempt-Id", attempt.as_str()), ("X-Aspenloft-Server-Seal", "seal.1")];
        Some(answer(200, &headers, format!("answer to {attempt}").as_bytes()))
    });
    silence
}
