//! Heartbeats of the leader.

use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::StoreRevision;

use super::LeaderState;
use super::leader_state::HelperList;
use crate::entry_host::EntryHost;
use crate::lock::lock;
use crate::messages::{
    Body, CrashesMessage, DemandShareMessage, DepartureMessage, Heartbeat, HelperMessage,
    KeyCounts, OverloadMessage, Report, ServiceTimeMessage, TenantShareMessage, TenantUsageMessage,
};
use crate::watch::KINDS;

/// Time for which departures and crashes are repeated in heartbeats, some of which may be lost.
const NEWS_TELLING: Duration = Duration::from_millis(3_000);

/// Takes in this host's own report, and sends a heartbeat to all followers.
pub(super) fn send_heartbeat(
    host: &EntryHost,
    leader: &LeaderState,
    now: Time,
    members_complete: bool,
) {
    let key_counts = take_key_counts(host);
    let missing = host.take_missing_keys();
    let term = lock(&leader.granter).term();
    // Another leader may divide quotas anew once this one is no longer confirmed.
    let may_lead = leader.may_send_orders(now);
    leader.handle_report(
        &host.settings.name,
        Report {
            echo: now.as_micros(),
            key_counts,
            missing,
            term: 0,
            limits: Vec::new(),
            store_era: host.store.era(),
            lacks_servers: false,
            departures: Vec::new(),
            crashes: None,
            service_times: take_service_times(host),
            tenants: take_tenant_usage(host),
        },
    );
    let member_count = lock(&leader.members).count();
    let host_count = host.with_router(|router, _| {
        let host_count = if members_complete {
            member_count
        } else {
            member_count.max(router.hosts())
        };
        router.set_hosts(host_count);
        host_count
    });
    let overloads = lock(&leader.granter).overloads().to_vec();
    host.with_router(|router, now| router.set_overloads(now, &overloads));
    let changes = KINDS.map(|kind| host.freshness(kind).change_revision());
    let heartbeat = Heartbeat {
        term,
        sent_at: now.as_micros(),
        host_count: host_count as u32,
        store_reachable: host.store.outage().is_none(),
        changes: changes.map(StoreRevision::number).to_vec(),
        change_eras: changes.map(StoreRevision::era).to_vec(),
        store_era: host.store.era(),
        ages_ms: KINDS
            .iter()
            .map(|kind| host.freshness(kind).age(now).as_millis() as u64)
            .collect(),
        overloads: overloads.iter().map(OverloadMessage::from).collect(),
        demand_shares: Vec::new(),
        counts_limits: true,
        helpers: Vec::new(),
        departures: Vec::new(),
        crashes: None,
        tenant_shares: Vec::new(),
        counts_quotas: may_lead,
    };
    let (recent, all) = host.with_router(|router, now| {
        let recent = router.departures(now - NEWS_TELLING);
        (recent, router.departures(Time::ZERO))
    });
    // What this host has observed itself is among what it has learnt.
    host.suspects.take_unreported();
    let crashes_since = |since| CrashesMessage::new(now, &host.suspects.learnt_since(since));
    let recent_crashes = crashes_since(now - NEWS_TELLING);
    let own = lock(&leader.demand).tell(now, &host.settings.name);
    host.with_router(|router, now| router.update_demand_shares(now, own));
    settle_quotas(host, leader, now, may_lead);
    let list = update_helpers(host, leader);
    leader.send_each(|name, follower| {
        let shares = lock(&leader.demand).tell(now, name);
        let helpers = follower.helpers_to_tell(name, &list);
        let (departures, crashes) = if follower.take_is_new() {
            (&all, crashes_since(Time::ZERO))
        } else {
            (&recent, recent_crashes.clone())
        };
        let messages = shares.iter();
        let messages = messages.map(|(service, share)| DemandShareMessage::new(service, *share));
        let tenant_shares = if may_lead {
            lock(&leader.quotas).tell(now, name)
        } else {
            Vec::new()
        };
        let tenant_shares = tenant_shares.iter();
        let tenant_shares =
            tenant_shares.map(|(tenant, share)| TenantShareMessage::new(tenant, *share));
        Body::Heartbeat(Heartbeat {
            tenant_shares: tenant_shares.collect(),
            demand_shares: messages.collect(),
            helpers,
            departures: departures.iter().map(DepartureMessage::from).collect(),
            crashes,
            ..heartbeat.clone()
        })
    });
}

/// The hosts that serve requests of those that reach no server, this one included if it can.
fn update_helpers(host: &EntryHost, leader: &LeaderState) -> HelperList {
    let mut helpers = leader.helpers();
    host.helpers.update(&helpers);
    if host.reaches_servers() {
        helpers.push(HelperMessage {
            name: host.settings.name.clone(),
            address: host.settings.peers_address().to_string(),
            domain: host.settings.domain.clone(),
        });
    }
    let mut list = lock(&leader.helper_list);
    list.update(helpers, &host.settings.regions);
    list.clone()
}

/// Adds up the shares of tenants' quotas, and takes this host's own.
fn settle_quotas(host: &EntryHost, leader: &LeaderState, now: Time, may_lead: bool) {
    let host_count = leader.known_hosts(host);
    let config = host.with_router(|router, _| router.config().cloned());
    let tenants = config.as_ref().and_then(|config| config.tenants.as_ref());
    let mut quotas = lock(&leader.quotas);
    quotas.settle(now, host_count, |name| tenants?.named(name)?.quota);
    let own = if may_lead {
        quotas.tell(now, &host.settings.name)
    } else {
        Vec::new()
    };
    drop(quotas);
    host.with_router(|router, now| router.update_quota_shares(now, now, may_lead, own));
}

/// Takes the requests of tenants with quotas since the last call, in the form in which they are sent to
/// the leader.
pub(crate) fn take_tenant_usage(host: &EntryHost) -> Vec<TenantUsageMessage> {
    let usages = host.with_router(|router, now| router.take_tenant_usage(now));
    usages.iter().map(TenantUsageMessage::from).collect()
}

/// Takes the request counts by key since the last call, in the form in which they are sent to the
/// leader.
pub(crate) fn take_key_counts(host: &EntryHost) -> Vec<KeyCounts> {
    let counts_by_service = host.with_router(|router, _| router.take_key_counts());
    let key_counts = counts_by_service
        .into_iter()
        .map(|(service, counts)| KeyCounts {
            service: service.to_string(),
            keys: counts.keys().map(|key| u32::from(*key)).collect(),
            counts: counts.values().copied().collect(),
        });
    key_counts.collect()
}

/// Takes the service times of servers with keys since the last call, in the form in which they are
/// sent to the leader.
pub(crate) fn take_service_times(host: &EntryHost) -> Vec<ServiceTimeMessage> {
    let times = host.with_router(|router, _| router.take_service_times());
    times.into_iter().map(ServiceTimeMessage::from).collect()
}
