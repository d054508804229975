//! The `amaranthctl` command line.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use amaranthshunt_clients::StoreClient;
use amaranthshunt_core::ids::{HostId, Revision};
use amaranthshunt_core::names::is_valid_name;
use amaranthshunt_core::record::Subject;
use amaranthshunt_settings::{read_entry, read_host_file};
use async_std::task;
use getopts::Options;
use miette::{IntoDiagnostic, Result, WrapErr, miette};

use crate::{audit, change, status};

/// Timeout of one call to the object store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Exit code for an invalid command line.
const USAGE_ERROR_CODE: u8 = 2;
/// The text that `--help` prints above the options.
const HELP_TEXT: &str = "\
Usage: amaranthctl [--store ADDRESS] COMMAND

Commands:
  entry list                  list catalogue entries
  entry show NAME             print an entry as JSON
  entry check FILE            check an entry without writing it
  entry apply FILE            check an entry and write it
  entry remove NAME           remove an entry
  domain out|return NAME      take a failure domain out of service, or return it
  host out|return NAME        take an entry host out of service, or return it
  host lost ID                declare a host process permanently lost
  server out|return NAME      take a backend server out of service, or return it
  status                      list hosts, shard owners and orders
  audit                       print the audit trail, oldest first
  settings check FILE         check a host's settings

Exit codes: 0 success, 1 rejected or failed, 2 invalid command line.";

/// A parsed command line.
struct Invocation {
    store: Option<SocketAddr>,
    operator: String,
    arguments: Vec<String>,
}

/// Runs the command line; `arguments` excludes the program name.
pub fn run(arguments: &[String]) -> ExitCode {
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(HELP_TEXT));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("amaranthctl {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let store = match matches.opt_str("store").map(|text| text.parse()) {
        None => None,
        Some(Ok(address)) => Some(address),
        Some(Err(_)) => return usage_error("`--store` takes an address such as 127.0.0.1:9000"),
    };
    let operator = matches
        .opt_str("operator")
        .or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "unnamed".to_owned());
    let invocation = Invocation {
        store,
        operator,
        arguments: matches.free,
    };
    match task::block_on(invocation.execute()) {
        Ok(Some(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Ok(None) => usage_error("unknown command"),
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "s",
        "store",
        "address of the platform's object store",
        "ADDRESS",
    );
    options.optopt(
        "o",
        "operator",
        "operator named in the audit record (default: $USER)",
        "NAME",
    );
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

fn usage_error(text: &str) -> ExitCode {
    eprintln!("amaranthctl: {text}; see `amaranthctl --help`");
    ExitCode::from(USAGE_ERROR_CODE)
}

impl Invocation {
    /// Executes the command and returns its output; `None` if the command is unknown.
    async fn execute(&self) -> Result<Option<String>> {
        let arguments: Vec<&str> = self.arguments.iter().map(String::as_str).collect();
        let text = match arguments.as_slice() {
            ["settings", "check", path] => check_settings(path)?,
            ["entry", "check", path] => check_entry(path)?,
            ["entry", "list"] => self.list_entries().await?,
            ["entry", "show", name] => self.show_entry(name).await?,
            ["entry", "apply", path] => self.apply_entry(path).await?,
            ["entry", "remove", name] => {
                check_name(name)?;
                let store = self.store()?;
                let revision = change::remove_entry(&store, &self.operator, name).await?;
                written_message(revision)
            }
            ["host", "lost", id] => {
                let parsed_id = id.parse().into_diagnostic();
                let host_id = parsed_id.wrap_err(
                    "ID must be the number of a host process, as shown by `amaranthctl status`",
                )?;
                self.write_order(&Subject::Lost(HostId(host_id)), true)
                    .await?
            }
            [
                kind @ ("domain" | "host" | "server"),
                verb @ ("out" | "return"),
                name,
            ] => {
                self.write_order(&parse_subject(kind, name)?, *verb == "out")
                    .await?
            }
            ["status"] => status::status_lines(&self.store()?).await?.join("\n"),
            ["audit"] => self.audit().await?,
            _ => return Ok(None),
        };
        Ok(Some(text))
    }

    fn store(&self) -> Result<StoreClient> {
        let address = self.store.ok_or_else(|| {
            miette!(
                help = "use the address under `platform.store` in the host settings",
                "this command needs `--store ADDRESS`"
            )
        })?;
        Ok(StoreClient::new(address, STORE_TIMEOUT))
    }

    async fn write_order(&self, subject: &Subject, out: bool) -> Result<String> {
        let store = self.store()?;
        let revision = change::write_order(&store, &self.operator, subject, out).await?;
        Ok(written_message(revision))
    }

    async fn list_entries(&self) -> Result<String> {
        let entries = change::entries(&self.store()?).await?;
        let lines: Vec<String> = entries
            .iter()
            .map(|entry| {
                let servers = entry.servers.len();
                format!(
                    "{} {:?} of {}, {servers} servers",
                    entry.name, entry.class, entry.owner
                )
            })
            .collect();
        Ok(lines.join("\n"))
    }

    async fn show_entry(&self, name: &str) -> Result<String> {
        let entries = change::entries(&self.store()?).await?;
        let entry = entries.iter().find(|entry| entry.name == name);
        let entry = entry.ok_or_else(|| {
            miette!("no entry named `{name}`; run `amaranthctl entry list` to see all entries")
        })?;
        serde_json::to_string_pretty(entry).into_diagnostic()
    }

    async fn apply_entry(&self, path: &str) -> Result<String> {
        let entry = read_entry(path, &read_file(path)?)?;
        let store = self.store()?;
        let revision = change::apply_entry(&store, &self.operator, &entry).await?;
        Ok(written_message(revision))
    }

    async fn audit(&self) -> Result<String> {
        let records = audit::read_all(&self.store()?).await.into_diagnostic()?;
        let lines: Vec<String> = records
            .iter()
            .map(|record| serde_json::to_string(record).unwrap_or_default())
            .collect();
        Ok(lines.join("\n"))
    }
}

fn check_settings(path: &str) -> Result<String> {
    read_host_file(path, &read_file(path)?)?;
    Ok(format!("{path}: no findings"))
}

fn check_entry(path: &str) -> Result<String> {
    read_entry(path, &read_file(path)?)?;
    Ok(format!("{path}: no findings"))
}

fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read {path}"))
}

fn parse_subject(kind: &str, name: &str) -> Result<Subject> {
    if kind == "domain" {
        return Ok(Subject::Domain(name.parse().into_diagnostic()?));
    }
    check_name(name)?;
    Ok(if kind == "host" {
        Subject::Host(name.to_owned())
    } else {
        Subject::Server(name.to_owned())
    })
}

/// Checks the name of an entry, host or backend server.
fn check_name(name: &str) -> Result<()> {
    if is_valid_name(name) {
        return Ok(());
    }
    Err(miette!(
        "`{name}` is not a name: expected 1 to 64 letters, digits, `-` or `_`"
    ))
}

fn written_message(revision: Revision) -> String {
    format!("written at revision {revision}")
}
