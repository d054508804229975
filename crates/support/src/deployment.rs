//! Deployments of real host processes, with a fake store and fake servers, on loopback.

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
use amaranthshunt_core::record::{OperatorOrder, Subject};
use async_std::task;
use http_types::{Method, Request, Url};
use rustix::process::{Pid, Signal, kill_process};

use crate::backend::{BackendOptions, FakeBackend};
use crate::journal::Journal;
use crate::metrics::FakeMetricsCollector;
use crate::store::FakeStore;

/// The first argument that makes a program run as a host process.
const HOST_PROCESS_ARGUMENT: &str = "host-process";
/// Time within which each entry of a new deployment must be served at each host.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The name of a host that cannot reach the store.
const STORELESS_HOST: &str = "blind";
/// The gauge for bytes of control messages sent.
const CONTROL_BYTES_METRIC: &str = "amaranthshunt.links.control_bytes";
/// Number of log lines of a host that a start error includes.
const ERROR_LOG_LINES: usize = 8;
/// Timeout of a call to the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// Size and options of a deployment.
#[derive(Clone, Debug)]
pub struct DeploymentOptions {
    /// Failure domains, as `region/domain`.
    pub domains: Vec<String>,
    /// Entry hosts in each failure domain.
    pub hosts: usize,
    /// Entries: name, class, and number of servers in each failure domain.
    pub entries: Vec<(String, Class, usize)>,
    /// Number of shards of each entry in a region.
    pub shards: u32,
    /// Concurrency limit of each server.
    pub slots: u32,
    /// Time that a server takes to process one request.
    pub service_time: Duration,
    /// Whether to add a host that cannot reach the store.
    pub storeless_host: bool,
    /// Whether the settings of each host list the other hosts as seeds.
    pub seeds: bool,
}

impl DeploymentOptions {
    /// One region with the entries of the quote gateway.
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
            service_time: Duration::from_millis(5),
            storeless_host: false,
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
    /// The options it was started with.
    pub options: DeploymentOptions,
    /// The fake store.
    pub store: FakeStore,
    /// The fake backend servers.
    pub backends: Vec<FakeBackend>,
    /// The collector that receives the hosts' metrics.
    pub metrics: FakeMetricsCollector,
    /// The record of executions at the backend servers.
    pub journal: Arc<Journal>,
    hosts: Vec<HostProcess>,
    directory: PathBuf,
}

#[derive(Debug)]
struct HostProcess {
    name: String,
    caller_address: SocketAddr,
    settings_path: PathBuf,
    child: Child,
}

impl HostProcess {
    /// The last lines of the host's log.
    fn log_tail(&self) -> String {
        let log = std::fs::read_to_string(self.settings_path.with_extension("log"));
        let text = log.unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(ERROR_LOG_LINES)..].join("\n")
    }
}

/// Runs this program as a host process if its first argument asks for that.
pub fn run_host_process() -> Option<ExitCode> {
    let mut arguments = std::env::args().skip(1);
    if arguments.next().as_deref() != Some(HOST_PROCESS_ARGUMENT) {
        return None;
    }
    let host_arguments: Vec<String> = arguments.collect();
    Some(amaranthshunt_host::run(&host_arguments))
}

/// The next port that this process assigns; starts below the usual range of ephemeral ports.
static NEXT_PORT: AtomicU16 = AtomicU16::new(10_000);

/// Returns a loopback address that nothing but its caller will listen on.
///
/// Probing for a free port by binding and releasing it is racy: before it is bound again, another
/// deployment, the local end of an outgoing connection or the next probe can take it. Instead,
/// each process has a loopback address of its own and assigns every port of it once.
pub fn free_address() -> SocketAddr {
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    SocketAddr::from((process_loopback(std::process::id()), port))
}

/// The loopback address of a process; its lower 22 bits are those of the process ID.
fn process_loopback(process: u32) -> Ipv4Addr {
    let [_, high, middle, low] = process.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 63), middle, low)
}

