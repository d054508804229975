//! Handover of control and shards between hosts.

use std::time::Duration;

use super::{HANDOVER_BACKOFF, Host};
use crate::control::ControlPhase;
use crate::ids::{Epoch, FenceToken, HostId, ServerKey, ShardKey};
use crate::ledger::Ledger;
use crate::log::EventCode;
use crate::message::{LedgerBatch, Message};
use crate::record::{ControlRecord, RegionRecord};
use crate::time::Time;

/// Time within which the receiver has to accept a handover of control.
const CONTROL_HANDOVER_TIMEOUT: Duration = Duration::from_millis(300);

/// A handover offered by another host.
#[derive(Debug)]
pub(super) struct Offer {
    /// The token of the sender's control over the server that gives the shards up.
    pub(super) source_token: FenceToken,
    /// The receiver's token, if control of the server is handed over too.
    pub(super) control_token: Option<FenceToken>,
    pub(super) shards: Vec<(u32, Epoch)>,
    pub(super) ledger: LedgerBatch,
}

/// A shard that another host handed over, with its ledger records.
#[derive(Debug)]
pub(super) struct IncomingShard {
    /// The server that is to own the shard.
    pub(super) server: ServerKey,
    pub(super) epoch: Epoch,
    /// As in [`Offer`].
    source_token: FenceToken,
    /// As in [`Offer`].
    pub(super) control_token: Option<FenceToken>,
    pub(super) ledger: Ledger,
}

/// A handover of control that this host has begun.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutgoingHandover {
    /// The receiver; `None` releases control to any host that claims it.
    to: Option<HostId>,
    id: u64,
    step: Step,
    since: Time,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Step {
    Draining,
    Offered,
    Accepted,
}

impl Host {
    /// Starts to hand control of servers over to their preferred hosts.
    ///
    /// One call starts a single handover, unless this host is leaving or out of service.
    pub(super) fn start_control_handovers(&mut self) {
        let evacuating = self.leaving || self.is_host_out();
        let servers: Vec<ServerKey> = self.controlled_servers.keys().copied().collect();
        for server in servers {
            if self.outgoing_handovers.contains_key(&server) || !self.may_hand_over(server) {
                continue;
            }
            let preferred = self
                .preferred_host_for(server)
                .filter(|host| *host != self.settings.id);
            let receiver = match preferred {
                None if evacuating => self.fallback_receiver(),
                other => other,
            };
            if receiver.is_none() && !self.leaving {
                continue;
            }
            self.begin_handover(server, receiver);
            if !evacuating {
                return;
            }
        }
    }

    pub(super) fn advance_handovers(&mut self) {
        let servers: Vec<ServerKey> = self.outgoing_handovers.keys().copied().collect();
        for server in servers {
            let Some(outgoing) = self.outgoing_handovers.get(&server).copied() else {
                continue;
            };
            match outgoing.step {
                Step::Draining if self.is_idle(server) => self.offer(server, outgoing),
                Step::Offered if self.now.since(outgoing.since) > CONTROL_HANDOVER_TIMEOUT => {
                    self.abort_handover(server);
                }
                Step::Accepted if self.receiver_left(outgoing.to) => self.abort_handover(server),
                Step::Draining | Step::Offered | Step::Accepted => {}
            }
        }
    }

