//! The `path` module takes a request from its entry host to its answer.

pub mod exchange;
pub mod model;
pub mod servers;
pub mod service;
