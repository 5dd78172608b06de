//! The `admin` module answers operators, the command-line tool and the balancer.

use std::sync::Arc;

use aspenloft_core::errors::{Error, ErrorCode, Result, not_found};
use aspenloft_protocol::admin::{HostStatus, PeerStatus, paths};
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use http_types::{Method, Request, Response};

use crate::node::Node;

/// `AdminFront` serves the administration API.
pub struct AdminFront(pub Arc<Node>);

#[async_trait]
impl HttpHandler for AdminFront {
    async fn handle(&self, req: Request, _: &Connection) -> Response {
        match (req.method(), req.url().path()) {
            (Method::Get, "/healthz") => server::json(&"ok"),
            (Method::Get, "/readyz") => server::outcome(self.ready()),
            (Method::Get, paths::STATUS) => server::json(&self.status()),
            (Method::Get, paths::TABLE) => {
                server::outcome(self.0.view.table().map(|table| (*table).clone()))
            }
            _ => server::outcome(Err::<(), _>(not_found("no such path"))),
        }
    }
}

impl AdminFront {
    fn ready(&self) -> Result<&'static str> {
        self.0.view.table()?;
        if self.0.view.listing().backends.is_empty() {
            return Err(Error::new(ErrorCode::NotReady, "no backend servers known yet"));
        }
        Ok("ready")
    }

    fn status(&self) -> HostStatus {
        let view = &self.0.view;
        let listing = view.listing();
        let others = listing.hosts.iter().filter(|host| host.name != view.me().name);
        let peers = others.map(|host| PeerStatus {
            host: host.name.clone(),
            data_centre: host.data_centre.clone(),
            live: !host.leaving,
            table_version: 0,
        });
        let homes = listing
            .backends
            .iter()
            .filter(|backend| view.home(backend).is_ok_and(|home| home.name == view.me().name));
        HostStatus {
            host: view.me().name.clone(),
            data_centre: view.me().data_centre.clone(),
            table_version: view.table_version(),
            platform_reachable: view.platform_reachable(),
            leaving: self.0.shutdown.is_leaving(),
            in_flight: self.0.shutdown.requests() as u64,
            peers: peers.collect(),
            homes: homes.map(|backend| backend.name.clone()).collect(),
        }
    }
}
