//! Checks of the guarantees against what callers and servers observed.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::callers::{RequestKind, RequestResult};
use crate::checks::{exceeded_limits, outdated_configuration};
use crate::deployment::{DOMAINS, Deployment, ROUTE_TIMEOUT_MS};
use crate::run::Workload;
use crate::signals::ignored_signals;
use crate::tenants::mistaken_tenants;

/// Time past a route's timeout within which a caller must have its answer; leaves room for a busy
/// machine.
const LATENCY_MARGIN: Duration = Duration::from_millis(1_000);
/// Minimum share of requests that must be served after recovery.
const MIN_SERVED_SHARE: f64 = 0.9;
/// Maximum number of findings shown for each kind, and of log lines shown for requests that were not
/// served after recovery.
const MAX_SHOWN: usize = 5;

/// The result of a soak run: faults, status counts and violated guarantees.
#[derive(Clone, Debug)]
pub struct Report {
    seed: u64,
    workload: Workload,
    /// Start of the run, from which its times count.
    started: Instant,
    faults: Vec<String>,
    findings: Vec<String>,
    /// Number of requests by HTTP status; `0` stands for no answer.
    status_counts: BTreeMap<String, usize>,
}

impl Report {
    pub(crate) fn new(seed: u64, workload: Workload) -> Self {
        Self {
            seed,
            workload,
            started: Instant::now(),
            faults: Vec::new(),
            findings: Vec::new(),
            status_counts: BTreeMap::new(),
        }
    }

    /// Whether no guarantee was violated.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    pub(crate) fn log_fault(&mut self, description: &str) {
        let at = self.started.elapsed();
        self.faults
            .push(format!("{:6.2} s {description}", at.as_secs_f64()));
    }

    pub(crate) fn evaluate(
        &mut self,
        deployment: &Deployment,
        results: &[RequestResult],
        recovered_by: Instant,
    ) {
        let all_executions = deployment.recorder.executions();
        let limits = exceeded_limits(deployment, &all_executions, results);
        self.findings.extend(limits);
        let signals = ignored_signals(deployment, results);
        self.findings.extend(signals.into_iter().take(MAX_SHOWN));
        if self.workload == Workload::Full {
            let mistaken = mistaken_tenants(&all_executions, results);
            self.findings.extend(mistaken.into_iter().take(MAX_SHOWN));
        }
        let mut executions: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for execution in all_executions {
            executions
                .entry(execution.request)
                .or_default()
                .push(execution.server);
        }
        for violation in deployment.recorder.violations() {
            let at = violation.at.duration_since(self.started).as_secs_f64();
            self.findings
                .push(format!("keys: at {at:.2} s {}", violation.text));
        }
        for request in results {
            let status = request.answer.as_ref().map_or(0, |(status, _)| *status);
            *self.status_counts.entry(status.to_string()).or_default() += 1;
            let none = Vec::new();
            let servers = executions.get(&request.id).unwrap_or(&none);
            let was_paused =
                deployment.hosts[request.host].was_paused(request.sent_at, request.ended_at);
            let violated = violated_guarantee(request, servers, was_paused)
                .or_else(|| outdated_configuration(deployment, request));
            if let Some(text) = violated {
                self.add_finding(deployment, request, &text, servers);
            }
        }
        self.check_recovery(deployment, results, recovered_by);
    }

    fn add_finding(
        &mut self,
        deployment: &Deployment,
        request: &RequestResult,
        text: &str,
        servers: &[String],
    ) {
        let kind = text.split(':').next().unwrap_or_default();
        let same_kind = self
            .findings
            .iter()
            .filter(|finding| finding.starts_with(kind))
            .count();
        if same_kind >= MAX_SHOWN {
            return;
        }
        let host = &deployment.hosts[request.host];
        let lines = host.log_lines_for(&request.id).join("\n      ");
        self.findings.push(format!(
            "{text}\n      {} {:?} sent to {}, executed by {servers:?}, answered {:?}\n      {lines}",
            request.id, request.kind, host.name, request.answer
        ));
    }

    fn check_recovery(
        &mut self,
        deployment: &Deployment,
        results: &[RequestResult],
        recovered_by: Instant,
    ) {
        let kinds: &[&str] = match self.workload {
            Workload::Full => &["Read", "Pay", "Home", "Version", "Upload", "UnknownKey"],
            Workload::Plain => &["Read", "Pay", "Home", "Version"],
        };
        for kind in kinds {
            let matching = results.iter().filter(|request| {
                request.sent_at >= recovered_by && format!("{:?}", request.kind).starts_with(kind)
            });
            let sent_after: Vec<&RequestResult> = matching.collect();
            let served = sent_after
                .iter()
                .filter(|request| is_served(request))
                .count();
            if (served as f64) < MIN_SERVED_SHARE * sent_after.len() as f64 || sent_after.is_empty()
            {
                let failed = sent_after.iter().filter(|request| !is_served(request));
                let lines = failed
                    .flat_map(|request| deployment.hosts[request.host].log_lines_for(&request.id));
                let lines: Vec<String> = lines.take(MAX_SHOWN).collect();
                self.findings.push(format!(
                    "service: {served} of {} {kind} requests served after recovery\n      {}",
                    sent_after.len(),
                    lines.join("\n      ")
                ));
            }
        }
    }
}

/// Whether a request was answered as it should be.
fn is_served(request: &RequestResult) -> bool {
    let expected = match request.kind {
        RequestKind::UnknownKey => 401,
        _ => 200,
    };
    matches!(request.answer, Some((status, _)) if status == expected)
}

/// Describes the guarantee to the caller that was violated, if any.
///
/// The time limit does not apply if the host was paused in the meantime.
fn violated_guarantee(
    request: &RequestResult,
    servers: &[String],
    was_paused: bool,
) -> Option<String> {
    let idempotent = !matches!(
        request.kind,
        RequestKind::Pay | RequestKind::Home | RequestKind::Upload
    );
    if !idempotent && servers.len() > 1 {
        return Some("twice: it was executed more than once".to_owned());
    }
    if request.kind == RequestKind::Home && servers.iter().any(|server| region_of(server) != "east")
    {
        return Some("home: it was executed in a region that its route does not allow".to_owned());
    }
    let (status, body) = request.answer.as_ref()?;
    if !idempotent && matches!(status, 408 | 421 | 429 | 503) && !servers.is_empty() {
        return Some("refused: it was answered as not executed, but was executed".to_owned());
    }
    if *status == 200 && !body.starts_with(&format!("{}:", request.id)) {
        return Some("mixed: the answer belongs to another request".to_owned());
    }
    if *status == 200 && !request.is_signed {
        return Some("mixed: the answer has status 200 but no server's signature".to_owned());
    }
    let limit = Duration::from_millis(ROUTE_TIMEOUT_MS) + LATENCY_MARGIN;
    if request.ended_at - request.sent_at > limit && !was_paused {
        return Some("late: it was answered after its route's timeout".to_owned());
    }
    None
}

/// The region of a server, derived from the number at the end of its identifier.
fn region_of(server: &str) -> &'static str {
    let id = server.split('/').next().unwrap_or_default();
    let number: usize = id
        .rsplit('-')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or_default();
    DOMAINS[number % DOMAINS.len()].1
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}: {:?}", self.seed, self.status_counts)?;
        if self.is_clean() {
            return writeln!(f, "no guarantee was violated");
        }
        for line in &self.faults {
            writeln!(f, "  {line}")?;
        }
        for finding in &self.findings {
            writeln!(f, "BROKEN {finding}")?;
        }
        Ok(())
    }
}
