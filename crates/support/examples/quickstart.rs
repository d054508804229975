//! Runs hosts and servers on loopback in one process: sends requests, kills a server, and takes a
//! failure domain out of service and back.
//!
//! `cargo run --release --example quickstart`

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use amaranthshunt_clients::{HttpClient, StoreClient};
use amaranthshunt_core::catalogue::{Class, Entry, Limits, Server};
use amaranthshunt_core::ids::Revision;
use amaranthshunt_core::object::ObjectKey;
use amaranthshunt_core::record::{OperatorOrder, PlacementRecord, Subject};
use amaranthshunt_host::Node;
use amaranthshunt_settings::read_host_file;
use amaranthshunt_support::{BackendOptions, FakeBackend, FakeStore, Journal, free_address};
use async_std::task;
use http_types::{Method, Request, Url};

/// The failure domains of the quickstart.
const DOMAINS: [&str; 2] = ["este/e1", "este/e2"];
/// Time limit of each step.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);

type BoxError = Box<dyn std::error::Error>;

struct Cluster {
    store: FakeStore,
    client: StoreClient,
    nodes: Vec<Arc<Node>>,
    backends: Vec<FakeBackend>,
    journal: Arc<Journal>,
    http: HttpClient,
}

fn main() -> Result<(), BoxError> {
    task::block_on(run())
}

async fn run() -> Result<(), BoxError> {
    let cluster = start().await?;
    println!("two failure domains, {} hosts, {} backend servers", 4, 4);
    cluster.wait_for_success("k1").await?;
    let started = Instant::now();
    for number in 0..200 {
        cluster
            .expect_success(&format!("k{number}"), number)
            .await?;
    }
    println!("200 requests answered in {:?}", started.elapsed());
    kill_owner(&cluster).await?;
    take_domain_out(&cluster).await?;
    println!(
        "{} executions, {} double runs, {} double owners, {} overruns",
        cluster.journal.total(),
        cluster.journal.double_runs(),
        cluster.journal.double_owners(),
        cluster.journal.overruns()
    );
    println!("store: {:?} reads, writes, watches", cluster.store.calls());
    for node in &cluster.nodes {
        node.abort();
    }
    Ok(())
}

async fn kill_owner(cluster: &Cluster) -> Result<(), BoxError> {
    let owner = &cluster.backends[0];
    let key = cluster.find_key_of(&owner.options().name).await?;
    println!(
        "key {key} is owned by {}, which is killed now",
        owner.options().name
    );
    owner.kill();
    let took = cluster.wait_for_success(&key).await?;
    println!("key {key} is served again after {took:?}");
    owner.restart().await?;
    Ok(())
}

async fn take_domain_out(cluster: &Cluster) -> Result<(), BoxError> {
    cluster.set_domain_out(true).await?;
    let started = Instant::now();
    while cluster.shards_owned_in(DOMAINS[0]).await? > 0 {
        check_step_timeout(started)?;
        cluster.expect_success("k7", 0).await?;
    }
    println!(
        "{} is out after {:?}; requests went on",
        DOMAINS[0],
        started.elapsed()
    );
    cluster.set_domain_out(false).await?;
    let started = Instant::now();
    while cluster.shards_owned_in(DOMAINS[0]).await? < 10 {
        check_step_timeout(started)?;
        cluster.expect_success("k7", 0).await?;
    }
    println!("{} is back after {:?}", DOMAINS[0], started.elapsed());
    Ok(())
}

fn check_step_timeout(started: Instant) -> Result<(), BoxError> {
    if started.elapsed() > STEP_TIMEOUT {
        return Err("a step did not complete within its time limit".into());
    }
    Ok(())
}

impl Cluster {
    async fn expect_success(&self, key: &str, host: usize) -> Result<(), BoxError> {
        let host = self.nodes[host % self.nodes.len()]
            .settings()
            .callers_address;
        let status = self.send(host, key).await?;
        if status == 200 {
            return Ok(());
        }
        Err(format!("{key} was answered with status {status}").into())
    }

    async fn wait_for_success(&self, key: &str) -> Result<Duration, BoxError> {
        let host = self.nodes[0].settings().callers_address;
        let started = Instant::now();
        while self.send(host, key).await? != 200 {
            check_step_timeout(started)?;
            task::sleep(Duration::from_millis(5)).await;
        }
        Ok(started.elapsed())
    }

