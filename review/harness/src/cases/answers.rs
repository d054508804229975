//! Upstreams hand out wrong bytes of many kinds; looks for MIXED, TWICE and REFUSED. `SEED` sets the seed.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use super::Site;
use super::chaos::Dice;
use crate::http::{Message, Wire};
use crate::upstream::lock;

type Runs = Arc<Mutex<BTreeMap<String, usize>>>;

fn body_of(id: &str) -> String {
    format!("<{}>", format!("{id}.").repeat(40))
}

/// What an upstream sends, and whether the connection stays usable.
fn spoil(dice: &mut Dice, id: &str, earlier: Option<&Vec<u8>>, good: &Message) -> (Vec<u8>, bool) {
    let whole = good.to_bytes();
    let body = String::from_utf8_lossy(&good.body).into_owned();
    let head =
        format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nUpstream-Signature: signed.{id}\r\n");
    match dice.roll(16) {
        0 => (whole[..whole.len() - 1 - dice.roll(60) as usize].to_vec(), false),
        1 => (b"\x00\xffgarbage without sense\r\n\r\n".to_vec(), false),
        2 => {
            let mut bytes = whole.clone();
            bytes.extend_from_slice(&whole);
            (bytes, true)
        }
        3 => {
            let mut bytes = earlier.cloned().unwrap_or_default();
            bytes.extend_from_slice(&whole);
            (bytes, true)
        }
        4 => {
            let chunks = format!("{:x}\r\n{}\r\n{:x};x=y\r\n{}\r\n0\r\nTrailer: x\r\n\r\n",
                10, &body[..10], body.len() - 10, &body[10..]);
            (format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes(), true)
        }
        5 => {
            let chunks = format!("{:x}\r\n{}\r\n", body.len() / 2, &body[..body.len() / 2]);
            (format!("{head}Transfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes(), false)
        }
        6 => (format!("{head}\r\n{body}").into_bytes(), false),
        7 => {
            let mut bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".to_vec();
            bytes.extend_from_slice(&whole);
            (bytes, true)
        }
        8 => (format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes(), true),
        9 => (format!("{head}Content-Encoding: gzip\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes(), true),
        10 => {
            let text = String::from_utf8_lossy(&whole).replace(id, "other-id");
            (text.into_bytes(), true)
        }
        11 => (format!("HTTP/1.1 503 No\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n").into_bytes(), true),
        12 => (format!("HTTP/1.1 429 No\r\nRequest-Id: {id}\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n").into_bytes(), true),
        13 => (b"HTTP/1.1 503 No\r\nRequest-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_vec(), false),
        14 => (format!("{head}Content-Length: 9\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes(), false),
        _ => (format!("{head}Content-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n{body}", body.len()).into_bytes(), false),
    }
}

fn serve(stream: TcpStream, runs: &Runs, seed: u64) {
    let mut dice = Dice::new(seed);
    let mut wire = Wire::new(stream);
    let mut earlier: Option<Vec<u8>> = None;
    while let Ok(Some(request)) = wire.read() {
        let id = request.header("Request-Id").unwrap_or_default().to_owned();
        *lock(runs).entry(id.clone()).or_default() += 1;
        thread::sleep(Duration::from_millis(5 + dice.roll(20)));
        let good = Message::response(200)
            .with("Request-Id", id.clone())
            .with("Upstream-Signature", format!("signed.{id}"))
            .with("Keep-Alive", "timeout=10")
            .with_body(body_of(&id));
        let (bytes, stays) = if dice.roll(4) == 0 {
            spoil(&mut dice, &id, earlier.as_ref(), &good)
        } else {
            (good.to_bytes(), true)
        };
        earlier = Some(good.to_bytes());
        // Sometimes in two parts, with a pause.
        let middle = if dice.roll(4) == 0 {
            bytes.len() / 2
        } else {
            bytes.len()
        };
        if wire.stream.write_all(&bytes[..middle]).is_err() {
            return;
        }
        if middle < bytes.len() {
            thread::sleep(Duration::from_millis(15));
            if wire.stream.write_all(&bytes[middle..]).is_err() {
                return;
            }
        }
        if !stays {
            return;
        }
    }
}

pub fn run(site: &Site) -> Result<bool, String> {
    let seed: u64 = std::env::var("SEED").map_or(1, |text| text.parse().unwrap_or(1));
    let runs = Runs::default();
    for number in 0..6_u64 {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let runs = runs.clone();
        thread::spawn(move || {
            for (count, stream) in listener.incoming().flatten().enumerate() {
                let runs = runs.clone();
                thread::spawn(move || {
                    serve(stream, &runs, seed * 1_000 + number * 97 + count as u64)
                });
            }
        });
        let spec = json!({
            "Address": address.to_string(), "born": 1,
            "Info": { "Service": "orders", "Version": "v1", "Zone": "mvd-a", "Slots": 8 },
        });
        let status = json!({ "State": "ready", "Sequence": 1, "WarmupLeftMs": 0 });
        site.store
            .put("servers", &format!("i-{number}"), spec, status);
    }
    let mut config = super::config();
    config["Routes"]["look"] = config["Routes"]["order"].clone();
    config["Routes"]["look"]["PathPrefix"] = json!("/look/");
    config["Routes"]["look"]["Kind"] = json!("safe");
    config["Version"] = json!("r2");
    site.store
        .put("config", "main", config, serde_json::Value::Null);
    let mut host = site.host("front-0", 0);
    host.start(true);
    thread::sleep(Duration::from_secs(3));
    let front: SocketAddr = host.front;
    let end = Instant::now() + Duration::from_secs(60);
    let broken = Mutex::new(Vec::new());
    let statuses = Mutex::new(BTreeMap::new());
    thread::scope(|scope| {
        for client in 0..24_u64 {
            let (broken, statuses, runs) = (&broken, &statuses, &runs);
            scope.spawn(move || {
                let mut dice = Dice::new(seed * 31 + client + 5);
                let mut kept: Option<Wire> = None;
                while Instant::now() < end {
                    let mut wire = match kept.take() {
                        Some(wire) => wire,
                        None => match TcpStream::connect(front) {
                            Ok(stream) => Wire::new(stream),
                            Err(_) => continue,
                        },
                    };
                    let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(4)));
                    let is_safe = dice.roll(2) == 0;
                    let mut call = site.order("x", 10);
                    if is_safe {
                        call.path = "/look/x".to_owned();
                    }
                    call.deadline = Duration::from_millis(3_000);
                    if wire.write(&call.message()).is_err() {
                        continue;
                    }
                    let Ok(Some(response)) = wire.read() else {
                        *lock(statuses).entry(0).or_insert(0) += 1;
                        continue;
                    };
                    let status = response.status();
                    *lock(statuses).entry(status).or_insert(0) += 1;
                    let count = lock(runs).get(&call.id).copied().unwrap_or(0);
                    let is_right = response.header("Request-Id") == Some(call.id.as_str())
                        && response.header("Upstream-Signature")
                            == Some(format!("signed.{}", call.id).as_str())
                        && response.body == body_of(&call.id).as_bytes()
                        && response.header("Content-Encoding").is_none();
                    if (200..300).contains(&status) && !is_right {
                        lock(broken).push(format!("MIXED {}: {response:?}", call.id));
                    }
                    if !is_safe && count > 1 {
                        lock(broken).push(format!("TWICE {}", call.id));
                    }
                    if !is_safe && matches!(status, 408 | 421 | 429 | 503) && count > 0 {
                        lock(broken).push(format!("REFUSED {} {status}", call.id));
                    }
                    // Nothing may follow a response.
                    let _ = wire
                        .stream
                        .set_read_timeout(Some(Duration::from_millis(10)));
                    let mut byte = [0];
                    if let Ok(1) = wire.stream.read(&mut byte) {
                        lock(broken).push(format!("MIXED surplus byte after {}", call.id));
                        continue;
                    }
                    if response.header("Connection") != Some("close") {
                        kept = Some(wire);
                    }
                }
            });
        }
    });
    site.record.tell(format!("statuses: {:?}", lock(&statuses)));
    let broken = lock(&broken);
    broken
        .iter()
        .take(10)
        .for_each(|text| site.record.tell(text));
    Ok(broken.is_empty())
}
