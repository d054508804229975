//! Runs one case of the third review: `review-case-3 CASE RECORD`. The variable `TROUBLE` set to 0 leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod born;
mod evacuation;
mod poison;
mod site;
mod upstream;

use std::process::ExitCode;

/// What a case has shown.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case-3 CASE RECORD");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").is_ok_and(|text| text == "0");
    let trouble = !trouble;
    let record = site::Record::new();
    record.add(format!("case {case}, trouble: {trouble}"));
    let outcome = match case.as_str() {
        "poison" => poison::run(&record, trouble),
        "evacuation" => evacuation::run(&record, trouble),
        "born" => born::run(&record, trouble),
        other => Outcome::NotRun(format!("there is no case {other}")),
    };
    let (code, text) = match outcome {
        Outcome::Held => (0, "the rule held".to_owned()),
        Outcome::Broken => (1, "THE RULE WAS BROKEN".to_owned()),
        Outcome::NotRun(reason) => (2, format!("the case could not run: {reason}")),
    };
    record.add(&text);
    record.write(&path);
    println!("{case}: {text}");
    ExitCode::from(code)
}
