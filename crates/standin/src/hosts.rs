//! The `hosts` module stands in for the platform's list of live and leaving
//! hosts: it answers what a file holds, read anew at each call.

use std::path::PathBuf;

use aspenloft_core::errors::{Result, internal};
use aspenloft_protocol::platform::Listing;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use http_types::{Request, Response};

/// `HostsFront` answers the list over HTTP.
#[derive(Debug)]
pub struct HostsFront {
    /// The file that holds the list as JSON.
    pub file: PathBuf,
}

impl HostsFront {
    fn read(&self) -> Result<Listing> {
        let text = std::fs::read_to_string(&self.file).map_err(|e| internal(e.to_string()))?;
        serde_json::from_str(&text).map_err(|e| internal(e.to_string()))
    }
}

#[async_trait]
impl HttpHandler for HostsFront {
    async fn handle(&self, _: Request, _: &Connection) -> Response {
        server::outcome(self.read())
    }
}
