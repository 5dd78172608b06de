//! The `table_text` module formats the responses of a host to commands for the table.

use std::fmt::Write as _;

use aspenloft_table::edit::Refusal;
use aspenloft_table::response::{EditResponse, Rollout};
use aspenloft_table::stored::EditRecord;

/// Formats the result of the edit `id`, with advice if it was not accepted.
pub fn edit_text(response: &EditResponse, id: &str) -> String {
    match response {
        EditResponse::Accepted { version } => format!("accepted as version {version}"),
        EditResponse::Refused(Refusal::Findings(findings)) => {
            format!("refused, nothing changed; the edited table has findings:\n{findings}")
        }
        EditResponse::Refused(Refusal::Conflict { version, cells }) => {
            let mut text = format!("conflict with version {version}, nothing changed:\n");
            for cell in cells {
                let _ = writeln!(text, "{cell}");
            }
            text + "Read the table again (`table get`) and decide anew."
        }
        EditResponse::Regressed { service, hosts } => format!(
            "refused, nothing changed: the key-value service holds version {service}, but hosts \
             obey version {hosts}.\nThe service fell back to an older table. `table restore` puts \
             the hosts' table back."
        ),
        EditResponse::Failed(e) => format!("not accepted, nothing changed: {}", e.message),
        EditResponse::Unknown(e) => format!(
            "it is not known whether the edit was accepted: {}\nIts id is {id}; `table history` \
             shows it if it was.",
            e.message
        ),
    }
}

/// Formats whether `version` is in force at every live host, and which hosts lack it.
pub fn rollout_text(rollout: &Rollout, version: u64) -> String {
    let lacking: Vec<_> = rollout.hosts_behind(version).collect();
    if lacking.is_empty() {
        let mut text = format!("version {version} is in force at every live host\n");
        // A listed host that is not live may be paused, and continues with its old table.
        let silent = rollout.hosts.iter().filter(|h| h.listed && !h.live && h.version < version);
        for host in silent {
            let _ = writeln!(text, "{} in {} is silent and lacks it", host.host, host.data_centre);
        }
        return text;
    }
    let mut text = format!("version {version} is not in force at {} live hosts:\n", lacking.len());
    for host in lacking {
        let _ = writeln!(text, "{} in {} has {}", host.host, host.data_centre, host.version);
    }
    text
}

/// Formats the version at each host.
pub fn hosts_text(rollout: &Rollout) -> String {
    let mut text = format!("newest version {}\n", rollout.newest);
    if rollout.service > 0 && rollout.service < rollout.newest {
        let _ = writeln!(
            text,
            "the key-value service fell back to version {}; `table restore` mends it",
            rollout.service
        );
    }
    for host in &rollout.hosts {
        let state = if host.live { "live" } else { "NOT live" };
        let behind = if host.version < rollout.newest { "  lacks the newest" } else { "" };
        let age = host
            .age
            .map_or_else(|| "never".into(), |age| format!("{:.1} s ago", age.as_secs_f64()));
        let _ = writeln!(
            text,
            "{}  {}  {state}  version {}  heard {age}{behind}",
            host.host, host.data_centre, host.version
        );
    }
    text
}

/// Formats the last edits, the newest first.
pub fn history_text(history: &[EditRecord]) -> String {
    if history.is_empty() {
        return "no edits yet".into();
    }
    let mut text = String::new();
    for record in history.iter().rev() {
        let seconds = record.at_ms / 1_000;
        let _ = writeln!(
            text,
            "version {}  by {}  at {seconds} s since 1970  id {}",
            record.version, record.who, record.id
        );
        for change in &record.changes {
            let show = |cell: &Option<_>| match cell {
                Some(cell) => format!("{cell}"),
                None => "nothing".into(),
            };
            let (before, after) = (show(&change.before), show(&change.after));
            let _ = writeln!(text, "  {}: {before} -> {after}", change.place);
        }
    }
    text
}
