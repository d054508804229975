//! Fault injection and recovery.

use std::path::Path;
use std::time::Duration;

use amaranthshunt_support::platform::{LinkFault, StoreFault, UpstreamFault};
use rand::Rng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use serde_json::{Value, json};

use crate::deployment::{DOMAINS, Deployment};
use crate::regions::RegionCut;

/// Names under which another program may have written an entry.
const ODD_NAMES: [&str; 6] = [
    "odd-0",
    "odd&Watch=5",
    "odd #+",
    "odd%zz",
    "odd\r\n",
    "öd?d",
];

/// Injects one random fault, or clears all of them, and returns a description.
pub(crate) async fn inject_random_fault(
    deployment: &mut Deployment,
    program: &Path,
    rng: &mut SmallRng,
) -> String {
    let host = rng.random_range(0..deployment.hosts.len());
    let server = rng.random_range(0..deployment.servers.len());
    let name = deployment.hosts[host].name.clone();
    let id = deployment.servers[server].upstream.options().id.clone();
    match rng.random_range(0..37) {
        0..=1 => {
            deployment.hosts[host].signal(Signal::KILL);
            format!("{name}: SIGKILL")
        }
        2 => {
            deployment.hosts[host].signal(Signal::TERM);
            format!("{name}: SIGTERM")
        }
        3 => {
            deployment.hosts[host].signal(Signal::STOP);
            format!("{name}: SIGSTOP")
        }
        4 => {
            deployment.hosts[host].signal(Signal::HUP);
            format!("{name}: SIGHUP")
        }
        5..=6 => {
            let fault = random_link_fault(rng);
            deployment.hosts[host].set_store_fault(fault);
            format!("link from {name} to the store: {fault:?}")
        }
        7..=8 => {
            let faults = [
                StoreFault::Unavailable,
                StoreFault::Silent,
                StoreFault::DropsWriteResponses,
                StoreFault::Slow(200),
            ];
            let fault = faults[rng.random_range(0..faults.len())];
            deployment.set_store_fault(fault);
            format!("store: {fault:?}")
        }
        9 => {
            deployment.store.drop_history();
            deployment.store_disturbances.mark();
            "store: change history dropped".to_owned()
        }
        10..=11 if deployment.servers[server].is_up => {
            deployment.servers[server].crash();
            format!("{id}: crash")
        }
        12 | 24..=26 if deployment.servers[server].is_up => {
            let (in_responses, in_store) =
                [(true, false), (true, true), (false, true)][rng.random_range(0..3)];
            let time = Duration::from_millis(rng.random_range(4_000..12_000));
            deployment.servers[server].leave(in_responses, in_store, time);
            let ways = match (in_responses, in_store) {
                (true, false) => "in its responses only",
                (false, _) => "in the store only",
                _ => "in its responses and the store",
            };
            format!(
                "{id}: leaves, says so {ways}, ends in {} ms",
                time.as_millis()
            )
        }
        27..=29 if deployment.servers[server].is_up => {
            let times = ["0.3", "1.5", "3", "6", "0", "-1", "soon"];
            let time = times[rng.random_range(0..times.len())];
            deployment.servers[server]
                .upstream
                .set_retry_after(Some(time));
            format!("{id}: turns requests away, Retry-After: {time}")
        }
        30..=31 => {
            let spec = random_odd_value(rng);
            let name = if rng.random() {
                deployment.servers[server].note_odd_entry();
                id
            } else {
                // The name may end a page of the list.
                let pages = rng.random_range(1..8);
                deployment.store.set_page_objects(pages);
                ODD_NAMES[rng.random_range(0..ODD_NAMES.len())].to_owned()
            };
            deployment.store.put("servers", &name, spec, Value::Null);
            format!("{name:?}: odd entry in the store")
        }
        13..=14 => {
            let faults = [
                UpstreamFault::Hangs,
                UpstreamFault::Garbles,
                UpstreamFault::Slow(400),
                UpstreamFault::DelaysGrants,
            ];
            let fault = faults[rng.random_range(0..faults.len())];
            deployment.servers[server].upstream.set_fault(fault);
            format!("{id}: {fault:?}")
        }
        15 => {
            let fault = random_link_fault(rng);
            deployment.servers[server].set_link_fault(fault);
            format!("links to {id}: {fault:?}")
        }
        16..=18 => {
            deployment.write_next_config();
            format!("configuration version {}", deployment.config_version)
        }
        19..=20 => {
            let limits = [0.0, 1.5, 3.0, 6.5];
            let per_second = limits[rng.random_range(0..limits.len())];
            deployment.servers[server].set_limit(Some(per_second));
            format!("{id}: limit of {per_second} requests per second")
        }
        21 => {
            deployment.hosts[host].silence_store_connections();
            format!("open connections from {name} to the store: silent")
        }
        22 => {
            let domain = DOMAINS[rng.random_range(0..DOMAINS.len())].0;
            deployment
                .store
                .put("evacuations", domain, Value::Null, Value::Null);
            format!("{domain}: evacuated")
        }
        23 => {
            let age = Duration::from_millis(rng.random_range(500..10_000));
            deployment.store.restore(age);
            deployment.store_disturbances.mark();
            format!("store: restored from a copy {} ms old", age.as_millis())
        }
        34..=36 => {
            let cut = random_region_cut(rng);
            deployment.cut_regions(cut);
            format!("regions: {cut:?}")
        }
        _ => {
            clear_faults(deployment, program).await;
            "all faults cleared".to_owned()
        }
    }
}

