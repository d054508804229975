//! What a host knows about the leaders before it, and whether it may replace the last one.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use amaranthshunt_core::front::{Placement, RoutingSpan, RoutingTable};
use amaranthshunt_core::log::EventCode;
use async_std::task;
use rand::Rng;
use rand::seq::IteratorRandom;

use super::record::StoredRecord;
use crate::entry_host::EntryHost;
use crate::peers::{self, FollowEnd};

/// Maximum random delay before a host tries to become the leader.
const MAX_CANDIDACY_DELAY: Duration = Duration::from_millis(300);
/// Additional delay of small hosts, so that larger ones come first: the random delay and one call
/// to the store.
const SMALL_HOST_DELAY: Duration = Duration::from_millis(450);
/// Hosts that are asked whether they hear the leader.
const ASKED_HOSTS: usize = 16;
/// Silence of the leader up to which a host counts as hearing it: two heartbeats. Hosts that lose the
/// leader together notice it at slightly different times.
const HEARD_LIMIT: Duration = Duration::from_millis(1_000);
/// Interval at which a host that does not hear the leader asks one that does for its table.
const TABLE_INTERVAL: Duration = Duration::from_millis(500);
/// Number of such queries before the host tries to reach the leader again.
const TABLE_QUERIES: usize = 4;

/// What a host knows about the leaders before it.
pub(super) struct Candidate {
    /// Whether no host can have led before.
    pub(super) may_be_first: bool,
    /// The era of the store in which this host first read the record.
    first_era: Option<u64>,
    /// Term and name of the last leader.
    last_leader: Option<(u64, String)>,
}

impl Candidate {
    pub(super) fn new(first_start: bool) -> Self {
        Self {
            may_be_first: first_start,
            first_era: None,
            last_leader: None,
        }
    }

    pub(super) fn observe(&mut self, host: &EntryHost, stored: &StoredRecord) {
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
    pub(super) fn knows_leader_is_gone(
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
        record.is_complete(self.may_be_first) && (is_own || follow_end == FollowEnd::StoreLost)
    }
}

/// Follows the leader that the record names, if it is another host, until it is lost or resigns.
pub(super) async fn follow_recorded_leader(host: &EntryHost, stored: &StoredRecord) -> FollowEnd {
    match &stored.placement {
        Some(record) if record.leader != host.settings.name => {
            host.with_router(|router, _| router.update_table(table_from_record(record)));
            host.learn_leader(record.term, &record.leader, record.address);
            peers::follow_leader(host, record.address, record.term).await
        }
        _ => FollowEnd::LeaderLost,
    }
}

/// Follows the last leader that this host has heard of, while the store does not tell whether there is
/// a later one.
pub(super) async fn follow_known_leader(host: &EntryHost) {
    if let Some(known) = host
        .known_leader()
        .filter(|known| known.name != host.settings.name)
    {
        peers::follow_leader(host, known.address, known.term).await;
    }
}

pub(super) async fn delay_candidacy(host: &EntryHost) {
    let random_delay = rand::rng().random_range(0..MAX_CANDIDACY_DELAY.as_millis() as u64);
    let size_delay = if host.settings.is_small() {
        SMALL_HOST_DELAY
    } else {
        Duration::ZERO
    };
    task::sleep(size_delay + Duration::from_millis(random_delay)).await;
}

/// Another host that still hears the leader, so that only the connection from this host is broken.
///
/// Those are asked that the leader has named last, of every region, and some others.
pub(super) async fn find_leaders_follower(
    host: &EntryHost,
    hosts: &BTreeMap<String, SocketAddr>,
) -> Option<SocketAddr> {
    let mut asked = host.helpers.addresses();
    let others = hosts.values().filter(|address| !asked.contains(address));
    let count = ASKED_HOSTS.saturating_sub(asked.len());
    let others = others.copied().choose_multiple(&mut rand::rng(), count);
    asked.extend(others);
    let queries = asked
        .iter()
        .map(|address| Box::pin(peers::query_silence(*address)));
    let answers = futures::future::join_all(queries).await;
    let mut answers = asked.into_iter().zip(answers);
    let hears = |silence: Option<Duration>| silence.is_some_and(|it| it < HEARD_LIMIT);
    answers.find_map(|(address, silence)| hears(silence).then_some(address))
}

/// Keeps the routing table up to date by another host, for as long as that one hears the leader, and
/// returns when it is time to try the leader again.
pub(super) async fn follow_through(host: &EntryHost, address: SocketAddr) {
    for _ in 0..TABLE_QUERIES {
        let known = host.with_router(|router, _| (router.table().term, router.table().version));
        match peers::query_table(address, known).await {
            peers::TableAnswer::Later(table) => {
                host.with_router(|router, _| router.update_table(table));
            }
            peers::TableAnswer::Unchanged => {}
            peers::TableAnswer::Unknown => return,
        }
        task::sleep(TABLE_INTERVAL).await;
    }
}

/// The routing table that follows from a record, for a host that cannot reach the leader.
fn table_from_record(record: &Placement) -> RoutingTable {
    let spans = record.services.iter().map(|(service, spans)| {
        let spans = spans.iter().map(|span| RoutingSpan {
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
