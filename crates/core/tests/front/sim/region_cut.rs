//! Cuts between regions: some hosts and servers lose the others, and one side loses the store.

use std::collections::BTreeSet;

use rand::Rng;

use super::{STEP_MS, Sim};

/// Mean time between two cuts.
const MEAN_INTERVAL_MS: u64 = 12_000;
/// Longest cut.
const MAX_LENGTH_MS: u64 = 50_000;

/// Two groups of hosts and servers that do not reach each other.
#[derive(Clone, Debug)]
pub(super) struct RegionCut {
    until: u64,
    far_hosts: BTreeSet<usize>,
    far_servers: BTreeSet<usize>,
    /// Whether servers are reached from both sides, so that only hosts lose each other.
    servers_reachable: bool,
    /// The side that reaches the store, if only one does: whether it is the far one.
    store_side: Option<bool>,
}

impl Sim {
    /// Begins or ends a cut between regions, if one is due.
    pub(super) fn change_region_cut(&mut self) {
        if let Some(cut) = &self.region_cut {
            if cut.until <= self.now {
                self.region_cut = None;
            }
            return;
        }
        let (hosts, servers) = (self.entry_hosts.len(), self.backends.len());
        let leader = self.latest_leader();
        let Some(rng) = &mut self.cut_rng else {
            return;
        };
        if !rng.random_bool(STEP_MS as f64 / MEAN_INTERVAL_MS as f64) {
            return;
        }
        let mut far_hosts: BTreeSet<usize> = (0..hosts).filter(|_| rng.random_bool(0.4)).collect();
        let keeps_store = rng.random_bool(0.5);
        // The case in which two leaders can last: the present one keeps the majority, and others
        // the store.
        if let Some(leader) = leader.filter(|_| rng.random_bool(0.6)) {
            far_hosts.insert(leader);
            let mut other = (leader + 1) % hosts;
            while far_hosts.len() * 2 <= hosts {
                far_hosts.insert(other);
                other = (other + 1) % hosts;
            }
        }
        let far_servers = (0..servers).filter(|_| rng.random_bool(0.5)).collect();
        self.region_cut = Some(RegionCut {
            until: self.now + rng.random_range(1_000..MAX_LENGTH_MS),
            far_hosts,
            far_servers,
            servers_reachable: rng.random_bool(0.2),
            store_side: rng.random_bool(0.8).then_some(keeps_store),
        });
    }

    fn latest_leader(&self) -> Option<usize> {
        let granters = self.entry_hosts.iter().enumerate();
        let granters = granters.filter_map(|(host, entry)| Some((entry.granter.as_ref()?, host)));
        let latest = granters.max_by_key(|(granter, _)| granter.term());
        latest.map(|(_, host)| host)
    }

    /// Whether a cut keeps two hosts from each other.
    pub(super) fn are_hosts_cut(&self, host: usize, other: usize) -> bool {
        let cut = self.region_cut.as_ref();
        cut.is_some_and(|cut| cut.far_hosts.contains(&host) != cut.far_hosts.contains(&other))
    }

    /// Whether a host does not reach a server.
    pub(super) fn is_server_cut(&self, host: usize, server: usize) -> bool {
        let is_cut = self.region_cut.as_ref().is_some_and(|cut| {
            !cut.servers_reachable
                && cut.far_hosts.contains(&host) != cut.far_servers.contains(&server)
        });
        is_cut || self.server_partitions.contains(&(host, server))
    }

    /// Whether a cut keeps a host from the store.
    pub(super) fn is_store_cut(&self, host: usize) -> bool {
        let cut = self.region_cut.as_ref();
        cut.is_some_and(|cut| {
            cut.store_side
                .is_some_and(|far| cut.far_hosts.contains(&host) != far)
        })
    }
}
