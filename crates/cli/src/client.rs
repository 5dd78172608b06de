//! The `client` module implements a client of the administration API of a host.

use std::net::SocketAddr;
use std::time::Duration;

use aspenloft_core::errors::Result;
use aspenloft_transport::http;
use http_types::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The timeout for receiving the head of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// `Client` sends requests to the administration API of one host.
#[derive(Debug, Clone, Copy)]
pub struct Client {
    host: SocketAddr,
}

impl Client {
    /// Creates a client of the host whose administration address is `host`.
    pub fn new(host: SocketAddr) -> Client {
        Client { host }
    }

    /// Sends a `GET` request for `path` and decodes the JSON response.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        self.exchange(http::request(Method::Get, self.host, path, Vec::new())?).await
    }

    /// Sends a `POST` request with `body` to `path` and decodes the JSON response.
    pub async fn post<T: DeserializeOwned>(&self, path: &str, body: &impl Serialize) -> Result<T> {
        self.exchange(http::post(self.host, path, body)?).await
    }

    async fn exchange<T: DeserializeOwned>(&self, req: Request) -> Result<T> {
        let mut response = http::send(self.host, req, RESPONSE_TIMEOUT).await?;
        http::read_json(&mut response, self.host).await
    }
}
