//! The `service` module is a test double of a plain service. It counts executions by
//! idempotency key, so that tests can detect calls that were executed twice.

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

/// Request header that carries the idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Path at which the stand-in returns its counts.
pub const COUNTS_PATH: &str = "/standin/counts";

/// Maximum size of a call's body in bytes.
const MAX_CALL_BYTES: usize = 1024 * 1024;

/// `ServiceFaults` holds the injected faults of a service; the default injects none.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Delay before a call is executed.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "delay_ms")]
    pub delay: Duration,
    /// Delay between the execution of a call and its answer.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "late_ms")]
    pub late: Duration,
    /// Calls are refused without being executed.
    pub refusing: bool,
    /// Number of further calls whose connection is aborted before execution.
    pub crash_before: u32,
    /// Number of further calls whose connection is aborted after execution.
    pub crash_after: u32,
}

/// `ServiceStandin` is a test double of a plain service. It accepts any method and path.
#[derive(Debug, Default)]
pub struct ServiceStandin {
    /// The injected faults.
    pub faults: Mutex<ServiceFaults>,
    counts: Mutex<BTreeMap<String, u64>>,
}

/// `Receipt` is the service's answer to an executed call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Receipt {
    /// Method of the request.
    pub method: String,
    /// Path of the request, without the query.
    pub path: String,
    /// Idempotency key of the request, if it has one.
    pub key: Option<String>,
    /// Number of executions with this key, including this call.
    pub executions: u64,
    /// Size of the request's body in bytes.
    pub body_bytes: usize,
}

impl ServiceStandin {
    /// Returns the number of executions by key. Calls without a key are counted under the
    /// empty key.
    pub fn counts(&self) -> BTreeMap<String, u64> {
        self.counts.lock().clone()
    }

    /// Returns the number of executions with `key`.
    pub fn executions(&self, key: &str) -> u64 {
        self.counts.lock().get(key).copied().unwrap_or_default()
    }

    async fn call(&self, mut req: Request, connection: &Connection) -> Response {
        let body = match server::read_body(&mut req, MAX_CALL_BYTES).await {
            Ok(body) => body,
            Err(e) => return server::json_result(Err::<(), _>(e)),
        };
        let faults = self.faults.lock().clone();
        if faults.refusing {
            let refusal = Error::new(ErrorCode::NotReady, "the service accepts no calls");
            return server::json_result(Err::<(), _>(refusal));
        }
        task::sleep(faults.delay).await;
        if consume_fault(&mut self.faults.lock().crash_before) {
            return abort_connection(connection);
        }
        let receipt = self.execute(&req, body.len());
        if consume_fault(&mut self.faults.lock().crash_after) {
            return abort_connection(connection);
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

/// Decrements a count of pending faults. Returns `false` if none was left.
fn consume_fault(left: &mut u32) -> bool {
    let pending = *left > 0;
    *left = left.saturating_sub(1);
    pending
}

fn abort_connection(connection: &Connection) -> Response {
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
