//! Election of the leader, and its work.
//!
//! The leader is the one host that grants keys to servers. The store's placement record names it;
//! the other hosts follow it and replace it when it is lost.

mod era;
mod execution;
mod heartbeat;
mod leader_state;
mod record;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    ClusterState, DemandShares, Granter, GranterTiming, Members, Placement, RatePool, RoutingTable,
    StoreRevision,
};
use amaranthshunt_core::log::EventCode;
use amaranthshunt_platform as platform;
use async_std::task;
use rand::Rng;

use crate::clock;
use crate::entry_host::EntryHost;
use crate::lock::lock;
use crate::messages::{Body, TableMessage};
use crate::orders::{GRANT_TIMEOUT, OrderClient};
use crate::peers::{self, FollowEnd};
use crate::registration::register;
use crate::watch::{Consistency, list};
use era::EraWatch;
use execution::execute_order;
use heartbeat::send_heartbeat;
pub(crate) use heartbeat::take_key_counts;
pub(crate) use leader_state::LeaderState;
use record::{StoredRecord, WriteOutcome, read_record, record_exists, write_record_if};

/// Lease of a grant: a lost server's keys are granted elsewhere only after it, and a lost leader is
/// replaced well within it.
const GRANT_LEASE: Duration = Duration::from_millis(4_000);
/// Interval of renewals: less than a third of the lease, so that one may be lost.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);
/// Time without a confirmation after which the leader sends no more orders.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Margin in the latest expiry of a grant: time for the transit of an order and its abort.
const EXPIRY_MARGIN: Duration = Duration::from_millis(300);
/// Time after which completed moves are removed from the record.
const RECORD_CLEANUP_DELAY: Duration = Duration::from_millis(1_000);
/// Time for hosts to register. Until then, not all are known, so the number of hosts among which
/// limits are divided is not lowered.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(4_000);
/// Interval at which the leader checks for orders to send.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the followers' last confirmation from which the leader checks the record in the store.
const CONFIRMATION_MAX_AGE: Duration = Duration::from_millis(1_100);
/// Minimum time between two such checks.
const STORE_CHECK_INTERVAL: Duration = Duration::from_millis(400);
/// Delay after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum random delay before a host tries to become the leader.
const MAX_CANDIDACY_DELAY: Duration = Duration::from_millis(300);
/// Additional delay of small hosts, so that larger ones come first: the random delay and one call
/// to the store.
const SMALL_HOST_DELAY: Duration = Duration::from_millis(450);
/// Time without a new server after which keys are first placed.
const SERVER_SETTLE_TIME: Duration = Duration::from_millis(1_800);
/// Maximum time before keys are first placed.
const FIRST_PLACEMENT_LIMIT: Duration = Duration::from_millis(5_000);

/// Registers the host, then follows the leader or acts as the leader until the host shuts down.
pub(crate) async fn run(host: Arc<EntryHost>) {
    let mut hosts = register(&host).await;
    hosts.remove(&host.settings.name);
    let mut candidate = Candidate {
        just_started: true,
        may_be_first: host.settings.first_start,
        first_era: None,
        last_leader: None,
    };
    while !host.is_leaving() {
        let record = match read_record(&host).await {
            Ok(record) => record,
            Err(error) => {
                log::warn!("cannot read the placement record: {error}");
                task::sleep(STORE_RETRY_DELAY).await;
                continue;
            }
        };
        candidate.observe(&host, &record);
        let follow_end = follow_recorded_leader(&host, &record).await;
        if host.is_leaving() {
            return;
        }
        // A leader that cannot give orders would only keep others from it.
        if !host.reaches_servers() {
            task::sleep(STORE_RETRY_DELAY).await;
            continue;
        }
        let may_lead = candidate.knows_leader_is_gone(&host, &record, follow_end)
            || !others_hear_leader(&hosts).await;
        if !may_lead {
            task::sleep(STORE_RETRY_DELAY).await;
            continue;
        }
        candidate.just_started = false;
        delay_candidacy(&host).await;
        if record.placement.is_none() && record_exists(&host).await {
            continue;
        }
        take_over(&host, &record, candidate.may_be_first, &hosts).await;
    }
}

