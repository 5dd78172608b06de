//! The `columns` module is the registry of the table's columns, on which validation,
//! edits, the command-line tool and `docs/TABLE.md` are based.

use std::sync::LazyLock;

use aspenloft_core::finding::Findings;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::cell::{Cell, Sheet};
use crate::row::{Caller, Row, RowKind};

/// `Kind` is the type of a column's cells with the range of valid values.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// A boolean.
    Flag,
    /// An integer between inclusive bounds.
    Whole(u64, u64),
    /// A floating-point number between inclusive bounds.
    Decimal(f64, f64),
    /// A string whose length in bytes is between inclusive bounds.
    Text(usize, usize),
    /// One of these strings.
    Choice(&'static [&'static str]),
    /// A list of at most this many strings of up to [`MAX_NAME_BYTES`] each.
    Words(usize),
    /// A SHA-256 digest in lower-case hexadecimal.
    Digest,
}

/// Maximum length of a name or of a string in a list, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Maximum length of a path, in bytes.
const MAX_PATH_BYTES: usize = 512;

/// Maximum number of strings in a list.
const MAX_WORDS: usize = 32;

/// Number of hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// Maximum target for the time to first token or a complete response, in milliseconds.
const MAX_TTFT_MS: u64 = 600_000;

/// Maximum target for the time between tokens, in milliseconds.
const MAX_TBT_MS: u64 = 60_000;

/// Maximum time in the queue, in milliseconds.
const MAX_QUEUE_MS: u64 = 60_000;

/// Maximum retention of the outcome of an idempotency key, in seconds.
const MAX_KEY_WINDOW_S: u64 = 7 * 24 * 3_600;

/// Maximum length of a prompt or generated text that a row can allow, in tokens.
const MAX_TOKENS: u64 = 10_000_000;

/// Maximum count or rate that a row can allow.
const MAX_COUNT: u64 = 1_000_000;

/// Maximum weight of a row or caller under overload.
const MAX_WEIGHT: u64 = 1_000_000;

/// Maximum weight of goodput or wasted prefill.
const MAX_POLICY_WEIGHT: f64 = 1_000.0;

/// `Column` describes a column of the table.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Column {
    /// The part of the table to which the column belongs.
    pub sheet: Sheet,
    /// The name, which is the field name in JSON.
    pub name: &'static str,
    /// The type and range of the cells.
    pub kind: Kind,
    /// The unit; empty for none.
    pub unit: &'static str,
    /// Whether the cell must be present in each entry.
    pub required: bool,
    /// A description of the column in one line.
    pub summary: &'static str,
}

const fn row(name: &'static str, kind: Kind, unit: &'static str, summary: &'static str) -> Column {
    Column { sheet: Sheet::Rows, name, kind, unit, required: false, summary }
}

const fn caller(name: &'static str, kind: Kind, summary: &'static str) -> Column {
    Column { sheet: Sheet::Callers, name, kind, unit: "", required: false, summary }
}

const fn required(mut column: Column) -> Column {
    column.required = true;
    column
}

const NAME: Kind = Kind::Text(1, MAX_NAME_BYTES);

/// All columns, in display order.
pub const COLUMNS: &[Column] = &[
    required(row("name", NAME, "", "the row's name, unique in the table")),
    required(row("kind", Kind::Choice(&["model", "service"]), "", "kind of requests routed")),
    required(row("serves", NAME, "", "the model or the plain service")),
    row("path", Kind::Text(1, MAX_PATH_BYTES), "", "prefix of the paths of a service's calls"),
    row("methods", Kind::Words(MAX_WORDS), "", "methods of a service's calls; none for all"),
    row("classes", Kind::Words(MAX_WORDS), "", "callers' classes that may use it; none for all"),
    row("ttft_ms", Kind::Whole(1, MAX_TTFT_MS), "ms", "target for the time to first token"),
    row("tbt_ms", Kind::Whole(1, MAX_TBT_MS), "ms", "target for the time between tokens"),
    row("weight", Kind::Whole(1, MAX_WEIGHT), "", "share under overload against other rows"),
    row("priority", Kind::Whole(0, 9), "", "higher runs first"),
    row("rate_per_s", Kind::Whole(0, MAX_COUNT), "requests/s", "limit for one caller; 0 for none"),
    row("concurrency", Kind::Whole(0, MAX_COUNT), "requests", "limit for one caller; 0 for none"),
    row("max_prompt_tokens", Kind::Whole(1, MAX_TOKENS), "tokens", "maximum length of a prompt"),
    row("max_output_tokens", Kind::Whole(1, MAX_TOKENS), "tokens", "maximum generated text"),
    row("queue_ms", Kind::Whole(0, MAX_QUEUE_MS), "ms", "maximum time in the queue"),
    row("queue_length", Kind::Whole(0, MAX_COUNT), "requests", "maximum queued on one host"),
    row("retry_percent", Kind::Whole(0, 100), "%", "retries as a share of requests"),
    row("goodput_weight", Kind::Decimal(0.0, MAX_POLICY_WEIGHT), "", "weight of goodput"),
    row("waste_weight", Kind::Decimal(0.0, MAX_POLICY_WEIGHT), "", "weight of wasted prefill"),
    row("unrepeatable", Kind::Flag, "", "whether a call runs at most once and needs a key"),
    row("key_window_s", Kind::Whole(1, MAX_KEY_WINDOW_S), "s", "how long a key's outcome is kept"),
    row("fencing_checked", Kind::Flag, "", "whether servers reject an old fencing token"),
    required(caller("name", NAME, "the caller's name, unique in the table")),
    required(caller("key_sha256", Kind::Digest, "SHA-256 digest of the caller's key")),
    caller("class", Kind::Text(0, MAX_NAME_BYTES), "the class that rows may name"),
    caller("weight", Kind::Whole(1, MAX_WEIGHT), "share under overload against other callers"),
];

