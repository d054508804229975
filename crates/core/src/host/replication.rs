//! Replication of ledger records to the successor, and replicas that this host keeps for others.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Host;
use crate::control::{Job, Origin};
use crate::ids::{Epoch, FenceToken, HostId, IdempotencyKey, ServerKey, ShardKey};
use crate::ledger::{Ledger, Record, Tenure};
use crate::message::{LedgerBatch, LedgerRecord, Message, ShardCompleteness, WarmServer};
use crate::request::UnknownReason;
use crate::time::Time;

/// Replication to the successor, and the requests that wait for its acknowledgement.
#[derive(Debug, Default)]
pub(super) struct Replication {
    sequence: u64,
    /// The sequence number of the last full copy.
    last_full: u64,
    acknowledged: u64,
    waiting: VecDeque<WaitingJob>,
}

/// A request that may run once the successor has acknowledged its record.
#[derive(Debug)]
struct WaitingJob {
    sequence: u64,
    server: ServerKey,
    job: Job,
}

/// The replicated ledger of a host that named this one as its successor.
///
/// It is complete only if no copy since the last full one is missing. A broken connection loses
/// the copies in flight, so the first copy on a new connection does not imply the earlier ones.
#[derive(Debug, Default)]
pub(super) struct LedgerReplica {
    ledger: Ledger,
    /// The sender's record term under which the replica is complete; `None` if copies are missing.
    term: Option<u64>,
    /// The sequence number of the newest copy received.
    sequence: u64,
}

impl LedgerReplica {
    /// The number of records.
    pub(super) fn len(&self) -> usize {
        self.ledger.len()
    }

    /// Drops records of keys that are older than the window.
    pub(super) fn expire(&mut self, now: Time, window: Duration) {
        self.ledger.expire(now, window);
    }
}

impl Host {
    /// Sends the full ledger to the successor; releases waiting requests if there is no successor.
    pub(super) fn restart_replication(&mut self) {
        let full_ledger = self.full_ledger();
        self.send_copy(self.own_term(), full_ledger);
        self.replication.last_full = self.replication.sequence;
        if self.successor().is_none() {
            self.release_waiting_jobs(u64::MAX);
        }
    }

    /// Replicates a request's record, and queues the request once the successor has the record.
    pub(super) fn enqueue_after_replication(
        &mut self,
        server: ServerKey,
        job: Job,
        key: IdempotencyKey,
    ) {
        self.replicate_record(job.shard, key);
        if self.successor().is_none() {
            self.enqueue(server, job);
            return;
        }
        let waiting = WaitingJob {
            sequence: self.replication.sequence,
            server,
            job,
        };
        self.replication.waiting.push_back(waiting);
    }

    /// Sends one record to the successor without waiting for the acknowledgement.
    pub(super) fn replicate_record(&mut self, shard: ShardKey, key: IdempotencyKey) {
        let record = self
            .ledger
            .record(shard, key)
            .map(|record| self.ledger_record(shard, key, record));
        let Some(record) = record else {
            return;
        };
        let ledger = LedgerBatch {
            records: vec![record],
            ..LedgerBatch::default()
        };
        self.send_copy(None, ledger);
    }

    /// Sends all records of some shards to the successor.
    pub(super) fn replicate_shards(&mut self, shards: &[ShardKey]) {
        if shards.is_empty() {
            return;
        }
        let ledger = self.ledger_batch(shards);
        self.send_copy(None, ledger);
    }

    /// The ledger records of some shards, in wire form.
    pub(super) fn ledger_batch(&self, shards: &[ShardKey]) -> LedgerBatch {
        let mut batch = LedgerBatch::default();
        for (shard, since) in self.ledger.shards() {
            if !shards.contains(&shard) {
                continue;
            }
            batch.since.push(self.shard_completeness(shard, since));
            for (key, record) in self.ledger.records(shard) {
                batch.records.push(self.ledger_record(shard, key, record));
            }
        }
        batch
    }

    /// Builds a ledger from its wire form.
    pub(super) fn ledger_from_batch(&mut self, batch: LedgerBatch) -> Ledger {
        let mut ledger = Ledger::default();
        self.merge_ledger_batch(&mut ledger, batch);
        ledger
    }

    pub(super) fn handle_copy(
        &mut self,
        from: HostId,
        sequence: u64,
        full_term: Option<u64>,
        batch: LedgerBatch,
    ) {
        let mut replica = self.replicas.remove(&from).unwrap_or_default();
        let gap = sequence != replica.sequence + 1;
        if full_term.is_some() {
            replica.ledger = Ledger::default();
            replica.term = full_term;
        } else if gap {
            replica.term = None;
        }
        replica.sequence = sequence;
        let complete = replica.term.is_some();
        self.merge_ledger_batch(&mut replica.ledger, batch);
        self.replicas.insert(from, replica);
        if !self.is_watched_predecessor(from) {
            return;
        }
        let message = if complete {
            Message::CopyKept { sequence }
        } else {
            Message::CopyBroken { sequence }
        };
        self.send(from, message);
    }

