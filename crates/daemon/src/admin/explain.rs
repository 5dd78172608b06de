//! The `explain` module serves explanations of how single requests were routed.

use aspenloft_core::errors::{Result, invalid, not_found};
use aspenloft_core::prelude::RequestId;
use aspenloft_policy::explain::Explanation;
use aspenloft_protocol::admin::paths;

use crate::node::Node;

/// Returns the routing decisions for the request whose id is the last segment of
/// `path`.
pub fn find_explanation(node: &Node, path: &str) -> Result<Explanation> {
    let id = path.strip_prefix(paths::EXPLAIN).and_then(|rest| rest.strip_prefix('/'));
    let id = id.filter(|id| !id.is_empty());
    let id =
        id.ok_or_else(|| invalid(format!("the path must be {}/REQUEST-ID", paths::EXPLAIN)))?;
    let found = node.explain.lock().get(&RequestId::from(id)).cloned();
    // An id begins with the name of the entry host of the request.
    let is_local = id.starts_with(&*format!("{}-", node.settings.host));
    found.ok_or_else(|| match is_local {
        true => not_found(format!("{id} is unknown; only the latest requests are kept")),
        false => not_found(format!(
            "{id} was served by another host; query the host whose name the id begins with"
        )),
    })
}
