//! Moves keys to even out the load of the servers.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Granter;
use super::order::ClusterState;
use super::span::{Span, Stage};
use crate::front::admission::Overload;
use crate::front::balance::{KeyRates, MoveCandidate, RateEstimate, ServerUsage};
use crate::front::load::INITIAL_LATENCY;
use crate::front::rate_limit::RateLimit;
use crate::log::EventCode;
use crate::time::Time;

/// Minimum for the maximum number of moves of one service that are started in one rebalancing pass.
const MIN_MOVES_PER_PASS: usize = 12;
/// Number of servers for each of these moves in larger services, so that keys that become hot
/// together spread over a quarter of the servers within a second.
const SERVERS_PER_MOVE: usize = 8;
/// Multiple of the moves of a pass in progress at which rebalancing is suspended.
const CONCURRENT_PASSES: usize = 2;
/// Utilization from which a server counts as overloaded. Callers that repeat refused requests add
/// up to twice the demand, so a lower one would feed on its own refusals.
const OVERLOAD_UTILIZATION: f64 = 4.0;
/// Utilization up to which an overloaded server is sent requests.
const ADMITTED_UTILIZATION: f64 = 1.5;
/// Number of ranges of a span that are considered for a move; the minimum rate halves for each.
const MAX_SPLIT_ATTEMPTS: usize = 4;
/// Range to which a server's mean latency is limited, as factors of the baseline.
const LATENCY_RANGE: (f64, f64) = (0.5, 2.0);
/// Minimum rate for moving the neighbours of a hot key, in requests per second.
const MIN_NEIGHBOUR_RATE: f64 = 0.5;
/// Fraction of its slots that a server is expected to keep busy, for the estimate of its capacity.
const EXPECTED_SLOT_USAGE: f64 = 0.9;

/// Keys of one span selected for a move.
struct SelectedKeys {
    span_index: usize,
    from: u16,
    to: u16,
    rate: RateEstimate,
    target: usize,
}

impl Granter {
    pub(super) fn server_usages(
        &self,
        now: Time,
        cluster: ClusterState<'_>,
        service: &Arc<str>,
        server_of: impl Fn(&Span) -> Option<&Arc<str>>,
    ) -> Vec<ServerUsage> {
        let spans = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let rates = self.key_rates.get(service);
        let servers = cluster.usable(service);
        let ids = servers.iter().map(|state| &state.entry.id);
        let times = self.speeds.service_times(now, ids);
        let times = times.filter(|_| self.weighs_load);
        let mut usages: Vec<ServerUsage> = servers
            .iter()
            .enumerate()
            .map(|(index, state)| {
                let baseline = cluster
                    .baseline_latencies
                    .get(service)
                    .copied()
                    .unwrap_or(INITIAL_LATENCY);
                let measured = state.load.mean_latency(now, baseline).as_secs_f64();
                let baseline = baseline.as_secs_f64();
                let mean = measured
                    .clamp(baseline * LATENCY_RANGE.0, baseline * LATENCY_RANGE.1)
                    .max(0.001);
                let mean = times.as_ref().map_or(mean, |times| times[index]);
                let limit = state.rate_limit.map(RateLimit::usable_rate);
                let capacity = f64::from(state.entry.slots) * EXPECTED_SLOT_USAGE / mean;
                ServerUsage {
                    id: state.entry.id.clone(),
                    rate: RateEstimate::default(),
                    capacity: capacity.min(limit.unwrap_or(f64::INFINITY)),
                    keys: 0,
                    accepts_keys: state.ejected_until <= now,
                }
            })
            .collect();
        let ids = usages.iter().enumerate();
        let by_id: BTreeMap<Arc<str>, usize> = ids
            .map(|(index, usage)| (usage.id.clone(), index))
            .collect();
        for span in spans {
            let index = server_of(span).and_then(|server| by_id.get(server));
            if let Some(server) = index.map(|index| &mut usages[*index]) {
                server.keys += span.width();
                server.rate += rates.map_or_else(RateEstimate::default, |rates| {
                    rates.rate(span.from, span.to)
                });
            }
        }
        usages
    }

    pub(super) fn rebalance(&mut self, now: Time, cluster: ClusterState<'_>, service: &Arc<str>) {
        let server_count = cluster.servers.of_service(service).len();
        let moves_per_pass = MIN_MOVES_PER_PASS.max(server_count / SERVERS_PER_MOVE);
        let spans = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let moving = spans.iter().filter(|span| span.is_moving()).count();
        let is_suspended = moving >= moves_per_pass * CONCURRENT_PASSES;
        if is_suspended && !self.weighs_load {
            return;
        }
        if let Some(rates) = self.key_rates.get_mut(service) {
            rates.decay(now);
        }
        let mut usages = self.server_usages(now, cluster, service, Span::target);
        if self.weighs_load {
            self.assign_first_requests(now, service, &mut usages);
        }
        if is_suspended {
            return;
        }
        let without_keys = usages
            .iter()
            .filter(|usage| usage.accepts_keys && usage.keys == 0);
        let without_keys: Vec<Arc<str>> = without_keys.map(|usage| usage.id.clone()).collect();
        for target in without_keys {
            self.assign_initial_keys(service, target);
        }
        self.move_excess_load(service, usages, moves_per_pass);
    }

    /// The servers that serve keys with clearly more requests than they can take.
    pub(super) fn find_overloads(
        &self,
        now: Time,
        cluster: ClusterState<'_>,
        service: &Arc<str>,
    ) -> Vec<Overload> {
        let usages = self.server_usages(now, cluster, service, Span::serving);
        let overloaded = usages
            .into_iter()
            .filter(|usage| usage.rate.certain_now() > usage.capacity * OVERLOAD_UTILIZATION);
        overloaded
            .map(|usage| Overload {
                share: usage.capacity * ADMITTED_UTILIZATION / usage.rate.certain_now(),
                server: usage.id,
            })
            .collect()
    }

