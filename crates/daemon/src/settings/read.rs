//! The `read` module parses a settings file field by field, so that it reports all
//! problems at once instead of only the first one.

use std::time::Duration;

use aspenloft_core::prelude::Findings;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

use super::{Limits, Platform, Settings};

/// Parses settings from JSON text, or returns every problem found in them.
pub fn settings(text: &str) -> Result<Settings, Findings> {
    let mut findings = Findings::default();
    let value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(e) => {
            findings.add(format!("line {}, column {}", e.line(), e.column()), e.to_string());
            return Err(findings);
        }
    };
    let mut top = Section::new("", value, &mut findings);
    let host = top.required("host", &mut findings);
    let data_centre = top.required("data_centre", &mut findings);
    let callers = top.required("callers", &mut findings);
    let peers = top.required("peers", &mut findings);
    let admin = top.required("admin", &mut findings);
    let platform = top.required("platform", &mut findings).and_then(|value| {
        read_platform(Section::new("platform.", value, &mut findings), &mut findings)
    });
    let limits = match top.fields.remove("limits") {
        Some(value) => read_limits(Section::new("limits.", value, &mut findings), &mut findings),
        None => Limits::default(),
    };
    top.reject_unknown(&mut findings);
    let read = (|| {
        Some(Settings {
            host: host?,
            data_centre: data_centre?,
            callers: callers?,
            peers: peers?,
            admin: admin?,
            platform: platform?,
            limits,
        })
    })();
    match read {
        Some(settings) if findings.is_empty() => Ok(settings),
        _ => Err(findings),
    }
}

fn read_platform(mut section: Section, findings: &mut Findings) -> Option<Platform> {
    let key_value = section.required("key_value", findings);
    let host_list = section.required("host_list", findings);
    section.reject_unknown(findings);
    Some(Platform { key_value: key_value?, host_list: host_list? })
}

fn read_limits(mut section: Section, findings: &mut Findings) -> Limits {
    let default = Limits::default();
    let limits = Limits {
        workers: section.optional("workers", default.workers, findings),
        max_connections: section.optional("max_connections", default.max_connections, findings),
        idle: section.millis("idle_ms", default.idle, findings),
        head: section.millis("head_ms", default.head, findings),
        body: section.millis("body_ms", default.body, findings),
        write: section.millis("write_ms", default.write, findings),
        leave_grace: section.millis("leave_grace_ms", default.leave_grace, findings),
        drain: section.millis("drain_ms", default.drain, findings),
    };
    section.reject_unknown(findings);
    limits
}

/// `Section` is one JSON object of the file. Its fields are removed as they are read,
/// so that any field that remains is unknown.
struct Section {
    prefix: &'static str,
    fields: Map<String, Value>,
    known: Vec<&'static str>,
}

impl Section {
    fn new(prefix: &'static str, value: Value, findings: &mut Findings) -> Section {
        let fields = match value {
            Value::Object(fields) => fields,
            _ => {
                let place = prefix.trim_end_matches('.');
                let place = if place.is_empty() { "the file" } else { place };
                findings.add(place, "must be a JSON object");
                Map::new()
            }
        };
        Section { prefix, fields, known: Vec::new() }
    }

    fn place(&self, name: &str) -> String {
        format!("{}{name}", self.prefix)
    }

    /// Removes and parses the field `name`. Returns `None` if it is absent, and
    /// `Some(None)`, with a finding, if it cannot be parsed.
    fn take<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
    ) -> Option<Option<T>> {
        self.known.push(name);
        let value = self.fields.remove(name)?;
        match serde_json::from_value(value) {
            Ok(value) => Some(Some(value)),
            Err(e) => {
                findings.add(self.place(name), e.to_string());
                Some(None)
            }
        }
    }

    fn required<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        findings: &mut Findings,
    ) -> Option<T> {
        let taken = self.take(name, findings);
        if taken.is_none() {
            findings.add(self.place(name), "is missing");
        }
        taken.flatten()
    }

    fn optional<T: DeserializeOwned>(
        &mut self,
        name: &'static str,
        default: T,
        findings: &mut Findings,
    ) -> T {
        self.take(name, findings).flatten().unwrap_or(default)
    }

    fn millis(
        &mut self,
        name: &'static str,
        default: Duration,
        findings: &mut Findings,
    ) -> Duration {
        let default = u64::try_from(default.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(self.optional(name, default, findings))
    }

    /// Reports the fields that have not been read, which are unknown.
    fn reject_unknown(self, findings: &mut Findings) {
        for name in self.fields.keys() {
            let known = self.known.join(", ");
            findings.add(
                self.place(name),
                format!("is an unknown field; the known fields here are {known}"),
            );
        }
    }
}
