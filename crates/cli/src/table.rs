//! The `table` module reads, checks and edits the operators' table; see
//! `docs/TABLE.md`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime};

use aspenloft_core::clock::unix_millis;
use aspenloft_core::errors::{Error, ErrorCode, Result, invalid, not_found};
use aspenloft_core::finding::Findings;
use aspenloft_protocol::admin::paths;
use aspenloft_table::cell::{CellPlace, Sheet};
use aspenloft_table::check::check_text;
use aspenloft_table::columns::{columns, find_column};
use aspenloft_table::diff::diff;
use aspenloft_table::edit::{Change, Edit, Refusal};
use aspenloft_table::response::{EditResponse, Rollout};
use aspenloft_table::stored::EditRecord;
use aspenloft_table::table::Table;
use aspenloft_transport::http;
use async_std::task;
use http_types::{Method, Request};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::table_text;

/// The timeout for receiving the head of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);

/// How long `--wait` waits for all live hosts. Every live host is guaranteed to use a new
/// version within this time.
const ROLLOUT_TIMEOUT: Duration = Duration::from_secs(8);

/// The interval at which `--wait` queries the versions.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// `Exit` is the exit code of a `table` command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The command failed.
    Failed = 1,
    /// The table has findings, or the arguments are invalid.
    Findings = 2,
    /// The host cannot be reached.
    Unreachable = 3,
    /// A cell does not have the expected value, or the key-value service has reverted to an
    /// older table.
    Conflict = 5,
}

/// `Command` is a `table` command.
#[derive(Debug)]
pub enum Command {
    /// Prints the table that the host uses.
    Get,
    /// Checks the table in a file.
    Check(PathBuf),
    /// Sets one cell.
    Set(SetOptions),
    /// Applies an edited table or an edit from a file.
    Edit(PathBuf, EditOptions),
    /// Prints the last edits.
    History,
    /// Prints the table version that each host uses.
    Hosts,
    /// Writes the hosts' table to a key-value service that has reverted to an older table.
    Restore(EditOptions),
}

/// `SetOptions` holds the cell to set and its new value.
#[derive(Debug)]
pub struct SetOptions {
    /// Whether the cell belongs to a row or to a caller.
    pub sheet: Sheet,
    /// The name of the row or of the caller.
    pub entry: String,
    /// The name of the column.
    pub column: String,
    /// The new value as given on the command line.
    pub value: String,
    /// The author of the edit and whether to wait for it.
    pub edit: EditOptions,
}

/// `EditOptions` holds the options that all edits have.
#[derive(Debug, Default)]
pub struct EditOptions {
    /// The author of the edit, for the history; by default `$USER`.
    pub who: Option<String>,
    /// Whether to wait until every live host has the new version.
    pub wait: bool,
}

/// `TableTool` runs `table` commands through the administration API of one host.
pub struct TableTool {
    /// The administration address of the host.
    pub host: SocketAddr,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

impl TableTool {
    /// Runs a command and returns the exit code.
    pub async fn run(&self, command: Command) -> Exit {
        let result = match command {
            Command::Get => self.get().await,
            Command::Check(file) => self.check(&file).await,
            Command::Set(set) => self.set(set).await,
            Command::Edit(file, options) => self.edit_file(&file, options).await,
            Command::History => self.history().await,
            Command::Hosts => self.hosts().await,
            Command::Restore(options) => {
                let edit = new_edit(Vec::new(), &options);
                self.send(paths::TABLE_RESTORE, &edit, options.wait).await
            }
        };
        result.unwrap_or_else(|e| self.print_error(&e))
    }

    async fn get(&self) -> Result<Exit> {
        // The table is printed as JSON even without `--json`, so that it can be edited and
        // passed to `table edit`.
        let table = self.table().await?;
        let without_defaults: serde_json::Value =
            serde_json::from_str(&table.to_json()?).map_err(|e| invalid(e.to_string()))?;
        println!("{}", pretty(&without_defaults));
        Ok(Exit::Done)
    }

