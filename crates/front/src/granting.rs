//! The one host that grants keys, and how the others follow and replace it.

mod leading;
mod record;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{Granter, GranterTiming, Order, Placement, Table, World};
use amaranthshunt_core::ids::CallId;
use amaranthshunt_core::log::Code;
use amaranthshunt_platform as platform;
use async_std::task;
use rand::Rng;

use crate::clock;
use crate::front::Front;
use crate::lock::lock;
use crate::logs::write_log;
use crate::messages::{Beat, Body, Heat, Report, TableMessage};
use crate::orders::{Call, OrderClient};
use crate::peers::{self, Ended};
use crate::watch::{KINDS, list};
pub(crate) use leading::Leading;
use record::{Written, create, first_record, read_record, replace, take};

/// How long a grant holds: a lost server's keys are elsewhere after it, and a lost granter is
/// replaced well within it.
const HOLD: Duration = Duration::from_millis(4_000);
/// Time between two renewals: a third of the hold, so that one may be lost.
const RENEWAL: Duration = Duration::from_millis(1_200);
/// Time without a confirmation after which the granter gives no more orders.
const AUTHORITY: Duration = Duration::from_millis(2_000);
/// Transit of an order and its abort, on top of the worst-case hold.
const MARGIN: Duration = Duration::from_millis(300);
/// Time before moves that have ended are taken off record.
const TIDY: Duration = Duration::from_millis(1_000);
/// Time for hosts to come on the list; bounds are shared among more hosts than are known before.
const GATHERING: Duration = Duration::from_millis(4_000);
/// Time between two looks at what has to be ordered.
const TICK: Duration = Duration::from_millis(40);
/// Time between two beats.
const BEAT: Duration = Duration::from_millis(500);
/// Age of the last confirmation at which the store is asked.
const CONFIRM_AGE: Duration = Duration::from_millis(1_100);
/// Pause between two questions to the store.
const CONFIRM_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a call to the store that failed.
const STORE_PAUSE: Duration = Duration::from_millis(400);
/// Longest random wait before the record is written by a host that would grant.
const CANDIDACY: Duration = Duration::from_millis(300);
/// Time by which small hosts let larger ones go first: a candidacy and one call to the store.
const HEAD_START: Duration = Duration::from_millis(450);
/// Time without a new server after which keys are placed the first time.
const FIRST_CALM: Duration = Duration::from_millis(1_800);
/// Longest time before keys are placed the first time.
const FIRST_PLACING: Duration = Duration::from_millis(5_000);

/// Puts the host on record, then follows or is the granting host until the task is ended.
pub(crate) async fn run(front: Arc<Front>) {
    let mut hosts = register(&front).await;
    hosts.remove(&front.settings.name);
    let mut started = true;
    let mut known: Option<(u64, String)> = None;
    loop {
        if front.is_leaving() {
            return;
        }
        let record = match read_record(&front).await {
            Ok(record) => record,
            Err(error) => {
                log::warn!("the record of grants cannot be read: {error}");
                task::sleep(STORE_PAUSE).await;
                continue;
            }
        };
        let Some((record, revision)) = record else {
            wait_turn(&front).await;
            if let Some(revision) = create(&front).await {
                lead(&front, first_record(&front), revision, &hosts).await;
            }
            continue;
        };
        let own = record.holder == front.settings.name;
        let current = (record.term, record.holder.clone());
        let heard_before = known.as_ref() == Some(&current);
        if !own && !heard_before {
            front.log(
                Code::GranterFollowed,
                &record.holder,
                format!("term {}", record.term),
            );
        }
        known = Some(current);
        let mut ended = Ended::Lost;
        if !own {
            front.route(|router, _| router.set_table(table_of(&record)));
            ended = peers::follow(&front, record.address, record.term).await;
        }
        if front.is_leaving() {
            return;
        }
        if !own && ended != Ended::Resigned && !started && others_hear(&hosts).await {
            task::sleep(STORE_PAUSE).await;
            continue;
        }
        started = false;
        wait_turn(&front).await;
        if let Some((record, revision)) = take(&front, &record, revision).await {
            lead(&front, record, revision, &hosts).await;
        }
    }
}

async fn wait_turn(front: &Front) {
    let wait = rand::rng().random_range(0..CANDIDACY.as_millis() as u64);
    let head_start = if front.settings.is_small() {
        HEAD_START
    } else {
        Duration::ZERO
    };
    task::sleep(head_start + Duration::from_millis(wait)).await;
}

/// Whether another host hears the granting one, so that only the way there is broken.
async fn others_hear(hosts: &BTreeMap<String, SocketAddr>) -> bool {
    let asked = hosts.values().map(|address| Box::pin(peers::ask(*address)));
    let answers = futures::future::join_all(asked).await;
    answers
        .into_iter()
        .flatten()
        .any(|silent| silent < peers::SILENCE)
}

