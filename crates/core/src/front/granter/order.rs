//! What a granter looks at, orders and is told.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::front::config::Config;
use crate::front::placement::Placement;
use crate::front::servers::{Servers, Standing};
use crate::ids::CallId;
use crate::log::Record;

/// Spans of time that grants follow.
#[derive(Clone, Copy, Debug)]
pub struct GranterTiming {
    /// How long a grant holds, counted from its arrival.
    pub hold: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
    /// Time without a confirmation after which nothing is granted any more.
    pub authority: Duration,
    /// What is added to the worst-case end of a hold for transit and for slow clocks.
    pub margin: Duration,
    /// Time after the last change before moves that have ended are taken off record.
    pub tidy: Duration,
}

impl GranterTiming {
    /// Two in a hundred is how slow a server's clock may run.
    pub(super) fn worst(&self) -> Duration {
        self.hold.mul_f64(1.02) + self.margin
    }
}

/// What the granter looks at.
#[derive(Clone, Copy, Debug)]
pub struct World<'a> {
    /// The servers.
    pub servers: &'a Servers,
    /// The configuration.
    pub config: &'a Config,
    /// The usual time of work of each service.
    pub usual: &'a BTreeMap<Arc<str>, Duration>,
    /// Failure domains that operators have taken out.
    pub evacuated: &'a BTreeSet<String>,
}

impl World<'_> {
    pub(super) fn find(&self, id: &str) -> Option<&Standing> {
        self.servers.get(self.servers.find(id)?)
    }

    pub(super) fn is_usable(&self, service: &str, id: &str) -> bool {
        self.find(id).is_some_and(|standing| {
            let entry = &standing.entry;
            &*entry.service == service && !entry.draining && !self.evacuated.contains(&entry.domain)
        })
    }

    pub(super) fn usable(&self, service: &str) -> Vec<&Standing> {
        let keys = self.servers.of(service).iter();
        keys.filter_map(|key| self.servers.get(*key))
            .filter(|standing| self.is_usable(service, &standing.entry.id))
            .collect()
    }
}

/// Something that has to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Keys are granted, or their grant is renewed.
    Grant {
        /// Names the call when it is answered.
        call: CallId,
        /// The server.
        server: Arc<str>,
        /// Where it listens.
        address: SocketAddr,
        /// The first key.
        from: u16,
        /// The last key.
        to: u16,
        /// The fence token.
        fence: u64,
        /// How long the grant holds.
        hold: Duration,
        /// What the last holder handed over.
        handover: Option<String>,
        /// Whether the order only counts on a connection that is still open from the grant: a
        /// new one may lead to a new life of the server.
        renewal: bool,
    },
    /// Keys are taken back.
    Release {
        /// Names the call when it is answered.
        call: CallId,
        /// The server.
        server: Arc<str>,
        /// Where it listens.
        address: SocketAddr,
        /// The first key.
        from: u16,
        /// The last key.
        to: u16,
        /// The fence token.
        fence: u64,
    },
    /// The record has to be written.
    Write(Placement),
    /// Something for the log.
    Log(Record),
}

/// How an order ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The server did it; a release may have a hand-over.
    Done(Option<String>),
    /// The server has seen a higher fence token.
    Fenced,
    /// Another server is at the address, or none of ours.
    Wrong,
    /// Nothing was sent, since the connection of the grant is gone; there is a new one.
    Reconnected,
    /// Nothing was sent.
    Unsent,
    /// There was no answer, and the connection is aborted.
    Unknown,
}
