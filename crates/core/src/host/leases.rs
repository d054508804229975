//! Control of backend servers and the leases on their shards.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Host;
use crate::catalogue::Limits;
use crate::control::{Control, Phase, RegisterCall};
use crate::event::{Effect, Grant, RegisterResult, RegisterState};
use crate::ids::{CallId, Epoch, ServerKey, Token};
use crate::limiter::Limiter;
use crate::log::Code;
use crate::queue::Queue;
use crate::time::Time;
use crate::timer::Wake;

/// Time without an answer from a register after which a gained server counts as lost.
const UNHEARD: Duration = Duration::from_millis(250);
/// Time after an order against a server during which it may still be obeyed.
const OUT_GRACE: Duration = Duration::from_millis(2_500);

/// How this host came to control a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Gain {
    /// Nobody controlled it before.
    Claimed,
    /// The last controller handed it over.
    Released,
    /// The last controller was silent.
    Taken,
}

impl Host {
    /// Begins and ends control of servers as the records say.
    pub(super) fn sync_controls(&mut self) {
        let id = self.settings.id;
        let lost: Vec<ServerKey> = self
            .controls
            .keys()
            .copied()
            .filter(|server| !self.is_recorded(*server, id))
            .collect();
        for server in lost {
            self.drop_control(server);
        }
        let gained: Vec<ServerKey> = self
            .view
            .servers
            .iter()
            .map(|(server, _)| server)
            .filter(|server| !self.controls.contains_key(server))
            .filter(|server| self.view.controller(*server) == Some(id))
            .collect();
        for server in gained {
            self.gain_control(server);
        }
        self.close_shards();
        self.resize_limits();
        self.refresh_grants();
    }

    /// Grants shards that have come to a server, without waiting for its next renewal.
    pub(super) fn refresh_grants(&mut self) {
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        for server in servers {
            let wanted = self.wanted_shards(server);
            let stale = self.controls.get(&server).is_some_and(|control| {
                control.phase == Phase::Active && !control.unsure && control.granted != wanted
            });
            if stale {
                self.call_register(server);
            }
        }
    }

    pub(super) fn renew(&mut self, server: ServerKey) {
        if !self.controls.contains_key(&server) {
            return;
        }
        let period = self.timing().renewal;
        self.timers
            .subscribe(self.now + period, Wake::Renew(server));
        self.touch_placement(server);
        self.settle_phase(server);
        self.call_register(server);
        self.pump(server);
    }

    pub(super) fn take_register_result(&mut self, call: CallId, result: RegisterResult) {
        let Some(server) = self.servers_by_call.remove(&call) else {
            return;
        };
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        let Some(open) = control.call.take_if(|open| open.call == call) else {
            return;
        };
        let offered = std::mem::take(&mut control.offered);
        match result {
            RegisterResult::State(state) => self.take_state(server, open, offered, state),
            RegisterResult::Fenced(token) => self.take_fence(server, token),
            RegisterResult::Unreachable => {
                control.unsure = true;
                self.confirm_crash(server);
            }
            RegisterResult::Failed => {
                control.unsure = true;
                if let Some((_, expires)) = open.grant {
                    control.lease_until = control.lease_until.max(expires);
                    let shards: BTreeSet<u32> = offered.into_keys().collect();
                    control.unconfirmed.push((expires, shards));
                }
            }
        }
        self.settle_phase(server);
        self.advance_moves();
        self.pump(server);
    }

    /// Remembers since when a server is to be idle.
    pub(super) fn note_orders(&mut self) {
        let now = self.now;
        let members: Vec<ServerKey> = self.view.servers.iter().map(|(key, _)| key).collect();
        for server in members {
            if self.is_usable(server) {
                self.out_since.remove(&server);
            } else {
                let drained = self.controls.get(&server).and_then(|c| c.draining);
                let since = drained.map_or(now, |since| since.min(now));
                let kept = self.out_since.entry(server).or_insert(since);
                *kept = since.min(*kept);
            }
        }
    }

    /// Whether an order against the server has stood long enough to refuse its work.
    pub(super) fn is_shut(&self, server: ServerKey) -> bool {
        let since = self.out_since.get(&server);
        since.is_some_and(|since| self.now.since(*since) > OUT_GRACE)
    }

