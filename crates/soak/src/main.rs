//! The `amaranthshunt-soak` command.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use amaranthshunt_soak::{Size, Workload, run_soak};
use getopts::Options;
use miette::{IntoDiagnostic, miette};

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::from(2)
        }
    }
}

fn run() -> miette::Result<bool> {
    let mut options = Options::new();
    options.optopt(
        "",
        "seed",
        "seed of the random faults and requests (default: 1)",
        "N",
    );
    options.optopt(
        "",
        "seconds",
        "seconds during which faults are injected (default: 20)",
        "S",
    );
    options.optopt(
        "",
        "program",
        "path of the amaranthshunt program (default: next to this program)",
        "FILE",
    );
    options.optflag("", "large", "use four times as many hosts and servers");
    options.optflag("", "huge", "use sixteen times as many hosts and servers");
    options.optflag(
        "",
        "plain",
        "leave out tenants, uploads, pipelined requests and overload control, which earlier builds lack",
    );
    options.optflag("h", "help", "print this help and exit");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = options.parse(&arguments).into_diagnostic()?;
    if matches.opt_present("help") {
        print!(
            "{}",
            options.usage("Usage: amaranthshunt-soak [--seed N] [--seconds S]")
        );
        return Ok(true);
    }
    let seed = matches.opt_get_default("seed", 1_u64).into_diagnostic()?;
    let seconds = matches
        .opt_get_default("seconds", 20_u64)
        .into_diagnostic()?;
    let program = match matches.opt_str("program") {
        Some(path) => PathBuf::from(path),
        None => sibling_program().ok_or_else(|| {
            miette!("no amaranthshunt program next to this program; give its path with --program")
        })?,
    };
    let size = if matches.opt_present("huge") {
        Size::Huge
    } else if matches.opt_present("large") {
        Size::Large
    } else {
        Size::Small
    };
    let workload = if matches.opt_present("plain") {
        Workload::Plain
    } else {
        Workload::Full
    };
    let time = Duration::from_secs(seconds);
    let result = async_std::task::block_on(run_soak(&program, seed, time, size, workload));
    let report = result.into_diagnostic()?;
    print!("{report}");
    Ok(report.is_clean())
}

fn sibling_program() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    let program = own.parent()?.join("amaranthshunt");
    program.exists().then_some(program)
}
