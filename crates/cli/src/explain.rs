//! The `explain` module formats the explanation of how a request was routed.

use std::fmt::Write;

use aspenloft_policy::explain::{Attempt, Explanation, RankedPair};
use aspenloft_policy::route::Verdict;

use crate::columns::columns;

/// The maximum number of ranked pairs in the text; `--json` prints all.
const MAX_SHOWN_PAIRS: usize = 8;

/// Formats an explanation.
pub fn explanation_text(explanation: &Explanation) -> String {
    let mut text = String::new();
    for (i, attempt) in explanation.attempts.iter().enumerate() {
        let _ = writeln!(text, "choice {}", i + 1);
        append_attempt(&mut text, attempt);
    }
    if !explanation.events.is_empty() {
        text.push_str("events\n");
    }
    for event in &explanation.events {
        let _ = writeln!(text, "  {event}");
    }
    let outcome = explanation.outcome.as_deref().unwrap_or("still running");
    let _ = writeln!(text, "outcome: {outcome}");
    text
}

fn append_attempt(text: &mut String, attempt: &Attempt) {
    let verdicts = attempt.candidates.iter().map(|candidate| {
        let verdict = match candidate.verdict {
            Verdict::Excluded(filter) => format!("excluded: {filter:?}"),
            Verdict::Scored(seconds) => format!("scored {}, not paired", format_millis(seconds)),
            Verdict::Ranked => "ranked".into(),
        };
        [candidate.backend.to_string(), verdict]
    });
    text.push_str(&columns(["server", "verdict"], &verdicts.collect::<Vec<_>>()));
    let pairs: Vec<_> = attempt.ranked.iter().take(MAX_SHOWN_PAIRS).map(pair_cells).collect();
    if pairs.is_empty() {
        return;
    }
    let headings = [
        "prefill", "decode", "cost", "queue", "prefill", "transfer", "slot", "network", "step",
        "late", "waste", "fill", "spread",
    ];
    text.push_str(&columns(headings, &pairs));
}

fn pair_cells(pair: &RankedPair) -> [String; 13] {
    let t = &pair.terms;
    let terms = [
        pair.total, t.queue, t.prefill, t.transfer, t.slot, t.network, t.step, t.late, t.waste,
        t.fill, t.spread,
    ];
    let [cost, queue, prefill, transfer, slot, network, step, late, waste, fill, spread] =
        terms.map(format_millis);
    let (from, to) = (pair.prefill.to_string(), pair.decode.to_string());
    [from, to, cost, queue, prefill, transfer, slot, network, step, late, waste, fill, spread]
}

fn format_millis(seconds: f64) -> String {
    format!("{:.1} ms", seconds * 1e3)
}