/// A value of an entry that another program may have written.
fn random_odd_value(rng: &mut SmallRng) -> Value {
    let nested = (0..2_000).fold(Value::Null, |inner, _| Value::Array(vec![inner]));
    let info = json!({ "Service": "orders", "Version": "v1", "Zone": "east-a", "Slots": 0 });
    let values = [
        Value::Null,
        json!({ "Address": nested }),
        json!({ "Address": "127.0.0.1:70000", "born": u64::MAX, "Info": info }),
        json!({ "Address": "127.0.0.1:0", "born": -1.5, "Info": { "Slots": u64::MAX } }),
        json!({ "Address": "x".repeat(100_000), "Info": info }),
        json!({ "Manifest": vec![0; 50_000] }),
    ];
    let number = rng.random_range(0..values.len());
    values[number].clone()
}

/// A cut of which most last longer than every lease.
fn random_region_cut(rng: &mut SmallRng) -> RegionCut {
    let fault = if rng.random() {
        LinkFault::BlocksAll
    } else {
        LinkFault::Reset
    };
    let faults = match rng.random_range(0..4) {
        0 => [fault, LinkFault::None],
        1 => [LinkFault::None, fault],
        _ => [fault, fault],
    };
    let storeless = [None, Some(0), Some(1)][rng.random_range(0..3)];
    let length = Duration::from_millis(rng.random_range(3_000..90_000));
    RegionCut::new(faults, storeless, length)
}

fn random_link_fault(rng: &mut SmallRng) -> LinkFault {
    let faults = [
        LinkFault::BlocksAll,
        LinkFault::BlocksResponses,
        LinkFault::Reset,
        LinkFault::Delay(30),
    ];
    faults[rng.random_range(0..faults.len())]
}

/// Clears all faults but a cut between the regions, resumes paused hosts and starts everything that has
/// ended.
pub(crate) async fn clear_faults(deployment: &mut Deployment, program: &Path) {
    deployment.set_store_fault(StoreFault::None);
    for (domain, _) in DOMAINS {
        deployment.store.remove("evacuations", domain);
    }
    for server in &mut deployment.servers {
        server.set_link_fault(LinkFault::None);
        server.upstream.set_fault(UpstreamFault::None);
        if let Err(error) = server.recover().await {
            eprintln!("cannot start {}: {error}", server.upstream.options().id);
        }
    }
    let storeless: Vec<bool> = deployment
        .hosts
        .iter()
        .map(|host| deployment.is_storeless(host))
        .collect();
    for (process, is_storeless) in deployment.hosts.iter_mut().zip(storeless) {
        if !is_storeless {
            process.set_store_fault(LinkFault::None);
        }
        if process.is_paused {
            process.signal(Signal::CONT);
        }
        restart_if_ended(process, program);
    }
}

/// Starts host processes that have ended, as the platform would.
pub(crate) fn restart_ended_hosts(deployment: &mut Deployment, program: &Path) {
    for process in &mut deployment.hosts {
        restart_if_ended(process, program);
    }
}

fn restart_if_ended(process: &mut crate::deployment::HostProcess, program: &Path) {
    if let Err(error) = process.start(program) {
        eprintln!("cannot start {}: {error}", process.name);
    }
}
