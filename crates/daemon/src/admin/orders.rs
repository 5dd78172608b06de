//! The `orders` module handles operators' orders to backend servers.

use std::sync::Arc;

use aspenloft_core::errors::Result;
use aspenloft_protocol::admin::{OrderRequest, OrderResponse};
use aspenloft_transport::server;
use http_types::{Request, Response};

use crate::node::Node;

/// The largest body of an order, in bytes.
const MAX_ORDER_BYTES: usize = 16 * 1024;

/// Handles `POST /admin/orders`.
pub async fn handle(node: &Arc<Node>, mut req: Request) -> Response {
    let outcome = execute(node, &mut req).await;
    let after = outcome.as_ref().err().and_then(|e| e.retry_after);
    let mut response = server::json_result(outcome);
    if let Some(after) = after {
        let seconds = after.as_secs_f64().ceil().max(1.0);
        response.insert_header("retry-after", format!("{seconds:.0}"));
    }
    response
}

async fn execute(node: &Arc<Node>, req: &mut Request) -> Result<OrderResponse> {
    let order: OrderRequest = server::read_json(req, MAX_ORDER_BYTES).await?;
    node.orders.issue(order).await
}
