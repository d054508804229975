//! Runs one case of the review: `review-harness CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` it does the same without the disruption.

mod cases;
mod client;
mod host;
mod http;
mod link;
mod record;
mod store;
mod upstream;

use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cases::Site;
use record::Record;

/// Time after which the run is given up.
const TIME_LIMIT: Duration = Duration::from_secs(112);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: review-harness CASE RECORD");
        exit(2);
    };
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(path));
    thread::spawn(|| {
        thread::sleep(TIME_LIMIT);
        eprintln!("not done within the time limit");
        host::end_all();
        exit(2);
    });
    let Some(run) = cases::find(case) else {
        eprintln!("no case {case}");
        exit(2);
    };
    record.tell(format!("case {case}, disruption: {with_trouble}"));
    let site = Site::new(case, record.clone(), with_trouble);
    let folder = site.folder.clone();
    let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| run(&site)));
    host::end_all();
    let _ = std::fs::remove_dir_all(folder);
    let code = match result {
        Ok(Ok(true)) => 0,
        Ok(Ok(false)) => 1,
        Ok(Err(reason)) => {
            record.tell(format!("the case could not run: {reason}"));
            2
        }
        Err(_) => 2,
    };
    let text = match code {
        0 => "the rule held",
        1 => "the rule was broken",
        _ => "no result",
    };
    record.tell(text);
    exit(code);
}
