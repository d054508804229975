//! This host's own delay, and which requests it sheds because of it.

use std::time::Duration;

/// Weight of a measurement that is below the estimate; a higher one counts at once.
const DECREASE_WEIGHT: f64 = 0.3;
/// Delay from which requests of the lowest priority are shed.
const SHEDDING_DELAY: Duration = Duration::from_millis(250);
/// Lowest priority that is told apart.
const LOWEST_PRIORITY: u8 = 2;

/// How late the tasks of this host run.
///
/// An overloaded host lets requests lie in its sockets before it reads them. Callers count that
/// time, so the host counts it, too, and refuses requests before it is so late that they are in
/// vain.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostDelay {
    estimate: Duration,
}

impl HostDelay {
    /// Records by how much a timer was late.
    pub fn record(&mut self, lateness: Duration) {
        self.estimate = if lateness >= self.estimate {
            lateness
        } else {
            self.estimate.mul_f64(1.0 - DECREASE_WEIGHT) + lateness.mul_f64(DECREASE_WEIGHT)
        };
    }

    /// Time for which a request has probably been waiting when it is read.
    pub fn estimate(&self) -> Duration {
        self.estimate
    }

    /// Whether requests of a priority are refused; each more urgent one bears twice the delay.
    pub fn sheds(&self, priority: u8) -> bool {
        let steps = LOWEST_PRIORITY - priority.min(LOWEST_PRIORITY);
        self.estimate >= SHEDDING_DELAY * 2_u32.pow(u32::from(steps))
    }
}
