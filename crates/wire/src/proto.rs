//! The wire format, as Protocol Buffers messages that `prost` derives.
//!
//! Field numbers are never reused. Times are microseconds since the Unix epoch.

#![allow(missing_docs)]

use bytes::Bytes;
use prost::{Message, Oneof};

#[derive(Clone, PartialEq, Message)]
pub struct Envelope {
    #[prost(
        oneof = "Body",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15"
    )]
    pub body: Option<Body>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum Body {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Heartbeat(HeartbeatBody),
    #[prost(message, tag = "3")]
    Promise(HeartbeatBody),
    #[prost(message, tag = "4")]
    Forward(Forward),
    #[prost(message, tag = "5")]
    Outcome(Outcome),
    #[prost(uint64, tag = "6")]
    Pull(u64),
    #[prost(message, tag = "7")]
    Delta(Delta),
    #[prost(message, tag = "8")]
    Copy(LedgerCopy),
    #[prost(uint64, tag = "9")]
    CopyKept(u64),
    #[prost(message, tag = "10")]
    Handover(Handover),
    #[prost(message, tag = "11")]
    HandoverTaken(HandoverTaken),
    #[prost(message, tag = "12")]
    Provision(Provision),
    #[prost(uint64, tag = "13")]
    Provisioned(u64),
    #[prost(message, tag = "14")]
    Suspect(Suspect),
    #[prost(uint64, tag = "15")]
    CopyBroken(u64),
}

#[derive(Clone, PartialEq, Message)]
pub struct Hello {
    #[prost(uint64, tag = "1")]
    pub from: u64,
    #[prost(string, tag = "2")]
    pub address: String,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct HeartbeatBody {
    #[prost(uint64, tag = "1")]
    pub sent: u64,
    #[prost(uint64, tag = "2")]
    pub term: u64,
    #[prost(uint64, tag = "3")]
    pub revision: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Forward {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub entry: String,
    #[prost(string, tag = "3")]
    pub tenant: String,
    #[prost(string, tag = "4")]
    pub key: String,
    #[prost(bytes = "bytes", optional, tag = "5")]
    pub idempotency: Option<Bytes>,
    #[prost(bool, tag = "6")]
    pub repeat: bool,
    #[prost(uint64, tag = "7")]
    pub deadline: u64,
    #[prost(bytes = "bytes", tag = "8")]
    pub body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
pub struct Outcome {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(oneof = "End", tags = "2, 3, 4")]
    pub end: Option<End>,
}

#[derive(Clone, PartialEq, Oneof)]
pub enum End {
    #[prost(message, tag = "2")]
    Answer(Answer),
    #[prost(uint32, tag = "3")]
    NotRun(u32),
    #[prost(uint32, tag = "4")]
    Unknown(u32),
}

#[derive(Clone, PartialEq, Message)]
pub struct Answer {
    #[prost(uint32, tag = "1")]
    pub status: u32,
    #[prost(bytes = "bytes", tag = "2")]
    pub body: Bytes,
}

#[derive(Clone, PartialEq, Message)]
pub struct Delta {
    #[prost(message, repeated, tag = "1")]
    pub objects: Vec<Object>,
    #[prost(uint64, tag = "2")]
    pub complete: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Object {
    #[prost(string, tag = "1")]
    pub key: String,
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<Bytes>,
}

#[derive(Clone, PartialEq, Message)]
pub struct LedgerCopy {
    #[prost(uint64, tag = "1")]
    pub sequence: u64,
    #[prost(uint64, optional, tag = "2")]
    pub full: Option<u64>,
    #[prost(message, optional, tag = "3")]
    pub ledger: Option<Ledger>,
}

#[derive(Clone, PartialEq, Message)]
pub struct Ledger {
    #[prost(message, repeated, tag = "1")]
    pub since: Vec<ShardCompleteness>,
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<LedgerRecord>,
    #[prost(message, repeated, tag = "3")]
    pub warm: Vec<WarmServer>,
}

#[derive(Clone, PartialEq, Message)]
pub struct ShardCompleteness {
    #[prost(string, tag = "1")]
    pub entry: String,
    #[prost(string, tag = "2")]
    pub region: String,
    #[prost(uint32, tag = "3")]
    pub index: u32,
    #[prost(uint64, tag = "4")]
    pub since: u64,
    #[prost(uint64, tag = "5")]
    pub epoch: u64,
    #[prost(uint64, tag = "6")]
    pub token: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct LedgerRecord {
    #[prost(string, tag = "1")]
    pub entry: String,
    #[prost(string, tag = "2")]
    pub region: String,
    #[prost(uint32, tag = "3")]
    pub index: u32,
    #[prost(bytes = "bytes", tag = "4")]
    pub key: Bytes,
    #[prost(fixed64, tag = "5")]
    pub fingerprint: u64,
    #[prost(oneof = "State", tags = "6, 7, 8, 9")]
    pub state: Option<State>,
}

/// The state of a ledger record; `Started` and `NotRun` carry `true`, as variants need a value.
#[derive(Clone, PartialEq, Oneof)]
pub enum State {
    #[prost(bool, tag = "6")]
    Started(bool),
    #[prost(message, tag = "7")]
    Answered(Answer),
    #[prost(uint32, tag = "8")]
    Doubtful(u32),
    #[prost(bool, tag = "9")]
    NotRun(bool),
}

#[derive(Clone, PartialEq, Message)]
pub struct WarmServer {
    #[prost(string, tag = "1")]
    pub server: String,
    #[prost(fixed64, tag = "2")]
    pub boot: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct Handover {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub server: String,
    #[prost(uint64, optional, tag = "3")]
    pub control: Option<u64>,
    #[prost(message, repeated, tag = "4")]
    pub shards: Vec<ShardEpoch>,
    #[prost(message, optional, tag = "5")]
    pub ledger: Option<Ledger>,
    #[prost(uint64, tag = "6")]
    pub source: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct ShardEpoch {
    #[prost(uint32, tag = "1")]
    pub index: u32,
    #[prost(uint64, tag = "2")]
    pub epoch: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct HandoverTaken {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(bool, tag = "2")]
    pub taken: bool,
}

#[derive(Clone, PartialEq, Message)]
pub struct Provision {
    #[prost(uint64, tag = "1")]
    pub id: u64,
    #[prost(string, tag = "2")]
    pub entry: String,
    #[prost(string, tag = "3")]
    pub region: String,
    #[prost(message, repeated, tag = "4")]
    pub owners: Vec<ShardOwner>,
    #[prost(uint64, tag = "5")]
    pub term: u64,
}

#[derive(Clone, PartialEq, Message)]
pub struct ShardOwner {
    #[prost(uint32, tag = "1")]
    pub index: u32,
    #[prost(string, tag = "2")]
    pub server: String,
    #[prost(uint64, tag = "3")]
    pub epoch: u64,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub struct Suspect {
    #[prost(fixed64, tag = "1")]
    pub fingerprint: u64,
    #[prost(fixed64, tag = "2")]
    pub crash: u64,
}
