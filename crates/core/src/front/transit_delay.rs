//! How long heartbeats have been delayed on their way from the leader.

use std::time::Duration;

use crate::time::Time;

/// Estimates the delay of heartbeats by comparing them with the fastest one.
///
/// The clocks of two hosts have nothing in common but their rate. The smallest difference between
/// the time of receipt and the time of sending belongs to a heartbeat that was not held up, so what
/// another one takes beyond it was spent in queues, in retransmissions or in a host that was late.
#[derive(Clone, Copy, Debug, Default)]
pub struct TransitDelay {
    smallest_difference: Option<i64>,
}

impl TransitDelay {
    /// Returns by how much longer a heartbeat was on its way than the fastest one so far.
    ///
    /// `sent` is the time by the sender's clock, `received` the time by this host's clock.
    pub fn record(&mut self, sent: Time, received: Time) -> Duration {
        let difference = received.as_micros().wrapping_sub(sent.as_micros()) as i64;
        let smallest = self
            .smallest_difference
            .map_or(difference, |smallest| smallest.min(difference));
        self.smallest_difference = Some(smallest);
        Duration::from_micros(difference.saturating_sub(smallest) as u64)
    }
}
