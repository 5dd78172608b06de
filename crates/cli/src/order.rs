//! The `order` module gives orders to model engines; see `docs/ORDERS.md`.

use aspenloft_core::backend::BackendRole;
use aspenloft_core::errors::{Error, Result, invalid};
use aspenloft_protocol::admin::{OrderAsk, OrderReport, paths};
use aspenloft_protocol::engine::OrderKind;

use super::client::Client;
use super::flags;

/// Gives the order that `flags` describe.
pub async fn give(client: &Client, flags: &flags::Order) -> Result<OrderReport> {
    let ask = OrderAsk { backend: flags.backend.as_str().into(), kind: kind(flags)? };
    let given = client.post(paths::ORDERS, &ask).await;
    given.map_err(explain)
}

/// Adds what operators need to know: whether it ran.
fn explain(mut e: Error) -> Error {
    e.message = format!("{} (execution: {})", e.message, e.execution);
    e
}

/// Says that the order was taken.
pub fn text(report: &OrderReport) -> String {
    format!("taken, with the fencing number {}", report.fence)
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
