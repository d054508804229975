//! Logs and metrics.

use std::net::{SocketAddr, UdpSocket};

use amaranthshunt_core::log::{Level, LogRecord};
use amaranthshunt_core::{Outcome, Time};
use cadence::{BufferedUdpMetricSink, CountedExt, Gauged, NopMetricSink, StatsdClient, Timed};
use logforth::append::Stdout;
use logforth::layout::JsonLayout;

/// The prefix of all metric names.
const METRIC_PREFIX: &str = "amaranthshunt";

/// The most verbose level that is logged.
///
/// Libraries log each task and socket at lower levels; only what a person on call acts on is kept.
const MAX_LOG_LEVEL: log::LevelFilter = log::LevelFilter::Info;

/// Logs to standard output as JSON, one object per line.
pub(crate) fn init_logging() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(Stdout::default().with_layout(JsonLayout::default())))
        .apply();
    log::set_max_level(MAX_LOG_LEVEL);
}

/// Logs a numbered event; `docs/events.md` lists them.
pub(crate) fn log_event(host: &str, record: &LogRecord) {
    let level = match record.code.level() {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(target: "amaranthshunt", level, "{host} {record}");
}

/// The values of a host's gauges.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HostGauges {
    /// Caller requests in progress.
    pub(crate) active_requests: u64,
    /// Backend servers that the host controls.
    pub(crate) controlled_servers: u64,
    /// Ledger records, including copies kept for other hosts.
    pub(crate) ledger_records: u64,
    /// Bytes of control messages sent since the start.
    pub(crate) control_bytes: u64,
}

/// A `StatsD` client for the host's metrics.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends metrics to a `StatsD` address; discards them if there is none or the socket fails.
    pub(crate) fn new(address: Option<SocketAddr>) -> Self {
        let sink = address.and_then(|address| {
            let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            BufferedUdpMetricSink::from(address, socket).ok()
        });
        let client = match sink {
            Some(sink) => StatsdClient::from_sink(METRIC_PREFIX, sink),
            None => StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink),
        };
        Self { client }
    }

    /// Counts a request by its outcome and records its duration.
    pub(crate) fn record_request(&self, outcome: &Outcome, started: Time, ended: Time) {
        let name = match outcome {
            Outcome::Answer(_) => "requests.answer",
            Outcome::NotRun(_) => "requests.not_run",
            Outcome::Unknown(_) => "requests.unknown",
        };
        let _ = self.client.incr(name);
        let millis = ended.since(started).as_millis() as u64;
        let _ = self.client.time("requests.millis", millis);
    }

    /// Reports the gauges and flushes the buffer.
    pub(crate) fn report_gauges(&self, gauges: &HostGauges) {
        let _ = self
            .client
            .gauge("requests.waiting", gauges.active_requests);
        let _ = self
            .client
            .gauge("servers.controlled", gauges.controlled_servers);
        let _ = self.client.gauge("ledger.records", gauges.ledger_records);
        let _ = self
            .client
            .gauge("links.control_bytes", gauges.control_bytes);
        let _ = self.client.flush();
    }
}
