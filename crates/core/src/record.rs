//! Records in the object store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{Epoch, FenceToken, HostId};
use crate::names::DomainName;

/// The hosts of a region, and the host that controls each of its backend servers.
///
/// Both are in one record, so that a takeover removes a host and reassigns its servers in one
/// conditional update; see `docs/design.md`, "One record for a region".
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RegionRecord {
    /// The registered hosts.
    pub hosts: BTreeMap<HostId, HostRecord>,
    /// The controller of each backend server, by the server's name.
    pub control: BTreeMap<String, ControlRecord>,
}

/// A registered host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// The name that operators use for the host.
    pub name: String,
    /// The host's failure domain.
    pub domain: DomainName,
    /// The address at which other hosts connect to it.
    pub address: SocketAddr,
    /// The only host that may take over from it.
    pub successor: Option<HostId>,
    /// Incremented with each change of the successor, also when a removed host registers again;
    /// carried by promises and ledger copies.
    pub term: u64,
}

/// The controller of one backend server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlRecord {
    /// The controlling host.
    pub host: HostId,
    /// The fence token of this control.
    pub token: FenceToken,
    /// Whether the previous controller released its control voluntarily.
    #[serde(default)]
    pub released: bool,
}

/// The owners of an entry's shards in one region.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacementRecord {
    /// Owners by shard number.
    pub shards: Vec<Assignment>,
    /// Incremented by a host that takes over, so that its predecessor's conditional writes fail.
    #[serde(default)]
    #[serde(rename = "touched")]
    pub takeover_count: u64,
}

/// The owner of one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// The name of the backend server.
    pub server: String,
    /// The number of changes of the shard's owner.
    pub epoch: Epoch,
}

/// An operator's order for a failure domain, host or backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OperatorOrder {
    /// Whether the subject is out of service.
    pub out: bool,
    /// The operator who issued it.
    pub operator: String,
}

/// The target of an operator's order.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A whole failure domain.
    Domain(DomainName),
    /// An entry host, by name.
    Host(String),
    /// One process of an entry host that operators declared permanently lost.
    Lost(HostId),
    /// A backend server, by name.
    Server(String),
}
