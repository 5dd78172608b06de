//! The `meter` module follows one request and counts how it went.

use std::sync::Arc;
use std::time::Instant;

use aspenloft_core::errors::{Error, ErrorCode};
use aspenloft_core::execution::Execution;
use aspenloft_table::row::Row;

use super::record::Served;
use crate::node::Node;

/// `Meter` follows one request of a row from its arrival. A request whose caller
/// goes is not counted, for nobody was kept waiting.
pub struct Meter {
    node: Arc<Node>,
    row: Arc<Row>,
    arrived: Instant,
    first: Option<Instant>,
    tokens: u64,
}

impl Meter {
    /// Starts to follow a request that arrives now.
    pub fn start(node: &Arc<Node>, row: &Arc<Row>) -> Meter {
        let arrived = node.clock.now();
        Meter { node: node.clone(), row: row.clone(), arrived, first: None, tokens: 0 }
    }

    /// Notes that `count` tokens have come.
    pub fn tokens(&mut self, count: usize) {
        self.first.get_or_insert_with(|| self.node.clock.now());
        self.tokens += count as u64;
    }

    /// Counts the request as answered.
    pub fn finished(&self) {
        let now = self.node.clock.now();
        let first = self.first.unwrap_or(now);
        let gaps = self.tokens.saturating_sub(1);
        let tbt = (gaps > 0).then(|| (now - first).div_f64(gaps as f64));
        let served = Served { ttft: first - self.arrived, tbt };
        self.node.levels.served(&self.row, served, now);
    }

    /// Counts the request as refused or failed, by what its error says.
    pub fn ended(&self, e: &Error) {
        let now = self.node.clock.now();
        let row = &self.row.name;
        match (e.code, e.execution) {
            // The caller's own doing is no loss of service.
            (ErrorCode::Cancelled | ErrorCode::Invalid | ErrorCode::Conflict, _) => (),
            (_, Execution::NotRun) => self.node.levels.refused(row, now),
            _ => self.node.levels.failed(row, now),
        }
    }
}
