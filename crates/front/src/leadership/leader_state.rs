//! State of the leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    DemandShares, Granter, Members, Placement, QuotaLedger, RatePool, Router, ServiceTime,
    StoreRevision, TenantUsage,
};
use async_std::channel::{Sender, TrySendError};
use bytes::Bytes;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::allowances::AllowanceReply;
use crate::clock;
use crate::entry_host::EntryHost;
use crate::link::encode_frame;
use crate::lock::lock;
use crate::messages::{Body, Hello, HelperMessage, Report, TableMessage};
use crate::orders::OrderClient;

/// Maximum number of hosts that a host is told as those that can help it.
const MAX_HELPERS: usize = 12;

/// The granter and the followers of the leader.
pub(crate) struct LeaderState {
    pub(super) granter: Mutex<Granter>,
    pub(super) followers: Mutex<BTreeMap<String, Follower>>,
    pub(super) orders: OrderClient,
    /// Hosts that serve requests for those that reach no server.
    pub(super) helper_list: Mutex<HelperList>,
    /// Every host that has ever registered or followed.
    pub(super) members: Mutex<Members>,
    /// The addresses of the hosts that have registered.
    pub(super) addresses: Mutex<BTreeMap<String, SocketAddr>>,
    /// Whether hosts that do not follow are being told of this leader.
    pub(super) announcing: AtomicBool,
    /// Revision of the placement record in the store; locked while the record is being written.
    pub(super) record_revision: async_std::sync::Mutex<StoreRevision>,
    /// The record that this host last tried to write for a new era of the store.
    pub(super) era_record: Mutex<Option<Placement>>,
    /// Whether a record for a new era is being written.
    pub(super) rewriting: AtomicBool,
    /// Requests that callers sent to each host.
    pub(super) demand: Mutex<DemandShares>,
    pub(super) pool: Mutex<RatePool>,
    /// Hosts' shares of tenants' quotas.
    pub(super) quotas: Mutex<QuotaLedger>,
    /// Why this host leads no longer.
    pub(super) end_reason: Mutex<Option<String>>,
}

pub(super) struct Follower {
    /// Distinguishes connections of the same host.
    connection_number: u64,
    sender: Sender<Bytes>,
    /// What other hosts need to pass requests on to it.
    helper: HelperMessage,
    /// Whether it reaches no server.
    lacks_servers: bool,
    /// Generation of the list of helpers that it was told last.
    told_helpers: u64,
    /// Whether it has been sent no heartbeat yet.
    is_new: bool,
    /// The time in the last heartbeat to which the follower replied.
    pub(super) last_echo: Time,
}

impl Follower {
    /// Whether this is the first heartbeat that it is sent.
    pub(super) fn take_is_new(&mut self) -> bool {
        std::mem::take(&mut self.is_new)
    }

    /// The hosts that can help the follower, unless it was told them already: half of them the
    /// nearest ones, the others in other regions if there are any.
    pub(super) fn helpers_to_tell(&mut self, name: &str, all: &HelperList) -> Vec<HelperMessage> {
        if self.told_helpers == all.generation {
            return Vec::new();
        }
        self.told_helpers = all.generation;
        let own_domain = self.helper.domain.as_str();
        let own_region = all.regions.get(own_domain);
        let is_remote =
            |helper: &HelperMessage| all.regions.get(helper.domain.as_str()) != own_region;
        let mut others: Vec<&HelperMessage> = all
            .hosts
            .iter()
            .filter(|helper| helper.name != name)
            .collect();
        others.sort_by_cached_key(|helper| {
            let spread = xxh3_64_with_seed(helper.name.as_bytes(), xxh3_64(name.as_bytes()));
            (is_remote(helper), helper.domain != own_domain, spread)
        });
        let far = others.split_off(others.len().min(MAX_HELPERS / 2));
        let (remote, near): (Vec<_>, Vec<_>) =
            far.into_iter().partition(|helper| is_remote(helper));
        let chosen = others.into_iter().chain(remote).chain(near);
        chosen.take(MAX_HELPERS).cloned().collect()
    }
}

