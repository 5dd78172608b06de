//! The `path` module serves requests on their entry host, from admission to answer.

pub mod exchange;
pub mod model;
pub mod servers;
pub mod service;
