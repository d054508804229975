//! A clock that starts at the wall clock and never jumps.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use amaranthshunt_core::Time;

/// Wall clock time at the start of the process plus monotonic time since.
///
/// A correction of the wall clock while the process runs would shorten or lengthen leases, so
/// it is not followed; see `docs/design.md`, "Clocks".
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Time,
    started: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since.map_or(0, |since| since.as_micros() as u64);
        Self {
            base: Time::from_micros(micros),
            started: Instant::now(),
        }
    }
}

impl Clock {
    /// The time now.
    pub fn now(&self) -> Time {
        self.base + self.started.elapsed()
    }
}
