//! The `routes` module finds out what a request asks for, before its body is read.

use aspenloft_core::errors::{Error, ErrorCode, Result};
use http_types::{Method, Request, headers};

use super::request::Shape;

/// The path below which the model API lies.
const MODELS_PATH: &str = "/v1/models";

/// `Route` is what a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// A completion by a model.
    Complete(Shape),
    /// The list of models.
    Models,
    /// One model.
    Model(String),
    /// A call of a plain service, which the table knows.
    Service,
}

impl Route {
    /// Finds the route of `req`, whose method must be one that the route takes.
    pub fn of(req: &Request) -> Result<Route> {
        let path = req.url().path();
        let route = match path {
            "/v1/completions" => Route::Complete(Shape::Completion),
            "/v1/chat/completions" => Route::Complete(Shape::Chat),
            MODELS_PATH => Route::Models,
            _ => match path.strip_prefix(MODELS_PATH).and_then(|rest| rest.strip_prefix('/')) {
                Some(model) => Route::Model(model.to_string()),
                None => Route::Service,
            },
        };
        let allowed = route.allowed();
        if allowed.is_empty() || allowed.contains(&req.method()) {
            return Ok(route);
        }
        let message = format!("{path} does not take {}", req.method());
        Err(Error::new(ErrorCode::MethodNotAllowed, message))
    }

    /// Returns the methods of the route; empty where the table says.
    fn allowed(&self) -> &'static [Method] {
        match self {
            Route::Complete(_) => &[Method::Post],
            Route::Models | Route::Model(_) => &[Method::Get, Method::Head],
            Route::Service => &[],
        }
    }
}

/// Returns the `Allow` header for a path whose method was refused.
pub fn allow(path: &str) -> &'static str {
    if path.starts_with(MODELS_PATH) { "GET, HEAD" } else { "POST" }
}

/// Refuses a body that is plainly something else than JSON. A missing type passes,
/// because many callers send none; the HTTP library shows it as unspecified bytes.
pub fn expect_json(req: &Request) -> Result<()> {
    let Some(kind) = req.header(headers::CONTENT_TYPE) else { return Ok(()) };
    let essence = kind.as_str().split(';').next().unwrap_or_default().trim();
    let taken = essence.eq_ignore_ascii_case("application/json")
        || essence == "application/octet-stream"
        || (essence.starts_with("application/") && essence.ends_with("+json"));
    if taken {
        return Ok(());
    }
    let message = format!("the body must be application/json, not {essence}");
    Err(Error::new(ErrorCode::UnsupportedType, message))
}
