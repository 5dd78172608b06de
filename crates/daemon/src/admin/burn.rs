//! The `burn` module answers the report on service-level burn.

use std::sync::Arc;

use aspenloft_core::errors::invalid;
use aspenloft_transport::server;
use http_types::{Request, Response};

use crate::levels::history::Grain;
use crate::levels::report::report;
use crate::node::Node;

/// Answers the report, with hours of history or, by `?grain=day`, with days.
pub async fn handle(node: &Arc<Node>, req: &Request) -> Response {
    let grain = match req.url().query() {
        None | Some("grain=hour") => Grain::Hour,
        Some("grain=day") => Grain::Day,
        Some(other) => {
            let e = invalid(format!("unknown query {other}: grain=hour or grain=day"));
            return server::json_result(Err::<(), _>(e));
        }
    };
    server::json(&report(node, grain).await)
}
