//! Connections between the leader and its followers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Departure, Overload, RateLimitReport, RoutingTable, TransitDelay};
use async_std::channel::{Receiver, bounded};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, select};

use crate::callers::{self, Sender};
use crate::clock;
use crate::entry_host::EntryHost;
use crate::http::Connection;
use crate::leadership::{LeaderState, take_key_counts, take_service_times, take_tenant_usage};
use crate::link::Link;
use crate::messages::{
    Allowance, Body, CrashesMessage, DemandShareMessage, DepartureMessage, Heartbeat, Hello,
    LimitMessage, Report, RequestAllowance, TableMessage, TenantShareMessage,
};
use crate::watch::{self, KINDS};

/// Time without a heartbeat after which the leader counts as lost.
pub(crate) const LEADER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Timeout for connecting to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for a query of another host.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);
/// Time for which the store may be unreachable for the leader before another host replaces it.
const STORE_OUTAGE_LIMIT: Duration = Duration::from_millis(1_000);
/// Maximum messages queued for one follower.
const QUEUE_CAPACITY: usize = 64;
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Timeout for the first message of a connection.
const HELLO_TIMEOUT: Duration = Duration::from_secs(2);

/// Why a host stopped following the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum FollowEnd {
    /// The leader is unreachable, silent or of another term.
    LeaderLost,
    /// The leader is shutting down; also used when this host itself is.
    LeaderResigned,
    /// The leader cannot reach the store while this host can.
    StoreLost,
}

