//! Real host processes and stand-ins on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use amaranthshunt_clients::{HostEntry, HttpClient, StoreClient};
use amaranthshunt_core::catalogue::{Class, Entry, Limits, Server};
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::ObjectKey;
use amaranthshunt_core::record::{OrderRecord, Subject};
use async_std::task;
use http_types::{Method, Request, Url};
use rustix::process::{Pid, Signal, kill_process};

use crate::backend::{BackendOptions, BackendStandIn};
use crate::journal::Journal;
use crate::metrics::MetricsStandIn;
use crate::store::StoreStandIn;

/// The first argument that makes a program run as a host process.
const HOST_PROCESS: &str = "host-process";
/// Time that a deployment has to serve its first request.
const START_LIMIT: Duration = Duration::from_secs(20);
/// The name of a host that cannot reach the store.
const BLIND: &str = "blind";
/// The metric of control messages sent.
const CONTROL_BYTES: &str = "amaranthshunt.links.control_bytes";
/// Lines of a host's log in an error.
const LOG_LINES: usize = 8;
/// Time that a call to the store may take.
const STORE_LIMIT: Duration = Duration::from_secs(2);

/// The size of a deployment.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Failure domains, as `region/domain`.
    pub domains: Vec<String>,
    /// Entry hosts in each failure domain.
    pub hosts: usize,
    /// Entries with their class and servers in each failure domain.
    pub entries: Vec<(String, Class, usize)>,
    /// Shards of each entry in a region.
    pub shards: u32,
    /// Slots of each server.
    pub slots: u32,
    /// Time that one request takes at a server.
    pub service: Duration,
    /// Whether one more host runs that cannot reach the store.
    pub blind_host: bool,
    /// Whether the settings of hosts name each other.
    pub seeds: bool,
}

impl Shape {
    /// One region like those of the quote gateway, with all of its entries.
    pub fn one_region() -> Self {
        Self {
            domains: vec!["este/e1".to_owned(), "este/e2".to_owned()],
            hosts: 2,
            entries: vec![
                ("catalogue".to_owned(), Class::Read, 3),
                ("confirmation".to_owned(), Class::Confirm, 2),
            ],
            shards: 48,
            slots: 4,
            service: Duration::from_millis(5),
            blind_host: false,
            seeds: true,
        }
    }

    /// Two regions with one failure domain each.
    pub fn two_regions() -> Self {
        Self {
            domains: vec!["este/e1".to_owned(), "norte/n1".to_owned()],
            ..Self::one_region()
        }
    }
}

/// Host processes, a store and backend servers.
#[derive(Debug)]
pub struct Deployment {
    /// The size.
    pub shape: Shape,
    /// The store.
    pub store: StoreStandIn,
    /// The backend servers.
    pub backends: Vec<BackendStandIn>,
    /// What the hosts report of themselves.
    pub metrics: MetricsStandIn,
    /// What the backend servers did.
    pub journal: Arc<Journal>,
    hosts: Vec<HostProcess>,
    folder: PathBuf,
}

#[derive(Debug)]
struct HostProcess {
    name: String,
    callers: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl HostProcess {
    /// The end of the host's log.
    fn last_lines(&self) -> String {
        let log = std::fs::read_to_string(self.settings.with_extension("log"));
        let text = log.unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_LINES)..].join("\n")
    }
}

/// Runs this program as a host process when its arguments say so.
pub fn run_host_process() -> Option<ExitCode> {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() != Some(HOST_PROCESS) {
        return None;
    }
    let rest: Vec<String> = arguments.collect();
    Some(amaranthshunt_host::run(&rest))
}

/// The next port that this process hands out; below those that systems give to clients.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// An address on loopback that nobody listens on, or is going to but for its receiver.
///
/// A port that is looked for by binding it, let go and bound later can be taken in between, by
/// another deployment, as the near end of an outgoing connection, or by the next look. Nobody
/// else uses the loopback address of this process, and a port of it is handed out once.
pub fn free_address() -> SocketAddr {
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from((process_loopback(std::process::id()), port))
}

/// The loopback address that belongs to a process: 22 bits are the process's number.
fn process_loopback(process: u32) -> Ipv4Addr {
    let [_, high, middle, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), middle, low)
}

