//! Decisions of an entry host that sends requests straight to backend servers.
//!
//! A [`Router`] says where a request goes and what its caller may be told; a [`Granter`], of
//! which one host has the only valid one, says which server holds which keys. Neither does input
//! or output. `docs/platform-path.md` records the design and the ways that were weighed.

mod balance;
mod cold;
mod config;
mod freshness;
mod granter;
mod load;
mod placement;
mod retries;
mod router;
mod servers;
mod settings;
mod splits;

pub use balance::{Candidate, KeyHeat, ServerHeat};
pub use cold::ColdShare;
pub use config::{Config, Limits, Part, Route, Service};
pub use freshness::{Freshness, Passed};
pub use granter::{Granter, GranterTiming, Order, OrderReply, World};
pub use load::{LoadReport, LoadView};
pub use placement::{KeySpan, Placement, Table, TableSpan};
pub use retries::RetryShare;
pub use router::{Ending, Plan, RefusalCause, Refused, Router, RouterSettings, Target};
pub use servers::{ServerChanges, ServerEntry, Servers, Standing};
pub use settings::FrontSettings;
pub use splits::Splits;
