//! A clock that also advances while the machine is suspended.

use amaranthshunt_core::Time;
use rustix::time::{ClockId, clock_gettime};

/// The time since boot, including suspensions.
///
/// A monotonic clock stops while the machine is suspended, and the time of day can jump; a lease
/// measured by either could be used after it has expired. See `docs/platform-path.md`, "Clocks".
pub(crate) fn now() -> Time {
    let reading = clock_gettime(ClockId::Boottime);
    Time::from_micros(reading.tv_sec as u64 * 1_000_000 + reading.tv_nsec as u64 / 1_000)
}