    /// Adds accepted handovers to the region's record.
    ///
    /// The receiver knows only owners that are in the store, so provisional owners delay this.
    pub(super) fn plan_handovers(&self, record: &mut RegionRecord) {
        if self.has_provisional_owners() {
            return;
        }
        for (server, outgoing) in &self.outgoing_handovers {
            if outgoing.step != Step::Accepted {
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
                        token: FenceToken(control.token.0 + 1),
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

    pub(super) fn handle_handover(&mut self, from: HostId, id: u64, server: &str, offer: Offer) {
        let key = self.view.servers.find(server);
        let accepted = key.is_some_and(|key| self.can_accept(key, &offer));
        if let Some(key) = key.filter(|_| accepted) {
            self.store_incoming(key, offer);
        }
        self.send(
            from,
            Message::HandoverTaken {
                id,
                taken: accepted,
            },
        );
    }

    pub(super) fn handle_handover_reply(&mut self, from: HostId, id: u64, accepted: bool) {
        let handover = self
            .outgoing_handovers
            .iter()
            .find(|(_, outgoing)| outgoing.id == id && outgoing.to == Some(from))
            .map(|(server, outgoing)| (*server, outgoing.step));
        let Some((server, step)) = handover else {
            self.handle_move_reply(id, accepted);
            return;
        };
        if step != Step::Offered {
            return;
        }
        if !accepted {
            self.abort_handover(server);
            return;
        }
        self.set_handover_step(server, Step::Accepted);
        self.sync_membership();
    }

    pub(super) fn begin_leaving(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        let name = self.settings.name.clone();
        self.log(EventCode::Leaving, name, "");
        self.start_control_handovers();
        self.sync_membership();
    }

    pub(super) fn finish_leaving(&mut self) {
        let idle = self.controlled_servers.is_empty() && self.caller_requests.is_empty();
        if !self.leaving || self.left || !idle || self.is_member {
            return;
        }
        self.left = true;
        let name = self.settings.name.clone();
        self.log(EventCode::Left, name, "");
        self.effects.push(crate::event::Effect::Stopped);
    }

    /// Whether this host knows owners that are not in the store yet.
    pub(super) fn has_provisional_owners(&self) -> bool {
        self.view.provisional_owners().next().is_some()
    }

    fn may_hand_over(&self, server: ServerKey) -> bool {
        let blocked = self.backoff_until.contains_key(&server) || self.has_provisional_owners();
        self.controlled_servers.get(&server).is_some_and(|control| {
            let responsive = control.phase == ControlPhase::Active && !control.needs_query;
            let settled = responsive || control.phase == ControlPhase::Lost;
            settled && control.shard_move.is_none() && !blocked
        })
    }

    fn fallback_receiver(&self) -> Option<HostId> {
        let successor = self.successor();
        successor.or_else(|| self.region_peers().first().copied())
    }

    fn begin_handover(&mut self, server: ServerKey, to: Option<HostId>) {
        let handover = OutgoingHandover {
            to,
            id: self.allocate_id(),
            step: Step::Draining,
            since: self.now,
        };
        self.outgoing_handovers.insert(server, handover);
        self.expedite_housekeeping();
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            control.phase = ControlPhase::HandingOver;
        }
        self.reroute_waiting(server, |_| true);
        self.advance_handovers();
    }

    /// Whether no order, grant or register call can still be in progress on a server.
    fn is_idle(&self, server: ServerKey) -> bool {
        let now = self.now;
        let clock_margin = self.timing().clock_margin();
        self.controlled_servers.get(&server).is_some_and(|control| {
            let orphaned_orders = control.orphaned_until.iter().any(|end| *end > now);
            let unconfirmed_grants = control
                .unconfirmed
                .iter()
                .any(|(end, _)| *end + clock_margin > now);
            let possibly_active = orphaned_orders || unconfirmed_grants;
            control.running.is_empty() && !possibly_active && control.register_call.is_none()
        })
    }

    fn offer(&mut self, server: ServerKey, outgoing: OutgoingHandover) {
        let Some(receiver) = outgoing.to else {
            self.set_handover_step(server, Step::Accepted);
            self.sync_membership();
            return;
        };
        self.set_handover_step(server, Step::Offered);
        let owned = self.shards_of(server);
        let shards = self.view.owned_by(server).into_iter().collect();
        let token = self
            .controlled_servers
            .get(&server)
            .map_or(FenceToken(0), |control| control.token);
        let message = Message::Handover {
            id: outgoing.id,
            source: token,
            server: self.server_name(server),
            control: Some(FenceToken(token.0 + 1)),
            shards,
            ledger: LedgerBatch {
                warm: self.warm_servers(&[server]),
                ..self.ledger_batch(&owned)
            },
        };
        self.send(receiver, message);
    }

    /// Aborts a handover that has not been offered yet when the server becomes unreliable, since
    /// only its controller can recover it.
    pub(super) fn abort_draining_handover(&mut self, server: ServerKey) {
        let step = self
            .outgoing_handovers
            .get(&server)
            .map(|outgoing| outgoing.step);
        if step == Some(Step::Draining) {
            self.abort_handover(server);
        }
    }

    fn abort_handover(&mut self, server: ServerKey) {
        self.outgoing_handovers.remove(&server);
        self.backoff_until
            .insert(server, self.now + HANDOVER_BACKOFF);
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            control.phase = ControlPhase::Active;
            control.needs_query = true;
        }
    }

    /// Whether the receiver of a handover has left the record and no pending write could still
    /// give it control.
    fn receiver_left(&self, to: Option<HostId>) -> bool {
        let writing = self.is_writing(&self.region_key());
        !writing && to.is_some_and(|host| self.view.host(host).is_none())
    }

    fn set_handover_step(&mut self, server: ServerKey, step: Step) {
        if let Some(outgoing) = self.outgoing_handovers.get_mut(&server) {
            outgoing.step = step;
            outgoing.since = self.now;
        }
    }

    /// Whether this host accepts control of a server, or shards for a server that it controls.
    fn can_accept(&self, server: ServerKey, offer: &Offer) -> bool {
        if self.leaving || !self.is_valid() || self.is_host_out() {
            return false;
        }
        if offer.control_token.is_some() {
            return self.is_from_latest_controller(server, offer);
        }
        let control = self.controlled_servers.get(&server);
        let can_receive = control.is_some_and(|control| {
            control.phase == ControlPhase::Active && control.slow_until <= self.now
        });
        can_receive && self.is_usable(server) && self.has_newer_shards(server, offer)
    }

    /// Whether an offer of control comes from the latest known controller.
    ///
    /// A host that was paused may offer control that its successor has since taken over and handed
    /// to another host.
    fn is_from_latest_controller(&self, server: ServerKey, offer: &Offer) -> bool {
        let record = self.view.control_record(server);
        let mut offers = self.incoming_shards.values();
        let later = offers.any(|incoming| {
            incoming.server == server
                && incoming.control_token.is_some()
                && incoming.source_token > offer.source_token
        });
        !later && record.is_none_or(|record| record.token <= offer.source_token)
    }

    /// Whether each offered shard has a newer epoch than its known owner, and no later offer of it
    /// was accepted: one with a higher epoch, or the same epoch and a higher source token.
    fn has_newer_shards(&self, server: ServerKey, offer: &Offer) -> bool {
        let Some(info) = self.view.servers.get(server) else {
            return false;
        };
        offer.shards.iter().all(|(index, epoch)| {
            let shard = ShardKey::new(info.entry, info.region, *index);
            let known = self.view.owner(shard).map_or(Epoch(0), |owner| owner.epoch);
            let later = self.incoming_shards.get(&shard).is_some_and(|incoming| {
                (incoming.epoch, incoming.source_token) > (*epoch, offer.source_token)
            });
            known < *epoch && !later
        })
    }

    /// Drops a server's incoming shards unless they came with the control that this host gained.
    pub(super) fn drop_unmatched_incoming(
        &mut self,
        server: ServerKey,
        gained: Option<FenceToken>,
    ) {
        self.incoming_shards.retain(|_, incoming| {
            let same_server = incoming.server == server;
            !same_server || (gained.is_some() && incoming.control_token == gained)
        });
    }

    fn store_incoming(&mut self, server: ServerKey, offer: Offer) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let (entry, region) = (info.entry, info.region);
        let mut ledger = self.ledger_from_batch(offer.ledger);
        for (index, epoch) in offer.shards {
            let shard = ShardKey::new(entry, region, index);
            let mut shard_ledger = Ledger::default();
            shard_ledger.adopt_shard(shard, &mut ledger);
            self.incoming_shards.remove(&shard);
            if shard_ledger.is_open(shard) {
                let incoming = IncomingShard {
                    server,
                    epoch,
                    source_token: offer.source_token,
                    control_token: offer.control_token,
                    ledger: shard_ledger,
                };
                self.incoming_shards.insert(shard, incoming);
            }
        }
    }
}
