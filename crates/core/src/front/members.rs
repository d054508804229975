//! The hosts that a leader knows of.

use std::collections::BTreeSet;

/// The names of all hosts, of which more than half have to follow a leader.
#[derive(Clone, Debug, Default)]
pub struct Members {
    names: BTreeSet<String>,
    is_complete: bool,
}

impl Members {
    /// Members that may lack hosts which registered later.
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        Self {
            names: names.into_iter().collect(),
            is_complete: false,
        }
    }

    /// Adds a host that follows.
    pub fn add(&mut self, name: &str) {
        self.names.insert(name.to_owned());
    }

    /// Adds all hosts that the store lists now.
    pub fn add_registered(&mut self, names: impl IntoIterator<Item = String>) {
        self.names.extend(names);
        self.is_complete = true;
    }

    /// Number of known hosts.
    pub fn count(&self) -> usize {
        self.names.len()
    }

    /// Number of hosts of which more than half make a majority. Until the registered ones have been
    /// read, that is at least the number that the leader before has told (`told`): a host that
    /// started early knows few of the others.
    pub fn majority_base(&self, told: usize) -> usize {
        if self.is_complete {
            self.names.len()
        } else {
            self.names.len().max(told)
        }
    }
}
