//! Messages between entry hosts, encoded with `prost`.
//!
//! Field numbers are never reused. `docs/platform-path.md`, "Between hosts", says which host sends
//! what.

mod crashes;
mod quotas;
mod service_time;
mod table;

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{
    Departure, Overload, RateLimit, RateLimitReport, ServerEntry, StoreRevision,
};
use prost::{Message, Oneof};

pub(crate) use crashes::CrashesMessage;
pub(crate) use quotas::{TenantNeed, TenantShareMessage, TenantUsageMessage};
pub(crate) use service_time::ServiceTimeMessage;
pub(crate) use table::TableMessage;

/// The frame of every message.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Envelope {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14")]
    pub(crate) body: Option<Body>,
}

/// The content of a message.
#[derive(Clone, Oneof, PartialEq)]
pub(crate) enum Body {
    /// Asks the leader to accept the sender as a follower.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// Heartbeat of the leader.
    #[prost(message, tag = "2")]
    Heartbeat(Heartbeat),
    /// Report of a follower; the reply to a heartbeat.
    #[prost(message, tag = "3")]
    Report(Report),
    /// The whole routing table of keys.
    #[prost(message, tag = "4")]
    Table(TableMessage),
    /// The leader is shutting down.
    #[prost(bool, tag = "5")]
    Resign(bool),
    /// Asks a host how long it has not heard the leader.
    #[prost(bool, tag = "6")]
    QuerySilence(bool),
    /// Milliseconds since the sender last heard the leader.
    #[prost(uint64, tag = "7")]
    SilenceMillis(u64),
    /// Changes of the routing table since the previous version.
    #[prost(message, tag = "8")]
    TableChanges(TableMessage),
    /// Requests the whole table, since the sender has missed a change.
    #[prost(bool, tag = "9")]
    RequestTable(bool),
    /// Changes that the leader has read from the store.
    #[prost(message, tag = "10")]
    StoreUpdate(StoreUpdate),
    /// Asks for more requests to a server that names a limit, or of a tenant with a quota.
    #[prost(message, tag = "11")]
    RequestAllowance(RequestAllowance),
    /// The reply to it.
    #[prost(message, tag = "12")]
    Allowance(Allowance),
    /// Tells a host that does not follow the sender that the sender leads.
    #[prost(message, tag = "13")]
    Announce(Announcement),
    /// Asks a host that hears the leader for its routing table, if that is later than this one, of which
    /// only the term and the version are filled in.
    #[prost(message, tag = "14")]
    QueryTable(TableMessage),
}

/// The leader of a term.
#[derive(Clone, Eq, Message, PartialEq)]
pub(crate) struct Announcement {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    #[prost(string, tag = "2")]
    pub(crate) leader: String,
    /// The address at which other hosts reach it.
    #[prost(string, tag = "3")]
    pub(crate) address: String,
}

/// A follower's request for more requests than its share of a limit allows: one to a server, or some of
/// a tenant.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct RequestAllowance {
    /// Number that the reply repeats.
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// The limit of the server as the sender knows it.
    #[prost(message, optional, tag = "2")]
    pub(crate) limit: Option<LimitMessage>,
    /// The tenant, if its quota is the limit. A leader that does not know this field grants nothing.
    #[prost(message, optional, tag = "3")]
    pub(crate) need: Option<TenantNeed>,
}

/// The leader's reply to a [`RequestAllowance`].
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Allowance {
    #[prost(uint64, tag = "1")]
    pub(crate) number: u64,
    /// Milliseconds until there may be one; missing if the request may be sent.
    #[prost(uint64, optional, tag = "2")]
    pub(crate) wait_ms: Option<u64>,
    /// Number of requests that may be sent; missing for one.
    #[prost(uint32, optional, tag = "3")]
    pub(crate) granted: Option<u32>,
}

