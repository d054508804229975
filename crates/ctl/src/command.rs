//! The `amaranthctl` command line.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use amaranthshunt_clients::StoreClient;
use amaranthshunt_core::ids::{HostId, Revision};
use amaranthshunt_core::record::Subject;
use amaranthshunt_settings::{read_entry, read_host_file};
use async_std::task;
use getopts::Options;
use miette::{IntoDiagnostic, Result, WrapErr, miette};

use crate::{audit, change, status};

/// Time that one call to the store may take.
const STORE_LIMIT: Duration = Duration::from_secs(2);
/// The exit code for a wrong command line.
const USAGE: u8 = 2;
/// What the program can do.
const BRIEF: &str = "\
Usage: amaranthctl [--store ADDRESS] COMMAND

Commands:
  entry list                  list catalogue entries
  entry show NAME             print an entry as JSON
  entry check FILE            check an entry without writing it
  entry apply FILE            check an entry and write it
  entry remove NAME           remove an entry
  domain out|return NAME      take a failure domain out of service, or return it
  host out|return NAME        take an entry host out of service, or return it
  host lost ID                declare that a run of a host is gone for good
  server out|return NAME      take a backend server out of service, or return it
  status                      hosts, control, shards and orders
  audit                       the audit trail, oldest first
  settings check FILE         check a host's settings

Exit codes: 0 done, 1 refused or failed, 2 wrong command line.";

/// A command line that was understood.
struct Invocation {
    store: Option<SocketAddr>,
    operator: String,
    words: Vec<String>,
}

/// Runs the command with its arguments, without the program's name.
pub fn run(arguments: &[String]) -> ExitCode {
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
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
        words: matches.free,
    };
    match task::block_on(invocation.carry_out()) {
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
    options.optopt("s", "store", "the platform's object store", "ADDRESS");
    options.optopt(
        "o",
        "operator",
        "who makes the change (default: $USER)",
        "NAME",
    );
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

fn usage_error(text: &str) -> ExitCode {
    eprintln!("amaranthctl: {text}; see `amaranthctl --help`");
    ExitCode::from(USAGE)
}

impl Invocation {
    /// Carries the command out; `None` where it is no command.
    async fn carry_out(&self) -> Result<Option<String>> {
        let words: Vec<&str> = self.words.iter().map(String::as_str).collect();
        let text = match words.as_slice() {
            ["settings", "check", path] => check_settings(path)?,
            ["entry", "check", path] => check_entry(path)?,
            ["entry", "list"] => self.list_entries().await?,
            ["entry", "show", name] => self.show_entry(name).await?,
            ["entry", "apply", path] => self.apply_entry(path).await?,
            ["entry", "remove", name] => {
                let store = self.store()?;
                let revision = change::remove_entry(&store, &self.operator, name).await?;
                written(revision)
            }
            ["host", "lost", id] => {
                let id = id.parse().into_diagnostic();
                let id = id.wrap_err("a run is named by its number, see `amaranthctl status`")?;
                self.order(&Subject::Lost(HostId(id)), true).await?
            }
            [
                kind @ ("domain" | "host" | "server"),
                verb @ ("out" | "return"),
                name,
            ] => self.order(&subject(kind, name)?, *verb == "out").await?,
            ["status"] => status::describe(&self.store()?).await?.join("\n"),
            ["audit"] => self.audit().await?,
            _ => return Ok(None),
        };
        Ok(Some(text))
    }

    fn store(&self) -> Result<StoreClient> {
        let address = self.store.ok_or_else(|| {
            miette!(
                help = "the host settings name it under `platform.store`",
                "this command needs `--store ADDRESS`"
            )
        })?;
        Ok(StoreClient::new(address, STORE_LIMIT))
    }

    async fn order(&self, subject: &Subject, out: bool) -> Result<String> {
        let store = self.store()?;
        let revision = change::give_order(&store, &self.operator, subject, out).await?;
        Ok(written(revision))
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
        let entry = entry.ok_or_else(|| miette!("no entry `{name}`"))?;
        serde_json::to_string_pretty(entry).into_diagnostic()
    }

    async fn apply_entry(&self, path: &str) -> Result<String> {
        let entry = read_entry(path, &read_file(path)?)?;
        let store = self.store()?;
        let revision = change::apply_entry(&store, &self.operator, &entry).await?;
        Ok(written(revision))
    }

    async fn audit(&self) -> Result<String> {
        let records = audit::read(&self.store()?).await.into_diagnostic()?;
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

fn subject(kind: &str, name: &str) -> Result<Subject> {
    match kind {
        "domain" => Ok(Subject::Domain(name.parse().into_diagnostic()?)),
        "host" => Ok(Subject::Host(name.to_owned())),
        _ => Ok(Subject::Server(name.to_owned())),
    }
}

fn written(revision: Revision) -> String {
    format!("written at revision {revision}")
}
