//! Stand-ins for the platform, its upstreams and its clients, and the cases that use them.
//!
//! `case NAME RECORD FOLDER` plays a case; with `TROUBLE=0` in the environment, without its disruption.

mod foreign;
mod http;
mod poison;
mod record;
mod replaced;
mod site;
mod store;
mod uploads;
mod upstream;

use std::path::Path;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let [name, path, folder] = words.as_slice() else {
        eprintln!("usage: case NAME RECORD FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = record::Record::new();
    let folder = Path::new(folder);
    let result = match name.as_str() {
        "cookie" => poison::cookie(&record, folder, trouble),
        "killed" => poison::killed(&record, folder, trouble),
        "replaced" => replaced::run(&record, folder, trouble),
        "foreign" => foreign::run(&record, folder, trouble),
        "uploads" => uploads::run(&record, folder, trouble),
        _ => Err(format!("there is no case {name}")),
    };
    std::process::exit(record.finish(path, result));
}
