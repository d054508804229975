//! A host process with its store and backend servers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use amaranthshunt_support::free_address;
use amaranthshunt_support::platform::{
    FakeObjectStore, FakeUpstream, FaultProxy, ServerRecorder, UpstreamOptions,
};
use async_std::net::TcpStream;
use async_std::task;
use http_types::{Method, Request, Response, Url};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};

pub(crate) const PROGRAM: &str = env!("CARGO_BIN_EXE_amaranthshunt");

/// Memory of the host according to its settings, in MB.
pub(crate) const MEMORY_MB: u64 = 160;

/// A host, its store and one backend server of each service.
pub(crate) struct Site {
    pub(crate) store: FakeObjectStore,
    pub(crate) recorder: ServerRecorder,
    pub(crate) servers: Vec<FakeUpstream>,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    /// The first host; `None` if the test starts its hosts itself.
    pub(crate) child: Option<Child>,
    pub(crate) folder: PathBuf,
}

impl Site {
    /// Waits until the process of the first host has ended.
    pub(crate) fn wait_for_exit(&mut self) -> ExitStatus {
        let child = self.child.as_mut().expect("the site has a host");
        child.wait().unwrap()
    }

    /// Identifier of the process of the first host.
    pub(crate) fn process_id(&self) -> u32 {
        self.child.as_ref().expect("the site has a host").id()
    }
}

impl Site {
    /// Adds a backend server.
    pub(crate) async fn add_server(&mut self, service: &str, id: &str) {
        let server = start_server(&self.store, &self.recorder, service, id).await;
        self.servers.push(server);
    }

    /// The server with an identifier.
    pub(crate) fn server(&self, id: &str) -> &FakeUpstream {
        let mut servers = self.servers.iter();
        servers.find(|server| server.options().id == id).unwrap()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) fn settings(store: SocketAddr, callers: SocketAddr, ready: SocketAddr) -> String {
    let peers = free_address();
    format!(
        r#"Node = "host-0"
Ip = "{}"
Zone = "east-a"
Region = "east"
InternalPorts = [{}, {}]
Bounds = ["GraceS=6","DrainMs=2500","MaxHoldMs=10000","RetryBudgetRatio=0.2","BudgetSlack=58","WarmupOvershoot=1.5","WarmupSlack=5"]
[Zones]
east-a = "east"
[Listen]
Front = "{callers}"
Ready = "{ready}"
[Limits]
MemoryMb = {MEMORY_MB}
[Platform]
Address = "{store}"
"#,
        peers.ip(),
        peers.port(),
        peers.port()
    )
}

pub(crate) fn config(version: u64, orders_prefix: &str) -> Value {
    let route = |prefix: &str, service: &str, kind: &str| {
        json!({
            "Host": "shop", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 1500, "TargetLatencyMs": 500,
            "Priority": 1, "MaxAttempts": 2, "AllowedRegions": [], "Service": service,
        })
    };
    let service = |keyed: bool| json!({ "HealthPath": "/health", "MaxConnections": 100, "WarmupS": 1.0, "WarmupPerS": 60, "Sharded": keyed });
    json!({
        "Version": format!("r{version}"),
        "Routes": { "read": route("/read/", "catalogue", "safe"), "pay": route(orders_prefix, "orders", "unsafe") },
        "Services": { "catalogue": service(true), "orders": service(false) },
        "Limits": { "MaxHeaderBytes": 4096, "MaxBodyBytes": 10000, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000 },
    })
}

pub(crate) fn spawn(folder: &Path, text: &str) -> Child {
    std::fs::create_dir_all(folder).unwrap();
    let path = folder.join("settings.toml");
    std::fs::write(&path, text).unwrap();
    Command::new(PROGRAM)
        .arg("front")
        .env("AMARANTHSHUNT_CONFIG", path)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap()
}

pub(crate) async fn start_site(name: &str) -> Site {
    let mut site = start_site_without_host(name).await;
    let text = settings(site.store.address(), site.callers, site.ready);
    site.child = Some(spawn(&site.folder, &text));
    wait_until("the host serves keys", async || {
        status(&ask(&site, Method::Get, "/read/x", "first").await) == 200
    })
    .await;
    site
}

/// The store and the servers of a site.
pub(crate) async fn start_site_without_host(name: &str) -> Site {
    let store = FakeObjectStore::start(free_address()).await.unwrap();
    let recorder = ServerRecorder::default();
    store.put("config", "main", config(1, "/pay/"), Value::Null);
    let mut servers = Vec::new();
    for service in ["catalogue", "orders"] {
        let id = format!("{service}-0");
        servers.push(start_server(&store, &recorder, service, &id).await);
    }
    // An invalid server object, which the host must ignore.
    store.put(
        "servers",
        "forged",
        json!({ "Address": 7 }),
        json!({ "State": "?" }),
    );
    let (callers, ready) = (free_address(), free_address());
    let folder = std::env::temp_dir().join(format!("amaranthshunt-{name}-{}", std::process::id()));
    Site {
        store,
        recorder,
        servers,
        callers,
        ready,
        child: None,
        folder,
    }
}

/// Starts a backend server; those of the service `catalogue` hold keys.
pub(crate) async fn start_server(
    store: &FakeObjectStore,
    recorder: &ServerRecorder,
    service: &str,
    id: &str,
) -> FakeUpstream {
    let listen = free_address();
    let options = UpstreamOptions {
        id: id.to_owned(),
        service: service.to_owned(),
        domain: "east-a".to_owned(),
        holds_keys: service == "catalogue",
        slots: 4,
        service_time: Duration::from_millis(30),
        listen,
        address: listen,
    };
    FakeUpstream::start(options, store.clone(), recorder.clone())
        .await
        .unwrap()
}

pub(crate) async fn wait_until(condition: &str, is_met: impl AsyncFn() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !is_met().await {
        assert!(Instant::now() < end, "not within 20 s: {condition}");
        task::sleep(Duration::from_millis(50)).await;
    }
}

pub(crate) async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    id: &str,
) -> Option<Response> {
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(method, url);
    request.insert_header("Host", "shop");
    request.insert_header("Request-Id", id);
    request.insert_header("Request-Deadline-Ms", "3000");
    request.insert_header("Shard-Key", "7");
    if method == Method::Post {
        request.set_body("an order");
    }
    let stream = TcpStream::connect(address).await.ok()?;
    async_h1::connect(stream, request).await.ok()
}