    /// Sends the full ledger again to a successor that missed a copy.
    ///
    /// Reports about copies up to the last full one are ignored, since that one includes them.
    pub(super) fn handle_copy_broken(&mut self, from: HostId, sequence: u64) {
        if self.successor() == Some(from) && sequence > self.replication.last_full {
            self.restart_replication();
        }
    }

    /// Whether a host named this one as its successor and no takeover from it is in progress.
    ///
    /// Once a takeover has begun, nothing from the other host may be acknowledged: it would act on
    /// records that this host no longer takes into account.
    pub(super) fn is_watched_predecessor(&self, host: HostId) -> bool {
        self.predecessors
            .get(&host)
            .is_some_and(|predecessor| !predecessor.is_being_taken_over())
    }

    /// Like [`Self::is_watched_predecessor`], for one term of the other host's record.
    pub(super) fn is_watched_predecessor_in_term(&self, host: HostId, term: u64) -> bool {
        let predecessor = self.predecessors.get(&host);
        predecessor.is_some_and(|predecessor| {
            !predecessor.is_being_taken_over() && predecessor.term == term
        })
    }

    pub(super) fn handle_copy_kept(&mut self, from: HostId, sequence: u64) {
        if self.successor() != Some(from) {
            return;
        }
        self.replication.acknowledged = self.replication.acknowledged.max(sequence);
        self.release_waiting_jobs(self.replication.acknowledged);
    }

    /// Removes and returns a server's waiting requests that satisfy `matches`.
    pub(super) fn remove_waiting_jobs(
        &mut self,
        server: ServerKey,
        matches: impl Fn(&Job) -> bool,
    ) -> Vec<Job> {
        self.partition_waiting_jobs(|waiting| waiting.server == server && matches(&waiting.job))
    }

    /// Removes and returns the waiting requests of one origin.
    pub(super) fn remove_waiting_jobs_of(&mut self, origin: Origin) -> Vec<Job> {
        self.partition_waiting_jobs(|waiting| waiting.job.origin == origin)
    }

    fn partition_waiting_jobs(&mut self, matches: impl Fn(&WaitingJob) -> bool) -> Vec<Job> {
        let waiting = std::mem::take(&mut self.replication.waiting);
        let (removed, remaining): (VecDeque<_>, VecDeque<_>) =
            waiting.into_iter().partition(matches);
        self.replication.waiting = remaining;
        removed.into_iter().map(|waiting| waiting.job).collect()
    }

    /// Adopts the replicated records of a server's shards from its previous controller.
    ///
    /// Requests that were in flight there may have run.
    pub(super) fn inherit_ledger(&mut self, server: ServerKey, host: HostId, term: u64) {
        let Some(token) = self
            .controlled_servers
            .get(&server)
            .map(|control| control.token)
        else {
            return;
        };
        let previous_token = FenceToken(token.0.saturating_sub(1));
        let shards = self.shards_of(server);
        let mut inherited = Vec::new();
        for shard in shards {
            let epoch = self.view.owner(shard).map_or(Epoch(0), |owner| owner.epoch);
            let tenure = Tenure {
                epoch,
                token: previous_token,
            };
            let Some(replica) = self.replicas.get_mut(&host) else {
                return;
            };
            if replica.term == Some(term) && replica.ledger.tenure(shard) == Some(tenure) {
                replica.ledger.mark_doubtful(shard, UnknownReason::HostLost);
                self.ledger.adopt_shard(shard, &mut replica.ledger);
                self.ledger.set_tenure(shard, Tenure { epoch, token });
                self.ledger.set_server(shard, server);
                inherited.push(shard);
            }
        }
        self.replicate_shards(&inherited);
    }

    /// The shards that a server owns, by key.
    pub(super) fn shards_of(&self, server: ServerKey) -> Vec<ShardKey> {
        let Some(info) = self.view.servers.get(server) else {
            return Vec::new();
        };
        self.view
            .owned_by(server)
            .into_keys()
            .map(|index| ShardKey::new(info.entry, info.region, index))
            .collect()
    }

