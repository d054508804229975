//! Messages between entry hosts, as `prost` derives them.
//!
//! Field numbers are never reused. `docs/platform-path.md`, "Between hosts", says who sends what.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::{ServerEntry, Table, TableSpan};
use async_std::net::TcpStream;
use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use prost::{Message, Oneof};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// The longest message, in bytes; a table of some thousand spans fits.
const FRAME_LIMIT: usize = 1 << 20;

/// Any message.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Envelope {
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10")]
    pub(crate) body: Option<Body>,
}

/// What a message says.
#[derive(Clone, Oneof, PartialEq)]
pub(crate) enum Body {
    /// A host wants to follow the granting one.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The granting host is there.
    #[prost(message, tag = "2")]
    Beat(Beat),
    /// What a following host saw; answers a beat.
    #[prost(message, tag = "3")]
    Report(Report),
    /// Where requests with keys go.
    #[prost(message, tag = "4")]
    Table(TableMessage),
    /// The granting host is about to leave.
    #[prost(bool, tag = "5")]
    Resign(bool),
    /// Asks for how long the granting host has been silent.
    #[prost(bool, tag = "6")]
    Ask(bool),
    /// Milliseconds since the granting host was heard.
    #[prost(uint64, tag = "7")]
    Silent(u64),
    /// What changed in the table since the version before.
    #[prost(message, tag = "8")]
    Changes(TableMessage),
    /// A following host has missed a change and needs the whole table.
    #[prost(bool, tag = "9")]
    TableLost(bool),
    /// What the store has told the granting host.
    #[prost(message, tag = "10")]
    News(News),
}

/// Who a following host is.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Hello {
    #[prost(string, tag = "1")]
    pub(crate) name: String,
}

/// A sign of life of the granting host.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Beat {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    /// The sender's clock, to be echoed.
    #[prost(uint64, tag = "2")]
    pub(crate) sent: u64,
    /// Hosts that share bounds.
    #[prost(uint32, tag = "3")]
    pub(crate) hosts: u32,
    /// Whether the sender reaches the store.
    #[prost(bool, tag = "4")]
    pub(crate) store: bool,
    /// The revision of the last change of each kind that is watched, in the order of
    /// [`crate::watch::KINDS`].
    #[prost(uint64, repeated, tag = "5")]
    pub(crate) changes: Vec<u64>,
    /// For how long the store has told the sender nothing of each kind, in milliseconds.
    #[prost(uint64, repeated, tag = "6")]
    pub(crate) ages: Vec<u64>,
}

/// Changes of one kind of store object between two revisions.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct News {
    /// The index of the kind in [`crate::watch::KINDS`].
    #[prost(uint32, tag = "1")]
    pub(crate) kind: u32,
    #[prost(uint64, tag = "2")]
    pub(crate) from: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) to: u64,
    /// Entries of servers that are new or have changed.
    #[prost(message, repeated, tag = "4")]
    pub(crate) entries: Vec<EntryMessage>,
    /// Servers whose entries are gone.
    #[prost(string, repeated, tag = "5")]
    pub(crate) removed: Vec<String>,
    /// All failure domains that operators have taken out.
    #[prost(string, repeated, tag = "6")]
    pub(crate) domains: Vec<String>,
    /// For how long entries that are gone may yet be back, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub(crate) returns: u64,
}

/// What a server says of itself.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct EntryMessage {
    #[prost(string, tag = "1")]
    pub(crate) id: String,
    #[prost(string, tag = "2")]
    pub(crate) service: String,
    #[prost(string, tag = "3")]
    pub(crate) address: String,
    #[prost(string, tag = "4")]
    pub(crate) domain: String,
    #[prost(uint32, tag = "5")]
    pub(crate) slots: u32,
    #[prost(bool, tag = "6")]
    pub(crate) draining: bool,
    /// How much longer it is cold, in milliseconds.
    #[prost(uint64, tag = "7")]
    pub(crate) cold: u64,
    #[prost(uint64, optional, tag = "8")]
    pub(crate) born: Option<u64>,
}

impl From<&ServerEntry> for EntryMessage {
    fn from(entry: &ServerEntry) -> Self {
        Self {
            id: entry.id.to_string(),
            service: entry.service.to_string(),
            address: entry.address.to_string(),
            domain: entry.domain.clone(),
            slots: entry.slots,
            draining: entry.draining,
            cold: entry.cold_for.as_millis() as u64,
            born: entry.born,
        }
    }
}

impl EntryMessage {
    /// The entry; `None` where its address cannot be read.
    pub(crate) fn to_entry(&self) -> Option<ServerEntry> {
        Some(ServerEntry {
            id: Arc::from(self.id.as_str()),
            service: Arc::from(self.service.as_str()),
            address: self.address.parse().ok()?,
            domain: self.domain.clone(),
            slots: self.slots,
            draining: self.draining,
            cold_for: Duration::from_millis(self.cold),
            born: self.born,
        })
    }
}

