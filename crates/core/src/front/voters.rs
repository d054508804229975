//! The hosts whose majority confirms a leader.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::time::Time;

/// Minimum time between two changes of the list, so that hosts which join together are added
/// together.
const CHANGE_INTERVAL: Duration = Duration::from_secs(4);
/// Age of a reply up to which a host counts as following.
const FOLLOWING_AGE: Duration = Duration::from_secs(2);
/// Time without a reply after which a host is removed: it may be cut off for minutes.
const REMOVAL_AGE: Duration = Duration::from_secs(600);

/// The hosts of which more than half confirm a leader, as its record in the store lists them.
///
/// Two majorities of one list share a host, and a host follows the leader of the latest term that it
/// knows. So once a majority follows a successor, an earlier leader cannot be confirmed any more. That
/// holds only if both count the same hosts, which is why the list is part of the record. See
/// `docs/platform-path.md`, "Two leaders".
#[derive(Clone, Debug)]
pub(super) struct Voters {
    /// The list in the record; `None` if a version without lists wrote the record.
    listed: Option<BTreeSet<String>>,
    /// A list that may be in the record by now, and the version of the record that has it first.
    proposed: Option<(BTreeSet<String>, Option<u64>)>,
    /// Whether the list may lack hosts that have confirmed an earlier leader, so that a majority of all
    /// known hosts is needed, too.
    needs_known: bool,
    last_replies: BTreeMap<String, Time>,
    changed: Time,
}

impl Voters {
    /// Takes over the list of the record of an earlier leader.
    pub(super) fn new(now: Time, listed: Option<BTreeSet<String>>, is_current: bool) -> Self {
        let hosts = listed.iter().flatten();
        Self {
            last_replies: hosts.map(|name| (name.clone(), now)).collect(),
            needs_known: listed.is_none() || !is_current,
            listed,
            proposed: None,
            changed: now,
        }
    }

    /// Whether no host has confirmed an earlier leader.
    pub(super) fn is_empty(&self) -> bool {
        !self.needs_known && self.listed.as_ref().is_some_and(BTreeSet::is_empty)
    }

    /// Whether every earlier leader has lists of hosts.
    pub(super) fn is_listed(&self) -> bool {
        self.listed.is_some()
    }

    /// Records the last reply of each follower.
    pub(super) fn record_replies(&mut self, replies: &BTreeMap<String, Time>) {
        for (name, at) in replies {
            let last = self.last_replies.entry(name.clone()).or_insert(*at);
            *last = (*last).max(*at);
        }
    }

    /// The latest time at which a majority, `leader` included, knew of no later leader; `None` if too
    /// few follow. `known` is the number of all known hosts.
    pub(super) fn majority_reply(
        &self,
        now: Time,
        leader: &str,
        replies: &BTreeMap<String, Time>,
        known: usize,
    ) -> Option<Time> {
        let mut latest = now;
        let proposed = self.proposed.as_ref().map(|(hosts, _)| hosts);
        let lists = self.listed.iter().chain(proposed);
        for hosts in lists.filter(|hosts| !(self.needs_known && hosts.is_empty())) {
            let votes = hosts.iter().filter_map(|name| {
                let own = (name == leader).then_some(now);
                own.or_else(|| replies.get(name).copied())
            });
            latest = latest.min(nth_latest(votes, hosts.len() / 2)?);
        }
        if self.needs_known {
            let others = replies.iter().filter(|(name, _)| *name != leader);
            let votes = others.map(|(_, at)| *at).chain([now]);
            latest = latest.min(nth_latest(votes, known / 2)?);
        }
        Some(latest)
    }

    /// Proposes a list of the hosts that follow, if it differs from the one in the record; returns
    /// whether it does.
    pub(super) fn propose(&mut self, now: Time, leader: &str) -> bool {
        let is_due = self.is_empty() || now.since(self.changed) >= CHANGE_INTERVAL;
        if self.proposed.is_some() || !is_due {
            return false;
        }
        let limit = |name: &String| {
            let is_listed = self
                .listed
                .as_ref()
                .is_some_and(|hosts| hosts.contains(name));
            if is_listed {
                REMOVAL_AGE
            } else {
                FOLLOWING_AGE
            }
        };
        let replies = self.last_replies.iter();
        let recent = replies.filter(|(name, at)| now.since(**at) < limit(name));
        let mut hosts: BTreeSet<String> = recent.map(|(name, _)| name.clone()).collect();
        hosts.insert(leader.to_owned());
        let differs = self.listed.as_ref() != Some(&hosts);
        if differs {
            self.proposed = Some((hosts, None));
        }
        differs
    }

    /// The list for the next version of the record.
    pub(super) fn list_for(&mut self, version: u64) -> Option<BTreeSet<String>> {
        match &mut self.proposed {
            Some((hosts, first)) => {
                first.get_or_insert(version);
                Some(hosts.clone())
            }
            None => self.listed.clone(),
        }
    }

    /// Records that a version of the record, or a later one, was written.
    pub(super) fn mark_written(&mut self, now: Time, version: u64) {
        let is_written = |(_, first): &mut (_, Option<u64>)| first.is_some_and(|at| at <= version);
        if let Some((hosts, _)) = self.proposed.take_if(is_written) {
            self.last_replies.retain(|name, _| hosts.contains(name));
            self.listed = Some(hosts);
            self.needs_known = false;
            self.changed = now;
        }
    }
}

/// The latest time but `index`.
fn nth_latest(times: impl Iterator<Item = Time>, index: usize) -> Option<Time> {
    let mut times: Vec<Time> = times.collect();
    times.sort();
    times.into_iter().rev().nth(index)
}