    /// Opens the ledger for shards that a server was just granted.
    ///
    /// Without records from the previous controller, the outcome of keys that may have been used
    /// before now is unknown; such keys may be ahead of this host's clock.
    pub(super) fn open_ledger_shards(&mut self, server: ServerKey, granted: &BTreeMap<u32, Epoch>) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let token = self
            .controlled_servers
            .get(&server)
            .map_or(FenceToken(0), |control| control.token);
        let timing = self.timing();
        let since = self.now + timing.key_ahead + timing.clock_margin();
        let mut opened = Vec::new();
        for (index, epoch) in granted {
            let shard = ShardKey::new(entry, region, *index);
            let incoming = self.incoming_shards.remove(&shard);
            let matching = incoming.filter(|incoming| {
                let control_matches = incoming
                    .control_token
                    .is_none_or(|handed_over| handed_over == token);
                incoming.epoch == *epoch && incoming.server == server && control_matches
            });
            if !self.ledger.is_open(shard)
                && let Some(mut incoming) = matching
            {
                self.ledger.adopt_shard(shard, &mut incoming.ledger);
            }
            self.ledger.open(shard, since);
            let tenure = Tenure {
                epoch: *epoch,
                token,
            };
            self.ledger.set_server(shard, server);
            if self.ledger.set_tenure(shard, tenure) {
                opened.push(shard);
            }
        }
        self.replicate_shards(&opened);
    }

    /// Drops the records of shards that are no longer under this host's control.
    pub(super) fn close_ledger_shards(&mut self) {
        let removed: Vec<ShardKey> = self
            .ledger
            .shards()
            .map(|(shard, _)| shard)
            .filter(|shard| {
                let owner = self.view.owner(*shard);
                owner.is_none_or(|owner| !self.controlled_servers.contains_key(&owner.server))
            })
            .collect();
        for shard in removed {
            self.ledger.close(shard);
        }
    }

    /// Records that a server has warmed up and tells the successor.
    pub(super) fn record_warm_server(&mut self, server: ServerKey) {
        let control = self.controlled_servers.get(&server);
        let boot = control
            .filter(|control| control.limiter.is_fully_warm())
            .and_then(|control| control.boot);
        let Some(boot) = boot else {
            return;
        };
        if self.warm_boots.insert(server, boot) != Some(boot) {
            let ledger = LedgerBatch {
                warm: self.warm_servers(&[server]),
                ..LedgerBatch::default()
            };
            self.send_copy(None, ledger);
        }
    }

    /// The servers among the given ones that are known to be warm.
    pub(super) fn warm_servers(&self, servers: &[ServerKey]) -> Vec<WarmServer> {
        let warm = servers
            .iter()
            .filter_map(|server| Some((server, self.warm_boots.get(server)?)));
        warm.map(|(server, boot)| WarmServer {
            server: self.server_name(*server),
            boot: *boot,
        })
        .collect()
    }

    fn full_ledger(&self) -> LedgerBatch {
        let shards: Vec<ShardKey> = self.ledger.shards().map(|(shard, _)| shard).collect();
        let servers: Vec<ServerKey> = self.controlled_servers.keys().copied().collect();
        LedgerBatch {
            warm: self.warm_servers(&servers),
            ..self.ledger_batch(&shards)
        }
    }

    fn send_copy(&mut self, full_term: Option<u64>, ledger: LedgerBatch) {
        self.replication.sequence += 1;
        let Some(successor) = self.successor() else {
            return;
        };
        let message = Message::Copy {
            sequence: self.replication.sequence,
            full: full_term,
            ledger,
        };
        self.send(successor, message);
    }

    fn release_waiting_jobs(&mut self, sequence: u64) {
        while let Some(waiting) = self.replication.waiting.pop_front() {
            if waiting.sequence > sequence {
                self.replication.waiting.push_front(waiting);
                return;
            }
            self.enqueue(waiting.server, waiting.job);
        }
    }

    fn merge_ledger_batch(&mut self, ledger: &mut Ledger, batch: LedgerBatch) {
        for warm in batch.warm {
            let server = self.view.servers.intern(&warm.server);
            self.warm_boots.insert(server, warm.boot);
        }
        for item in batch.since {
            let shard = self.intern_shard(&item.entry, &item.region, item.index);
            ledger.close(shard);
            ledger.open(shard, item.since);
            ledger.set_tenure(shard, item.tenure);
        }
        for item in batch.records {
            let shard = self.intern_shard(&item.entry, &item.region, item.index);
            let record = Record {
                fingerprint: item.fingerprint,
                state: item.state,
            };
            ledger.set(shard, item.key, record);
        }
    }

    fn intern_shard(&mut self, entry: &str, region: &str, index: u32) -> ShardKey {
        let entry = self.view.entries.intern(entry);
        let region = self.view.regions.intern(region);
        ShardKey::new(entry, region, index)
    }

    fn shard_completeness(&self, shard: ShardKey, since: Time) -> ShardCompleteness {
        ShardCompleteness {
            entry: self.view.entries.name(shard.entry).to_owned(),
            region: self.view.regions.name(shard.region).to_owned(),
            index: shard.index,
            since,
            tenure: self.ledger.tenure(shard).unwrap_or_default(),
        }
    }

    fn ledger_record(&self, shard: ShardKey, key: IdempotencyKey, record: &Record) -> LedgerRecord {
        LedgerRecord {
            entry: self.view.entries.name(shard.entry).to_owned(),
            region: self.view.regions.name(shard.region).to_owned(),
            index: shard.index,
            key,
            fingerprint: record.fingerprint,
            state: record.state.clone(),
        }
    }
}
