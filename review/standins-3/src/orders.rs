//! An upstream answers one grant twice. The second answer arrives late, where the answer to a release of the same
//! upstream's keys is expected.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::site::{Record, Site, config, send};
use crate::upstream::{Extra, Upstream};

/// Work of the requests that run while the keys move; the slowest of the site's reads take 720 ms.
const WORK_MS: u64 = 700;
/// Time by which work has to outlast a grant of its key to another upstream to count.
const MARGIN: Duration = Duration::from_millis(50);

pub fn run(record: &Record, trouble: bool) -> Outcome {
    let configuration = config(1, 3_000, &[("catalogue", "safe", "/read/", true)]);
    let mut site = Site::new(record, 3, &configuration);
    let zones = ["mvd-a", "lit-a", "est-a"];
    let upstreams: Vec<Arc<Upstream>> = (0..3)
        .map(|index| {
            let id = format!("cat-{index}");
            let zone = zones[index];
            Upstream::start(&id, "catalogue", zone, true, 16, &site.store, record)
        })
        .collect();
    site.start_hosts();
    if !site.wait_ready() {
        return Outcome::NotRun("the hosts did not become ready".to_owned());
    }
    let callers: Vec<_> = site.hosts.iter().map(|host| host.callers).collect();
    let ask = |number: usize, key: u16, work: u64, record: &Record| {
        let id = format!("r{number}-{key}");
        let headers = [
            ("Request-Id", id.as_str()),
            ("Request-Deadline-Ms", "3000"),
            ("Shard-Key", &key.to_string()),
        ];
        let target = format!("/read/w{work}/x");
        let limit = Duration::from_secs(4);
        let answer = send(callers[number % 3], "GET", &target, &headers, b"", limit);
        let text = match &answer {
            Ok(answer) => answer.status.to_string(),
            Err(error) => error.clone(),
        };
        record.add(format!("client: {id} ({work} ms of work): {text}"));
        answer.is_ok_and(|answer| answer.status == 200)
    };
    let end = Instant::now() + Duration::from_secs(25);
    let keys: Vec<u16> = (0..16).map(|part| part * 4_096 + 100).collect();
    while !keys.iter().all(|key| ask(0, *key, 5, record)) {
        if Instant::now() > end {
            return Outcome::NotRun("not all keys were served".to_owned());
        }
        thread::sleep(Duration::from_millis(300));
    }
    // Ordinary traffic, of which a small part of the answers is spoiled.
    for number in 0..240 {
        ask(number, keys[number % keys.len()], 5, record);
    }
    let leaving = &upstreams[0];
    let step = |index: u16| index * 1_024 + 50;
    let held: Vec<u16> = (0..64)
        .map(step)
        .filter(|key| leaving.holds(*key))
        .collect();
    if held.len() < 6 {
        return Outcome::NotRun("the upstream holds too few keys".to_owned());
    }
    let chosen: Vec<u16> = (0..9)
        .map(|part| held[part * (held.len() - 1) / 8])
        .collect();
    if trouble {
        leaving.set_extra(Extra::BeforeRelease);
    }
    thread::scope(|scope| {
        for (index, key) in chosen.iter().enumerate() {
            let ask = &ask;
            scope.spawn(move || ask(1_000 + index, *key, WORK_MS, record));
        }
        thread::sleep(Duration::from_millis(100));
        // Planned work: the upstream is emptied and taken away.
        leaving.set_state("draining");
    });
    thread::sleep(Duration::from_secs(4));
    if trouble && leaving.extra() != Extra::Sent {
        return Outcome::NotRun("no release came on a connection with a grant".to_owned());
    }
    let answers: u64 = upstreams.iter().map(|upstream| upstream.answers()).sum();
    let own = leaving.answers();
    record.add(format!(
        "second answers: {}, of {own} answers of {} and {answers} of all upstreams",
        u8::from(leaving.extra() == Extra::Sent),
        leaving.id
    ));
    judge(record, leaving, &upstreams[1..])
}

/// OWNER: an upstream is given a key on which another is still at work, before that one's hold would have run out.
fn judge(record: &Record, leaving: &Upstream, others: &[Arc<Upstream>]) -> Outcome {
    let mut broken = false;
    let (work, releases) = (leaving.work(), leaving.releases());
    for other in others {
        for grant in other.grants() {
            for work in &work {
                let Some(key) = work
                    .key
                    .filter(|key| grant.from <= *key && *key <= grant.to)
                else {
                    continue;
                };
                let at_work = work.began < grant.at
                    && work.ended.is_none_or(|ended| ended > grant.at + MARGIN);
                let release = releases.iter().rfind(|release| {
                    release.at <= grant.at && release.from <= key && key <= release.to
                });
                let until = release.and_then(|release| release.until);
                let had_run_out = until.is_some_and(|until| until <= grant.at);
                if at_work && !had_run_out {
                    broken = true;
                    let left = until.map(|until| until - grant.at);
                    record.add(format!(
                        "BROKEN: {} was granted {}-{} with fence {} at {} ms, while {} was at work on {} with key {key} until {:?} ms; its hold would have lasted {left:?} longer",
                        other.id,
                        grant.from,
                        grant.to,
                        grant.fence,
                        record.ms(grant.at),
                        leaving.id,
                        work.request,
                        work.ended.map(|ended| record.ms(ended)),
                    ));
                }
            }
        }
    }
    if broken {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