impl Deployment {
    /// Starts everything and waits until each entry answers at each host.
    ///
    /// # Errors
    ///
    /// Fails when a process or socket cannot be started.
    pub async fn start(shape: Shape, program: &std::path::Path) -> std::io::Result<Self> {
        let store = StoreStandIn::start(free_address()).await?;
        let metrics = MetricsStandIn::start().await?;
        let journal = Arc::new(Journal::default());
        let folder = std::env::temp_dir().join(format!("amaranthshunt-{}", rand::random::<u32>()));
        std::fs::create_dir_all(&folder)?;
        let mut deployment = Self {
            shape,
            store,
            backends: Vec::new(),
            metrics,
            journal,
            hosts: Vec::new(),
            folder,
        };
        deployment.start_backends().await?;
        deployment.start_hosts(program)?;
        deployment.wait_until_served().await?;
        Ok(deployment)
    }

    /// Where callers reach each host.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.callers).collect()
    }

    /// Loses a host process.
    pub fn kill_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let _ = host.child.kill();
        let _ = host.child.wait();
    }

    /// Starts a host process in place of a lost one.
    ///
    /// # Errors
    ///
    /// Fails when the process cannot be started.
    pub fn restart_host(&mut self, index: usize, program: &std::path::Path) -> std::io::Result<()> {
        let host = &mut self.hosts[index];
        host.child = spawn_host(program, &host.settings)?;
        Ok(())
    }

    /// Pauses a host process, or lets it go on.
    pub fn pause_host(&self, index: usize, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        self.signal(index, signal);
    }

    /// Asks a host process to stop in order.
    pub fn stop_host(&self, index: usize) {
        self.signal(index, Signal::TERM);
    }

    /// Whether a host process has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        matches!(self.hosts[index].child.try_wait(), Ok(Some(_)))
    }

    /// Bytes of control messages that the hosts have reported so far.
    pub fn control_bytes(&self) -> u64 {
        self.metrics.sum(CONTROL_BYTES)
    }

    /// Processor time that the host processes have used so far.
    pub fn cpu(&self) -> Duration {
        self.hosts.iter().map(|host| cpu_of(host.child.id())).sum()
    }

    /// Writes one more catalogue entry, and returns when it was written.
    ///
    /// # Errors
    ///
    /// Fails when the store does not take it.
    pub async fn add_entry(&self, name: &str) -> amaranthshunt_clients::Result<Instant> {
        let client = StoreClient::new(self.store.address(), STORE_LIMIT);
        let entry = entry(&self.shape, name, Class::Read, 0);
        let value = serde_json::to_vec(&entry).unwrap_or_default();
        client
            .put(&ObjectKey::entry(name), Revision(0), value.into())
            .await?;
        Ok(Instant::now())
    }

    /// Gives an operator's order.
    ///
    /// # Errors
    ///
    /// Fails when the store does not take it.
    pub async fn order(&self, subject: &Subject, out: bool) -> amaranthshunt_clients::Result<()> {
        let client = StoreClient::new(self.store.address(), STORE_LIMIT);
        let key = ObjectKey::order(subject);
        let found = client.get(&key).await?;
        let order = OrderRecord {
            out,
            operator: "support".to_owned(),
        };
        let value = serde_json::to_vec(&order).unwrap_or_default();
        client.put(&key, found.revision, value.into()).await?;
        Ok(())
    }

    fn signal(&self, index: usize, signal: Signal) {
        let id = self.hosts[index].child.id() as i32;
        if let Some(pid) = Pid::from_raw(id) {
            let _ = kill_process(pid, signal);
        }
    }

    async fn start_backends(&mut self) -> std::io::Result<()> {
        let client = StoreClient::new(self.store.address(), STORE_LIMIT);
        for (name, class, per_domain) in self.shape.entries.clone() {
            let entry = entry(&self.shape, &name, class, per_domain);
            for server in &entry.servers {
                let options = BackendOptions {
                    name: server.name.clone(),
                    entry: name.clone(),
                    address: server.address,
                    checks: server.checks,
                    slots: entry.limits.slots as usize,
                    cold_slots: entry.limits.cold_slots as usize,
                    warm_up: Duration::from_millis(u64::from(entry.limits.warm_up)),
                    service: self.shape.service,
                };
                let backend = BackendStandIn::start(options, self.journal.clone()).await?;
                self.backends.push(backend);
            }
            let value = serde_json::to_vec(&entry)?;
            client
                .put(&ObjectKey::entry(&name), Revision(0), value.into())
                .await
                .map_err(std::io::Error::other)?;
        }
        Ok(())
    }

    fn start_hosts(&mut self, program: &std::path::Path) -> std::io::Result<()> {
        let mut addresses = Vec::new();
        for domain in &self.shape.domains {
            for index in 0..self.shape.hosts {
                let name = format!("{}-h{index}", domain.replace('/', "-"));
                addresses.push((name, domain.clone(), free_address(), free_address()));
            }
        }
        let listed = addresses.iter().map(|(name, _, _, hosts)| HostEntry {
            name: name.clone(),
            address: *hosts,
            leaving: false,
        });
        self.store.set_hosts(listed.collect());
        let seeds: Vec<String> = addresses
            .iter()
            .filter(|_| self.shape.seeds)
            .map(|(_, _, _, hosts)| format!("\"{hosts}\""))
            .collect();
        if self.shape.blind_host {
            let domain = self.shape.domains[0].clone();
            addresses.push((BLIND.to_owned(), domain, free_address(), free_address()));
        }
        for (name, domain, callers, hosts) in addresses {
            let store = if name == BLIND {
                free_address()
            } else {
                self.store.address()
            };
            let text = format!(
                "name = \"{name}\"\ndomain = \"{domain}\"\n\
                 [listen]\ncallers = \"{callers}\"\nhosts = \"{hosts}\"\n\
                 [platform]\nstore = \"{store}\"\n[peers]\nseeds = [{}]\n\
                 [metrics]\nstatsd = \"{}\"\n",
                seeds.join(", "),
                self.metrics.address()
            );
            let settings = self.folder.join(format!("{name}.toml"));
            std::fs::write(&settings, text)?;
            let child = spawn_host(program, &settings)?;
            self.hosts.push(HostProcess {
                name,
                callers,
                settings,
                child,
            });
        }
        Ok(())
    }

    async fn wait_until_served(&self) -> std::io::Result<()> {
        let started = Instant::now();
        for host in &self.hosts {
            for (entry, class, _) in &self.shape.entries {
                while !is_served(host.callers, entry, *class).await {
                    if started.elapsed() > START_LIMIT {
                        let log = host.last_lines();
                        let text = format!("{} does not serve {entry}:\n{log}", host.name);
                        return Err(std::io::Error::other(text));
                    }
                    task::sleep(Duration::from_millis(50)).await;
                }
            }
        }
        Ok(())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for host in &mut self.hosts {
            let _ = host.child.kill();
            let _ = host.child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn spawn_host(program: &std::path::Path, settings: &std::path::Path) -> std::io::Result<Child> {
    let mut command = Command::new(program);
    if program == std::env::current_exe()? {
        command.arg(HOST_PROCESS);
    }
    let log = settings.with_extension("log");
    let log = std::fs::File::options()
        .append(true)
        .create(true)
        .open(log)?;
    command
        .arg("--settings")
        .arg(settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

fn entry(shape: &Shape, name: &str, class: Class, per_domain: usize) -> Entry {
    let mut servers = Vec::new();
    for (place, domain) in shape.domains.iter().enumerate() {
        for index in 0..per_domain {
            servers.push(Server {
                name: format!("{name}-{place}-{index}"),
                domain: domain.parse().unwrap_or_else(|error| panic!("{error}")),
                address: free_address(),
                checks: index % 2 == 0,
            });
        }
    }
    let mut regions: Vec<String> = shape
        .domains
        .iter()
        .filter_map(|domain| Some(domain.split('/').next()?.to_owned()))
        .collect();
    regions.sort();
    regions.dedup();
    Entry {
        name: name.to_owned(),
        owner: "support".to_owned(),
        class,
        tenants: regions
            .iter()
            .map(|region| (format!("only-{region}"), vec![region.clone()]))
            .collect(),
        regions,
        shards: shape.shards,
        limits: Limits {
            slots: shape.slots,
            cold_slots: 1,
            warm_up: 300,
            connections: 110,
            queue: 256,
            body: 65_536,
        },
        servers,
    }
}

async fn is_served(host: SocketAddr, entry: &str, class: Class) -> bool {
    let Ok(url) = Url::parse(&format!("http://{host}/v1/{entry}/probe")) else {
        return false;
    };
    let mut request = Request::new(Method::Post, url);
    request.insert_header("deadline-ms", "300");
    if !class.is_idempotent() {
        let key = uuid::Uuid::now_v7().to_string();
        request.insert_header("idempotency-key", key);
    }
    let http = HttpClient::default();
    let reply = http.send(host, request, Duration::from_secs(1)).await;
    reply.is_ok_and(|reply| reply.status == 200)
}

/// Processor time of a process, in clock ticks of 10 ms.
fn cpu_of(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split(' ').collect();
    let ticks = |index: usize| -> u64 {
        let field = fields.get(index).copied().unwrap_or("0");
        field.parse().unwrap_or(0)
    };
    Duration::from_millis((ticks(11) + ticks(12)) * 10)
}
