//! Inputs, orders and replies of a granter.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::front::config::Config;
use crate::front::placement::Placement;
use crate::front::servers::{ServerState, Servers};
use crate::ids::CallId;
use crate::log::LogRecord;

/// Durations that grants depend on.
#[derive(Clone, Copy, Debug)]
pub struct GranterTiming {
    /// Lease duration of a grant, counted from its arrival.
    pub lease: Duration,
    /// Interval between renewals.
    pub renewal_interval: Duration,
    /// Time without confirmation after which nothing is granted any more.
    pub confirmation_timeout: Duration,
    /// Time after which the connection of an unanswered order is aborted, so that the order can no
    /// longer arrive.
    pub order_timeout: Duration,
    /// Allowance for transit and slow clocks in the latest expiry of a lease.
    pub expiry_margin: Duration,
    /// Time after the last change until finished moves are removed from the record.
    pub cleanup_delay: Duration,
    /// Time without a confirmation by the record in the store after which nothing is granted any more,
    /// however many hosts follow.
    pub storeless_limit: Duration,
}

impl GranterTiming {
    /// Longest time for which a server may hold keys after a grant; its clock may run 2% slow.
    pub(super) fn max_lease(&self) -> Duration {
        self.lease.mul_f64(1.02) + self.expiry_margin
    }

    /// Time after its last confirmation from which no order of a granter can arrive any more: the
    /// last one is sent right before the confirmation times out and arrives right before it is
    /// aborted.
    pub(super) fn silence_after_confirmation(&self) -> Duration {
        self.confirmation_timeout + self.order_timeout
    }

    /// Longest time for which a server may hold keys after its granter was last confirmed.
    pub(super) fn max_lease_after_confirmation(&self) -> Duration {
        self.silence_after_confirmation() + self.max_lease()
    }
}

/// State of the deployment that a granter works with.
#[derive(Clone, Copy, Debug)]
pub struct ClusterState<'a> {
    /// The known backend servers.
    pub servers: &'a Servers,
    /// The configuration in force.
    pub config: &'a Config,
    /// The baseline latency of each service.
    pub baseline_latencies: &'a BTreeMap<Arc<str>, Duration>,
    /// Failure domains that operators have taken out of service.
    pub evacuated: &'a BTreeSet<String>,
}

impl ClusterState<'_> {
    pub(super) fn find(&self, id: &str) -> Option<&ServerState> {
        self.servers.get(self.servers.find(id)?)
    }

    pub(super) fn is_usable(&self, service: &str, id: &str) -> bool {
        self.find(id).is_some_and(|state| {
            let entry = &state.entry;
            &*entry.service == service
                && !state.is_leaving()
                && !self.evacuated.contains(&entry.domain)
        })
    }

    pub(super) fn usable(&self, service: &str) -> Vec<&ServerState> {
        let keys = self.servers.of_service(service).iter();
        keys.filter_map(|key| self.servers.get(*key))
            .filter(|state| self.is_usable(service, &state.entry.id))
            .collect()
    }
}

/// An action for the host to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Grant keys, or renew their grant.
    Grant {
        /// Identifies the call in its reply.
        call: CallId,
        /// Identifier of the server that is to hold the keys.
        server: Arc<str>,
        /// Address of the server.
        address: SocketAddr,
        /// The first key.
        from: u16,
        /// The last key.
        to: u16,
        /// The fence token.
        fence: u64,
        /// Lease duration.
        lease: Duration,
        /// Handover data of the last holder.
        handover: Option<String>,
        /// Whether to send the order only on a connection that has been open since the grant: a new
        /// connection may lead to a new incarnation of the server.
        is_renewal: bool,
    },
    /// Take keys back.
    Release {
        /// Identifies the call in its reply.
        call: CallId,
        /// Identifier of the server that is to release the keys.
        server: Arc<str>,
        /// Address of the server.
        address: SocketAddr,
        /// The first key.
        from: u16,
        /// The last key.
        to: u16,
        /// The fence token.
        fence: u64,
    },
    /// Write the record.
    Write(Placement),
    /// Write a log record.
    Log(LogRecord),
}

/// Outcome of an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The server carried it out; the reply to a release may have handover data.
    Done(Option<String>),
    /// The server has seen a higher fence token.
    Fenced,
    /// Another server, or one that is not part of the deployment, uses the address.
    WrongServer,
    /// Nothing was sent, since the connection of the grant was closed; a new one is open.
    Reconnected,
    /// Nothing was sent.
    NotSent,
    /// No answer arrived, and the connection was aborted.
    Unknown,
}
