//! The `orders` module answers operators' orders to backend servers.

use std::sync::Arc;

use aspenloft_core::errors::Result;
use aspenloft_protocol::admin::{OrderAsk, OrderReport};
use aspenloft_transport::server;
use http_types::{Request, Response};

use crate::node::Node;

/// The longest order that is read, in bytes.
const MAX_ORDER_BYTES: usize = 16 * 1024;

/// Answers `POST /admin/orders`.
pub async fn handle(node: &Arc<Node>, mut req: Request) -> Response {
    let given = give(node, &mut req).await;
    let after = given.as_ref().err().and_then(|e| e.retry_after);
    let mut response = server::json_result(given);
    if let Some(after) = after {
        let seconds = after.as_secs_f64().ceil().max(1.0);
        response.insert_header("retry-after", format!("{seconds:.0}"));
    }
    response
}

async fn give(node: &Arc<Node>, req: &mut Request) -> Result<OrderReport> {
    let ask: OrderAsk = server::read_json(req, MAX_ORDER_BYTES).await?;
    node.orders.give(ask).await
}
