//! What is broken, and mended again.

use std::path::Path;

use amaranthshunt_support::platform::{LinkFault, StoreFault, UpstreamFault};
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use serde_json::Value;

use crate::fleet::{DOMAINS, Fleet};

/// Breaks or mends one thing, and says what.
pub(crate) async fn strike(fleet: &mut Fleet, program: &Path, rng: &mut SmallRng) -> String {
    let host = rng.random_range(0..fleet.entries.len());
    let server = rng.random_range(0..fleet.servers.len());
    let name = fleet.entries[host].name.clone();
    let id = fleet.servers[server].upstream.options().id.clone();
    match rng.random_range(0..20) {
        0..=1 => {
            fleet.entries[host].signal(Signal::KILL);
            format!("{name} is killed")
        }
        2 => {
            fleet.entries[host].signal(Signal::TERM);
            format!("{name} is told to stop")
        }
        3 => {
            fleet.entries[host].signal(Signal::STOP);
            format!("{name} is paused")
        }
        4 => {
            fleet.entries[host].signal(Signal::HUP);
            format!("{name} is told to read its settings")
        }
        5..=6 => {
            let fault = link_fault(rng);
            fleet.entries[host].store.set_fault(fault);
            format!("{name} to the store: {fault:?}")
        }
        7..=8 => {
            let faults = [
                StoreFault::Busy,
                StoreFault::Silent,
                StoreFault::LosesAnswers,
                StoreFault::Slow(200),
            ];
            let fault = faults[rng.random_range(0..faults.len())];
            fleet.store.set_fault(fault);
            format!("the store: {fault:?}")
        }
        9 => {
            fleet.store.forget();
            "the store forgets its history".to_owned()
        }
        10..=11 if fleet.servers[server].up => {
            fleet.servers[server].upstream.crash();
            fleet.servers[server].up = false;
            format!("{id} crashes")
        }
        12 => {
            fleet.servers[server].upstream.set_draining(true);
            format!("{id} drains")
        }
        13..=14 => {
            let faults = [
                UpstreamFault::Hangs,
                UpstreamFault::Garbles,
                UpstreamFault::Slow(400),
                UpstreamFault::OrdersLate,
            ];
            let fault = faults[rng.random_range(0..faults.len())];
            fleet.servers[server].upstream.set_fault(fault);
            format!("{id}: {fault:?}")
        }
        15 => {
            let fault = link_fault(rng);
            fleet.servers[server].proxy.set_fault(fault);
            format!("all to {id}: {fault:?}")
        }
        16 => {
            fleet.configure();
            format!("configuration {}", fleet.version)
        }
        17 => {
            let domain = DOMAINS[rng.random_range(0..DOMAINS.len())].0;
            fleet
                .store
                .put("evacuations", domain, Value::Null, Value::Null);
            format!("{domain} is out")
        }
        _ => {
            mend(fleet, program).await;
            "all is mended".to_owned()
        }
    }
}

fn link_fault(rng: &mut SmallRng) -> LinkFault {
    let faults = [
        LinkFault::Silent,
        LinkFault::OneWay,
        LinkFault::Reset,
        LinkFault::Delay(30),
    ];
    faults[rng.random_range(0..faults.len())]
}

/// Mends everything.
pub(crate) async fn mend(fleet: &mut Fleet, program: &Path) {
    fleet.store.set_fault(StoreFault::None);
    for (domain, _) in DOMAINS {
        fleet.store.remove("evacuations", domain);
    }
    for server in &mut fleet.servers {
        server.proxy.set_fault(LinkFault::None);
        server.upstream.set_fault(UpstreamFault::None);
        if server.up {
            server.upstream.set_draining(false);
        } else if let Err(error) = server.upstream.restart().await {
            eprintln!(
                "{} cannot be started: {error}",
                server.upstream.options().id
            );
        } else {
            server.up = true;
        }
    }
    for entry in &mut fleet.entries {
        entry.store.set_fault(LinkFault::None);
        if entry.stopped {
            entry.signal(Signal::CONT);
        }
        revive(entry, program);
    }
}

/// Starts processes that have ended, as the platform does.
pub(crate) fn revive_all(fleet: &mut Fleet, program: &Path) {
    for entry in &mut fleet.entries {
        revive(entry, program);
    }
}

fn revive(entry: &mut crate::fleet::Entry, program: &Path) {
    if let Err(error) = entry.start(program) {
        eprintln!("{} cannot be started: {error}", entry.name);
    }
}
