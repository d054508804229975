//! Ledger records that the successor keeps for this host, and this host for others.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::Host;
use crate::control::{Job, Origin};
use crate::ids::{Epoch, HostId, IdempotencyKey, ServerKey, ShardKey, Token};
use crate::ledger::{Ledger, Record, Tenure};
use crate::message::{LedgerPart, LedgerRecord, Message, ShardSince, WarmServer};
use crate::request::Doubt;
use crate::time::Time;

/// Copies to the successor, and the work that waits for them.
#[derive(Debug, Default)]
pub(super) struct Copying {
    sequence: u64,
    /// The copy that carried everything last.
    full: u64,
    kept: u64,
    held: VecDeque<Held>,
}

/// A request that may run once the successor keeps its record.
#[derive(Debug)]
struct Held {
    sequence: u64,
    server: ServerKey,
    job: Job,
}

/// The ledger of a host that named this one as its successor.
///
/// It is complete only without a gap in the copies since the last full one; a link that breaks
/// loses what it had, and the next copy over a new one must not be taken for all of them.
#[derive(Debug, Default)]
pub(super) struct KeptCopy {
    ledger: Ledger,
    /// The term of the record under which the copy is complete.
    term: Option<u64>,
    /// The newest copy that came.
    sequence: u64,
}

impl KeptCopy {
    /// How many records the copy has.
    pub(super) fn len(&self) -> usize {
        self.ledger.len()
    }

    /// Drops records of keys that are older than the window.
    pub(super) fn expire(&mut self, now: Time, window: Duration) {
        self.ledger.expire(now, window);
    }
}

impl Host {
    /// Sends everything to a new successor, and again whatever waits for it.
    pub(super) fn restart_copying(&mut self) {
        let ledger = self.whole_ledger();
        self.send_copy(self.own_term(), ledger);
        self.copying.full = self.copying.sequence;
        if self.successor().is_none() {
            self.release_held(u64::MAX);
        }
    }

    /// Runs a request once the successor keeps its record.
    pub(super) fn hold_for_copy(&mut self, server: ServerKey, job: Job, key: IdempotencyKey) {
        self.copy_record(job.shard, key);
        if self.successor().is_none() {
            self.enqueue(server, job);
            return;
        }
        let held = Held {
            sequence: self.copying.sequence,
            server,
            job,
        };
        self.copying.held.push_back(held);
    }

    /// Sends one record to the successor without waiting for it.
    pub(super) fn copy_record(&mut self, shard: ShardKey, key: IdempotencyKey) {
        let record = self
            .ledger
            .record(shard, key)
            .map(|record| self.record_part(shard, key, record));
        let Some(record) = record else {
            return;
        };
        let ledger = LedgerPart {
            records: vec![record],
            ..LedgerPart::default()
        };
        self.send_copy(None, ledger);
    }

    /// Sends whole shards to the successor.
    pub(super) fn copy_shards(&mut self, shards: &[ShardKey]) {
        if shards.is_empty() {
            return;
        }
        let ledger = self.ledger_part(shards);
        self.send_copy(None, ledger);
    }

    /// What the ledger holds of some shards.
    pub(super) fn ledger_part(&self, shards: &[ShardKey]) -> LedgerPart {
        let mut part = LedgerPart::default();
        for (shard, since) in self.ledger.shards() {
            if !shards.contains(&shard) {
                continue;
            }
            part.since.push(self.since_part(shard, since));
            for (key, record) in self.ledger.records(shard) {
                part.records.push(self.record_part(shard, key, record));
            }
        }
        part
    }

    /// Makes a ledger of its form on the wire.
    pub(super) fn read_part(&mut self, part: LedgerPart) -> Ledger {
        let mut ledger = Ledger::default();
        self.merge_part(&mut ledger, part);
        ledger
    }

    pub(super) fn keep_copy(
        &mut self,
        from: HostId,
        sequence: u64,
        full: Option<u64>,
        part: LedgerPart,
    ) {
        let mut copy = self.kept.remove(&from).unwrap_or_default();
        let gap = sequence != copy.sequence + 1;
        if full.is_some() {
            copy.ledger = Ledger::default();
            copy.term = full;
        } else if gap {
            copy.term = None;
        }
        copy.sequence = sequence;
        let usable = copy.term.is_some();
        self.merge_part(&mut copy.ledger, part);
        self.kept.insert(from, copy);
        if !self.is_open_ward(from) {
            return;
        }
        let message = if usable {
            Message::CopyKept { sequence }
        } else {
            Message::CopyBroken { sequence }
        };
        self.send(from, message);
    }

