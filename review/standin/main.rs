//! Stand-ins of clients, replicas and the platform for the scripts of the review.
//!
//! `standin CASE RECORD` plays a case and writes what was sent, answered and run to RECORD.
//! It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could
//! not run. With `TROUBLE=0` it leaves the disruption out.

mod deadly_part;
mod deployment;
mod engine;
mod http;
mod joined;
mod json;
mod odd_key;
mod odd_values;
mod stop;
mod store;
mod uploads;

use std::path::PathBuf;
use std::process::exit;
use std::time::Duration;

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(record)) = (args.next(), args.next()) else {
        eprintln!("usage: standin CASE RECORD");
        exit(2);
    };
    let record = PathBuf::from(record);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    deployment::start_watchdog(Duration::from_secs(110));
    let played = std::panic::catch_unwind(|| match case.as_str() {
        "deadly-part" => deadly_part::run(&record, trouble),
        "joined" => joined::run(&record, trouble),
        "odd-key" => odd_key::run(&record, trouble),
        "odd-values" => odd_values::run(&record, trouble),
        "stop" => stop::run(&record, trouble),
        "uploads" => uploads::run(&record, trouble),
        _ => 2,
    });
    exit(played.unwrap_or(2));
}
