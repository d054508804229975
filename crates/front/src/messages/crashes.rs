//! Requests that crash servers, in messages between hosts.

use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{ClearanceNotice, CrashNotice, CrashNotices};
use amaranthshunt_core::quarantine::{Crash, CrashId};
use prost::Message;

/// Crashes of servers and successes of requests that were running during them. Times are told as ages,
/// in milliseconds.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct CrashesMessage {
    #[prost(message, repeated, tag = "1")]
    pub(crate) crashes: Vec<CrashMessage>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) clearances: Vec<ClearanceMessage>,
}

/// A crash of a server while a request was running there.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct CrashMessage {
    #[prost(fixed64, tag = "1")]
    pub(crate) fingerprint: u64,
    #[prost(fixed64, tag = "2")]
    pub(crate) crash: u64,
    #[prost(uint64, tag = "3")]
    pub(crate) began_age_ms: u64,
    #[prost(uint64, tag = "4")]
    pub(crate) ended_age_ms: u64,
}

/// A success of a request.
#[derive(Clone, Message, PartialEq)]
pub(crate) struct ClearanceMessage {
    #[prost(fixed64, tag = "1")]
    pub(crate) fingerprint: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) age_ms: u64,
}

impl CrashesMessage {
    /// Encodes notices; `None` if there are none.
    pub(crate) fn new(now: Time, notices: &CrashNotices) -> Option<Self> {
        let age = |at: Time| now.since(at).as_millis() as u64;
        let crashes = notices.crashes.iter().map(|notice| CrashMessage {
            fingerprint: notice.fingerprint,
            crash: notice.crash.id.0,
            began_age_ms: age(notice.crash.began),
            ended_age_ms: age(notice.crash.ended),
        });
        let clearances = notices.clearances.iter().map(|notice| ClearanceMessage {
            fingerprint: notice.fingerprint,
            age_ms: age(notice.at),
        });
        let message = Self {
            crashes: crashes.collect(),
            clearances: clearances.collect(),
        };
        (message != Self::default()).then_some(message)
    }

    /// Decodes the notices.
    pub(crate) fn to_notices(&self, now: Time) -> CrashNotices {
        let at = |age_ms: u64| now - Duration::from_millis(age_ms);
        let crashes = self.crashes.iter().map(|message| CrashNotice {
            fingerprint: message.fingerprint,
            crash: Crash {
                id: CrashId(message.crash),
                began: at(message.began_age_ms),
                ended: at(message.ended_age_ms),
            },
        });
        let clearances = self.clearances.iter().map(|message| ClearanceNotice {
            fingerprint: message.fingerprint,
            at: at(message.age_ms),
        });
        CrashNotices {
            crashes: crashes.collect(),
            clearances: clearances.collect(),
        }
    }
}
