//! What all hosts together have running at each server.
//!
//! Every host counts its own requests exactly. The granting host adds the counts up and tells the
//! sums, so that many hosts before few slots neither overfill a server nor leave it idle.
//! Servers go by their index in a list of names that only grows within an epoch.
//! `docs/platform-path.md`, "Load", has the ways that were weighed.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// Names beyond those of the present servers at which the list of names is begun anew.
const STALE_NAMES: usize = 512;

/// Names of servers by index.
#[derive(Clone, Debug, Default)]
pub struct ServerNames {
    epoch: u32,
    names: Vec<Arc<str>>,
    indices: HashMap<Arc<str>, u32>,
}

impl ServerNames {
    /// Which list it is; indices of another one mean other servers.
    pub fn epoch(&self) -> u32 {
        self.epoch
    }

    /// How many names are known.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether no name is known.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// The names from an index on.
    pub fn since(&self, index: usize) -> &[Arc<str>] {
        self.names.get(index..).unwrap_or_default()
    }

    /// The index of a name.
    pub fn find(&self, name: &str) -> Option<u32> {
        self.indices.get(name).copied()
    }

    /// The index of a name, which is added where it is not known.
    fn intern(&mut self, name: &Arc<str>) -> usize {
        let next = self.names.len() as u32;
        let index = *self.indices.entry(name.clone()).or_insert(next);
        if index == next {
            self.names.push(name.clone());
        }
        index as usize
    }

    /// Takes in names that another host has from an index on; `false` where some before them are
    /// missing.
    pub fn learn(&mut self, epoch: u32, from: usize, names: Vec<Arc<str>>) -> bool {
        if epoch != self.epoch {
            *self = Self {
                epoch,
                ..Self::default()
            };
        }
        if from > self.names.len() {
            return false;
        }
        for name in names.iter().skip(self.names.len() - from) {
            self.intern(name);
        }
        true
    }
}

/// Requests running at one server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningCount {
    /// The server's index.
    pub server: u32,
    /// How many requests run.
    pub count: u32,
}

/// The counts of all hosts, as the granting host keeps them.
#[derive(Clone, Debug, Default)]
pub struct LoadBoard {
    names: ServerNames,
    hosts: BTreeMap<String, Vec<RunningCount>>,
}

impl LoadBoard {
    /// The servers' names.
    pub fn names(&self) -> &ServerNames {
        &self.names
    }

    /// Takes in the servers that there are.
    pub fn list<'a>(&mut self, servers: impl Iterator<Item = &'a Arc<str>>) {
        let mut present = 0;
        for server in servers {
            self.names.intern(server);
            present += 1;
        }
        if self.names.len() > present + STALE_NAMES {
            // Counts under the old indices are told anew within a period.
            self.hosts.clear();
            self.names = ServerNames {
                epoch: self.names.epoch + 1,
                ..ServerNames::default()
            };
        }
    }

    /// Takes in what one host has running, in place of what it had before.
    pub fn count(&mut self, host: &str, epoch: u32, counts: Vec<RunningCount>) {
        if epoch == self.names.epoch {
            self.hosts.insert(host.to_owned(), counts);
        }
    }

    /// Takes in that a host no longer tells what it has running.
    pub fn leave(&mut self, host: &str) {
        self.hosts.remove(host);
    }

    /// The sum over all hosts for each server, by index; 255 stands for that and more.
    pub fn totals(&self) -> Vec<u8> {
        let mut totals = vec![0_u32; self.names.len()];
        for count in self.hosts.values().flatten() {
            if let Some(total) = totals.get_mut(count.server as usize) {
                *total = total.saturating_add(count.count);
            }
        }
        let capped = totals.into_iter().map(|total| total.min(255) as u8);
        capped.collect()
    }
}
