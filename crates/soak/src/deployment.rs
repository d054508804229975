//! Host processes, with the fakes and proxies around them.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{
    FakeObjectStore, FakeUpstream, FaultProxy, LinkFault, ServerRecorder, StoreFault,
    UpstreamOptions,
};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

use crate::callers::Connections;
use crate::disturbances::Disturbances;
use crate::regions::{RegionCut, RegionLinks, heal};
use crate::run::Workload;
use crate::server::Server;
use crate::tenants;

/// The failure domains and their regions.
pub(crate) const DOMAINS: [(&str, &str); 4] = [
    ("east-a", "east"),
    ("east-b", "east"),
    ("west-a", "west"),
    ("west-b", "west"),
];
/// The regions; hosts and servers of one may lose those of the other.
const REGIONS: [&str; 2] = ["east", "west"];
/// The services, with whether their servers hold keys.
pub(crate) const SERVICES: [(&str, bool); 2] = [("catalogue", true), ("orders", false)];
/// Timeout of every route, in milliseconds.
pub(crate) const ROUTE_TIMEOUT_MS: u64 = 2_000;

fn region_of(name: &str) -> usize {
    let index = REGIONS.iter().position(|region| *region == name);
    index.expect("a known region")
}

/// An entry host that runs as a process.
pub(crate) struct HostProcess {
    pub(crate) name: String,
    /// Index of its region.
    region: usize,
    pub(crate) caller_address: SocketAddr,
    /// The proxy between the host and the store.
    pub(crate) store_proxy: FaultProxy,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    pub(crate) is_paused: bool,
    pauses: Disturbances,
    /// Ends and pauses of the process.
    process_disturbances: Disturbances,
    /// Faults of the link to the store.
    link_disturbances: Disturbances,
    /// Connections that callers have kept open.
    pub(crate) connections: Connections,
}