    async fn table(&self) -> Result<Table> {
        self.read(http::request(Method::Get, self.host, paths::TABLE, Vec::new())?).await
    }

    async fn check(&self, file: &Path) -> Result<Exit> {
        let text = read_file(file)?;
        let req = http::request(Method::Post, self.host, paths::TABLE_CHECK, text.into_bytes())?;
        let findings: Findings = self.read_any_status(req).await?;
        Ok(self.show_findings(&findings))
    }

    fn show_findings(&self, findings: &Findings) -> Exit {
        if findings.is_empty() {
            self.print(findings, "no findings");
            return Exit::Done;
        }
        self.print(findings, &findings.to_string());
        Exit::Findings
    }

    async fn set(&self, set: SetOptions) -> Result<Exit> {
        let column = find_column(set.sheet, &set.column).ok_or_else(|| {
            let names: Vec<&str> = columns(set.sheet).map(|column| column.name).collect();
            invalid(format!("unknown column {}; the columns are {}", set.column, names.join(", ")))
        })?;
        let value = column.parse(&set.value).ok_or_else(|| {
            invalid(format!("{} is not {} (column {})", set.value, column.range(), column.name))
        })?;
        let table = self.table().await?;
        let expect = match set.sheet {
            Sheet::Rows => {
                table.rows.iter().find(|row| *row.name == *set.entry).map(|row| column.get(row))
            }
            Sheet::Callers => {
                table.callers.iter().find(|c| *c.name == *set.entry).map(|c| column.get(c))
            }
        };
        let expect = expect.flatten().ok_or_else(|| {
            not_found(format!("{} does not exist in {}; see `table get`", set.entry, set.sheet))
        })?;
        let place = CellPlace::new(set.sheet, &set.entry, &set.column);
        let edit = new_edit(vec![Change::Set { place, expect, value }], &set.edit);
        self.send(paths::TABLE_EDIT, &edit, set.edit.wait).await
    }

    async fn edit_file(&self, file: &Path, options: EditOptions) -> Result<Exit> {
        let text = read_file(file)?;
        // Only an edit has the field `changes`; a table has `rows` instead.
        if let Ok(edit) = serde_json::from_str::<Edit>(&text) {
            return self.send(paths::TABLE_EDIT, &edit, options.wait).await;
        }
        let wanted = match check_text(&text) {
            Ok(wanted) => wanted,
            Err(findings) => return Ok(self.show_findings(&findings)),
        };
        let current = match self.table().await {
            Ok(current) => current,
            // The deployment has no table yet; this is its first.
            Err(e) if e.code == ErrorCode::NotReady => Table::default(),
            Err(e) => return Err(e),
        };
        if current.version > 0 && wanted.version != current.version {
            return Err(Error::new(
                ErrorCode::Conflict,
                format!(
                    "the file is based on version {}, but version {} is in force; see \
                     `table history` and start again from `table get`",
                    wanted.version, current.version
                ),
            ));
        }
        let changes = diff(&current, &wanted);
        if changes.is_empty() {
            let response = EditResponse::Accepted { version: current.version };
            self.print(&response, &format!("nothing differs from version {}", current.version));
            return Ok(Exit::Done);
        }
        self.send(paths::TABLE_EDIT, &new_edit(changes, &options), options.wait).await
    }

    /// Sends an edit, prints its result and, with `wait`, waits until every live host has it.
    async fn send(&self, path: &str, edit: &Edit, wait: bool) -> Result<Exit> {
        let response: EditResponse =
            self.read_any_status(http::post(self.host, path, edit)?).await?;
        self.print(&response, &table_text::edit_text(&response, &edit.id));
        Ok(match response {
            EditResponse::Accepted { version } if wait => self.wait_for_hosts(version).await?,
            EditResponse::Accepted { .. } => Exit::Done,
            EditResponse::Refused(Refusal::Findings(_)) => Exit::Findings,
            EditResponse::Refused(_) | EditResponse::Regressed { .. } => Exit::Conflict,
            EditResponse::Failed(_) | EditResponse::Unknown(_) => Exit::Failed,
        })
    }

