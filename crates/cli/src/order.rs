//! The `order` module gives orders to model engines; see `docs/ORDERS.md`.

use std::net::SocketAddr;

use aspenloft_core::backend::BackendRole;
use aspenloft_core::errors::{Error, Result, invalid};
use aspenloft_protocol::admin::{OrderAsk, OrderReport, paths};
use aspenloft_protocol::engine::OrderKind;
use aspenloft_transport::http;

use super::{ANSWER_TIMEOUT, flags};

/// Gives the order that `flags` describe over the host at `host`.
pub async fn give(host: SocketAddr, flags: &flags::Order) -> Result<OrderReport> {
    let ask = OrderAsk { backend: flags.backend.as_str().into(), kind: kind(flags)? };
    let given = http::post_json(host, paths::ORDERS, &ask, ANSWER_TIMEOUT).await;
    given.map_err(explain)
}

/// Adds what operators need to know: whether it ran, and when to try again.
fn explain(mut e: Error) -> Error {
    e.message = format!("{} (execution: {})", e.message, e.execution);
    if let Some(after) = e.retry_after {
        e.message = format!("{}; try again in {} s", e.message, after.as_secs_f64().ceil());
    }
    e
}

fn kind(flags: &flags::Order) -> Result<OrderKind> {
    match (&flags.load, &flags.unload, flags.role.as_deref()) {
        (Some(name), None, None) => Ok(OrderKind::Load(name.as_str().into())),
        (None, Some(name), None) => Ok(OrderKind::Unload(name.as_str().into())),
        (None, None, Some("prefill")) => Ok(OrderKind::Role(BackendRole::Prefill)),
        (None, None, Some("decode")) => Ok(OrderKind::Role(BackendRole::Decode)),
        _ => Err(invalid("give one of --load NAME, --unload NAME, --role prefill|decode")),
    }
}