impl HostProcess {
    /// Starts the process unless it is running.
    pub(crate) fn start(&mut self, program: &Path) -> io::Result<()> {
        if self.is_running() {
            return Ok(());
        }
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.log_path)?;
        let child = Command::new(program)
            .arg("front")
            .env("AMARANTHSHUNT_CONFIG", &self.settings_path)
            .env("ASYNC_STD_THREAD_COUNT", "1")
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.end_pause();
        self.process_disturbances.end();
        Ok(())
    }

    /// Whether the process exists, even if it is paused.
    pub(crate) fn is_running(&mut self) -> bool {
        match &mut self.child {
            Some(child) => matches!(child.try_wait(), Ok(None)),
            None => false,
        }
    }

    /// Sends a signal to the process if it is running.
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
            eprintln!("cannot send a signal to {}: {error}", self.name);
        }
        match signal {
            Signal::STOP => {
                self.is_paused = true;
                self.pauses.begin();
                self.process_disturbances.begin();
            }
            Signal::CONT => {
                self.end_pause();
                self.process_disturbances.end();
            }
            // A paused process that is killed may exist for a while; its pause ends with it.
            Signal::KILL | Signal::TERM => self.process_disturbances.begin(),
            _ => {}
        }
    }

    fn end_pause(&mut self) {
        if std::mem::take(&mut self.is_paused) {
            self.pauses.end();
        }
    }

    /// Sets the fault of the host's link to the store.
    pub(crate) fn set_store_fault(&mut self, fault: LinkFault) {
        self.store_proxy.set_fault(fault);
        match fault {
            LinkFault::None => self.link_disturbances.end(),
            _ => self.link_disturbances.begin(),
        }
    }

    /// Silences the open connections to the store.
    pub(crate) fn silence_store_connections(&mut self) {
        self.store_proxy.silence_open_connections();
        self.link_disturbances.mark();
    }

    /// Whether neither the process nor its link to the store was disturbed up to `at`, for so long
    /// that bounds on time hold.
    pub(crate) fn is_undisturbed(&self, at: Instant) -> bool {
        self.process_disturbances.are_past(at) && self.link_disturbances.are_past(at)
    }

    /// Whether the process ended, started, was paused or was stopping at any time between `from` and
    /// `to`.
    pub(crate) fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        self.process_disturbances.overlap(from, to)
    }

    /// Whether the process was paused at any time between `from` and `to`.
    pub(crate) fn was_paused(&self, from: Instant, to: Instant) -> bool {
        self.pauses.overlap(from, to)
    }

    /// The log lines that contain a request ID.
    pub(crate) fn log_lines_for(&self, request: &str) -> Vec<String> {
        let mut text = String::new();
        // An unreadable log has no lines to show; the finding is reported without them.
        let _ = File::open(&self.log_path).and_then(|mut file| file.read_to_string(&mut text));
        text.lines()
            .filter(|line| line.contains(request))
            .map(str::to_owned)
            .collect()
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored: the process may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// All hosts, servers and the store of a run.
pub(crate) struct Deployment {
    pub(crate) hosts: Vec<HostProcess>,
    pub(crate) servers: Vec<Server>,
    pub(crate) store: FakeObjectStore,
    pub(crate) recorder: ServerRecorder,
    /// Times in which the store did not answer as it should.
    pub(crate) store_disturbances: Disturbances,
    pub(crate) config_version: u64,
    links: [RegionLinks; 2],
    /// What the hosts of each region read in place of the store's own address.
    store_views: [SocketAddr; 2],
    region_cut: Option<RegionCut>,
    /// When each version of the configuration was written.
    pub(crate) config_writes: BTreeMap<u64, Instant>,
    work_dir: PathBuf,
    pub(crate) workload: Workload,
}

impl Deployment {
    /// Starts the store, the servers and the hosts.
    pub(crate) async fn start(
        program: &Path,
        hosts: usize,
        servers: usize,
        workload: Workload,
    ) -> io::Result<Self> {
        let work_dir =
            std::env::temp_dir().join(format!("amaranthshunt-soak-{}", std::process::id()));
        fs::create_dir_all(&work_dir)?;
        let store = FakeObjectStore::start(free_address()).await?;
        let recorder = ServerRecorder::default();
        let mut deployment = Self {
            hosts: Vec::new(),
            servers: Vec::new(),
            store,
            recorder,
            store_disturbances: Disturbances::default(),
            config_version: 1,
            links: Default::default(),
            store_views: [free_address(), free_address()],
            region_cut: None,
            config_writes: BTreeMap::new(),
            work_dir,
            workload,
        };
        deployment.write_next_config();
        for number in 0..servers {
            for (service, holds_keys) in SERVICES {
                deployment.add_server(number, service, holds_keys).await?;
            }
        }
        for number in 0..hosts {
            deployment.add_host(number).await?;
        }
        for (region, view) in deployment.store_views.into_iter().enumerate() {
            let translations = deployment.links[1 - region].translations();
            deployment
                .store
                .serve_translated(view, translations)
                .await?;
        }
        for host in &mut deployment.hosts {
            host.start(program)?;
        }
        Ok(deployment)
    }

    /// Lets the regions lose each other, unless they have already.
    pub(crate) fn cut_regions(&mut self, cut: RegionCut) {
        if self.region_cut.is_some() {
            return;
        }
        cut.apply(&self.links);
        self.servers
            .iter_mut()
            .for_each(|server| server.disturbances.begin());
        for host in &mut self.hosts {
            if cut.storeless == Some(host.region) {
                host.set_store_fault(LinkFault::BlocksAll);
            }
        }
        self.region_cut = Some(cut);
    }

    /// Ends the cut between the regions if it is due, or at once.
    pub(crate) fn heal_regions(&mut self, at_once: bool) {
        let is_due = |cut: &mut RegionCut| at_once || cut.until <= Instant::now();
        let Some(cut) = self.region_cut.take_if(is_due) else {
            return;
        };
        heal(&self.links);
        self.servers
            .iter_mut()
            .for_each(|server| server.disturbances.end());
        for host in &mut self.hosts {
            if cut.storeless == Some(host.region) {
                host.set_store_fault(LinkFault::None);
            }
        }
    }

    /// Whether a cut between the regions keeps a host from the store.
    pub(crate) fn is_storeless(&self, host: &HostProcess) -> bool {
        let cut = self.region_cut.as_ref();
        cut.is_some_and(|cut| cut.storeless == Some(host.region))
    }

    async fn add_server(
        &mut self,
        number: usize,
        service: &str,
        holds_keys: bool,
    ) -> io::Result<()> {
        let listen = free_address();
        let proxy = FaultProxy::start(free_address(), listen).await?;
        let options = UpstreamOptions {
            id: format!("{service}-{number}"),
            service: service.to_owned(),
            domain: DOMAINS[number % DOMAINS.len()].0.to_owned(),
            holds_keys,
            slots: 4,
            service_time: Duration::from_millis(20),
            listen,
            address: proxy.address(),
        };
        let region = region_of(DOMAINS[number % DOMAINS.len()].1);
        self.links[region]
            .add(proxy.address(), free_address())
            .await?;
        let upstream =
            FakeUpstream::start(options, self.store.clone(), self.recorder.clone()).await?;
        self.servers.push(Server::new(upstream, proxy));
        Ok(())
    }

    async fn add_host(&mut self, number: usize) -> io::Result<()> {
        let (domain, region) = DOMAINS[number % DOMAINS.len()];
        let name = format!("host-{number}");
        let region_index = region_of(region);
        let store_view = self.store_views[region_index];
        let store_proxy = FaultProxy::start(free_address(), store_view).await?;
        let (caller_address, ready, peers) = (free_address(), free_address(), free_address());
        self.links[region_index].add(peers, free_address()).await?;
        let zones: Vec<String> = DOMAINS
            .iter()
            .map(|(domain, region)| format!("{domain} = \"{region}\""))
            .collect();
        let contracts = match self.workload {
            Workload::Full => "\"pressure\"",
            Workload::Plain => "",
        };
        let text = format!(
            r#"Node = "{name}"
Ip = "{}"
Zone = "{domain}"
Region = "{region}"
InternalPorts = [{}, {}]
Contracts = [{contracts}]
Bounds = ["GraceS=6","DrainMs=2500","MaxHoldMs=10000","RetryBudgetRatio=0.2","BudgetSlack=58","WarmupOvershoot=1.5","WarmupSlack=5"]
[Zones]
{}
[Listen]
Front = "{caller_address}"
Ready = "{ready}"
[Platform]
Address = "{}"
"#,
            peers.ip(),
            peers.port(),
            peers.port(),
            zones.join("\n"),
            store_proxy.address()
        );
        let settings_path = self.work_dir.join(format!("{name}.toml"));
        fs::write(&settings_path, text)?;
        let log_path = self.work_dir.join(format!("{name}.log"));
        let host = HostProcess {
            name,
            region: region_index,
            caller_address,
            store_proxy,
            settings_path,
            log_path,
            child: None,
            is_paused: false,
            pauses: Disturbances::default(),
            process_disturbances: Disturbances::default(),
            link_disturbances: Disturbances::default(),
            connections: Connections::default(),
        };
        self.hosts.push(host);
        Ok(())
    }

    /// Sets the fault of the store.
    pub(crate) fn set_store_fault(&mut self, fault: StoreFault) {
        self.store.set_fault(fault);
        match fault {
            StoreFault::None => self.store_disturbances.end(),
            _ => self.store_disturbances.begin(),
        }
    }

    /// Writes the next version of the configuration, with a route that no other version has.
    pub(crate) fn write_next_config(&mut self) {
        self.config_version += 1;
        let route = |prefix: &str, service: &str, kind: &str, allowed_regions: &[&str]| {
            json!({
                "Host": "shop", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": ROUTE_TIMEOUT_MS,
                "TargetLatencyMs": 500, "Priority": 1, "MaxAttempts": 2, "AllowedRegions": allowed_regions, "Service": service,
            })
        };
        let service = |sharded: bool| json!({ "HealthPath": "/health", "MaxConnections": 200, "WarmupS": 1.0, "WarmupPerS": 60, "Sharded": sharded });
        let newest = format!("/v{}/", self.config_version);
        let mut routes: Value = json!({
            "read": route("/read/", "catalogue", "safe", &[]),
            "pay": route("/pay/", "orders", "unsafe", &[]),
            "home": route("/home/", "orders", "unsafe", &["east"]),
            "newest": route(&newest, "orders", "safe", &[]),
        });
        if self.workload == Workload::Full {
            routes["upload"] = route("/upload/", "orders", "upload", &[]);
        }
        let mut spec = json!({
            "Version": format!("r{}", self.config_version),
            "Routes": routes,
            "Services": { "catalogue": service(true), "orders": service(false) },
            "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 1_048_576, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 },
        });
        if self.workload == Workload::Full {
            spec["Tenants"] = tenants::section();
        }
        self.store.put("config", "main", spec, Value::Null);
        let now = Instant::now();
        self.config_writes.insert(self.config_version, now);
    }

    /// Kills all host processes and removes the work directory, unless its logs are to be kept.
    pub(crate) fn stop(&mut self, keep_logs: bool) {
        for host in &mut self.hosts {
            host.kill();
        }
        if keep_logs {
            println!("logs are in {}", self.work_dir.display());
        } else if let Err(error) = fs::remove_dir_all(&self.work_dir) {
            eprintln!("cannot remove {}: {error}", self.work_dir.display());
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            host.kill();
        }
    }
}
