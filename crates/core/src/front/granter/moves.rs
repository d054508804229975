//! Keys that get a holder, keep it or move to another one.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Granter;
use super::order::{Order, World};
use super::span::{Holder, Span, Stage};
use crate::front::balance::ServerHeat;
use crate::log::Code;
use crate::time::Time;

/// Pieces into which the keys of a lost server are cut, for different servers.
const PIECES: u32 = 3;
/// Spans narrower than this are not cut, in keys.
const NARROW: u32 = 64;
/// Releases that are tried before the hold is waited out.
const RELEASE_TRIES: u32 = 2;
/// Grants without an answer after which a server whose hold has run out is lost.
const LOST_GRANTS: u32 = 2;

impl Granter {
    /// Gives every key of a service that is new to it a first server.
    pub(super) fn place(&mut self, now: Time, world: World<'_>) {
        for (service, settings) in &world.config.services {
            if !settings.keyed || self.services.contains_key(service) {
                continue;
            }
            let servers = world.usable(service);
            let slots: u64 = servers
                .iter()
                .map(|server| u64::from(server.entry.slots))
                .sum();
            if slots == 0 {
                continue;
            }
            let mut spans = Vec::new();
            let mut used = 0;
            let mut from = 0;
            for server in servers {
                used += u64::from(server.entry.slots);
                let end = (used * 65_536 / slots) as u32;
                let target = server.entry.id.clone();
                let stage = Stage::Recording {
                    target,
                    version: self.next_version,
                };
                let to = (end - 1) as u16;
                spans.push(Span {
                    from,
                    to,
                    holder: None,
                    free_at: now,
                    left: None,
                    past: None,
                    stage,
                });
                from = end as u16;
            }
            self.services.insert(service.clone(), spans);
            self.dirty = true;
        }
    }

    pub(super) fn step(
        &mut self,
        now: Time,
        world: World<'_>,
        service: &Arc<str>,
        mut span: Span,
    ) -> Vec<Span> {
        match span.stage.clone() {
            Stage::Held => return self.hold(now, world, service, span),
            Stage::Recording { target, version } => {
                if self.written >= version {
                    span.stage = match &span.holder {
                        Some(_) => Stage::Releasing {
                            target,
                            call: None,
                            tries: 0,
                            due: now,
                        },
                        None => Stage::Expiring {
                            target,
                            at: span.free_at,
                            handover: span.left.take(),
                            released: true,
                        },
                    };
                    return self.step(now, world, service, span);
                }
            }
            Stage::Releasing {
                target,
                call: None,
                tries,
                due,
            } if due <= now => {
                self.release(now, world, &mut span, target, tries);
            }
            Stage::Releasing { .. } => {}
            Stage::Expiring {
                target,
                at,
                handover,
                released,
            } if at <= now && (released || self.is_alone(now)) => {
                span.past = None;
                if !world.is_usable(service, &target) {
                    span.holder = None;
                    span.left = handover;
                    span.free_at = now;
                    return self.retarget(now, world, service, span, false);
                }
                span.holder = Some(self.new_holder(now, world, target, handover));
                span.stage = Stage::Held;
                self.moved = Some(now);
                return self.hold(now, world, service, span);
            }
            Stage::Expiring { .. } => {}
        }
        vec![span]
    }

    fn new_holder(
        &mut self,
        now: Time,
        world: World<'_>,
        server: Arc<str>,
        handover: Option<String>,
    ) -> Holder {
        Holder {
            born: world.find(&server).and_then(|standing| standing.entry.born),
            server,
            fence: self.draw_fence(),
            handover,
            confirmed: false,
            presumed: false,
            bound: false,
            call: None,
            next: now,
            failures: 0,
            sure_until: now + self.timing.hold,
            worst_until: now,
        }
    }

    /// Renews what a server holds, or begins to move it.
    fn hold(
        &mut self,
        now: Time,
        world: World<'_>,
        service: &Arc<str>,
        mut span: Span,
    ) -> Vec<Span> {
        let Some(mut holder) = span.holder.take() else {
            return self.retarget(now, world, service, span, false);
        };
        let born = world
            .find(&holder.server)
            .and_then(|standing| standing.entry.born);
        if born.is_some() && holder.born.is_some() && born != holder.born {
            if holder.call.is_some() {
                // The call may reach the new life, so its end is awaited.
                span.holder = Some(holder);
                return vec![span];
            }
            let server = holder.server.clone();
            self.log(Code::ServerRestarted, &server, "its keys are granted anew");
            // Orders that were meant for the earlier life may have reached this one.
            let until = holder.worst_until;
            holder = self.new_holder(now, world, server, None);
            holder.worst_until = until;
        }
        if holder.born.is_none() {
            holder.born = born;
        }
        let usable = world.is_usable(service, &holder.server);
        let silent = holder.sure_until <= now && holder.failures >= LOST_GRANTS;
        let server = Some(&holder.server);
        let lost = silent
            && self
                .best(now, world, service, server, &BTreeMap::new())
                .is_some();
        if usable && !lost {
            if holder.call.is_none() && holder.next <= now {
                self.grant(now, world, &span, &mut holder);
            }
            span.holder = Some(holder);
            return vec![span];
        }
        if usable {
            let server = holder.server.clone();
            self.log(Code::ServerLost, &server, "grants are not answered");
        }
        span.holder = Some(holder);
        self.retarget(now, world, service, span, usable)
    }

