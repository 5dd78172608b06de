//! `aspenloft` is the operators' command-line tool; see `docs/CLI.md`.

use std::net::SocketAddr;

use aspenloft_core::errors::Result;
use aspenloft_protocol::admin::{HostStatus, paths};
use aspenloft_table::cell::Sheet;
use aspenloft_transport::http;
use async_std::task;
use http_types::Method;
use std::time::Duration;

mod order;
mod table;
mod table_text;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Operates a deployment of aspenloft over its administration API.
        cmd aspenloft {
            /// The administration address of any host.
            required --host addr: SocketAddr
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

/// The longest wait for an answer of the host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

async fn status(host: SocketAddr) -> Result<HostStatus> {
    let req = http::request(Method::Get, host, paths::STATUS, Vec::new())?;
    let mut response = http::send(host, req, ANSWER_TIMEOUT).await?;
    http::read_json(&mut response, host).await
}

fn pretty(body: &impl serde::Serialize) -> String {
    serde_json::to_string_pretty(body).unwrap_or_default()
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
    if let flags::AspenloftCmd::Table(f) = flags.subcommand {
        let tool = table::TableTool { host: flags.host, json: flags.json };
        std::process::exit(task::block_on(tool.run(table_command(f))) as i32);
    }
    let answered = match &flags.subcommand {
        flags::AspenloftCmd::Status(_) => task::block_on(status(flags.host)).map(|s| pretty(&s)),
        flags::AspenloftCmd::Order(f) => {
            task::block_on(order::give(flags.host, f)).map(|r| pretty(&r))
        }
        flags::AspenloftCmd::Table(_) => return,
    };
    match answered {
        Ok(text) => println!("{text}"),
        Err(e) => {
            eprintln!("aspenloft: {e}");
            std::process::exit(1);
        }
    }
}
