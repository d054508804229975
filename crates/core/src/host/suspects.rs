//! Requests that may have taken their backend servers down.

use std::collections::BTreeSet;

use super::Host;
use crate::control::Running;
use crate::ids::{HostId, ServerKey};
use crate::log::Code;
use crate::message::Message;
use crate::quarantine::CrashId;
use crate::time::Time;

/// Orders that a server had when their connections broke, until it is known whether it went.
#[derive(Debug)]
pub(super) struct LostOrders {
    /// The server's run that had them.
    boot: u64,
    /// When the last one was lost.
    since: Time,
    fingerprints: BTreeSet<u64>,
}

impl Host {
    /// Remembers a request whose order broke off.
    pub(super) fn suspect(&mut self, server: ServerKey, running: &Running) {
        let lost = self.lost_orders.entry(server).or_insert(LostOrders {
            boot: running.boot,
            since: self.now,
            fingerprints: BTreeSet::new(),
        });
        lost.boot = running.boot;
        lost.since = self.now;
        lost.fingerprints.insert(running.job.request.fingerprint());
    }

    /// Counts a crash against the requests that the server had when it went.
    pub(super) fn confirm_crash(&mut self, server: ServerKey) {
        let Some(lost) = self.lost_orders.remove(&server) else {
            return;
        };
        let name = self.server_name(server);
        let crash = CrashId::new(&name, lost.boot);
        for fingerprint in lost.fingerprints {
            self.quarantine.crashed(fingerprint, crash, self.now);
            let code = if self.quarantine.refuses(fingerprint) {
                Code::RequestQuarantined
            } else {
                Code::RequestSuspect
            };
            self.log(code, name.clone(), format!("{fingerprint:016x}"));
            for peer in self.region_peers() {
                self.send(peer, Message::Suspect { fingerprint, crash });
            }
        }
    }

    /// Forgets lost orders of a server that answered, in the same run, a call sent after them.
    pub(super) fn rule_out_crash(&mut self, server: ServerKey, asked: Time) {
        let alive = |lost: &LostOrders| asked > lost.since;
        if self.lost_orders.get(&server).is_some_and(alive) {
            self.lost_orders.remove(&server);
        }
    }

    /// Tells hosts that came on record of the crashes known here, since they start with none.
    pub(super) fn tell_suspects(&mut self) {
        let peers: BTreeSet<HostId> = self.region_peers().into_iter().collect();
        if peers == self.known_peers {
            return;
        }
        let known: Vec<(u64, CrashId)> = self.quarantine.crashes().collect();
        let new: Vec<HostId> = peers.difference(&self.known_peers).copied().collect();
        for peer in new {
            for (fingerprint, crash) in &known {
                let (fingerprint, crash) = (*fingerprint, *crash);
                self.send(peer, Message::Suspect { fingerprint, crash });
            }
        }
        self.known_peers = peers;
    }
}