/// The hosts that reach servers, as the followers are told them.
#[derive(Clone, Debug, Default)]
pub(super) struct HelperList {
    hosts: Vec<HelperMessage>,
    /// The region of each failure domain.
    regions: BTreeMap<String, String>,
    /// Increases with each change.
    generation: u64,
}

impl HelperList {
    /// Replaces the hosts, if they are other ones.
    pub(super) fn update(&mut self, hosts: Vec<HelperMessage>, regions: &BTreeMap<String, String>) {
        if self.hosts != hosts {
            self.hosts = hosts;
            self.regions.clone_from(regions);
            self.generation += 1;
        }
    }
}

impl LeaderState {
    /// Adds a follower, and sends it the table; returns the number of its connection.
    pub(crate) fn add_follower(&self, hello: &Hello, sender: Sender<Bytes>) -> u64 {
        let name = hello.name.as_str();
        let table = TableMessage::from(lock(&self.granter).table());
        enqueue(name, &sender, encode_frame(Body::Table(table)));
        lock(&self.members).add(name);
        let mut followers = lock(&self.followers);
        let connection_number = followers
            .get(name)
            .map_or(0, |follower| follower.connection_number + 1);
        let follower = Follower {
            connection_number,
            sender,
            helper: HelperMessage {
                name: hello.name.clone(),
                address: hello.address.clone(),
                domain: hello.domain.clone(),
            },
            lacks_servers: hello.lacks_servers,
            told_helpers: 0,
            is_new: true,
            last_echo: Time::ZERO,
        };
        followers.insert(name.to_owned(), follower);
        connection_number
    }

    /// Sends the whole table to a follower that has missed a change.
    pub(crate) fn send_table(&self, name: &str) {
        let table = TableMessage::from(lock(&self.granter).table());
        if let Some(follower) = lock(&self.followers).get(name) {
            enqueue(name, &follower.sender, encode_frame(Body::Table(table)));
        }
    }

    /// Counts out one more request to a server that names a limit.
    ///
    /// # Errors
    ///
    /// Fails with the time until there may be one.
    pub(crate) fn count_out(
        &self,
        router: &Router,
        now: Time,
        server: &Arc<str>,
    ) -> AllowanceReply {
        let Some((limit, service)) = router.rate_limit(server) else {
            // The limit has ended, and the response to the request will tell the host that asks.
            let is_known = router.servers().find(server).is_some();
            return is_known.then_some(1).ok_or(Duration::ZERO);
        };
        if !self.may_send_orders(now) {
            return Err(Duration::ZERO);
        }
        let divided = lock(&self.demand).divided_requests(now, &service, limit, router.hosts());
        let taken = lock(&self.pool).take(now, server, limit, divided);
        taken.map(|()| 1)
    }

    /// Counts out some requests of a tenant beyond what its quota leaves to the hosts.
    ///
    /// # Errors
    ///
    /// Fails with the time until there may be one.
    pub(crate) fn count_out_quota(
        &self,
        router: &Router,
        now: Time,
        tenant: &Arc<str>,
        wanted: u32,
    ) -> AllowanceReply {
        let quota = router.quota(tenant).ok_or(Duration::ZERO)?;
        if !self.may_send_orders(now) {
            return Err(Duration::ZERO);
        }
        lock(&self.quotas).count_out(now, tenant, quota, wanted)
    }

