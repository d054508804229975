//! Placement of shards on backend servers by weight.

use std::collections::BTreeMap;

use crate::ids::ServerKey;

/// Number of shards by which a server may exceed its share, so that small differences cause no
/// moves.
const MAX_EXCESS_SHARDS: f64 = 1.0;
/// The most shards that move off a server with weight in one plan.
const MAX_MOVES_PER_PLAN: usize = 4;

/// The shard count and weight of one backend server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerHolding {
    /// The number of shards it owns.
    pub shards: usize,
    /// Its capacity relative to other servers; zero if it must not own shards.
    pub weight: f64,
}

/// Shards to move off one server, each with its target server.
pub type MovePlan = Vec<(u32, ServerKey)>;

/// Plans which of a server's shards move to other servers.
///
/// A server without weight loses all its shards; any other loses those above its share, a few
/// at a time. Each shard goes to the server with the fewest shards per weight, so that the result
/// does not depend on which host plans first.
pub fn plan_moves(
    server: ServerKey,
    shards: impl IntoIterator<Item = u32>,
    holdings: &BTreeMap<ServerKey, ServerHolding>,
) -> MovePlan {
    let mut counts = holdings.clone();
    let total_shards: usize = counts.values().map(|holding| holding.shards).sum();
    let total_weight: f64 = counts.values().map(|holding| holding.weight).sum();
    let own_weight = counts.get(&server).map_or(0.0, |holding| holding.weight);
    if total_weight <= 0.0 {
        return Vec::new();
    }
    let share = total_shards as f64 * own_weight / total_weight;
    let max_moves = if own_weight > 0.0 {
        MAX_MOVES_PER_PLAN
    } else {
        usize::MAX
    };
    let mut moves = Vec::new();
    for shard in shards {
        let own_shards = counts.get(&server).map_or(0, |holding| holding.shards) as f64;
        let must_shrink = own_weight <= 0.0 || own_shards > share + MAX_EXCESS_SHARDS;
        if !must_shrink || moves.len() >= max_moves {
            break;
        }
        let Some(target) = least_loaded(&counts, server) else {
            break;
        };
        let target_shards = counts[&target].shards as f64 + 1.0;
        let target_share = total_shards as f64 * counts[&target].weight / total_weight;
        if own_weight > 0.0 && target_shards > target_share + MAX_EXCESS_SHARDS {
            break;
        }
        move_shard(&mut counts, server, target);
        moves.push((shard, target));
    }
    moves
}

/// Distributes the shards of a new entry over servers by weight.
pub fn distribute_shards(
    count: u32,
    holdings: &BTreeMap<ServerKey, ServerHolding>,
) -> Vec<ServerKey> {
    let mut counts = holdings.clone();
    (0..count)
        .filter_map(|_| {
            let target = counts
                .iter()
                .filter(|(_, holding)| holding.weight > 0.0)
                .min_by(|left, right| {
                    shards_per_weight(left.1).total_cmp(&shards_per_weight(right.1))
                })
                .map(|(server, _)| *server)?;
            counts
                .entry(target)
                .and_modify(|holding| holding.shards += 1);
            Some(target)
        })
        .collect()
}

fn least_loaded(
    counts: &BTreeMap<ServerKey, ServerHolding>,
    except: ServerKey,
) -> Option<ServerKey> {
    counts
        .iter()
        .filter(|(server, holding)| **server != except && holding.weight > 0.0)
        .min_by(|left, right| shards_per_weight(left.1).total_cmp(&shards_per_weight(right.1)))
        .map(|(server, _)| *server)
}

fn shards_per_weight(holding: &ServerHolding) -> f64 {
    holding.shards as f64 / holding.weight
}

fn move_shard(counts: &mut BTreeMap<ServerKey, ServerHolding>, from: ServerKey, to: ServerKey) {
    if let Some(holding) = counts.get_mut(&from) {
        holding.shards -= 1;
    }
    if let Some(holding) = counts.get_mut(&to) {
        holding.shards += 1;
    }
}
