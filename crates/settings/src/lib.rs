//! Parses settings and catalogue files and reports each finding with its location.
//!
//! Parsing continues after an error, so that one run reports everything that has to be fixed.
//! `docs/settings.md` is the reference.

mod entry_file;
mod host_file;
mod reader;
mod report;

pub use entry_file::read_entry;
pub use host_file::{FIELDS, HostFile, read_host_file};
pub use report::{Report, Result};
