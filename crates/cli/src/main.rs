//! `aspenloft` is the operators' command-line tool; see `docs/CLI.md`.

mod call;
mod client;
mod columns;
mod explain;
mod order;
mod report;
mod status;
mod table;
mod table_text;

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::process::exit;

use aspenloft_core::errors::{Error, ErrorCode, Result, invalid};
use aspenloft_policy::explain::Explanation;
use aspenloft_protocol::admin::burn::BurnReport;
use aspenloft_protocol::admin::{BackendStatus, HostStatus, OrderResponse, paths};
use aspenloft_table::cell::Sheet;
use async_std::task;
use serde::Serialize;

use client::Client;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Operates a deployment of aspenloft over its administration API.
        ///
        /// Every host answers for the whole deployment as it knows it. Name one with
        /// --host, or once for all in the environment:
        ///
        ///     export ASPENLOFT_HOST=10.0.0.7:8400
        ///     aspenloft status
        ///
        /// Exit codes: 0 done, 1 failed, 2 wrong use, 3 the host cannot be reached,
        /// 4 refused (the message says why and what to do), 5 conflict with another edit.
        cmd aspenloft {
            /// The administration address of any host (default: $ASPENLOFT_HOST).
            optional --host addr: SocketAddr
            /// Prints JSON instead of text.
            optional --json
            /// Shows a host, its peers, its homes and its table version.
            cmd status {
            }
            /// Reads, checks and edits the operators' table; see docs/TABLE.md.
            ///
            /// Exit codes: 0 done, 1 failed, 2 findings in the table or wrong use,
            /// 3 the host cannot be reached, 5 conflict with another edit.
            cmd table {
                /// Prints the table in force, ready to be edited.
                cmd get {
                }
                /// Checks a table and prints all findings; nothing changes.
                cmd check {
                    /// The file.
                    required file: PathBuf
                }
                /// Sets one cell, for instance: table set scribe ttft_ms 1200 --wait
                cmd set {
                    /// The row's name; with --caller, the caller's.
                    required entry: String
                    /// The column; docs/TABLE.md names all.
                    required column: String
                    /// The new value; lists are separated by commas.
                    required value: String
                    /// Sets a cell of a caller instead of a row.
                    optional --caller
                    /// Waits until every live host has it, and names those that lack it.
                    optional --wait
                    /// Who makes the edit (default: $USER).
                    optional --who name: String
                }
                /// Takes an edited table, as `table get` printed it, or an edit.
                cmd edit {
                    /// The file.
                    required file: PathBuf
                    /// Waits until every live host has it, and names those that lack it.
                    optional --wait
                    /// Who makes the edit (default: $USER).
                    optional --who name: String
                }
                /// Prints the last edits, the newest first.
                cmd history {
                }
                /// Prints the version in force at each host.
                cmd hosts {
                }
                /// Puts the hosts' table back into a service that fell back.
                cmd restore {
                    /// Waits until every live host has it, and names those that lack it.
                    optional --wait
                    /// Who asks (default: $USER).
                    optional --who name: String
                }
            }
            /// Shows each backend server, its home host and its load.
            cmd backends {
            }
            /// Shows why a request went where it did: each candidate's verdict, each
            /// ranked pair's cost term by term, what happened, and the outcome.
            cmd explain {
                /// The request's id, from the answer's x-request-id or a log line.
                required request: String
            }
            /// Takes the host out of service: it finishes what is in flight, then exits.
            cmd drain {
            }
            /// Prints a report.
            cmd report {
                /// Shows how fast each row uses up what its objectives allow.
                cmd burn {
                    /// Shows the history in days instead of hours.
                    optional --days
                }
            }
            /// Sends one request as a caller does, and prints the answer's body.
            ///
            /// For instance, a streamed completion:
            ///
            ///     aspenloft call --to 10.0.0.7:8200 --key KEY /v1/completions \
            ///       '{"model": "scribe", "prompt": "Good day", "stream": true}'
            cmd call {
                /// Where a host takes callers' requests.
                required --to addr: SocketAddr
                /// The caller's key (default: $ASPENLOFT_KEY).
                optional --key key: String
                /// The idempotency key of a call that may not be repeated.
                optional --idempotency-key key: String
                /// The path, for instance /v1/models.
                required path: String
                /// The body, in JSON; without one the request is a GET.
                optional body: String
            }
            /// Gives a model engine an order: one of load, unload, or a new role.
            cmd order {
                /// The backend server.
                required backend: String
                /// Loads this model, adapter or version.
                optional --load name: String
                /// Unloads it.
                optional --unload name: String
                /// Changes the role: prefill or decode.
                optional --role role: String
            }
        }
    }
}

/// The exit code for a failure.
const EXIT_FAILED: i32 = 1;

/// The exit code for wrong use.
const EXIT_USE: i32 = 2;

/// The exit code for a host that cannot be reached.
const EXIT_UNREACHABLE: i32 = 3;

/// The exit code for a refusal by the host.
const EXIT_REFUSED: i32 = 4;

/// The variable that names the host.
const HOST_VARIABLE: &str = "ASPENLOFT_HOST";

/// The variable that holds a caller's key.
const KEY_VARIABLE: &str = "ASPENLOFT_KEY";

