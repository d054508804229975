//! Runs a scenario against real host processes on loopback under load and prints the figures.
//!
//! `cargo run --release --example measure -- SCENARIO --seed N [--rate R] [--seconds S] [--json]`

mod measure {
    pub(crate) mod report;
    pub(crate) mod scenario;
}

use std::process::ExitCode;

use amaranthshunt_support::run_host_process;
use getopts::Options;

use measure::scenario::{RunOptions, Scenario, run};

fn main() -> ExitCode {
    if let Some(code) = run_host_process() {
        return code;
    }
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the load (default: 1)", "N");
    options.optopt("", "rate", "requests per second (default: 400)", "R");
    options.optopt(
        "",
        "seconds",
        "duration of the load in seconds (default: 10)",
        "S",
    );
    options.optflag("", "json", "print JSON");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&options, &error.to_string()),
    };
    let Some(scenario) = matches
        .free
        .first()
        .and_then(|name| Scenario::from_name(name))
    else {
        let names: Vec<&str> = Scenario::ALL
            .iter()
            .map(|scenario| scenario.name())
            .collect();
        return usage_error(
            &options,
            &format!("expected one of these scenarios: {}", names.join(", ")),
        );
    };
    let numeric_option = |name: &str, default: f64| {
        let text = matches.opt_str(name);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let run_options = RunOptions {
        scenario,
        seed: numeric_option("seed", 1.0) as u64,
        rate: numeric_option("rate", 400.0),
        seconds: numeric_option("seconds", 10.0),
    };
    let report = match async_std::task::block_on(run(run_options)) {
        Ok(report) => report,
        Err(error) => {
            eprintln!("measure: {error}");
            return ExitCode::FAILURE;
        }
    };
    if matches.opt_present("json") {
        println!("{}", report.json());
    } else {
        print!("{}", report.table());
    }
    ExitCode::SUCCESS
}

fn usage_error(options: &Options, text: &str) -> ExitCode {
    eprintln!("measure: {text}");
    eprint!("{}", options.usage("Usage: measure SCENARIO [options]"));
    ExitCode::from(2)
}
