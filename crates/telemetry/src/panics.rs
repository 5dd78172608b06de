//! The `panics` module logs panics as lines of the log, with their places.

use std::panic::{PanicHookInfo, set_hook};

/// Has all panics of the process logged, in place of the output of the standard library.
pub fn log_panics() {
    set_hook(Box::new(log_panic));
}

fn log_panic(info: &PanicHookInfo<'_>) {
    let place = info.location().map_or("-".to_string(), |place| place.to_string());
    let message = info.payload_as_str().unwrap_or("-");
    log::error!(event = "panicked", place = place.as_str(), message; "");
}
