//! What became of requests that must not run twice.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, IdempotencyKey, ServerKey, ShardKey, Token};
use crate::request::{Answer, Doubt, Refusal};
use crate::time::Time;

/// How far a request got.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RecordState {
    /// An order was given or is about to be.
    Started,
    /// The backend server answered.
    Answered(Answer),
    /// The request may have run.
    Doubtful(Doubt),
    /// The request did not run, and may still.
    NotRun,
}

/// One request's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// The hash of the request.
    pub fingerprint: u64,
    /// How far it got.
    pub state: RecordState,
}

/// What the ledger says of a request before it runs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It never ran and may be started.
    Fresh,
    /// It is running; its outcome will serve this repeat too.
    Running,
    /// It ran and this was the answer.
    Answered(Answer),
    /// It may have run.
    Doubtful(Doubt),
    /// It may not be started.
    Refused(Refusal),
}

/// Under which ownership and control a shard's records are kept.
///
/// A shard gets another tenure with each change of its owner and of its owner's host, so
/// records of an earlier tenure cannot pass for current ones.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Tenure {
    /// The shard's epoch.
    pub epoch: Epoch,
    /// The fence token of the owner's host.
    pub token: Token,
}

/// The records of the shards that a host is in charge of.
///
/// Every shard has a key time from which its records are complete. A key from before is
/// answered as doubtful, so an empty ledger is safe; see `docs/design.md`, "At most once".
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    shards: BTreeMap<ShardKey, Part>,
}

#[derive(Clone, Debug, Default)]
struct Part {
    since: Time,
    tenure: Tenure,
    holder: Option<ServerKey>,
    records: HashMap<IdempotencyKey, Record>,
}

impl Ledger {
    /// Opens a shard without records, complete from a key time on.
    ///
    /// A shard that is open already keeps what it has.
    pub fn open(&mut self, shard: ShardKey, since: Time) {
        self.shards.entry(shard).or_insert_with(|| Part {
            since,
            tenure: Tenure::default(),
            holder: None,
            records: HashMap::new(),
        });
    }

    /// Enters a tenure for an open shard; returns whether it is a new one.
    pub fn enter(&mut self, shard: ShardKey, tenure: Tenure) -> bool {
        let Some(part) = self.shards.get_mut(&shard) else {
            return false;
        };
        let new = part.tenure != tenure;
        part.tenure = tenure;
        new
    }

    /// The tenure of an open shard.
    pub fn tenure(&self, shard: ShardKey) -> Option<Tenure> {
        self.shards.get(&shard).map(|part| part.tenure)
    }

    /// Names the server under whose control a shard's records are kept.
    pub fn hold(&mut self, shard: ShardKey, server: ServerKey) {
        if let Some(part) = self.shards.get_mut(&shard) {
            part.holder = Some(server);
        }
    }

    /// Forgets all shards that are kept under a server's control.
    pub fn close_held(&mut self, server: ServerKey) {
        self.shards.retain(|_, part| part.holder != Some(server));
    }

    /// Whether a shard is open.
    pub fn is_open(&self, shard: ShardKey) -> bool {
        self.shards.contains_key(&shard)
    }

    /// Forgets a shard that has left.
    pub fn close(&mut self, shard: ShardKey) {
        self.shards.remove(&shard);
    }

    /// The shards that are open, with their completeness.
    pub fn shards(&self) -> impl Iterator<Item = (ShardKey, Time)> {
        self.shards.iter().map(|(shard, part)| (*shard, part.since))
    }

    /// The records of a shard.
    pub fn records(&self, shard: ShardKey) -> impl Iterator<Item = (IdempotencyKey, &Record)> {
        self.shards
            .get(&shard)
            .into_iter()
            .flat_map(|part| part.records.iter().map(|(key, record)| (*key, record)))
    }

    /// How many records are kept.
    pub fn len(&self) -> usize {
        self.shards.values().map(|part| part.records.len()).sum()
    }

    /// Whether no record is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// What is known of a request.
    pub fn verdict(
        &self,
        shard: ShardKey,
        key: IdempotencyKey,
        fingerprint: u64,
        oldest: Time,
    ) -> Verdict {
        let Some(part) = self.shards.get(&shard) else {
            return Verdict::Refused(Refusal::Unavailable);
        };
        let Some(record) = part.records.get(&key) else {
            return part.verdict_without_record(key, oldest);
        };
        if record.fingerprint != fingerprint {
            return Verdict::Refused(Refusal::KeyReused);
        }
        match &record.state {
            RecordState::Started => Verdict::Running,
            RecordState::Answered(answer) => Verdict::Answered(answer.clone()),
            RecordState::Doubtful(doubt) => Verdict::Doubtful(*doubt),
            RecordState::NotRun => Verdict::Fresh,
        }
    }

    /// Sets a request's record.
    pub fn set(&mut self, shard: ShardKey, key: IdempotencyKey, record: Record) {
        if let Some(part) = self.shards.get_mut(&shard) {
            part.records.insert(key, record);
        }
    }

    /// Sets the state of a record that exists.
    pub fn settle(&mut self, shard: ShardKey, key: IdempotencyKey, state: RecordState) {
        let part = self.shards.get_mut(&shard);
        if let Some(record) = part.and_then(|part| part.records.get_mut(&key)) {
            record.state = state;
        }
    }

    /// Turns a shard's requests that were under way at a lost host into doubtful ones.
    pub fn abandon(&mut self, shard: ShardKey, doubt: Doubt) {
        let Some(part) = self.shards.get_mut(&shard) else {
            return;
        };
        let records = part.records.values_mut();
        for record in records.filter(|record| record.state == RecordState::Started) {
            record.state = RecordState::Doubtful(doubt);
        }
    }

    /// One request's record.
    pub fn record(&self, shard: ShardKey, key: IdempotencyKey) -> Option<&Record> {
        self.shards.get(&shard)?.records.get(&key)
    }

    /// Takes over a shard with its records from another ledger.
    pub fn adopt(&mut self, shard: ShardKey, from: &mut Self) {
        if let Some(part) = from.shards.remove(&shard) {
            self.shards.insert(shard, part);
        }
    }

    /// Drops records of keys that are older than the window.
    pub fn expire(&mut self, now: Time, window: Duration) {
        let oldest = (now - window).as_millis();
        for part in self.shards.values_mut() {
            part.records
                .retain(|key, _| key.millis().is_some_and(|millis| millis >= oldest));
        }
    }
}

impl Part {
    fn verdict_without_record(&self, key: IdempotencyKey, oldest: Time) -> Verdict {
        let Some(millis) = key.millis() else {
            return Verdict::Refused(Refusal::KeyMissing);
        };
        let created = Time::from_millis(millis);
        if created < self.since.max(oldest) {
            return Verdict::Doubtful(Doubt::Forgotten);
        }
        Verdict::Fresh
    }
}
