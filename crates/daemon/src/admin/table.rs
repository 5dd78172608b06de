//! The `table` module is the part of the administration API that reads, checks
//! and edits the operators' table.

use aspenloft_core::errors::not_found;
use aspenloft_protocol::admin::paths;
use aspenloft_transport::server;
use http_types::{Method, Request, Response};

use crate::node::Node;

/// Answers a request about the table.
pub async fn handle(node: &Node, req: Request) -> Response {
    match (req.method(), req.url().path()) {
        (Method::Get, paths::TABLE) => {
            server::outcome(node.view.table().map(|table| (*table).clone()))
        }
        _ => server::outcome(Err::<(), _>(not_found("no such path"))),
    }
}
