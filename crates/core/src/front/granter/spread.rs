//! Keys that move so that no server is much busier than the others.

use std::sync::Arc;

use super::Granter;
use super::order::World;
use super::span::Stage;
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
    pub(super) fn heats(&self, now: Time, world: World<'_>, service: &Arc<str>) -> Vec<ServerHeat> {
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