impl Deployment {
    /// Starts all processes and fakes and waits until every host serves every entry.
    ///
    /// # Errors
    ///
    /// Fails if a process or server cannot be started, or if an entry is not served in time.
    pub async fn start(
        options: DeploymentOptions,
        program: &std::path::Path,
    ) -> std::io::Result<Self> {
        let store = FakeStore::start(free_address()).await?;
        let metrics = FakeMetricsCollector::start().await?;
        let journal = Arc::new(Journal::default());
        let directory =
            std::env::temp_dir().join(format!("amaranthshunt-{}", rand::random::<u32>()));
        std::fs::create_dir_all(&directory)?;
        let mut deployment = Self {
            options,
            store,
            backends: Vec::new(),
            metrics,
            journal,
            hosts: Vec::new(),
            directory,
        };
        deployment.start_backends().await?;
        deployment.start_hosts(program)?;
        deployment.wait_until_served().await?;
        Ok(deployment)
    }

    /// The caller-facing address of each host.
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.hosts.iter().map(|host| host.caller_address).collect()
    }

    /// Kills a host process.
    pub fn kill_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let _ = host.child.kill();
        let _ = host.child.wait();
    }

    /// Starts a host process again after it was killed or has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn restart_host(&mut self, index: usize, program: &std::path::Path) -> std::io::Result<()> {
        let host = &mut self.hosts[index];
        host.child = spawn_host(program, &host.settings_path)?;
        Ok(())
    }

    /// Pauses a host process with SIGSTOP, or resumes it.
    pub fn pause_host(&self, index: usize, paused: bool) {
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        self.signal(index, signal);
    }

    /// Requests a graceful stop of a host process with SIGTERM.
    pub fn stop_host(&self, index: usize) {
        self.signal(index, Signal::TERM);
    }

    /// Whether a host process has ended.
    pub fn has_ended(&mut self, index: usize) -> bool {
        matches!(self.hosts[index].child.try_wait(), Ok(Some(_)))
    }

    /// Bytes of control messages sent so far, as the hosts reported.
    pub fn control_bytes(&self) -> u64 {
        self.metrics.sum(CONTROL_BYTES_METRIC)
    }

    /// CPU time that the host processes have used so far.
    pub fn cpu_time(&self) -> Duration {
        self.hosts
            .iter()
            .map(|host| process_cpu_time(host.child.id()))
            .sum()
    }

    /// Adds a catalogue entry without servers and returns the time at which it was written.
    ///
    /// # Errors
    ///
    /// Fails if the store does not accept the write.
    pub async fn add_entry(&self, name: &str) -> amaranthshunt_clients::Result<Instant> {
        let client = StoreClient::new(self.store.address(), STORE_TIMEOUT);
        let entry = build_entry(&self.options, name, Class::Read, 0);
        let value = serde_json::to_vec(&entry).unwrap_or_default();
        client
            .put(&ObjectKey::entry(name), Revision(0), value.into())
            .await?;
        Ok(Instant::now())
    }

    /// Writes an operator's order that takes a subject out of service or returns it.
    ///
    /// # Errors
    ///
    /// Fails if the store does not accept the write.
    pub async fn order(&self, subject: &Subject, out: bool) -> amaranthshunt_clients::Result<()> {
        let client = StoreClient::new(self.store.address(), STORE_TIMEOUT);
        let key = ObjectKey::order(subject);
        let current = client.get(&key).await?;
        let order = OperatorOrder {
            out,
            operator: "support".to_owned(),
        };
        let value = serde_json::to_vec(&order).unwrap_or_default();
        client.put(&key, current.revision, value.into()).await?;
        Ok(())
    }

    fn signal(&self, index: usize, signal: Signal) {
        let id = self.hosts[index].child.id() as i32;
        if let Some(pid) = Pid::from_raw(id) {
            let _ = kill_process(pid, signal);
        }
    }

    async fn start_backends(&mut self) -> std::io::Result<()> {
        let client = StoreClient::new(self.store.address(), STORE_TIMEOUT);
        for (name, class, servers_per_domain) in self.options.entries.clone() {
            let entry = build_entry(&self.options, &name, class, servers_per_domain);
            for server in &entry.servers {
                let options = BackendOptions {
                    name: server.name.clone(),
                    entry: name.clone(),
                    address: server.address,
                    checks_token: server.checks_token,
                    slots: entry.limits.slots as usize,
                    cold_slots: entry.limits.cold_slots as usize,
                    warm_up: Duration::from_millis(u64::from(entry.limits.warm_up)),
                    service_time: self.options.service_time,
                };
                let backend = FakeBackend::start(options, self.journal.clone()).await?;
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
        for domain in &self.options.domains {
            for index in 0..self.options.hosts {
                let name = format!("{}-h{index}", domain.replace('/', "-"));
                addresses.push((name, domain.clone(), free_address(), free_address()));
            }
        }
        let host_list = addresses
            .iter()
            .map(|(name, _, _, peer_address)| HostEntry {
                name: name.clone(),
                address: *peer_address,
                leaving: false,
            });
        self.store.set_hosts(host_list.collect());
        let seeds: Vec<String> = addresses
            .iter()
            .filter(|_| self.options.seeds)
            .map(|(_, _, _, peer_address)| format!("\"{peer_address}\""))
            .collect();
        if self.options.storeless_host {
            let domain = self.options.domains[0].clone();
            addresses.push((
                STORELESS_HOST.to_owned(),
                domain,
                free_address(),
                free_address(),
            ));
        }
        for (name, domain, caller_address, peer_address) in addresses {
            let store = if name == STORELESS_HOST {
                free_address()
            } else {
                self.store.address()
            };
            let text = format!(
                "name = \"{name}\"\ndomain = \"{domain}\"\n\
                 [listen]\ncallers = \"{caller_address}\"\nhosts = \"{peer_address}\"\n\
                 [platform]\nstore = \"{store}\"\n[peers]\nseeds = [{}]\n\
                 [metrics]\nstatsd = \"{}\"\n",
                seeds.join(", "),
                self.metrics.address()
            );
            let settings_path = self.directory.join(format!("{name}.toml"));
            std::fs::write(&settings_path, text)?;
            let child = spawn_host(program, &settings_path)?;
            self.hosts.push(HostProcess {
                name,
                caller_address,
                settings_path,
                child,
            });
        }
        Ok(())
    }

    async fn wait_until_served(&self) -> std::io::Result<()> {
        let started = Instant::now();
        for host in &self.hosts {
            for (entry, class, _) in &self.options.entries {
                while !is_served(host.caller_address, entry, *class).await {
                    if started.elapsed() > START_TIMEOUT {
                        let log = host.log_tail();
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
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn spawn_host(program: &std::path::Path, settings: &std::path::Path) -> std::io::Result<Child> {
    let mut command = Command::new(program);
    if program == std::env::current_exe()? {
        command.arg(HOST_PROCESS_ARGUMENT);
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

fn build_entry(
    options: &DeploymentOptions,
    name: &str,
    class: Class,
    servers_per_domain: usize,
) -> Entry {
    let mut servers = Vec::new();
    for (domain_index, domain) in options.domains.iter().enumerate() {
        for index in 0..servers_per_domain {
            servers.push(Server {
                name: format!("{name}-{domain_index}-{index}"),
                domain: domain.parse().unwrap_or_else(|error| panic!("{error}")),
                address: free_address(),
                checks_token: index % 2 == 0,
            });
        }
    }
    let mut regions: Vec<String> = options
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
        shards: options.shards,
        limits: Limits {
            slots: options.slots,
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

/// User and system CPU time of a process; assumes clock ticks of 10 ms.
fn process_cpu_time(pid: u32) -> Duration {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields_after_name = text.rsplit(") ").next().unwrap_or_default();
    let fields: Vec<&str> = fields_after_name.split(' ').collect();
    let ticks_at = |index: usize| -> u64 {
        let field = fields.get(index).copied().unwrap_or("0");
        field.parse().unwrap_or(0)
    };
    Duration::from_millis((ticks_at(11) + ticks_at(12)) * 10)
}
