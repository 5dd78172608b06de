//! The `table` module is the part of the administration API that reads, checks
//! and edits the operators' table; see `docs/TABLE.md`.

use std::sync::Arc;

use aspenloft_core::errors::{Result, not_found};
use aspenloft_protocol::admin::paths;
use aspenloft_table::check::{MAX_TABLE_BYTES, check_text};
use aspenloft_table::edit::{Edit, Refusal};
use aspenloft_table::response::{EditResponse, HostVersion, Rollout};
use aspenloft_table::stored::{EditRecord, StoredTable};
use aspenloft_table::table::TABLE_KEY;
use aspenloft_transport::server;
use http_types::{Method, Request, Response, StatusCode};

use crate::edits;
use crate::node::Node;

/// The largest body, in bytes. It allows a table of the largest size and the other
/// fields of its edit.
const MAX_BODY_BYTES: usize = 2 * MAX_TABLE_BYTES;

/// Handles a request to the table's part of the API.
pub async fn handle(node: &Arc<Node>, mut req: Request) -> Response {
    let path = req.url().path().to_string();
    match (req.method(), path.as_str()) {
        (Method::Get, paths::TABLE) => {
            server::json_result(node.view.table().map(|table| (*table).clone()))
        }
        (Method::Post, paths::TABLE_CHECK) => match check(&mut req).await {
            Ok(response) => response,
            Err(e) => server::json_result(Err::<(), _>(e)),
        },
        (Method::Post, paths::TABLE_EDIT) => match read_edit(&mut req).await {
            Ok(edit) => edit_response(edits::edit(node, edit).await.into()),
            Err(e) => server::json_result(Err::<(), _>(e)),
        },
        (Method::Post, paths::TABLE_RESTORE) => match read_edit(&mut req).await {
            Ok(edit) => edit_response(edits::restore(node, edit).await.into()),
            Err(e) => server::json_result(Err::<(), _>(e)),
        },
        (Method::Get, paths::TABLE_HISTORY) => server::json_result(history(node).await),
        (Method::Get, paths::TABLE_HOSTS) => server::json(&rollout(node)),
        _ => server::json_result(Err::<(), _>(not_found("no such path"))),
    }
}

async fn read_edit(req: &mut Request) -> Result<Edit> {
    server::read_json(req, MAX_BODY_BYTES).await
}

/// Returns all findings of a table, with status 422 if there are any.
async fn check(req: &mut Request) -> Result<Response> {
    let bytes = server::read_body(req, MAX_BODY_BYTES).await?;
    let findings = check_text(&String::from_utf8_lossy(&bytes)).err().unwrap_or_default();
    let is_valid = findings.is_empty();
    let status = if is_valid { StatusCode::Ok } else { StatusCode::UnprocessableEntity };
    Ok(server::json_with(status, &findings))
}

fn edit_response(answer: EditResponse) -> Response {
    let status = match &answer {
        EditResponse::Accepted { .. } => StatusCode::Ok,
        EditResponse::Refused(Refusal::Findings(_)) => StatusCode::UnprocessableEntity,
        EditResponse::Refused(Refusal::Conflict { .. }) | EditResponse::Regressed { .. } => {
            StatusCode::Conflict
        }
        EditResponse::Failed(_) | EditResponse::Unknown(_) => StatusCode::ServiceUnavailable,
    };
    server::json_with(status, &answer)
}

/// Reads the latest edits from the key-value service, oldest first.
async fn history(node: &Node) -> Result<Vec<EditRecord>> {
    match node.kv.get(TABLE_KEY).await? {
        Some(found) => Ok(StoredTable::from_json(&found.value)?.history),
        None => Ok(Vec::new()),
    }
}

fn rollout(node: &Node) -> Rollout {
    let members = node.view.members(node.clock.now());
    let newest = members.iter().map(|member| member.table_version).max().unwrap_or_default();
    let hosts = members.into_iter().map(|member| HostVersion {
        host: member.host.name,
        data_centre: member.host.data_centre,
        live: member.live,
        listed: member.listed,
        version: member.table_version,
        age: member.age,
    });
    Rollout { newest, service: node.view.stored_version(), hosts: hosts.collect() }
}
