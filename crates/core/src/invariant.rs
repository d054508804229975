//! Named invariants, asserted in every build.

use std::fmt;

/// What holds at all times; `docs/promises.md` says which promise each one carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Invariant {
    /// A shard's epoch rises with each change of its owner and never falls.
    EpochRises,
    /// An order is given only by a valid host that controls the server.
    OrderIsValid,
    /// An order is given only for a shard that the server has been granted.
    OrderIsGranted,
    /// A backend server never has more orders running than its limit.
    WithinLimit,
    /// A request that is not idempotent is ordered at most once.
    AtMostOnce,
    /// "Not run" is said only where no order may have run.
    NotRunIsTrue,
    /// A request leaves this host only for a host in its home regions.
    HomeRegions,
    /// A shard leaves a server only after its release or the end of its lease.
    ReleasedFirst,
    /// A move whose new owners may be in the store is never replaced by another one.
    WrittenMoveStands,
    /// A promise is never given while a takeover is under way.
    PromiseKept,
    /// A server taken out is ordered nothing once its shards have left.
    OutIsIdle,
}

impl fmt::Display for Invariant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

/// Ends the process when an invariant is broken.
///
/// A host that has lost an invariant can no longer tell which of its answers are true, so it
/// stops and leaves its work to its successor.
///
/// # Panics
///
/// Panics when `holds` is false.
#[inline]
#[track_caller]
pub fn ensure(invariant: Invariant, holds: bool) {
    assert!(holds, "invariant {invariant} is broken");
}