    /// Sends everything again to a successor that missed a copy.
    ///
    /// Copies sent before the last full one may still be complained of; they are covered.
    pub(super) fn mend_copy(&mut self, from: HostId, sequence: u64) {
        if self.successor() == Some(from) && sequence > self.copying.full {
            self.restart_copying();
        }
    }

    /// Whether a host named this one as its successor and is not being taken over.
    ///
    /// After a takeover nothing of the other host may be acknowledged: it would act on records
    /// that this host no longer looks at.
    pub(super) fn is_open_ward(&self, host: HostId) -> bool {
        self.wards.get(&host).is_some_and(|ward| !ward.is_closed())
    }

    /// Whether a host named this one as its successor under a term, and is not being taken over.
    pub(super) fn is_open_ward_of(&self, host: HostId, term: u64) -> bool {
        let ward = self.wards.get(&host);
        ward.is_some_and(|ward| !ward.is_closed() && ward.term == term)
    }

    pub(super) fn take_copy_kept(&mut self, from: HostId, sequence: u64) {
        if self.successor() != Some(from) {
            return;
        }
        self.copying.kept = self.copying.kept.max(sequence);
        self.release_held(self.copying.kept);
    }

    /// Takes out a server's held requests that `matches`.
    pub(super) fn take_held(
        &mut self,
        server: ServerKey,
        matches: impl Fn(&Job) -> bool,
    ) -> Vec<Job> {
        self.partition_held(|held| held.server == server && matches(&held.job))
    }

    /// Takes out the held requests of one origin.
    pub(super) fn take_held_of(&mut self, origin: Origin) -> Vec<Job> {
        self.partition_held(|held| held.job.origin == origin)
    }

    fn partition_held(&mut self, matches: impl Fn(&Held) -> bool) -> Vec<Job> {
        let held = std::mem::take(&mut self.copying.held);
        let (out, kept): (VecDeque<_>, VecDeque<_>) = held.into_iter().partition(matches);
        self.copying.held = kept;
        out.into_iter().map(|held| held.job).collect()
    }

    /// Takes over what is kept of a host's records of a server's shards.
    ///
    /// Requests that were under way there may have run.
    pub(super) fn inherit_ledger(&mut self, server: ServerKey, host: HostId, term: u64) {
        let Some(token) = self.controls.get(&server).map(|control| control.token) else {
            return;
        };
        let lost = Token(token.0.saturating_sub(1));
        let shards = self.shards_of(server);
        let mut inherited = Vec::new();
        for shard in shards {
            let epoch = self.view.owner(shard).map_or(Epoch(0), |owner| owner.epoch);
            let tenure = Tenure { epoch, token: lost };
            let Some(copy) = self.kept.get_mut(&host) else {
                return;
            };
            if copy.term == Some(term) && copy.ledger.tenure(shard) == Some(tenure) {
                copy.ledger.abandon(shard, Doubt::HostLost);
                self.ledger.adopt(shard, &mut copy.ledger);
                self.ledger.enter(shard, Tenure { epoch, token });
                self.ledger.hold(shard, server);
                inherited.push(shard);
            }
        }
        self.copy_shards(&inherited);
    }