    /// Processes the report of a follower or of the leader itself.
    pub(crate) fn handle_report(&self, name: &str, report: Report) {
        if let Some(follower) = lock(&self.followers).get_mut(name) {
            follower.last_echo = Time::from_micros(report.echo);
            follower.lacks_servers = report.lacks_servers;
        }
        let usages: Vec<TenantUsage> = report.tenants.iter().map(TenantUsage::from).collect();
        let (now, echo) = (clock::now(), Time::from_micros(report.echo));
        lock(&self.quotas).record(now, echo, name, &usages);
        let mut granter = lock(&self.granter);
        if report.term > granter.term() {
            self.supersede(format!("host {name} knows of term {}", report.term));
        }
        for entry in report.key_counts {
            let service = Arc::from(entry.service.as_str());
            lock(&self.demand).record(now, name, &service, entry.counts.iter().sum());
            let counts = entry.keys.iter().zip(&entry.counts);
            granter.add_key_counts(
                now,
                &service,
                counts.map(|(key, count)| (*key as u16, *count)),
            );
        }
        let times: Vec<ServiceTime> = report.service_times.iter().map(Into::into).collect();
        granter.add_service_times(now, &times);
        for missing in report.missing {
            granter.handle_missing_key(now, &missing.service, missing.key as u16, &missing.server);
        }
    }

    /// Removes a follower, unless it has connected again since.
    pub(crate) fn remove_follower(&self, name: &str, connection_number: u64) {
        let mut followers = lock(&self.followers);
        if followers
            .get(name)
            .is_some_and(|follower| follower.connection_number == connection_number)
        {
            followers.remove(name);
        }
    }

    /// Sends a message to every follower.
    pub(crate) fn broadcast(&self, body: Body) {
        let bytes = encode_frame(body);
        for (name, follower) in lock(&self.followers).iter() {
            enqueue(name, &follower.sender, bytes.clone());
        }
    }

    /// Sends each follower a message of its own.
    pub(super) fn send_each(&self, body: impl Fn(&str, &mut Follower) -> Body) {
        for (name, follower) in lock(&self.followers).iter_mut() {
            let body = body(name, follower);
            enqueue(name, &follower.sender, encode_frame(body));
        }
    }

    /// The followers that reach servers.
    pub(super) fn helpers(&self) -> Vec<HelperMessage> {
        let followers = lock(&self.followers);
        let helpers = followers
            .values()
            .filter(|follower| !follower.lacks_servers && !follower.helper.address.is_empty());
        helpers.map(|follower| follower.helper.clone()).collect()
    }

    /// The last reply of each follower, as the time of the heartbeat that it answers.
    pub(super) fn last_replies(&self) -> BTreeMap<String, Time> {
        let followers = lock(&self.followers);
        let replies = followers.iter();
        replies
            .map(|(name, follower)| (name.clone(), follower.last_echo))
            .collect()
    }

    /// Number of hosts that this leader, or the one before it, knows of.
    pub(super) fn known_hosts(&self, host: &EntryHost) -> usize {
        let told = host.with_router(|router, _| router.hosts());
        lock(&self.members).majority_base(told)
    }

    /// Whether orders may still be written: this host is confirmed, and no other is known to lead.
    pub(super) fn may_send_orders(&self, now: Time) -> bool {
        !self.is_superseded() && lock(&self.granter).is_confirmed(now)
    }

    /// Ends the leadership if the term of another leader is later.
    pub(crate) fn yield_to(&self, term: u64, name: &str) {
        if term > lock(&self.granter).term() {
            self.supersede(format!("host {name} leads in term {term}"));
        }
    }

    /// Ends the leadership for the reason given, unless it has ended already.
    pub(super) fn supersede(&self, reason: String) {
        lock(&self.end_reason).get_or_insert(reason);
    }

    /// Why this host leads no longer; `None` while it does.
    pub(super) fn end_reason(&self) -> Option<String> {
        lock(&self.end_reason).clone()
    }

    pub(super) fn is_superseded(&self) -> bool {
        lock(&self.end_reason).is_some()
    }
}

fn enqueue(name: &str, sender: &Sender<Bytes>, bytes: Bytes) {
    if let Err(TrySendError::Full(_)) = sender.try_send(bytes) {
        // The next heartbeat or table replaces a lost message.
        log::warn!("dropping a message to host {name}: its queue is full");
    }
}
