//! Stand-ins of a small deployment and the cases that start hosts beside them.
//!
//! `standin-2 CASE FOLDER` writes `record.txt` to the folder and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. `TROUBLE=0` leaves the disruption out.

mod connections;
mod http;
mod joined;
mod json;
mod line_ends;
mod stop_queue;
mod store;
mod take_up;
mod world;

use std::path::Path;
use std::process::exit;
use std::time::Duration;

use world::Record;

/// The longest time that a case may take.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: standin-2 CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(e) => {
            eprintln!("cannot write the record: {e}");
            exit(2);
        }
    };
    record.line(&format!("case {case}, trouble {trouble}"));
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        world::end_all();
        exit(2);
    });
    let broken = match case.as_str() {
        "connections" => connections::run(&record, trouble),
        "line-ends" => line_ends::run(&record, trouble),
        "joined" => joined::run(&record, trouble),
        "stop-queue" => stop_queue::run(&record, trouble),
        "take-up" => take_up::run(&record, trouble),
        _ => Err(std::io::Error::other("no such case")),
    };
    let code = match broken {
        Ok(broken) => i32::from(broken),
        Err(e) => {
            record.line(&format!("could not run: {e}"));
            2
        }
    };
    world::end_all();
    record.line(&format!("exit {code}"));
    exit(code);
}
