//! The `routes` module selects the route of a request before its body is read.

use aspenloft_core::errors::{Error, ErrorCode, Result};
use http_types::{Method, Request, headers};

use super::request::CompletionKind;

/// The path of the list of models, and the prefix of the paths of single models.
const MODELS_PATH: &str = "/v1/models";

/// `Route` is an endpoint of the API.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// A completion by a model.
    Completion(CompletionKind),
    /// The list of models.
    Models,
    /// One model.
    Model(String),
    /// A call to a plain service; its row in the table is looked up later.
    Service,
}

impl Route {
    /// Returns the route of `req`, or an error if the route does not allow its method.
    pub fn from_request(req: &Request) -> Result<Route> {
        let path = req.url().path();
        let route = match path {
            "/v1/completions" => Route::Completion(CompletionKind::Completion),
            "/v1/chat/completions" => Route::Completion(CompletionKind::Chat),
            MODELS_PATH => Route::Models,
            _ => match path.strip_prefix(MODELS_PATH).and_then(|rest| rest.strip_prefix('/')) {
                Some(model) => Route::Model(model.to_string()),
                None => Route::Service,
            },
        };
        let allowed = route.allowed_methods();
        if allowed.is_empty() || allowed.contains(&req.method()) {
            return Ok(route);
        }
        let message = format!("{path} does not allow {}", req.method());
        Err(Error::new(ErrorCode::MethodNotAllowed, message))
    }

    /// Returns the allowed methods of the route; empty if the table defines them.
    fn allowed_methods(&self) -> &'static [Method] {
        match self {
            Route::Completion(_) => &[Method::Post],
            Route::Models | Route::Model(_) => &[Method::Get, Method::Head],
            Route::Service => &[],
        }
    }
}

/// Returns the value of the `Allow` header for a path whose method was refused.
pub fn allow_header(path: &str) -> &'static str {
    if path.starts_with(MODELS_PATH) { "GET, HEAD" } else { "POST" }
}

/// Refuses a request whose content type is not JSON. A missing content type is accepted,
/// because many callers send none; the HTTP library reports it as
/// `application/octet-stream`.
pub fn expect_json(req: &Request) -> Result<()> {
    let Some(content_type) = req.header(headers::CONTENT_TYPE) else { return Ok(()) };
    let media_type = content_type.as_str().split(';').next().unwrap_or_default().trim();
    let accepted = media_type.eq_ignore_ascii_case("application/json")
        || media_type == "application/octet-stream"
        || (media_type.starts_with("application/") && media_type.ends_with("+json"));
    if accepted {
        return Ok(());
    }
    let message = format!("the body must be application/json, not {media_type}");
    Err(Error::new(ErrorCode::UnsupportedType, message))
}