/// What a host knows about the leaders before it.
struct Candidate {
    just_started: bool,
    /// Whether no host can have led before.
    may_be_first: bool,
    /// The era of the store in which this host first read the record.
    first_era: Option<u64>,
    /// Term and name of the last leader.
    last_leader: Option<(u64, String)>,
}

impl Candidate {
    fn observe(&mut self, host: &EntryHost, stored: &StoredRecord) {
        let first_era = *self.first_era.get_or_insert(stored.era());
        let Some(record) = &stored.placement else {
            self.may_be_first &= first_era == stored.era();
            return;
        };
        self.may_be_first = false;
        let current = Some((record.term, record.leader.clone()));
        if record.leader != host.settings.name && self.last_leader != current {
            let detail = format!("term {}", record.term);
            host.log(EventCode::GranterChanged, &record.leader, detail);
        }
        self.last_leader = current;
    }

    /// Whether there is certainly no leader to follow, so that the host may become a candidate
    /// without asking the others whether they hear one.
    ///
    /// If the store may have lost the name of the leader, only the others know.
    fn knows_leader_is_gone(
        &self,
        host: &EntryHost,
        record: &StoredRecord,
        follow_end: FollowEnd,
    ) -> bool {
        if follow_end == FollowEnd::LeaderResigned {
            return true;
        }
        let is_own = record
            .placement
            .as_ref()
            .is_none_or(|record| record.leader == host.settings.name);
        record.is_complete(self.may_be_first)
            && (is_own || self.just_started || follow_end == FollowEnd::StoreLost)
    }
}

/// Follows the leader that the record names, if it is another host, until it is lost or resigns.
async fn follow_recorded_leader(host: &EntryHost, stored: &StoredRecord) -> FollowEnd {
    match &stored.placement {
        Some(record) if record.leader != host.settings.name => {
            host.with_router(|router, _| router.update_table(table_from_record(record)));
            peers::follow_leader(host, record.address, record.term).await
        }
        _ => FollowEnd::LeaderLost,
    }
}

/// Makes this host the leader, if the record has not changed since it was read, and leads.
async fn take_over(
    host: &Arc<EntryHost>,
    stored: &StoredRecord,
    is_first: bool,
    hosts: &BTreeMap<String, SocketAddr>,
) {
    let record = stored.succeed(host, is_first);
    match write_record_if(host, &record, stored.revision).await {
        WriteOutcome::Done(revision) => lead(host, record, revision, hosts).await,
        WriteOutcome::Conflict(..) => {}
        WriteOutcome::Failed(error) => {
            log::warn!("cannot take over the placement record: {error}");
            task::sleep(STORE_RETRY_DELAY).await;
        }
    }
}

async fn delay_candidacy(host: &EntryHost) {
    let random_delay = rand::rng().random_range(0..MAX_CANDIDACY_DELAY.as_millis() as u64);
    let size_delay = if host.settings.is_small() {
        SMALL_HOST_DELAY
    } else {
        Duration::ZERO
    };
    task::sleep(size_delay + Duration::from_millis(random_delay)).await;
}

/// Whether another host still hears the leader, so that only the connection from this host is
/// broken.
async fn others_hear_leader(hosts: &BTreeMap<String, SocketAddr>) -> bool {
    let queries = hosts
        .values()
        .map(|address| Box::pin(peers::query_silence(*address)));
    let answers = futures::future::join_all(queries).await;
    answers
        .into_iter()
        .flatten()
        .any(|silence| silence < peers::LEADER_TIMEOUT)
}

/// The routing table that follows from a record, for a host that cannot reach the leader.
fn table_from_record(record: &Placement) -> RoutingTable {
    let spans = record.services.iter().map(|(service, spans)| {
        let spans = spans
            .iter()
            .map(|span| amaranthshunt_core::front::RoutingSpan {
                from: span.from,
                to: span.to,
                server: span.owner.clone().filter(|_| span.previous.is_none()),
            });
        (service.clone(), spans.collect())
    });
    RoutingTable {
        term: record.term,
        version: 0,
        services: spans.collect(),
    }
}

