//! Grants keys to backend servers: which server holds which keys, until when, and which keys move.
//!
//! Only the leader grants keys. The store's record, written conditionally, names the leader and its
//! term. Every fence token starts with the term, so that the tokens of a later granter are higher
//! than all earlier ones. `docs/platform-path.md`, "Keys", gives the reason for each waiting time.

mod era;
mod moves;
mod order;
mod rebalance;
mod replies;
mod span;
mod speeds;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::admission::Overload;
use super::balance::KeyRates;
use super::placement::{KeySpan, Placement, RoutingSpan, RoutingTable};
use super::server_speeds::ServerSpeeds;
use super::voters::Voters;
use crate::ids::CallId;
use crate::log::{EventCode, LogRecord};
use crate::time::Time;

pub use order::{ClusterState, GranterTiming, Order, OrderReply};
use span::{Holder, Span, Stage};

/// Number of bits of a fence token below the term.
const TERM_SHIFT: u32 = 24;
/// Interval at which the load of a service is rebalanced.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(400);
/// Delay before a failed order is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// A grant without an answer, which the server may still apply.
#[derive(Clone, Debug)]
struct UnansweredGrant {
    server: Arc<str>,
    from: u16,
    to: u16,
    /// Its fence token; a server that has accepted a higher one rejects it.
    fence: u64,
    /// Until when the server may hold the keys because of it.
    until: Time,
}

/// Grants keys for as long as its host is confirmed to be the leader.
#[derive(Clone, Debug)]
pub struct Granter {
    timing: GranterTiming,
    term: u64,
    leader: String,
    address: SocketAddr,
    services: BTreeMap<Arc<str>, Vec<Span>>,
    /// The era of the store in which this host has written its term.
    era: u64,
    /// The era of which the record lists all holders.
    complete_era: Option<u64>,
    /// Whether the store may have lost moves of earlier granters, so that any server may hold any
    /// key until their leases have expired.
    holders_unknown: bool,
    key_rates: BTreeMap<Arc<str>, KeyRates>,
    speeds: ServerSpeeds,
    /// Whether keys are placed by the servers' measured speed.
    weighs_load: bool,
    /// Keys whose move because of load has begun.
    moved_keys: u64,
    unanswered_grants: Vec<UnansweredGrant>,
    /// When this host was last confirmed to be the leader.
    confirmed_at: Time,
    /// When the record in the store last confirmed it.
    recorded_at: Time,
    /// When a server last rejected a grant because of a higher token, unless the record has confirmed
    /// this host since.
    fenced_at: Option<Time>,
    started: Time,
    voters: Voters,
    /// Since when no earlier granter can be confirmed any more, because a majority of the voters follows
    /// this one.
    majority_since: Option<Time>,
    last_call: u64,
    last_fence: u64,
    next_version: u64,
    written_version: u64,
    write_pending: bool,
    record_outdated: bool,
    /// End of the latest move that the record still lists.
    move_ended: Option<Time>,
    last_rebalance: Time,
    table: RoutingTable,
    overloads: Vec<Overload>,
    orders: Vec<Order>,
}

