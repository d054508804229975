//! Messages between hosts.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, FenceToken, IdempotencyKey, RequestId, Revision};
use crate::ledger::{RecordState, Tenure};
use crate::object::Object;
use crate::quarantine::CrashId;
use crate::request::{Outcome, Request};
use crate::time::Time;

/// A message from one host to another.
///
/// It refers to backend servers, entries and regions by name, since interned keys differ between
/// hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// A liveness signal to the successor.
    Heartbeat {
        /// When it was sent, by the sender's clock; the promise echoes it.
        sent: Time,
        /// The term of the sender's host record.
        term: u64,
        /// The sender's configuration revision.
        revision: Revision,
    },
    /// A promise not to take over from the receiver for the validity span, counted from `sent`.
    Promise {
        /// The heartbeat's `sent`.
        sent: Time,
        /// The heartbeat's term.
        term: u64,
        /// The sender's configuration revision.
        revision: Revision,
    },
    /// A request forwarded to the host that controls its shard's owner.
    Forward {
        /// The sender's ID of the request.
        id: RequestId,
        /// The caller's request, with an earlier deadline that leaves time to return the outcome.
        request: Request,
    },
    /// The outcome of a forwarded request.
    Outcome {
        /// The receiver's ID of the request.
        id: RequestId,
        /// The outcome; `None` if the sender does not control the owner and did nothing.
        outcome: Option<Outcome>,
    },
    /// Requests the configuration objects that were written after a revision.
    Pull {
        /// The last revision that the sender already has.
        after: Revision,
    },
    /// Configuration objects.
    Delta {
        /// The objects that the receiver requested or may not have yet.
        objects: Vec<Object>,
        /// The revision up to which the receiver is complete after applying them.
        complete: Revision,
    },
    /// Ledger records, replicated to the successor.
    Copy {
        /// Increases with each copy of this sender.
        sequence: u64,
        /// The term of the sender's host record if the copy replaces all earlier ones.
        full: Option<u64>,
        /// The records to add or replace; all records if `full` is set.
        ledger: LedgerBatch,
    },
    /// Acknowledges copies up to a sequence number.
    CopyKept {
        /// The sequence number of the last copy that the sender has.
        sequence: u64,
    },
    /// A copy arrived without those before it; the receiver has to send a full copy.
    CopyBroken {
        /// The sequence number of the copy that arrived.
        sequence: u64,
    },
    /// Hands over shards to the receiver's control, with their ledger records.
    Handover {
        /// The sender's number of the handover.
        id: u64,
        /// The token of the sender's control over the server that the shards move off; of two
        /// handovers the one with the higher token is the later one.
        source: FenceToken,
        /// The server that receives the shards.
        server: String,
        /// The token of the receiver's control if control of the server is handed over too.
        control: Option<FenceToken>,
        /// The shards with their new epochs.
        shards: Vec<(u32, Epoch)>,
        /// The shards' records; also the server's warm-up state if control is handed over too.
        ledger: LedgerBatch,
    },
    /// Accepts or rejects a handover.
    HandoverTaken {
        /// The `id` of the handover.
        id: u64,
        /// Whether it was accepted.
        taken: bool,
    },
    /// Provisional owners of shards, that is, owners that are not in the store yet.
    Provision {
        /// The sender's number of the assignment; zero if no acknowledgement is expected.
        id: u64,
        /// The term of the sender's host record; acknowledged only under that term.
        term: u64,
        /// The entry's name.
        entry: String,
        /// The region's name.
        region: String,
        /// The shards with their new owners and epochs.
        owners: Vec<(u32, String, Epoch)>,
    },
    /// Acknowledges provisional owners.
    Provisioned {
        /// The `id` of the assignment.
        id: u64,
    },
    /// A request was running on a server that crashed.
    Suspect {
        /// The request's fingerprint.
        fingerprint: u64,
        /// Identifies the crash, so that it counts once however often it is reported.
        crash: CrashId,
    },
}

/// Ledger records of shards, with the key times from which they are complete.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerBatch {
    /// The shards, each with the key time from which its records are complete.
    pub since: Vec<ShardCompleteness>,
    /// One record per shard and idempotency key.
    pub records: Vec<LedgerRecord>,
    /// Backend servers that have warmed up.
    pub warm: Vec<WarmServer>,
}

/// A backend server that completed its warm-up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmServer {
    /// The server's name.
    pub server: String,
    /// The boot number with which it warmed up.
    pub boot: u64,
}

/// The key time from which a shard's records are complete, in a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardCompleteness {
    /// The entry's name.
    pub entry: String,
    /// The region's name.
    pub region: String,
    /// The shard's number.
    pub index: u32,
    /// The key time from which the records are complete.
    pub since: Time,
    /// The tenure under which the records are kept.
    pub tenure: Tenure,
}

/// A ledger record in a message.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerRecord {
    /// The entry's name.
    pub entry: String,
    /// The region's name.
    pub region: String,
    /// The shard's number.
    pub index: u32,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// The request's fingerprint.
    pub fingerprint: u64,
    /// The processing state of the request.
    pub state: RecordState,
}
