//! Parses the settings file of an entry host.

use std::net::SocketAddr;

use amaranthshunt_core::Timing;
use amaranthshunt_core::finding::Finding;
use amaranthshunt_core::names::{DomainName, is_valid_name};

use crate::reader::{Findings, Section, parse};
use crate::report::{Report, Result};

/// Description of the address format in findings.
const ADDRESS_FORMAT: &str = "an address such as `127.0.0.1:7000`";

/// The paths of all fields; a test checks that `docs/settings.md` lists each of them.
pub const FIELDS: &[&str] = &[
    "name",
    "domain",
    "listen.callers",
    "listen.hosts",
    "platform.store",
    "peers.seeds",
    "metrics.statsd",
    "limits.requests",
    "limits.deadline_ms",
    "timing.heartbeat_ms",
    "timing.suspicion_ms",
    "timing.validity_ms",
    "timing.skew_ms",
    "timing.lease_ms",
    "timing.renewal_ms",
    "timing.store_timeout_ms",
    "timing.ledger_window_ms",
    "timing.key_ahead_ms",
    "timing.quarantine_ms",
];

/// The settings of an entry host.
#[derive(Clone, Debug)]
pub struct HostFile {
    /// The name that operators give the host.
    pub name: String,
    /// The failure domain in which the host runs.
    pub domain: DomainName,
    /// The listen address for callers.
    pub callers_address: SocketAddr,
    /// The listen address for other hosts.
    pub hosts_address: SocketAddr,
    /// The address of the platform's object store.
    pub store_address: SocketAddr,
    /// Addresses of hosts to ask for the configuration while the store does not answer.
    pub seeds: Vec<SocketAddr>,
    /// The `StatsD` address for metrics; `None` disables them.
    pub statsd_address: Option<SocketAddr>,
    /// The largest number of concurrent caller requests.
    pub max_requests: u32,
    /// The deadline of a request that sets none, in milliseconds.
    pub deadline_millis: u32,
    /// Intervals and timeouts.
    pub timing: Timing,
}

/// Parses the settings of an entry host; `file_name` is shown in the report.
///
/// # Errors
///
/// Fails with a report of all findings in the text.
pub fn read_host_file(file_name: &str, text: &str) -> Result<HostFile> {
    let mut findings = Findings::default();
    let mut root = parse(text, &mut findings);
    let host_name = root.text("name", &mut findings);
    if !host_name.is_empty() && !is_valid_name(&host_name) {
        let text = "must be 1 to 64 letters, digits, `-` or `_`";
        findings.add_at_path(&Finding::new("name", text));
    }
    let domain = root.parsed("domain", "of the form `region/domain`", &mut findings);
    let mut listen = root.section("listen", false, &mut findings);
    let callers_address = listen.parsed("callers", ADDRESS_FORMAT, &mut findings);
    let hosts_address = listen.parsed("hosts", ADDRESS_FORMAT, &mut findings);
    listen.finish(&mut findings);
    let mut platform = root.section("platform", false, &mut findings);
    let store_address = platform.parsed("store", ADDRESS_FORMAT, &mut findings);
    platform.finish(&mut findings);
    let mut peers = root.section("peers", true, &mut findings);
    let seeds = peers.list("seeds", ADDRESS_FORMAT, &mut findings);
    peers.finish(&mut findings);
    let mut metrics = root.section("metrics", true, &mut findings);
    let statsd_address = metrics.optional("statsd", ADDRESS_FORMAT, &mut findings);
    metrics.finish(&mut findings);
    let mut limits = root.section("limits", true, &mut findings);
    let max_requests = limits.number("requests", 1..1_000_001, Some(10_000), &mut findings);
    let deadline_millis = limits.number("deadline_ms", 1..60_001, Some(2_000), &mut findings);
    limits.finish(&mut findings);
    let timing = read_timing(root.section("timing", true, &mut findings), &mut findings);
    root.finish(&mut findings);
    check_conflicts(callers_address, hosts_address, &timing, &mut findings);
    let required = (domain, callers_address, hosts_address, store_address);
    if let (Some(domain), Some(callers_address), Some(hosts_address), Some(store_address)) =
        required
        && findings.is_empty()
    {
        return Ok(HostFile {
            name: host_name,
            domain,
            callers_address,
            hosts_address,
            store_address,
            seeds,
            statsd_address,
            max_requests,
            deadline_millis,
            timing,
        });
    }
    Err(Report::new(file_name, text, findings.into_sorted()))
}

fn read_timing(mut section: Section<'_>, findings: &mut Findings) -> Timing {
    let defaults = Timing::default();
    let mut millis = |name, default| section.millis(name, 1..3_600_001, default, findings);
    let timing = Timing {
        heartbeat: millis("heartbeat_ms", defaults.heartbeat),
        suspicion: millis("suspicion_ms", defaults.suspicion),
        validity: millis("validity_ms", defaults.validity),
        skew: millis("skew_ms", defaults.skew),
        lease: millis("lease_ms", defaults.lease),
        renewal: millis("renewal_ms", defaults.renewal),
        store_timeout: millis("store_timeout_ms", defaults.store_timeout),
        ledger_window: millis("ledger_window_ms", defaults.ledger_window),
        key_ahead: millis("key_ahead_ms", defaults.key_ahead),
        quarantine: millis("quarantine_ms", defaults.quarantine),
    };
    section.finish(findings);
    timing
}

fn check_conflicts(
    callers_address: Option<SocketAddr>,
    hosts_address: Option<SocketAddr>,
    timing: &Timing,
    findings: &mut Findings,
) {
    if callers_address.is_some() && callers_address == hosts_address {
        let text = "must differ from `listen.callers`";
        findings.add_at_path(&Finding::new("listen.hosts", text));
    }
    for violation in timing.violations() {
        findings.add_at_path(&Finding::new("timing", violation));
    }
}
