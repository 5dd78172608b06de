//! The `burn` module serves the report on service-level burn.

use std::sync::Arc;

use aspenloft_core::errors::invalid;
use aspenloft_transport::server;
use http_types::{Request, Response};

use crate::levels::history::Granularity;
use crate::levels::report::report;
use crate::node::Node;

/// Returns the report, with its history by the hour or, for `?grain=day`, by the day.
pub async fn handle(node: &Arc<Node>, req: &Request) -> Response {
    let granularity = match req.url().query() {
        None | Some("grain=hour") => Granularity::Hour,
        Some("grain=day") => Granularity::Day,
        Some(other) => {
            let e = invalid(format!("unknown query {other}: must be grain=hour or grain=day"));
            return server::json_result(Err::<(), _>(e));
        }
    };
    server::json(&report(node, granularity).await)
}
