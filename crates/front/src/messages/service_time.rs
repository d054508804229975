//! Service times of servers, in messages between hosts.

use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::front::ServiceTime;
use prost::Message;

/// Mean service time of a server since the sender's last report.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct ServiceTimeMessage {
    #[prost(string, tag = "1")]
    pub(crate) server: String,
    #[prost(uint64, tag = "2")]
    pub(crate) micros: u64,
    /// Number of answers that the mean stands for.
    #[prost(uint32, tag = "3")]
    pub(crate) answers: u32,
}

impl From<ServiceTime> for ServiceTimeMessage {
    fn from(time: ServiceTime) -> Self {
        Self {
            server: time.server.to_string(),
            micros: time.mean.as_micros() as u64,
            answers: time.answers,
        }
    }
}

impl From<&ServiceTimeMessage> for ServiceTime {
    fn from(message: &ServiceTimeMessage) -> Self {
        Self {
            server: Arc::from(message.server.as_str()),
            mean: Duration::from_micros(message.micros),
            answers: message.answers,
        }
    }
}
