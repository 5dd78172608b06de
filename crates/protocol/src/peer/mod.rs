//! The `peer` module defines the messages between hosts.
//!
//! One module for each subject keeps the subjects apart; [`PeerRequest`] joins
//! them.

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

/// `PeerRequest` is a call of one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// To the home host of a backend server.
    Home(HomeRequest),
    /// About the table.
    Table(TableRequest),
    /// A sign of life, answered by one.
    Heartbeat(Heartbeat),
    /// To the owner of a ledger shard.
    Ledger(Box<LedgerCall>),
    /// About limits or suspects.
    Control(ControlRequest),
}

/// `PeerReply` is one reply to a [`PeerRequest`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// From the home host of a backend server.
    Home(HomeReply),
    /// About the table.
    Table(TableReply),
    /// A sign of life.
    Heartbeat(Heartbeat),
    /// From the owner of a ledger shard.
    Ledger(LedgerReply),
    /// About limits or suspects.
    Control(ControlReply),
    /// The call failed.
    Failed(Error),
}
