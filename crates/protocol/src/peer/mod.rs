//! The `peer` module defines the messages between hosts.
//!
//! Each subject has its own module; [`PeerRequest`] and [`PeerReply`] combine them.

pub mod control;
pub mod home;
pub mod ledger;
pub mod membership;
pub mod table;

use aspenloft_core::errors::Error;
use serde::{Deserialize, Serialize};

use control::{ControlReply, ControlRequest};
use home::{HomeReply, HomeRequest};
use ledger::{LedgerCall, LedgerReply};
use membership::Heartbeat;
use table::{TableReply, TableRequest};

/// `PeerRequest` is a request of one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// A request to the home host of a backend server.
    Home(HomeRequest),
    /// A request about the table.
    Table(TableRequest),
    /// A heartbeat, to which the reply is a heartbeat.
    Heartbeat(Heartbeat),
    /// A call to the owner of a ledger shard.
    Ledger(Box<LedgerCall>),
    /// A request about limits, suspects or service levels.
    Control(ControlRequest),
}

/// `PeerReply` is one reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// A reply of the home host of a backend server.
    Home(HomeReply),
    /// A reply about the table.
    Table(TableReply),
    /// The heartbeat that replies to one.
    Heartbeat(Heartbeat),
    /// A reply of the owner of a ledger shard.
    Ledger(LedgerReply),
    /// A reply about limits, suspects or service levels.
    Control(ControlReply),
    /// The request failed with this error.
    Failed(Error),
}
