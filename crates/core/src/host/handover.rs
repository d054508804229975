//! Control and shards that go from one host to another.

use std::time::Duration;

use super::{AVOIDANCE, Host};
use crate::control::Phase;
use crate::ids::{Epoch, HostId, ServerKey, ShardKey, Token};
use crate::ledger::Ledger;
use crate::log::Code;
use crate::message::{LedgerPart, Message};
use crate::record::{ControlRecord, RegionRecord};
use crate::time::Time;

/// Time within which a hand-over has to be taken.
const ANSWER: Duration = Duration::from_millis(300);

/// What another host hands over.
#[derive(Debug)]
pub(super) struct Offer {
    pub(super) source: Token,
    pub(super) control: Option<Token>,
    pub(super) shards: Vec<(u32, Epoch)>,
    pub(super) ledger: LedgerPart,
}

/// Records of a shard that another host handed over.
#[derive(Debug)]
pub(super) struct Incoming {
    /// The server that is to own the shard.
    pub(super) server: ServerKey,
    pub(super) epoch: Epoch,
    /// The token of the sender's control over the giving server.
    source: Token,
    /// The token under which control of the shard's server comes along.
    pub(super) control: Option<Token>,
    pub(super) ledger: Ledger,
}

/// Control of a server on its way to another host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Outgoing {
    /// The other host; `None` gives control up to whoever claims it.
    to: Option<HostId>,
    id: u64,
    step: Step,
    since: Time,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Draining,
    Offered,
    Taken,
}

impl Host {
    /// Starts to hand control to the hosts that should have it.
    pub(super) fn share_control(&mut self) {
        let emptying = self.leaving || self.is_host_out();
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        for server in servers {
            if self.outgoing.contains_key(&server) || !self.may_hand_over(server) {
                continue;
            }
            let preferred = self
                .preferred_for(server)
                .filter(|host| *host != self.settings.id);
            let to = match preferred {
                None if emptying => self.any_heir(),
                other => other,
            };
            if to.is_none() && !self.leaving {
                continue;
            }
            self.begin_handover(server, to);
            if !emptying {
                return;
            }
        }
    }

    pub(super) fn advance_handovers(&mut self) {
        let servers: Vec<ServerKey> = self.outgoing.keys().copied().collect();
        for server in servers {
            let Some(outgoing) = self.outgoing.get(&server).copied() else {
                continue;
            };
            match outgoing.step {
                Step::Draining if self.is_idle(server) => self.offer(server, outgoing),
                Step::Offered if self.now.since(outgoing.since) > ANSWER => {
                    self.abort_handover(server);
                }
                Step::Taken if self.is_gone(outgoing.to) => self.abort_handover(server),
                Step::Draining | Step::Offered | Step::Taken => {}
            }
        }
    }

    /// Puts control that was handed over into the region's record.
    ///
    /// A receiver knows only the owners that the store knows, so it has to wait for the rest.
    pub(super) fn plan_handovers(&self, record: &mut RegionRecord) {
        if self.has_unwritten_owners() {
            return;
        }
        for (server, outgoing) in &self.outgoing {
            if outgoing.step != Step::Taken {
                continue;
            }
            let server_name = self.view.servers.name(*server);
            let Some(control) = record.control.get(server_name).copied() else {
                continue;
            };
            if control.host != self.settings.id {
                continue;
            }
            match outgoing.to {
                Some(host) if record.hosts.contains_key(&host) => {
                    let next = ControlRecord {
                        host,
                        token: Token(control.token.0 + 1),
                        released: true,
                    };
                    record.control.insert(server_name.to_owned(), next);
                }
                Some(_) => {}
                None => {
                    record.control.remove(server_name);
                }
            }
        }
    }

    pub(super) fn take_handover(&mut self, from: HostId, id: u64, server: &str, offer: Offer) {
        let key = self.view.servers.find(server);
        let ready = key.is_some_and(|key| self.is_ready_for(key, &offer));
        if let Some(key) = key.filter(|_| ready) {
            self.keep_incoming(key, offer);
        }
        self.send(from, Message::HandoverTaken { id, taken: ready });
    }

    pub(super) fn take_handover_answer(&mut self, from: HostId, id: u64, taken: bool) {
        let found = self
            .outgoing
            .iter()
            .find(|(_, outgoing)| outgoing.id == id && outgoing.to == Some(from))
            .map(|(server, outgoing)| (*server, outgoing.step));
        let Some((server, step)) = found else {
            self.take_move_answer(id, taken);
            return;
        };
        if step != Step::Offered {
            return;
        }
        if !taken {
            self.abort_handover(server);
            return;
        }
        self.set_step(server, Step::Taken);
        self.sync_membership();
    }

    pub(super) fn begin_leaving(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let name = self.settings.name.clone();
        self.log(Code::Leaving, name, "");
        self.share_control();
        self.sync_membership();
    }

    pub(super) fn finish_leaving(&mut self) {
        let idle = self.controls.is_empty() && self.callers.is_empty();
        if !self.leaving || self.left || !idle || self.on_record {
            return;
        }
        self.left = true;
        let name = self.settings.name.clone();
        self.log(Code::Left, name, "");
        self.effects.push(crate::event::Effect::Stopped);
    }

    /// Whether this host knows owners that the store does not know yet.
    pub(super) fn has_unwritten_owners(&self) -> bool {
        self.view.provisional().next().is_some()
    }

    fn may_hand_over(&self, server: ServerKey) -> bool {
        let avoided = self.avoided.contains_key(&server) || self.has_unwritten_owners();
        self.controls.get(&server).is_some_and(|control| {
            let sure = control.phase == Phase::Active && !control.unsure;
            let settled = sure || control.phase == Phase::Lost;
            settled && control.moving.is_none() && !avoided
        })
    }

