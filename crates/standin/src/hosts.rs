//! The `hosts` module is a test double of the platform's list of live and leaving hosts.
//! It serves the content of a file, which it reads at each call.

use std::collections::VecDeque;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use aspenloft_core::errors::{Result, internal, unavailable};
use aspenloft_protocol::platform::Listing;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use http_types::{Request, Response};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::admin;

/// `HostsHandler` serves the list over HTTP without faults.
#[derive(Debug)]
pub struct HostsHandler {
    /// JSON file that contains the list.
    pub file: PathBuf,
}

impl HostsHandler {
    fn read(&self) -> Result<Listing> {
        let text = std::fs::read_to_string(&self.file).map_err(|e| internal(e.to_string()))?;
        serde_json::from_str(&text).map_err(|e| internal(e.to_string()))
    }
}

#[async_trait]
impl HttpHandler for HostsHandler {
    async fn handle(&self, _: Request, _: &Connection) -> Response {
        server::json_result(self.read())
    }
}

/// `HostsFaults` holds the injected faults of the list; the default injects none.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsFaults {
    /// Delay before a change of the file becomes visible, counted from the first call after
    /// the change.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "lag_ms")]
    pub lag: Duration,
    /// All calls fail.
    pub down: bool,
}

/// `HostsStandin` serves the list over HTTP with injectable faults.
#[derive(Debug)]
pub struct HostsStandin {
    /// The injected faults.
    pub faults: Mutex<HostsFaults>,
    handler: HostsHandler,
    history: Mutex<ListingHistory>,
}

/// `ListingHistory` holds recent versions of the list. Callers pass the current time.
#[derive(Debug, Default)]
pub struct ListingHistory {
    versions: VecDeque<(Instant, Listing)>,
}

impl ListingHistory {
    /// Records the current list and returns the list as it was `lag` ago, or the oldest
    /// known version if none is that old. Versions older than the returned one are dropped.
    pub fn delayed(&mut self, listing: Listing, lag: Duration, now: Instant) -> Listing {
        if self.versions.back().is_none_or(|(_, last)| *last != listing) {
            self.versions.push_back((now, listing));
        }
        while self.versions.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.versions.pop_front();
        }
        self.versions.front().map(|(_, listing)| listing.clone()).unwrap_or_default()
    }
}

impl HostsStandin {
    /// Creates a stand-in that serves the list in the JSON file `file`.
    pub fn new(file: PathBuf) -> Self {
        let (faults, history) = (Mutex::default(), Mutex::default());
        HostsStandin { faults, handler: HostsHandler { file }, history }
    }

    fn list(&self) -> Result<Listing> {
        let faults = self.faults.lock().clone();
        if faults.down {
            return Err(unavailable("the host list is unavailable"));
        }
        let listing = self.handler.read()?;
        Ok(self.history.lock().delayed(listing, faults.lag, Instant::now()))
    }
}

#[async_trait]
impl HttpHandler for HostsStandin {
    async fn handle(&self, mut req: Request, _: &Connection) -> Response {
        match req.url().path() {
            admin::FAULTS_PATH => admin::serve_faults(&mut req, &self.faults).await,
            _ => server::json_result(self.list()),
        }
    }
}