/// Returns the column with this name.
pub fn find_column(sheet: Sheet, name: &str) -> Option<&'static Column> {
    columns(sheet).find(|column| column.name == name)
}

/// Returns the columns of one part of the table.
pub fn columns(sheet: Sheet) -> impl Iterator<Item = &'static Column> {
    COLUMNS.iter().filter(move |column| column.sheet == sheet)
}

impl Column {
    /// Returns the cell of an entry, which must belong to the same part of the table.
    pub fn get(&self, entry: &impl Serialize) -> Option<Cell> {
        let value = serde_json::to_value(entry).ok()?;
        serde_json::from_value(value.get(self.name)?.clone()).ok()
    }

    /// Sets the cell of an entry; returns `false` if its type does not match. The range is
    /// not checked.
    pub fn set<E: Serialize + DeserializeOwned>(&self, entry: &mut E, cell: &Cell) -> bool {
        let Ok(Value::Object(mut object)) = serde_json::to_value(&*entry) else { return false };
        let Ok(value) = serde_json::to_value(cell) else { return false };
        object.insert(self.name.into(), value);
        match serde_json::from_value(Value::Object(object)) {
            Ok(changed) => {
                *entry = changed;
                true
            }
            Err(_) => false,
        }
    }

    /// Returns the default value; `None` for a required column.
    pub fn default(&self) -> Option<Cell> {
        if self.required {
            return None;
        }
        match self.sheet {
            Sheet::Rows => self.get(&Row::new("", RowKind::Model, "")),
            Sheet::Callers => {
                let bare = r#"{"name": "", "key_sha256": ""}"#;
                self.get(&serde_json::from_str::<Caller>(bare).ok()?)
            }
        }
    }

    /// Parses a cell from text that an operator typed; `None` if its type does not match.
    pub fn parse(&self, text: &str) -> Option<Cell> {
        match self.kind {
            Kind::Flag => text.parse().ok().map(Cell::Flag),
            Kind::Whole(..) => text.parse().ok().map(Cell::Whole),
            Kind::Decimal(..) => text.parse().ok().map(Cell::Decimal),
            Kind::Text(..) | Kind::Choice(_) | Kind::Digest => Some(Cell::Text(text.into())),
            Kind::Words(_) => {
                let words = text.split(',').map(str::trim).filter(|word| !word.is_empty());
                Some(Cell::Words(words.map(Into::into).collect()))
            }
        }
    }

    /// Describes the valid values in words.
    pub fn range(&self) -> String {
        match self.kind {
            Kind::Flag => "true or false".into(),
            Kind::Whole(low, high) => format!("a whole number from {low} to {high}"),
            Kind::Decimal(low, high) => format!("a number from {low} to {high}"),
            Kind::Text(low, high) => format!("a text of {low} to {high} bytes"),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
            Kind::Words(limit) => format!("up to {limit} words of up to {MAX_NAME_BYTES} bytes"),
            Kind::Digest => format!("{DIGEST_DIGITS} lower-case hexadecimal digits"),
        }
    }

    /// Validates one value of the column; adds a finding at `place` if it is invalid.
    pub fn check(&self, value: &Value, place: &str, findings: &mut Findings) {
        let valid = match self.kind {
            Kind::Flag => value.is_boolean(),
            Kind::Whole(low, high) => value.as_u64().is_some_and(|n| (low..=high).contains(&n)),
            Kind::Decimal(low, high) => value.as_f64().is_some_and(|n| (low..=high).contains(&n)),
            Kind::Text(low, high) => value.as_str().is_some_and(|text| is_text(text, low, high)),
            Kind::Choice(words) => value.as_str().is_some_and(|text| words.contains(&text)),
            Kind::Digest => value.as_str().is_some_and(is_digest),
            Kind::Words(limit) => value.as_array().is_some_and(|words| are_words(words, limit)),
        };
        if !valid {
            findings.add(place, format!("{value} is not {}", self.range()));
        }
    }
}

fn is_text(text: &str, low: usize, high: usize) -> bool {
    (low..=high).contains(&text.len()) && !text.chars().any(char::is_control)
}

fn is_digest(text: &str) -> bool {
    let hexadecimal = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    text.len() == DIGEST_DIGITS && text.bytes().all(hexadecimal)
}

fn are_words(words: &[Value], limit: usize) -> bool {
    let is_word = |word: &Value| word.as_str().is_some_and(|w| is_text(w, 1, MAX_NAME_BYTES));
    words.len() <= limit && words.iter().all(is_word)
}

/// The default values in JSON of all columns that have one.
static DEFAULTS: LazyLock<Vec<(&'static Column, Value)>> = LazyLock::new(|| {
    let default = |column: &'static Column| {
        let value = serde_json::to_value(column.default()?).ok()?;
        Some((column, value))
    };
    COLUMNS.iter().filter_map(default).collect()
});

/// Removes the cells that have their default value, so that hosts with an older software
/// version, which do not know a new column, accept the table until that column is used.
pub fn drop_defaults(sheet: Sheet, object: &mut Map<String, Value>) {
    for (column, default) in DEFAULTS.iter().filter(|(column, _)| column.sheet == sheet) {
        if object.get(column.name) == Some(default) {
            object.remove(column.name);
        }
    }
}
