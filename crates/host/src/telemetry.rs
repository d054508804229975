//! Logs and metrics.

use std::net::{SocketAddr, UdpSocket};

use amaranthshunt_core::log::{Level, Record};
use amaranthshunt_core::{Outcome, Time};
use cadence::{BufferedUdpMetricSink, CountedExt, Gauged, NopMetricSink, StatsdClient, Timed};
use logforth::append::Stdout;
use logforth::layout::JsonLayout;

/// The prefix of every metric.
const PREFIX: &str = "amaranthshunt";

/// The most detailed level that is written.
///
/// The libraries trace each task and each socket; only what a person on call acts on is kept.
const DETAIL: log::LevelFilter = log::LevelFilter::Info;

/// Sends log lines to standard output as JSON, one object a line.
pub(crate) fn start_logs() {
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.append(Stdout::default().with_layout(JsonLayout::default())))
        .apply();
    log::set_max_level(DETAIL);
}

/// Writes one line of the event catalogue.
pub(crate) fn write_log(host: &str, record: &Record) {
    let level = match record.code.level() {
        Level::Info => log::Level::Info,
        Level::Warn => log::Level::Warn,
        Level::Error => log::Level::Error,
    };
    log::log!(target: "amaranthshunt", level, "{host} {record}");
}

/// What a host holds and has sent, for its metrics.
#[derive(Clone, Copy, Debug)]
pub(crate) struct State {
    /// Requests of callers under way.
    pub(crate) waiting: u64,
    /// Backend servers under control.
    pub(crate) controlled: u64,
    /// Ledger records, copies for other hosts included.
    pub(crate) records: u64,
    /// Bytes of control messages sent since the start.
    pub(crate) control_bytes: u64,
}

/// Counts requests and times them.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends metrics to a `StatsD` address, or nowhere.
    pub(crate) fn new(address: Option<SocketAddr>) -> Self {
        let sink = address.and_then(|address| {
            let socket = UdpSocket::bind("127.0.0.1:0").ok()?;
            socket.set_nonblocking(true).ok()?;
            BufferedUdpMetricSink::from(address, socket).ok()
        });
        let client = match sink {
            Some(sink) => StatsdClient::from_sink(PREFIX, sink),
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
        };
        Self { client }
    }

    /// Counts a request by its outcome.
    pub(crate) fn request(&self, outcome: &Outcome, started: Time, ended: Time) {
        let name = match outcome {
            Outcome::Answer(_) => "requests.answer",
            Outcome::NotRun(_) => "requests.not_run",
            Outcome::Unknown(_) => "requests.unknown",
        };
        let _ = self.client.incr(name);
        let millis = ended.since(started).as_millis() as u64;
        let _ = self.client.time("requests.millis", millis);
    }

    /// Reports what the host holds and has sent.
    pub(crate) fn state(&self, state: &State) {
        let _ = self.client.gauge("requests.waiting", state.waiting);
        let _ = self.client.gauge("servers.controlled", state.controlled);
        let _ = self.client.gauge("ledger.records", state.records);
        let _ = self
            .client
            .gauge("links.control_bytes", state.control_bytes);
        let _ = self.client.flush();
    }
}
