//! The `hosts` module stands in for the platform's list of live and leaving
//! hosts: it answers what a file holds, read anew at each call.

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

/// `HostsHandler` answers the list over HTTP, without any fault.
#[derive(Debug)]
pub struct HostsHandler {
    /// The file that holds the list as JSON.
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
        server::outcome(self.read())
    }
}

/// `HostsFaults` is what is wrong with the list; the default is nothing.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HostsFaults {
    /// How late a change is seen, counted from the first call after it.
    #[serde_as(as = "DurationMilliSeconds")]
    #[serde(rename = "lag_ms")]
    pub lag: Duration,
    /// Calls fail.
    pub down: bool,
}

/// `HostsStandin` is the list with faults.
#[derive(Debug)]
pub struct HostsStandin {
    /// What is wrong with the list.
    pub faults: Mutex<HostsFaults>,
    handler: HostsHandler,
    history: Mutex<ListingHistory>,
}

/// `ListingHistory` is the list as it was read lately. Time is passed in.
#[derive(Debug, Default)]
pub struct ListingHistory {
    readings: VecDeque<(Instant, Listing)>,
}

impl ListingHistory {
    /// Notes a reading and returns the list as it was `lag` ago, or the oldest
    /// reading when there is none that old. Readings older than that are forgotten.
    pub fn delayed(&mut self, listing: Listing, lag: Duration, now: Instant) -> Listing {
        if self.readings.back().is_none_or(|(_, last)| *last != listing) {
            self.readings.push_back((now, listing));
        }
        while self.readings.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.readings.pop_front();
        }
        self.readings.front().map(|(_, listing)| listing.clone()).unwrap_or_default()
    }
}

impl HostsStandin {
    /// Creates a list that `file` holds as JSON.
    pub fn new(file: PathBuf) -> Self {
        let (faults, history) = (Mutex::default(), Mutex::default());
        HostsStandin { faults, handler: HostsHandler { file }, history }
    }

    fn list(&self) -> Result<Listing> {
        let faults = self.faults.lock().clone();
        if faults.down {
            return Err(unavailable("the host list is down"));
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
            _ => server::outcome(self.list()),
        }
    }
}
