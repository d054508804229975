//! The outcomes of requests that must not run twice.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, FenceToken, IdempotencyKey, ServerKey, ShardKey};
use crate::request::{Answer, Refusal, UnknownReason};
use crate::time::Time;

/// The processing state of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordState {
    /// An order was sent or is about to be.
    Started,
    /// The backend server answered.
    Answered(Answer),
    /// The request may have run.
    Doubtful(UnknownReason),
    /// The request did not run and may be started.
    NotRun,
}

/// The ledger record of one request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The hash of the request; detects an idempotency key that is reused for another one.
    pub fingerprint: u64,
    /// The processing state.
    pub state: RecordState,
}

/// The result of looking up a request in the ledger before it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Lookup {
    /// It has not run and may be started.
    Fresh,
    /// It is running; this duplicate gets the same outcome.
    Running,
    /// It ran with this answer.
    Answered(Answer),
    /// It may have run.
    Doubtful(UnknownReason),
    /// It must not be started.
    Refused(Refusal),
}

/// The epoch and fence token under which the records of a shard are kept.
///
/// It changes with the shard's owner and with the host that controls the owner, so that records
/// of an earlier tenure cannot be mistaken for current ones.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tenure {
    /// The shard's epoch.
    pub epoch: Epoch,
    /// The fence token under which a host controls the owner.
    pub token: FenceToken,
}

/// Ledger records of the shards whose owners a host controls.
///
/// The records of a shard are complete for keys created at or after a start time. A request with
/// an older key is answered as doubtful, so an empty ledger is safe; see `docs/design.md`, "At most
/// once".
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    shards: BTreeMap<ShardKey, ShardRecords>,
}

#[derive(Clone, Debug, Default)]
struct ShardRecords {
    complete_since: Time,
    tenure: Tenure,
    server: Option<ServerKey>,
    records: HashMap<IdempotencyKey, Record>,
}

impl Ledger {
    /// Opens a shard without records, complete for keys created at or after `complete_since`.
    ///
    /// Has no effect on a shard that is already open.
    pub fn open(&mut self, shard: ShardKey, complete_since: Time) {
        self.shards.entry(shard).or_insert_with(|| ShardRecords {
            complete_since,
            tenure: Tenure::default(),
            server: None,
            records: HashMap::new(),
        });
    }

    /// Sets the tenure of an open shard; returns whether it changed.
    pub fn set_tenure(&mut self, shard: ShardKey, tenure: Tenure) -> bool {
        let Some(shard_records) = self.shards.get_mut(&shard) else {
            return false;
        };
        let changed = shard_records.tenure != tenure;
        shard_records.tenure = tenure;
        changed
    }

    /// The tenure of an open shard.
    pub fn tenure(&self, shard: ShardKey) -> Option<Tenure> {
        self.shards
            .get(&shard)
            .map(|shard_records| shard_records.tenure)
    }

    /// Sets the server for which the records of an open shard are kept.
    pub fn set_server(&mut self, shard: ShardKey, server: ServerKey) {
        if let Some(shard_records) = self.shards.get_mut(&shard) {
            shard_records.server = Some(server);
        }
    }

    /// Drops all shards whose records are kept for a server.
    pub fn close_held_by(&mut self, server: ServerKey) {
        self.shards
            .retain(|_, shard_records| shard_records.server != Some(server));
    }

    /// Whether a shard is open.
    pub fn is_open(&self, shard: ShardKey) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Drops a shard with its records.
    pub fn close(&mut self, shard: ShardKey) {
        self.shards.remove(&shard);
    }

    /// The open shards, each with the key time from which its records are complete.
    pub fn shards(&self) -> impl Iterator<Item = (ShardKey, Time)> {
        self.shards
            .iter()
            .map(|(shard, shard_records)| (*shard, shard_records.complete_since))
    }

    /// The records of a shard.
    pub fn records(&self, shard: ShardKey) -> impl Iterator<Item = (IdempotencyKey, &Record)> {
        self.shards
            .get(&shard)
            .into_iter()
            .flat_map(|shard_records| {
                shard_records
                    .records
                    .iter()
                    .map(|(key, record)| (*key, record))
            })
    }

    /// The number of records over all shards.
    pub fn len(&self) -> usize {
        self.shards
            .values()
            .map(|shard_records| shard_records.records.len())
            .sum()
    }

    /// Whether the ledger has no records.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Decides whether a request may run.
    ///
    /// A key without a record that was created before `oldest` is doubtful, since its record may
    /// have expired.
    pub fn lookup(
        &self,
        shard: ShardKey,
        key: IdempotencyKey,
        fingerprint: u64,
        oldest: Time,
    ) -> Lookup {
        let Some(shard_records) = self.shards.get(&shard) else {
            return Lookup::Refused(Refusal::Unavailable);
        };
        let Some(record) = shard_records.records.get(&key) else {
            return shard_records.lookup_without_record(key, oldest);
        };
        if record.fingerprint != fingerprint {
            return Lookup::Refused(Refusal::KeyReused);
        }
        match &record.state {
            RecordState::Started => Lookup::Running,
            RecordState::Answered(answer) => Lookup::Answered(answer.clone()),
            RecordState::Doubtful(reason) => Lookup::Doubtful(*reason),
            RecordState::NotRun => Lookup::Fresh,
        }
    }

    /// Inserts or replaces a request's record; has no effect if the shard is not open.
    pub fn set(&mut self, shard: ShardKey, key: IdempotencyKey, record: Record) {
        if let Some(shard_records) = self.shards.get_mut(&shard) {
            shard_records.records.insert(key, record);
        }
    }

    /// Sets the state of an existing record.
    pub fn set_state(&mut self, shard: ShardKey, key: IdempotencyKey, state: RecordState) {
        let shard_records = self.shards.get_mut(&shard);
        if let Some(record) =
            shard_records.and_then(|shard_records| shard_records.records.get_mut(&key))
        {
            record.state = state;
        }
    }

    /// Marks a shard's started requests as doubtful after their host was lost.
    pub fn mark_doubtful(&mut self, shard: ShardKey, reason: UnknownReason) {
        let Some(shard_records) = self.shards.get_mut(&shard) else {
            return;
        };
        let records = shard_records.records.values_mut();
        for record in records.filter(|record| record.state == RecordState::Started) {
            record.state = RecordState::Doubtful(reason);
        }
    }

    /// The record of one request.
    pub fn record(&self, shard: ShardKey, key: IdempotencyKey) -> Option<&Record> {
        self.shards.get(&shard)?.records.get(&key)
    }

    /// Moves a shard with its records here from another ledger.
    pub fn adopt_shard(&mut self, shard: ShardKey, from: &mut Self) {
        if let Some(shard_records) = from.shards.remove(&shard) {
            self.shards.insert(shard, shard_records);
        }
    }

    /// Drops records whose keys are older than the window.
    pub fn expire(&mut self, now: Time, window: Duration) {
        let oldest = (now - window).as_millis();
        for shard_records in self.shards.values_mut() {
            shard_records
                .records
                .retain(|key, _| key.millis().is_some_and(|millis| millis >= oldest));
        }
    }
}

impl ShardRecords {
    fn lookup_without_record(&self, key: IdempotencyKey, oldest: Time) -> Lookup {
        let Some(millis) = key.millis() else {
            return Lookup::Refused(Refusal::KeyMissing);
        };
        let created = Time::from_millis(millis);
        if created < self.complete_since.max(oldest) {
            return Lookup::Doubtful(UnknownReason::Forgotten);
        }
        Lookup::Fresh
    }
}