    fn grant(&mut self, now: Time, world: World<'_>, span: &Span, holder: &mut Holder) {
        let Some(standing) = world.find(&holder.server) else {
            return;
        };
        let call = self.draw_call();
        holder.call = Some(call);
        holder.next = now + self.timing.renewal;
        self.orders.push(Order::Grant {
            call,
            server: holder.server.clone(),
            address: standing.entry.address,
            from: span.from,
            to: span.to,
            fence: holder.fence,
            hold: self.timing.hold,
            handover: holder.handover.clone(),
            renewal: holder.bound,
        });
    }

    /// Asks the holder to let go, or waits until its hold has run out.
    ///
    /// A server that an earlier granter may still renew gets a grant of this one first: the
    /// earlier one's orders are refused from then on, and a release stays one.
    fn release(
        &mut self,
        now: Time,
        world: World<'_>,
        span: &mut Span,
        target: Arc<str>,
        tries: u32,
    ) {
        let Some(mut holder) = span.holder.take() else {
            return;
        };
        let known = world.find(&holder.server);
        let address = known.map(|standing| standing.entry.address);
        let given_up = tries >= RELEASE_TRIES || holder.failures >= RELEASE_TRIES;
        match address {
            Some(address) if !given_up => {
                if holder.call.is_some() {
                    // Two orders of one span at a time could overtake each other.
                } else if holder.presumed {
                    if holder.next <= now {
                        self.grant(now, world, span, &mut holder);
                    }
                } else {
                    let call = self.draw_call();
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
                        call: Some(call),
                        tries: tries + 1,
                        due: now,
                    };
                }
            }
            _ if holder.call.is_some() => {}
            _ => span.stage = Stage::expiring(target, holder.worst_until),
        }
        span.holder = Some(holder);
    }

    /// Chooses new servers for keys whose server is gone or about to go.
    fn retarget(
        &mut self,
        now: Time,
        world: World<'_>,
        service: &Arc<str>,
        span: Span,
        lost: bool,
    ) -> Vec<Span> {
        let pieces = if span.width() >= NARROW { PIECES } else { 1 };
        let avoided = if lost {
            span.holder.as_ref().map(|holder| holder.server.clone())
        } else {
            None
        };
        let mut chosen = Vec::new();
        let mut extra = BTreeMap::new();
        for piece in 0..pieces {
            let from = u32::from(span.from) + span.width() * piece / pieces;
            let to = u32::from(span.from) + span.width() * (piece + 1) / pieces - 1;
            let (from, to) = (from as u16, to as u16);
            let Some(target) = self.best(now, world, service, avoided.as_ref(), &extra) else {
                return vec![Span {
                    stage: Stage::Held,
                    ..span
                }];
            };
            *extra.entry(target.clone()).or_insert(0) += u32::from(to - from) + 1;
            let stage = Stage::Recording {
                target,
                version: self.next_version,
            };
            chosen.push(Span {
                from,
                to,
                stage,
                ..span.clone()
            });
        }
        self.dirty = true;
        chosen
    }

    /// The server with the least work for its size.
    fn best(
        &self,
        now: Time,
        world: World<'_>,
        service: &Arc<str>,
        avoided: Option<&Arc<str>>,
        extra: &BTreeMap<Arc<str>, u32>,
    ) -> Option<Arc<str>> {
        let heats = self.heats(now, world, service);
        let usable = heats
            .iter()
            .filter(|heat| heat.takes && Some(&heat.id) != avoided);
        let cost = |heat: &ServerHeat| {
            let more = extra.get(&heat.id).copied().unwrap_or_default();
            let keys = f64::from(heat.keys + more) / 65_536.0;
            heat.rate / heat.capacity.max(0.1) + keys * 4.0
        };
        let best = usable.min_by(|a, b| cost(a).total_cmp(&cost(b)))?;
        Some(best.id.clone())
    }
}
