//! Fakes of the platform and of backend servers, a load generator, and deployments of real host
//! processes, for tests and measurements. Not part of a release.

mod backend;
mod deployment;
mod journal;
mod load;
mod lock;
mod metrics;
pub mod platform;
mod serve;
mod store;
mod targets;

pub use backend::{BackendOptions, FakeBackend};
pub use deployment::{Deployment, DeploymentOptions, free_address, run_host_process};
pub use journal::Journal;
pub use load::{CallerResponse, EntryStats, Load, LoadOptions, LoadReport, send_request};
pub use metrics::FakeMetricsCollector;
pub use store::FakeStore;
