//! OWNER: two regions lose each other, and two leaders give the same keys to two upstreams.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use crate::host::Host;
use crate::link::Link;
use crate::upstream::lock;

const WORK_MS: u64 = 30;
/// Time for which the two regions do not reach each other.
const CUT: Duration = Duration::from_secs(60);
/// Pause between two requests of a client.
const PAUSE: Duration = Duration::from_millis(150);
/// A key of each upstream.
const KEYS: [u16; 2] = [10_000, 50_000];

pub fn run(site: &Site) -> Result<bool, String> {
    let processes = Arc::default();
    let link_to = |address: SocketAddr| Link::start(address, &processes);
    // One upstream in este, the other one in montevideo, with the store.
    let to_upstream = RefCell::new(None);
    let in_este = site.upstream_behind("catalogue", "i-este", "est-a", |address| {
        let link = link_to(address);
        let registered = link.address;
        to_upstream.replace(Some(link));
        registered
    });
    let to_upstream = to_upstream.take().ok_or("no link")?;
    let in_montevideo = site.upstream("catalogue", "i-montevideo", "mvd-a");
    let mut este = site.host("front-este", 2);
    let mut montevideo = site.host("front-montevideo", 0);
    let mut litoral = site.host("front-litoral", 1);
    // The hosts in este and in litoral reach each other through links.
    let (to_este, to_litoral) = (link_to(este.peers), link_to(litoral.peers));
    let translation =
        |address: SocketAddr, link: &Link| vec![(address.to_string(), link.address.to_string())];
    este.set_store(site.store.serve(translation(litoral.peers, &to_litoral)));
    litoral.set_store(site.store.serve(translation(este.peers, &to_este)));
    // A link waits for the list, so that it knows the process of each connection.
    let start = |host: &mut Host, first_start: bool| {
        let mut processes = lock(&processes);
        host.start(first_start);
        processes.push(host.process());
    };
    start(&mut este, true);
    if !este.wait_until_serving(&site.read(KEYS[0], 20), Duration::from_secs(20)) {
        return Err("the host in este does not serve".to_owned());
    }
    start(&mut montevideo, false);
    if !montevideo.wait_until_serving(&site.read(KEYS[1], 20), Duration::from_secs(20)) {
        return Err("the host in montevideo does not serve".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    // A host is added in litoral.
    start(&mut litoral, false);
    for key in KEYS {
        if !litoral.wait_until_serving(&site.read(key, 20), Duration::from_secs(20)) {
            return Err(format!("the host in litoral does not serve key {key}"));
        }
    }
    let Some(este_key) = KEYS.into_iter().find(|key| {
        let runs = &lock(&site.ledger).runs;
        runs.iter()
            .any(|run| run.key == Some(*key) && run.server == "i-este")
    }) else {
        return Err("i-este holds none of the keys".to_owned());
    };
    thread::sleep(Duration::from_secs(3));
    let leader_before = leader(site);
    if leader_before != "front-este" {
        return Err(format!("{leader_before} leads, not the host in este"));
    }

    site.record
        .line("from here on clients read both keys at all hosts");
    let end = Instant::now() + Duration::from_secs(2) + CUT;
    thread::scope(|scope| {
        for host in [&este, &litoral, &montevideo] {
            let (address, name) = (host.front, host.name.clone());
            scope.spawn(move || {
                for key in KEYS.into_iter().cycle() {
                    if Instant::now() >= end {
                        break;
                    }
                    let call = site.read(key, WORK_MS);
                    site.note("client", &name, &call, &call.send(address));
                    thread::sleep(PAUSE);
                }
            });
        }
        thread::sleep(Duration::from_secs(2));
        if site.with_trouble {
            site.record.tell("este and litoral lose each other");
            to_este.cut(litoral.process());
            to_upstream.cut(litoral.process());
            to_litoral.cut(este.process());
        }
        while Instant::now() < end {
            thread::sleep(Duration::from_millis(50));
        }
    });
    for host in [&este, &litoral, &montevideo] {
        for line in host.log_lines(&["E1301", "E160"]) {
            site.record.line(format!("log of {}: {line}", host.name));
        }
    }
    site.record.tell(format!(
        "the record in the store names {} as the leader",
        leader(site)
    ));

    let ledger = lock(&site.ledger);
    let servers = [in_este.id(), in_montevideo.id()];
    let servers = [servers[0].as_str(), servers[1].as_str()];
    let mut broken = false;
    for time in ledger.double_holds(servers, este_key) {
        let length = time.1.duration_since(time.0);
        let runs = servers.map(|server| ledger.runs_within(server, este_key, time).len());
        site.record.tell(format!(
            "i-este and i-montevideo both hold key {este_key} from {:.3} to {:.3} s, {} ms; in this time \
             they begin {} and {} requests on it",
            site.record.seconds(time.0),
            site.record.seconds(time.1),
            length.as_millis(),
            runs[0],
            runs[1]
        ));
        let both_run = runs.iter().all(|count| *count > 0);
        broken |= both_run || length > Duration::from_millis(500);
    }
    Ok(!broken)
}

/// The leader that the system's own record in the store names.
fn leader(site: &Site) -> String {
    let record = site.store.get("placements", "main").unwrap_or_default();
    record["Spec"]["holder"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}
