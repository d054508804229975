//! Simulated server that holds keys.

use std::sync::Arc;

#[derive(Clone, Debug)]
pub(super) struct Lease {
    pub(super) from: u16,
    pub(super) to: u16,
    pub(super) fence: u64,
    pub(super) until: u64,
}

/// A server that holds keys under leases.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) id: Arc<str>,
    pub(super) up: bool,
    pub(super) incarnation: u64,
    pub(super) restart_at: u64,
    pub(super) draining: bool,
    pub(super) leases: Vec<Lease>,
    /// Accepted fence tokens, each with the first and the last key of its range.
    pub(super) accepted: Vec<(u16, u16, u64)>,
}

impl Backend {
    /// Ends the process, which forgets its keys and tokens.
    pub(super) fn stop(&mut self, restart_at: u64) {
        self.up = false;
        self.leases.clear();
        self.accepted.clear();
        self.restart_at = restart_at;
    }

    /// Starts the next life of a server that has ended.
    pub(super) fn start(&mut self) {
        self.up = true;
        self.draining = false;
        self.incarnation += 1;
    }

    /// Grants keys; returns `false` if a higher token was accepted for one of them.
    pub(super) fn grant(&mut self, from: u16, to: u16, fence: u64, until: u64) -> bool {
        let newer = self
            .accepted
            .iter()
            .any(|(a, b, seen)| *a <= to && from <= *b && *seen > fence);
        if newer {
            return false;
        }
        self.accepted.retain(|(a, b, _)| *a < from || *b > to);
        self.accepted.push((from, to, fence));
        self.remove_keys(from, to, fence);
        self.leases.push(Lease {
            from,
            to,
            fence,
            until,
        });
        true
    }

    /// Removes keys from all leases with the same or a lower token.
    pub(super) fn remove_keys(&mut self, from: u16, to: u16, fence: u64) {
        let mut kept = Vec::new();
        for lease in self.leases.drain(..) {
            if lease.to < from || to < lease.from || lease.fence > fence {
                kept.push(lease);
                continue;
            }
            if lease.from < from {
                kept.push(Lease {
                    to: from - 1,
                    ..lease.clone()
                });
            }
            if to < lease.to {
                kept.push(Lease {
                    from: to + 1,
                    ..lease
                });
            }
        }
        self.leases = kept;
    }
}