    fn any_heir(&self) -> Option<HostId> {
        let successor = self.successor();
        successor.or_else(|| self.region_peers().first().copied())
    }

    fn begin_handover(&mut self, server: ServerKey, to: Option<HostId>) {
        let outgoing = Outgoing {
            to,
            id: self.draw_id(),
            step: Step::Draining,
            since: self.now,
        };
        self.outgoing.insert(server, outgoing);
        self.hurry();
        if let Some(control) = self.controls.get_mut(&server) {
            control.phase = Phase::Leaving;
        }
        self.bounce_waiting(server, |_| true);
        self.advance_handovers();
    }

    fn is_idle(&self, server: ServerKey) -> bool {
        let now = self.now;
        let drift = self.timing().drift();
        self.controls.get(&server).is_some_and(|control| {
            let orders = control.ghosts.iter().any(|end| *end > now);
            let grants = control
                .unconfirmed
                .iter()
                .any(|(end, _)| *end + drift > now);
            let ghosts = orders || grants;
            control.running.is_empty() && !ghosts && control.call.is_none()
        })
    }

    fn offer(&mut self, server: ServerKey, outgoing: Outgoing) {
        let Some(to) = outgoing.to else {
            self.set_step(server, Step::Taken);
            self.sync_membership();
            return;
        };
        self.set_step(server, Step::Offered);
        let owned = self.shards_of(server);
        let shards = self.view.owned_by(server).into_iter().collect();
        let token = self
            .controls
            .get(&server)
            .map_or(Token(0), |control| control.token);
        let message = Message::Handover {
            id: outgoing.id,
            source: token,
            server: self.server_name(server),
            control: Some(Token(token.0 + 1)),
            shards,
            ledger: LedgerPart {
                warm: self.warm_servers(&[server]),
                ..self.ledger_part(&owned)
            },
        };
        self.send(to, message);
    }

    /// Keeps control of a server that turned doubtful before anything was offered, since only
    /// its controller recovers it.
    pub(super) fn stop_draining(&mut self, server: ServerKey) {
        let step = self.outgoing.get(&server).map(|outgoing| outgoing.step);
        if step == Some(Step::Draining) {
            self.abort_handover(server);
        }
    }

    fn abort_handover(&mut self, server: ServerKey) {
        self.outgoing.remove(&server);
        self.avoided.insert(server, self.now + AVOIDANCE);
        if let Some(control) = self.controls.get_mut(&server) {
            control.phase = Phase::Active;
            control.unsure = true;
        }
    }

    /// Whether the receiver of a hand-over has left the record, with no write under way that
    /// could still give it control.
    fn is_gone(&self, to: Option<HostId>) -> bool {
        let writing = self.is_writing(&self.region_key());
        !writing && to.is_some_and(|host| self.view.host(host).is_none())
    }

    fn set_step(&mut self, server: ServerKey, step: Step) {
        if let Some(outgoing) = self.outgoing.get_mut(&server) {
            outgoing.step = step;
            outgoing.since = self.now;
        }
    }

    /// Whether this host takes control of a server, or shards for one that it controls.
    fn is_ready_for(&self, server: ServerKey, offer: &Offer) -> bool {
        if self.leaving || !self.is_valid() || self.is_host_out() {
            return false;
        }
        if offer.control.is_some() {
            return self.is_latest(server, offer);
        }
        let control = self.controls.get(&server);
        let usable = control.is_some_and(|control| {
            control.phase == Phase::Active && control.slow_until <= self.now
        });
        usable && self.is_usable(server) && self.is_news(server, offer)
    }

    /// Whether an offer of control comes from the latest controller known.
    ///
    /// A host that was paused may offer what has long gone on from its successor.
    fn is_latest(&self, server: ServerKey, offer: &Offer) -> bool {
        let record = self.view.control_record(server);
        let mut offered = self.incoming.values();
        let later = offered.any(|incoming| {
            incoming.server == server
                && incoming.control.is_some()
                && incoming.source > offer.source
        });
        !later && record.is_none_or(|record| record.token <= offer.source)
    }

    /// Whether the shards of an offer have not come to their new owner yet, nor been offered by
    /// a later controller of their old one.
    fn is_news(&self, server: ServerKey, offer: &Offer) -> bool {
        let Some(info) = self.view.servers.get(server) else {
            return false;
        };
        offer.shards.iter().all(|(index, epoch)| {
            let shard = ShardKey::new(info.entry, info.region, *index);
            let known = self.view.owner(shard).map_or(Epoch(0), |owner| owner.epoch);
            let later = self
                .incoming
                .get(&shard)
                .is_some_and(|incoming| (incoming.epoch, incoming.source) > (*epoch, offer.source));
            known < *epoch && !later
        })
    }

    /// Forgets handed over records that do not belong to the control that this host gained.
    pub(super) fn drop_foreign_incoming(&mut self, server: ServerKey, gained: Option<Token>) {
        self.incoming.retain(|_, incoming| {
            let here = incoming.server == server;
            !here || (gained.is_some() && incoming.control == gained)
        });
    }

    fn keep_incoming(&mut self, server: ServerKey, offer: Offer) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let mut ledger = self.read_part(offer.ledger);
        for (index, epoch) in offer.shards {
            let shard = ShardKey::new(entry, region, index);
            let mut one = Ledger::default();
            one.adopt(shard, &mut ledger);
            self.incoming.remove(&shard);
            if one.is_open(shard) {
                let incoming = Incoming {
                    server,
                    epoch,
                    source: offer.source,
                    control: offer.control,
                    ledger: one,
                };
                self.incoming.insert(shard, incoming);
            }
        }
    }
}
