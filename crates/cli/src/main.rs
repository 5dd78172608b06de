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
        /// Operates a deployment of aspenloft through its administration API.
        ///
        /// Every host reports on the whole deployment as far as it knows it. Choose a host
        /// with --host or in the environment:
        ///
        ///     export ASPENLOFT_HOST=10.0.0.7:8400
        ///     aspenloft status
        ///
        /// Exit codes: 0 done, 1 failed, 2 usage error, 3 the host cannot be reached,
        /// 4 refused (the message gives the reason), 5 conflict with another edit.
        cmd aspenloft {
            /// The administration address of a host (default: $ASPENLOFT_HOST).
            optional --host addr: SocketAddr
            /// Prints JSON instead of text.
            optional --json
            /// Prints the status of a host: peers, backend servers whose home it is, table version.
            cmd status {
            }
            /// Reads, checks and edits the operators' table; see docs/TABLE.md.
            ///
            /// Exit codes: 0 done, 1 failed, 2 findings in the table or usage error,
            /// 3 the host cannot be reached, 5 conflict with another edit.
            cmd table {
                /// Prints the table in force, in the form that `table edit` reads.
                cmd get {
                }
                /// Checks a table and prints all findings, without changing anything.
                cmd check {
                    /// The file with the table.
                    required file: PathBuf
                }
                /// Sets one cell, for example: table set scribe ttft_ms 1200 --wait
                cmd set {
                    /// The name of the row, or of the caller with --caller.
                    required entry: String
                    /// The name of the column; docs/TABLE.md lists all columns.
                    required column: String
                    /// The new value; the items of a list are separated by commas.
                    required value: String
                    /// Sets a cell of a caller instead of a row.
                    optional --caller
                    /// Waits until every live host has the version, and lists those that lack it.
                    optional --wait
                    /// The author of the edit, for the history (default: $USER).
                    optional --who name: String
                }
                /// Applies an edited table in the form of `table get`, or an edit.
                cmd edit {
                    /// The file with the table or the edit.
                    required file: PathBuf
                    /// Waits until every live host has the version, and lists those that lack it.
                    optional --wait
                    /// The author of the edit, for the history (default: $USER).
                    optional --who name: String
                }
                /// Prints the last edits, the newest first.
                cmd history {
                }
                /// Prints the version that is in force at each host.
                cmd hosts {
                }
                /// Writes the hosts' table to a key-value service that fell back to an older table.
                cmd restore {
                    /// Waits until every live host has the version, and lists those that lack it.
                    optional --wait
                    /// The author of the edit, for the history (default: $USER).
                    optional --who name: String
                }
            }
            /// Prints each backend server with its home host and its load.
            cmd backends {
            }
            /// Explains how a request was routed: the verdict on each candidate, the cost
            /// terms of each ranked pair, the events and the outcome.
            cmd explain {
                /// The id of the request, from the x-request-id header or a log line.
                required request: String
            }
            /// Drains the host: it finishes the requests in flight, then exits.
            cmd drain {
            }
            /// Prints a report.
            cmd report {
                /// Prints how fast each row uses up the error budgets of its objectives.
                cmd burn {
                    /// Prints the history by day instead of by hour.
                    optional --days
                }
            }
            /// Sends one request like a caller and prints the body of the response.
            ///
            /// For example, a streamed completion:
            ///
            ///     aspenloft call --to 10.0.0.7:8200 --key KEY /v1/completions \
            ///       '{"model": "scribe", "prompt": "Good day", "stream": true}'
            cmd call {
                /// The address at which a host accepts callers' requests.
                required --to addr: SocketAddr
                /// The caller's key (default: $ASPENLOFT_KEY).
                optional --key key: String
                /// The idempotency key of a request that must not be executed twice.
                optional --idempotency-key key: String
                /// The path, for example /v1/models.
                required path: String
                /// The JSON body of a POST request; without one the request is a GET.
                optional body: String
            }
            /// Sends an order to a model engine: load, unload or a new role.
            cmd order {
                /// The name of the backend server.
                required backend: String
                /// Loads the model, adapter or version with this name.
                optional --load name: String
                /// Unloads the model, adapter or version with this name.
                optional --unload name: String
                /// Changes the role to prefill or decode.
                optional --role role: String
            }
        }
    }
}

