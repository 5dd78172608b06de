//! The `service` module stands in for a plain service. It counts executions by
//! idempotency key, so that tests can tell whether a call ran twice.

use std::collections::BTreeMap;
use std::time::Duration;

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_std::task;
use async_trait::async_trait;
use http_types::{Request, Response, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::admin;

/// The header that carries an idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// The path at which the stand-in tells its counts.
pub const COUNTS_PATH: &str = "/standin/counts";

/// The largest call that the stand-in reads, in bytes.
const MAX_CALL_BYTES: usize = 1024 * 1024;

/// `ServiceFaults` is what is wrong with the service; the default is nothing.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// How long a call waits before it is executed.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// How long the answer waits after the execution.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "late_ms")]
    pub late: Duration,
    /// Calls are refused without being executed.
    pub refusing: bool,
    /// This many coming calls lose their connection before they are executed.
    pub crash_before: u32,
    /// This many coming calls lose their connection after they were executed.
    pub crash_after: u32,
}

/// `ServiceStandin` is a plain service.
#[derive(Debug, Default)]
pub struct ServiceStandin {
    /// What is wrong with the service.
    pub faults: Mutex<ServiceFaults>,
    counts: Mutex<BTreeMap<String, u64>>,
}

/// `Receipt` is the service's answer to a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// The method.
    pub method: String,
    /// The path.
    pub path: String,
    /// The idempotency key, if one came.
    pub key: Option<String>,
    /// How often the key has been executed, this call included.
    pub executions: u64,
    /// The bytes of the body.
    pub body_bytes: usize,
}

impl ServiceStandin {
    /// Returns how often each key has been executed; calls without one count under
    /// the empty key.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().clone()
    }

    /// Returns how often `key` has been executed.
    pub fn executions(&self, key: &str) -> u64 {
        self.counts.lock().get(key).copied().unwrap_or_default()
    }

    async fn call(&self, mut req: Request, connection: &Connection) -> Response {
        let body = match server::read_body(&mut req, MAX_CALL_BYTES).await {
            Ok(body) => body,
            Err(e) => return server::outcome(Err::<(), _>(e)),
        };
        let faults = self.faults.lock().clone();
        if faults.refusing {
            let refusal = Error::new(ErrorCode::NotReady, "the service takes no calls");
            return server::outcome(Err::<(), _>(refusal));
        }
        task::sleep(faults.delay).await;
        if take_one(&mut self.faults.lock().crash_before) {
            return dropped(connection);
        }
        let receipt = self.execute(&req, body.len());
        if take_one(&mut self.faults.lock().crash_after) {
            return dropped(connection);
        }
        task::sleep(faults.late).await;
        server::json(&receipt)
    }

    fn execute(&self, req: &Request, body_bytes: usize) -> Receipt {
        let key = req.header(IDEMPOTENCY_KEY_HEADER).map(|values| values.as_str().to_string());
        let mut counts = self.counts.lock();
        let count = counts.entry(key.clone().unwrap_or_default()).or_default();
        *count += 1;
        Receipt {
            method: req.method().to_string(),
            path: req.url().path().to_string(),
            key,
            executions: *count,
            body_bytes,
        }
    }
}

/// Takes one off a count of coming faults; `false` when none is left.
fn take_one(left: &mut u32) -> bool {
    let some = *left > 0;
    *left = left.saturating_sub(1);
    some
}

fn dropped(connection: &Connection) -> Response {
    connection.abort();
    Response::new(StatusCode::ServiceUnavailable)
}

#[async_trait]
impl HttpHandler for ServiceStandin {
    async fn handle(&self, mut req: Request, connection: &Connection) -> Response {
        match req.url().path() {
            COUNTS_PATH => server::json(&self.counts()),
            admin::FAULTS_PATH => admin::serve_faults(&mut req, &self.faults).await,
            _ => self.call(req, connection).await,
        }
    }
}
