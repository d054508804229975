//! The `amaranthshunt` command line.

use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_settings::{HostFile, read_host_file};
use async_std::task;
use getopts::Options;
use miette::{IntoDiagnostic, Report, WrapErr, miette};
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::node::Node;
use crate::telemetry::init_logging;

/// Interval at which the stop flag of the signal handlers is checked.
const SIGNAL_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The subcommand that runs the host for the users' platform, which has its own settings.
const FRONT_SUBCOMMAND: &str = "front";
/// The exit code for an invalid command line or invalid settings.
const USAGE_EXIT_CODE: u8 = 2;

/// Runs the command; `arguments` does not include the program name.
pub fn run(arguments: &[String]) -> ExitCode {
    if arguments
        .first()
        .is_some_and(|argument| argument == FRONT_SUBCOMMAND)
    {
        return amaranthshunt_front::run();
    }
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&miette!("{error}; see `amaranthshunt --help`")),
    };
    if matches.opt_present("help") {
        let brief = "Usage: amaranthshunt --settings FILE [--check]\n       amaranthshunt front (docs/platform-path.md)";
        print!("{}", options.usage(brief));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("amaranthshunt {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(path) = matches.opt_str("settings") else {
        return usage_error(&miette!(
            "`--settings FILE` is missing; see `amaranthshunt --help`"
        ));
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(report) => return usage_error(&report),
    };
    if matches.opt_present("check") {
        println!("{path}: no findings");
        return ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
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
        "settings",
        "the settings file (docs/settings.md)",
        "FILE",
    );
    options.optflag("c", "check", "check the settings and exit");
    options.optflag("h", "help", "print this help and exit");
    options.optflag("V", "version", "print the version and exit");
    options
}

fn usage_error(report: &Report) -> ExitCode {
    eprintln!("{report:?}");
    ExitCode::from(USAGE_EXIT_CODE)
}

fn read_settings(path: &str) -> miette::Result<HostFile> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
    Ok(read_host_file(path, &text)?)
}

fn serve(settings: HostFile) -> miette::Result<()> {
    init_logging();
    let stop_requested = Arc::new(std::sync::atomic::AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop_requested.clone()).into_diagnostic()?;
    }
    task::block_on(async {
        let node = Node::start(settings)
            .await
            .map_err(|error| miette!("{error}; check that no other process uses the address"))?;
        while !stop_requested.load(std::sync::atomic::Ordering::Relaxed) {
            task::sleep(SIGNAL_POLL_INTERVAL).await;
        }
        node.shut_down().await;
        Ok(())
    })
}
