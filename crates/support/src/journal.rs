//! What backend server stand-ins did, over all of them together.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Counts runs that no promise allows.
#[derive(Debug, Default)]
pub struct Journal {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: HashMap<String, u64>,
    owners: HashMap<(String, u32), Owner>,
    double_runs: u64,
    double_owners: u64,
    overruns: u64,
    total: u64,
}

#[derive(Debug)]
struct Owner {
    server: String,
    running: u64,
}

impl Journal {
    /// Takes in that a server starts to run a request.
    pub fn start(&self, entry: &str, shard: u32, server: &str, idempotency: Option<&str>) {
        let mut state = self.lock();
        state.total += 1;
        if let Some(key) = idempotency {
            let runs = state.runs.entry(key.to_owned()).or_default();
            *runs += 1;
            if *runs > 1 {
                state.double_runs += 1;
            }
        }
        let place = (entry.to_owned(), shard);
        let owner = state.owners.entry(place).or_insert_with(|| Owner {
            server: server.to_owned(),
            running: 0,
        });
        let double = owner.running > 0 && owner.server != server;
        if owner.running == 0 {
            server.clone_into(&mut owner.server);
        }
        owner.running += 1;
        if double {
            state.double_owners += 1;
        }
    }

    /// Takes in that a run ended.
    pub fn end(&self, entry: &str, shard: u32) {
        let mut state = self.lock();
        if let Some(owner) = state.owners.get_mut(&(entry.to_owned(), shard)) {
            owner.running = owner.running.saturating_sub(1);
        }
    }

    /// Takes in that a server got more than it bears.
    pub fn overrun(&self) {
        self.lock().overruns += 1;
    }

    /// Whether a request with this idempotency key ran.
    pub fn ran(&self, idempotency: &str) -> bool {
        self.lock().runs.contains_key(idempotency)
    }

    /// Runs beyond the first of a request that must not run twice.
    pub fn double_runs(&self) -> u64 {
        self.lock().double_runs
    }

    /// Runs of a shard on one server while another one ran it.
    pub fn double_owners(&self) -> u64 {
        self.lock().double_owners
    }

    /// Runs that a server did not bear.
    pub fn overruns(&self) -> u64 {
        self.lock().overruns
    }

    /// All runs.
    pub fn total(&self) -> u64 {
        self.lock().total
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
