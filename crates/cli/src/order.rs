//! The `order` module builds the orders to model engines; see `docs/ORDERS.md`.

use aspenloft_core::backend::BackendRole;
use aspenloft_core::errors::{Result, invalid};
use aspenloft_protocol::admin::{OrderRequest, OrderResponse};
use aspenloft_protocol::engine::OrderKind;

use super::flags;

/// Builds the request for the order in `flags`.
pub fn order_request(flags: &flags::Order) -> Result<OrderRequest> {
    Ok(OrderRequest { backend: flags.backend.as_str().into(), kind: order_kind(flags)? })
}

/// Formats the confirmation of an order as text.
pub fn order_text(response: &OrderResponse) -> String {
    format!("carried out with fencing number {}", response.fence)
}

fn order_kind(flags: &flags::Order) -> Result<OrderKind> {
    match (&flags.load, &flags.unload, flags.role.as_deref()) {
        (Some(name), None, None) => Ok(OrderKind::Load(name.as_str().into())),
        (None, Some(name), None) => Ok(OrderKind::Unload(name.as_str().into())),
        (None, None, Some("prefill")) => Ok(OrderKind::Role(BackendRole::Prefill)),
        (None, None, Some("decode")) => Ok(OrderKind::Role(BackendRole::Decode)),
        _ => Err(invalid(
            "exactly one of --load NAME, --unload NAME and --role prefill|decode is required",
        )),
    }
}
