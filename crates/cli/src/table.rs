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

/// The longest wait for an answer of the host.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// How long `--wait` waits for all live hosts: the time promised.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);

/// How often `--wait` asks.
const WAIT_STEP: Duration = Duration::from_millis(250);

/// `Exit` is the exit code of a command of the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Done.
    Done = 0,
    /// Failed.
    Failed = 1,
    /// The table has findings, or the command was used wrongly.
    Findings = 2,
    /// The host cannot be reached.
    Unreachable = 3,
    /// A cell is not as expected, or the service fell back to an older table.
    Conflict = 5,
}

/// `Command` is a command of the table.
#[derive(Debug)]
pub enum Command {
    /// Prints the table.
    Get,
    /// Checks a file.
    Check(PathBuf),
    /// Sets one cell.
    Set(SetOptions),
    /// Takes an edited table or an edit from a file.
    Edit(PathBuf, EditOptions),
    /// Prints the last edits.
    History,
    /// Prints the version at each host.
    Hosts,
    /// Puts the hosts' table back into a service that fell back.
    Restore(EditOptions),
}

/// `SetOptions` is one cell to set.
#[derive(Debug)]
pub struct SetOptions {
    /// The part of the table.
    pub sheet: Sheet,
    /// The row or the caller.
    pub entry: String,
    /// The column.
    pub column: String,
    /// The new value as typed.
    pub value: String,
    /// How the edit is made.
    pub edit: EditOptions,
}

/// `EditOptions` is how an edit is made.
#[derive(Debug, Default)]
pub struct EditOptions {
    /// Who makes it, for the history.
    pub who: Option<String>,
    /// Whether to wait until every live host has it.
    pub wait: bool,
}

/// `Table` speaks to one host about the table.
pub struct TableTool {
    /// The host's administration address.
    pub host: SocketAddr,
    /// Whether to print JSON.
    pub json: bool,
}

impl TableTool {
    /// Runs a command and returns the exit code.
    pub async fn run(&self, command: Command) -> Exit {
        let done = match command {
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
        done.unwrap_or_else(|e| self.fail(&e))
    }

    async fn get(&self) -> Result<Exit> {
        // The table is JSON in either form: what is printed can be edited and given
        // back to `table edit`.
        let table = self.table().await?;
        let sparse: serde_json::Value =
            serde_json::from_str(&table.to_json()?).map_err(|e| invalid(e.to_string()))?;
        println!("{}", pretty(&sparse));
        Ok(Exit::Done)
    }

    async fn table(&self) -> Result<Table> {
        self.read(http::request(Method::Get, self.host, paths::TABLE, Vec::new())?).await
    }

    async fn check(&self, file: &Path) -> Result<Exit> {
        let text = read_file(file)?;
        let req = http::request(Method::Post, self.host, paths::TABLE_CHECK, text.into_bytes())?;
        let findings: Findings = self.read_any(req).await?;
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
            invalid(format!("no column {}; there are {}", set.column, names.join(", ")))
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
            not_found(format!("no {} in {}; `table get` shows all", set.entry, set.sheet))
        })?;
        let place = CellPlace::new(set.sheet, &set.entry, &set.column);
        let edit = new_edit(vec![Change::Set { place, expect, value }], &set.edit);
        self.send(paths::TABLE_EDIT, &edit, set.edit.wait).await
    }

    async fn edit_file(&self, file: &Path, options: EditOptions) -> Result<Exit> {
        let text = read_file(file)?;
        // An edit has changes; a table has rows.
        if let Ok(edit) = serde_json::from_str::<Edit>(&text) {
            return self.send(paths::TABLE_EDIT, &edit, options.wait).await;
        }
        let wanted = match check_text(&text) {
            Ok(wanted) => wanted,
            Err(findings) => return Ok(self.show_findings(&findings)),
        };
        let current = match self.table().await {
            Ok(current) => current,
            // The first table of a deployment.
            Err(e) if e.code == ErrorCode::NotReady => Table::default(),
            Err(e) => return Err(e),
        };
        if current.version > 0 && wanted.version != current.version {
            return Err(Error::new(
                ErrorCode::Conflict,
                format!(
                    "the file was made from version {}, in force is {}; see `table history`, then \
                     start from `table get` again",
                    wanted.version, current.version
                ),
            ));
        }
        let changes = diff(&current, &wanted);
        if changes.is_empty() {
            let answer = EditResponse::Accepted { version: current.version };
            self.print(&answer, &format!("nothing differs from version {}", current.version));
            return Ok(Exit::Done);
        }
        self.send(paths::TABLE_EDIT, &new_edit(changes, &options), options.wait).await
    }

    /// Sends an edit, prints what became of it and waits if asked to.
    async fn send(&self, path: &str, edit: &Edit, wait: bool) -> Result<Exit> {
        let answer: EditResponse = self.read_any(http::post(self.host, path, edit)?).await?;
        self.print(&answer, &table_text::answer(&answer, &edit.id));
        Ok(match answer {
            EditResponse::Accepted { version } if wait => self.await_all(version).await?,
            EditResponse::Accepted { .. } => Exit::Done,
            EditResponse::Refused(Refusal::Findings(_)) => Exit::Findings,
            EditResponse::Refused(_) | EditResponse::Regressed { .. } => Exit::Conflict,
            EditResponse::Failed(_) | EditResponse::Unknown(_) => Exit::Failed,
        })
    }

    /// Waits until every live host has `version`, or names those that lack it.
    async fn await_all(&self, version: u64) -> Result<Exit> {
        let ends = Instant::now() + IN_FORCE_TIMEOUT;
        loop {
            let rollout = self.rollout().await?;
            let lacking = rollout.hosts_behind(version).count();
            if lacking == 0 || Instant::now() >= ends {
                self.print(&rollout, &table_text::rollout(&rollout, version));
                return Ok(if lacking == 0 { Exit::Done } else { Exit::Failed });
            }
            task::sleep(WAIT_STEP).await;
        }
    }

    async fn rollout(&self) -> Result<Rollout> {
        self.read(http::request(Method::Get, self.host, paths::TABLE_HOSTS, Vec::new())?).await
    }

    async fn hosts(&self) -> Result<Exit> {
        let rollout = self.rollout().await?;
        self.print(&rollout, &table_text::hosts(&rollout));
        Ok(Exit::Done)
    }

    async fn history(&self) -> Result<Exit> {
        let req = http::request(Method::Get, self.host, paths::TABLE_HISTORY, Vec::new())?;
        let history: Vec<EditRecord> = self.read(req).await?;
        self.print(&history, &table_text::history(&history));
        Ok(Exit::Done)
    }

    async fn read<T: DeserializeOwned>(&self, req: Request) -> Result<T> {
        let mut response = http::send(self.host, req, ANSWER_TIMEOUT).await?;
        http::read_json(&mut response, self.host).await
    }

    /// Reads an answer whose failures have the same shape as its successes.
    async fn read_any<T: DeserializeOwned>(&self, req: Request) -> Result<T> {
        let mut response = http::send(self.host, req, ANSWER_TIMEOUT).await?;
        let bytes = response.body_bytes().await.map_err(|e| invalid(e.to_string()))?;
        serde_json::from_slice(&bytes).map_err(|e| {
            let refused = serde_json::from_slice::<Error>(&bytes);
            refused.unwrap_or_else(|_| invalid(format!("answer of {}: {e}", self.host)))
        })
    }

    fn print(&self, body: &impl Serialize, text: &str) {
        println!("{}", if self.json { pretty(body) } else { text.trim_end().to_string() });
    }

    fn fail(&self, e: &Error) -> Exit {
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