    /// Waits up to [`ROLLOUT_TIMEOUT`] until every live host has `version`, and prints the
    /// result.
    async fn wait_for_hosts(&self, version: u64) -> Result<Exit> {
        let deadline = Instant::now() + ROLLOUT_TIMEOUT;
        loop {
            let rollout = self.rollout().await?;
            let lacking = rollout.hosts_behind(version).count();
            if lacking == 0 || Instant::now() >= deadline {
                self.print(&rollout, &table_text::rollout_text(&rollout, version));
                return Ok(if lacking == 0 { Exit::Done } else { Exit::Failed });
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    async fn rollout(&self) -> Result<Rollout> {
        self.read(http::request(Method::Get, self.host, paths::TABLE_HOSTS, Vec::new())?).await
    }

    async fn hosts(&self) -> Result<Exit> {
        let rollout = self.rollout().await?;
        self.print(&rollout, &table_text::hosts_text(&rollout));
        Ok(Exit::Done)
    }

    async fn history(&self) -> Result<Exit> {
        let req = http::request(Method::Get, self.host, paths::TABLE_HISTORY, Vec::new())?;
        let history: Vec<EditRecord> = self.read(req).await?;
        self.print(&history, &table_text::history_text(&history));
        Ok(Exit::Done)
    }

    async fn read<T: DeserializeOwned>(&self, req: Request) -> Result<T> {
        let mut response = http::send(self.host, req, RESPONSE_TIMEOUT).await?;
        http::read_json(&mut response, self.host).await
    }

    /// Decodes the response whatever its status is, because `T` also represents failures. A
    /// body that holds an [`Error`] instead is returned as that error.
    async fn read_any_status<T: DeserializeOwned>(&self, req: Request) -> Result<T> {
        let mut response = http::send(self.host, req, RESPONSE_TIMEOUT).await?;
        let bytes = response.body_bytes().await.map_err(|e| invalid(e.to_string()))?;
        serde_json::from_slice(&bytes).map_err(|e| {
            let error = serde_json::from_slice::<Error>(&bytes);
            error.unwrap_or_else(|_| invalid(format!("response from {}: {e}", self.host)))
        })
    }

    fn print(&self, body: &impl Serialize, text: &str) {
        println!("{}", if self.json { pretty(body) } else { text.trim_end().to_string() });
    }

    /// Prints an error to the standard error stream and returns the exit code for it.
    fn print_error(&self, e: &Error) -> Exit {
        if self.json {
            eprintln!("{}", pretty(e));
        } else {
            eprintln!("aspenloft: {}", e.message);
        }
        match e.code {
            ErrorCode::Unavailable | ErrorCode::Timeout => Exit::Unreachable,
            ErrorCode::Invalid | ErrorCode::NotFound => Exit::Findings,
            ErrorCode::Conflict => Exit::Conflict,
            _ => Exit::Failed,
        }
    }
}

fn new_edit(changes: Vec<Change>, options: &EditOptions) -> Edit {
    let user = || std::env::var("USER").unwrap_or_else(|_| "operator".into());
    let who = options.who.clone().unwrap_or_else(user);
    let id = format!("{who}-{}-{}", unix_millis(SystemTime::now()), std::process::id());
    Edit { id: id.into(), who: who.into(), changes }
}

fn read_file(file: &Path) -> Result<String> {
    std::fs::read_to_string(file).map_err(|e| invalid(format!("{}: {e}", file.display())))
}

fn pretty(body: &impl Serialize) -> String {
    serde_json::to_string_pretty(body).unwrap_or_default()
}
