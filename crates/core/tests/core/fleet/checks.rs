//! Invariants of the whole fleet, checked from outside the hosts.

use std::collections::{BTreeMap, HashMap, VecDeque};

use amaranthshunt_core::event::Grant;
use amaranthshunt_core::request::Order;
use amaranthshunt_core::{Outcome, Request, Time};

use super::backend::Backend;
use super::{Attempt, Fault};

/// Time after which a draining server must get no more orders, in microseconds.
const DRAIN_LIMIT_MICROS: u64 = 3_000_000;

#[derive(Default)]
pub(crate) struct Checks {
    requests: HashMap<String, RequestHistory>,
    epochs: HashMap<(String, u32), u64>,
    faults: VecDeque<(u64, String)>,
    pub answered: BTreeMap<String, u64>,
    pub slot_answers: BTreeMap<usize, u64>,
    pub not_run: BTreeMap<String, u64>,
    pub unknown: BTreeMap<String, u64>,
    pub outcome_counts: BTreeMap<String, u64>,
    /// Start of the first run of each shard after `runs_after`.
    pub first_runs: BTreeMap<(String, u32), u64>,
    /// Time after which `first_runs` records runs.
    pub runs_after: u64,
    /// Servers that crashed while the poison request ran, in order.
    pub poison_crashes: Vec<usize>,
    pub last_answer: BTreeMap<String, u64>,
}

#[derive(Debug, Default)]
struct RequestHistory {
    attempts: u64,
    refused: u64,
    runs: u64,
    run_once: bool,
    first_run: Option<u64>,
}

impl Checks {
    pub(crate) fn record_fault(&mut self, now: u64, fault: &Fault) {
        self.faults.push_back((now, format!("{fault:?}")));
        if self.faults.len() > 12 {
            self.faults.pop_front();
        }
    }

    pub(crate) fn record_attempt(&mut self, now: u64, slot: usize, uid: &str) {
        print_if_watched(uid, || format!("{now}: sent to {slot}"));
        self.requests.entry(uid.to_owned()).or_default().attempts += 1;
    }

    pub(crate) fn record_poison_crash(&mut self, now: u64, server: usize) {
        self.poison_crashes.push(server);
        let count = self.poison_crashes.len();
        assert!(
            count <= 2,
            "a request crashed {count} servers at {now}; recent faults: {}",
            self.recent_faults(now)
        );
    }

    pub(crate) fn check_grant(
        &self,
        now: u64,
        server: usize,
        grant: &Grant,
        holders: &[(usize, bool)],
    ) {
        assert!(
            holders.is_empty(),
            "server {server} was granted shards of {grant:?} that {holders:?} hold at {now}; \
             recent faults: {}",
            self.recent_faults(now)
        );
    }

    pub(crate) fn record_run(
        &mut self,
        now: u64,
        server: usize,
        backends: &[Backend],
        order: &Order,
        request: &Request,
    ) {
        let uid = String::from_utf8_lossy(&request.body).into_owned();
        let recent_faults = self.recent_faults(now);
        print_if_watched(&uid, || format!("{now}: run at {server} under {order:?}"));
        let history = self.requests.entry(uid.clone()).or_default();
        history.runs += 1;
        history.first_run.get_or_insert(now);
        if now > self.runs_after {
            let shard = (backends[server].entry.clone(), order.shard.index);
            self.first_runs.entry(shard).or_insert(now);
        }
        history.run_once = request.idempotency_key.is_some();
        assert!(
            !history.run_once || history.runs == 1,
            "{uid} ran {} times at {now}; recent faults: {recent_faults}",
            history.runs
        );
        assert!(
            history.refused < history.attempts,
            "{uid} ran at {now} after all attempts were reported as not run; \
             recent faults: {recent_faults}"
        );
        let backend = &backends[server];
        for (index, other) in backends.iter().enumerate() {
            let clock = Time::from_micros(now.saturating_add_signed(other.clock_offset));
            let same_entry = other.entry == backend.entry && index != server;
            let runs_shard = same_entry && other.is_running_shard(order.shard.index, now, clock);
            assert!(
                !runs_shard,
                "servers {server} and {index} run shard {} at {now}; \
                 recent faults: {recent_faults}",
                order.shard.index
            );
        }
        let last_epoch = self
            .epochs
            .entry((backend.entry.clone(), order.shard.index))
            .or_default();
        assert!(
            order.epoch.0 >= *last_epoch,
            "epoch of shard {} decreased at {now}; recent faults: {recent_faults}",
            order.shard.index
        );
        *last_epoch = order.epoch.0;
        let draining_for = backend.draining_since.map(|since| now - since);
        assert!(
            draining_for.is_none_or(|duration| duration < DRAIN_LIMIT_MICROS),
            "server {server} got an order {draining_for:?} µs after it began to drain; \
             recent faults: {recent_faults}"
        );
        let running = backend.running_count(Time::from_micros(
            now.saturating_add_signed(backend.clock_offset),
        ));
        assert!(
            running <= backend.concurrency_limit(now),
            "server {server} runs {running} requests, limit {}, at {now}; \
             recent faults: {recent_faults}",
            backend.concurrency_limit(now)
        );
    }

    pub(crate) fn record_outcome(&mut self, now: u64, attempt: &Attempt, outcome: &Outcome) {
        let (uid, entry) = (attempt.uid.as_str(), attempt.entry.as_str());
        let recent_faults = self.recent_faults(now);
        print_if_watched(uid, || format!("{now}: {outcome:?}"));
        let history = self.requests.entry(uid.to_owned()).or_default();
        let counts = match outcome {
            Outcome::Answer(answer) => {
                assert_eq!(
                    answer.body,
                    uid.as_bytes(),
                    "{uid} got the answer of another request; recent faults: {recent_faults}"
                );
                if history.run_once {
                    assert_eq!(
                        history.runs, 1,
                        "{uid} was answered without a run; recent faults: {recent_faults}"
                    );
                }
                *self.slot_answers.entry(attempt.slot).or_default() += 1;
                self.last_answer.insert(entry.to_owned(), attempt.submitted);
                &mut self.answered
            }
            Outcome::NotRun(refusal) => {
                *self
                    .outcome_counts
                    .entry(format!("{entry} not run {refusal:?}"))
                    .or_default() += 1;
                history.refused += 1;
                let all_refused = history.refused == history.attempts;
                let ran_before_retry =
                    attempt.is_retry && history.first_run.is_some_and(|at| at < attempt.submitted);
                assert!(
                    !(all_refused || ran_before_retry) || history.runs == 0,
                    "{uid} was reported as not run at {now} although it ran; \
                     recent faults: {recent_faults}"
                );
                &mut self.not_run
            }
            Outcome::Unknown(reason) => {
                *self
                    .outcome_counts
                    .entry(format!("{entry} unknown {reason:?}"))
                    .or_default() += 1;
                &mut self.unknown
            }
        };
        *counts.entry(entry.to_owned()).or_default() += 1;
    }

    fn recent_faults(&self, now: u64) -> String {
        let lines: Vec<String> = self
            .faults
            .iter()
            .map(|(at, fault)| format!("-{}ms {fault}", (now - at) / 1_000))
            .collect();
        lines.join(", ")
    }
}

/// Prints a line if it is about the request that `AMARANTHSHUNT_WATCH` names.
fn print_if_watched(uid: &str, line: impl Fn() -> String) {
    if std::env::var("AMARANTHSHUNT_WATCH").is_ok_and(|watched| watched == uid) {
        println!("{}", line());
    }
}
