//! Numbered log events.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The severity of an event.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Level {
    /// Needs no action.
    Info,
    /// Needs attention during working hours.
    Warn,
    /// Needs immediate attention.
    Error,
}

macro_rules! event_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $level:ident, $text:literal;)*) => {
        /// A kind of log event; see `docs/events.md`.
        #[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
        pub enum EventCode {
            $($(#[$doc])* $name,)*
        }

        impl EventCode {
            /// All codes, in declaration order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The event number.
            pub const fn number(self) -> u16 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// The severity of the event.
            pub const fn level(self) -> Level {
                match self {
                    $(Self::$name => Level::$level,)*
                }
            }

            /// A short description of the event.
            pub const fn text(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }
        }
    };
}

event_codes! {
    /// The host accepts requests.
    Started = 1001, Info, "host started";
    /// A graceful shutdown started.
    Leaving = 1002, Info, "host is leaving";
    /// The graceful shutdown completed.
    Left = 1003, Info, "host has left";
    /// The settings were reloaded.
    Reloaded = 1004, Info, "settings were read anew";
    /// The settings file is invalid, so the settings in use stay.
    ReloadFailed = 1005, Warn, "settings file is not used";
    /// The host was added to its region's record.
    Joined = 1101, Info, "host is on record";
    /// The host was removed from its region's record.
    Removed = 1102, Warn, "host was taken off record";
    /// The successor changed.
    SuccessorChanged = 1103, Info, "successor changed";
    /// Neither the store nor the successor confirmed the host's validity in time.
    ValidityLost = 1104, Error, "host is not valid";
    /// The host's validity was confirmed again.
    ValidityRegained = 1105, Info, "host is valid again";
    /// A takeover from an unresponsive host started.
    TakeoverBegun = 1201, Warn, "takeover begun";
    /// The takeover was written to the region's record.
    TakeoverRecorded = 1202, Warn, "takeover recorded";
    /// The host gained control of a backend server.
    ControlGained = 1203, Info, "control gained";
    /// The host's control of a backend server ended.
    ControlLost = 1204, Info, "control lost";
    /// A backend server rejected this host's fence token.
    Fenced = 1205, Warn, "fenced by a higher token";
    /// A backend server did not respond before its lease expired.
    ServerLost = 1301, Warn, "backend server lost";
    /// A lost backend server responds again.
    ServerBack = 1302, Info, "backend server is back";
    /// A backend server restarted.
    ServerRestarted = 1303, Warn, "backend server restarted";
    /// Shards moved to another server.
    ShardsMoved = 1304, Info, "shards moved";
    /// Shards moved while the store was unavailable.
    ShardsProvisional = 1305, Warn, "shards moved provisionally";
    /// A backend server became slow or sheds load.
    LimitLowered = 1306, Info, "limit lowered";
    /// A backend server is far slower than its own baseline.
    ServerSlow = 1307, Warn, "backend server is slow";
    /// A backend server started to drain.
    ServerDraining = 1308, Info, "backend server drains";
    /// The store no longer lists a backend server.
    ServerGone = 1309, Info, "backend server is gone";
    /// A backend server is temporarily ejected from routing.
    #[serde(rename = "ServerShunned")]
    ServerEjected = 1310, Info, "backend server is passed over";
    /// Operators took a failure domain out of service.
    DomainOut = 1311, Info, "failure domain is out";
    /// Operators returned a failure domain to service.
    DomainBack = 1312, Info, "failure domain is back";
    /// A configuration version took effect.
    ConfigInForce = 1313, Info, "configuration in force";
    /// A backend server names a limit on requests per second.
    LimitNamed = 1314, Info, "backend server names a limit";
    /// A backend server no longer names a limit.
    LimitEnded = 1315, Info, "backend server names no limit any more";
    /// A backend server sends a header about itself that cannot be used.
    #[serde(rename = "LimitInvalid")]
    SignalInvalid = 1316, Warn, "backend server sends an invalid header";
    /// The host reaches no backend server and passes requests on to other hosts.
    ReachLost = 1317, Error, "host reaches no backend server";
    /// The host reaches backend servers again.
    ReachRegained = 1318, Info, "host reaches backend servers again";
    /// A response or another host has told that a backend server leaves.
    DepartureTold = 1319, Info, "backend server says that it leaves";
    /// A backend server has asked this host to send it nothing for some time.
    PauseRequested = 1320, Info, "backend server asks for a pause";
    /// The store does not respond.
    #[serde(rename = "StoreSilent")]
    StoreUnavailable = 1401, Error, "object store does not answer";
    /// The store responds again.
    StoreBack = 1402, Info, "object store answers again";
    /// An object could not be parsed.
    ObjectUnreadable = 1403, Error, "object could not be read";
    /// A call that keeps the copy of a kind of object current failed.
    CopyNotUpdated = 1404, Info, "copy of the store is not updated";
    /// The store has another history than before, since it was restored from a copy.
    StoreEraChanged = 1405, Warn, "object store has another history";
    /// A request was answered, refused or aborted.
    RequestEnded = 1504, Info, "request ended";
    /// The host became the leader, which grants keys.
    GranterStarted = 1601, Warn, "host grants keys";
    /// The host is no longer the leader.
    GranterEnded = 1602, Warn, "host no longer grants keys";
    /// Another host became the leader.
    #[serde(rename = "GranterFollowed")]
    GranterChanged = 1603, Info, "granting host changed";
    /// A request was running on a server that crashed.
    RequestSuspect = 1501, Warn, "request was running when a server crashed";
    /// A request is refused temporarily after repeated crashes.
    RequestQuarantined = 1502, Error, "request is quarantined";
    /// It is unknown whether a request ran.
    RequestDoubtful = 1503, Warn, "request may have run";
}

/// Longest subject and longest detail of a line, in characters.
const TEXT_LIMIT: usize = 1_000;

/// A log record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// The kind of event.
    pub code: EventCode,
    /// The name of the host, server or object that the event concerns.
    pub subject: String,
    /// Further details; may be empty.
    pub detail: String,
}

impl LogRecord {
    /// Creates a log record.
    pub fn new(code: EventCode, subject: impl Into<String>, detail: impl Into<String>) -> Self {
        Self {
            code,
            subject: subject.into(),
            detail: detail.into(),
        }
    }
}

impl fmt::Display for LogRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = self.code;
        // Names and details may be texts of other programs, of any length.
        let subject = &self.subject;
        write!(
            f,
            "E{} {}: {subject:.TEXT_LIMIT$}",
            code.number(),
            code.text()
        )?;
        if !self.detail.is_empty() {
            write!(f, " ({:.TEXT_LIMIT$})", self.detail)?;
        }
        Ok(())
    }
}
