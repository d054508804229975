//! The settings file of an entry host.

use std::net::SocketAddr;

use amaranthshunt_core::Timing;
use amaranthshunt_core::finding::Finding;
use amaranthshunt_core::names::{DomainName, is_label};

use crate::reader::{Findings, Section, parse};
use crate::report::{Report, Result};

/// What an address has to look like.
const ADDRESS: &str = "an address such as `127.0.0.1:7000`";

/// Every field, for the check of the reference page.
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
    /// The name under which operators know the host.
    pub name: String,
    /// The failure domain that the host stands in.
    pub domain: DomainName,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other hosts connect.
    pub hosts: SocketAddr,
    /// The platform's object store.
    pub store: SocketAddr,
    /// Hosts to ask for the configuration while the store is silent.
    pub seeds: Vec<SocketAddr>,
    /// Where metrics go, if anywhere.
    pub statsd: Option<SocketAddr>,
    /// The most requests of callers at the same time.
    pub requests: u32,
    /// Milliseconds that a request has when it does not say.
    pub deadline_millis: u32,
    /// Periods and bounds.
    pub timing: Timing,
}

/// Reads the settings of an entry host.
///
/// # Errors
///
/// Fails with everything that is wrong with the text.
pub fn read_host_file(name: &str, text: &str) -> Result<HostFile> {
    let mut findings = Findings::default();
    let mut root = parse(text, &mut findings);
    let host_name = root.text("name", &mut findings);
    if !host_name.is_empty() && !is_label(&host_name) {
        let text = "must be 1 to 64 letters, digits, `-` or `_`";
        findings.add_placed(&Finding::new("name", text));
    }
    let domain = root.parsed("domain", "of the form `region/domain`", &mut findings);
    let mut listen = root.section("listen", false, &mut findings);
    let callers = listen.parsed("callers", ADDRESS, &mut findings);
    let hosts = listen.parsed("hosts", ADDRESS, &mut findings);
    listen.finish(&mut findings);
    let mut platform = root.section("platform", false, &mut findings);
    let store = platform.parsed("store", ADDRESS, &mut findings);
    platform.finish(&mut findings);
    let mut peers = root.section("peers", true, &mut findings);
    let seeds = peers.list("seeds", ADDRESS, &mut findings);
    peers.finish(&mut findings);
    let mut metrics = root.section("metrics", true, &mut findings);
    let statsd = metrics.optional("statsd", ADDRESS, &mut findings);
    metrics.finish(&mut findings);
    let mut limits = root.section("limits", true, &mut findings);
    let requests = limits.number("requests", 1..1_000_001, Some(10_000), &mut findings);
    let deadline = limits.number("deadline_ms", 1..60_001, Some(2_000), &mut findings);
    limits.finish(&mut findings);
    let timing = read_timing(root.section("timing", true, &mut findings), &mut findings);
    root.finish(&mut findings);
    check_clashes(callers, hosts, &timing, &mut findings);
    let whole = (domain, callers, hosts, store);
    if let (Some(domain), Some(callers), Some(hosts), Some(store)) = whole
        && findings.is_empty()
    {
        return Ok(HostFile {
            name: host_name,
            domain,
            callers,
            hosts,
            store,
            seeds,
            statsd,
            requests,
            deadline_millis: deadline,
            timing,
        });
    }
    Err(Report::new(name, text, findings.into_located()))
}

fn read_timing(mut section: Section<'_>, findings: &mut Findings) -> Timing {
    let base = Timing::default();
    let mut span = |name, default| section.millis(name, 1..3_600_001, default, findings);
    let timing = Timing {
        heartbeat: span("heartbeat_ms", base.heartbeat),
        suspicion: span("suspicion_ms", base.suspicion),
        validity: span("validity_ms", base.validity),
        skew: span("skew_ms", base.skew),
        lease: span("lease_ms", base.lease),
        renewal: span("renewal_ms", base.renewal),
        store_timeout: span("store_timeout_ms", base.store_timeout),
        ledger_window: span("ledger_window_ms", base.ledger_window),
        key_ahead: span("key_ahead_ms", base.key_ahead),
        quarantine: span("quarantine_ms", base.quarantine),
    };
    section.finish(findings);
    timing
}

fn check_clashes(
    callers: Option<SocketAddr>,
    hosts: Option<SocketAddr>,
    timing: &Timing,
    findings: &mut Findings,
) {
    if callers.is_some() && callers == hosts {
        let text = "must differ from `listen.callers`";
        findings.add_placed(&Finding::new("listen.hosts", text));
    }
    for clash in timing.clashes() {
        findings.add_placed(&Finding::new("timing", clash));
    }
}