/// Puts the host on the list of hosts, and reads the list.
async fn register(front: &Front) -> BTreeMap<String, SocketAddr> {
    let name = &front.settings.name;
    loop {
        let objects = match list(front, platform::HOSTS).await {
            Ok((objects, _)) => objects,
            Err(error) => {
                log::warn!("the list of hosts cannot be read: {error}");
                task::sleep(STORE_PAUSE).await;
                continue;
            }
        };
        let read = objects.iter().filter_map(|object| {
            Some((object.name.clone(), platform::read_host(&object.spec).ok()?))
        });
        let hosts: BTreeMap<String, SocketAddr> = read.collect();
        let count = hosts.len();
        front.route(|router, _| router.set_hosts(router.hosts().max(count)));
        if hosts.get(name) == Some(&front.settings.peers()) {
            return hosts;
        }
        let spec = platform::write_host(&front.settings.domain, front.settings.peers());
        let path = platform::list_path(platform::HOSTS, None);
        front.counters.store_calls.add();
        let body = platform::create_body(name, &spec);
        match front.store.call("POST", &path, &body, Duration::ZERO).await {
            Ok(_) => return hosts,
            Err(error) => {
                log::warn!("the host cannot be put on the list: {error}");
                task::sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// The table that a record amounts to, for a host that cannot hear the granting one.
fn table_of(record: &Placement) -> Table {
    let spans = record.services.iter().map(|(service, spans)| {
        let spans = spans
            .iter()
            .map(|span| amaranthshunt_core::front::TableSpan {
                from: span.from,
                to: span.to,
                server: span.owner.clone().filter(|_| span.previous.is_none()),
            });
        (service.clone(), spans.collect())
    });
    Table {
        term: record.term,
        version: 0,
        services: spans.collect(),
    }
}

/// Grants keys until another host does, or this one leaves.
async fn lead(
    front: &Arc<Front>,
    record: Placement,
    revision: u64,
    hosts: &BTreeMap<String, SocketAddr>,
) {
    let timing = GranterTiming {
        hold: HOLD.min(front.settings.hold_limit),
        renewal: RENEWAL,
        authority: AUTHORITY,
        margin: MARGIN,
        tidy: TIDY,
    };
    let name = front.settings.name.clone();
    front.log(Code::GranterStarted, &name, format!("term {}", record.term));
    let started = clock::now();
    let first = record.services.is_empty();
    let mut members: BTreeSet<String> = hosts.keys().cloned().collect();
    members.insert(name.clone());
    let leading = Arc::new(Leading {
        granter: Mutex::new(Granter::new(started, &record, timing)),
        followers: Mutex::default(),
        orders: OrderClient::default(),
        members: Mutex::new(members),
        revision: Mutex::new(revision),
        ended: AtomicBool::new(false),
        started,
    });
    front.set_leading(Some(leading.clone()));
    let mut beaten = Time::ZERO;
    let mut asked = Time::ZERO;
    let mut published = Table::default();
    let mut counted = (0, started);
    let mut gathered = false;
    while !leading.is_ended() {
        let now = clock::now();
        confirm(front, &leading, now, &mut asked);
        let count = front.route(|router, _| router.servers().iter().count());
        if count != counted.0 {
            counted = (count, now);
        }
        let calm = count > 0 && now.since(counted.1) >= FIRST_CALM;
        let waits = first && !calm && now.since(started) < FIRST_PLACING;
        if !waits {
            advance(front, &leading, &mut published);
        }
        if now.since(beaten) >= BEAT {
            beaten = now;
            beat(front, &leading, now, now.since(started) >= GATHERING);
        }
        if !gathered && now.since(started) >= GATHERING / 2 {
            gathered = true;
            task::spawn(gather(front.clone(), leading.clone()));
        }
        task::sleep(TICK).await;
        if front.is_leaving() {
            leading.send_all(Body::Resign(true));
            break;
        }
    }
    front.set_leading(None);
    front.log(Code::GranterEnded, &name, format!("term {}", record.term));
}

/// Finds out whether this host is still the granting one: from the hosts, or else the store.
fn confirm(front: &Arc<Front>, leading: &Arc<Leading>, now: Time, asked: &mut Time) {
    let hosts = lock(&leading.members).len();
    let echo = leading.majority_echo(hosts);
    if let Some(echo) = echo {
        let mut granter = lock(&leading.granter);
        granter.confirm(echo);
        if echo > leading.started {
            granter.follow(now);
        }
    }
    let fresh = echo.is_some_and(|echo| now.since(echo) < CONFIRM_AGE);
    if fresh || now.since(*asked) < CONFIRM_PAUSE {
        return;
    }
    *asked = now;
    let (front, leading) = (front.clone(), leading.clone());
    task::spawn(async move {
        let sent = clock::now();
        let Ok(Some((record, _))) = read_record(&front).await else {
            return;
        };
        let term = lock(&leading.granter).term();
        if record.term == term {
            lock(&leading.granter).confirm(sent);
        } else {
            leading.ended.store(true, Ordering::Relaxed);
        }
    });
}

fn advance(front: &Arc<Front>, leading: &Arc<Leading>, published: &mut Table) {
    let orders = front.route(|router, now| {
        let config = router.config().cloned().unwrap_or_default();
        let world = World {
            servers: router.servers(),
            usual: router.usual_times(),
            config: &config,
            evacuated: router.evacuated(),
        };
        lock(&leading.granter).advance(now, world)
    });
    for order in orders {
        execute(front, leading, order);
    }
    let changed = {
        let granter = lock(&leading.granter);
        let table = granter.table();
        (table.version != published.version).then(|| table.clone())
    };
    if let Some(table) = changed {
        let changes = table.changes_since(published);
        let message = TableMessage::new(table.term, table.version, &changes);
        leading.send_all(Body::Changes(message));
        front.route(|router, _| router.set_table(table.clone()));
        *published = table;
    }
}

fn execute(front: &Arc<Front>, leading: &Arc<Leading>, order: Order) {
    match order {
        Order::Log(record) => write_log(&front.settings.name, &record),
        Order::Write(placement) => {
            task::spawn(write(front.clone(), leading.clone(), placement));
        }
        Order::Grant {
            call,
            server,
            from,
            to,
            fence,
            hold,
            handover,
            renewal,
            ..
        } => {
            front.counters.grants.add();
            let body = platform::grant_body(from, to, fence, hold, handover.as_deref());
            order_server(
                front,
                leading,
                call,
                &server,
                platform::grant_path(),
                body,
                renewal,
            );
        }
        Order::Release {
            call,
            server,
            from,
            to,
            fence,
            ..
        } => {
            front.counters.releases.add();
            let body = platform::release_body(from, to, fence);
            order_server(
                front,
                leading,
                call,
                &server,
                platform::release_path(),
                body,
                false,
            );
        }
    }
}

fn order_server(
    front: &Arc<Front>,
    leading: &Arc<Leading>,
    number: CallId,
    server: &str,
    path: &'static str,
    body: Vec<u8>,
    kept_only: bool,
) {
    let entry = front.route(|router, _| {
        let servers = router.servers();
        let key = servers.find(server)?;
        servers.get(key).map(|standing| standing.entry.clone())
    });
    let leading = leading.clone();
    let Some(entry) = entry else {
        let reply = amaranthshunt_core::front::OrderReply::Unsent;
        let now = clock::now();
        lock(&leading.granter).answered(now, number, now, reply);
        return;
    };
    let call = Call {
        entry,
        path,
        body,
        kept_only,
    };
    task::spawn(async move {
        let (sent, reply) = leading.orders.give(&call).await;
        lock(&leading.granter).answered(clock::now(), number, sent, reply);
    });
}

/// Writes the record; what becomes of a write without an answer is found out by repeating it.
async fn write(front: Arc<Front>, leading: Arc<Leading>, placement: Placement) {
    let version = placement.version;
    while !leading.is_ended() {
        let revision = *lock(&leading.revision);
        match replace(&front, &placement, revision).await {
            Written::Done(revision) => {
                *lock(&leading.revision) = revision;
                lock(&leading.granter).recorded(version);
                return;
            }
            Written::Other => {
                leading.ended.store(true, Ordering::Relaxed);
                return;
            }
            Written::Failed(error) => {
                log::warn!("the record of grants cannot be written: {error}");
                task::sleep(STORE_PAUSE).await;
            }
        }
    }
}

/// Reads which hosts are on the list by now: not all were when this one put itself there.
async fn gather(front: Arc<Front>, leading: Arc<Leading>) {
    match list(&front, platform::HOSTS).await {
        Ok((objects, _)) => {
            let names = objects.into_iter().map(|object| object.name);
            lock(&leading.members).extend(names);
        }
        Err(error) => log::warn!("the list of hosts cannot be read: {error}"),
    }
}

fn beat(front: &Front, leading: &Leading, now: Time, gathered: bool) {
    let own = heat_of(front);
    let missing = front.take_missing();
    let term = lock(&leading.granter).term();
    leading.report(
        &front.settings.name,
        Report {
            echo: 0,
            heat: own,
            missing,
            term: 0,
        },
    );
    let members = lock(&leading.members).len();
    let hosts = front.route(|router, _| {
        let hosts = if gathered {
            members
        } else {
            members.max(router.hosts())
        };
        router.set_hosts(hosts);
        hosts
    });
    let beat = Beat {
        term,
        sent: now.as_micros(),
        hosts: hosts as u32,
        store: front.store.outage().is_none(),
        changes: KINDS
            .iter()
            .map(|kind| front.freshness(kind).change())
            .collect(),
        ages: KINDS
            .iter()
            .map(|kind| front.freshness(kind).age(now).as_millis() as u64)
            .collect(),
    };
    leading.send_all(Body::Beat(beat));
}

/// Requests by key since the last call, as they are told to the granting host.
pub(crate) fn heat_of(front: &Front) -> Vec<Heat> {
    let heat = front.route(|router, _| router.take_heat());
    let heat = heat.into_iter().map(|(service, counts)| Heat {
        service: service.to_string(),
        keys: counts.keys().map(|key| u32::from(*key)).collect(),
        counts: counts.values().copied().collect(),
    });
    heat.collect()
}
