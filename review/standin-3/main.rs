//! The cases of the third review that are scripts. `stage CASE FOLDER TROUBLE` plays one; it
//! ends with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod engine;
mod http;
mod json;
mod left;
mod limits;
mod store;
mod world;

use std::path::PathBuf;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = &args[..] else {
        eprintln!("usage: stage CASE FOLDER TROUBLE");
        std::process::exit(2);
    };
    let record = world::Record::create(&format!("{folder}/record.txt"));
    let dir: PathBuf = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a temporary folder");
    let trouble = trouble != "0";
    let code = match case.as_str() {
        "left" => left::play(&dir, &record, trouble),
        "limits" => limits::play(&dir, &record, trouble),
        _ => 2,
    };
    let _ = std::fs::remove_dir_all(&dir);
    record.say(match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "the case could not run",
    });
    std::process::exit(code);
}
