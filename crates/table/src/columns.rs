//! The `columns` module is the registry of the table's columns: the checker, the
//! edits, the command-line tool and `docs/TABLE.md` all follow it.

use std::sync::LazyLock;

use aspenloft_core::finding::Findings;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use crate::cell::{Cell, Sheet};
use crate::row::{Caller, Row, RowKind};

/// `Kind` is what a column's cells hold, with the range that they must keep to.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kind {
    /// Yes or no.
    Flag,
    /// A whole number within bounds, both included.
    Whole(u64, u64),
    /// A number within bounds, both included.
    Decimal(f64, f64),
    /// A text of a length within bounds, both included.
    Text(usize, usize),
    /// One of some words.
    Choice(&'static [&'static str]),
    /// Up to so many words of up to [`MAX_NAME_BYTES`] each.
    Words(usize),
    /// A hexadecimal SHA-256 digest.
    Digest,
}

/// The longest name or word, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The longest path, in bytes.
const MAX_PATH_BYTES: usize = 512;

/// The most words in one cell.
const MAX_WORDS: usize = 32;

/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// The longest time to first token or whole answer, in milliseconds.
const MAX_TTFT_MS: u64 = 600_000;

/// The longest time between tokens, in milliseconds.
const MAX_TBT_MS: u64 = 60_000;

/// The longest wait for room, in milliseconds.
const MAX_QUEUE_MS: u64 = 60_000;

/// The longest window of an idempotency key, in seconds.
const MAX_KEY_WINDOW_S: u64 = 7 * 24 * 3_600;

/// The longest prompt or answer that a row can allow, in tokens.
const MAX_TOKENS: u64 = 10_000_000;

/// The largest count or rate that a row can allow.
const MAX_COUNT: u64 = 1_000_000;

/// The largest weight.
const MAX_WEIGHT: u64 = 1_000_000;

/// The largest weight of a policy.
const MAX_POLICY_WEIGHT: f64 = 1_000.0;

/// `Column` describes one column.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Column {
    /// The part of the table.
    pub sheet: Sheet,
    /// The name, as in the JSON text.
    pub name: &'static str,
    /// What the cells hold.
    pub kind: Kind,
    /// The unit, or an empty text.
    pub unit: &'static str,
    /// Whether each entry must give the cell.
    pub required: bool,
    /// What the column means, in one line.
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

/// All columns, in the order in which they are shown.
pub const COLUMNS: &[Column] = &[
    required(row("name", NAME, "", "the row's name, unique in the table")),
    required(row("kind", Kind::Choice(&["model", "service"]), "", "what the row routes")),
    required(row("serves", NAME, "", "the model or the plain service")),
    row("path", Kind::Text(1, MAX_PATH_BYTES), "", "the path that a service's calls start with"),
    row("methods", Kind::Words(MAX_WORDS), "", "methods of a service's calls; none for all"),
    row("classes", Kind::Words(MAX_WORDS), "", "callers' classes that may use it; none for all"),
    row("ttft_ms", Kind::Whole(1, MAX_TTFT_MS), "ms", "target for the time to first token"),
    row("tbt_ms", Kind::Whole(1, MAX_TBT_MS), "ms", "target for the time between tokens"),
    row("weight", Kind::Whole(1, MAX_WEIGHT), "", "share under overload against other rows"),
    row("priority", Kind::Whole(0, 9), "", "higher goes first"),
    row("rate_per_s", Kind::Whole(0, MAX_COUNT), "requests/s", "limit for one caller; 0 for none"),
    row("concurrency", Kind::Whole(0, MAX_COUNT), "requests", "limit for one caller; 0 for none"),
    row("max_prompt_tokens", Kind::Whole(1, MAX_TOKENS), "tokens", "the longest prompt"),
    row("max_output_tokens", Kind::Whole(1, MAX_TOKENS), "tokens", "the longest answer"),
    row("queue_ms", Kind::Whole(0, MAX_QUEUE_MS), "ms", "the longest wait for room"),
    row("queue_length", Kind::Whole(0, MAX_COUNT), "requests", "the most that wait on one host"),
    row("retry_percent", Kind::Whole(0, 100), "%", "retries as a share of requests"),
    row("goodput_weight", Kind::Decimal(0.0, MAX_POLICY_WEIGHT), "", "what goodput counts"),
    row("waste_weight", Kind::Decimal(0.0, MAX_POLICY_WEIGHT), "", "what wasted prefill counts"),
    row("unrepeatable", Kind::Flag, "", "whether a call runs at most once and needs a key"),
    row("key_window_s", Kind::Whole(1, MAX_KEY_WINDOW_S), "s", "how long a key's outcome is kept"),
    row("fencing_checked", Kind::Flag, "", "whether servers refuse an old fencing number"),
    required(caller("name", NAME, "the caller's name, unique in the table")),
    required(caller("key_sha256", Kind::Digest, "SHA-256 digest of the caller's key")),
    caller("class", Kind::Text(0, MAX_NAME_BYTES), "the class that rows may name"),
    caller("weight", Kind::Whole(1, MAX_WEIGHT), "share under overload against other callers"),
];

