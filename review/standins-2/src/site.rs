//! A small deployment: the store, the hosts as processes, and what callers send.

use std::io::{BufRead, BufReader};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

use crate::http::{Connection, Head};
use crate::record::Record;
use crate::store::Store;

pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

pub fn ip(last: u8) -> IpAddr {
    IpAddr::from(Ipv4Addr::new(127, 0, 0, last))
}

/// One entry host: `amaranthshunt front`.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    /// The text of the settings file, for the first start.
    text: String,
    has_started: bool,
    /// Keeps the ports until the first start.
    reserved: Vec<TcpListener>,
    child: Option<Child>,
}

impl Host {
    pub fn new(folder: &std::path::Path, index: usize, store: SocketAddr, memory_mb: u32) -> Self {
        // Each host has an address of its own, so that ports cannot meet.
        let ip = ip(11 + index as u8);
        let reserved: Vec<TcpListener> = (0..3)
            .map(|_| TcpListener::bind((ip, 0)).expect("a free port"))
            .collect();
        let address = |index: usize| reserved[index].local_addr().unwrap();
        let (front, ready, internal) = (address(0), address(1), address(2));
        let zone = ZONES[index % ZONES.len()];
        let name = format!("front-{zone}-{}", index / ZONES.len() + 1);
        let port = internal.port();
        let zones: String = ZONES
            .iter()
            .map(|zone| format!("{zone} = \"region-1\"\n"))
            .collect();
        let text = format!(
            r#"Node = "{name}"
Role = "front"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "region-1"
InternalPorts = [{port}, {port}]
Seeds = []
FirstStart = true
ToleranceCounted = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 870
Contracts = ["base","drain","config","cost","retry","recover","own","places","platform"]
Bounds = ["SeedLagS=3","ReuseAfterS=2","ContactMs=4000","AckMs=4000","CatchUpS=4","DrainMs=2500","GraceS=6","LossSlackMs=200","ConfigApplyMs=2500","RollbackSlackMs=250","MaxStretchMs=5000","RetryBudgetRatio=0.2","BudgetWindowS=10","BudgetSlack=58","WarmupOvershoot=1.5","WarmupSlack=5","EvacuateMs=5000","RecoveryS=15","MaxHoldMs=10000","ThawSlackMs=300"]
Grants = "call"
[Zones]
{zones}
[Listen]
Front = "{front}"
Ready = "{ready}"
[Limits]
CpuShare = 0.2
Cores = 1
MemoryMb = {memory_mb}
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
"#
        );
        let settings = folder.join(format!("{name}.toml"));
        Self {
            name,
            front,
            ready,
            settings,
            text,
            has_started: false,
            reserved,
            child: None,
        }
    }

    /// Starts the process with the command of the deploy file; its log lines of level `WARN` and the
    /// changes of the leader go into the record.
    pub fn start(&mut self, record: &Record) {
        let text = if std::mem::replace(&mut self.has_started, true) {
            self.text.replace("FirstStart = true", "FirstStart = false")
        } else {
            self.text.clone()
        };
        std::fs::write(&self.settings, text).expect("the settings file");
        self.reserved.clear();
        let program =
            std::env::var("AMARANTHSHUNT").unwrap_or("target/release/amaranthshunt".into());
        let mut child = Command::new(program)
            .arg("front")
            .env_clear()
            .env("PATH", "/usr/bin:/bin")
            .env("AMARANTHSHUNT_CONFIG", &self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("amaranthshunt front");
        let _ = std::fs::write(self.settings.with_extension("pid"), child.id().to_string());
        let output = BufReader::new(child.stdout.take().unwrap());
        let record = record.clone();
        thread::spawn(move || {
            for line in output.lines().map_while(Result::ok) {
                if line.len() < 2000 && std::env::var("HOST_LOGS").is_ok() {
                    record.add(format!("log {line}"));
                }
            }
        });
        self.child = Some(child);
    }

    /// The identifier of the process while it has not been waited for.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Sets whether the settings of the next start say that it is the first one of the whole system.
    pub fn set_first_start(&mut self, is_first: bool) {
        self.has_started = !is_first;
    }

    /// Stops the process with SIGTERM, and kills it after `grace`.
    pub fn stop(&mut self, grace: Duration) {
        if let Some(child) = &self.child {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-TERM", &pid]).status();
        }
        let end = Instant::now() + grace;
        while Instant::now() < end && self.has_ended().is_none() {
            thread::sleep(Duration::from_millis(20));
        }
        self.kill();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = std::fs::remove_file(self.settings.with_extension("pid"));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut connection = Connection::open(self.ready, Duration::from_secs(1)).ok()?;
            connection
                .write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                .ok()?;
            Some(connection.read_head().ok()??.status() == 200)
        };
        ask().unwrap_or(false)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A route of the configuration.
pub fn route(prefix: &str, kind: &str, service: &str, timeout_ms: u32) -> Value {
    json!({
        "Host": "shop.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms, "TargetLatencyMs": 500,
        "Priority": 1, "Service": service, "MaxAttempts": 2, "AllowedRegions": [],
    })
}

pub fn service(sharded: bool) -> Value {
    json!({
        "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": false, "WarmupS": 3.0,
        "WarmupPerS": 9.9, "Sharded": sharded, "WarmS": 5.0, "Grants": "call",
    })
}

pub fn configure(store: &Store, version: u32, routes: Value, services: Value) {
    let spec = json!({
        "Version": format!("r{version}"), "Routes": routes, "Services": services,
        "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 },
    });
    store.put("config", "main", spec, Value::Null);
}

/// Waits until a condition is met.
pub fn wait_until(
    limit: Duration,
    what: &str,
    mut is_met: impl FnMut() -> bool,
) -> Result<(), String> {
    let end = Instant::now() + limit;
    while !is_met() {
        if Instant::now() > end {
            return Err(format!("not within {} s: {what}", limit.as_secs()));
        }
        thread::sleep(Duration::from_millis(50));
    }
    Ok(())
}

/// An answer as a caller sees it.
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends a request on a connection; an error means that no complete answer came.
pub fn ask(connection: &mut Connection, head: &str, body: &[u8]) -> std::io::Result<Answer> {
    connection.write(head.as_bytes())?;
    connection.write(body)?;
    let head = connection
        .read_head()?
        .ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let body = connection.read_body(head.length().unwrap_or(0))?;
    Ok(Answer { head, body })
}

/// The head of a caller's request.
pub fn request_head(
    method: &str,
    path: &str,
    id: &str,
    deadline_ms: u32,
    key: Option<u16>,
    length: usize,
) -> String {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: {id}\r\nRequest-Deadline-Ms: {deadline_ms}\r\n"
    );
    if let Some(key) = key {
        head.push_str(&format!("Shard-Key: {key}\r\n"));
    }
    if method != "GET" {
        head.push_str(&format!("Content-Length: {length}\r\n"));
    }
    head.push_str("\r\n");
    head
}
