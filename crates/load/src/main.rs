//! `aspenloft-load` generates load and compares routing policies; see `docs/LOAD.md`.

use std::io::Write;
use std::time::Duration;

use aspenloft_core::prelude::Findings;
use aspenloft_load::compare::report::{self, CompareOptions};
use aspenloft_load::fleet::LoadPattern;
use aspenloft_load::run::driver;
use aspenloft_load::run::options::{EnginePair, MAX_DURATION, RunOptions};
use aspenloft_policy::mechanisms::Mechanisms;
use async_std::task;
use serde::Serialize;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Sends load to a deployment on loopback, and compares policies in a simulation.
        cmd aspenloft-load {
            /// Sends open-loop arrivals to hosts, to engines, or to both alternately.
            ///
            /// Exit codes: 0 all answers were complete, 1 the run could not be carried
            /// out, 2 invalid flags, 3 some requests failed or were not sent.
            cmd run {
                /// The address at which a host takes callers' requests; may be repeated.
                repeated --router addr: SocketAddr
                /// The prefill engine for requests that bypass the router.
                optional --prefill addr: SocketAddr
                /// The decode engine for requests that bypass the router.
                optional --decode addr: SocketAddr
                /// The caller's key (default demo-key).
                optional --key key: String
                /// The model (default scribe).
                optional --model name: String
                /// Arrivals a second (default 10).
                optional --rate per_s: f64
                /// Seconds for which requests are sent (default 10, at most 600).
                optional --duration-s seconds: u64
                /// The maximum number of requests (default 1000).
                optional --count requests: u64
                /// Tokens of each prompt (default 100).
                optional --prompt-tokens tokens: u64
                /// Tokens of each answer (default 50).
                optional --max-tokens tokens: u64
                /// The seed of arrivals and prompts (default 1).
                optional --seed seed: u64
                /// The process id of a daemon whose CPU time and memory are measured; may
                /// be repeated.
                repeated --pid pid: u32
                /// Seconds for which the daemons are measured idle first (default 0).
                optional --idle-s seconds: u64
                /// Prints JSON.
                optional --json
            }
            /// Compares the router's policy with baselines in a simulation.
            ///
            /// Exit codes: 0 all aims are reached, 2 invalid flags, 4 an aim is missed.
            cmd compare {
                /// The seed of the requests (default 1).
                optional --seed seed: u64
                /// Seconds that each scenario lasts (default 60, at most 600).
                optional --length-s seconds: u64
                /// Runs only scenarios whose names contain this text.
                optional --scenario name: String
                /// Prints JSON.
                optional --json
            }
            /// Simulates a fleet of hosts under a load pattern.
            ///
            /// Exit codes: 0 the run was made, 1 the file cannot be read, 2 invalid flags
            /// or an invalid pattern.
            cmd fleet {
                /// The file with the load pattern, JSON.
                required pattern: PathBuf
                /// The seed of the requests (default 1).
                optional --seed seed: u64
                /// A mechanism to leave out; may be repeated.
                repeated --without name: String
                /// Prints JSON.
                optional --json
            }
        }
    }
}

/// The exit code when the run could not be carried out.
const EXIT_ERROR: i32 = 1;

/// The exit code for invalid flags.
const EXIT_FLAGS: i32 = 2;

/// The exit code when some requests failed or were not sent.
const EXIT_FAILED: i32 = 3;

/// The exit code when an aim is missed.
const EXIT_MISSED: i32 = 4;

