//! Counters and their text format; `docs/metrics.md` lists them.

use std::fmt::Write as _;
use std::sync::atomic::{AtomicU64, Ordering};

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident = $text:literal;)*) => {
        /// Counts since the start of the process.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub(crate) $name: Counter,)*
        }

        impl Counters {
            /// The name of every counter.
            pub const NAMES: &'static [&'static str] = &[$(concat!("amaranthshunt_", $text),)*];

            /// Every counter in the Prometheus text format.
            pub(crate) fn to_text(&self) -> String {
                let mut text = String::new();
                $(
                    let name = concat!("amaranthshunt_", $text);
                    // Writing to a string cannot fail.
                    let _ = writeln!(text, "# TYPE {name} counter\n{name} {}", self.$name.get());
                )*
                text
            }
        }
    };
}

counters! {
    /// Requests answered with a server's response.
    answered = "requests_answered_total";
    /// Requests refused as not run.
    refused = "requests_refused_total";
    /// Requests refused because of a limit that a server names.
    limited = "requests_limited_total";
    /// Requests refused because servers have asked for a pause.
    paused = "requests_paused_total";
    /// Requests refused because they have crashed servers.
    quarantined = "requests_quarantined_total";
    /// Requests passed on to other hosts, since this one reached no server.
    relayed = "requests_relayed_total";
    /// Requests started before the earlier ones of their connection were answered.
    pipelined = "requests_pipelined_total";
    /// Requests to the leader for more than this host's share of a limit.
    allowances_asked = "allowances_asked_total";
    /// Requests refused because the quota of their tenant is used up.
    over_quota = "requests_over_quota_total";
    /// Requests to the leader for more than this host's share of a tenant's quota.
    tenant_allowances_asked = "tenant_allowances_asked_total";
    /// Requests of tenants that the leader has granted beyond this host's share.
    tenant_allowances_granted = "tenant_allowances_granted_total";
    /// Requests that may have run but have no response.
    doubtful = "requests_doubtful_total";
    /// Requests whose caller disconnected.
    abandoned = "requests_left_total";
    /// Connections of callers refused because there were too many.
    callers_refused = "callers_refused_total";
    /// Connections of callers closed to make room for new ones.
    callers_closed = "callers_closed_total";
    /// Request bodies ended because others needed their memory or place.
    bodies_given_way = "bodies_given_way_total";
    /// Request bodies ended because they made no progress or took too long.
    bodies_timed_out = "bodies_timed_out_total";
    /// Retries sent to servers.
    retries = "requests_repeated_total";
    /// Connections opened to servers.
    connections_opened = "connections_opened_total";
    /// Grants and renewals sent.
    grants = "grants_total";
    /// Releases sent.
    releases = "releases_total";
    /// Keys whose move to another server because of load this host has begun as the leader.
    keys_moved = "keys_moved_total";
    /// Calls to the store.
    store_calls = "store_calls_total";
}

/// A counter that only increases.
#[derive(Debug, Default)]
pub struct Counter(AtomicU64);

impl Counter {
    /// Adds one.
    pub(crate) fn add(&self) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    /// Adds a number.
    pub(crate) fn add_many(&self, number: u64) {
        self.0.fetch_add(number, Ordering::Relaxed);
    }

    /// The current value.
    pub(crate) fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}