impl Allowance {
    /// The reply: the number of requests that may be sent, or the time until there may be one.
    pub(crate) fn new(number: u64, reply: Result<u32, Duration>) -> Self {
        Self {
            number,
            wait_ms: reply.err().map(|wait| wait.as_millis() as u64),
            granted: reply.ok(),
        }
    }

    pub(crate) fn to_reply(&self) -> Result<u32, Duration> {
        match self.wait_ms {
            None => Ok(self.granted.unwrap_or(1)),
            Some(millis) => Err(Duration::from_millis(millis)),
        }
    }
}

/// Identifies a follower.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Hello {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    /// The address at which the follower serves requests of hosts that reach no server.
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    #[prost(string, tag = "3")]
    pub(crate) domain: String,
    /// Whether the follower reaches no server.
    #[prost(bool, tag = "4")]
    pub(crate) lacks_servers: bool,
}

/// A host that serves requests of hosts that reach no server.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct HelperMessage {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
    #[prost(string, tag = "2")]
    pub(crate) address: String,
    #[prost(string, tag = "3")]
    pub(crate) domain: String,
}

/// A heartbeat of the leader.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Heartbeat {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    /// The sender's clock in microseconds, echoed in the report.
    #[prost(uint64, tag = "2")]
    pub(crate) sent_at: u64,
    /// Number of hosts among which limits are divided.
    #[prost(uint32, tag = "3")]
    pub(crate) host_count: u32,
    /// Whether the sender can reach the store.
    #[prost(bool, tag = "4")]
    pub(crate) store_reachable: bool,
    /// The revision of the last change of each watched kind, in the order of
    /// [`crate::watch::KINDS`].
    #[prost(uint64, repeated, tag = "5")]
    pub(crate) changes: Vec<u64>,
    /// Milliseconds since the store last responded to the sender, for each kind in the same order.
    #[prost(uint64, repeated, tag = "6")]
    pub(crate) ages_ms: Vec<u64>,
    /// Servers with more requests for their keys than they can serve.
    #[prost(message, repeated, tag = "7")]
    pub(crate) overloads: Vec<OverloadMessage>,
    /// The receiver's share of the requests for each service.
    #[prost(message, repeated, tag = "8")]
    pub(crate) demand_shares: Vec<DemandShareMessage>,
    /// Whether the sender counts out what is left of servers' limits; see [`RequestAllowance`].
    #[prost(bool, tag = "9")]
    pub(crate) counts_limits: bool,
    /// The latest era of the store's history that the sender knows of.
    #[prost(uint64, tag = "10")]
    pub(crate) store_era: u64,
    /// The era of each revision in `changes`.
    #[prost(uint64, repeated, tag = "11")]
    pub(crate) change_eras: Vec<u64>,
    /// Hosts that reach servers, if they have changed.
    #[prost(message, repeated, tag = "12")]
    pub(crate) helpers: Vec<HelperMessage>,
    /// Servers that responses have lately told to leave; all of them in the first heartbeat.
    #[prost(message, repeated, tag = "13")]
    pub(crate) departures: Vec<DepartureMessage>,
    /// Requests that hosts have lately learnt to crash servers, or to crash none; all of them in the
    /// first heartbeat.
    #[prost(message, optional, tag = "14")]
    pub(crate) crashes: Option<CrashesMessage>,
    /// The receiver's shares of tenants' quotas.
    #[prost(message, repeated, tag = "15")]
    pub(crate) tenant_shares: Vec<TenantShareMessage>,
    /// Whether the sender counts out what is left of tenants' quotas; see [`RequestAllowance`].
    #[prost(bool, tag = "16")]
    pub(crate) counts_quotas: bool,
}

impl Heartbeat {
    /// The revisions in `changes`, with their eras.
    pub(crate) fn change_revisions(&self) -> impl Iterator<Item = StoreRevision> {
        let eras = self.change_eras.iter();
        let changes = self.changes.iter().zip(eras);
        changes.map(|(change, era)| StoreRevision::new(*era, *change))
    }
}

