//! The `gateway` crate is an HTTP/1.1 reverse proxy that runs on each host of a
//! deployment. It forwards requests and responses unmodified to plain services, and
//! model requests to separate prefill and decode engines.
//!
//! The platform's headers, keys and formats are behind the trait in [`dialect`]; the
//! decisions are in `aspenloft-policy`. `docs/design/platform.md` has an overview.

pub mod body_budget;
pub mod call;
pub mod configuration;
pub mod containment;
pub mod crashes;
pub mod demand;
pub mod departures;
pub mod descriptors;
pub mod dialect;
pub mod dispatch;
pub mod events;
pub mod forwarding;
pub mod front;
pub mod generation;
pub mod http;
pub mod loads;
pub mod metrics;
pub mod orders;
pub mod path;
pub mod peers;
pub mod permits;
pub mod probes;
pub mod reach;
pub mod request;
pub mod responses;
pub mod retries;
pub mod roster;
pub mod run;
pub mod server_limits;
pub mod settings;
pub mod shutdown;
pub mod stream_log;
pub mod stream_versions;
pub mod sync;
pub mod view;