async fn run(f: flags::Aspenloft) -> Result<()> {
    use flags::{AspenloftCmd as Cmd, ReportCmd};
    // A caller's request needs no administration address.
    if let Cmd::Call(call) = f.subcommand {
        return call::run(call_options(call)?).await;
    }
    let (addr, json) = (host(f.host)?, f.json);
    let client = Client::new(addr);
    match f.subcommand {
        Cmd::Status(_) => {
            let host: HostStatus = client.get(paths::STATUS).await?;
            print(json, &host, status::host_text)
        }
        Cmd::Backends(_) => {
            let backends: Vec<BackendStatus> = client.get(paths::BACKENDS).await?;
            print(json, &backends, |backends| status::backends_text(backends))
        }
        Cmd::Explain(f) => {
            let path = format!("{}/{}", paths::EXPLAIN, f.request);
            let explanation: Explanation = client.get(&path).await?;
            print(json, &explanation, explain::text)
        }
        Cmd::Drain(_) => {
            let host: HostStatus = client.post(paths::DRAIN, &()).await?;
            print(json, &host, status::drain_text)
        }
        Cmd::Report(report) => match report.subcommand {
            ReportCmd::Burn(burn) => {
                let query = if burn.days { "?grain=day" } else { "" };
                let path = format!("{}{query}", paths::BURN);
                let report: BurnReport = client.get(&path).await?;
                print(json, &report, report::burn_text)
            }
        },
        Cmd::Order(f) => {
            let given: OrderResponse = client.post(paths::ORDERS, &order::ask(&f)?).await?;
            print(json, &given, order::order_text)
        }
        Cmd::Table(f) => {
            let tool = table::TableTool { host: addr, json };
            exit(tool.run(table_command(f)).await as i32)
        }
        Cmd::Call(_) => Ok(()),
    }
}

/// Finds the host that the command is for.
fn host(flag: Option<SocketAddr>) -> Result<SocketAddr> {
    if let Some(addr) = flag {
        return Ok(addr);
    }
    let Ok(text) = std::env::var(HOST_VARIABLE) else {
        return Err(invalid(format!("which host? Give --host ADDR:PORT or set {HOST_VARIABLE}")));
    };
    text.parse().map_err(|_| invalid(format!("{HOST_VARIABLE}={text} is no ADDR:PORT")))
}

fn call_options(f: flags::Call) -> Result<call::CallOptions> {
    let key = f.key.or_else(|| std::env::var(KEY_VARIABLE).ok());
    let key = key.ok_or_else(|| invalid(format!("which key? Give --key or set {KEY_VARIABLE}")))?;
    if !f.path.starts_with('/') {
        return Err(invalid(format!("the path {} must start with /", f.path)));
    }
    let idempotency_key = f.idempotency_key;
    Ok(call::CallOptions { to: f.to, key, idempotency_key, path: f.path, body: f.body })
}

/// Prints an answer as JSON or as text.
fn print<T: Serialize>(json: bool, answer: &T, text: impl Fn(&T) -> String) -> Result<()> {
    let mut out = if json {
        serde_json::to_string_pretty(answer).map_err(|e| invalid(e.to_string()))?
    } else {
        text(answer)
    };
    if !out.ends_with('\n') {
        out.push('\n');
    }
    // A reader that has seen enough, such as head, is no failure.
    let _ = std::io::stdout().write_all(out.as_bytes());
    Ok(())
}

/// Says what went wrong and, where it is known, what to do.
fn explain_error(e: &Error) -> (String, i32) {
    let mut text = format!("aspenloft: {} (execution: {})", e.message, e.execution);
    let code = match e.code {
        ErrorCode::Unavailable | ErrorCode::Timeout => {
            text.push_str("\nDoes a host run there, and is this the right one of its addresses?");
            EXIT_UNREACHABLE
        }
        ErrorCode::Invalid => EXIT_USE,
        ErrorCode::Internal => EXIT_FAILED,
        _ => EXIT_REFUSED,
    };
    if let Some(after) = e.retry_after {
        let _ = write!(text, "\nTry again in {:.0} s.", after.as_secs_f64().ceil());
    }
    (text, code)
}

fn table_command(f: flags::Table) -> table::Command {
    use flags::TableCmd as Cmd;
    use table::{Command, EditOptions, SetOptions};
    match f.subcommand {
        Cmd::Get(_) => Command::Get,
        Cmd::Check(f) => Command::Check(f.file),
        Cmd::Set(f) => Command::Set(SetOptions {
            sheet: if f.caller { Sheet::Callers } else { Sheet::Rows },
            entry: f.entry,
            column: f.column,
            value: f.value,
            edit: EditOptions { who: f.who, wait: f.wait },
        }),
        Cmd::Edit(f) => Command::Edit(f.file, EditOptions { who: f.who, wait: f.wait }),
        Cmd::History(_) => Command::History,
        Cmd::Hosts(_) => Command::Hosts,
        Cmd::Restore(f) => Command::Restore(EditOptions { who: f.who, wait: f.wait }),
    }
}

fn main() {
    let flags = flags::Aspenloft::from_env_or_exit();
    if let Err(e) = task::block_on(run(flags)) {
        let (text, code) = explain_error(&e);
        eprintln!("{text}");
        exit(code);
    }
}
