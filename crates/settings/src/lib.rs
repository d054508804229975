//! Settings and catalogue files, read with every finding at its place.
//!
//! A file is read to its end whatever is wrong with it, so that one run names everything that
//! has to be mended. `docs/settings.md` is the reference.

mod entry_file;
mod host_file;
mod reader;
mod report;

pub use entry_file::read_entry;
pub use host_file::{FIELDS, HostFile, read_host_file};
pub use report::{Report, Result};
