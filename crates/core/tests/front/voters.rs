//! Hosts whose majority confirms a leader, and servers that a new leader does not reach.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use amaranthshunt_core::Time;
use amaranthshunt_core::front::{
    ClusterState, Granter, KeySpan, Order, OrderReply, Placement, Servers,
};

use crate::fixture::{KEYED, config, server};
use crate::sim::TIMING;

const STEP: Duration = Duration::from_millis(50);

fn names(hosts: &[&str]) -> BTreeSet<String> {
    hosts.iter().map(|name| (*name).to_owned()).collect()
}

/// A granter that succeeds another one, in a record that lists three hosts, and does not reach the
/// server `far`, which holds all keys.
struct Successor {
    granter: Granter,
    servers: Servers,
    now: Time,
    reaches_far: bool,
    reaches_store: bool,
    followers: Vec<&'static str>,
    granted_near: bool,
    written: Option<Placement>,
}

impl Successor {
    fn new() -> Self {
        let span = KeySpan {
            from: 0,
            to: 65_535,
            owner: Some(Arc::from("far")),
            previous: None,
        };
        let record = Placement {
            term: 2,
            version: 7,
            leader: "h2".to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            services: BTreeMap::from([(Arc::from(KEYED), vec![span])]),
            complete_era: Some(1),
            voters: Some(names(&["h1", "h2", "h3"])),
        };
        let now = Time::from_millis(1_000);
        let mut servers = Servers::default();
        for id in ["far", "near"] {
            servers.upsert(now, server(id, KEYED, "r/a", 1), None, 0.0);
        }
        Self {
            granter: Granter::new(now, now, &record, 1, TIMING),
            servers,
            now,
            reaches_far: false,
            reaches_store: true,
            followers: Vec::new(),
            granted_near: false,
            written: None,
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            if self.reaches_store {
                self.granter.confirm_by_record(self.now);
            }
            let followers = self.followers.iter();
            let replies = followers.map(|name| ((*name).to_owned(), self.now));
            self.granter
                .confirm_by_hosts(self.now, &replies.collect(), 3);
            let config = config(1, Vec::new());
            let cluster = ClusterState {
                servers: &self.servers,
                config: &config,
                baseline_latencies: &BTreeMap::new(),
                evacuated: &BTreeSet::new(),
            };
            for order in self.granter.advance(self.now, cluster) {
                self.execute(order);
            }
        }
    }

    fn execute(&mut self, order: Order) {
        match order {
            Order::Grant { call, server, .. } | Order::Release { call, server, .. } => {
                self.granted_near |= &*server == "near";
                let reply = if self.reaches_far || &*server == "near" {
                    OrderReply::Done(None)
                } else {
                    OrderReply::NotSent
                };
                self.granter.handle_reply(self.now, call, self.now, reply);
            }
            Order::Write(placement) if self.reaches_store => {
                self.granter.mark_written(self.now, placement.version);
                self.written = Some(placement);
            }
            Order::Write(_) | Order::Log(_) => {}
        }
    }
}

// Guards against OWNER: 20 s without a majority passed for proof that the other hosts were gone, though the
// leader before went on with them behind a cut.
#[test]
fn keys_of_a_server_that_is_not_reached_stay_while_a_majority_may_confirm_the_leader_before() {
    let mut successor = Successor::new();

    successor.run(TIMING.storeless_limit);

    assert!(!successor.granted_near);
    let written = successor.written.unwrap();
    assert_eq!(written.voters, Some(names(&["h1", "h2", "h3"])));
}

#[test]
fn keys_of_a_server_that_is_not_reached_move_once_a_majority_follows() {
    let mut successor = Successor::new();
    successor.run(Duration::from_secs(25));

    successor.followers.push("h3");
    successor.run(Duration::from_secs(10));

    assert!(successor.granted_near);
}

#[test]
fn keys_of_a_server_that_is_not_reached_move_once_the_leader_before_must_have_stopped() {
    let mut successor = Successor::new();

    successor.run(TIMING.storeless_limit + Duration::from_secs(10));

    assert!(successor.granted_near);
}

#[test]
fn a_server_that_is_reached_again_keeps_its_keys() {
    let mut successor = Successor::new();
    successor.run(Duration::from_secs(20));

    successor.reaches_far = true;
    successor.run(Duration::from_secs(10));

    assert!(!successor.granted_near);
    let table = successor.granter.table();
    assert_eq!(table.owner(KEYED, 9).map(|id| &**id), Some("far"));
}

// Guards against OWNER: hosts that did not know of a later leader confirmed one whose tokens servers
// rejected.
#[test]
fn a_leader_whose_token_is_rejected_is_confirmed_by_the_record_only() {
    let mut successor = Successor::new();
    successor.reaches_far = true;
    successor.followers.push("h3");
    successor.run(Duration::from_secs(10));
    successor.reaches_store = false;

    let (now, call) = (successor.now, next_grant(&mut successor));
    successor
        .granter
        .handle_reply(now, call, now, OrderReply::Fenced);
    successor.run(Duration::from_secs(1));
    let without_record = successor.granter.is_confirmed(successor.now);
    successor.reaches_store = true;
    successor.run(STEP);

    assert!(!without_record);
    assert!(successor.granter.is_confirmed(successor.now));
}

/// Lets the granter renew a grant, and returns the call.
fn next_grant(successor: &mut Successor) -> amaranthshunt_core::ids::CallId {
    let config = config(1, Vec::new());
    loop {
        successor.now = successor.now + STEP;
        let replies = BTreeMap::from([("h3".to_owned(), successor.now)]);
        successor
            .granter
            .confirm_by_hosts(successor.now, &replies, 3);
        let cluster = ClusterState {
            servers: &successor.servers,
            config: &config,
            baseline_latencies: &BTreeMap::new(),
            evacuated: &BTreeSet::new(),
        };
        let orders = successor.granter.advance(successor.now, cluster);
        let call = orders.into_iter().find_map(|order| match order {
            Order::Grant { call, .. } => Some(call),
            _ => None,
        });
        if let Some(call) = call {
            return call;
        }
    }
}

#[test]
fn a_leader_without_the_store_stops_in_time_for_a_successor() {
    let mut successor = Successor::new();
    successor.followers.extend(["h1", "h3"]);
    successor.run(Duration::from_secs(5));

    successor.reaches_store = false;
    successor.run(TIMING.storeless_limit - STEP * 2);
    let before = successor.granter.is_confirmed(successor.now);
    successor.run(STEP * 4);

    assert!(before);
    assert!(!successor.granter.is_confirmed(successor.now));
}

#[test]
fn the_record_lists_the_hosts_that_follow_once_a_majority_does() {
    let mut successor = Successor::new();
    successor.followers.extend(["h3", "h4"]);

    successor.run(Duration::from_secs(10));

    let written = successor.written.unwrap();
    assert_eq!(written.voters, Some(names(&["h1", "h2", "h3", "h4"])));
}