/// What a following host saw since its last report.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Report {
    /// The clock of the beat that is answered.
    #[prost(uint64, tag = "1")]
    pub(crate) echo: u64,
    #[prost(message, repeated, tag = "2")]
    pub(crate) heat: Vec<Heat>,
    #[prost(message, repeated, tag = "3")]
    pub(crate) missing: Vec<Missing>,
    /// A later term that the sender knows of.
    #[prost(uint64, tag = "4")]
    pub(crate) term: u64,
}

/// Requests of one service by key.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Heat {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint32, repeated, tag = "2")]
    pub(crate) keys: Vec<u32>,
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) counts: Vec<u32>,
}

/// A server that does not hold a key that it should.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct Missing {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(uint32, tag = "2")]
    pub(crate) key: u32,
    #[prost(string, tag = "3")]
    pub(crate) server: String,
}

/// A table of keys.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct TableMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) version: u64,
    #[prost(message, repeated, tag = "3")]
    pub(crate) services: Vec<ServiceTable>,
}

/// The spans of one service.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct ServiceTable {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    /// Servers that the spans name by index, one more than it; zero names none.
    #[prost(string, repeated, tag = "2")]
    pub(crate) servers: Vec<String>,
    /// The last key of each span.
    #[prost(uint32, repeated, tag = "3")]
    pub(crate) ends: Vec<u32>,
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) owners: Vec<u32>,
    /// The first key of each span.
    #[prost(uint32, repeated, tag = "5")]
    pub(crate) starts: Vec<u32>,
}

impl TableMessage {
    /// Packs spans of a table of a term and version.
    pub(crate) fn new(
        term: u64,
        version: u64,
        services: &BTreeMap<Arc<str>, Vec<TableSpan>>,
    ) -> Self {
        let services = services.iter();
        Self {
            term,
            version,
            services: services.map(|(name, spans)| pack(name, spans)).collect(),
        }
    }
}

impl From<&Table> for TableMessage {
    fn from(table: &Table) -> Self {
        Self::new(table.term, table.version, &table.services)
    }
}

fn pack(service: &str, spans: &[TableSpan]) -> ServiceTable {
    let mut packed = ServiceTable {
        service: service.to_owned(),
        ..ServiceTable::default()
    };
    for span in spans {
        let owner = span.server.as_ref().map_or(0, |server| {
            let known = packed.servers.iter().position(|name| **name == **server);
            let index = known.unwrap_or_else(|| {
                packed.servers.push(server.to_string());
                packed.servers.len() - 1
            });
            index as u32 + 1
        });
        packed.starts.push(u32::from(span.from));
        packed.ends.push(u32::from(span.to));
        packed.owners.push(owner);
    }
    packed
}

impl From<TableMessage> for Table {
    fn from(message: TableMessage) -> Self {
        let services = message.services.into_iter().map(unpack);
        Self {
            term: message.term,
            version: message.version,
            services: services.collect::<BTreeMap<Arc<str>, Vec<TableSpan>>>(),
        }
    }
}

fn unpack(packed: ServiceTable) -> (Arc<str>, Vec<TableSpan>) {
    let servers: Vec<Arc<str>> = packed
        .servers
        .iter()
        .map(|name| Arc::from(name.as_str()))
        .collect();
    let keys = packed.starts.iter().zip(&packed.ends);
    let spans = keys.zip(&packed.owners).map(|((from, to), owner)| {
        let index = (*owner as usize).checked_sub(1);
        TableSpan {
            from: *from as u16,
            to: *to as u16,
            server: index.and_then(|index| servers.get(index)).cloned(),
        }
    });
    let spans = spans.collect();
    (Arc::from(packed.service.as_str()), spans)
}

/// Packs a message, once for all hosts that it goes to.
pub(crate) fn frame(body: Body) -> Bytes {
    let envelope = Envelope { body: Some(body) };
    Bytes::from(envelope.encode_to_vec())
}

/// A connection to another host.
pub(crate) struct Link {
    framed: Framed<Compat<TcpStream>, LengthDelimitedCodec>,
}

impl Link {
    /// Takes an open connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        // Without it, only latency is lost; the connection's first use tells what ails it.
        let _ = stream.set_nodelay(true);
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(FRAME_LIMIT)
            .new_codec();
        Self {
            framed: Framed::new(stream.compat(), codec),
        }
    }

    /// Sends a message; `None` when the connection is broken.
    pub(crate) async fn send(&mut self, body: Body) -> Option<()> {
        self.send_frame(frame(body)).await
    }

    /// Sends a message that is packed already; `None` when the connection is broken.
    pub(crate) async fn send_frame(&mut self, bytes: Bytes) -> Option<()> {
        self.framed.send(bytes).await.ok()
    }

    /// Receives a message; `None` when the connection has ended or a frame is bad.
    pub(crate) async fn receive(&mut self) -> Option<Body> {
        let frame = self.framed.next().await?.ok()?;
        Envelope::decode(frame).ok()?.body
    }
}
