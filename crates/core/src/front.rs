//! Routing decisions of an entry host that sends requests directly to backend servers.
//!
//! A [`Router`] selects the server of each request, or the reason for which it is refused. A
//! [`Granter`], of which only one host has a valid one at a time, assigns the keys of sharded
//! services to servers. Neither does I/O. `docs/platform-path.md` records the design and the
//! alternatives that were considered.

mod balance;
mod cold_start;
mod config;
mod freshness;
mod granter;
mod load;
mod placement;
mod retry_budget;
mod router;
mod servers;
mod settings;
mod traffic_split;

pub use balance::{KeyRates, MoveCandidate, ServerUsage};
pub use cold_start::ColdStartLimiter;
pub use config::{Config, Limits, Part, Route, Service};
pub use freshness::{Freshness, Passed};
pub use granter::{Granter, GranterTiming, Order, OrderReply, World};
pub use load::{LoadReport, ServerLoad};
pub use placement::{KeySpan, Placement, Table, TableSpan};
pub use retry_budget::RetryBudgetShare;
pub use router::{Ending, Plan, RefusalCause, Refused, Router, RouterSettings, Target};
pub use servers::{ServerChanges, ServerEntry, ServerState, Servers};
pub use settings::FrontSettings;
pub use traffic_split::TrafficSplitter;
