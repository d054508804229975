//! Messages between hosts.

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, IdempotencyKey, RequestId, Revision, Token};
use crate::ledger::{RecordState, Tenure};
use crate::object::Object;
use crate::quarantine::CrashId;
use crate::request::{Outcome, Request};
use crate::time::Time;

/// A message from one host to another.
///
/// Backend servers, entries and regions go by name, since interned keys differ between hosts.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Message {
    /// A sign of life to the successor.
    Heartbeat {
        /// When the sender sent it, by its own clock; the promise returns it.
        sent: Time,
        /// The sender's record term.
        term: u64,
        /// The sender's configuration revision.
        revision: Revision,
    },
    /// "I am not taking over from you" for the validity span, counted from `sent`.
    Promise {
        /// The heartbeat's sending time.
        sent: Time,
        /// The heartbeat's term.
        term: u64,
        /// The sender's configuration revision.
        revision: Revision,
    },
    /// A request for the host in charge.
    Forward {
        /// The sender's number of the request.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// How a forwarded request ended.
    Outcome {
        /// The receiver's number of the request.
        id: RequestId,
        /// The outcome, or `None` where the sender is not in charge and did nothing.
        outcome: Option<Outcome>,
    },
    /// Asks for configuration objects written after a revision.
    Pull {
        /// The revision.
        after: Revision,
    },
    /// Configuration objects.
    Delta {
        /// The objects.
        objects: Vec<Object>,
        /// The revision up to which the receiver then misses nothing.
        complete: Revision,
    },
    /// Ledger records for the successor to keep.
    Copy {
        /// Rises with each copy of this sender.
        sequence: u64,
        /// The sender's record term, where the copy replaces everything sent before.
        full: Option<u64>,
        /// The records.
        ledger: LedgerPart,
    },
    /// Copies up to a sequence number are kept.
    CopyKept {
        /// The sequence number.
        sequence: u64,
    },
    /// A copy came without those before it, so everything has to be sent again.
    CopyBroken {
        /// The sequence number of the copy that came.
        sequence: u64,
    },
    /// Shards that come under the receiver's control, with their records.
    Handover {
        /// The sender's number of the hand-over.
        id: u64,
        /// The token of the sender's control over the server that gives the shards; of two
        /// hand-overs the one with the higher token is the later one.
        source: Token,
        /// The server that takes the shards.
        server: String,
        /// The token of the receiver's control, where control itself changes hands.
        control: Option<Token>,
        /// The shards with their new epochs.
        shards: Vec<(u32, Epoch)>,
        /// The records.
        ledger: LedgerPart,
    },
    /// A hand-over was taken, or the receiver cannot take it.
    HandoverTaken {
        /// The sender's number of the hand-over.
        id: u64,
        /// Whether it was taken.
        taken: bool,
    },
    /// New owners that the store does not know yet.
    Provision {
        /// The sender's number of the assignment; zero where no answer is wanted.
        id: u64,
        /// The sender's record term; an answer is given only under that term.
        term: u64,
        /// The entry's name.
        entry: String,
        /// The region's name.
        region: String,
        /// The shards with their new owners and epochs.
        owners: Vec<(u32, String, Epoch)>,
    },
    /// New owners are kept.
    Provisioned {
        /// The sender's number of the assignment.
        id: u64,
    },
    /// A request was in the hands of a server that crashed.
    Suspect {
        /// The request's fingerprint.
        fingerprint: u64,
        /// The crash.
        crash: CrashId,
    },
}

/// Ledger records and what they are complete for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerPart {
    /// For each shard, the key time from which nothing is missing.
    pub since: Vec<ShardSince>,
    /// The records.
    pub records: Vec<LedgerRecord>,
    /// Backend servers that have warmed up.
    pub warm: Vec<WarmServer>,
}

/// A backend server that has warmed up.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WarmServer {
    /// The server's name.
    pub server: String,
    /// The boot number under which it is warm.
    pub boot: u64,
}

/// A shard's completeness on the wire.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ShardSince {
    /// The entry's name.
    pub entry: String,
    /// The region's name.
    pub region: String,
    /// The shard's number.
    pub index: u32,
    /// The key time from which no record is missing.
    pub since: Time,
    /// Under which ownership and control the records are kept.
    pub tenure: Tenure,
}

/// A ledger record on the wire.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LedgerRecord {
    /// The entry's name.
    pub entry: String,
    /// The region's name.
    pub region: String,
    /// The shard's number.
    pub index: u32,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The hash of the request.
    pub fingerprint: u64,
    /// How far the request got.
    pub state: RecordState,
}
