//! Times in which a host or the store was disturbed.

use std::time::{Duration, Instant};

/// Time after a disturbance in which bounds on time do not hold yet.
pub(crate) const CONTACT_TIME: Duration = Duration::from_millis(4_000);

/// The disturbances of one process or service, in the order of their start.
#[derive(Clone, Debug, Default)]
pub(crate) struct Disturbances {
    /// Start of each disturbance, and its end unless it still lasts.
    spans: Vec<(Instant, Option<Instant>)>,
}

impl Disturbances {
    /// Records that a disturbance begins, unless one lasts already.
    pub(crate) fn begin(&mut self) {
        if self.spans.last().is_none_or(|(_, end)| end.is_some()) {
            self.spans.push((Instant::now(), None));
        }
    }

    /// Records that the present disturbance ends, or that something happened at this moment.
    pub(crate) fn end(&mut self) {
        self.mark();
        if let Some((_, end @ None)) = self.spans.last_mut() {
            *end = Some(Instant::now());
        }
    }

    /// Records that something happened at this moment; a disturbance that lasts goes on.
    pub(crate) fn mark(&mut self) {
        let now = Instant::now();
        if self.spans.last().is_none_or(|(_, end)| end.is_some()) {
            self.spans.push((now, Some(now)));
        }
    }

    /// Whether there was a disturbance at any time between `from` and `to`.
    pub(crate) fn overlap(&self, from: Instant, to: Instant) -> bool {
        let mut spans = self.spans.iter();
        spans.any(|(start, end)| *start <= to && end.is_none_or(|end| end >= from))
    }

    /// Whether there was none up to `at`, for so long that bounds on time hold.
    pub(crate) fn are_past(&self, at: Instant) -> bool {
        let from = at.checked_sub(CONTACT_TIME).unwrap_or(at);
        !self.overlap(from, at)
    }
}
