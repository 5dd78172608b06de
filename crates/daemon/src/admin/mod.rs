//! The `admin` module serves the administration API for operators, the command-line
//! tool and the load balancer in front of the hosts.

pub mod burn;
pub mod explain;
pub mod orders;
pub mod status;
pub mod table;

use std::sync::Arc;

use aspenloft_core::errors::not_found;
use aspenloft_protocol::admin::paths;
use aspenloft_transport::server::{self, Connection, HttpHandler};
use async_trait::async_trait;
use http_types::{Method, Request, Response, StatusCode, headers};

use crate::node::Node;

/// The content type of the metrics page, in the text format of Prometheus.
const METRICS_CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// `AdminHandler` serves the administration API.
pub struct AdminHandler(pub Arc<Node>);

#[async_trait]
impl HttpHandler for AdminHandler {
    async fn handle(&self, req: Request, _: &Connection) -> Response {
        if req.url().path().starts_with(paths::TABLE) {
            return table::handle(&self.0, req).await;
        }
        match (req.method(), req.url().path()) {
            (Method::Get, paths::HEALTH) => server::json(&"ok"),
            (Method::Get, paths::READY) => server::json_result(status::ready(&self.0)),
            (Method::Get, paths::METRICS) => metrics_page(&self.0),
            (Method::Get, paths::STATUS) => server::json(&status::status(&self.0)),
            (Method::Get, paths::BACKENDS) => server::json(&status::backends(&self.0)),
            (Method::Post, paths::DRAIN) => {
                self.0.shutdown.request_stop();
                server::json(&status::status(&self.0))
            }
            (Method::Post, paths::ORDERS) => orders::handle(&self.0, req).await,
            (Method::Get, path) if path.starts_with(paths::EXPLAIN) => {
                server::json_result(explain::find_explanation(&self.0, path))
            }
            (Method::Get, paths::BURN) => burn::handle(&self.0, &req).await,
            _ => server::json_result(Err::<(), _>(not_found("no such path"))),
        }
    }
}

/// Renders the metrics page for Prometheus.
fn metrics_page(node: &Node) -> Response {
    match node.metrics.render(node.shutdown.requests(), node.home.reservation_count()) {
        Ok(page) => {
            let mut response = Response::new(StatusCode::Ok);
            response.set_body(page);
            response.insert_header(headers::CONTENT_TYPE, METRICS_CONTENT_TYPE);
            response
        }
        Err(e) => server::json_result(Err::<(), _>(e)),
    }
}