pub(crate) async fn ask(site: &Site, method: Method, path: &str, id: &str) -> Option<Response> {
    send(site.callers, method, path, id).await
}

pub(crate) fn status(response: &Option<Response>) -> u16 {
    response
        .as_ref()
        .map_or(0, |response| response.status().into())
}

/// A second host of a site that reaches the store through a fault proxy.
pub(crate) struct SecondHost {
    pub(crate) store: FaultProxy,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
    pub(crate) child: Child,
    pub(crate) folder: PathBuf,
}

impl Drop for SecondHost {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub(crate) async fn add_host(site: &Site, name: &str) -> SecondHost {
    add_host_at(name, site.store.address(), "host-1").await
}

/// Adds a host that reads the store at an address.
pub(crate) async fn add_host_at(name: &str, store: SocketAddr, node: &str) -> SecondHost {
    let host = spawn_host_at(name, store, node, |text| text.to_owned()).await;
    wait_until("the second host serves keys", async || {
        status(&send(host.callers, Method::Get, "/read/x", "second").await) == 200
    })
    .await;
    host
}

/// Adds a host with changed settings, and waits until it serves.
pub(crate) async fn add_host_with(
    site: &Site,
    name: &str,
    change: impl Fn(&str) -> String,
    serves: impl AsyncFn(SocketAddr) -> bool,
) -> SecondHost {
    let host = spawn_host_at(name, site.store.address(), "host-1", change).await;
    wait_until("the second host serves", async || {
        serves(host.callers).await
    })
    .await;
    host
}

async fn spawn_host_at(
    name: &str,
    store: SocketAddr,
    node: &str,
    change: impl Fn(&str) -> String,
) -> SecondHost {
    let store = FaultProxy::start(free_address(), store).await.unwrap();
    let (callers, ready) = (free_address(), free_address());
    let folder = std::env::temp_dir().join(format!("amaranthshunt-{name}-{}", std::process::id()));
    let text = settings(store.address(), callers, ready).replace("host-0", node);
    let child = spawn(&folder, &change(&text));
    SecondHost {
        store,
        callers,
        ready,
        child,
        folder,
    }
}

pub(crate) fn signal(site: &Site, signal: Signal) {
    kill_process(Pid::from_raw(site.process_id() as i32).unwrap(), signal).unwrap();
}

pub(crate) fn run_count(site: &Site, id: &str) -> usize {
    site.recorder
        .executions()
        .iter()
        .filter(|run| run.request == id)
        .count()
}
