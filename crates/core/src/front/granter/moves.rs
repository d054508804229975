//! State transitions of spans: assignment to a server, renewal and moves to another server.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Granter;
use super::order::{ClusterState, Order};
use super::span::{Holder, Span, Stage};
use crate::front::balance::ServerUsage;
use crate::log::EventCode;
use crate::time::Time;

/// Number of parts into which a span is split, for different servers, when its server is gone or
/// shutting down.
const SPLIT_PARTS: u32 = 3;
/// Minimum width of a span that is split, in keys.
const MIN_SPLIT_WIDTH: u32 = 64;
/// Failed releases or grants after which the lease is left to expire.
const MAX_RELEASE_ATTEMPTS: u32 = 2;
/// Failed grants after which a server with an expired lease counts as lost.
const LOST_AFTER_FAILURES: u32 = 2;

impl Granter {
    /// Assigns all keys of services that have no spans yet.
    ///
    /// While holders are unknown, a service that is missing from the record may have some.
    pub(super) fn assign_new_services(&mut self, now: Time, cluster: ClusterState<'_>) {
        if self.holders_unknown {
            return;
        }
        for (service, settings) in &cluster.config.services {
            if !settings.keyed || self.services.contains_key(service) {
                continue;
            }
            let servers = cluster.usable(service);
            let slots: u64 = servers
                .iter()
                .map(|server| u64::from(server.entry.slots))
                .sum();
            if slots == 0 {
                continue;
            }
            let mut spans = Vec::new();
            let mut used = 0;
            let mut from: u32 = 0;
            for server in servers {
                used += u64::from(server.entry.slots);
                let end = (used * 65_536 / slots) as u32;
                if end == from {
                    // The server has too few of all slots for a single key.
                    continue;
                }
                let target = server.entry.id.clone();
                let stage = Stage::Recording {
                    target,
                    version: self.next_version,
                };
                let to = (end - 1) as u16;
                spans.push(Span {
                    from: from as u16,
                    to,
                    holder: None,
                    free_at: now,
                    pending_handover: None,
                    previous_server: None,
                    stage,
                });
                from = end;
            }
            self.services.insert(service.clone(), spans);
            self.record_outdated = true;
        }
    }

    pub(super) fn advance_span(
        &mut self,
        now: Time,
        cluster: ClusterState<'_>,
        service: &Arc<str>,
        mut span: Span,
    ) -> Vec<Span> {
        match span.stage.clone() {
            Stage::Held => return self.renew_or_move(now, cluster, service, span),
            Stage::Recording { target, version } => {
                let may_release = span.holder.as_ref().is_none_or(|holder| {
                    self.predecessor_silenced(now) || self.has_fenced_predecessor(now, holder)
                });
                if self.written_version >= version && may_release {
                    span.stage = match &span.holder {
                        Some(_) => Stage::Releasing {
                            target,
                            pending_call: None,
                            attempts: 0,
                            retry_at: now,
                        },
                        None => Stage::Expiring {
                            target,
                            at: span.free_at,
                            handover: span.pending_handover.take(),
                            released: !self.holders_unknown,
                        },
                    };
                    return self.advance_span(now, cluster, service, span);
                }
            }
            Stage::Releasing {
                target,
                pending_call: None,
                attempts,
                retry_at,
            } if retry_at <= now => {
                self.release_holder(now, cluster, &mut span, target, attempts);
            }
            Stage::Releasing { .. } => {}
            Stage::Expiring {
                target,
                at,
                handover,
                released,
            } if at <= now && (released || self.predecessor_expired(now)) => {
                span.previous_server = None;
                if !cluster.is_usable(service, &target) {
                    span.holder = None;
                    span.pending_handover = handover;
                    span.free_at = now;
                    return self.reassign(now, cluster, service, span, false);
                }
                span.holder = Some(self.new_holder(now, cluster, target, handover));
                span.stage = Stage::Held;
                self.move_ended = Some(now);
                return self.renew_or_move(now, cluster, service, span);
            }
            Stage::Expiring { target, at, .. } if at <= now => {
                if let Some(holder) = &mut span.holder {
                    holder.fence = self.new_fence_token();
                    holder.token_accepted = false;
                    holder.accepted_since = None;
                    span.stage = Stage::Silent { target };
                }
            }
            Stage::Expiring { .. } => {}
            Stage::Silent { target } => {
                return self.ask_silent_holder(now, cluster, service, span, target);
            }
        }
        vec![span]
    }

