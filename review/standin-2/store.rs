//! A stand-in of the platform's store: keys, leases, watches and transactions.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head};
use crate::json::Json;

#[derive(Debug, Clone)]
struct Item {
    /// In base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes; `None` for a key that was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_string(), item.clone());
        self.history.push((revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
    }

    fn event(key: &str, revision: u64, item: Option<&Item>) -> String {
        match item {
            None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
            Some(Item { value, revision, created, lease }) => format!(
                r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{created},"lease":{lease}}}"#
            ),
        }
    }
}

/// The store. The operator and the replicas write to it in this process, the hosts by calls.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start(addr: &str) -> std::io::Result<Store> {
        let listener = TcpListener::bind(addr)?;
        let shared: Arc<(Mutex<State>, Condvar)> = Arc::default();
        let store = Store { addr: listener.local_addr()?, shared };
        store.shared.0.lock().unwrap().revision = 100;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        let ticker = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                ticker.end_leases();
            }
        });
        Ok(store)
    }

    /// Writes a key without a lease, as the operator and the replicas do.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.write(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key, as when a replica has left.
    pub fn delete(&self, key: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.shared.1.notify_all();
    }

    fn end_leases(&self) {
        let mut state = self.shared.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> =
            state.leases.iter().filter(|(_, (_, end))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            state.end_lease(lease);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let Ok(body) = http::read_body(&mut reader, &head, false) else { return };
            let (status, body) = self.answer(&head, &String::from_utf8_lossy(&body));
            let headers = [("Content-Type", "application/json")];
            if http::respond(&mut out, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> (&'static str, String) {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name.to_string(), decode_percent(value)))
            .collect();
        let field = |name: &str| query.get(name).cloned().unwrap_or_default();
        let json = Json::parse(body).unwrap_or(Json::Null);
        match (head.word(0), path) {
            ("GET", "/api/kv-key") => self.get(&field("key")),
            ("GET", "/api/kv-range") => self.range(&field("path_prefix"), &field("after")),
            ("GET", "/api/kv-watch") => {
                let after = field("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(field("wait_ms").parse().unwrap_or(0));
                self.watch(&field("path_prefix"), after, wait)
            }
            ("POST", "/api/kv-txn") => self.txn(&json),
            ("POST", "/api/kv-lease") => {
                let ttl_ms = json.get("ttl_ms").number().clamp(1_000, 600_000);
                let ttl = Duration::from_millis(ttl_ms);
                let mut state = self.shared.0.lock().unwrap();
                state.last_lease += 1;
                let lease = state.last_lease;
                state.leases.insert(lease, (ttl, Instant::now() + ttl));
                ("200 OK", format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            ("POST", path) if path.starts_with("/api/kv-keep/") => {
                let lease = path["/api/kv-keep/".len()..].parse().unwrap_or(0);
                let mut state = self.shared.0.lock().unwrap();
                match state.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        ("200 OK", format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => ("404 Not Found", "{}".to_string()),
                }
            }
            _ => ("400 Bad Request", "{}".to_string()),
        }
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            None => ("404 Not Found", "{}".to_string()),
            Some(item) => {
                let event = State::event(key, item.revision, Some(item));
                let fields = event.trim_end_matches('}');
                ("200 OK", format!(r#"{fields},"store_revision":{}}}"#, state.revision))
            }
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.shared.0.lock().unwrap();
        let items = state.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let mut items = items.filter(|(key, _)| after.is_empty() || key.as_str() > after);
        let page: Vec<String> = items
            .by_ref()
            .take(500)
            .map(|(key, item)| State::event(key, item.revision, Some(item)))
            .collect();
        let truncated = items.next().is_some();
        let (page, revision) = (page.join(","), state.revision);
        let body =
            format!(r#"{{"items":[{page}],"truncated":{truncated},"store_revision":{revision}}}"#);
        ("200 OK", body)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let until = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let changes = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = changes
                .map(|(revision, key, item)| State::event(key, *revision, item.as_ref()))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), state.revision);
                return (
                    "200 OK",
                    format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#),
                );
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, json: &Json) -> (&'static str, String) {
        let mut state = self.shared.0.lock().unwrap();
        let expected = json.get("expected_revision").list();
        let revision_of = |state: &State, key: &str| state.items.get(key).map_or(0, |i| i.revision);
        let holds = expected
            .iter()
            .all(|row| revision_of(&state, row.get("key").text()) == row.get("revision").number());
        if !holds {
            let items = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                state.items.get(key).map(|item| State::event(key, item.revision, Some(item)))
            });
            let items: Vec<String> = items.collect();
            return ("412 Precondition Failed", format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        for write in json.get("writes").list() {
            let lease = write.get("lease").number();
            if lease != 0 && !state.leases.contains_key(&lease) {
                return ("404 Not Found", "{}".to_string());
            }
        }
        state.revision += 1;
        for write in json.get("writes").list() {
            let (key, value) = (write.get("key").text(), write.get("value").text().to_string());
            state.write(key, value, write.get("lease").number());
        }
        for key in json.get("remove").list() {
            state.remove(key.text());
        }
        self.shared.1.notify_all();
        ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = [0; 3];
        bits[..group.len()].copy_from_slice(group);
        let bits = u32::from(bits[0]) << 16 | u32::from(bits[1]) << 8 | u32::from(bits[2]);
        for digit in 0..4 {
            let value = bits >> (18 - 6 * digit) & 63;
            text.push(if digit <= group.len() { DIGITS[value as usize] as char } else { '=' });
        }
    }
    text
}
