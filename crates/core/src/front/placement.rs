//! Assignment of keys to servers, as stored and as used for routing.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of bits of a term below the era of the store in which it began.
const ERA_SHIFT: u32 = 16;

/// The first term of an era of the store; above all terms of earlier eras, whatever was lost.
pub fn first_term(era: u64) -> u64 {
    (era << ERA_SHIFT) + 1
}

/// The stored record of the keys: the leader, and the server that each key was last assigned to.
///
/// It is written before any order that depends on it is sent, so that it lists every server that
/// may hold a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// The leader's time in office: the era of the store in which it began, and a number within that
    /// era. The high bits of every fence token.
    pub term: u64,
    /// Number of writes of the record in this term.
    pub version: u64,
    /// Name of the leader.
    pub leader: String,
    /// Address at which other hosts reach it.
    pub address: SocketAddr,
    /// Spans of each service, sorted by key.
    pub services: BTreeMap<Arc<str>, Vec<KeySpan>>,
    /// The era of the store of which the record lists all holders of keys. In a later era, moves
    /// that the store has lost may be missing. `None` if a version without eras wrote the record.
    pub complete_era: Option<u64>,
    /// The hosts of which more than half confirm the leader and its successors, until one of these has
    /// written other ones. `None` if a version without such lists wrote the record.
    pub voters: Option<BTreeSet<String>>,
}

impl Placement {
    /// Whether the record lists all holders of keys if it was read in the given era.
    pub fn lists_all_holders(&self, era: u64) -> bool {
        self.complete_era.is_none_or(|complete| complete == era)
    }

    /// The term of the next leader, which takes office in the given era.
    pub fn next_term(&self, era: u64) -> u64 {
        first_term(era).max(self.term + 1)
    }

    /// The record of a leader that succeeds this one in the given era.
    #[must_use]
    pub fn succeed(&self, era: u64, leader: &str, address: SocketAddr) -> Self {
        let complete_era = if self.lists_all_holders(era) {
            Some(era)
        } else {
            self.complete_era
        };
        Self {
            term: self.next_term(era),
            version: self.version + 1,
            leader: leader.to_owned(),
            address,
            services: self.services.clone(),
            complete_era,
            voters: self.voters.clone(),
        }
    }
}

/// A range of keys that one server holds or is about to receive.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeySpan {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The server that holds the keys or is about to receive them.
    pub owner: Option<Arc<str>>,
    /// The server that may still hold them.
    pub previous: Option<Arc<str>>,
}

/// Routing table for requests with keys.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RoutingTable {
    /// Term of the leader that created it.
    pub term: u64,
    /// Version within the term.
    pub version: u64,
    /// Spans of each service, sorted by key.
    pub services: BTreeMap<Arc<str>, Vec<RoutingSpan>>,
}

/// A range of keys and the server that serves it now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RoutingSpan {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The server; `None` while the keys are in transit between two servers.
    pub server: Option<Arc<str>>,
}

impl RoutingTable {
    /// Returns the server of a key, if there is one now.
    pub fn owner(&self, service: &str, key: u16) -> Option<&Arc<str>> {
        let spans = self.services.get(service)?;
        let index = spans.partition_point(|span| span.to < key);
        let span = spans.get(index).filter(|span| span.from <= key)?;
        span.server.as_ref()
    }

    /// Returns the spans in which this table differs from an earlier one of the same term.
    pub fn changes_since(&self, earlier: &Self) -> BTreeMap<Arc<str>, Vec<RoutingSpan>> {
        let mut changes = BTreeMap::new();
        for (service, spans) in &self.services {
            let known = earlier.services.get(service).map_or(&[][..], Vec::as_slice);
            let is_changed = |span: &&RoutingSpan| {
                let index = known.partition_point(|old| old.to < span.from);
                let old = known.get(index);
                let same = old.is_some_and(|old| {
                    old.from <= span.from && span.to <= old.to && old.server == span.server
                });
                !same
            };
            let changed: Vec<RoutingSpan> = spans.iter().filter(is_changed).cloned().collect();
            if !changed.is_empty() {
                changes.insert(service.clone(), changed);
            }
        }
        changes
    }

    /// Applies changed spans, which bring this table to the given version.
    pub fn apply(&mut self, version: u64, changes: &BTreeMap<Arc<str>, Vec<RoutingSpan>>) {
        for (service, spans) in changes {
            let known = self.services.entry(service.clone()).or_default();
            for span in spans {
                insert_span(known, span);
            }
        }
        self.version = version;
    }

    /// Whether `other` was created later.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.term, self.version) < (other.term, other.version)
    }
}

/// Inserts a span and trims the spans that it overlaps.
fn insert_span(spans: &mut Vec<RoutingSpan>, new: &RoutingSpan) {
    let first = spans.partition_point(|span| span.to < new.from);
    let end = spans.partition_point(|span| span.from <= new.to);
    let mut kept = Vec::with_capacity(3);
    for span in &spans[first..end] {
        if span.from < new.from {
            let to = new.from - 1;
            kept.push(RoutingSpan { to, ..span.clone() });
        }
    }
    kept.push(new.clone());
    for span in &spans[first..end] {
        if span.to > new.to {
            let from = new.to + 1;
            kept.push(RoutingSpan {
                from,
                ..span.clone()
            });
        }
    }
    spans.splice(first..end, kept);
}
