//! Streams that may be resumed break off and go on at another replica: in the middle, when a
//! replica crashes, or at their very end, when the end of an answer is lost.

use std::collections::{HashMap, HashSet};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::store::Store;
use crate::world::{Behaviour, Node, Record, Replica, STABLE_WINDOW, reset, unix_ms};

/// The most tokens of an event, the `stride` of the service's engines.
const STRIDE: usize = 13;

/// The tokens of an answer: the mean of the sites.
const TOKENS: usize = 69;

/// The time between two tokens on a replica with some 20 requests.
const STEP: Duration = Duration::from_millis(10);

fn hash(id: &str, seed: usize) -> usize {
    let step = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3);
    (id.bytes().fold(seed as u64 ^ 0xcbf2_9ce4_8422_2325, step) >> 33) as usize
}

/// Returns the tokens of the event that follows after `made` tokens of the answer to `id`.
fn tokens_of_event(id: &str, made: usize) -> usize {
    (1 + hash(id, made) % STRIDE).min(TOKENS - made)
}

/// What breaks streams off.
#[derive(Clone, Copy, PartialEq)]
pub enum Trouble {
    /// Replicas crash, one after the other. An event holds several tokens.
    Crash,
    /// Replicas lose the end of some answers. Each event holds one token.
    LostEnd,
}

/// The number of decode replicas that lose the end of answers, in how many of a hundred, and
/// for how long.
const LOSING: usize = 2;
const LOST_OF_HUNDRED: usize = 30;
const LOSING_FOR: Duration = Duration::from_secs(4);

/// Four decode replicas, of which one crashes at a time: a share of 0.25.
const DECODE: usize = 4;
const CRASHES: usize = 3;
const DOWN: Duration = Duration::from_millis(2_000);

const CLIENTS: usize = 64;
const DEADLINE: Duration = Duration::from_millis(14_000);

/// What a decode replica knows of itself.
#[derive(Default)]
struct Engine {
    is_down: Arc<AtomicBool>,
    /// Whether it loses the end of some answers, and those whose end it has lost.
    is_losing: AtomicBool,
    lost: Mutex<HashSet<String>>,
    open: Mutex<HashMap<usize, TcpStream>>,
}

