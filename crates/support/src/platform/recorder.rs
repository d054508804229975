//! What fake servers record: executions, held keys and violations.

use std::sync::{Arc, Mutex};
use std::time::Instant;

use super::arrivals::{Arrival, Arrivals};
use crate::lock::lock;

/// One execution of a request.
#[derive(Clone, Debug)]
pub struct Execution {
    /// The request ID.
    pub request: String,
    /// The server and its incarnation, as `id/number`.
    pub server: String,
    /// When the execution started.
    pub began: Instant,
    /// The request's `Tenant-Id`.
    pub tenant: Option<String>,
    /// Whether the request has a header `Authorization`.
    pub has_key: bool,
}

/// A key range that a server holds until it is released or expires.
#[derive(Clone, Debug)]
pub struct HeldKeys {
    /// The service that the keys belong to.
    pub service: String,
    /// The server and its incarnation, as `id/number`.
    pub server: String,
    /// The first key of the range.
    pub from: u16,
    /// The last key of the range, inclusive.
    pub to: u16,
    /// When the grant arrived.
    pub since: Instant,
    /// When the lease expires.
    pub until: Instant,
    pub(super) fence: u64,
}

/// Record shared by all fake servers: executions, held keys and violations.
#[derive(Clone, Debug, Default)]
pub struct ServerRecorder {
    executions: Arc<Mutex<Vec<Execution>>>,
    pub(super) arrivals: Arrivals,
    held: Arc<Mutex<Vec<HeldKeys>>>,
    /// All grants that servers have accepted: a server rejects lower tokens also after a release.
    accepted: Arc<Mutex<Vec<HeldKeys>>>,
    violations: Arc<Mutex<Vec<Violation>>>,
}

/// A grant of keys that another server still held.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// When the grant took effect.
    pub at: Instant,
    /// The servers, key ranges and fence tokens.
    pub text: String,
}

impl ServerRecorder {
    /// All executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        lock(&self.executions).clone()
    }

    /// All requests that have arrived so far, executed or not.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.all()
    }

    pub(super) fn record_execution(&self, execution: Execution) {
        lock(&self.executions).push(execution);
    }

    /// Forgets the keys that an ended incarnation has held.
    pub(super) fn end_leases(&self, server: &str) {
        lock(&self.held).retain(|held| held.server != server);
    }

    /// The grants of keys that another server still held.
    pub fn violations(&self) -> Vec<Violation> {
        lock(&self.violations).clone()
    }

    pub(super) fn grant(&self, new: HeldKeys) -> bool {
        let mut held = lock(&self.held);
        let now = Instant::now();
        held.retain(|other| other.until > now);
        let overlaps = |other: &HeldKeys| {
            other.service == new.service && other.from <= new.to && new.from <= other.to
        };
        let mut accepted = lock(&self.accepted);
        if accepted
            .iter()
            .any(|other| overlaps(other) && other.server == new.server && other.fence > new.fence)
        {
            return false;
        }
        accepted.retain(|other| {
            let is_covered = new.from <= other.from && other.to <= new.to;
            other.server != new.server || other.service != new.service || !is_covered
        });
        accepted.push(new.clone());
        for other in held
            .iter()
            .filter(|other| overlaps(other) && other.server != new.server)
        {
            let text = format!(
                "{} is granted {}-{} with fence {} while {} holds {}-{} with fence {} for {:?} more",
                new.server,
                new.from,
                new.to,
                new.fence,
                other.server,
                other.from,
                other.to,
                other.fence,
                other.until - now
            );
            lock(&self.violations).push(Violation { at: now, text });
        }
        remove_range(
            &mut held,
            &new.service,
            &new.server,
            new.from,
            new.to,
            new.fence,
        );
        held.push(new);
        true
    }

    pub(super) fn release(&self, service: &str, server: &str, from: u16, to: u16, fence: u64) {
        remove_range(&mut lock(&self.held), service, server, from, to, fence);
    }

    pub(super) fn holds(&self, service: &str, server: &str, key: u16) -> bool {
        let now = Instant::now();
        let held = lock(&self.held);
        held.iter().any(|other| {
            other.service == service
                && other.server == server
                && other.from <= key
                && key <= other.to
                && other.until > now
        })
    }
}

fn remove_range(
    held: &mut Vec<HeldKeys>,
    service: &str,
    server: &str,
    from: u16,
    to: u16,
    fence: u64,
) {
    for other in std::mem::take(held) {
        let unaffected = other.service != service || other.server != server || other.fence > fence;
        if unaffected || other.to < from || to < other.from {
            held.push(other);
            continue;
        }
        if other.from < from {
            held.push(HeldKeys {
                to: from - 1,
                ..other.clone()
            });
        }
        if to < other.to {
            held.push(HeldKeys {
                from: to + 1,
                ..other
            });
        }
    }
}
