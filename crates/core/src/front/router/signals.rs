//! What servers say of themselves in responses: that they leave, and pauses that they ask for.
//!
//! `docs/platform-path.md`, "What servers say of themselves", lists who is bound by what.

use std::sync::Arc;
use std::time::Duration;

use super::Router;
use super::types::{RefusalCause, RouteRefusal, Target};
use crate::front::server_signals::{Departure, LimitSignal, MAX_PAUSE, ServerSignals};
use crate::front::servers::ServerEntry;
use crate::ids::ServerKey;
use crate::log::EventCode;
use crate::time::Time;

/// Time over which callers return that are refused because of one pause.
const CALLER_SPREAD: Duration = Duration::from_millis(250);

impl Router {
    /// Records what a response says of the server with an entry.
    ///
    /// It counts for the life of the process that the request was sent to, even if its entry is gone:
    /// the entry may return.
    pub fn record_signals(&mut self, now: Time, entry: &ServerEntry, signals: &ServerSignals) {
        let Some(state) = self.servers.life_mut(&entry.id, entry.start_id) else {
            return;
        };
        let mut events = Vec::new();
        if signals.leaving && state.record_departure(now) {
            state.departure_observed = true;
            events.push((EventCode::DepartureTold, "by a response".to_owned()));
        }
        if let Some(pause) = signals.pause.map(|pause| pause.min(MAX_PAUSE))
            && state.record_pause(now, pause)
        {
            let detail = format!("for {} ms", pause.as_millis());
            events.push((EventCode::PauseRequested, detail));
        }
        if let Some(header) = signals.invalid.first()
            && !std::mem::replace(&mut state.sends_invalid_header, true)
        {
            events.push((EventCode::SignalInvalid, format!("ignored: {header:.60}")));
        }
        for (code, detail) in events {
            self.log_event(code, &*entry.id, detail);
        }
        match signals.limit {
            LimitSignal::Unchanged => {}
            LimitSignal::Named(limit) => self.record_rate_limit(now, entry, Some(limit)),
            LimitSignal::Ended => self.record_rate_limit(now, entry, None),
        }
    }

    /// Applies what a response has told another host.
    pub fn apply_departure(&mut self, now: Time, departure: &Departure) {
        let state = self.servers.life_mut(&departure.server, departure.start_id);
        if state.is_some_and(|state| state.record_departure(now)) {
            self.log_event(EventCode::DepartureTold, &*departure.server, "by a host");
        }
    }

    /// Returns the departures that responses have told this host since the last call.
    pub fn take_departure_reports(&mut self) -> Vec<Departure> {
        let mut departures = Vec::new();
        let keys: Vec<ServerKey> = self.servers.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(state) = self.servers.get_mut(key)
                && std::mem::take(&mut state.departure_observed)
            {
                departures.push(Departure::from(&state.entry));
            }
        }
        departures
    }

    /// The listed servers that have been known since `since` or later to leave, but for those whose
    /// entries say so.
    pub fn departures(&self, since: Time) -> Vec<Departure> {
        let leaving = self.servers.iter().filter(|(_, state)| {
            let known_since = state.leaving_since();
            !state.entry.draining && known_since.is_some_and(|known_since| known_since >= since)
        });
        leaving
            .map(|(_, state)| Departure::from(&state.entry))
            .collect()
    }

    /// Number of listed servers that leave.
    pub fn leaving_count(&self) -> usize {
        let servers = self.servers.iter();
        servers.filter(|(_, state)| state.is_leaving()).count()
    }

    /// Number of listed servers that have asked this host for a pause which lasts.
    pub fn paused_count(&self, now: Time) -> usize {
        let servers = self.servers.iter();
        let paused = servers.filter(|(_, state)| state.pause_left(now).is_some());
        paused.count()
    }

    /// Whether a response that a request was misdirected may come from the server with an entry.
    ///
    /// A server without keys rejects no request that is meant for it, so another one answers at its
    /// address; so may another one that is listed with the same address.
    pub fn may_misdirect(&self, entry: &ServerEntry) -> bool {
        let config = self.config.as_ref();
        let service = config.and_then(|config| config.services.get(&entry.service));
        let mut others = self.servers.iter().map(|(_, state)| &state.entry);
        service.is_some_and(|service| service.keyed)
            && !others.any(|other| other.id != entry.id && other.address == entry.address)
    }

    /// Whether a request may still be sent to the server that was selected for it some time ago.
    pub fn may_still_send(&self, now: Time, target: &Target) -> bool {
        let entry = &target.entry;
        self.servers
            .life(&entry.id, entry.start_id)
            .is_some_and(|state| {
                state.pause_left(now).is_none() && !state.is_drained(now, self.settings.drain)
            })
    }

    pub(super) fn pause_left(&self, now: Time, server: ServerKey) -> Option<Duration> {
        self.servers.get(server)?.pause_left(now)
    }

    /// Refuses a request for servers that have asked for a pause. Callers return spread over the time
    /// after it.
    pub(super) fn pause_refusal(&mut self, left: Duration) -> RouteRefusal {
        RouteRefusal {
            cause: RefusalCause::Paused,
            retry_after: Some(left + CALLER_SPREAD.mul_f64(self.next_spread())),
        }
    }
}

impl From<&ServerEntry> for Departure {
    fn from(entry: &ServerEntry) -> Self {
        Self {
            server: Arc::clone(&entry.id),
            start_id: entry.start_id,
        }
    }
}