    /// Whether an earlier granter can certainly not grant the keys of a holder any more, even if its
    /// followers still confirm it.
    ///
    /// The holder rejects its tokens. If that granter has sent one meanwhile, it is confirmed no longer;
    /// if it could not, it has given the holder up.
    fn has_fenced_predecessor(&self, now: Time, holder: &Holder) -> bool {
        let since = holder.accepted_since;
        since.is_some_and(|since| now >= since + self.timing.max_lease_after_confirmation())
    }

    /// Asks a holder that has not answered for its lease whether it accepts a grant; one that does keeps
    /// the keys. Otherwise they move once no earlier granter can renew its lease any more.
    fn ask_silent_holder(
        &mut self,
        now: Time,
        cluster: ClusterState<'_>,
        service: &Arc<str>,
        mut span: Span,
        target: Arc<str>,
    ) -> Vec<Span> {
        let Some(mut holder) = span.holder.take() else {
            return vec![span];
        };
        if holder.token_accepted {
            span.holder = Some(holder);
            span.stage = Stage::Held;
            self.record_outdated = true;
            return self.renew_or_move(now, cluster, service, span);
        }
        if holder.pending_call.is_none() {
            if self.predecessor_expired(now) {
                span.stage = Stage::expiring(target, holder.latest_expiry);
            } else if holder.next_grant + self.timing.renewal_interval <= now {
                self.send_grant(now, cluster, &span, &mut holder);
            }
        }
        span.holder = Some(holder);
        vec![span]
    }

    fn new_holder(
        &mut self,
        now: Time,
        cluster: ClusterState<'_>,
        server: Arc<str>,
        handover: Option<String>,
    ) -> Holder {
        Holder {
            start_id: cluster.find(&server).and_then(|state| state.entry.start_id),
            server,
            fence: self.new_fence_token(),
            handover,
            confirmed: false,
            inherited: false,
            token_accepted: false,
            accepted_since: None,
            pending_call: None,
            pending_outdated: false,
            next_grant: now,
            failed_grants: 0,
            earliest_expiry: now + self.timing.lease,
            latest_expiry: now,
        }
    }

    /// Renews the lease of a span, or starts to move it.
    fn renew_or_move(
        &mut self,
        now: Time,
        cluster: ClusterState<'_>,
        service: &Arc<str>,
        mut span: Span,
    ) -> Vec<Span> {
        let Some(mut holder) = span.holder.take() else {
            return self.reassign(now, cluster, service, span, false);
        };
        let start_id = cluster
            .find(&holder.server)
            .and_then(|state| state.entry.start_id);
        if start_id.is_some() && holder.start_id.is_some() && start_id != holder.start_id {
            if holder.pending_call.is_some() {
                // The call may reach the new incarnation, so its outcome is awaited.
                span.holder = Some(holder);
                return vec![span];
            }
            let server = holder.server.clone();
            self.log(
                EventCode::ServerRestarted,
                &server,
                "granting its keys again",
            );
            // Orders for the earlier incarnation may have reached this one.
            let until = holder.latest_expiry;
            holder = self.new_holder(now, cluster, server, None);
            holder.latest_expiry = until;
        }
        if holder.start_id.is_none() {
            holder.start_id = start_id;
        }
        let usable = cluster.is_usable(service, &holder.server);
        let expired_unanswered =
            holder.earliest_expiry <= now && holder.failed_grants >= LOST_AFTER_FAILURES;
        let server = Some(&holder.server);
        let lost = expired_unanswered
            && self
                .least_loaded(now, cluster, service, server, &BTreeMap::new())
                .is_some();
        if usable && !lost {
            if holder.pending_call.is_none() && holder.next_grant <= now {
                self.send_grant(now, cluster, &span, &mut holder);
            }
            span.holder = Some(holder);
            return vec![span];
        }
        if usable {
            let server = holder.server.clone();
            self.log(EventCode::ServerLost, &server, "grants not answered");
        }
        span.holder = Some(holder);
        self.reassign(now, cluster, service, span, usable)
    }

    fn send_grant(
        &mut self,
        now: Time,
        cluster: ClusterState<'_>,
        span: &Span,
        holder: &mut Holder,
    ) {
        let Some(state) = cluster.find(&holder.server) else {
            return;
        };
        let call = self.new_call_id();
        holder.pending_call = Some(call);
        holder.next_grant = now + self.timing.renewal_interval;
        self.orders.push(Order::Grant {
            call,
            server: holder.server.clone(),
            address: state.entry.address,
            from: span.from,
            to: span.to,
            fence: holder.fence,
            lease: self.timing.lease,
            handover: holder.handover.clone(),
            is_renewal: holder.token_accepted,
        });
    }

