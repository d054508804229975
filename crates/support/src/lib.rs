//! Stand-ins for the platform and for backend servers, a load generator, and deployments of
//! real host processes. Nothing of this ships.

mod backend;
mod deployment;
mod journal;
mod load;
mod lock;
mod metrics;
pub mod platform;
mod serve;
mod store;

pub use backend::{BackendOptions, BackendStandIn};
pub use deployment::{Deployment, Shape, free_address, run_host_process};
pub use journal::Journal;
pub use load::{Load, LoadOptions, LoadReport, Seen, Tally, ask};
pub use metrics::MetricsStandIn;
pub use store::StoreStandIn;