/// Finds a column by name.
pub fn find_column(sheet: Sheet, name: &str) -> Option<&'static Column> {
    columns(sheet).find(|column| column.name == name)
}

/// Returns the columns of one part of the table.
pub fn columns(sheet: Sheet) -> impl Iterator<Item = &'static Column> {
    COLUMNS.iter().filter(move |column| column.sheet == sheet)
}

impl Column {
    /// Returns the cell of an entry, which must be of the column's part.
    pub fn get(&self, entry: &impl Serialize) -> Option<Cell> {
        let value = serde_json::to_value(entry).ok()?;
        serde_json::from_value(value.get(self.name)?.clone()).ok()
    }

    /// Sets the cell of an entry, unless its type forbids the value.
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

    /// Returns the value that stands where an entry gives none.
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

    /// Reads a cell from what an operator typed.
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

    /// Says in words which values the column takes.
    pub fn range(&self) -> String {
        match self.kind {
            Kind::Flag => "true or false".into(),
            Kind::Whole(low, high) => format!("a whole number from {low} to {high}"),
            Kind::Decimal(low, high) => format!("a number from {low} to {high}"),
            Kind::Text(low, high) => format!("a text of {low} to {high} bytes"),
            Kind::Choice(words) => format!("one of {}", words.join(", ")),
            Kind::Words(most) => format!("up to {most} words of up to {MAX_NAME_BYTES} bytes"),
            Kind::Digest => format!("{DIGEST_DIGITS} lower-case hexadecimal digits"),
        }
    }

    /// Checks one value of the column and adds what is wrong at `place`.
    pub fn check(&self, value: &Value, place: &str, findings: &mut Findings) {
        let fits = match self.kind {
            Kind::Flag => value.is_boolean(),
            Kind::Whole(low, high) => value.as_u64().is_some_and(|n| (low..=high).contains(&n)),
            Kind::Decimal(low, high) => value.as_f64().is_some_and(|n| (low..=high).contains(&n)),
            Kind::Text(low, high) => value.as_str().is_some_and(|text| is_text(text, low, high)),
            Kind::Choice(words) => value.as_str().is_some_and(|text| words.contains(&text)),
            Kind::Digest => value.as_str().is_some_and(is_digest),
            Kind::Words(most) => value.as_array().is_some_and(|words| are_words(words, most)),
        };
        if !fits {
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

fn are_words(words: &[Value], most: usize) -> bool {
    let is_word = |word: &Value| word.as_str().is_some_and(|w| is_text(w, 1, MAX_NAME_BYTES));
    words.len() <= most && words.iter().all(is_word)
}

/// The defaults of all columns that have one, as JSON.
static DEFAULTS: LazyLock<Vec<(&'static Column, Value)>> = LazyLock::new(|| {
    let default = |column: &'static Column| {
        let value = serde_json::to_value(column.default()?).ok()?;
        Some((column, value))
    };
    COLUMNS.iter().filter_map(default).collect()
});

/// Drops the cells that equal their default, so that hosts of an older version,
/// which lack a new column, take the table until someone uses that column.
pub fn drop_defaults(sheet: Sheet, object: &mut Map<String, Value>) {
    for (column, default) in DEFAULTS.iter().filter(|(column, _)| column.sheet == sheet) {
        if object.get(column.name) == Some(default) {
            object.remove(column.name);
        }
    }
}