/// Acts as the leader until another host is, or this one shuts down.
async fn lead(
    host: &Arc<EntryHost>,
    record: Placement,
    revision: StoreRevision,
    hosts: &BTreeMap<String, SocketAddr>,
) {
    let timing = GranterTiming {
        lease: GRANT_LEASE.min(host.settings.max_lease),
        renewal_interval: RENEWAL_INTERVAL,
        confirmation_timeout: CONFIRMATION_TIMEOUT,
        order_timeout: GRANT_TIMEOUT,
        expiry_margin: EXPIRY_MARGIN,
        cleanup_delay: RECORD_CLEANUP_DELAY,
    };
    let name = host.settings.name.clone();
    let trust = if record.lists_all_holders(revision.era()) {
        "the record is complete"
    } else {
        "the store has lost moves, so all leases expire first"
    };
    let detail = format!("term {}, {trust}", record.term);
    host.log(EventCode::GranterStarted, &name, detail);
    let started = clock::now();
    let is_first_placement = record.services.is_empty();
    let members = hosts.keys().cloned().chain([name.clone()]);
    let leader = Arc::new(LeaderState {
        granter: Mutex::new(Granter::new(started, &record, revision.era(), timing)),
        followers: Mutex::default(),
        orders: OrderClient::default(),
        helper_list: Mutex::default(),
        members: Mutex::new(Members::new(members)),
        record_revision: async_std::sync::Mutex::new(revision),
        era_record: Mutex::default(),
        rewriting: AtomicBool::new(false),
        demand: Mutex::new(DemandShares::new(started)),
        pool: Mutex::new(RatePool::new(started)),
        end_reason: Mutex::default(),
        started,
    });
    host.set_leader_state(Some(leader.clone()));
    let mut last_heartbeat = Time::ZERO;
    let mut last_store_check = Time::ZERO;
    let mut published = RoutingTable::default();
    let mut last_server_count = (0, started);
    let mut members_refreshed = false;
    task::spawn(refresh_members(host.clone(), leader.clone()));
    let mut era_watch = EraWatch::default();
    while !leader.is_superseded() {
        let now = clock::now();
        confirm_leadership(host, &leader, now, &mut last_store_check);
        era_watch.follow_store(host, &leader, now);
        let count = host.with_router(|router, _| router.servers().iter().count());
        if count != last_server_count.0 {
            last_server_count = (count, now);
        }
        let is_settled = count > 0 && now.since(last_server_count.1) >= SERVER_SETTLE_TIME;
        let waits_for_servers =
            is_first_placement && !is_settled && now.since(started) < FIRST_PLACEMENT_LIMIT;
        if !waits_for_servers {
            advance_granter(host, &leader, &mut published);
        }
        if now.since(last_heartbeat) >= HEARTBEAT_INTERVAL {
            last_heartbeat = now;
            send_heartbeat(
                host,
                &leader,
                now,
                now.since(started) >= REGISTRATION_PERIOD,
            );
        }
        if !members_refreshed && now.since(started) >= REGISTRATION_PERIOD / 2 {
            members_refreshed = true;
            task::spawn(refresh_members(host.clone(), leader.clone()));
        }
        task::sleep(TICK_INTERVAL).await;
        if !host.reaches_servers() && !leader.helpers().is_empty() {
            host.helpers.update(&leader.helpers());
            leader.broadcast(Body::Resign(true));
            leader.supersede("this host reaches no server".to_owned());
            break;
        }
        if host.is_leaving() {
            leader.broadcast(Body::Resign(true));
            leader.supersede("the host is leaving".to_owned());
        }
    }
    host.set_leader_state(None);
    let reason = leader.end_reason().unwrap_or_default();
    let detail = format!("term {}, {reason}", record.term);
    host.log(EventCode::GranterEnded, &name, detail);
}

