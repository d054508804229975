//! Control of backend servers, and the leases on their shards.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::Host;
use crate::catalogue::Limits;
use crate::control::{ControlPhase, ControlledServer, RegisterCall};
use crate::event::{Effect, Grant, RegisterResult, RegisterState};
use crate::ids::{CallId, Epoch, FenceToken, ServerKey};
use crate::limiter::Limiter;
use crate::log::EventCode;
use crate::queue::Queue;
use crate::time::Time;
use crate::timer::TimerKind;

/// Time without an answer from a server's fence register after which it may count as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a server that may no longer own shards is still sent requests.
const UNUSABLE_GRACE: Duration = Duration::from_millis(2_500);

/// How this host gained control of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ControlOrigin {
    /// No host controlled it before.
    Claimed,
    /// The previous controller handed it over.
    Released,
    /// The previous controller was silent, so control was taken over.
    TakenOver,
}

impl Host {
    /// Gains and drops control of servers to match the region's record.
    pub(super) fn sync_controls(&mut self) {
        let id = self.settings.id;
        let lost: Vec<ServerKey> = self
            .controlled_servers
            .keys()
            .copied()
            .filter(|server| !self.is_control_recorded(*server, id))
            .collect();
        for server in lost {
            self.drop_control(server);
        }
        let gained: Vec<ServerKey> = self
            .view
            .servers
            .iter()
            .map(|(server, _)| server)
            .filter(|server| !self.controlled_servers.contains_key(server))
            .filter(|server| self.view.controller(*server) == Some(id))
            .collect();
        for server in gained {
            self.gain_control(server);
        }
        self.close_ledger_shards();
        self.resize_limits();
        self.refresh_grants();
    }

    /// Grants servers their changed sets of shards without waiting for the next renewal.
    pub(super) fn refresh_grants(&mut self) {
        let servers: Vec<ServerKey> = self.controlled_servers.keys().copied().collect();
        for server in servers {
            let wanted = self.shards_to_grant(server);
            let stale = self.controlled_servers.get(&server).is_some_and(|control| {
                control.phase == ControlPhase::Active
                    && !control.needs_query
                    && control.granted != wanted
            });
            if stale {
                self.call_register(server);
            }
        }
    }

    pub(super) fn renew_lease(&mut self, server: ServerKey) {
        if !self.controlled_servers.contains_key(&server) {
            return;
        }
        let period = self.timing().renewal;
        self.timers
            .subscribe(self.now + period, TimerKind::Renew(server));
        self.count_takeover(server);
        self.update_phase(server);
        self.call_register(server);
        self.dispatch_queued(server);
    }

    pub(super) fn handle_register_result(&mut self, call: CallId, result: RegisterResult) {
        let Some(server) = self.servers_by_call.remove(&call) else {
            return;
        };
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        let Some(pending) = control
            .register_call
            .take_if(|pending| pending.call == call)
        else {
            return;
        };
        let grant_shards = std::mem::take(&mut control.pending_shards);
        match result {
            RegisterResult::State(state) => self.handle_state(server, pending, grant_shards, state),
            RegisterResult::Fenced(token) => self.handle_higher_token(server, token),
            RegisterResult::Unreachable => {
                control.needs_query = true;
                self.confirm_crash(server);
            }
            RegisterResult::Failed => {
                control.needs_query = true;
                if let Some((_, expires)) = pending.grant {
                    control.lease_until = control.lease_until.max(expires);
                    let shards: BTreeSet<u32> = grant_shards.into_keys().collect();
                    control.unconfirmed.push((expires, shards));
                }
            }
        }
        self.update_phase(server);
        self.advance_moves();
        self.dispatch_queued(server);
    }

    /// Tracks since when each server has been unusable; see [`Self::is_usable`].
    pub(super) fn track_unusable_servers(&mut self) {
        let now = self.now;
        let servers: Vec<ServerKey> = self.view.servers.iter().map(|(key, _)| key).collect();
        for server in servers {
            if self.is_usable(server) {
                self.unusable_since.remove(&server);
            } else {
                let draining_since = self
                    .controlled_servers
                    .get(&server)
                    .and_then(|c| c.draining);
                let since = draining_since.map_or(now, |since| since.min(now));
                let recorded = self.unusable_since.entry(server).or_insert(since);
                *recorded = since.min(*recorded);
            }
        }
    }

    /// Whether the server has been unusable for so long that its requests are refused.
    pub(super) fn is_past_grace(&self, server: ServerKey) -> bool {
        let since = self.unusable_since.get(&server);
        since.is_some_and(|since| self.now.since(*since) > UNUSABLE_GRACE)
    }

