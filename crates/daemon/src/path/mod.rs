//! The `path` module takes a request from its entry host to its answer.

pub mod model;
pub mod service;
