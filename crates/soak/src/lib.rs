//! Randomised faults against real processes, checked from what callers and servers saw.
//!
//! [`play`] starts hosts as processes of their own, with stand-ins for the store and the servers
//! in this process and loopback proxies between them, breaks things by a seed, and reports every
//! promise that was broken. `docs/soak.md` lists the seeds that were played.

mod callers;
mod faults;
mod fleet;
mod play;
mod report;

pub use play::{Size, play};
pub use report::Report;