    /// Whether the region's record still gives this host control of the server.
    fn is_control_recorded(&self, server: ServerKey, id: crate::ids::HostId) -> bool {
        let token = self
            .controlled_servers
            .get(&server)
            .map_or(FenceToken(0), |control| control.token);
        let record = self.view.control_record(server);
        record.is_some_and(|record| record.host == id && record.token <= token)
    }

    /// The shards that the next grant should include.
    fn shards_to_grant(&self, server: ServerKey) -> BTreeMap<u32, Epoch> {
        let mut shards = self.view.owned_by(server);
        if let Some(shard_move) = self
            .controlled_servers
            .get(&server)
            .and_then(|c| c.shard_move.as_ref())
            && shard_move.step != crate::control::MoveStep::Draining
        {
            shards.retain(|index, _| !shard_move.shards.contains_key(index));
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
        let origin = if token == FenceToken::FIRST {
            ControlOrigin::Claimed
        } else if record.released {
            ControlOrigin::Released
        } else {
            ControlOrigin::TakenOver
        };
        let exclusive_from = match origin {
            ControlOrigin::Claimed | ControlOrigin::Released => self.now,
            ControlOrigin::TakenOver => self.takeover_ready_at(
                self.previous_controllers
                    .get(&server)
                    .map(|(host, _)| *host),
            ),
        };
        // A server that checks tokens rejects late orders of the previous controller.
        let start = if info.spec.checks_token {
            self.now
        } else {
            exclusive_from
        };
        let handover_token = (origin == ControlOrigin::Released).then_some(token);
        self.drop_unmatched_incoming(server, handover_token);
        if origin == ControlOrigin::Claimed {
            self.counted_takeovers.insert(server);
        } else {
            self.counted_takeovers.remove(&server);
        }
        let control = ControlledServer {
            server,
            token,
            phase: ControlPhase::Waiting(start),
            boot: None,
            lease_until: exclusive_from.max(self.now + self.timing().lease),
            confirmed_until: Time::ZERO,
            confirmed_at: Time::ZERO,
            granted: BTreeMap::new(),
            unconfirmed: Vec::new(),
            sequence: 0,
            register_call: None,
            pending_shards: BTreeMap::new(),
            gained_at: self.now,
            answered_at: Time::ZERO,
            limiter: Limiter::new(&limits, self.now),
            slow_until: Time::ZERO,
            queue: Queue::new(limits.queue as usize),
            running: BTreeMap::new(),
            orphaned_until: Vec::new(),
            inherited_orders: (0, Time::ZERO),
            shard_move: None,
            draining: None,
            needs_query: true,
        };
        self.controlled_servers.insert(server, control);
        self.log(EventCode::ControlGained, info.spec.name, token.to_string());
        self.renew_lease(server);
    }

    fn drop_control(&mut self, server: ServerKey) {
        let Some(control) = self.controlled_servers.remove(&server) else {
            return;
        };
        self.outgoing_handovers.remove(&server);
        self.counted_takeovers.remove(&server);
        let name = self.server_name(server);
        self.log(EventCode::ControlLost, name, control.token.to_string());
        self.confirm_crash(server);
        self.end_or_reroute_jobs(control);
        self.ledger.close_held_by(server);
    }

    fn limits_of(&self, server: ServerKey) -> Option<Limits> {
        let info = self.view.servers.get(server)?;
        Some(self.view.entries.get(info.entry)?.limits)
    }

    fn resize_limits(&mut self) {
        let servers: Vec<ServerKey> = self.controlled_servers.keys().copied().collect();
        for server in servers {
            let Some(limits) = self.limits_of(server) else {
                continue;
            };
            if let Some(control) = self.controlled_servers.get_mut(&server) {
                control.limiter.resize(&limits);
                control.queue.resize(limits.queue as usize);
            }
        }
    }

    /// Activates control once the wait is over, and declares a silent server lost once its lease
    /// has expired.
    fn update_phase(&mut self, server: ServerKey) {
        let clock_margin = self.timing().clock_margin();
        let takeover_counted = self.counted_takeovers.contains(&server);
        let now = self.now;
        let valid = self.is_valid();
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        if let ControlPhase::Waiting(start) = control.phase
            && now >= start
            && takeover_counted
            && valid
        {
            control.phase = ControlPhase::Active;
        }
        let silent = now.since(control.answered_at.max(control.gained_at)) > SILENCE_TIMEOUT;
        let lease_ended = now > control.lease_until + clock_margin
            && control
                .register_call
                .is_none_or(|call| call.grant.is_none());
        if control.phase == ControlPhase::Active
            && control.needs_query
            && silent
            && lease_ended
            && valid
        {
            control.phase = ControlPhase::Lost;
            control.granted.clear();
            let name = self.server_name(server);
            self.log(EventCode::ServerLost, name, "");
            self.evacuate(server);
        }
    }

    /// Sends a grant, or only queries the register if a grant is not allowed now.
    pub(super) fn call_register(&mut self, server: ServerKey) {
        let Some(info) = self.view.servers.get(server) else {
            return;
        };
        let address = info.spec.address;
        let shards = self.shards_to_grant(server);
        let expires = (self.now + self.timing().lease).min(self.valid_until());
        let grantable = self.is_valid() && expires > self.now;
        let now = self.now;
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        if control.register_call.is_some() || control.phase == ControlPhase::HandingOver {
            return;
        }
        let may_grant = control.phase == ControlPhase::Active && !control.needs_query && grantable;
        let grant = may_grant.then(|| {
            control.sequence += 1;
            control.pending_shards = shards.clone();
            Grant {
                token: control.token,
                sequence: control.sequence,
                expires,
                shards: shards.into_iter().collect(),
            }
        });
        self.next_id += 1;
        let call = CallId(self.next_id);
        control.register_call = Some(RegisterCall {
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

    fn handle_state(
        &mut self,
        server: ServerKey,
        pending: RegisterCall,
        grant_shards: BTreeMap<u32, Epoch>,
        state: RegisterState,
    ) {
        let validity = self.timing().validity;
        let now = self.now;
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        let accepted_grant = pending
            .grant
            .filter(|(sequence, _)| state.token == control.token && state.sequence == *sequence);
        let first_confirmation = accepted_grant.is_some() && control.confirmed_at == Time::ZERO;
        let restarted = control.boot.is_some_and(|boot| boot != state.boot);
        if control.boot.is_none() {
            control.limiter.reset_to_cold(now);
            if self.warm_boots.get(&server) == Some(&state.boot) {
                control.limiter.mark_warm();
            }
        }
        control.boot = Some(state.boot);
        control.answered_at = now;
        control.needs_query = false;
        if first_confirmation && state.running > 0 {
            control.inherited_orders = (state.running, now + validity);
        }
        if let Some((_, expires)) = accepted_grant {
            control.lease_until = control.lease_until.max(expires);
            control.confirmed_until = expires;
            control.confirmed_at = pending.sent;
            control.granted.clone_from(&grant_shards);
            self.open_ledger_shards(server, &grant_shards);
        } else if pending.grant.is_none() && control.phase == ControlPhase::Active {
            self.call_register(server);
        }
        if restarted {
            self.handle_restart(server);
        } else {
            self.rule_out_crash(server, pending.sent);
        }
        self.handle_recovery(server);
        let draining = state.draining.map(Duration::from_millis);
        self.set_draining(server, draining.map(|span| now - span));
    }

    /// Records that a server began or stopped draining, and replans its shards.
    fn set_draining(&mut self, server: ServerKey, since: Option<Time>) {
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        if control.draining.is_some() == since.is_some() {
            return;
        }
        control.draining = since;
        let name = self.server_name(server);
        if since.is_some() {
            self.log(EventCode::ServerDraining, name, "");
        }
        self.track_unusable_servers();
        self.plan_moves();
    }

    /// Whether a server may own shards: it is not draining, and neither it nor its failure domain
    /// is out of service.
    pub(super) fn is_usable(&self, server: ServerKey) -> bool {
        let draining = self
            .controlled_servers
            .get(&server)
            .and_then(|c| c.draining);
        draining.is_none() && self.view.is_eligible(server)
    }

    fn handle_restart(&mut self, server: ServerKey) {
        let now = self.now;
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            control.limiter.reset_to_cold(now);
            control.orphaned_until.clear();
            control.inherited_orders = (0, Time::ZERO);
        }
        let name = self.server_name(server);
        self.log(EventCode::ServerRestarted, name, "");
        self.abandon_before_restart(server);
        self.confirm_crash(server);
    }

    fn handle_recovery(&mut self, server: ServerKey) {
        let now = self.now;
        let Some(control) = self.controlled_servers.get_mut(&server) else {
            return;
        };
        if control.phase != ControlPhase::Lost {
            return;
        }
        control.phase = ControlPhase::Active;
        control.limiter.reset_to_cold(now);
        let name = self.server_name(server);
        self.log(EventCode::ServerBack, name, "");
    }

    /// Suspends control of a server that holds a higher token and reads the region's record.
    fn handle_higher_token(&mut self, server: ServerKey, token: FenceToken) {
        let wait_until = self.takeover_ready_at(None);
        let name = self.server_name(server);
        self.log(EventCode::Fenced, name, token.to_string());
        if let Some(control) = self.controlled_servers.get_mut(&server) {
            control.phase = ControlPhase::Waiting(wait_until);
            control.granted.clear();
            control.needs_query = true;
            control.token = FenceToken(token.0 + 1);
        }
        self.read_object(self.region_key());
    }
}