/// Confirms that this host is still the leader: from its followers, or else from the store.
fn confirm_leadership(
    host: &Arc<EntryHost>,
    leader: &Arc<LeaderState>,
    now: Time,
    last_store_check: &mut Time,
) {
    let told = host.with_router(|router, _| router.hosts());
    let echo = leader.majority_echo(told);
    if let Some(echo) = echo {
        let mut granter = lock(&leader.granter);
        granter.confirm(echo);
        if echo > leader.started {
            granter.record_majority(now);
        }
    }
    let is_confirmed = echo.is_some_and(|echo| now.since(echo) < CONFIRMATION_MAX_AGE);
    if is_confirmed || now.since(*last_store_check) < STORE_CHECK_INTERVAL {
        return;
    }
    *last_store_check = now;
    let (host, leader) = (host.clone(), leader.clone());
    task::spawn(async move {
        let sent = clock::now();
        let Ok(record) = read_record(&host).await else {
            return;
        };
        let mut granter = lock(&leader.granter);
        if record.term() > granter.term() {
            leader.supersede(format!("the record has term {}", record.term()));
        } else if record.term() == granter.term() && record.era() == granter.era() {
            granter.confirm(sent);
        }
    });
}

fn advance_granter(host: &Arc<EntryHost>, leader: &Arc<LeaderState>, published: &mut RoutingTable) {
    let orders = host.with_router(|router, now| {
        let config = router.config().cloned().unwrap_or_default();
        let cluster = ClusterState {
            servers: router.servers(),
            baseline_latencies: router.baseline_latencies(),
            config: &config,
            evacuated: router.evacuated(),
        };
        lock(&leader.granter).advance(now, cluster)
    });
    for order in orders {
        execute_order(host, leader, order);
    }
    let changed = {
        let granter = lock(&leader.granter);
        let table = granter.table();
        (table.version != published.version).then(|| table.clone())
    };
    if let Some(table) = changed {
        if table.term == published.term {
            let changes = table.changes_since(published);
            let message = TableMessage::new(table.term, table.version, &changes);
            leader.broadcast(Body::TableChanges(message));
        } else {
            leader.broadcast(Body::Table(TableMessage::from(&table)));
        }
        host.with_router(|router, _| router.update_table(table.clone()));
        *published = table;
    }
}

/// Writes the record. A write that fails or gets no response is retried; the retry also reveals
/// whether an earlier attempt took effect.
///
/// Only a record of a higher term is another leader's. One of a lower term is a copy from which the
/// store was restored, or was written late by an earlier leader.
async fn write_record(host: Arc<EntryHost>, leader: Arc<LeaderState>, placement: Placement) {
    let version = placement.version;
    while !leader.is_superseded() {
        let mut revision = leader.record_revision.lock().await;
        if lock(&leader.granter).is_written(version) {
            return;
        }
        if host.store.era() == revision.era() {
            match write_record_if(&host, &placement, *revision).await {
                WriteOutcome::Done(written) => {
                    *revision = written;
                    lock(&leader.granter).mark_written(version);
                    return;
                }
                WriteOutcome::Conflict(term, _) if term > placement.term => {
                    leader.supersede(format!("a write of the record met one of term {term}"));
                    return;
                }
                WriteOutcome::Conflict(_, stored) => *revision = stored,
                WriteOutcome::Failed(error) => {
                    log::warn!("cannot write the placement record: {error}");
                }
            }
        }
        drop(revision);
        task::sleep(STORE_RETRY_DELAY).await;
    }
}

/// Reads the list of hosts again: some may have registered after this one read it.
async fn refresh_members(host: Arc<EntryHost>, leader: Arc<LeaderState>) {
    match list(&host, platform::HOSTS, Consistency::Strong).await {
        Ok((objects, _)) => {
            let hosts = objects
                .into_iter()
                .filter(|object| platform::read_host(&object.spec).is_ok());
            let names = hosts.map(|object| object.name);
            lock(&leader.members).add_registered(names);
        }
        Err(error) => log::warn!("cannot read the list of hosts: {error}"),
    }
}