/// The exit code for a failure.
const EXIT_FAILED: i32 = 1;

/// The exit code for a usage error.
const EXIT_USAGE: i32 = 2;

/// The exit code when the host cannot be reached.
const EXIT_UNREACHABLE: i32 = 3;

/// The exit code when the host refuses the request.
const EXIT_REFUSED: i32 = 4;

/// The environment variable with the administration address of the default host.
const HOST_VARIABLE: &str = "ASPENLOFT_HOST";

/// The environment variable with the default caller key.
const KEY_VARIABLE: &str = "ASPENLOFT_KEY";

async fn run(f: flags::Aspenloft) -> Result<()> {
    use flags::{AspenloftCmd as Cmd, ReportCmd};
    // `call` uses no administration address.
    if let Cmd::Call(call) = f.subcommand {
        return call::run(call_options(call)?).await;
    }
    let (addr, json) = (host_addr(f.host)?, f.json);
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
            print(json, &explanation, explain::explanation_text)
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
            let response: OrderResponse =
                client.post(paths::ORDERS, &order::order_request(&f)?).await?;
            print(json, &response, order::order_text)
        }
        Cmd::Table(f) => {
            let tool = table::TableTool { host: addr, json };
            exit(tool.run(table_command(f)).await as i32)
        }
        Cmd::Call(_) => Ok(()),
    }
}

/// Returns the administration address from `flag` or from the environment.
fn host_addr(flag: Option<SocketAddr>) -> Result<SocketAddr> {
    if let Some(addr) = flag {
        return Ok(addr);
    }
    let Ok(text) = std::env::var(HOST_VARIABLE) else {
        return Err(invalid(format!("no host given; use --host ADDR:PORT or set {HOST_VARIABLE}")));
    };
    text.parse()
        .map_err(|_| invalid(format!("{HOST_VARIABLE}={text} is not of the form ADDR:PORT")))
}

fn call_options(f: flags::Call) -> Result<call::CallOptions> {
    let key = f.key.or_else(|| std::env::var(KEY_VARIABLE).ok());
    let key =
        key.ok_or_else(|| invalid(format!("no key given; use --key or set {KEY_VARIABLE}")))?;
    if !f.path.starts_with('/') {
        return Err(invalid(format!("the path {} must start with /", f.path)));
    }
    let idempotency_key = f.idempotency_key;
    Ok(call::CallOptions { to: f.to, key, idempotency_key, path: f.path, body: f.body })
}

/// Prints `response` as JSON, or as the text that `text` returns.
fn print<T: Serialize>(json: bool, response: &T, text: impl Fn(&T) -> String) -> Result<()> {
    let mut out = if json {
        serde_json::to_string_pretty(response).map_err(|e| invalid(e.to_string()))?
    } else {
        text(response)
    };
    if !out.ends_with('\n') {
        out.push('\n');
    }
    // A reader such as `head` may close the pipe early, which is not a failure.
    let _ = std::io::stdout().write_all(out.as_bytes());
    Ok(())
}

/// Returns the message for an error, with advice where possible, and the exit code.
fn error_message(e: &Error) -> (String, i32) {
    let mut text = format!("aspenloft: {} (execution: {})", e.message, e.execution);
    let code = match e.code {
        ErrorCode::Unavailable | ErrorCode::Timeout => {
            text.push_str("\nCheck that a host runs there and that this is the right address.");
            EXIT_UNREACHABLE
        }
        ErrorCode::Invalid => EXIT_USAGE,
        ErrorCode::Internal => EXIT_FAILED,
        _ => EXIT_REFUSED,
    };
    if let Some(after) = e.retry_after {
        let _ = write!(text, "\nRetry in {:.0} s.", after.as_secs_f64().ceil());
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
        let (text, code) = error_message(&e);
        eprintln!("{text}");
        exit(code);
    }
}
