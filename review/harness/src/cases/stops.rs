//! Hosts are stopped in turn while clients use kept connections; looks for LOST. `SEED` sets the seed.

use std::collections::BTreeSet;
use std::net::TcpStream;
use std::process::Command;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::Site;
use super::chaos::Dice;
use crate::http::Wire;
use crate::upstream::lock;

pub fn run(site: &Site) -> Result<bool, String> {
    let seed: u64 = std::env::var("SEED").map_or(1, |text| text.parse().unwrap_or(1));
    let _upstreams: Vec<_> = (0..4)
        .map(|number| site.upstream("orders", &format!("i-{number}"), "mvd-a"))
        .collect();
    let mut hosts: Vec<_> = (0..3)
        .map(|number| site.host(&format!("front-{number}"), 0))
        .collect();
    for host in &mut hosts {
        host.start(true);
    }
    for host in &hosts {
        if !host.wait_until_serving(&site.order("first", 20), Duration::from_secs(20)) {
            return Err("not serving".to_owned());
        }
    }
    let fronts: Vec<_> = hosts.iter().map(|host| host.front).collect();
    let cut = Mutex::new(Vec::new());
    let end = Instant::now() + Duration::from_secs(90);
    // Hosts that the platform sends no new connections to.
    let out: Vec<AtomicBool> = hosts.iter().map(|_| AtomicBool::new(false)).collect();
    thread::scope(|scope| {
        for client in 0..20_usize {
            let (fronts, cut, out) = (&fronts, &cut, &out);
            scope.spawn(move || {
                let mut dice = Dice::new(seed * 31 + client as u64 + 5);
                while Instant::now() < end {
                    let host = dice.roll(fronts.len() as u64) as usize;
                    if out[host].load(Ordering::SeqCst) {
                        thread::sleep(Duration::from_millis(20));
                        continue;
                    }
                    let Ok(stream) = TcpStream::connect(fronts[host]) else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                    let mut wire = Wire::new(stream);
                    while Instant::now() < end {
                        let mut call =
                            site.order("x", 10 + dice.roll(if client < 8 { 1_500 } else { 150 }));
                        call.deadline = Duration::from_millis(4_000);
                        let sent = Instant::now();
                        if wire.write(&call.message()).is_err() {
                            break;
                        }
                        match wire.read() {
                            Ok(Some(response)) => {
                                let closes = response.header("Connection") == Some("close");
                                if response.status() != 200 {
                                    site.record.line_at(
                                        sent,
                                        format!("{} {} front-{host}", call.id, response.status()),
                                    );
                                }
                                if closes {
                                    break;
                                }
                            }
                            _ => {
                                site.record.line_at(
                                    sent,
                                    format!(
                                        "{} is cut by front-{host} after {} ms",
                                        call.id,
                                        sent.elapsed().as_millis()
                                    ),
                                );
                                lock(cut).push(call.id.clone());
                                break;
                            }
                        }
                        thread::sleep(Duration::from_millis(dice.roll(80)));
                    }
                }
            });
        }
        let mut turn = 0;
        while Instant::now() + Duration::from_secs(10) < end {
            thread::sleep(Duration::from_millis(1_500));
            let host = turn % hosts.len();
            turn += 1;
            site.record.line(format!("front-{host} gets SIGTERM"));
            let process = hosts[host].process().to_string();
            let _ = Command::new("kill").args(["-TERM", &process]).status();
            let stopped = Instant::now();
            thread::sleep(Duration::from_millis(2_000));
            out[host].store(true, Ordering::SeqCst);
            while stopped.elapsed() < Duration::from_secs(6) && hosts[host].is_running() {
                thread::sleep(Duration::from_millis(10));
            }
            site.record.line(format!(
                "front-{host} has ended after {} ms",
                stopped.elapsed().as_millis()
            ));
            hosts[host].kill();
            hosts[host].start(false);
            hosts[host].wait_until_serving(&site.order("first", 20), Duration::from_secs(20));
            out[host].store(false, Ordering::SeqCst);
        }
    });
    let ledger = lock(&site.ledger);
    let arrived: BTreeSet<&str> = ledger.arrivals.iter().map(|(id, ..)| id.as_str()).collect();
    let cut = lock(&cut);
    let lost: Vec<&String> = cut
        .iter()
        .filter(|id| arrived.contains(id.as_str()))
        .collect();
    site.record.tell(format!(
        "{} requests, {} cut, of which these had been passed on: {lost:?}",
        arrived.len(),
        cut.len()
    ));
    Ok(lost.is_empty())
}