impl Granter {
    /// Takes over from the record in which this host has just written its name.
    ///
    /// Servers in the record may hold their keys under an earlier granter for as long as that one
    /// could still renew leases, plus the duration of a lease. If the record is of an earlier era of
    /// the store than `era`, so may any other server.
    ///
    /// `written_from` is the time from which on the record may have been written.
    pub fn new(
        now: Time,
        written_from: Time,
        record: &Placement,
        era: u64,
        timing: GranterTiming,
    ) -> Self {
        let voters = Voters::new(now, record.voters.clone(), record.lists_all_holders(era));
        let mut granter = Self {
            timing,
            term: record.term,
            leader: record.leader.clone(),
            address: record.address,
            services: BTreeMap::new(),
            era,
            complete_era: record.complete_era,
            holders_unknown: !record.lists_all_holders(era),
            key_rates: BTreeMap::new(),
            speeds: ServerSpeeds::default(),
            weighs_load: false,
            moved_keys: 0,
            unanswered_grants: Vec::new(),
            confirmed_at: written_from,
            recorded_at: written_from,
            fenced_at: None,
            started: now,
            majority_since: voters.is_empty().then_some(now),
            voters,
            last_call: 0,
            last_fence: 0,
            next_version: record.version + 1,
            written_version: record.version,
            write_pending: false,
            record_outdated: false,
            move_ended: None,
            last_rebalance: now,
            table: RoutingTable {
                term: record.term,
                ..RoutingTable::default()
            },
            overloads: Vec::new(),
            orders: Vec::new(),
        };
        for (service, spans) in &record.services {
            let spans = merge_spans(spans);
            let spans = spans
                .iter()
                .map(|span| granter.adopt_span(now, span))
                .collect();
            granter.services.insert(service.clone(), spans);
        }
        granter
    }

    /// Converts a span of the record under which an earlier granter issued leases.
    fn adopt_span(&mut self, now: Time, span: &KeySpan) -> Span {
        let predecessor_expiry = now + self.timing.max_lease_after_confirmation();
        let fence = self.new_fence_token();
        let holder = |server: &Arc<str>, confirmed| Holder {
            server: server.clone(),
            start_id: None,
            fence,
            handover: None,
            confirmed,
            inherited: true,
            token_accepted: false,
            accepted_since: None,
            pending_call: None,
            pending_outdated: false,
            next_grant: now,
            failed_grants: 0,
            earliest_expiry: now + self.timing.lease,
            latest_expiry: predecessor_expiry,
        };
        // The progress of a move under the earlier granter is not known: either server may hold the
        // keys, and a grant to one of them could overlap with the lease of the other.
        let (holder, stage) = match (&span.owner, &span.previous) {
            (Some(server), _) | (None, Some(server)) if self.holders_unknown => {
                (None, Stage::expiring(server.clone(), predecessor_expiry))
            }
            (Some(owner), Some(_)) => (None, Stage::expiring(owner.clone(), predecessor_expiry)),
            (Some(owner), None) => (Some(holder(owner, true)), Stage::Held),
            (None, previous) => (
                previous.as_ref().map(|server| holder(server, false)),
                Stage::Held,
            ),
        };
        Span {
            from: span.from,
            to: span.to,
            free_at: if self.holders_unknown {
                predecessor_expiry
            } else {
                now
            },
            pending_handover: None,
            previous_server: span.previous.clone().filter(|_| holder.is_none()),
            holder,
            stage,
        }
    }

    /// Term of this granter.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The current routing table.
    pub fn table(&self) -> &RoutingTable {
        &self.table
    }

    /// The servers with more requests for their keys than they can serve, as of the last
    /// rebalancing.
    pub fn overloads(&self) -> &[Overload] {
        &self.overloads
    }

    /// Records that the record named this host in its own term when it was read or written, at the time
    /// `at`.
    pub fn confirm_by_record(&mut self, at: Time) {
        self.fenced_at = self.fenced_at.filter(|fenced_at| at <= *fenced_at);
        self.recorded_at = self.recorded_at.max(at);
        if self.fenced_at.is_none() {
            self.confirmed_at = self.confirmed_at.max(at);
        }
    }

    /// Records the last reply of each follower, as the time of the heartbeat that it answers; returns
    /// until when a majority has confirmed this host. `known` is the number of all known hosts.
    ///
    /// After a server has rejected a token, only the record tells whether there is a later leader.
    pub fn confirm_by_hosts(
        &mut self,
        now: Time,
        replies: &BTreeMap<String, Time>,
        known: usize,
    ) -> Option<Time> {
        self.voters.record_replies(replies);
        let reply = self.majority_reply(now, replies, known)?;
        if reply > self.started {
            self.majority_since.get_or_insert(now);
        }
        if self.fenced_at.is_some() {
            return None;
        }
        self.confirmed_at = self.confirmed_at.max(reply);
        Some(reply)
    }

