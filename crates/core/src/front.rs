//! Routing decisions of an entry host that sends requests directly to backend servers.
//!
//! A [`Router`] selects a server for each request or refuses the request. The [`Granter`] of the
//! leader, of which there is at most one at a time, assigns the keys of keyed services to servers.
//! Neither does I/O. `docs/platform-path.md` records the design and the alternatives that were
//! considered.

mod admission;
mod balance;
mod config;
mod crash_tracker;
mod demand_shares;
mod freshness;
mod granter;
mod host_delay;
mod load;
mod members;
mod placement;
mod quota;
mod quota_ledger;
mod rate_limit;
mod rate_pool;
mod rate_share;
mod response_order;
mod retry_budget;
mod router;
mod server_signals;
mod server_speeds;
mod servers;
mod settings;
mod store_revision;
mod tenant;
mod transit_delay;
mod voters;
mod weighted_split;

pub use admission::{Admission, Overload};
pub use balance::{KeyRates, MoveCandidate, RateEstimate, ServerUsage};
pub use config::{Config, Limits, Route, Service, WeightedService};
pub use crash_tracker::{ClearanceNotice, CrashNotice, CrashNotices, CrashTracker, CrashVerdict};
pub use demand_shares::DemandShares;
pub use freshness::{Freshness, RelayStatus};
pub use granter::{ClusterState, Granter, GranterTiming, Order, OrderReply};
pub use host_delay::HostDelay;
pub use load::{LoadReport, ServerLoad};
pub use members::Members;
pub use placement::{KeySpan, Placement, RoutingSpan, RoutingTable, first_term};
pub use quota::QuotaTolerance;
pub use quota_ledger::QuotaLedger;
pub use rate_limit::RateLimit;
pub use rate_pool::RatePool;
pub use rate_share::{RateBound, RateShareLimiter};
pub use response_order::{MAX_IN_FLIGHT, NextResponse, ResponseOrder, Ticket};
pub use retry_budget::RetryBudgetShare;
pub use router::{
    AllowanceNeed, AttemptOutcome, Credentials, RateLimitReport, RefusalCause, RoutePlan,
    RouteRefusal, Router, RouterSettings, Target, TenantUsage,
};
pub use server_signals::{Departure, LimitSignal, ServerSignals};
pub use server_speeds::{ServerSpeeds, ServiceTime, ServiceTimes};
pub use servers::{ServerChanges, ServerEntry, ServerState, Servers};
pub use settings::FrontSettings;
pub use store_revision::StoreRevision;
pub use tenant::{Quota, Tenant, Tenants};
pub use transit_delay::TransitDelay;
pub use weighted_split::WeightedSplitter;
