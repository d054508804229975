//! Routing tables of keys in messages between hosts.

use std::collections::BTreeMap;
use std::sync::Arc;

use amaranthshunt_core::front::{RoutingSpan, RoutingTable};
use prost::Message;

/// A routing table of keys, or changes of it.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct TableMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    #[prost(message, repeated, tag = "3")]
    pub(crate) services: Vec<ServiceTable>,
}

/// The key ranges of one service.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct ServiceTable {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Servers, to which `owners` refers by index plus one; zero stands for no server.
    #[prost(string, repeated, tag = "2")]
    pub(crate) servers: Vec<String>,
    /// The last key of each range.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) ends: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) owners: Vec<u32>,
    /// The first key of each range.
    #[prost(uint32, repeated, tag = "5")]
    pub(crate) starts: Vec<u32>,
}

impl TableMessage {
    /// Encodes key ranges of a table of a term and version.
    pub(crate) fn new(
        term: u64,
        version: u64,
        services: &BTreeMap<Arc<str>, Vec<RoutingSpan>>,
    ) -> Self {
        let services = services.iter();
        Self {
            term,
            version,
            services: services
                .map(|(name, spans)| encode_spans(name, spans))
                .collect(),
        }
    }
}

impl From<&RoutingTable> for TableMessage {
    fn from(table: &RoutingTable) -> Self {
        Self::new(table.term, table.version, &table.services)
    }
}

fn encode_spans(service: &str, spans: &[RoutingSpan]) -> ServiceTable {
    let mut encoded = ServiceTable {
        service: service.to_owned(),
        ..ServiceTable::default()
    };
    for span in spans {
        let owner = span.server.as_ref().map_or(0, |server| {
            let existing = encoded.servers.iter().position(|name| **name == **server);
            let index = existing.unwrap_or_else(|| {
                encoded.servers.push(server.to_string());
                encoded.servers.len() - 1
            });
            index as u32 + 1
        });
        encoded.starts.push(u32::from(span.from));
        encoded.ends.push(u32::from(span.to));
        encoded.owners.push(owner);
    }
    encoded
}

impl From<TableMessage> for RoutingTable {
    fn from(message: TableMessage) -> Self {
        let services = message.services.into_iter().map(decode_spans);
        Self {
            term: message.term,
            version: message.version,
            services: services.collect::<BTreeMap<Arc<str>, Vec<RoutingSpan>>>(),
        }
    }
}

fn decode_spans(encoded: ServiceTable) -> (Arc<str>, Vec<RoutingSpan>) {
    let servers: Vec<Arc<str>> = encoded
        .servers
        .iter()
        .map(|name| Arc::from(name.as_str()))
        .collect();
    let keys = encoded.starts.iter().zip(&encoded.ends);
    let spans = keys.zip(&encoded.owners).map(|((from, to), owner)| {
        let index = (*owner as usize).checked_sub(1);
        RoutingSpan {
            from: *from as u16,
            to: *to as u16,
            server: index.and_then(|index| servers.get(index)).cloned(),
        }
    });
    let spans = spans.collect();
    (Arc::from(encoded.service.as_str()), spans)
}