    /// The latest time at which a majority of the hosts, this one included, knew of no later leader;
    /// `None` if too few follow.
    pub fn majority_reply(
        &self,
        now: Time,
        replies: &BTreeMap<String, Time>,
        known: usize,
    ) -> Option<Time> {
        self.voters
            .majority_reply(now, &self.leader, replies, known)
    }

    /// Time since the record last confirmed this host.
    pub fn record_age(&self, now: Time) -> Duration {
        now.since(self.recorded_at)
    }

    /// Whether an earlier granter can certainly send no more orders.
    ///
    /// Until then it may grant keys to a server that has restarted, which no longer knows the
    /// higher token of this granter.
    fn predecessor_silenced(&self, now: Time) -> bool {
        let silence = self.timing.silence_after_confirmation();
        self.takeover_complete_at()
            .is_some_and(|complete_at| now >= complete_at + silence)
    }

    /// From when on no earlier granter is confirmed any more, if that is known.
    ///
    /// Hosts that do not answer may be gone, or cut off together with an earlier leader that they
    /// confirm. Without the store, that leader stops by itself, unless it is of an earlier version.
    fn takeover_complete_at(&self) -> Option<Time> {
        let is_bounded = self.voters.is_listed();
        let bound = is_bounded.then(|| self.started + self.timing.storeless_limit);
        self.majority_since.into_iter().chain(bound).min()
    }

    /// Whether every lease of an earlier granter has certainly expired.
    fn predecessor_expired(&self, now: Time) -> bool {
        let lease = self.timing.max_lease_after_confirmation();
        self.takeover_complete_at()
            .is_some_and(|complete_at| now >= complete_at + lease)
    }

    /// Whether this host may issue orders.
    pub fn is_confirmed(&self, now: Time) -> bool {
        now.since(self.confirmed_at) < self.timing.confirmation_timeout
            && now.since(self.recorded_at) < self.timing.storeless_limit
    }

    /// Adds the number of requests per key that a host received.
    pub fn add_key_counts(
        &mut self,
        now: Time,
        service: &Arc<str>,
        counts: impl IntoIterator<Item = (u16, u32)>,
    ) {
        self.key_rates
            .entry(service.clone())
            .or_default()
            .record(now, counts);
    }

    /// Advances all spans as far as possible and returns the resulting orders.
    pub fn advance(&mut self, now: Time, cluster: ClusterState<'_>) -> Vec<Order> {
        if !self.is_confirmed(now) {
            return std::mem::take(&mut self.orders);
        }
        self.unanswered_grants.retain(|grant| grant.until > now);
        if self.holders_unknown && self.predecessor_expired(now) {
            self.holders_unknown = false;
            self.complete_era = Some(self.era);
            self.record_outdated = true;
        }
        self.assign_new_services(now, cluster);
        let services: Vec<Arc<str>> = self.services.keys().cloned().collect();
        for service in &services {
            let spans = self.services.remove(service).unwrap_or_default();
            let mut next_spans = Vec::with_capacity(spans.len());
            for span in spans {
                next_spans.extend(self.advance_span(now, cluster, service, span));
            }
            self.services.insert(service.clone(), next_spans);
        }
        if now.since(self.last_rebalance) >= self.rebalance_interval() {
            self.last_rebalance = now;
            self.overloads.clear();
            self.speeds.forget_old(now);
            for service in &services {
                let overloads = self.find_overloads(now, cluster, service);
                self.overloads.extend(overloads);
                self.rebalance(now, cluster, service);
            }
        }
        if self.majority_since.is_some() && self.voters.propose(now, &self.leader) {
            self.record_outdated = true;
        }
        self.write_record(now);
        self.update_table();
        std::mem::take(&mut self.orders)
    }

