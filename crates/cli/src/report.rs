//! The `report` module formats the report on how fast error budgets are used up.

use std::fmt::Write;

use aspenloft_protocol::admin::burn::{AlarmState, BurnReport, RowBurn, WindowBurn};

/// Formats the report as text.
pub fn burn_text(report: &BurnReport) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<16} {:<8} {:>7} {:>9} {:>8} {:>7} {:>7} {:>7} {:>9} {:>7}  cause",
        "row", "state", "window", "served", "refused", "failed", "ttft", "tbt", "failures", "waste"
    );
    for row in &report.rows {
        append_row(&mut text, row);
    }
    if report.rows.is_empty() {
        text.push_str("no requests have been counted yet\n");
    }
    let _ = writeln!(text, "\nBurn of 1.0 uses an allowance just as fast as its objective allows.");
    for slow in &report.slow_servers {
        let _ = writeln!(
            text,
            "declining: {} ({}) takes {:.2} times as long for a token as {}",
            slow.server, slow.group, slow.ratio, slow.against
        );
    }
    if !report.hosts_missing.is_empty() {
        let _ = writeln!(text, "not in the report: {}", report.hosts_missing.join(", "));
    }
    append_history(&mut text, report);
    text
}

fn append_row(text: &mut String, row: &RowBurn) {
    let state = match row.alarm {
        AlarmState::Steady => "steady",
        AlarmState::Warning => "warning",
        AlarmState::Page => "page",
    };
    for (i, window) in row.windows.iter().enumerate() {
        // The name, the state and the cause are shown only in the first line of a row.
        let (name, state) = if i == 0 { (&*row.row, state) } else { ("", "") };
        let cause = if i == 0 { row.cause.as_deref().unwrap_or("") } else { "" };
        append_window(text, name, state, window, cause);
    }
}

fn append_window(text: &mut String, name: &str, state: &str, window: &WindowBurn, cause: &str) {
    let minutes = window.window.as_secs() / 60;
    let _ = writeln!(
        text,
        "{name:<16} {state:<8} {minutes:>5}m  {:>9} {:>8} {:>7} {:>7.2} {:>7.2} {:>9.2} {:>7.2}  {cause}",
        window.served,
        window.refused,
        window.failed,
        window.ttft,
        window.tbt,
        window.failures,
        window.waste,
    );
}

fn append_history(text: &mut String, report: &BurnReport) {
    if let Some(e) = &report.history_error {
        let _ = writeln!(text, "history: not available ({e})");
        return;
    }
    if report.history.is_empty() {
        let _ = writeln!(text, "history: none written yet");
        return;
    }
    let _ = writeln!(
        text,
        "\n{:<14} {:<16} {:>9} {:>8} {:>10} {:>9} {:>10}",
        "start (unix s)", "row", "served", "refused", "ttft p95", "tbt p95", "worst burn"
    );
    for point in &report.history {
        let _ = writeln!(
            text,
            "{:<14} {:<16} {:>9} {:>8} {:>7} ms {:>6} ms {:>10.2}",
            point.start_s,
            point.row,
            point.served,
            point.refused,
            point.ttft_p95_ms,
            point.tbt_p95_ms,
            point.worst_burn,
        );
    }
}