    /// The shards that a server owns.
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
    /// Without records of an earlier host in charge, keys from before now are unknown.
    pub(super) fn open_shards(&mut self, server: ServerKey, granted: &BTreeMap<u32, Epoch>) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let token = self
            .controls
            .get(&server)
            .map_or(Token(0), |control| control.token);
        let timing = self.timing();
        let since = self.now + timing.key_ahead + timing.drift();
        let mut opened = Vec::new();
        for (index, epoch) in granted {
            let shard = ShardKey::new(entry, region, *index);
            let incoming = self.incoming.remove(&shard);
            let fitting = incoming.filter(|incoming| {
                let control = incoming.control.is_none_or(|given| given == token);
                incoming.epoch == *epoch && incoming.server == server && control
            });
            if !self.ledger.is_open(shard)
                && let Some(mut incoming) = fitting
            {
                self.ledger.adopt(shard, &mut incoming.ledger);
            }
            self.ledger.open(shard, since);
            let tenure = Tenure {
                epoch: *epoch,
                token,
            };
            self.ledger.hold(shard, server);
            if self.ledger.enter(shard, tenure) {
                opened.push(shard);
            }
        }
        self.copy_shards(&opened);
    }

    /// Forgets records of shards that are no longer under this host's control.
    pub(super) fn close_shards(&mut self) {
        let gone: Vec<ShardKey> = self
            .ledger
            .shards()
            .map(|(shard, _)| shard)
            .filter(|shard| {
                let owner = self.view.owner(*shard);
                owner.is_none_or(|owner| !self.controls.contains_key(&owner.server))
            })
            .collect();
        for shard in gone {
            self.ledger.close(shard);
        }
    }

    /// Takes note, and tells the successor, that a server has warmed up.
    pub(super) fn note_warm(&mut self, server: ServerKey) {
        let control = self.controls.get(&server);
        let boot = control
            .filter(|control| control.limiter.is_full())
            .and_then(|c| c.boot);
        let Some(boot) = boot else {
            return;
        };
        if self.warm.insert(server, boot) != Some(boot) {
            let ledger = LedgerPart {
                warm: self.warm_servers(&[server]),
                ..LedgerPart::default()
            };
            self.send_copy(None, ledger);
        }
    }

    /// Those of some servers that are known to be warm.
    pub(super) fn warm_servers(&self, servers: &[ServerKey]) -> Vec<WarmServer> {
        let known = servers
            .iter()
            .filter_map(|server| Some((server, self.warm.get(server)?)));
        known
            .map(|(server, boot)| WarmServer {
                server: self.server_name(*server),
                boot: *boot,
            })
            .collect()
    }

    fn whole_ledger(&self) -> LedgerPart {
        let shards: Vec<ShardKey> = self.ledger.shards().map(|(shard, _)| shard).collect();
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        LedgerPart {
            warm: self.warm_servers(&servers),
            ..self.ledger_part(&shards)
        }
    }

    fn send_copy(&mut self, full: Option<u64>, ledger: LedgerPart) {
        self.copying.sequence += 1;
        let Some(successor) = self.successor() else {
            return;
        };
        let message = Message::Copy {
            sequence: self.copying.sequence,
            full,
            ledger,
        };
        self.send(successor, message);
    }

    fn release_held(&mut self, sequence: u64) {
        while let Some(held) = self.copying.held.pop_front() {
            if held.sequence > sequence {
                self.copying.held.push_front(held);
                return;
            }
            self.enqueue(held.server, held.job);
        }
    }

    fn merge_part(&mut self, ledger: &mut Ledger, part: LedgerPart) {
        for line in part.warm {
            let server = self.view.servers.intern(&line.server);
            self.warm.insert(server, line.boot);
        }
        for line in part.since {
            let shard = self.intern_shard(&line.entry, &line.region, line.index);
            ledger.close(shard);
            ledger.open(shard, line.since);
            ledger.enter(shard, line.tenure);
        }
        for line in part.records {
            let shard = self.intern_shard(&line.entry, &line.region, line.index);
            let record = Record {
                fingerprint: line.fingerprint,
                state: line.state,
            };
            ledger.set(shard, line.key, record);
        }
    }

    fn intern_shard(&mut self, entry: &str, region: &str, index: u32) -> ShardKey {
        let entry = self.view.entries.intern(entry);
        let region = self.view.regions.intern(region);
        ShardKey::new(entry, region, index)
    }

    fn since_part(&self, shard: ShardKey, since: Time) -> ShardSince {
        ShardSince {
            entry: self.view.entries.name(shard.entry).to_owned(),
            region: self.view.regions.name(shard.region).to_owned(),
            index: shard.index,
            since,
            tenure: self.ledger.tenure(shard).unwrap_or_default(),
        }
    }

    fn record_part(&self, shard: ShardKey, key: IdempotencyKey, record: &Record) -> LedgerRecord {
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
