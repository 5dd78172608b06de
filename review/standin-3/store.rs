//! A stand-in of the platform's metadata store, as PROTOCOL.md describes it, without faults.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{Json, base64, quote};

#[derive(Clone)]
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
    /// The changes, with `None` for a removal.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Instant, Duration)>,
    last_lease: u64,
}

pub struct Store {
    pub addr: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Arc::new(Store { addr, state: Mutex::default(), changed: Condvar::new() });
        store.state.lock().unwrap().revision = 100;
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes what the operator or a replica writes.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.write(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().expect("a clone of the socket"));
        while let Ok(req) = http::read(&mut reader) {
            let (status, body) = self.answer(&req);
            let json = "Content-Type: application/json\r\n";
            if http::respond(&mut stream, status, json, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, req: &http::Message) -> (u16, String) {
        let path = req.target().split('?').next().unwrap_or_default().to_string();
        let body = Json::parse(&String::from_utf8_lossy(&req.body)).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        state.expire();
        let answer = match (req.method(), path.as_str()) {
            ("GET", "/api/kv-key") => {
                let key = req.query("key").unwrap_or_default();
                match state.items.get(&key) {
                    Some(item) => (200, item_json(&key, item, state.revision)),
                    None => (404, format!("{{\"store_revision\":{}}}", state.revision)),
                }
            }
            ("GET", "/api/kv-range") => {
                let prefix = req.query("path_prefix").unwrap_or_default();
                let after = req.query("after");
                let listed = state.items.iter().filter(|(key, _)| {
                    key.starts_with(&prefix) && after.as_ref().is_none_or(|a| *key > a)
                });
                let items: Vec<String> =
                    listed.map(|(key, item)| item_json(key, item, 0)).collect();
                let (items, revision) = (items.join(","), state.revision);
                let text = format!(
                    "{{\"items\":[{items}],\"truncated\":false,\"store_revision\":{revision}}}"
                );
                (200, text)
            }
            ("GET", "/api/kv-watch") => {
                let prefix = req.query("path_prefix").unwrap_or_default();
                let number = |name| req.query(name).and_then(|n| n.parse().ok()).unwrap_or(0u64);
                let (after, wait) = (number("after"), Duration::from_millis(number("wait_ms")));
                let end = Instant::now() + wait;
                loop {
                    let events: Vec<String> = state
                        .history
                        .iter()
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(revision, key, item)| match item {
                            Some(item) => item_json(key, item, 0),
                            None => format!(
                                "{{\"key\":{},\"revision\":{revision},\"deleted\":true}}",
                                quote(key)
                            ),
                        })
                        .collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let (events, revision) = (events.join(","), state.revision);
                        break (
                            200,
                            format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                        );
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                    state.expire();
                }
            }
            ("POST", "/api/kv-txn") => state.txn(&body),
            ("POST", "/api/kv-lease") => {
                state.last_lease += 1;
                let (lease, ttl_ms) = (state.last_lease, body.get("ttl_ms").number());
                let ttl = Duration::from_millis(ttl_ms);
                state.leases.insert(lease, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
            }
            ("POST", keep) if keep.starts_with("/api/kv-keep/") => {
                let lease = keep.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0u64);
                match state.leases.get_mut(&lease) {
                    Some((until, ttl)) => {
                        *until = Instant::now() + *ttl;
                        (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
                    }
                    None => (404, "{}".to_string()),
                }
            }
            ("DELETE", end) if end.starts_with("/api/kv-lease-end/") => {
                let lease = end.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0u64);
                state.leases.remove(&lease);
                state.remove_of_ended();
                (200, "{}".to_string())
            }
            _ => (404, "{}".to_string()),
        };
        drop(state);
        self.changed.notify_all();
        answer
    }
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_string(), item.clone());
        self.history.push((self.revision, key.to_string(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_string(), None));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let count = self.leases.len();
        self.leases.retain(|_, (until, _)| now < *until);
        if self.leases.len() < count {
            self.remove_of_ended();
        }
    }

    fn remove_of_ended(&mut self) {
        let ended = |item: &Item| item.lease != 0 && !self.leases.contains_key(&item.lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| ended(i)).map(|(key, _)| key.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn txn(&mut self, body: &Json) -> (u16, String) {
        let expected = body.get("expected_revision").list();
        let current =
            |row: &Json| self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
        if expected.iter().any(|row| current(row) != row.get("revision").number()) {
            let items = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                self.items.get(key).map(|item| item_json(key, item, 0))
            });
            return (412, format!("{{\"items\":[{}]}}", items.collect::<Vec<_>>().join(",")));
        }
        let writes = body.get("writes").list();
        let leases = writes.iter().map(|w| w.get("lease").number());
        if leases.into_iter().any(|lease| lease != 0 && !self.leases.contains_key(&lease)) {
            return (404, "{}".to_string());
        }
        for w in writes {
            let value = w.get("value").text().to_string();
            self.write(w.get("key").text(), value, w.get("lease").number());
        }
        for key in body.get("remove").list() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_json(key: &str, item: &Item, store_revision: u64) -> String {
    let Item { value, revision, created, lease } = item;
    let store = if store_revision > 0 {
        format!(",\"store_revision\":{store_revision}")
    } else {
        String::new()
    };
    format!(
        "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}{store}}}",
        quote(key)
    )
}
