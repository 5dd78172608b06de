//! The `explain` module tells operators why a request went where it did.

use aspenloft_core::errors::{Result, invalid, not_found};
use aspenloft_core::prelude::RequestId;
use aspenloft_policy::explain::Explanation;
use aspenloft_protocol::admin::paths;

use crate::node::Node;

/// Finds the decisions for the request whose id ends `path`.
pub fn explanation(node: &Node, path: &str) -> Result<Explanation> {
    let id = path.strip_prefix(paths::EXPLAIN).and_then(|rest| rest.strip_prefix('/'));
    let id = id.filter(|id| !id.is_empty());
    let id = id.ok_or_else(|| invalid(format!("ask for {}/REQUEST-ID", paths::EXPLAIN)))?;
    let found = node.explain.lock().get(&RequestId::from(id)).cloned();
    // An id begins with the name of the host that took the request.
    let taken_here = id.starts_with(&*format!("{}-", node.settings.host));
    found.ok_or_else(|| match taken_here {
        true => not_found(format!("{id} is not remembered; the oldest requests are forgotten")),
        false => not_found(format!("{id} was taken by another host; ask the one it begins with")),
    })
}