/// Accepts connections of other hosts until the task is cancelled.
pub(crate) async fn accept(host: Arc<EntryHost>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                task::spawn(serve_connection(host.clone(), stream));
            }
            Err(error) => {
                log::warn!("cannot accept a host's connection: {error}");
                task::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves a connection of another host: messages in frames, or requests in HTTP that a host passes
/// on. A frame begins with its length, whose first byte is never a letter.
async fn serve_connection(host: Arc<EntryHost>, stream: TcpStream) -> Option<()> {
    let mut first = [0];
    let peeked = timeout(HELLO_TIMEOUT, stream.peek(&mut first)).await;
    if peeked.ok()?.ok()? == 1 && first[0].is_ascii_alphabetic() {
        let connection = Connection::new(stream);
        callers::serve_connection(host, connection, Sender::Host).await;
        return None;
    }
    let mut link = Link::new(stream);
    match timeout(HELLO_TIMEOUT, link.receive()).await.ok()?? {
        Body::Hello(hello) => serve_follower(&host, link, hello).await,
        Body::QuerySilence(_) => {
            let silence = host.leader_silence();
            link.send(Body::SilenceMillis(silence.as_millis() as u64))
                .await
        }
        Body::QueryTable(known) => link.send(answer_table_query(&host, &known)).await,
        Body::Announce(announcement) => {
            let address = announcement.address.parse().ok()?;
            host.learn_leader(announcement.term, &announcement.leader, address);
            Some(())
        }
        _ => None,
    }
}

/// The routing table, if this host hears the leader and has a later one than another host knows; else
/// how long it has not heard the leader.
fn answer_table_query(host: &EntryHost, known: &TableMessage) -> Body {
    let silence = host.leader_silence();
    let table = host.with_router(|router, _| {
        let table = router.table();
        let is_later = (known.term, known.version) < (table.term, table.version);
        is_later.then(|| TableMessage::from(table))
    });
    match table {
        Some(table) if silence < LEADER_TIMEOUT => Body::Table(table),
        _ => Body::SilenceMillis(silence.as_millis() as u64),
    }
}

/// Serves one follower while this host is the leader.
async fn serve_follower(host: &EntryHost, mut link: Link, hello: Hello) -> Option<()> {
    let leader = host.leader_state()?;
    let (sender, messages) = bounded(QUEUE_CAPACITY);
    let connection_number = leader.add_follower(&hello, sender);
    loop {
        let next = Box::pin(messages.recv());
        let received = Box::pin(link.receive());
        let event = match select(next, received).await {
            Either::Left((message, _)) => Either::Left(message.ok()),
            Either::Right((body, _)) => Either::Right(body),
        };
        let handled = match event {
            Either::Left(Some(bytes)) => timeout(LEADER_TIMEOUT, link.send_frame(bytes))
                .await
                .ok()
                .flatten(),
            Either::Right(Some(Body::Report(mut report))) => {
                host.learn_store_era(report.store_era);
                apply_rate_limits(host, std::mem::take(&mut report.limits));
                apply_departures(host, &report.departures);
                apply_crashes(host, report.crashes.as_ref());
                leader.handle_report(&hello.name, report);
                Some(())
            }
            Either::Right(Some(Body::RequestTable(_))) => {
                leader.send_table(&hello.name);
                Some(())
            }
            Either::Right(Some(Body::RequestAllowance(request))) => {
                let allowance = reply_to(host, &leader, request);
                timeout(LEADER_TIMEOUT, link.send(Body::Allowance(allowance)))
                    .await
                    .ok()
                    .flatten()
            }
            _ => None,
        };
        if handled.is_none() || host.leader_state().is_none() {
            leader.remove_follower(&hello.name, connection_number);
            return None;
        }
    }
}

/// Applies the limits of servers that a follower has observed: keys move off such servers, though
/// the leader itself may send them nothing.
fn apply_rate_limits(host: &EntryHost, limits: Vec<LimitMessage>) {
    if limits.is_empty() {
        return;
    }
    host.with_router(|router, now| {
        for limit in limits {
            router.apply_rate_limit(now, &RateLimitReport::from(limit));
        }
    });
}

/// Applies the departures that responses have told another host.
fn apply_departures(host: &EntryHost, departures: &[DepartureMessage]) {
    if departures.is_empty() {
        return;
    }
    host.with_router(|router, now| {
        for departure in departures {
            router.apply_departure(now, &Departure::from(departure));
        }
    });
}

/// Takes in what another host knows of requests that crash servers.
fn apply_crashes(host: &EntryHost, crashes: Option<&CrashesMessage>) {
    if let Some(crashes) = crashes {
        host.suspects.apply(&crashes.to_notices(clock::now()));
    }
}

/// Counts out requests to a server that names a limit, or of a tenant.
fn reply_to(host: &EntryHost, leader: &LeaderState, request: RequestAllowance) -> Allowance {
    if let Some(need) = request.need {
        let tenant = Arc::from(need.tenant);
        let reply = host
            .with_router(|router, now| leader.count_out_quota(router, now, &tenant, need.count));
        return Allowance::new(request.number, reply);
    }
    let limits = request.limit.into_iter().collect::<Vec<LimitMessage>>();
    let server = limits.first().map(|limit| Arc::from(limit.server.as_str()));
    apply_rate_limits(host, limits);
    let reply = server.map_or(Err(Duration::ZERO), |server| {
        host.with_router(|router, now| leader.count_out(router, now, &server))
    });
    Allowance::new(request.number, reply)
}

/// Follows the leader until it is lost or resigns.
pub(crate) async fn follow_leader(host: &EntryHost, address: SocketAddr, term: u64) -> FollowEnd {
    let requests = host.allowances.connect();
    let end = follow_connection(host, address, term, &requests).await;
    host.allowances.disconnect();
    host.set_hears_leader(false);
    end.unwrap_or(FollowEnd::LeaderLost)
}

async fn follow_connection(
    host: &EntryHost,
    address: SocketAddr,
    mut term: u64,
    requests: &Receiver<RequestAllowance>,
) -> Option<FollowEnd> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .ok()?
        .ok()?;
    let mut link = Link::new(stream);
    let hello = Hello {
        name: host.settings.name.clone(),
        address: host.settings.peers_address().to_string(),
        domain: host.settings.domain.clone(),
        lacks_servers: !host.reaches_servers(),
    };
    link.send(Body::Hello(hello)).await?;
    let mut outage_since: Option<Time> = None;
    let mut transit = TransitDelay::default();
    let mut last_message = clock::now();
    let mut has_reported = false;
    loop {
        let limit = LEADER_TIMEOUT.saturating_sub(clock::now().since(last_message));
        let received = Box::pin(timeout(limit, link.receive()));
        let event = match select(received, Box::pin(requests.recv())).await {
            Either::Left((message, _)) => Either::Left(message.ok()??),
            Either::Right((request, _)) => Either::Right(request.ok()?),
        };
        let message = match event {
            Either::Left(message) => message,
            Either::Right(request) => {
                let request = Body::RequestAllowance(request);
                timeout(LEADER_TIMEOUT, link.send(request)).await.ok()??;
                continue;
            }
        };
        last_message = clock::now();
        match message {
            // A leader begins another term when the store was restored.
            Body::Heartbeat(heartbeat) if heartbeat.term >= term => {
                term = heartbeat.term;
                host.note_leader_heard();
                let delay = transit.record(Time::from_micros(heartbeat.sent_at), clock::now());
                host.learn_store_era(heartbeat.store_era);
                if !heartbeat.helpers.is_empty() {
                    host.helpers.update(&heartbeat.helpers);
                }
                let states = heartbeat.change_revisions().zip(&heartbeat.ages_ms);
                for (kind, (change, age)) in KINDS.iter().zip(states) {
                    let age = Duration::from_millis(*age) + delay;
                    host.update_freshness(kind, |f, now| f.record_announcement(now, change, age));
                }
                apply_departures(host, &heartbeat.departures);
                apply_crashes(host, heartbeat.crashes.as_ref());
                let overloads: Vec<Overload> =
                    heartbeat.overloads.iter().map(Overload::from).collect();
                let shares: BTreeMap<Arc<str>, f64> = heartbeat
                    .demand_shares
                    .iter()
                    .map(DemandShareMessage::to_share)
                    .collect();
                let tenant_shares = heartbeat.tenant_shares.iter();
                let tenant_shares = tenant_shares.map(TenantShareMessage::to_share).collect();
                let counts_quotas = heartbeat.counts_quotas;
                host.with_router(|router, now| {
                    router.update_quota_shares(now, now - delay, counts_quotas, tenant_shares);
                    router.set_hosts(heartbeat.host_count as usize);
                    router.set_overloads(now, &overloads);
                    if heartbeat.counts_limits {
                        router.update_demand_shares(now, shares);
                    }
                });
                timeout(
                    LEADER_TIMEOUT,
                    link.send(Body::Report(create_report(host, &heartbeat, !has_reported))),
                )
                .await
                .ok()??;
                has_reported = true;
                if host.is_leaving() {
                    return Some(FollowEnd::LeaderResigned);
                }
                // The report has told the leader, too.
                if host.known_term() > term {
                    return None;
                }
                if should_replace_leader(host, &heartbeat, &mut outage_since) {
                    return Some(FollowEnd::StoreLost);
                }
            }
            Body::Table(table) if table.term >= term => {
                term = table.term;
                host.with_router(|router, _| router.update_table(table.into()));
            }
            Body::TableChanges(changes) if changes.term == term => {
                let changes = RoutingTable::from(changes);
                let applied = host.with_router(|router, _| {
                    router.apply_table_changes(term, changes.version, &changes.services)
                });
                if !applied {
                    timeout(LEADER_TIMEOUT, link.send(Body::RequestTable(true)))
                        .await
                        .ok()??;
                }
            }
            Body::Allowance(allowance) => host.allowances.handle_reply(&allowance),
            Body::StoreUpdate(update) => watch::apply_store_update(host, update),
            Body::Resign(_) => return Some(FollowEnd::LeaderResigned),
            _ => return None,
        }
    }
}

