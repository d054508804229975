//! Which shards should leave a backend server, and where to.

use std::collections::BTreeMap;

use crate::ids::ServerKey;

/// Shards over its share that a server keeps, so that small differences move nothing.
const SLACK: f64 = 1.0;
/// Shards that leave a healthy server in one move.
const BATCH: usize = 4;

/// How much one backend server holds and may hold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Holding {
    /// Shards it owns.
    pub shards: usize,
    /// Its capacity relative to others; zero when it may not own any.
    pub weight: f64,
}

/// Shards of one server with the servers that they should go to.
pub type Plan = Vec<(u32, ServerKey)>;

/// Plans a move off one server.
///
/// A server without weight loses all its shards; any other only what lies over its share, a
/// few at a time. Each shard goes to the server that is fullest relative to nobody, so the
/// outcome does not depend on who plans first.
pub fn plan(
    server: ServerKey,
    shards: impl IntoIterator<Item = u32>,
    holdings: &BTreeMap<ServerKey, Holding>,
) -> Plan {
    let mut counts = holdings.clone();
    let total: usize = counts.values().map(|held| held.shards).sum();
    let weight: f64 = counts.values().map(|held| held.weight).sum();
    let own = counts.get(&server).map_or(0.0, |held| held.weight);
    if weight <= 0.0 {
        return Vec::new();
    }
    let share = total as f64 * own / weight;
    let batch = if own > 0.0 { BATCH } else { usize::MAX };
    let mut moves = Vec::new();
    for shard in shards {
        let held = counts.get(&server).map_or(0, |held| held.shards) as f64;
        let over = own <= 0.0 || held > share + SLACK;
        if !over || moves.len() >= batch {
            break;
        }
        let Some(target) = emptiest(&counts, server) else {
            break;
        };
        let room = counts[&target].shards as f64 + 1.0;
        let target_share = total as f64 * counts[&target].weight / weight;
        if own > 0.0 && room > target_share + SLACK {
            break;
        }
        shift(&mut counts, server, target);
        moves.push((shard, target));
    }
    moves
}

/// Spreads the shards of a new entry over servers by weight.
pub fn spread(count: u32, holdings: &BTreeMap<ServerKey, Holding>) -> Vec<ServerKey> {
    let mut counts = holdings.clone();
    (0..count)
        .filter_map(|_| {
            let target = counts
                .iter()
                .filter(|(_, held)| held.weight > 0.0)
                .min_by(|left, right| fill(left.1).total_cmp(&fill(right.1)))
                .map(|(server, _)| *server)?;
            counts.entry(target).and_modify(|held| held.shards += 1);
            Some(target)
        })
        .collect()
}

fn emptiest(counts: &BTreeMap<ServerKey, Holding>, except: ServerKey) -> Option<ServerKey> {
    counts
        .iter()
        .filter(|(server, held)| **server != except && held.weight > 0.0)
        .min_by(|left, right| fill(left.1).total_cmp(&fill(right.1)))
        .map(|(server, _)| *server)
}

fn fill(held: &Holding) -> f64 {
    held.shards as f64 / held.weight
}

fn shift(counts: &mut BTreeMap<ServerKey, Holding>, from: ServerKey, to: ServerKey) {
    if let Some(held) = counts.get_mut(&from) {
        held.shards -= 1;
    }
    if let Some(held) = counts.get_mut(&to) {
        held.shards += 1;
    }
}
