//! What the granting host keeps.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

use amaranthshunt_core::Time;
use amaranthshunt_core::front::Granter;
use async_std::channel::{Sender, TrySendError};
use bytes::Bytes;

use crate::clock;
use crate::lock::lock;
use crate::messages::{Body, Report, TableMessage, frame};
use crate::orders::OrderClient;

/// What the granting host keeps beside the granter itself.
pub(crate) struct Leading {
    pub(super) granter: Mutex<Granter>,
    pub(super) followers: Mutex<BTreeMap<String, Follower>>,
    pub(super) orders: OrderClient,
    /// Every host that was ever heard of.
    pub(super) members: Mutex<BTreeSet<String>>,
    pub(super) revision: Mutex<u64>,
    pub(super) ended: AtomicBool,
    pub(super) started: Time,
}

pub(super) struct Follower {
    /// Tells apart connections of one host.
    number: u64,
    sender: Sender<Bytes>,
    pub(super) echoed: Time,
}

impl Leading {
    /// Takes in a host that follows; returns the number of its connection.
    pub(crate) fn join(&self, name: &str, sender: Sender<Bytes>) -> u64 {
        let table = TableMessage::from(lock(&self.granter).table());
        push(name, &sender, frame(Body::Table(table)));
        lock(&self.members).insert(name.to_owned());
        let mut followers = lock(&self.followers);
        let number = followers
            .get(name)
            .map_or(0, |follower| follower.number + 1);
        let follower = Follower {
            number,
            sender,
            echoed: Time::ZERO,
        };
        followers.insert(name.to_owned(), follower);
        number
    }

    /// Sends the whole table to a host that has missed a change.
    pub(crate) fn send_table(&self, name: &str) {
        let table = TableMessage::from(lock(&self.granter).table());
        if let Some(follower) = lock(&self.followers).get(name) {
            push(name, &follower.sender, frame(Body::Table(table)));
        }
    }

    /// Takes in what a following host saw.
    pub(crate) fn report(&self, name: &str, report: Report) {
        if let Some(follower) = lock(&self.followers).get_mut(name) {
            follower.echoed = Time::from_micros(report.echo);
        }
        let mut granter = lock(&self.granter);
        let now = clock::now();
        if report.term > granter.term() {
            self.ended.store(true, Ordering::Relaxed);
        }
        for heat in report.heat {
            let service = Arc::from(heat.service.as_str());
            let counts = heat.keys.iter().zip(&heat.counts);
            granter.heat(
                now,
                &service,
                counts.map(|(key, count)| (*key as u16, *count)),
            );
        }
        for missing in report.missing {
            granter.missing(now, &missing.service, missing.key as u16, &missing.server);
        }
    }

    /// Takes in that a host no longer follows on a connection.
    pub(crate) fn leave(&self, name: &str, number: u64) {
        let mut followers = lock(&self.followers);
        if followers
            .get(name)
            .is_some_and(|follower| follower.number == number)
        {
            followers.remove(name);
        }
    }

    /// Sends a message to every host that follows.
    pub(crate) fn send_all(&self, body: Body) {
        let bytes = frame(body);
        for (name, follower) in lock(&self.followers).iter() {
            push(name, &follower.sender, bytes.clone());
        }
    }

    /// When more than half of the hosts, this one included, last knew of no other granter.
    pub(super) fn majority_echo(&self, hosts: usize) -> Option<Time> {
        let followers = lock(&self.followers);
        let mut echoes: Vec<Time> = followers.values().map(|follower| follower.echoed).collect();
        echoes.sort();
        let needed = hosts / 2;
        match needed {
            0 => Some(clock::now()),
            needed => echoes.iter().rev().nth(needed - 1).copied(),
        }
    }

    pub(super) fn is_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
}

fn push(name: &str, sender: &Sender<Bytes>, bytes: Bytes) {
    if let Err(TrySendError::Full(_)) = sender.try_send(bytes) {
        // The next beat or table makes good for a message that finds its queue full.
        log::warn!("the queue to {name} is full");
    }
}
