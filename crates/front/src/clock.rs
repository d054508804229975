//! A clock that counts the time for which the machine was suspended.

use amaranthshunt_core::Time;
use rustix::time::{ClockId, clock_gettime};

/// The time since the machine started, suspensions included.
///
/// A monotonic clock stands still while the machine is suspended, and the time of day jumps;
/// a lease measured by either would outlive itself. See `docs/platform-path.md`, "Clocks".
pub(crate) fn now() -> Time {
    let reading = clock_gettime(ClockId::Boottime);
    Time::from_micros(reading.tv_sec as u64 * 1_000_000 + reading.tv_nsec as u64 / 1_000)
}
