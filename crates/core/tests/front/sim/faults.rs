//! Injection and end of faults.

use std::sync::Arc;

use rand::Rng;

use super::{Delivery, Sim};
use crate::fixture::{KEYED, server};

impl Sim {
    pub(super) fn inject_fault(&mut self) {
        if !self.rng.random_bool(0.008) {
            return;
        }
        let host = self.rng.random_range(0..self.entry_hosts.len());
        let other = self.rng.random_range(0..self.entry_hosts.len());
        let index = self.rng.random_range(0..self.backends.len());
        let duration = self.rng.random_range(200..6_000);
        if self.store_restores && self.rng.random_bool(0.1) {
            self.restore_store(duration * 3);
            return;
        }
        match self.rng.random_range(0..12) {
            0 => self.entry_hosts[host].frozen_until = self.now + duration,
            1 => {
                let entry = &mut self.entry_hosts[host];
                entry.up = false;
                entry.granter = None;
                entry.pending_write = None;
                entry.restart_at = self.now + duration / 4;
            }
            2 => self.entry_hosts[host].store_reachable = !self.entry_hosts[host].store_reachable,
            3 => self.store_up = !self.store_up,
            4 => {
                self.host_partitions.insert((host, other));
                self.host_partitions.insert((other, host));
            }
            5 => self.host_partitions.clear(),
            6 => {
                self.server_partitions.insert((host, index));
            }
            7 => self.server_partitions.clear(),
            // A server that leaves ends: nothing but its next life takes requests again.
            8 => self.stop_backend(index, duration),
            9 if self.backends[index].draining => self.stop_backend(index, duration),
            9 => {
                self.backends[index].draining = true;
                self.schedule_entry_reads();
            }
            10 => {
                for entry in &mut self.entry_hosts {
                    entry.store_reachable = true;
                }
            }
            _ => {
                let service = Arc::from(KEYED);
                let now = self.time();
                let hot: Vec<(u16, u32)> = (0..30)
                    .map(|key| (index as u16 * 1_000 + key, 20))
                    .collect();
                for entry in &mut self.entry_hosts {
                    if let Some(granter) = &mut entry.granter {
                        granter.add_key_counts(now, &service, hot.clone());
                    }
                }
            }
        }
    }

    /// Restores the store as it was some milliseconds ago.
    fn restore_store(&mut self, age: u64) {
        let copied_at = self.now.saturating_sub(age);
        let kept = self.record_log.partition_point(|(at, _)| *at <= copied_at);
        self.record_log.truncate(kept);
        self.record = self
            .record_log
            .last()
            .and_then(|(_, record)| record.clone());
        self.era += 1;
    }

    fn stop_backend(&mut self, index: usize, duration: u64) {
        let restart_at = self.now + duration;
        self.backends[index].stop(restart_at);
        self.schedule_entry_reads();
    }

    pub(super) fn restart_due_processes(&mut self) {
        for host in 0..self.entry_hosts.len() {
            let entry = &mut self.entry_hosts[host];
            if !entry.up && entry.restart_at <= self.now {
                entry.up = true;
                entry.leader_seen = self.now;
                self.read_entries(host);
            }
        }
        let mut changed = false;
        for backend in &mut self.backends {
            if !backend.up && backend.restart_at <= self.now {
                backend.start();
                changed = true;
            }
        }
        if changed {
            self.schedule_entry_reads();
        }
    }

    /// Lets every host read the servers' entries after a delay.
    pub(super) fn schedule_entry_reads(&mut self) {
        for host in 0..self.entry_hosts.len() {
            let after = self.rng.random_range(100..2_500);
            self.push(after, Delivery::Entries { host });
        }
    }

    pub(super) fn read_entries(&mut self, host: usize) {
        let now = self.time();
        for backend in &self.backends {
            let servers = &mut self.entry_hosts[host].servers;
            if backend.up {
                let mut entry = server(&backend.id, KEYED, "r/a", backend.incarnation);
                entry.draining = backend.draining;
                servers.upsert(now, entry, None, 0.0);
            } else if let Some(key) = servers.find(&backend.id) {
                servers.remove(now, key);
            }
        }
    }
}