    /// Asks the holder to release the keys, or waits until its lease expires.
    ///
    /// A server whose lease an earlier granter may still renew first gets a grant from this one:
    /// from then on it rejects the orders of the earlier granter, so that a release is final.
    fn release_holder(
        &mut self,
        now: Time,
        cluster: ClusterState<'_>,
        span: &mut Span,
        target: Arc<str>,
        attempts: u32,
    ) {
        let Some(mut holder) = span.holder.take() else {
            return;
        };
        let known = cluster.find(&holder.server);
        let address = known.map(|state| state.entry.address);
        let exhausted =
            attempts >= MAX_RELEASE_ATTEMPTS || holder.failed_grants >= MAX_RELEASE_ATTEMPTS;
        match address {
            Some(address) if !exhausted => {
                if holder.pending_call.is_some() {
                    // Concurrent orders for one span could overtake each other.
                } else if holder.inherited {
                    if holder.next_grant <= now {
                        self.send_grant(now, cluster, span, &mut holder);
                    }
                } else {
                    let call = self.new_call_id();
                    self.orders.push(Order::Release {
                        call,
                        server: holder.server.clone(),
                        address,
                        from: span.from,
                        to: span.to,
                        fence: holder.fence,
                    });
                    span.stage = Stage::Releasing {
                        target,
                        pending_call: Some(call),
                        attempts: attempts + 1,
                        retry_at: now,
                    };
                }
            }
            _ if holder.pending_call.is_some() => {}
            _ => span.stage = Stage::expiring(target, holder.latest_expiry),
        }
        span.holder = Some(holder);
    }

    /// Selects new servers for keys whose server is gone or shutting down.
    fn reassign(
        &mut self,
        now: Time,
        cluster: ClusterState<'_>,
        service: &Arc<str>,
        span: Span,
        lost: bool,
    ) -> Vec<Span> {
        let part_count = if span.width() >= MIN_SPLIT_WIDTH {
            SPLIT_PARTS
        } else {
            1
        };
        let excluded = if lost {
            span.holder.as_ref().map(|holder| holder.server.clone())
        } else {
            None
        };
        let mut parts = Vec::new();
        let mut assigned_keys = BTreeMap::new();
        for part in 0..part_count {
            let from = u32::from(span.from) + span.width() * part / part_count;
            let to = u32::from(span.from) + span.width() * (part + 1) / part_count - 1;
            let (from, to) = (from as u16, to as u16);
            let Some(target) =
                self.least_loaded(now, cluster, service, excluded.as_ref(), &assigned_keys)
            else {
                return vec![Span {
                    stage: Stage::Held,
                    ..span
                }];
            };
            *assigned_keys.entry(target.clone()).or_insert(0) += u32::from(to - from) + 1;
            let stage = Stage::Recording {
                target,
                version: self.next_version,
            };
            parts.push(Span {
                from,
                to,
                stage,
                ..span.clone()
            });
        }
        self.record_outdated = true;
        parts
    }

    /// Selects the server with the lowest load relative to its capacity, also counting its share of
    /// all keys.
    fn least_loaded(
        &self,
        now: Time,
        cluster: ClusterState<'_>,
        service: &Arc<str>,
        excluded: Option<&Arc<str>>,
        assigned_keys: &BTreeMap<Arc<str>, u32>,
    ) -> Option<Arc<str>> {
        let usages = self.server_usages(now, cluster, service, Span::target);
        let usable = usages
            .iter()
            .filter(|usage| usage.accepts_keys && Some(&usage.id) != excluded);
        let total: f64 = usages.iter().map(|usage| usage.capacity).sum();
        let mean = total / usages.len().max(1) as f64;
        let cost = |usage: &ServerUsage| {
            let assigned = assigned_keys.get(&usage.id).copied().unwrap_or_default();
            let weight = if self.weighs_load {
                mean / usage.capacity.max(0.1)
            } else {
                1.0
            };
            let keys = f64::from(usage.keys + assigned) / 65_536.0 * weight;
            usage.rate.expected() / usage.capacity.max(0.1) + keys * 4.0
        };
        let best = usable.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(best.id.clone())
    }
}
