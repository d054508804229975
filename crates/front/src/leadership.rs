//! Election of the leader, and its work.
//!
//! The leader is the one host that grants keys to servers. The store's placement record names it;
//! the other hosts follow it and replace it when it is lost.

mod candidate;
mod confirmation;
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
    ClusterState, DemandShares, Granter, GranterTiming, Members, Placement, QuotaLedger, RatePool,
    RoutingTable, StoreRevision,
};
use amaranthshunt_core::log::EventCode;
use async_std::task;

use crate::clock;
use crate::entry_host::EntryHost;
use crate::lock::lock;
use crate::messages::{Body, TableMessage};
use crate::orders::{GRANT_TIMEOUT, OrderClient};
use crate::registration::{read_hosts, register};
use crate::watch::Consistency;
use candidate::{
    Candidate, delay_candidacy, find_leaders_follower, follow_known_leader, follow_recorded_leader,
    follow_through,
};
use confirmation::ConfirmationSchedule;
use era::EraWatch;
use execution::execute_order;
use heartbeat::send_heartbeat;
pub(crate) use heartbeat::{take_key_counts, take_service_times, take_tenant_usage};
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
/// Time without the store after which a leader that its followers confirm grants nothing any more. A
/// successor that reaches too few of the hosts waits for as long, so regions may lose each other and the
/// store for minutes, but hosts that are gone keep no key forever.
const STORELESS_LIMIT: Duration = Duration::from_secs(3_600);
/// Time for hosts to register. Until then, not all are known, so the number of hosts among which
/// limits are divided is not lowered.
const REGISTRATION_PERIOD: Duration = Duration::from_millis(4_000);
/// Interval at which the leader checks for orders to send.
const TICK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval of heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a failed call to the store.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(400);
/// Time without a new server after which keys are first placed.
const SERVER_SETTLE_TIME: Duration = Duration::from_millis(1_800);
/// Maximum time before keys are first placed.
const FIRST_PLACEMENT_LIMIT: Duration = Duration::from_millis(5_000);

/// Registers the host, then follows the leader or acts as the leader until the host shuts down.
pub(crate) async fn run(host: Arc<EntryHost>) {
    let mut hosts = register(&host).await;
    hosts.remove(&host.settings.name);
    let mut candidate = Candidate::new(host.settings.first_start);
    while !host.is_leaving() {
        let record = match read_record(&host).await {
            Ok(record) => record,
            Err(error) => {
                log::warn!("cannot read the placement record: {error}");
                follow_known_leader(&host).await;
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
        if !candidate.knows_leader_is_gone(&host, &record, follow_end)
            && let Some(follower) = find_leaders_follower(&host, &hosts).await
        {
            follow_through(&host, follower).await;
            task::sleep(STORE_RETRY_DELAY).await;
            continue;
        }
        delay_candidacy(&host).await;
        if record.placement.is_none() && record_exists(&host).await {
            continue;
        }
        take_over(&host, &record, candidate.may_be_first, &hosts).await;
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
    let written_from = clock::now();
    match write_record_if(host, &record, stored.revision).await {
        WriteOutcome::Done(revision) => {
            let is_first = is_first && stored.placement.is_none();
            lead(host, record, revision, written_from, hosts, is_first).await;
        }
        WriteOutcome::Conflict(..) => {}
        WriteOutcome::Failed(error) => {
            log::warn!("cannot take over the placement record: {error}");
            task::sleep(STORE_RETRY_DELAY).await;
        }
    }
}

/// Acts as the leader until another host is, or this one shuts down; `is_first` is whether no host can
/// have led before.
async fn lead(
    host: &Arc<EntryHost>,
    record: Placement,
    revision: StoreRevision,
    written_from: Time,
    hosts: &BTreeMap<String, SocketAddr>,
    is_first: bool,
) {
    let timing = GranterTiming {
        lease: GRANT_LEASE.min(host.settings.max_lease),
        renewal_interval: RENEWAL_INTERVAL,
        confirmation_timeout: CONFIRMATION_TIMEOUT,
        order_timeout: GRANT_TIMEOUT,
        expiry_margin: EXPIRY_MARGIN,
        cleanup_delay: RECORD_CLEANUP_DELAY,
        storeless_limit: STORELESS_LIMIT,
    };
    let name = host.settings.name.clone();
    let trust = if record.lists_all_holders(revision.era()) {
        "the record is complete"
    } else {
        "the store has lost moves, so all leases expire first"
    };
    let detail = format!("term {}, {trust}", record.term);
    host.log(EventCode::GranterStarted, &name, detail);
    host.learn_leader(record.term, &name, host.settings.peers_address());
    let started = clock::now();
    let granter = Granter::new(started, written_from, &record, revision.era(), timing);
    let is_first_placement = record.services.is_empty();
    let members = hosts.keys().cloned().chain([name.clone()]);
    let leader = Arc::new(LeaderState {
        granter: Mutex::new(granter),
        addresses: Mutex::new(hosts.clone()),
        announcing: AtomicBool::new(false),
        followers: Mutex::default(),
        orders: OrderClient::default(),
        helper_list: Mutex::default(),
        members: Mutex::new(Members::new(members)),
        record_revision: async_std::sync::Mutex::new(revision),
        era_record: Mutex::default(),
        rewriting: AtomicBool::new(false),
        demand: Mutex::new(DemandShares::new(started)),
        pool: Mutex::new(RatePool::new(started)),
        quotas: Mutex::new(QuotaLedger::new(
            started,
            host.settings.router().quota,
            is_first,
        )),
        end_reason: Mutex::default(),
    });
    host.set_leader_state(Some(leader.clone()));
    let mut last_heartbeat = Time::ZERO;
    let mut confirmation = ConfirmationSchedule::new(started);
    let mut published = RoutingTable::default();
    let mut last_server_count = (0, started);
    let mut members_refreshed = false;
    task::spawn(refresh_members(host.clone(), leader.clone()));
    let mut era_watch = EraWatch::default();
    while !leader.is_superseded() {
        let now = clock::now();
        confirmation.confirm(host, &leader, now);
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

fn advance_granter(host: &Arc<EntryHost>, leader: &Arc<LeaderState>, published: &mut RoutingTable) {
    let orders = host.with_router(|router, now| {
        let config = router.config().cloned().unwrap_or_default();
        let cluster = ClusterState {
            servers: router.servers(),
            baseline_latencies: router.baseline_latencies(),
            config: &config,
            evacuated: router.evacuated(),
        };
        let mut granter = lock(&leader.granter);
        granter.set_overload_control(router.controls_overload());
        let orders = granter.advance(now, cluster);
        host.counters.keys_moved.add_many(granter.take_moved_keys());
        orders
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
            let sent = clock::now();
            match write_record_if(&host, &placement, *revision).await {
                WriteOutcome::Done(written) => {
                    *revision = written;
                    let mut granter = lock(&leader.granter);
                    granter.mark_written(clock::now(), version);
                    granter.confirm_by_record(sent);
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
    match read_hosts(&host, Consistency::Strong).await {
        Ok(hosts) => {
            lock(&leader.members).add_registered(hosts.keys().cloned());
            lock(&leader.addresses).extend(hosts);
        }
        Err(error) => log::warn!("cannot read the list of hosts: {error}"),
    }
}