fn run_options(f: &flags::Run) -> Result<RunOptions, Findings> {
    let default = RunOptions::default();
    let mut findings = Findings::default();
    let direct = match (f.prefill, f.decode) {
        (Some(prefill), Some(decode)) => Some(EnginePair { prefill, decode }),
        (None, None) => None,
        _ => {
            findings.add("--prefill, --decode", "must be given together");
            None
        }
    };
    let options = RunOptions {
        routers: f.router.clone(),
        direct,
        key: f.key.clone().unwrap_or(default.key),
        model: f.model.clone().unwrap_or(default.model),
        rate_per_s: f.rate.unwrap_or(default.rate_per_s),
        duration: f.duration_s.map_or(default.duration, Duration::from_secs),
        count: f.count.unwrap_or(default.count),
        prompt_tokens: f.prompt_tokens.unwrap_or(default.prompt_tokens),
        max_tokens: f.max_tokens.unwrap_or(default.max_tokens),
        timeout: default.timeout,
        seed: f.seed.unwrap_or(default.seed),
        pids: f.pid.clone(),
        idle: f.idle_s.map_or(default.idle, Duration::from_secs),
    };
    findings.0.extend(options.check().0);
    findings.into_result().map(|()| options)
}

fn run(f: &flags::Run) -> i32 {
    let options = match run_options(f) {
        Ok(options) => options,
        Err(findings) => {
            eprintln!("{findings}");
            return EXIT_FLAGS;
        }
    };
    match task::block_on(driver::run(options)) {
        Ok(report) => {
            print(&report, f.json);
            let succeeded = report.failed() == 0 && report.not_sent == 0;
            if succeeded { 0 } else { EXIT_FAILED }
        }
        Err(e) => {
            eprintln!("aspenloft-load: {e}");
            EXIT_ERROR
        }
    }
}

fn compare(f: &flags::Compare) -> i32 {
    let default = CompareOptions::default();
    let options = CompareOptions {
        seed: f.seed.unwrap_or(default.seed),
        filter: f.scenario.clone().unwrap_or(default.filter),
        length: f.length_s.map_or(default.length, Duration::from_secs).min(MAX_DURATION),
    };
    let comparison = report::compare(&options);
    if comparison.scenarios.is_empty() {
        eprintln!("--scenario: no scenario has a name that contains {}", options.filter);
        return EXIT_FLAGS;
    }
    print(&comparison, f.json);
    let reached = comparison.aims.iter().all(|aim| aim.reached);
    if reached { 0 } else { EXIT_MISSED }
}

fn fleet(f: &flags::Fleet) -> i32 {
    let path = f.pattern.display();
    let text = match std::fs::read_to_string(&f.pattern) {
        Ok(text) => text,
        Err(e) => {
            eprintln!("aspenloft-load: cannot read {path}: {e}");
            return EXIT_ERROR;
        }
    };
    let parsed = LoadPattern::from_json(&text);
    let (pattern, mechanisms) = match (parsed, Mechanisms::without(&f.without)) {
        (Ok(pattern), Ok(mechanisms)) => (pattern, mechanisms),
        (Err(findings), _) => {
            eprintln!("{path}: {findings}");
            return EXIT_FLAGS;
        }
        (_, Err(unknown)) => {
            eprintln!("--without {unknown}: no such mechanism");
            return EXIT_FLAGS;
        }
    };
    print(&aspenloft_load::fleet::run(&pattern, mechanisms, f.seed.unwrap_or(1)), f.json);
    0
}

fn print(report: &(impl Serialize + std::fmt::Display), json: bool) {
    let text = if json {
        serde_json::to_string_pretty(report).map(|text| text + "\n")
    } else {
        Ok(report.to_string())
    };
    match text {
        // A reader that closes the pipe early, such as a pager, is not an error.
        Ok(text) => drop(std::io::stdout().write_all(text.as_bytes())),
        Err(e) => eprintln!("aspenloft-load: {e}"),
    }
}

fn main() {
    let command = flags::AspenloftLoad::from_env_or_exit().subcommand;
    let code = match command {
        flags::AspenloftLoadCmd::Run(f) => run(&f),
        flags::AspenloftLoadCmd::Compare(f) => compare(&f),
        flags::AspenloftLoadCmd::Fleet(f) => fleet(&f),
    };
    std::process::exit(code);
}