/// A host's share of the requests for a service.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct DemandShareMessage {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Millionths of the requests.
    #[prost(uint32, tag = "2")]
    pub(crate) millionths: u32,
}

impl DemandShareMessage {
    pub(crate) fn new(service: &str, share: f64) -> Self {
        Self {
            service: service.to_owned(),
            millionths: (share * 1e6) as u32,
        }
    }

    pub(crate) fn to_share(&self) -> (Arc<str>, f64) {
        let share = f64::from(self.millionths) / 1e6;
        (Arc::from(self.service.as_str()), share)
    }
}

/// A server with more requests for its keys than it can serve.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct OverloadMessage {
    #[prost(string, tag = "1")]
    pub(crate) server: String,
    /// Thousandths of the requests that it can serve.
    #[prost(uint32, tag = "2")]
    pub(crate) permille: u32,
}

impl From<&Overload> for OverloadMessage {
    fn from(overload: &Overload) -> Self {
        Self {
            server: overload.server.to_string(),
            permille: (overload.share * 1_000.0) as u32,
        }
    }
}

impl From<&OverloadMessage> for Overload {
    fn from(message: &OverloadMessage) -> Self {
        Self {
            server: Arc::from(message.server.as_str()),
            share: f64::from(message.permille) / 1_000.0,
        }
    }
}

/// Changes of one kind of store object between two revisions.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct StoreUpdate {
    /// The index of the kind in [`crate::watch::KINDS`].
    #[prost(uint32, tag = "1")]
    pub(crate) kind: u32,
    #[prost(uint64, tag = "2")]
    pub(crate) from: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) to: u64,
    /// Entries of servers that are new or have changed.
    #[prost(message, repeated, tag = "4")]
    pub(crate) entries: Vec<EntryMessage>,
    /// Identifiers of servers whose entries were removed.
    #[prost(string, repeated, tag = "5")]
    pub(crate) removed: Vec<String>,
    /// All failure domains that operators have taken out of service.
    #[prost(string, repeated, tag = "6")]
    pub(crate) domains: Vec<String>,
    /// Milliseconds in which removed entries may still reappear after an outage of the store.
    #[prost(uint64, tag = "7")]
    pub(crate) reregistration_ms: u64,
    /// The era of the store's history that the revisions belong to.
    #[prost(uint64, tag = "8")]
    pub(crate) era: u64,
    /// Whether `entries` and `domains` are all objects as of `to`, which `from` does not precede.
    #[prost(bool, tag = "9")]
    pub(crate) is_list: bool,
    /// Identifiers of servers whose entries cannot be read at present.
    #[prost(string, repeated, tag = "10")]
    pub(crate) unreadable: Vec<String>,
}

/// A server's entry in the store.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct EntryMessage {
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    #[prost(string, tag = "3")]
    pub(crate) address: String,
    #[prost(string, tag = "4")]
    pub(crate) domain: String,
    #[prost(uint32, tag = "5")]
    pub(crate) slots: u32,
    #[prost(bool, tag = "6")]
    pub(crate) draining: bool,
    /// Milliseconds until it is warm.
    #[prost(uint64, tag = "7")]
    pub(crate) cold_ms: u64,
    #[prost(uint64, optional, tag = "8")]
    pub(crate) born: Option<u64>,
}

impl From<&ServerEntry> for EntryMessage {
    fn from(entry: &ServerEntry) -> Self {
        Self {
            id: entry.id.to_string(),
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            domain: entry.domain.clone(),
            slots: entry.slots,
            draining: entry.draining,
            cold_ms: entry.warmup_left.as_millis() as u64,
            born: entry.start_id,
        }
    }
}

impl EntryMessage {
    /// Decodes the entry; `None` if its address is invalid.
    pub(crate) fn to_entry(&self) -> Option<ServerEntry> {
        Some(ServerEntry {
            id: Arc::from(self.id.as_str()),
            service: Arc::from(self.service.as_str()),
            address: self.address.parse().ok()?,
            domain: self.domain.clone(),
            slots: self.slots,
            draining: self.draining,
            warmup_left: Duration::from_millis(self.cold_ms),
            start_id: self.born,
        })
    }
}