    /// Whether the record still gives this host the control that it has.
    fn is_recorded(&self, server: ServerKey, id: crate::ids::HostId) -> bool {
        let token = self
            .controls
            .get(&server)
            .map_or(Token(0), |control| control.token);
        let record = self.view.control_record(server);
        record.is_some_and(|record| record.host == id && record.token <= token)
    }

    /// The shards that the next grant should carry.
    fn wanted_shards(&self, server: ServerKey) -> BTreeMap<u32, Epoch> {
        let mut shards = self.view.owned_by(server);
        if let Some(moving) = self.controls.get(&server).and_then(|c| c.moving.as_ref())
            && moving.step != crate::control::MoveStep::Draining
        {
            shards.retain(|index, _| !moving.shards.contains_key(index));
        }
        shards
    }

    fn gain_control(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server).cloned() else {
            return;
        };
        let Some(limits) = self.limits_of(server) else {
            return;
        };
        let Some(record) = self.view.control_record(server).copied() else {
            return;
        };
        let token = record.token;
        let gain = if token == Token::FIRST {
            Gain::Claimed
        } else if record.released {
            Gain::Released
        } else {
            Gain::Taken
        };
        let settled = match gain {
            Gain::Claimed | Gain::Released => self.now,
            Gain::Taken => self.takeover_wait(self.heirs.get(&server).map(|(host, _)| *host)),
        };
        let start = if info.spec.checks { self.now } else { settled };
        let handed = (gain == Gain::Released).then_some(token);
        self.drop_foreign_incoming(server, handed);
        if gain == Gain::Claimed {
            self.touched.insert(server);
        } else {
            self.touched.remove(&server);
        }
        let control = Control {
            server,
            token,
            phase: Phase::Waiting(start),
            boot: None,
            lease_until: settled.max(self.now + self.timing().lease),
            confirmed_until: Time::ZERO,
            confirmed_at: Time::ZERO,
            granted: BTreeMap::new(),
            unconfirmed: Vec::new(),
            sequence: 0,
            call: None,
            offered: BTreeMap::new(),
            gained: self.now,
            answered: Time::ZERO,
            limiter: Limiter::new(&limits, self.now),
            slow_until: Time::ZERO,
            queue: Queue::new(limits.queue as usize),
            running: BTreeMap::new(),
            ghosts: Vec::new(),
            inherited: (0, Time::ZERO),
            moving: None,
            draining: None,
            unsure: true,
        };
        self.controls.insert(server, control);
        self.log(Code::ControlGained, info.spec.name, token.to_string());
        self.renew(server);
    }

    fn drop_control(&mut self, server: ServerKey) {
        let Some(control) = self.controls.remove(&server) else {
            return;
        };
        self.outgoing.remove(&server);
        self.touched.remove(&server);
        let name = self.server_name(server);
        self.log(Code::ControlLost, name, control.token.to_string());
        self.confirm_crash(server);
        self.release_jobs(control);
        self.ledger.close_held(server);
    }

    fn limits_of(&self, server: ServerKey) -> Option<Limits> {
        let info = self.view.servers.get(server)?;
        Some(self.view.entries.get(info.entry)?.limits)
    }

    fn resize_limits(&mut self) {
        let servers: Vec<ServerKey> = self.controls.keys().copied().collect();
        for server in servers {
            let Some(limits) = self.limits_of(server) else {
                continue;
            };
            if let Some(control) = self.controls.get_mut(&server) {
                control.limiter.resize(&limits);
                control.queue.resize(limits.queue as usize);
            }
        }
    }

    /// Moves a server's control between its phases as time goes by.
    fn settle_phase(&mut self, server: ServerKey) {
        let drift = self.timing().drift();
        let touched = self.touched.contains(&server);
        let now = self.now;
        let valid = self.is_valid();
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        if let Phase::Waiting(start) = control.phase
            && now >= start
            && touched
            && valid
        {
            control.phase = Phase::Active;
        }
        let silent = now.since(control.answered.max(control.gained)) > UNHEARD;
        let lapsed =
            now > control.lease_until + drift && control.call.is_none_or(|c| c.grant.is_none());
        if control.phase == Phase::Active && control.unsure && silent && lapsed && valid {
            control.phase = Phase::Lost;
            control.granted.clear();
            let name = self.server_name(server);
            self.log(Code::ServerLost, name, "");
            self.evacuate(server);
        }
    }

    /// Grants the wanted shards, or asks a register that may not have answered the last call.
    pub(super) fn call_register(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let address = info.spec.address;
        let wanted = self.wanted_shards(server);
        let expires = (self.now + self.timing().lease).min(self.valid_until());
        let grantable = self.is_valid() && expires > self.now;
        let now = self.now;
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        if control.call.is_some() || control.phase == Phase::Leaving {
            return;
        }
        let grants = control.phase == Phase::Active && !control.unsure && grantable;
        let grant = grants.then(|| {
            control.sequence += 1;
            control.offered = wanted.clone();
            Grant {
                token: control.token,
                sequence: control.sequence,
                expires,
                shards: wanted.into_iter().collect(),
            }
        });
        self.next_id += 1;
        let call = CallId(self.next_id);
        control.call = Some(RegisterCall {
            call,
            sent: now,
            grant: grant.as_ref().map(|grant| (grant.sequence, grant.expires)),
        });
        self.servers_by_call.insert(call, server);
        self.effects.push(Effect::Register {
            call,
            address,
            grant,
        });
    }

    fn take_state(
        &mut self,
        server: ServerKey,
        open: RegisterCall,
        offered: BTreeMap<u32, Epoch>,
        state: RegisterState,
    ) {
        let validity = self.timing().validity;
        let now = self.now;
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        let followed = open
            .grant
            .filter(|(sequence, _)| state.token == control.token && state.sequence == *sequence);
        let first = followed.is_some() && control.confirmed_at == Time::ZERO;
        let restarted = control.boot.is_some_and(|boot| boot != state.boot);
        if control.boot.is_none() {
            control.limiter.restarted(now);
            if self.warm.get(&server) == Some(&state.boot) {
                control.limiter.warmed();
            }
        }
        control.boot = Some(state.boot);
        control.answered = now;
        control.unsure = false;
        if first && state.running > 0 {
            control.inherited = (state.running, now + validity);
        }
        if let Some((_, expires)) = followed {
            control.lease_until = control.lease_until.max(expires);
            control.confirmed_until = expires;
            control.confirmed_at = open.sent;
            control.granted.clone_from(&offered);
            self.open_shards(server, &offered);
        } else if open.grant.is_none() && control.phase == Phase::Active {
            self.call_register(server);
        }
        if restarted {
            self.note_restart(server);
        } else {
            self.rule_out_crash(server, open.sent);
        }
        self.note_return(server);
        let draining = state.draining.map(Duration::from_millis);
        self.note_draining(server, draining.map(|span| now - span));
    }

    /// Takes note of a server that begins or ceases to drain; its shards are planned anew.
    fn note_draining(&mut self, server: ServerKey, since: Option<Time>) {
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        if control.draining.is_some() == since.is_some() {
            return;
        }
        control.draining = since;
        let name = self.server_name(server);
        if since.is_some() {
            self.log(Code::ServerDraining, name, "");
        }
        self.note_orders();
        self.plan_moves();
    }

    /// Whether a server may own shards, as far as operators, its domain and it itself say.
    pub(super) fn is_usable(&self, server: ServerKey) -> bool {
        let draining = self.controls.get(&server).and_then(|c| c.draining);
        draining.is_none() && self.view.is_eligible(server)
    }

    fn note_restart(&mut self, server: ServerKey) {
        let now = self.now;
        if let Some(control) = self.controls.get_mut(&server) {
            control.limiter.restarted(now);
            control.ghosts.clear();
            control.inherited = (0, Time::ZERO);
        }
        let name = self.server_name(server);
        self.log(Code::ServerRestarted, name, "");
        self.abandon_earlier(server);
        self.confirm_crash(server);
    }

    fn note_return(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controls.get_mut(&server) else {
            return;
        };
        if control.phase != Phase::Lost {
            return;
        }
        control.phase = Phase::Active;
        control.limiter.restarted(now);
        let name = self.server_name(server);
        self.log(Code::ServerBack, name, "");
    }

    /// Steps back from a server that follows a higher token until the record is settled.
    fn take_fence(&mut self, server: ServerKey, token: Token) {
        let wait = self.takeover_wait(None);
        let name = self.server_name(server);
        self.log(Code::Fenced, name, token.to_string());
        if let Some(control) = self.controls.get_mut(&server) {
            control.phase = Phase::Waiting(wait);
            control.granted.clear();
            control.unsure = true;
            control.token = Token(token.0 + 1);
        }
        self.read(self.region_key());
    }
}
