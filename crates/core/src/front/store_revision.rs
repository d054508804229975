//! Places in the history of the store.

use std::fmt;

/// A place in the store's history: the era of the history, and the revision within it.
///
/// A store that is restored from a copy gives out revisions again and begins a new era, so plain
/// revisions cannot be compared across a restore: whatever was read in a later era is newer. See
/// `docs/platform-path.md`, "A restored store".
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct StoreRevision {
    // The order of the fields is the order of comparison.
    era: u64,
    number: u64,
}

impl StoreRevision {
    /// The revision `number` of an era.
    pub const fn new(era: u64, number: u64) -> Self {
        Self { era, number }
    }

    /// The era of the history.
    pub const fn era(self) -> u64 {
        self.era
    }

    /// The revision as the store counts it, which tells nothing without the era.
    pub const fn number(self) -> u64 {
        self.number
    }
}

impl fmt::Display for StoreRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.number)
    }
}
