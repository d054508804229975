//! Soak test: random faults against real processes, checked by what callers and servers observed.
//!
//! [`run_soak`] starts each host as a separate process, with fakes of the store and the servers in
//! this process and loopback proxies between them. It injects faults that a seed determines and
//! reports every guarantee that was violated. `docs/soak.md` lists the seeds that were run.

mod callers;
mod checks;
mod deployment;
mod disturbances;
mod faults;
mod pipeline;
mod regions;
mod report;
mod run;
mod server;
mod signals;
mod tenants;

pub use report::Report;
pub use run::{Size, Workload, run_soak};
