//! The `service` module stands in for a plain service. It counts executions by
//! idempotency key, so that tests can tell whether a call ran twice.

use std::collections::BTreeMap;

use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use http_types::{Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// The header that carries an idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";

/// The path at which the stand-in tells its counts.
pub const COUNTS_PATH: &str = "/standin/counts";

/// The largest call that the stand-in reads, in bytes.
const MAX_CALL_BYTES: usize = 1024 * 1024;

/// `ServiceStandin` is a plain service.
#[derive(Debug, Default)]
pub struct ServiceStandin {
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

#[async_trait]
impl HttpHandler for ServiceStandin {
    async fn handle(&self, mut req: Request, _: &Connection) -> Response {
        if req.url().path() == COUNTS_PATH {
            return server::json(&*self.counts.lock());
        }
        let body = match server::read_body(&mut req, MAX_CALL_BYTES).await {
            Ok(body) => body,
            Err(e) => return server::outcome(Err::<(), _>(e)),
        };
        let key = req.header(KEY_HEADER).map(|values| values.as_str().to_string());
        let mut counts = self.counts.lock();
        let count = counts.entry(key.clone().unwrap_or_default()).or_default();
        *count += 1;
        server::json(&Receipt {
            method: req.method().to_string(),
            path: req.url().path().to_string(),
            key,
            executions: *count,
            body_bytes: body.len(),
        })
    }
}
