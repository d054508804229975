//! What a server says of itself in a response.

use std::sync::Arc;
use std::time::Duration;

use super::load::LoadReport;
use super::rate_limit::RateLimit;

/// Longest pause that a server gets, so that one odd response does not take it out of service. It may
/// ask again.
pub(super) const MAX_PAUSE: Duration = Duration::from_secs(60);

/// What one response says of the server that sent it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServerSignals {
    /// Its load.
    pub load: Option<LoadReport>,
    /// Its limit on requests per second.
    pub limit: LimitSignal,
    /// Whether it is about to shut down. This holds for the rest of the life of the process.
    pub leaving: bool,
    /// Time for which it asks this host to send it no requests.
    pub pause: Option<Duration>,
    /// Headers whose values cannot be used, as `name: value`.
    pub invalid: Vec<String>,
}

/// What a response says of the server's limit on requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// Nothing.
    #[default]
    Unchanged,
    /// The server takes this many requests from all hosts together.
    Named(RateLimit),
    /// The server has no limit.
    Ended,
}

impl LimitSignal {
    /// What remains of the signal where the response may be older than others: that a limit has ended
    /// is not certain then.
    #[must_use]
    pub fn without_end(self) -> Self {
        match self {
            Self::Ended => Self::Unchanged,
            signal => signal,
        }
    }
}

/// A life of a server that is about to end, as hosts tell each other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Departure {
    /// Identifier of the server.
    pub server: Arc<str>,
    /// Start of the server's process.
    pub start_id: Option<u64>,
}
