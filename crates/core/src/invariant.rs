//! Named invariants, asserted in every build profile.

use std::fmt;

/// A condition that always holds; `docs/promises.md` maps each one to a promise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// A shard's epoch increases with each change of its owner and never decreases.
    EpochRises,
    /// Only a valid host that controls the server sends orders to it.
    OrderIsValid,
    /// An order is sent only for a shard that the server was granted.
    OrderIsGranted,
    /// A backend server never has more orders running than its limit.
    WithinLimit,
    /// An order for a request that is not idempotent is sent at most once.
    AtMostOnce,
    /// A request is reported as not run only if no order for it may have run.
    NotRunIsTrue,
    /// A request is forwarded only to hosts in its home regions.
    HomeRegions,
    /// A shard moves off a server only after the server released it or its lease expired.
    ReleasedFirst,
    /// A move whose new owners may already be in the store is never replaced by another.
    WrittenMoveStands,
    /// No promise is given while a takeover is in progress.
    PromiseKept,
    /// A server that is out of service gets no orders after its shards have moved off.
    OutIsIdle,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Stops the host if an invariant is violated.
///
/// After a violation a host cannot tell which of its answers are correct, so it stops and lets
/// its successor take over.
///
/// # Panics
///
/// Panics if `holds` is false.
#[inline]
#[track_caller]
pub fn ensure(invariant: Invariant, holds: bool) {
    assert!(holds, "invariant {invariant} is violated");
}
