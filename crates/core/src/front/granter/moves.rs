//! Keys that get a holder, keep it or move to another one.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Granter;
use super::order::{Order, World};
use super::span::{Holder, Span, Stage};
use crate::front::balance::{Candidate, ServerHeat};
use crate::front::load::FIRST_MEAN;
use crate::log::Code;
use crate::time::Time;

/// Moves for balance of one service that may be begun at once.
const BALANCE_MOVES: usize = 12;
/// Moves of one service under way beyond which none is begun for balance.
const BUSY_MOVES: usize = 24;
/// Ever smaller parts of a span that are looked at for a move.
const PART_TRIES: usize = 4;
/// Pieces into which the keys of a lost server are cut, for different servers.
const PIECES: u32 = 3;
/// Spans narrower than this are not cut, in keys.
const NARROW: u32 = 64;
/// Releases that are tried before the hold is waited out.
const RELEASE_TRIES: u32 = 2;
/// Grants without an answer after which a server whose hold has run out is lost.
const LOST_GRANTS: u32 = 2;
/// How far a server's time of work is taken to lie from the usual one, as factors.
const WORK_RANGE: (f64, f64) = (0.5, 2.0);
/// Requests a second for which moving the neighbours of a hot key is worth it.
const NEIGHBOURS: f64 = 0.5;
/// Part of its slots that a server is taken to keep busy when its rate is worked out.
const EFFICIENCY: f64 = 0.9;

/// Keys of one span that should move.
struct Part {
    index: usize,
    from: u16,
    to: u16,
    rate: f64,
    target: usize,
}

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

    fn heats(&self, now: Time, world: World<'_>, service: &Arc<str>) -> Vec<ServerHeat> {
        let spans = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let heat = self.heat.get(service);
        let mut heats: Vec<ServerHeat> = world
            .usable(service)
            .iter()
            .map(|standing| {
                let usual = world.usual.get(service).copied().unwrap_or(FIRST_MEAN);
                let work = standing.load.mean(now, usual).as_secs_f64();
                let usual = usual.as_secs_f64();
                let mean = work
                    .clamp(usual * WORK_RANGE.0, usual * WORK_RANGE.1)
                    .max(0.001);
                ServerHeat {
                    id: standing.entry.id.clone(),
                    rate: 0.0,
                    capacity: f64::from(standing.entry.slots) * EFFICIENCY / mean,
                    keys: 0,
                    takes: standing.shunned_until <= now,
                }
            })
            .collect();
        for span in spans {
            let Some(target) = span.target() else {
                continue;
            };
            if let Some(server) = heats.iter_mut().find(|server| &server.id == target) {
                server.keys += span.width();
                server.rate += heat.map_or(0.0, |heat| heat.rate(span.from, span.to));
            }
        }
        heats
    }

    pub(super) fn balance(&mut self, now: Time, world: World<'_>, service: &Arc<str>) {
        let spans = self.services.get(service).map_or(&[][..], Vec::as_slice);
        if spans.iter().filter(|span| span.is_moving()).count() >= BUSY_MOVES {
            return;
        }
        if let Some(heat) = self.heat.get_mut(service) {
            heat.fade(now);
        }
        let heats = self.heats(now, world, service);
        let newcomers = heats.iter().filter(|heat| heat.takes && heat.keys == 0);
        let newcomers: Vec<Arc<str>> = newcomers.map(|heat| heat.id.clone()).collect();
        for target in newcomers {
            self.welcome(service, target);
        }
        self.spread(service, heats);
    }

    /// Gives half of the widest span to a server that has no keys.
    fn welcome(&mut self, service: &Arc<str>, target: Arc<str>) {
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
        self.move_part(service, index, middle, to, target);
    }

    /// Moves keys from busy servers to others until none is much busier, as far as that goes at once.
    fn spread(&mut self, service: &Arc<str>, mut heats: Vec<ServerHeat>) {
        let mut stuck = Vec::new();
        for _ in 0..BALANCE_MOVES {
            let Some(candidate) = Candidate::find(&heats, &stuck) else {
                return;
            };
            let Some(part) = self.part_to_move(service, &heats, &candidate) else {
                stuck.push(candidate.source);
                continue;
            };
            heats[candidate.source].rate -= part.rate;
            heats[part.target].rate += part.rate;
            let target = heats[part.target].id.clone();
            self.move_part(service, part.index, part.from, part.to, target);
        }
    }

    /// What a candidate should move, and where to.
    fn part_to_move(
        &self,
        service: &Arc<str>,
        heats: &[ServerHeat],
        candidate: &Candidate,
    ) -> Option<Part> {
        let spans = self.services.get(service)?;
        let heat = self.heat.get(service)?;
        let source = &heats[candidate.source].id;
        let rate = |index: &usize| heat.rate(spans[*index].from, spans[*index].to);
        let index = (0..spans.len())
            .filter(|index| spans[*index].is_settled() && spans[*index].target() == Some(source))
            .max_by(|a, b| rate(a).total_cmp(&rate(b)))?;
        let (first, last) = (spans[index].from, spans[index].to);
        let part = |from: u16, to: u16| {
            let rate = heat.rate(from, to);
            let target = candidate.best_target(heats, rate)?;
            Some(Part {
                index,
                from,
                to,
                rate,
                target,
            })
        };
        let mut wanted = candidate.rate.min(rate(&index));
        let mut hottest = (first, last);
        for _ in 0..PART_TRIES {
            hottest = heat.hottest(first, last, wanted)?;
            if let Some(part) = part(hottest.0, hottest.1) {
                return Some(part);
            }
            wanted /= 2.0;
        }
        // One key is too much for any other server: its neighbours leave instead.
        let left = (hottest.0 > first).then(|| (first, hottest.0 - 1));
        let right = (hottest.1 < last).then(|| (hottest.1 + 1, last));
        let sides = [left, right].into_iter().flatten();
        let busiest = sides.max_by(|a, b| heat.rate(a.0, a.1).total_cmp(&heat.rate(b.0, b.1)))?;
        let part = part(busiest.0, busiest.1)?;
        (part.rate >= NEIGHBOURS).then_some(part)
    }

    fn move_part(
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
        let mut parts = span.cut(from, to);
        for part in &mut parts {
            if part.from == from {
                part.stage = Stage::Recording {
                    target: target.clone(),
                    version,
                };
            }
        }
        spans.splice(index..index, parts);
        self.dirty = true;
        self.log(
            Code::ShardsMoved,
            &target,
            &format!("{service} {from}-{to}"),
        );
    }
}
