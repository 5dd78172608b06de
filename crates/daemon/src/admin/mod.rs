//! The `admin` module answers operators, the command-line tool and the balancer.

pub mod burn;
pub mod status;
pub mod table;

use std::sync::Arc;

use aspenloft_core::errors::not_found;
use aspenloft_protocol::admin::paths;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use http_types::{Method, Request, Response};

use crate::node::Node;

/// `AdminFront` serves the administration API.
pub struct AdminFront(pub Arc<Node>);

#[async_trait]
impl HttpHandler for AdminFront {
    async fn handle(&self, req: Request, _: &Connection) -> Response {
        if req.url().path().starts_with(paths::TABLE) {
            return table::handle(&self.0, req).await;
        }
        match (req.method(), req.url().path()) {
            (Method::Get, "/healthz") => server::json(&"ok"),
            (Method::Get, "/readyz") => server::outcome(status::ready(&self.0)),
            (Method::Get, paths::STATUS) => server::json(&status::status(&self.0)),
            (Method::Get, paths::BURN) => burn::handle(&self.0, &req).await,
            _ => server::outcome(Err::<(), _>(not_found("no such path"))),
        }
    }
}
