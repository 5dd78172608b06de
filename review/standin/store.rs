//! A stand-in of the platform's metadata store.

use std::collections::{BTreeMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, answer, serve};
use crate::json::{Json, from_base64, quote, to_base64};

/// The most items and the most bytes of values on one page.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// The number of changes that are kept for watches.
const HISTORY: usize = 10_000;

#[derive(Debug, Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    ends: Instant,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// The revision, the key, and the item or `None` if it was removed.
    history: VecDeque<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
    /// Until when the store answers 503 to all calls.
    busy_until: Option<Instant>,
}

impl State {
    fn is_busy(&self) -> bool {
        self.busy_until.is_some_and(|until| Instant::now() < until)
    }
}

/// The store. Clones share the state.
#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Starts the store on a free port of `ip`.
    pub fn start(ip: &str) -> Store {
        let listener = TcpListener::bind((ip, 0)).expect("the store needs a port");
        let addr = listener.local_addr().expect("the store has an address");
        let state = State { revision: 1, next_lease: 1, ..State::default() };
        let store = Store { addr, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let served = store.clone();
        serve(listener, move |request| Some(served.handle(&request)));
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                expiring.end_leases(|lease| lease.ends <= Instant::now());
            }
        });
        store
    }

    /// Has the store answer 503 to all calls for `span`.
    pub fn set_busy(&self, span: Duration) {
        self.shared.0.lock().unwrap().busy_until = Some(Instant::now() + span);
        self.shared.1.notify_all();
    }

    /// Writes a key as the operator, a replica or another writer does, unless the store is busy.
    pub fn write(&self, key: &str, value: &[u8]) {
        let mut state = self.shared.0.lock().unwrap();
        if state.is_busy() {
            return;
        }
        state.revision += 1;
        state.write(key, value.to_vec(), 0);
        self.shared.1.notify_all();
    }

    fn end_leases(&self, ended: impl Fn(&Lease) -> bool) {
        let mut state = self.shared.0.lock().unwrap();
        let gone: Vec<u64> =
            state.leases.iter().filter(|(_, lease)| ended(lease)).map(|(id, _)| *id).collect();
        for id in gone {
            state.leases.remove(&id);
            let keys: Vec<String> = state
                .items
                .iter()
                .filter(|(_, item)| item.lease == id)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                state.revision += 1;
                state.remove(&key);
            }
        }
        self.shared.1.notify_all();
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.query();
        let field = |name: &str| {
            query.iter().find(|(known, _)| known == name).map(|(_, value)| value.clone())
        };
        let number = |name: &str| field(name).and_then(|value| value.parse().ok()).unwrap_or(0u64);
        let prefix = field("path_prefix").unwrap_or_default();
        if self.shared.0.lock().unwrap().is_busy() {
            return reply(503, "{}");
        }
        match (request.method(), path.as_str()) {
            ("GET", "/api/kv-key") => self.get(&field("key").unwrap_or_default()),
            ("GET", "/api/kv-range") => self.range(&prefix, field("after")),
            ("GET", "/api/kv-watch") => self.watch(&prefix, number("after"), number("wait_ms")),
            ("POST", "/api/kv-txn") => self.transact(&request.body),
            ("POST", "/api/kv-lease") => self.grant(&request.body),
            ("POST", path) if path.starts_with("/api/kv-keep/") => self.renew(last_number(path)),
            ("DELETE", path) if path.starts_with("/api/kv-lease-end/") => {
                let id = last_number(path);
                if let Some(lease) = self.shared.0.lock().unwrap().leases.get_mut(&id) {
                    lease.ends = Instant::now();
                }
                reply(200, "{}")
            }
            _ => reply(400, "{}"),
        }
    }

    fn get(&self, key: &str) -> Vec<u8> {
        let state = self.shared.0.lock().unwrap();
        match state.items.get(key) {
            Some(item) => {
                let body = item_json(key, item);
                let revision = state.revision;
                reply(200, &format!("{},\"store_revision\":{revision}}}", &body[..body.len() - 1]))
            }
            None => reply(404, "{}"),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> Vec<u8> {
        let state = self.shared.0.lock().unwrap();
        let mut items = Vec::new();
        let (mut bytes, mut truncated) = (0, false);
        for (key, item) in state.items.iter().filter(|(key, _)| key.starts_with(prefix)) {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= PAGE_ITEMS || bytes >= PAGE_BYTES {
                truncated = true;
                break;
            }
            bytes += item.value.len();
            items.push(item_json(key, item));
        }
        let (items, revision) = (items.join(","), state.revision);
        reply(
            200,
            &format!(
                "{{\"items\":[{items}],\"truncated\":{truncated},\"store_revision\":{revision}}}"
            ),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Vec<u8> {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = self.shared.0.lock().unwrap();
        loop {
            if state.is_busy() {
                return reply(503, "{}");
            }
            let kept_from = state.history.front().map_or(0, |(revision, ..)| *revision);
            if after + 1 < kept_from || after > state.revision {
                return reply(410, "{}");
            }
            let new = state
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<String> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => {
                        let key = quote(key);
                        format!("{{\"key\":{key},\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let (events, revision) = (events.join(","), state.revision);
                let body = format!("{{\"events\":[{events}],\"store_revision\":{revision}}}");
                return reply(200, &body);
            }
            state = self.shared.1.wait_timeout(state, until - now).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> Vec<u8> {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return reply(400, "{}");
        };
        let rows = |name: &str| call.get(name).map(|rows| rows.list().to_vec()).unwrap_or_default();
        let text = |row: &Json, name: &str| {
            row.get(name).and_then(Json::text).unwrap_or_default().to_string()
        };
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
        let mut state = self.shared.0.lock().unwrap();
        let expected = rows("expected_revision");
        let holds = expected.iter().all(|row| {
            let revision = state.items.get(&text(row, "key")).map_or(0, |item| item.revision);
            revision == number(row, "revision")
        });
        if !holds {
            let present: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = text(row, "key");
                    state.items.get(&key).map(|item| item_json(&key, item))
                })
                .collect();
            return reply(412, &format!("{{\"items\":[{}]}}", present.join(",")));
        }
        let writes = rows("writes");
        let leased = |row: &Json| {
            let lease = number(row, "lease");
            lease == 0 || state.leases.contains_key(&lease)
        };
        if !writes.iter().all(leased) {
            return reply(404, "{}");
        }
        state.revision += 1;
        for row in &writes {
            let value = from_base64(&text(row, "value")).unwrap_or_default();
            let lease = number(row, "lease");
            state.write(&text(row, "key"), value, lease);
        }
        for key in rows("remove") {
            state.remove(key.text().unwrap_or_default());
        }
        self.shared.1.notify_all();
        reply(200, &format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &[u8]) -> Vec<u8> {
        let call = Json::parse(&String::from_utf8_lossy(body));
        let ttl_ms = call.as_ref().and_then(|call| call.get("ttl_ms")).and_then(Json::number);
        let ttl_ms = ttl_ms.unwrap_or(0).clamp(1_000, 600_000);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.shared.0.lock().unwrap();
        state.next_lease += 1;
        let id = state.next_lease;
        state.leases.insert(id, Lease { ttl, ends: Instant::now() + ttl });
        reply(200, &format!("{{\"lease\":{id},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn renew(&self, id: u64) -> Vec<u8> {
        match self.shared.0.lock().unwrap().leases.get_mut(&id) {
            Some(lease) => {
                lease.ends = Instant::now() + lease.ttl;
                reply(200, &format!("{{\"ttl_ms\":{}}}", lease.ttl.as_millis()))
            }
            None => reply(404, "{}"),
        }
    }
}

impl State {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.items.insert(key.to_string(), item.clone());
        self.record(key, Some(item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.record(key, None);
        }
    }

    fn record(&mut self, key: &str, item: Option<Item>) {
        self.history.push_back((self.revision, key.to_string(), item));
        if self.history.len() > HISTORY {
            self.history.pop_front();
        }
    }
}

fn last_number(path: &str) -> u64 {
    path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0)
}

fn item_json(key: &str, item: &Item) -> String {
    let (key, value) = (quote(key), to_base64(&item.value));
    let Item { revision, created, lease, .. } = item;
    format!(
        "{{\"key\":{key},\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
    )
}

fn reply(status: u16, body: &str) -> Vec<u8> {
    answer(status, &[("Content-Type", "application/json")], body.as_bytes())
}
