//! Soak test: random faults against real processes, checked by what callers and servers observed.
//!
//! [`play`] starts each host as a separate process, with fakes of the store and the servers in
//! this process and loopback proxies between them. It injects faults that a seed determines and
//! reports every guarantee that was violated. `docs/soak.md` lists the seeds that were run.

mod callers;
mod faults;
mod fleet;
mod play;
mod report;

pub use play::{Size, play};
pub use report::Report;