fn create_report(host: &EntryHost, heartbeat: &Heartbeat, is_first: bool) -> Report {
    let observed = host.suspects.take_unreported();
    let crashes = if is_first {
        host.suspects.learnt_since(Time::ZERO)
    } else {
        observed
    };
    Report {
        echo: heartbeat.sent_at,
        key_counts: take_key_counts(host),
        missing: host.take_missing_keys(),
        term: host.known_term(),
        limits: host
            .with_router(|router, now| router.take_rate_limit_reports(now))
            .into_iter()
            .map(LimitMessage::from)
            .collect(),
        store_era: host.store.era(),
        lacks_servers: !host.reaches_servers(),
        departures: host
            .with_router(|router, _| router.take_departure_reports())
            .iter()
            .map(DepartureMessage::from)
            .collect(),
        crashes: CrashesMessage::new(clock::now(), &crashes),
        service_times: take_service_times(host),
        tenants: take_tenant_usage(host),
    }
}

/// Whether the leader has been unable to reach the store for too long while the store has responded
/// to this host.
fn should_replace_leader(
    host: &EntryHost,
    heartbeat: &Heartbeat,
    outage_since: &mut Option<Time>,
) -> bool {
    if heartbeat.store_reachable {
        *outage_since = None;
        return false;
    }
    let now = clock::now();
    let since = *outage_since.get_or_insert(now);
    now.since(since) >= STORE_OUTAGE_LIMIT && host.store.last_response() > since
}

/// Asks a host how long it has not heard the leader; `None` without a reply in time.
pub(crate) async fn query_silence(address: SocketAddr) -> Option<Duration> {
    match query(address, Body::QuerySilence(true)).await? {
        Body::SilenceMillis(millis) => Some(Duration::from_millis(millis)),
        _ => None,
    }
}

/// What another host says of the routing table.
pub(crate) enum TableAnswer {
    /// It has a later table.
    Later(RoutingTable),
    /// It has the same table, and hears the leader.
    Unchanged,
    /// It does not hear the leader either, or has not answered in time.
    Unknown,
}

/// Asks a host for its routing table, if that is later than the one of the given term and version.
pub(crate) async fn query_table(address: SocketAddr, (term, version): (u64, u64)) -> TableAnswer {
    let known = TableMessage {
        term,
        version,
        services: Vec::new(),
    };
    match query(address, Body::QueryTable(known)).await {
        Some(Body::Table(table)) => TableAnswer::Later(table.into()),
        Some(Body::SilenceMillis(millis)) if millis < LEADER_TIMEOUT.as_millis() as u64 => {
            TableAnswer::Unchanged
        }
        _ => TableAnswer::Unknown,
    }
}

async fn query(address: SocketAddr, question: Body) -> Option<Body> {
    let exchange = async {
        let mut link = Link::new(TcpStream::connect(address).await.ok()?);
        link.send(question).await?;
        link.receive().await
    };
    timeout(QUERY_TIMEOUT, exchange).await.ok().flatten()
}

/// Sends a host a message that has no reply.
pub(crate) async fn tell(address: SocketAddr, body: Body) {
    let send = async {
        let mut link = Link::new(TcpStream::connect(address).await.ok()?);
        link.send(body).await
    };
    // A host that is not reached is told again later.
    let _ = timeout(CONNECT_TIMEOUT, send).await;
}