    /// Gives half of the widest span to a server without keys.
    fn assign_initial_keys(&mut self, service: &Arc<str>, target: Arc<str>) {
        let spans = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let widest = (0..spans.len())
            .filter(|index| spans[*index].is_settled() && spans[*index].width() > 1)
            .max_by_key(|index| spans[*index].width());
        let Some(index) = widest else {
            return;
        };
        let span = &spans[index];
        let middle = span.from + ((span.width() / 2) as u16);
        let to = span.to;
        self.start_move(service, index, middle, to, target);
    }

    /// Moves keys away from highly utilized servers, up to the maximum number of moves per pass.
    fn move_excess_load(
        &mut self,
        service: &Arc<str>,
        mut usages: Vec<ServerUsage>,
        max_moves: usize,
    ) {
        let mut skipped = Vec::new();
        for _ in 0..max_moves {
            let Some(candidate) = MoveCandidate::find(&usages, &skipped) else {
                return;
            };
            let Some(part) = self.select_keys(service, &usages, &candidate) else {
                skipped.push(candidate.source);
                continue;
            };
            usages[candidate.source].rate -= part.rate;
            usages[part.target].rate += part.rate;
            let target = usages[part.target].id.clone();
            self.start_load_move(service, part.span_index, part.from, part.to, target);
        }
    }

    /// Selects the keys that a candidate should move, and their target.
    fn select_keys(
        &self,
        service: &Arc<str>,
        usages: &[ServerUsage],
        candidate: &MoveCandidate,
    ) -> Option<SelectedKeys> {
        let spans = self.services.get(service)?;
        let rates = self.key_rates.get(service)?;
        let source = &usages[candidate.source].id;
        let rate = |index: &usize| rates.rate(spans[*index].from, spans[*index].to).expected();
        let mut indices: Vec<usize> = (0..spans.len())
            .filter(|index| spans[*index].is_settled() && spans[*index].target() == Some(source))
            .collect();
        indices.sort_by(|a, b| rate(b).total_cmp(&rate(a)).then(b.cmp(a)));
        // Other spans move only if a single key in the first is too much for the server.
        let first = &spans[*indices.first()?];
        let is_blocked = self.weighs_load
            && rates.highest_rate(first.from, first.to) >= usages[candidate.source].capacity;
        let considered = if is_blocked { indices.len() } else { 1 };
        let mut considered = indices.into_iter().take(considered);
        considered.find_map(|index| self.select_part(spans, rates, usages, candidate, index))
    }

    /// Selects keys of one span that a candidate should move, and their target.
    fn select_part(
        &self,
        spans: &[Span],
        rates: &KeyRates,
        usages: &[ServerUsage],
        candidate: &MoveCandidate,
        index: usize,
    ) -> Option<SelectedKeys> {
        let source = &usages[candidate.source];
        let (first, last) = (spans[index].from, spans[index].to);
        let part = |from: u16, to: u16| {
            let rate = rates.rate(from, to);
            let target = candidate.best_target(usages, rate.expected())?;
            let is_lone = self.weighs_load && rates.is_single_key(from, to);
            let fits = usages[target].rate.expected() + rate.expected() <= usages[target].capacity;
            if is_lone && rate.certain() >= source.capacity && !fits {
                // It is too much for every server, and its neighbours move instead.
                return None;
            }
            Some(SelectedKeys {
                span_index: index,
                from,
                to,
                rate,
                target,
            })
        };
        let mut min_rate = candidate.rate.min(rates.rate(first, last).expected());
        let mut range = (first, last);
        for _ in 0..MAX_SPLIT_ATTEMPTS {
            range = rates.hottest_range(first, last, min_rate)?;
            if let Some(part) = part(range.0, range.1) {
                return Some(part);
            }
            min_rate /= 2.0;
        }
        // A single key is too much for any other server: move its neighbours instead.
        let left = (range.0 > first).then(|| (first, range.0 - 1));
        let right = (range.1 < last).then(|| (range.1 + 1, last));
        let mut sides: Vec<(u16, u16)> = [left, right].into_iter().flatten().collect();
        let rate = |side: &(u16, u16)| rates.rate(side.0, side.1).expected();
        sides.sort_by(|a, b| rate(b).total_cmp(&rate(a)).then(b.cmp(a)));
        let considered = if self.weighs_load { sides.len() } else { 1 };
        let mut parts = sides.into_iter().take(considered).filter_map(|side| {
            part(side.0, side.1).filter(|part| part.rate.expected() >= MIN_NEIGHBOUR_RATE)
        });
        parts.next()
    }

    /// Starts a move because of load, which is counted.
    pub(super) fn start_load_move(
        &mut self,
        service: &Arc<str>,
        index: usize,
        from: u16,
        to: u16,
        target: Arc<str>,
    ) {
        self.moved_keys += u64::from(to - from) + 1;
        self.start_move(service, index, from, to, target);
    }

    fn start_move(
        &mut self,
        service: &Arc<str>,
        index: usize,
        from: u16,
        to: u16,
        target: Arc<str>,
    ) {
        let version = self.next_version;
        let Some(spans) = self.services.get_mut(service) else {
            return;
        };
        let span = spans.remove(index);
        let mut parts = span.split_out(from, to);
        for part in &mut parts {
            if part.from == from {
                part.stage = Stage::Recording {
                    target: target.clone(),
                    version,
                };
            }
        }
        spans.splice(index..index, parts);
        self.record_outdated = true;
        self.log(
            EventCode::ShardsMoved,
            &target,
            &format!("{service} {from}-{to}"),
        );
    }
}
