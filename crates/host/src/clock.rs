//! A clock that starts at the wall clock time and then advances monotonically.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use amaranthshunt_core::Time;

/// The wall clock time at creation plus the monotonic time since.
///
/// Later corrections of the wall clock are ignored, since they would shorten or lengthen leases;
/// see `docs/design.md`, "Clocks".
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    wall_start: Time,
    monotonic_start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(0, |duration| duration.as_micros() as u64);
        Self {
            wall_start: Time::from_micros(micros),
            monotonic_start: Instant::now(),
        }
    }
}

impl Clock {
    /// The current time.
    pub fn now(&self) -> Time {
        self.wall_start + self.monotonic_start.elapsed()
    }
}
