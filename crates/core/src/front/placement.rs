//! Which server holds which keys, as it is on record and as requests are routed.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

/// What the store keeps of the keys: who grants them, and who was last to get them.
///
/// It is written before any order that follows from it is sent, so that whoever reads it knows
/// every server that may hold a key.
#[derive(Clone, Debug, PartialEq)]
pub struct Placement {
    /// How often the granting host has changed; the high part of every fence token.
    pub term: u64,
    /// How often the record was written in this term.
    pub version: u64,
    /// The name of the granting host.
    pub holder: String,
    /// Where other hosts reach it.
    pub address: SocketAddr,
    /// The spans of each service, in the order of their keys.
    pub services: BTreeMap<Arc<str>, Vec<KeySpan>>,
}

/// Keys that one server holds or is about to get.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeySpan {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The server that holds the keys or is about to get them.
    pub owner: Option<Arc<str>>,
    /// The server that may still hold them.
    pub previous: Option<Arc<str>>,
}

/// Where requests with keys are sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Table {
    /// The term of the host that made it.
    pub term: u64,
    /// Its number within the term.
    pub version: u64,
    /// The spans of each service, in the order of their keys.
    pub services: BTreeMap<Arc<str>, Vec<TableSpan>>,
}

/// Keys and the server that serves them now.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TableSpan {
    /// The first key.
    pub from: u16,
    /// The last key.
    pub to: u16,
    /// The server; `None` while the keys are between two servers.
    pub server: Option<Arc<str>>,
}

impl Table {
    /// The server of a key; `None` while there is none.
    pub fn owner(&self, service: &str, key: u16) -> Option<&Arc<str>> {
        let spans = self.services.get(service)?;
        let index = spans.partition_point(|span| span.to < key);
        let span = spans.get(index).filter(|span| span.from <= key)?;
        span.server.as_ref()
    }

    /// The spans in which another table of the same term differs from an earlier one.
    pub fn changes_since(&self, earlier: &Self) -> BTreeMap<Arc<str>, Vec<TableSpan>> {
        let mut changes = BTreeMap::new();
        for (service, spans) in &self.services {
            let known = earlier.services.get(service).map_or(&[][..], Vec::as_slice);
            let differs = |span: &&TableSpan| {
                let index = known.partition_point(|old| old.to < span.from);
                let old = known.get(index);
                let same = old.is_some_and(|old| {
                    old.from <= span.from && span.to <= old.to && old.server == span.server
                });
                !same
            };
            let changed: Vec<TableSpan> = spans.iter().filter(differs).cloned().collect();
            if !changed.is_empty() {
                changes.insert(service.clone(), changed);
            }
        }
        changes
    }

    /// Takes in changed spans, which make this table the given version.
    pub fn apply(&mut self, version: u64, changes: &BTreeMap<Arc<str>, Vec<TableSpan>>) {
        for (service, spans) in changes {
            let known = self.services.entry(service.clone()).or_default();
            for span in spans {
                assign(known, span);
            }
        }
        self.version = version;
    }

    /// Whether another table was made later.
    pub fn is_older_than(&self, other: &Self) -> bool {
        (self.term, self.version) < (other.term, other.version)
    }
}

/// Puts one span into others, of which those that it covers partly are cut.
fn assign(spans: &mut Vec<TableSpan>, new: &TableSpan) {
    let first = spans.partition_point(|span| span.to < new.from);
    let end = spans.partition_point(|span| span.from <= new.to);
    let mut kept = Vec::with_capacity(3);
    for span in &spans[first..end] {
        if span.from < new.from {
            let to = new.from - 1;
            kept.push(TableSpan { to, ..span.clone() });
        }
    }
    kept.push(new.clone());
    for span in &spans[first..end] {
        if span.to > new.to {
            let from = new.to + 1;
            kept.push(TableSpan {
                from,
                ..span.clone()
            });
        }
    }
    spans.splice(first..end, kept);
}