/// What a follower has seen since its last report.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Report {
    /// The clock value of the heartbeat that this report replies to.
    #[prost(uint64, tag = "1")]
    pub(crate) echo: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) key_counts: Vec<KeyCounts>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) missing: Vec<MissingKey>,
    /// The latest term that the sender knows of, or 0.
    #[prost(uint64, tag = "4")]
    pub(crate) term: u64,
    /// Servers whose responses have named a limit or ended one.
    #[prost(message, repeated, tag = "5")]
    pub(crate) limits: Vec<LimitMessage>,
    /// The latest era of the store's history that the sender knows of.
    #[prost(uint64, tag = "6")]
    pub(crate) store_era: u64,
    /// Whether the sender reaches no server.
    #[prost(bool, tag = "7")]
    pub(crate) lacks_servers: bool,
    /// Servers whose responses have told that they leave.
    #[prost(message, repeated, tag = "8")]
    pub(crate) departures: Vec<DepartureMessage>,
    /// Requests that the sender has seen crash servers, or crash none; all that it knows of in the first
    /// report to a leader.
    #[prost(message, optional, tag = "9")]
    pub(crate) crashes: Option<CrashesMessage>,
    /// Service times of servers with keys; an earlier release sends none.
    #[prost(message, repeated, tag = "10")]
    pub(crate) service_times: Vec<ServiceTimeMessage>,
    /// Requests of tenants with quotas, and the shares that the sender holds.
    #[prost(message, repeated, tag = "11")]
    pub(crate) tenants: Vec<TenantUsageMessage>,
}

/// A server that has told in a response that it leaves.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct DepartureMessage {
    #[prost(string, tag = "1")]
    pub(crate) server: String,
    /// Start of the server's process.
    #[prost(uint64, optional, tag = "2")]
    pub(crate) born: Option<u64>,
}

impl From<&Departure> for DepartureMessage {
    fn from(departure: &Departure) -> Self {
        Self {
            server: departure.server.to_string(),
            born: departure.start_id,
        }
    }
}

impl From<&DepartureMessage> for Departure {
    fn from(message: &DepartureMessage) -> Self {
        Self {
            server: Arc::from(message.server.as_str()),
            start_id: message.born,
        }
    }
}

/// The limit of a server on requests per second.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct LimitMessage {
    #[prost(string, tag = "1")]
    pub(crate) server: String,
    /// Start of the server's process.
    #[prost(uint64, optional, tag = "2")]
    pub(crate) born: Option<u64>,
    /// Requests per second; missing if the limit has ended.
    #[prost(double, optional, tag = "3")]
    pub(crate) per_second: Option<f64>,
    /// Milliseconds since the response that tells it.
    #[prost(uint64, tag = "4")]
    pub(crate) age_ms: u64,
}

impl From<RateLimitReport> for LimitMessage {
    fn from(report: RateLimitReport) -> Self {
        Self {
            server: report.server.to_string(),
            born: report.start_id,
            per_second: report.limit.map(RateLimit::per_second),
            age_ms: report.age.as_millis() as u64,
        }
    }
}

impl From<LimitMessage> for RateLimitReport {
    fn from(message: LimitMessage) -> Self {
        Self {
            server: Arc::from(message.server),
            start_id: message.born,
            limit: message.per_second.and_then(RateLimit::new),
            age: Duration::from_millis(message.age_ms),
        }
    }
}

/// Request counts of one service by key.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct KeyCounts {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint32, repeated, tag = "2")]
    pub(crate) keys: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) counts: Vec<u32>,
}

/// A server that does not hold a key that it should.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct MissingKey {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint32, tag = "2")]
    pub(crate) key: u32,
    #[prost(string, tag = "3")]
    pub(crate) server: String,
}