    /// Records that a version of the record was written.
    pub fn mark_written(&mut self, now: Time, version: u64) {
        self.written_version = self.written_version.max(version);
        self.write_pending = false;
        self.voters.mark_written(now, version);
    }

    /// Whether a version of the record, or a later one, was written.
    pub fn is_written(&self, version: u64) -> bool {
        self.written_version >= version
    }

    fn write_record(&mut self, now: Time) {
        if self.write_pending || !(self.record_outdated || self.is_cleanup_due(now)) {
            return;
        }
        let placement = self.next_record();
        self.orders.push(Order::Write(placement));
    }

    /// The next version of the record, which moves wait for from now on.
    fn next_record(&mut self) -> Placement {
        let version = self.next_version;
        self.next_version += 1;
        for span in self.services.values_mut().flatten() {
            if let Stage::Recording {
                version: awaited, ..
            } = &mut span.stage
                && *awaited > self.written_version
            {
                *awaited = version;
            }
        }
        self.write_pending = true;
        self.record_outdated = false;
        self.move_ended = None;
        let voters = self.voters.list_for(version);
        self.build_record(version, voters)
    }

    /// Whether finished moves should be removed from the record.
    fn is_cleanup_due(&self, now: Time) -> bool {
        let is_due = self
            .move_ended
            .is_some_and(|move_ended| now.since(move_ended) >= self.timing.cleanup_delay);
        is_due && !self.services.values().flatten().any(Span::is_moving)
    }

    fn build_record(&self, version: u64, voters: Option<BTreeSet<String>>) -> Placement {
        let spans = |spans: &Vec<Span>| {
            let spans = spans.iter().map(|span| {
                let current = span.holder.as_ref().map(|holder| holder.server.clone());
                KeySpan {
                    from: span.from,
                    to: span.to,
                    owner: span.target().cloned(),
                    previous: current
                        .filter(|_| span.is_moving())
                        .or_else(|| span.previous_server.clone()),
                }
            });
            spans.collect()
        };
        let services = self.services.iter();
        Placement {
            term: self.term,
            version,
            leader: self.leader.clone(),
            address: self.address,
            services: services
                .map(|(name, list)| (name.clone(), spans(list)))
                .collect(),
            complete_era: self.complete_era,
            voters,
        }
    }

    fn update_table(&mut self) {
        let holders_unknown = self.holders_unknown;
        let server = |span: &Span| {
            let presumed = span.target().filter(|_| holders_unknown);
            span.serving().or(presumed).cloned()
        };
        let spans = |spans: &Vec<Span>| {
            let spans = spans.iter().map(|span| RoutingSpan {
                from: span.from,
                to: span.to,
                server: server(span),
            });
            spans.collect::<Vec<_>>()
        };
        let services = self.services.iter();
        let services = services
            .map(|(name, list)| (name.clone(), spans(list)))
            .collect();
        if self.table.services != services || self.table.version == 0 {
            self.table.services = services;
            self.table.version += 1;
        }
    }

    fn new_call_id(&mut self) -> CallId {
        self.last_call += 1;
        CallId(self.last_call)
    }

    fn new_fence_token(&mut self) -> u64 {
        self.last_fence += 1;
        (self.term << TERM_SHIFT) | self.last_fence
    }

    fn log(&mut self, code: EventCode, subject: &str, detail: &str) {
        self.orders
            .push(Order::Log(LogRecord::new(code, subject, detail)));
    }
}

/// Merges adjacent spans of the same server, so that a new granter has fewer leases to renew.
fn merge_spans(spans: &[KeySpan]) -> Vec<KeySpan> {
    let mut merged: Vec<KeySpan> = Vec::new();
    for span in spans {
        match merged.last_mut() {
            Some(last) if last.owner == span.owner && last.previous == span.previous => {
                last.to = span.to;
            }
            _ => merged.push(span.clone()),
        }
    }
    merged
}
