//! The `callers` module serves callers over HTTP/1.1; see `docs/CALLERS-API.md`.

pub mod account;
pub mod answer;
pub mod front;
pub mod openai;
pub mod request;
pub mod routes;
