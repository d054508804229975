//! Gauges and their text format; `docs/metrics.md` lists them.

use std::fmt::Write as _;
use std::sync::Arc;
use std::time::Duration;

/// What a host knows at the moment.
#[derive(Clone, Debug, Default)]
pub struct Gauges {
    /// Version of the configuration in force; 0 if none is known.
    pub(crate) config_version: u64,
    /// Time since the host's copy of the configuration was known to be complete.
    pub(crate) config_age: Duration,
    /// Era of the store's history; 0 if none is known.
    pub(crate) store_era: u64,
    /// Bytes of messages in hand beyond what each request has room for.
    pub(crate) buffered_bytes: u64,
    /// Servers that name a limit.
    pub(crate) limited_servers: u64,
    /// Servers that are known to leave.
    pub(crate) leaving_servers: u64,
    /// Servers that have asked this host for a pause.
    pub(crate) paused_servers: u64,
    /// The tenants of which this host has sent most of the quota, and the thousandths of it.
    pub(crate) quota_use: Vec<(Arc<str>, u64)>,
}

/// The gauge with a value for each tenant.
const QUOTA_USE: &str = "amaranthshunt_quota_used_permille";

impl Gauges {
    /// The name of every gauge.
    pub const NAMES: [&'static str; 8] = [
        "amaranthshunt_config_version",
        "amaranthshunt_config_age_milliseconds",
        "amaranthshunt_store_era",
        "amaranthshunt_buffered_bytes",
        "amaranthshunt_limited_servers",
        "amaranthshunt_leaving_servers",
        "amaranthshunt_paused_servers",
        QUOTA_USE,
    ];

    /// Every gauge in the Prometheus text format.
    pub(crate) fn to_text(&self) -> String {
        let values = [
            u128::from(self.config_version),
            self.config_age.as_millis(),
            u128::from(self.store_era),
            u128::from(self.buffered_bytes),
            u128::from(self.limited_servers),
            u128::from(self.leaving_servers),
            u128::from(self.paused_servers),
        ];
        let lines = Self::NAMES
            .iter()
            .zip(values)
            .map(|(name, value)| format!("# TYPE {name} gauge\n{name} {value}\n"));
        let mut text: String = lines.collect();
        // Writing to a string cannot fail.
        let _ = writeln!(text, "# TYPE {QUOTA_USE} gauge");
        for (tenant, permille) in &self.quota_use {
            let tenant = tenant
                .replace('\\', "\\\\")
                .replace('"', "\\\"")
                .replace('\n', "\\n");
            let _ = writeln!(text, "{QUOTA_USE}{{tenant=\"{tenant}\"}} {permille}");
        }
        text
    }
}
