//! What a granter does when the store was restored from a copy.
//!
//! `docs/platform-path.md`, "A restored store", says which granter may go on.

use super::span::Stage;
use super::{Granter, TERM_SHIFT};
use crate::front::placement::Placement;
use crate::time::Time;

impl Granter {
    /// The era of the store in which this host has written its term.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// The record with which this granter begins a term in a new era of the store.
    ///
    /// Only a granter that a majority of the hosts has followed since the store was restored may
    /// begin one: it knows what the store has lost.
    pub fn record_for_era(&mut self, term: u64, era: u64) -> Placement {
        let placement = self.next_record();
        Placement {
            term,
            complete_era: if self.holders_unknown {
                self.complete_era
            } else {
                Some(era)
            },
            ..placement
        }
    }

    /// Begins the term of a record from [`Granter::record_for_era`] that was written in an era.
    ///
    /// The store may have lost that another host has taken over. A majority did not follow that
    /// host, so it has moved no keys, but it may have granted them to the same servers with higher
    /// tokens, and may still do so for a moment. So this granter treats it as a predecessor.
    pub fn begin_era(&mut self, now: Time, record: &Placement, era: u64) {
        self.term = record.term;
        self.era = era;
        self.complete_era = record.complete_era;
        self.table.term = record.term;
        self.table.version += 1;
        self.majority_since = Some(now);
        self.fenced_at = None;
        let mut last_fence = self.last_fence;
        for span in self.services.values_mut().flatten() {
            if let Some(holder) = &mut span.holder {
                last_fence += 1;
                holder.inherit(now, (record.term << TERM_SHIFT) | last_fence);
            }
            // A release in flight is followed by another one, for the same reason.
            if let Stage::Releasing {
                target,
                pending_call: None,
                ..
            } = &span.stage
            {
                span.stage = Stage::Recording {
                    target: target.clone(),
                    version: record.version,
                };
            }
        }
        self.last_fence = last_fence;
        self.mark_written(now, record.version);
    }
}
