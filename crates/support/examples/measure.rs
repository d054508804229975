//! Starts real host processes and stand-ins on loopback, sends a bounded load, prints one table.
//!
//! `cargo run --release --example measure -- SCENARIO --seed N [--rate R] [--seconds S] [--json]`

mod measure {
    pub(crate) mod report;
    pub(crate) mod scenario;
}

use std::process::ExitCode;

use amaranthshunt_support::run_host_process;
use getopts::Options;

use measure::scenario::{Scenario, Wanted, run};

fn main() -> ExitCode {
    if let Some(code) = run_host_process() {
        return code;
    }
    let mut options = Options::new();
    options.optopt("", "seed", "seed of the load", "N");
    options.optopt("", "rate", "requests a second", "R");
    options.optopt("", "seconds", "how long to send", "S");
    options.optflag("", "json", "print JSON");
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let matches = match options.parse(&arguments) {
        Ok(matches) => matches,
        Err(error) => return usage(&options, &error.to_string()),
    };
    let Some(scenario) = matches.free.first().and_then(|name| Scenario::named(name)) else {
        let names: Vec<&str> = Scenario::ALL
            .iter()
            .map(|scenario| scenario.name())
            .collect();
        return usage(&options, &format!("name a scenario: {}", names.join(", ")));
    };
    let number = |name: &str, default: f64| {
        let text = matches.opt_str(name);
        text.and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    let wanted = Wanted {
        scenario,
        seed: number("seed", 1.0) as u64,
        rate: number("rate", 400.0),
        seconds: number("seconds", 10.0),
    };
    let report = match async_std::task::block_on(run(wanted)) {
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

fn usage(options: &Options, text: &str) -> ExitCode {
    eprintln!("measure: {text}");
    eprint!("{}", options.usage("Usage: measure SCENARIO [options]"));
    ExitCode::from(2)
}
