//! Lets a granter handle as many replies as its tokens have numbers below the term, and prints the
//! tokens of grants before and after. It drives the core only: in a deployment this takes hours to days.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    ClusterState, Config, Granter, GranterTiming, KeySpan, Limits, Order, OrderReply, Placement,
    ServerEntry, Servers, Service,
};
use amaranthshunt_core::ids::CallId;

const SERVICE: &str = "catalogue";
/// Replies between the two grants: somewhat more than 2^24.
const REPLIES: u64 = (1 << 24) + 100;

fn main() {
    let mut servers = Servers::default();
    for (number, id) in ["i-0", "i-1"].into_iter().enumerate() {
        let entry = ServerEntry {
            id: Arc::from(id),
            service: Arc::from(SERVICE),
            address: ([127, 0, 0, 1], 1_000 + number as u16).into(),
            domain: "mvd-a".to_owned(),
            slots: 4,
            draining: false,
            warmup_left: Duration::ZERO,
            start_id: Some(1),
        };
        servers.upsert(Time::ZERO, entry, None, 0.0);
    }
    let service = Service {
        health_path: "/health".to_owned(),
        max_connections: 110,
        warm_up: Duration::from_secs(3),
        cold_rate: 9.9,
        keyed: true,
    };
    let services = BTreeMap::from([(Arc::from(SERVICE), service)]);
    let config = Config::new(1, Vec::new(), services, Limits::default());
    let span = KeySpan {
        from: 0,
        to: u16::MAX,
        owner: Some(Arc::from("i-0")),
        previous: None,
    };
    let record = Placement {
        term: 1,
        version: 1,
        leader: "front-1".to_owned(),
        address: ([127, 0, 0, 1], 7_540).into(),
        services: BTreeMap::from([(Arc::from(SERVICE), vec![span])]),
        complete_era: Some(0),
    };
    let timing = GranterTiming {
        lease: Duration::from_millis(4_000),
        renewal_interval: Duration::from_millis(1_200),
        confirmation_timeout: Duration::from_millis(2_000),
        order_timeout: Duration::from_millis(800),
        expiry_margin: Duration::from_millis(300),
        cleanup_delay: Duration::from_millis(1_000),
    };
    let start = Time::from_millis(1_000_000);
    let mut granter = Granter::new(start, &record, 0, timing);
    let (latencies, evacuated) = (BTreeMap::new(), BTreeSet::new());
    let cluster = ClusterState {
        servers: &servers,
        baseline_latencies: &latencies,
        config: &config,
        evacuated: &evacuated,
    };
    let mut grant_tokens = |granter: &mut Granter, now: Time| -> Vec<(CallId, u64)> {
        granter.confirm(now);
        let orders = granter.advance(now, cluster).into_iter();
        let grants = orders.filter_map(|order| match order {
            Order::Grant { call, fence, .. } => Some((call, fence)),
            _ => None,
        });
        grants.collect()
    };
    let first = grant_tokens(&mut granter, start);
    println!("first grant: {first:x?}");
    for (call, _) in first {
        granter.handle_reply(start, call, start, OrderReply::Done(None));
    }
    // Replies to other calls: each one takes a token, whether or not it is used.
    for _ in 0..REPLIES {
        granter.handle_reply(start, CallId::default(), start, OrderReply::NotSent);
    }
    // The server is reached on a new connection, so that its keys need a new token.
    let later = start + Duration::from_millis(1_300);
    for (call, fence) in grant_tokens(&mut granter, later) {
        println!("renewal: {fence:x}");
        granter.handle_reply(later, call, later, OrderReply::Reconnected);
    }
    let last = grant_tokens(&mut granter, later + Duration::from_millis(40));
    println!("grant after {REPLIES} replies: {last:x?}");
}
