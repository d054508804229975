//! Entry hosts: the project's own program, one process each.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::client::Call;
use crate::upstream::lock;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/amaranthshunt";
/// Memory of a machine, in MB.
pub const MEMORY_MB: u64 = 260;

/// The processes that this one has started.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all processes that were started.
pub fn end_all() {
    for child in lock(&STARTED).drain(..) {
        end(&child);
    }
}

fn end(child: &Mutex<Child>) {
    let mut child = lock(child);
    let _ = child.kill();
    let _ = child.wait();
}

/// The zones of the deployment and their regions.
pub const ZONES: [(&str, &str); 3] = [
    ("mvd-a", "montevideo"),
    ("lit-a", "litoral"),
    ("est-a", "este"),
];

/// An entry host.
pub struct Host {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// The address at which other hosts reach it.
    pub peers: SocketAddr,
    zone: usize,
    store: SocketAddr,
    folder: PathBuf,
    child: Option<Arc<Mutex<Child>>>,
}

impl Host {
    /// Prepares a host that reads the store at an address; it is not started yet.
    pub fn new(folder: &Path, name: &str, zone: usize, store: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            front: free_address(),
            ready: free_address(),
            peers: free_address(),
            zone,
            store,
            folder: folder.join(name),
            child: None,
        }
    }

    /// Sets where the host reads the store.
    pub fn set_store(&mut self, store: SocketAddr) {
        self.store = store;
    }

    /// Starts the process. Its log goes to a file.
    pub fn start(&mut self, first_start: bool) {
        fs::create_dir_all(&self.folder).expect("a folder");
        let path = self.folder.join("settings.toml");
        fs::write(&path, self.settings(first_start)).expect("settings");
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.log_path())
            .expect("a log");
        let mut command = Command::new(PROGRAM);
        command
            .arg("front")
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .env("AMARANTHSHUNT_CONFIG", path)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null());
        let child = command.spawn().expect("the program of the deploy file");
        let child = Arc::new(Mutex::new(child));
        lock(&STARTED).push(child.clone());
        self.child = Some(child);
    }

    /// Kills the process, if it runs.
    pub fn kill(&mut self) {
        if let Some(child) = self.child.take() {
            end(&child);
            lock(&STARTED).retain(|other| !Arc::ptr_eq(other, &child));
        }
    }

    /// Identifier of the process; 0 if it does not run.
    pub fn process(&self) -> u32 {
        self.child.as_ref().map_or(0, |child| lock(child).id())
    }

    /// Resident memory of the process, in KiB; `None` if it does not run.
    pub fn memory_kib(&self) -> Option<u64> {
        let id = lock(self.child.as_ref()?).id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        line.split_whitespace().nth(1)?.parse().ok()
    }

    /// Whether the process runs.
    pub fn is_running(&self) -> bool {
        let child = self.child.as_ref();
        child.is_some_and(|child| matches!(lock(child).try_wait(), Ok(None)))
    }

    /// Waits until a request is served.
    pub fn wait_until_serving(&self, call: &Call, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if call.send(self.front).status == 200 {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// The messages of the host's log that contain one of the texts, with the time of day.
    pub fn log_lines(&self, texts: &[&str]) -> Vec<String> {
        let log = fs::read_to_string(self.log_path()).unwrap_or_default();
        let lines = log
            .lines()
            .filter(|line| texts.iter().any(|text| line.contains(text)));
        let entries = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
        let messages = entries.filter_map(|entry| {
            let (time, message) = (entry["timestamp"].as_str()?, entry["message"].as_str()?);
            Some(format!("{} {message}", time.get(11..23)?))
        });
        messages.collect()
    }

    fn log_path(&self) -> PathBuf {
        self.folder.join("log.jsonl")
    }

    fn settings(&self, first_start: bool) -> String {
        let (zone, region) = ZONES[self.zone];
        let zones: Vec<String> = ZONES
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\""))
            .collect();
        format!(
            r#"Node = "{name}"
Role = "front"
MachineClass = "front"
Serves = ["front"]
Ip = "{ip}"
Zone = "{zone}"
Region = "{region}"
InternalPorts = [{port}, {port}]
Seeds = []
FirstStart = {first_start}
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
MemoryMb = {MEMORY_MB}
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
            name = self.name,
            ip = self.peers.ip(),
            port = self.peers.port(),
            zones = zones.join("\n"),
            front = self.front,
            ready = self.ready,
            store = self.store,
        )
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// An address on which nothing listens, below the ports that the system gives to connections. Runs at
/// the same time take other ports.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = 10_000 + (std::process::id() % 200) as u16 * 100;
    loop {
        let port = first + NEXT.fetch_add(1, Ordering::Relaxed) % 100;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}
