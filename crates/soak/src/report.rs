//! What was promised, checked against what was seen.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use crate::callers::{Ask, Seen};
use crate::fleet::{DOMAINS, Fleet, TIMEOUT_MS};

/// Time past a route's time-out within which a caller has its answer, with room for a busy machine.
const LATE: Duration = Duration::from_millis(1_000);
/// Share of requests that has to be served once all faults are over.
const SERVED: f64 = 0.9;
/// Findings of one kind that are shown.
const SHOWN: usize = 5;

/// What one run showed.
#[derive(Clone, Debug, Default)]
pub struct Report {
    seed: u64,
    schedule: Vec<String>,
    findings: Vec<String>,
    counts: BTreeMap<String, usize>,
}

impl Report {
    pub(crate) fn new(seed: u64) -> Self {
        Self {
            seed,
            ..Self::default()
        }
    }

    /// Whether no promise was broken.
    pub fn is_clean(&self) -> bool {
        self.findings.is_empty()
    }

    pub(crate) fn note(&mut self, at: Duration, what: &str) {
        self.schedule
            .push(format!("{:6.2} s {what}", at.as_secs_f64()));
    }

    pub(crate) fn check(&mut self, fleet: &Fleet, seen: &[Seen], calm: Instant) {
        let mut runs: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for run in fleet.witness.runs() {
            runs.entry(run.request).or_default().push(run.server);
        }
        for text in fleet.witness.broken() {
            self.findings.push(format!("keys: {text}"));
        }
        for request in seen {
            let status = request.answer.as_ref().map_or(0, |(status, _)| *status);
            *self.counts.entry(status.to_string()).or_default() += 1;
            let none = Vec::new();
            let ran = runs.get(&request.id).unwrap_or(&none);
            let paused = fleet.entries[request.host].was_paused(request.sent, request.ended);
            if let Some(text) = broken(request, ran, paused) {
                self.show(fleet, request, &text, ran);
            }
        }
        self.check_service(fleet, seen, calm);
    }

    fn show(&mut self, fleet: &Fleet, request: &Seen, text: &str, ran: &[String]) {
        let kind = text.split(':').next().unwrap_or_default();
        let same = self
            .findings
            .iter()
            .filter(|known| known.starts_with(kind))
            .count();
        if same >= SHOWN {
            return;
        }
        let entry = &fleet.entries[request.host];
        let lines = entry.lines_of(&request.id).join("\n      ");
        self.findings.push(format!(
            "{text}\n      {} {:?} at {}, ran at {ran:?}, told {:?}\n      {lines}",
            request.id, request.ask, entry.name, request.answer
        ));
    }

    fn check_service(&mut self, fleet: &Fleet, seen: &[Seen], calm: Instant) {
        for ask in ["Read", "Pay", "Home", "Version"] {
            let of = seen.iter().filter(|request| {
                request.sent >= calm && format!("{:?}", request.ask).starts_with(ask)
            });
            let all: Vec<&Seen> = of.collect();
            let served = all.iter().filter(|request| is_served(request)).count();
            if (served as f64) < SERVED * all.len() as f64 || all.is_empty() {
                let failed = all.iter().filter(|request| !is_served(request));
                let lines =
                    failed.flat_map(|request| fleet.entries[request.host].lines_of(&request.id));
                let lines: Vec<String> = lines.take(SHOWN).collect();
                self.findings.push(format!(
                    "service: {served} of {} {ask} requests after all faults\n      {}",
                    all.len(),
                    lines.join("\n      ")
                ));
            }
        }
    }
}

fn is_served(request: &Seen) -> bool {
    matches!(request.answer, Some((200, _)))
}

/// Says which promise to a caller was broken, if any.
///
/// A host that was paused meanwhile cannot keep a time.
fn broken(request: &Seen, ran: &[String], paused: bool) -> Option<String> {
    let idempotent = matches!(request.ask, Ask::Read | Ask::Version(_));
    if !idempotent && ran.len() > 1 {
        return Some("twice: it ran more than once".to_owned());
    }
    if request.ask == Ask::Home && ran.iter().any(|server| region_of(server) != "east") {
        return Some("home: it ran in another region".to_owned());
    }
    let (status, body) = request.answer.as_ref()?;
    if !idempotent && matches!(status, 408 | 421 | 429 | 503) && !ran.is_empty() {
        return Some("refused: it was told not to have run".to_owned());
    }
    if *status == 200 && !body.starts_with(&format!("{}:", request.id)) {
        return Some("mixed: the answer is another one's".to_owned());
    }
    if *status == 200 && !request.signed {
        return Some("mixed: a success without signature".to_owned());
    }
    let longest = Duration::from_millis(TIMEOUT_MS) + LATE;
    if request.ended - request.sent > longest && !paused {
        return Some("late: it was held past its route's time-out".to_owned());
    }
    None
}

/// The region of a server by its number.
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
        writeln!(f, "seed {}: {:?}", self.seed, self.counts)?;
        if self.is_clean() {
            return writeln!(f, "no promise was broken");
        }
        for line in &self.schedule {
            writeln!(f, "  {line}")?;
        }
        for finding in &self.findings {
            writeln!(f, "BROKEN {finding}")?;
        }
        Ok(())
    }
}
