//! Requests that may have crashed their backend servers.

use std::collections::BTreeSet;

use super::Host;
use crate::control::RunningOrder;
use crate::ids::{HostId, ServerKey};
use crate::log::EventCode;
use crate::message::Message;
use crate::quarantine::{Crash, CrashId};
use crate::time::Time;

/// Requests lost with their connections to a server, until it is known whether it crashed.
#[derive(Debug)]
pub(super) struct LostRequests {
    /// The server's boot number when they were sent.
    boot: u64,
    /// When the last of them was lost.
    since: Time,
    fingerprints: BTreeSet<u64>,
}

impl Host {
    /// Records a request whose exchange with the server broke off.
    pub(super) fn record_lost_request(&mut self, server: ServerKey, running: &RunningOrder) {
        let lost = self.lost_requests.entry(server).or_insert(LostRequests {
            boot: running.boot,
            since: self.now,
            fingerprints: BTreeSet::new(),
        });
        lost.boot = running.boot;
        lost.since = self.now;
        lost.fingerprints.insert(running.job.request.fingerprint());
    }

    /// Counts a crash against the requests that were lost with the server.
    pub(super) fn confirm_crash(&mut self, server: ServerKey) {
        let Some(lost) = self.lost_requests.remove(&server) else {
            return;
        };
        let name = self.server_name(server);
        let crash = CrashId::new(&name, lost.boot);
        for fingerprint in lost.fingerprints {
            self.quarantine
                .record_crash(fingerprint, Crash::at(crash, self.now), self.now);
            let code = if self.quarantine.is_quarantined(fingerprint, self.now) {
                EventCode::RequestQuarantined
            } else {
                EventCode::RequestSuspect
            };
            self.log(code, name.clone(), format!("{fingerprint:016x}"));
            for peer in self.region_peers() {
                self.send(peer, Message::Suspect { fingerprint, crash });
            }
        }
    }

    /// Drops a server's lost requests once it has answered a later call without a restart.
    pub(super) fn rule_out_crash(&mut self, server: ServerKey, sent: Time) {
        let sent_later = |lost: &LostRequests| sent > lost.since;
        if self.lost_requests.get(&server).is_some_and(sent_later) {
            self.lost_requests.remove(&server);
        }
    }

    /// Sends the known crashes to hosts that joined the region, since those start without any.
    pub(super) fn share_crashes(&mut self) {
        let peers: BTreeSet<HostId> = self.region_peers().into_iter().collect();
        if peers == self.known_peers {
            return;
        }
        let crashes = self.quarantine.crashes();
        let crashes: Vec<(u64, CrashId)> = crashes
            .map(|(fingerprint, crash, _)| (fingerprint, crash.id))
            .collect();
        let joined: Vec<HostId> = peers.difference(&self.known_peers).copied().collect();
        for peer in joined {
            for (fingerprint, crash) in &crashes {
                let (fingerprint, crash) = (*fingerprint, *crash);
                self.send(peer, Message::Suspect { fingerprint, crash });
            }
        }
        self.known_peers = peers;
    }
}
