//! Backend servers as this host knows them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::cold::ColdShare;
use super::load::LoadView;
use crate::arena::Arena;
use crate::ids::ServerKey;
use crate::time::Time;

/// First time for which a server that cannot be reached gets no request.
const FIRST_SHUN: Duration = Duration::from_millis(300);
/// Longest time for which a server that cannot be reached gets no request.
const LONGEST_SHUN: Duration = Duration::from_secs(2);
/// Time for which a server that was out of reach is taken to be cold: it may have restarted.
const DOUBTED_COLD: Duration = Duration::from_secs(3);
/// Answers in a row that promised nothing was run, or failed, after which a server is shunned.
const FAILURE_STREAK: u32 = 3;

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Its identifier, which a request can name so that no other server runs it.
    pub id: Arc<str>,
    /// The service that it is part of.
    pub service: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub draining: bool,
    /// How much longer it is cold.
    pub cold_for: Duration,
    /// When it started; tells lives under one identifier apart.
    pub born: Option<u64>,
}

/// What changed among the servers' entries between two revisions of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerChanges {
    /// Entries that are new or have changed, as they are now.
    pub entries: Vec<ServerEntry>,
    /// Identifiers whose entries are gone.
    pub removed: Vec<Arc<str>>,
}

impl ServerChanges {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty() && self.removed.is_empty()
    }
}

/// One server with what this host has seen of it first hand.
#[derive(Clone, Debug)]
pub struct Standing {
    /// What it says of itself.
    pub entry: ServerEntry,
    /// Its load.
    pub load: LoadView,
    /// Until when it is cold.
    pub cold_until: Time,
    /// Requests sent while it is cold.
    pub cold: ColdShare,
    /// How little this host prefers it among equals, from 0 to 1.
    pub preference: f64,
    /// Until when it gets no request.
    pub shunned_until: Time,
    shun: Duration,
    failures: u32,
}

impl Standing {
    fn new(entry: ServerEntry, now: Time, cold_for: Duration, preference: f64) -> Self {
        Self {
            entry,
            load: LoadView::default(),
            cold_until: now + cold_for,
            cold: ColdShare::default(),
            preference,
            shunned_until: Time::ZERO,
            shun: FIRST_SHUN,
            failures: 0,
        }
    }

    /// Whether it is cold.
    pub fn is_cold(&self, now: Time) -> bool {
        self.cold_until > now
    }

    /// Takes in that it could not be reached; returns whether that is new.
    pub fn unreachable(&mut self, now: Time) -> bool {
        let fresh = self.shunned_until <= now;
        self.shunned_until = now + self.shun;
        self.shun = (self.shun * 2).min(LONGEST_SHUN);
        self.cold_until = self.cold_until.max(self.shunned_until + DOUBTED_COLD);
        fresh
    }

    /// Takes in a failed or surplus answer; returns whether the server is shunned for it.
    pub fn failed(&mut self, now: Time) -> bool {
        self.failures += 1;
        if self.failures < FAILURE_STREAK {
            return false;
        }
        self.failures = 0;
        self.shunned_until = now + FIRST_SHUN;
        true
    }

    /// Takes in a sound answer.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.shun = FIRST_SHUN;
    }
}

/// All servers, by key and by identifier.
#[derive(Clone, Debug, Default)]
pub struct Servers {
    arena: Arena<ServerKey, Standing>,
    by_service: BTreeMap<Arc<str>, Vec<ServerKey>>,
}

impl Servers {
    /// Takes in an entry; returns whether it is a new life.
    ///
    /// `warm_up` is how long a server of the service is cold after its start, where the entry
    /// is of a life that began while this host was running; `preference` tells this host's choices
    /// among equals from those of others.
    pub fn learn(
        &mut self,
        now: Time,
        entry: ServerEntry,
        warm_up: Option<Duration>,
        preference: f64,
    ) -> bool {
        let key = self.arena.intern(&entry.id);
        if let Some(known) = self.arena.get(key) {
            if is_older(entry.born, known.entry.born) {
                return false;
            }
            let same_life = entry.born == known.entry.born
                && entry.address == known.entry.address
                && entry.service == known.entry.service;
            if same_life {
                let mut standing = known.clone();
                let cold_until = now + entry.cold_for;
                if !entry.cold_for.is_zero() {
                    standing.cold_until = cold_until;
                }
                standing.entry = entry;
                self.arena.set(key, Some(standing));
                return false;
            }
            self.remove(key);
        }
        let cold_for = entry.cold_for.max(warm_up.unwrap_or_default());
        let service = entry.service.clone();
        self.arena
            .set(key, Some(Standing::new(entry, now, cold_for, preference)));
        self.by_service.entry(service).or_default().push(key);
        true
    }

    /// Takes in that a server is gone.
    pub fn remove(&mut self, key: ServerKey) {
        if let Some(standing) = self.arena.get(key)
            && let Some(keys) = self.by_service.get_mut(&standing.entry.service)
        {
            keys.retain(|known| *known != key);
        }
        self.arena.set(key, None);
    }

    /// The key of an identifier.
    pub fn find(&self, id: &str) -> Option<ServerKey> {
        self.arena.find(id).filter(|key| self.get(*key).is_some())
    }

    /// A server.
    pub fn get(&self, key: ServerKey) -> Option<&Standing> {
        self.arena.get(key)
    }

    /// A server, to be changed.
    pub fn get_mut(&mut self, key: ServerKey) -> Option<&mut Standing> {
        self.arena.get_mut(key)
    }

    /// The servers of a service.
    pub fn of(&self, service: &str) -> &[ServerKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Every server.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &Standing)> {
        self.arena.iter()
    }
}

fn is_older(new: Option<u64>, known: Option<u64>) -> bool {
    matches!((new, known), (Some(new), Some(known)) if new < known)
}
