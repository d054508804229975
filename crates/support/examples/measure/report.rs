//! The figures of a run as a table and as JSON.

use serde::Serialize;

/// The figures of a run; the field names are the keys of the JSON output.
#[derive(Debug, Serialize)]
pub(crate) struct Report {
    pub(crate) scenario: String,
    pub(crate) seed: u64,
    pub(crate) requests: u64,
    pub(crate) answered: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) cut: u64,
    pub(crate) p50_us: u64,
    pub(crate) p99_us: u64,
    pub(crate) p999_us: u64,
    /// Latency of the same load sent directly to fake servers; only in the scenario `steady`.
    pub(crate) direct_p50_us: Option<u64>,
    pub(crate) direct_p99_us: Option<u64>,
    /// The longest time from the first attempt of a request to its answer, retries included.
    pub(crate) longest_wait_ms: u64,
    pub(crate) imbalance: f64,
    pub(crate) churn: f64,
    pub(crate) double_runs: u64,
    pub(crate) double_owners: u64,
    pub(crate) false_not_run: u64,
    pub(crate) overruns: u64,
    pub(crate) cpu_percent: f64,
    pub(crate) control_bytes_host_second: u64,
    pub(crate) store_reads: u64,
    pub(crate) store_writes: u64,
}

impl Report {
    /// Formats the report as one line of JSON.
    pub(crate) fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Formats the report as a table with one row for each figure.
    pub(crate) fn table(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        let mut text = String::new();
        for (name, value) in value.as_object().into_iter().flatten() {
            let value = match value.as_f64() {
                Some(number) if number.fract() != 0.0 => format!("{number:.3}"),
                _ => value.to_string(),
            };
            text.push_str(&format!("{name:<26} {value}\n"));
        }
        text
    }
}
