//! The `daemon` crate combines the other crates into `aspenloftd`: it contains the
//! listeners, the background loops and the request path. Policy decisions are in
//! `aspenloft-policy`.

pub mod admin;
pub mod callers;
pub mod cleanup;
pub mod edits;
pub mod home;
pub mod leave;
pub mod ledger;
pub mod levels;
pub mod limits;
pub mod membership;
pub mod metrics;
pub mod node;
pub mod path;
pub mod peers;
pub mod settings;
pub mod shutdown;
pub mod suspects;
pub mod tasks;
pub mod traffic;
pub mod view;