    async fn send(&self, host: SocketAddr, key: &str) -> Result<u16, BoxError> {
        let url = Url::parse(&format!("http://{host}/v1/catalogue/{key}"))?;
        let mut request = Request::new(Method::Post, url);
        request.set_body(key);
        let reply = self.http.send(host, request, STEP_TIMEOUT).await?;
        Ok(reply.status)
    }

    async fn read_placement(&self) -> Result<PlacementRecord, BoxError> {
        let key = ObjectKey::placement("catalogue", "este");
        let current = self.client.get(&key).await?;
        Ok(serde_json::from_slice(&current.value.unwrap_or_default())?)
    }

    async fn shards_owned_in(&self, domain: &str) -> Result<usize, BoxError> {
        let prefix = domain.replace('/', "-");
        let record = self.read_placement().await?;
        let shards = record.shards.iter();
        Ok(shards
            .filter(|shard| shard.server.starts_with(&prefix))
            .count())
    }

    /// Finds a key whose shard a server owns.
    async fn find_key_of(&self, server: &str) -> Result<String, BoxError> {
        let record = self.read_placement().await?;
        for number in 0..1_000 {
            let request = amaranthshunt_core::Request {
                entry: "catalogue".to_owned(),
                tenant: String::new(),
                key: format!("k{number}"),
                idempotency_key: None,
                is_retry: false,
                deadline: amaranthshunt_core::Time::ZERO,
                body: bytes::Bytes::new(),
            };
            let index = request.key_hash() as u32 as usize % record.shards.len();
            if record.shards[index].server == server {
                return Ok(request.key);
            }
        }
        Err("the server owns none of the keys that were tried".into())
    }

    async fn set_domain_out(&self, out: bool) -> Result<(), BoxError> {
        let key = ObjectKey::order(&Subject::Domain(DOMAINS[0].parse()?));
        let current = self.client.get(&key).await?;
        let order = OperatorOrder {
            out,
            operator: "quickstart".to_owned(),
        };
        let value = serde_json::to_vec(&order)?;
        self.client
            .put(&key, current.revision, value.into())
            .await?;
        Ok(())
    }
}

async fn start() -> Result<Cluster, BoxError> {
    let store = FakeStore::start(free_address()).await?;
    let client = StoreClient::new(store.address(), Duration::from_secs(2));
    let journal = Arc::new(Journal::default());
    let entry = build_entry()?;
    let mut backends = Vec::new();
    for server in &entry.servers {
        let options = BackendOptions {
            name: server.name.clone(),
            entry: entry.name.clone(),
            address: server.address,
            checks_token: server.checks_token,
            slots: entry.limits.slots as usize,
            cold_slots: entry.limits.cold_slots as usize,
            warm_up: Duration::from_millis(u64::from(entry.limits.warm_up)),
            service_time: Duration::from_millis(2),
        };
        backends.push(FakeBackend::start(options, journal.clone()).await?);
    }
    let value = serde_json::to_vec(&entry)?;
    client
        .put(&ObjectKey::entry(&entry.name), Revision(0), value.into())
        .await?;
    let mut nodes = Vec::new();
    for domain in DOMAINS {
        for index in 0..2 {
            nodes.push(start_host(domain, index, store.address()).await?);
        }
    }
    Ok(Cluster {
        store,
        client,
        nodes,
        backends,
        journal,
        http: HttpClient::default(),
    })
}

async fn start_host(domain: &str, index: usize, store: SocketAddr) -> Result<Arc<Node>, BoxError> {
    let name = format!("{}-h{index}", domain.replace('/', "-"));
    let text = format!(
        "name = \"{name}\"\ndomain = \"{domain}\"\n\
         [listen]\ncallers = \"{}\"\nhosts = \"{}\"\n[platform]\nstore = \"{store}\"\n",
        free_address(),
        free_address()
    );
    Ok(Node::start(read_host_file("quickstart", &text)?).await?)
}

fn build_entry() -> Result<Entry, BoxError> {
    let mut servers = Vec::new();
    for domain in DOMAINS {
        for index in 0..2 {
            servers.push(Server {
                name: format!("{}-s{index}", domain.replace('/', "-")),
                domain: domain.parse()?,
                address: free_address(),
                checks_token: index == 0,
            });
        }
    }
    Ok(Entry {
        name: "catalogue".to_owned(),
        owner: "quickstart".to_owned(),
        class: Class::Read,
        regions: vec!["este".to_owned()],
        tenants: std::collections::BTreeMap::new(),
        shards: 32,
        limits: Limits {
            slots: 4,
            cold_slots: 1,
            warm_up: 200,
            connections: 110,
            queue: 64,
            body: 65_536,
        },
        servers,
    })
}
