//! The `gateway` crate serves callers on the hosts of a deployment whose requests
//! and answers pass through as they are: calls of plain services, and model
//! requests whose prefill and decode run on separate engines.
//!
//! What a platform calls things is behind the traits in [`dialect`]; the decisions
//! are in `aspenloft-policy`. `docs/design/platform.md` has the picture.

pub mod body_budget;
pub mod call;
pub mod configuration;
pub mod demand;
pub mod dialect;
pub mod dispatch;
pub mod events;
pub mod front;
pub mod generation;
pub mod http;
pub mod loads;
pub mod metrics;
pub mod orders;
pub mod peers;
pub mod probes;
pub mod request;
pub mod responses;
pub mod retries;
pub mod roster;
pub mod run;
pub mod settings;
pub mod shutdown;
pub mod sync;
pub mod view;
