//! Hosts as processes, and the stand-ins round them.

use std::fs::{self, File};
use std::io::{self, Read as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{
    FaultProxy, ObjectStore, Upstream, UpstreamOptions, Witness,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

/// The failure domains and their regions.
pub(crate) const DOMAINS: [(&str, &str); 4] = [
    ("east-a", "east"),
    ("east-b", "east"),
    ("west-a", "west"),
    ("west-b", "west"),
];
/// The service whose servers hold keys, and the one without keys.
pub(crate) const SERVICES: [(&str, bool); 2] = [("catalogue", true), ("orders", false)];
/// Longest time for which a caller is kept waiting, in milliseconds.
pub(crate) const TIMEOUT_MS: u64 = 2_000;

/// One entry host.
pub(crate) struct Entry {
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) store: FaultProxy,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    pub(crate) stopped: bool,
    /// When it was paused, and until when, if it goes on.
    pauses: Vec<(Instant, Option<Instant>)>,
}

impl Entry {
    /// Starts the process, if it does not run.
    pub(crate) fn start(&mut self, program: &Path) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(program)
            .arg("front")
            .env("AMARANTHSHUNT_CONFIG", &self.settings)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.resume();
        Ok(())
    }

    /// Whether the process runs, a paused one included.
    pub(crate) fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Sends a signal to the process, if it runs.
    pub(crate) fn signal(&mut self, signal: Signal) {
        if !self.is_running() {
            return;
        }
        let Some(pid) = self
            .child
            .as_ref()
            .and_then(|child| Pid::from_raw(child.id() as i32))
        else {
            return;
        };
        if let Err(error) = kill_process(pid, signal) {
            eprintln!("{} cannot be signalled: {error}", self.name);
        }
        match signal {
            Signal::STOP if !self.stopped => {
                self.stopped = true;
                self.pauses.push((Instant::now(), None));
            }
            Signal::CONT | Signal::KILL => self.resume(),
            _ => {}
        }
    }

    fn resume(&mut self) {
        self.stopped = false;
        if let Some((_, end)) = self.pauses.last_mut() {
            end.get_or_insert_with(Instant::now);
        }
    }

    /// Whether the process was paused at any time of a span.
    pub(crate) fn was_paused(&self, from: Instant, to: Instant) -> bool {
        let mut pauses = self.pauses.iter();
        pauses.any(|(began, ended)| *began <= to && ended.is_none_or(|ended| ended >= from))
    }

    /// Lines of its log that name a request.
    pub(crate) fn lines_of(&self, request: &str) -> Vec<String> {
        let mut text = String::new();
        // A log that cannot be read has no lines to show; the finding stands without them.
        let _ = File::open(&self.log).and_then(|mut file| file.read_to_string(&mut text));
        text.lines()
            .filter(|line| line.contains(request))
            .map(str::to_owned)
            .collect()
    }

    fn end(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself; either way nothing of it is left.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// One server with the proxy before it.
pub(crate) struct Server {
    pub(crate) upstream: Upstream,
    pub(crate) proxy: FaultProxy,
    pub(crate) up: bool,
}

/// Everything that runs.
pub(crate) struct Fleet {
    pub(crate) entries: Vec<Entry>,
    pub(crate) servers: Vec<Server>,
    pub(crate) store: ObjectStore,
    pub(crate) witness: Witness,
    pub(crate) version: u64,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a store, servers and hosts.
    pub(crate) async fn start(program: &Path, hosts: usize, servers: usize) -> io::Result<Self> {
        let folder =
            std::env::temp_dir().join(format!("amaranthshunt-soak-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store = ObjectStore::start(free_address()).await?;
        let witness = Witness::default();
        let mut fleet = Self {
            entries: Vec::new(),
            servers: Vec::new(),
            store,
            witness,
            version: 1,
            folder,
        };
        fleet.configure();
        for number in 0..servers {
            for (service, keyed) in SERVICES {
                fleet.add_server(number, service, keyed).await?;
            }
        }
        for number in 0..hosts {
            fleet.add_entry(number).await?;
        }
        for entry in &mut fleet.entries {
            entry.start(program)?;
        }
        Ok(fleet)
    }

    async fn add_server(&mut self, number: usize, service: &str, keyed: bool) -> io::Result<()> {
        let listen = free_address();
        let proxy = FaultProxy::start(free_address(), listen).await?;
        let options = UpstreamOptions {
            id: format!("{service}-{number}"),
            service: service.to_owned(),
            domain: DOMAINS[number % DOMAINS.len()].0.to_owned(),
            keyed,
            slots: 4,
            work: Duration::from_millis(20),
            listen,
            address: proxy.address(),
        };
        let upstream = Upstream::start(options, self.store.clone(), self.witness.clone()).await?;
        self.servers.push(Server {
            upstream,
            proxy,
            up: true,
        });
        Ok(())
    }

    async fn add_entry(&mut self, number: usize) -> io::Result<()> {
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let name = format!("host-{number}");
        let store = FaultProxy::start(free_address(), self.store.address()).await?;
        let (callers, ready, peers) = (free_address(), free_address(), free_address());
        let zones: Vec<String> = DOMAINS
            .iter()
            .map(|(domain, region)| format!("{domain} = \"{region}\""))
            .collect();
        let text = format!(
            r#"Node = "{name}"
Ip = "{}"
Zone = "{domain}"
Region = "{region}"
InternalPorts = [{}, {}]
Bounds = ["GraceS=6","DrainMs=2500","MaxHoldMs=10000","RetryBudgetRatio=0.2","BudgetSlack=58","WarmupOvershoot=1.5","WarmupSlack=5"]
[Zones]
{}
[Listen]
Front = "{callers}"
Ready = "{ready}"
[Platform]
Address = "{}"
"#,
            peers.ip(),
            peers.port(),
            peers.port(),
            zones.join("\n"),
            store.address()
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let log = self.folder.join(format!("{name}.log"));
        let entry = Entry {
            name,
            callers,
            store,
            settings,
            log,
            child: None,
            stopped: false,
            pauses: Vec::new(),
        };
        self.entries.push(entry);
        Ok(())
    }

    /// Writes the next version of the configuration; it has a route that no earlier one has.
    pub(crate) fn configure(&mut self) {
        self.version += 1;
        let route = |prefix: &str, service: &str, kind: &str, homes: &[&str]| {
            json!({
                "Host": "shop", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": TIMEOUT_MS,
                "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2, "AllowedRegions": homes, "Service": service,
            })
        };
        let service = |keyed: bool| json!({ "HealthPath": "/health", "MaxConnections": 200, "WarmupS": 1.0, "WarmupPerS": 60, "Sharded": keyed });
        let newest = format!("/v{}/", self.version);
        let routes: Value = json!({
            "read": route("/read/", "catalogue", "safe", &[]),
            "pay": route("/pay/", "orders", "unsafe", &[]),
            "home": route("/home/", "orders", "unsafe", &["east"]),
            "newest": route(&newest, "orders", "safe", &[]),
        });
        let spec = json!({
            "Version": format!("r{}", self.version),
            "Routes": routes,
            "Services": { "catalogue": service(true), "orders": service(false) },
            "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 1_048_576, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 },
        });
        self.store.put("config", "main", spec, Value::Null);
    }

    /// Ends every process. The folder with the logs stays where they are needed.
    pub(crate) fn end(&mut self, keeps_logs: bool) {
        for entry in &mut self.entries {
            entry.end();
        }
        if keeps_logs {
            println!("logs are in {}", self.folder.display());
        } else if let Err(error) = fs::remove_dir_all(&self.folder) {
            eprintln!("{} is left behind: {error}", self.folder.display());
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for entry in &mut self.entries {
            entry.end();
        }
    }
}
