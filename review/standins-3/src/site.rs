//! A small deployment: hosts as processes, the store of the project's stand-ins, and clients.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{FakeObjectStore, FaultProxy};
use serde_json::{Value, json};

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn add(&self, line: impl Into<String>) {
        self.at(Instant::now(), line);
    }

    pub fn at(&self, at: Instant, line: impl Into<String>) {
        let at = at.saturating_duration_since(self.start);
        self.lines.lock().unwrap().push((at, line.into()));
    }

    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    pub fn write(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        std::fs::write(path, text).expect("cannot write the record");
    }
}

/// One host process with its settings file.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    /// Its way to the store.
    pub store: FaultProxy,
    settings: PathBuf,
    child: Option<Child>,
}

impl Host {
    pub fn start(&mut self) {
        // The command and the variable of deploy/system.toml.
        let child = Command::new("target/release/amaranthshunt")
            .arg("front")
            .env("AMARANTHSHUNT_CONFIG", &self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("cannot start a host");
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Hosts and their store.
pub struct Site {
    pub record: Record,
    pub store: FakeObjectStore,
    pub hosts: Vec<Host>,
    folder: PathBuf,
}

impl Site {
    /// Prepares `count` hosts, each in a failure domain of its own, and starts the store.
    pub fn new(record: &Record, count: usize, config: &Value) -> Self {
        let store = async_std::task::block_on(FakeObjectStore::start(free_address()));
        let store = store.expect("cannot start the store");
        store.put("config", "main", config.clone(), Value::Null);
        let folder = std::env::temp_dir().join(format!("review-3-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("cannot create a folder");
        let zones = ["mvd-a", "lit-a", "est-a"];
        let mut hosts = Vec::new();
        for index in 0..count {
            let (callers, ready, peers) = (free_address(), free_address(), free_address());
            let way = async_std::task::block_on(FaultProxy::start(free_address(), store.address()));
            let way = way.expect("cannot start a proxy");
            let name = format!("front-{}-{index}", zones[index % 3]);
            let text = format!(
                r#"Node = "{name}"
Role = "front"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "montevideo"
InternalPorts = [{port}, {port}]
Seeds = []
FirstStart = true
Discovery = "platform"
HeartbeatMs = 870
Contracts = ["base","drain","config","cost","retry","recover","own","places","platform"]
Bounds = ["SeedLagS=3","ReuseAfterS=2","ContactMs=4000","AckMs=4000","CatchUpS=4","DrainMs=2500","GraceS=6","LossSlackMs=200","ConfigApplyMs=2500","RollbackSlackMs=250","MaxStretchMs=5000","RetryBudgetRatio=0.2","BudgetWindowS=10","BudgetSlack=58","WarmupOvershoot=1.5","WarmupSlack=5","EvacuateMs=5000","RecoveryS=15","MaxHoldMs=10000","ThawSlackMs=300"]
Grants = "call"
[Zones]
mvd-a = "montevideo"
lit-a = "montevideo"
est-a = "montevideo"
[Listen]
Front = "{callers}"
Ready = "{ready}"
[Limits]
CpuShare = 0.2
Cores = 1
MemoryMb = 260
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 2
Zones = 1
Regions = 1
[Platform]
Address = "{store}"
form = "objects"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
MinTtlMs = 1000
"#,
                ip = peers.ip(),
                port = peers.port(),
                zone = zones[index % 3],
                store = way.address(),
            );
            let settings = folder.join(format!("settings-{index}.toml"));
            std::fs::write(&settings, text).expect("cannot write settings");
            hosts.push(Host {
                name,
                callers,
                ready,
                store: way,
                settings,
                child: None,
            });
        }
        Self {
            record: record.clone(),
            store,
            hosts,
            folder,
        }
    }

    pub fn start_hosts(&mut self) {
        for host in &mut self.hosts {
            host.start();
            self.record.add(format!("host {} starts", host.name));
        }
    }

    /// Waits until all hosts say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let is_ready = |host: &Host| {
                let answer = send(
                    host.ready,
                    "GET",
                    "/ready",
                    &[],
                    b"",
                    Duration::from_secs(1),
                );
                answer.is_ok_and(|answer| answer.status == 200)
            };
            if self.hosts.iter().all(is_ready) {
                self.record.add("all hosts are ready");
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A configuration with one route for each of the given services: name, kind, prefix, whether it is sharded.
pub fn config(version: u64, timeout_ms: u64, services: &[(&str, &str, &str, bool)]) -> Value {
    let mut routes = serde_json::Map::new();
    let mut list = serde_json::Map::new();
    for (name, kind, prefix, sharded) in services {
        routes.insert(
            format!("r-{name}"),
            json!({
                "Host": "shop.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
                "TargetLatencyMs": 600, "Priority": 1, "Service": name, "MaxAttempts": 2, "AllowedRegions": [],
            }),
        );
        list.insert(
            (*name).to_owned(),
            json!({
                "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false, "WarmupS": 3.0,
                "WarmupPerS": 9.9, "Sharded": sharded, "WarmS": 5.0, "Grants": "call",
            }),
        );
    }
    json!({
        "Version": format!("r{version}"), "Routes": routes, "Services": list,
        "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 67_108_864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 },
    })
}

/// An answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
}

/// Sends one request on a new connection and reads its answer.
pub fn send(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> Result<Answer, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).map_err(text)?;
    stream.set_read_timeout(Some(limit)).map_err(text)?;
    stream.set_nodelay(true).map_err(text)?;
    let mut request = format!("{method} {target} HTTP/1.1\r\nHost: shop.example\r\n");
    for (name, value) in headers {
        let _ = write!(request, "{name}: {value}\r\n");
    }
    if method != "GET" {
        let _ = write!(request, "Content-Length: {}\r\n", body.len());
    }
    request.push_str("\r\n");
    stream.write_all(request.as_bytes()).map_err(text)?;
    stream.write_all(body).map_err(text)?;
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let length: usize = header(&head, "content-length")
                .and_then(|text| text.parse().ok())
                .unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let status = head.split(' ').nth(1).and_then(|text| text.parse().ok());
                return Ok(Answer {
                    status: status.ok_or("no status")?,
                });
            }
        }
        let count = stream.read(&mut piece).map_err(text)?;
        if count == 0 {
            return Err("closed without a complete answer".to_owned());
        }
        bytes.extend_from_slice(&piece[..count]);
    }
}

/// The value of a header in a head.
pub fn header(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (found, value) = line.split_once(':')?;
        found
            .eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