impl Engine {
    /// Resets all connections, as a crash does.
    fn crash(&self) {
        self.is_down.store(true, Ordering::SeqCst);
        for (_, stream) in self.open.lock().unwrap().drain() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

struct Decode {
    engine: Arc<Engine>,
    fault: Trouble,
}

impl Behaviour for Decode {
    /// Streams the events after `Last-Event-Id`. An event holds several tokens, and its id is the
    /// number of tokens made so far, so that ids rise.
    fn serve(
        &self,
        replica: &Replica,
        number: usize,
        req: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let gone = || std::io::Error::other("the replica is down");
        if self.engine.is_down.load(Ordering::SeqCst) {
            return Err(gone());
        }
        self.engine.open.lock().unwrap().insert(number, stream.try_clone()?);
        let streamed = self.stream(replica, number, req, stream);
        self.engine.open.lock().unwrap().remove(&number);
        streamed
    }
}

impl Decode {
    fn stream(
        &self,
        replica: &Replica,
        number: usize,
        req: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let gone = || std::io::Error::other("the replica is down");
        let id = req.header("x-aspenloft-attempt-id").unwrap_or("-");
        let last: Option<usize> = req.header("last-event-id").and_then(|l| l.parse().ok());
        let mut made = last.unwrap_or(0);
        replica.record.line(format!("{} streams {id} after {made}", replica.instance));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Server-Seal: {}.{number}\r\nX-Aspenloft-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            replica.instance
        );
        stream.write_all(head.as_bytes())?;
        while made < TOKENS {
            let tokens = match self.fault {
                Trouble::Crash => tokens_of_event(id, made),
                Trouble::LostEnd => 1,
            };
            std::thread::sleep(STEP * tokens as u32);
            if self.engine.is_down.load(Ordering::SeqCst) {
                return Err(gone());
            }
            made += tokens;
            let event = format!("id: {made}\ndata: {tokens} tokens\n\n");
            stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
        }
        let is_losing = self.engine.is_losing.load(Ordering::SeqCst);
        if last.is_none() && is_losing && hash(id, 0) % 100 < LOST_OF_HUNDRED {
            replica.record.line(format!("{} loses the end of {id}", replica.instance));
            self.engine.lost.lock().unwrap().insert(id.to_string());
            std::thread::sleep(STEP);
            reset(stream);
            return Err(gone());
        }
        stream.write_all(b"0\r\n\r\n")?;
        replica.record.line(format!("{} has streamed {id} to its end", replica.instance));
        Ok(())
    }
}

struct Prefill;

impl Behaviour for Prefill {
    fn serve(
        &self,
        replica: &Replica,
        number: usize,
        req: &http::Message,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        std::thread::sleep(Duration::from_millis(10));
        let body = format!("{{\"kv_handle\":\"h{number:08x}\",\"tokens\":200,\"version\":1}}");
        replica.answer(
            req,
            number,
            200,
            "Content-Type: application/json\r\n",
            body.as_bytes(),
            stream,
        )
    }
}

/// What a client got of a stream.
struct Got {
    status: u16,
    ids: Vec<usize>,
    is_whole: bool,
}

fn read_stream(reader: &mut BufReader<TcpStream>) -> std::io::Result<Got> {
    let head = http::read_head(reader)?;
    let mut got = Got { status: head.status(), ids: Vec::new(), is_whole: false };
    if head.header("transfer-encoding").is_none() {
        let length = head.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        reader.read_exact(&mut vec![0; length])?;
        got.is_whole = true;
        return Ok(got);
    }
    let mut text = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).unwrap_or(0) == 0 {
            break;
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else { break };
        let mut part = vec![0; size + 2];
        if reader.read_exact(&mut part).is_err() {
            break;
        }
        if size == 0 {
            got.is_whole = true;
            break;
        }
        text.push_str(&String::from_utf8_lossy(&part[..size]));
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    got.ids = ids.collect();
    Ok(got)
}

pub fn play(dir: &Path, record: &Arc<Record>, trouble: bool, fault: Trouble) -> i32 {
    let store = Store::start();
    store.write(
        "op/config",
        "{\"version\":7,\"routes\":[{\"name\":\"say\",\"host\":\"shop.example\",\"path_prefix\":\"/say/\",\"kind\":\"streaming\",\"timeout_ms\":14000,\"target_latency_ms\":1000,\"priority\":1,\"service\":\"llm\",\"max_attempts\":2,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":300}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":42786,\"kv_token_bytes\":18432,\"link_mbps\":740000.0,\"moves\":true,\"backups\":true,\"stride\":13,\"most\":12,\"handle_ttl_s\":0.5,\"switch_s\":6.0,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}",
    );
    let engines: Vec<Arc<Engine>> = (0..DECODE).map(|_| Arc::default()).collect();
    let mut replicas = vec![Replica::start("i-p0", record, Box::new(Prefill))];
    for (i, engine) in engines.iter().enumerate() {
        let behaviour = Box::new(Decode { engine: engine.clone(), fault });
        let (name, is_down) = (format!("i-d{i}"), engine.is_down.clone());
        replicas.push(Replica::start_with(&name, record, behaviour, is_down));
    }
    for (i, replica) in replicas.iter().enumerate() {
        let stage = if i == 0 { "prefill" } else { "decode" };
        let extra = format!(
            ",\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}]"
        );
        replica.list(&store, "llm", "z1", &extra);
    }
    let node = Node::start(dir, "h1", "z1", &store, 110);
    if !node.wait_ready() {
        return 2;
    }
    std::thread::sleep(STABLE_WINDOW);
    let stop = AtomicBool::new(false);
    let (streams, lost) = (AtomicUsize::new(0), AtomicUsize::new(0));
    let sound_runs = |id: &str| -> Vec<String> {
        // The replicas that ran the request and have not lost its end.
        let ran = replicas.iter().skip(1).zip(&engines).filter(|(replica, engine)| {
            replica.runs.lock().unwrap().contains_key(id)
                && !engine.lost.lock().unwrap().contains(id)
        });
        ran.map(|(replica, _)| replica.instance.clone()).collect()
    };
    let crashed_at: Mutex<HashMap<String, Vec<Instant>>> = Mutex::default();
    std::thread::scope(|scope| {
        for c in 0..CLIENTS {
            let (stop, streams, lost, node, sound_runs, crashed_at) =
                (&stop, &streams, &lost, &node, &sound_runs, &crashed_at);
            scope.spawn(move || {
                let mut kept: Option<TcpStream> = None;
                std::thread::sleep(Duration::from_millis(13 * c as u64));
                let mut n = 0;
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let id = format!("s-{c}-{n}");
                    let is_kept = kept.is_some();
                    let Some(mut stream) = kept.take().or_else(|| TcpStream::connect(node.front).ok())
                    else {
                        continue;
                    };
                    let _ = stream.set_read_timeout(Some(DEADLINE));
                    let (mark, began) = (unix_ms(), Instant::now());
                    let req = format!(
                        "POST /say/a HTTP/1.1\r\nHost: shop.example\r\nX-Aspenloft-Attempt-Id: {id}\r\nX-Aspenloft-Model: m\r\nX-Aspenloft-Token-Usage: 200,80\r\nX-Aspenloft-Length-Hint: 69\r\nX-Aspenloft-Prompt-Prefix: 5c1e07a2:120,{mark:x}{c:x}:80\r\nX-Aspenloft-Deadline-Ms: {}\r\nContent-Length: 5\r\n\r\nhello",
                        DEADLINE.as_millis()
                    );
                    record.line(format!("{id} is sent, kept connection: {is_kept}"));
                    let _ = stream.write_all(req.as_bytes());
                    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
                    let got = read_stream(&mut reader);
                    streams.fetch_add(1, Ordering::SeqCst);
                    match got {
                        Ok(got) if got.is_whole => {
                            record.line(format!("{id} ends: {} {:?}", got.status, got.ids));
                            kept = Some(stream);
                        }
                        Ok(got) => {
                            let ran = sound_runs(&id);
                            // One that ran it has not crashed since the request was sent.
                            let crashes = crashed_at.lock().unwrap();
                            let is_sound = |r: &String| {
                                !crashes.get(r).is_some_and(|at| at.iter().any(|at| *at >= began))
                            };
                            let sound: Vec<_> = ran.iter().filter(|r| is_sound(r)).collect();
                            record.line(format!(
                                "{id} ends: {} {:?}, the connection is closed; run by {ran:?}, sound: {sound:?}",
                                got.status, got.ids
                            ));
                            if !sound.is_empty() && is_kept {
                                lost.fetch_add(1, Ordering::SeqCst);
                            }
                        }
                        Err(e) => record.line(format!("{id} ends: closed, {e}")),
                    }
                }
            });
        }
        std::thread::sleep(Duration::from_secs(5));
        match fault {
            Trouble::Crash => {
                for n in 0..CRASHES {
                    let victim = n % DECODE;
                    if trouble {
                        let name = replicas[victim + 1].instance.clone();
                        record.say(format!("{name} crashes"));
                        crashed_at.lock().unwrap().entry(name).or_default().push(Instant::now());
                        engines[victim].crash();
                    }
                    std::thread::sleep(DOWN);
                    engines[victim].is_down.store(false, Ordering::SeqCst);
                    std::thread::sleep(Duration::from_secs(3));
                }
            }
            Trouble::LostEnd => {
                let set = |is_losing| {
                    engines[..LOSING]
                        .iter()
                        .for_each(|engine| engine.is_losing.store(is_losing, Ordering::SeqCst));
                };
                set(trouble);
                std::thread::sleep(LOSING_FOR);
                set(false);
                std::thread::sleep(Duration::from_secs(3));
            }
        }
        stop.store(true, Ordering::SeqCst);
    });
    let (streams, lost) = (streams.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    record.say(format!(
        "{streams} streams; passed on from a kept connection to a sound replica and cut before their end: {lost}"
    ));
    i32::from(lost > 3)
}
