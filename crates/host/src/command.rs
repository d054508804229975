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
use crate::telemetry::start_logs;

/// Time between two looks for a signal.
const SIGNAL_POLL: Duration = Duration::from_millis(20);
/// The word for a host on the users' platform, which has settings of its own.
const FRONT: &str = "front";
/// The exit code for a wrong command line or wrong settings.
const USAGE: u8 = 2;

/// Runs the command with its arguments, without the program's name.
pub fn run(arguments: &[String]) -> ExitCode {
    if arguments.first().is_some_and(|word| word == FRONT) {
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
    let file = match read_file(&path) {
        Ok(file) => file,
        Err(report) => return usage_error(&report),
    };
    if matches.opt_present("check") {
        println!("{path}: no findings");
        return ExitCode::SUCCESS;
    }
    match serve(file) {
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
    ExitCode::from(USAGE)
}

fn read_file(path: &str) -> miette::Result<HostFile> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| format!("cannot read the settings file {path}"))?;
    Ok(read_host_file(path, &text)?)
}

fn serve(file: HostFile) -> miette::Result<()> {
    start_logs();
    let stop = Arc::new(std::sync::atomic::AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, stop.clone()).into_diagnostic()?;
    }
    task::block_on(async {
        let node = Node::start(file)
            .await
            .map_err(|error| miette!("{error}; is another host running there?"))?;
        while !stop.load(std::sync::atomic::Ordering::Relaxed) {
            task::sleep(SIGNAL_POLL).await;
        }
        node.leave().await;
        Ok(())
    })
}
