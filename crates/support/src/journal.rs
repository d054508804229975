//! Record of the executions at all fake backend servers.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Records executions and counts those that violate a guarantee of the router.
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
    /// Records that a server starts executing a request; a request without an idempotency key may
    /// run more than once.
    pub fn record_start(&self, entry: &str, shard: u32, server: &str, idempotency: Option<&str>) {
        let mut state = self.lock();
        state.total += 1;
        if let Some(key) = idempotency {
            let runs = state.runs.entry(key.to_owned()).or_default();
            *runs += 1;
            if *runs > 1 {
                state.double_runs += 1;
            }
        }
        let shard_key = (entry.to_owned(), shard);
        let owner = state.owners.entry(shard_key).or_insert_with(|| Owner {
            server: server.to_owned(),
            running: 0,
        });
        let conflicting = owner.running > 0 && owner.server != server;
        if owner.running == 0 {
            server.clone_into(&mut owner.server);
        }
        owner.running += 1;
        if conflicting {
            state.double_owners += 1;
        }
    }

    /// Records that an execution on a shard ended.
    pub fn record_end(&self, entry: &str, shard: u32) {
        let mut state = self.lock();
        if let Some(owner) = state.owners.get_mut(&(entry.to_owned(), shard)) {
            owner.running = owner.running.saturating_sub(1);
        }
    }

    /// Records that a server started more executions than its slot limit allows.
    pub fn record_overrun(&self) {
        self.lock().overruns += 1;
    }

    /// Whether a request with this idempotency key was executed.
    pub fn has_run(&self, idempotency: &str) -> bool {
        self.lock().runs.contains_key(idempotency)
    }

    /// Number of executions beyond the first, over requests that must run at most once.
    pub fn double_runs(&self) -> u64 {
        self.lock().double_runs
    }

    /// Number of executions that started while another server was executing for the same shard.
    pub fn double_owners(&self) -> u64 {
        self.lock().double_owners
    }

    /// Number of executions that exceeded a server's slot limit.
    pub fn overruns(&self) -> u64 {
        self.lock().overruns
    }

    /// Number of executions so far.
    pub fn total(&self) -> u64 {
        self.lock().total
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
