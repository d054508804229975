//! What breaks, and comes back.

use std::sync::Arc;

use rand::Rng;

use super::{Delivery, Sim};
use crate::fixture::{KEYED, server};

impl Sim {
    pub(super) fn break_something(&mut self) {
        if !self.rng.random_bool(0.008) {
            return;
        }
        let host = self.rng.random_range(0..self.entries.len());
        let other = self.rng.random_range(0..self.entries.len());
        let index = self.rng.random_range(0..self.backends.len());
        let span = self.rng.random_range(200..6_000);
        match self.rng.random_range(0..12) {
            0 => self.entries[host].frozen_until = self.now + span,
            1 => {
                let entry = &mut self.entries[host];
                entry.up = false;
                entry.granter = None;
                entry.write = None;
                entry.back_at = self.now + span / 4;
            }
            2 => self.entries[host].store = !self.entries[host].store,
            3 => self.store_up = !self.store_up,
            4 => {
                self.cut_hosts.insert((host, other));
                self.cut_hosts.insert((other, host));
            }
            5 => self.cut_hosts.clear(),
            6 => {
                self.cut_servers.insert((host, index));
            }
            7 => self.cut_servers.clear(),
            8 => {
                let backend = &mut self.backends[index];
                backend.up = false;
                backend.holds.clear();
                backend.seen.clear();
                backend.back_at = self.now + span;
                self.tell_entries();
            }
            9 => {
                self.backends[index].draining = !self.backends[index].draining;
                self.tell_entries();
            }
            10 => {
                for entry in &mut self.entries {
                    entry.store = true;
                }
            }
            _ => {
                let service = Arc::from(KEYED);
                let now = self.time();
                let hot: Vec<(u16, u32)> = (0..30)
                    .map(|key| (index as u16 * 1_000 + key, 20))
                    .collect();
                for entry in &mut self.entries {
                    if let Some(granter) = &mut entry.granter {
                        granter.heat(now, &service, hot.clone());
                    }
                }
            }
        }
    }

    pub(super) fn revive(&mut self) {
        for host in 0..self.entries.len() {
            let entry = &mut self.entries[host];
            if !entry.up && entry.back_at <= self.now {
                entry.up = true;
                entry.heard = self.now;
                self.read_entries(host);
            }
        }
        let mut changed = false;
        for backend in &mut self.backends {
            if !backend.up && backend.back_at <= self.now {
                backend.up = true;
                backend.draining = false;
                backend.born += 1;
                changed = true;
            }
        }
        if changed {
            self.tell_entries();
        }
    }

    /// Tells every host of the servers, some time later.
    pub(super) fn tell_entries(&mut self) {
        for host in 0..self.entries.len() {
            let after = self.rng.random_range(100..2_500);
            self.push(after, Delivery::Entries { host });
        }
    }

    pub(super) fn read_entries(&mut self, host: usize) {
        let now = self.time();
        for backend in &self.backends {
            let servers = &mut self.entries[host].servers;
            if backend.up {
                let mut entry = server(&backend.id, KEYED, "r/a", backend.born);
                entry.draining = backend.draining;
                servers.learn(now, entry, None, 0.0);
            } else if let Some(key) = servers.find(&backend.id) {
                servers.remove(key);
            }
        }
    }
}
