//! A fleet whose nodes run in this process. Each node has its own loopback address, and all
//! use the same ports, as on real machines.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use coursestand_catalog::patch::Upsert;
use coursestand_catalog::{Patch, RouteKind};
use coursestand_daemon::fleet::Node;
use coursestand_dialect::Native;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_lab::items;
use coursestand_model::fleet::{
    BalanceSettings, FleetBounds, FleetControlSettings, FleetEdgeSettings, FleetSettings,
};
use coursestand_model::{BackendId, RegionId, ServiceId, Span, ZoneId};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Longer than any step of a test should take.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(40);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

const INTERNAL: usize = 0;
const CONTROL: usize = 1;
const LOOKUP: usize = 2;
const ADMIN: usize = 3;
const FRONT: usize = 4;
const READY: usize = 5;
const PORT_COUNT: usize = 6;

/// Number of networks; the third byte of 127.78.0.0/16 selects one.
const NETWORK_COUNT: u8 = 254;
/// Host whose socket marks a network as in use; no node has this host.
const GUARD_HOST: u8 = 254;
/// Port of that socket, below the range of ephemeral ports.
const GUARD_PORT: u16 = 20_000;

/// A loopback network that no other deployment uses, in this process or another one. Needed
/// because ports that are free on one address may be in use on the next.
struct Network {
    number: u8,
    /// Open as long as the network is in use.
    _guard: TcpListener,
}

impl Network {
    /// Reserves a free network.
    fn acquire() -> Network {
        let first = std::process::id() % u32::from(NETWORK_COUNT);
        (0..u32::from(NETWORK_COUNT))
            .map(|offset| (first + offset) % u32::from(NETWORK_COUNT))
            .find_map(|number| Network::try_acquire(number as u8))
            .expect("a free network")
    }

    fn try_acquire(number: u8) -> Option<Network> {
        let guard = TcpListener::bind((ip_in(number, GUARD_HOST), GUARD_PORT)).ok()?;
        Some(Network {
            number,
            _guard: guard,
        })
    }
}

fn ip_in(network: u8, host: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(127, 78, network, host))
}

pub struct Deployment {
    network: Network,
    ports: [u16; PORT_COUNT],
    seeds: Vec<u8>,
    pub folder: tempfile::TempDir,
    pub nodes: BTreeMap<u8, Node>,
    pub http: reqwest::Client,
}

/// Returns free ports that the system assigns. All stay bound until the last is assigned, so
/// that they differ.
fn free_ports() -> [u16; PORT_COUNT] {
    let listeners: Vec<TcpListener> = (0..PORT_COUNT)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a port"))
        .collect();
    let ports: Vec<u16> = listeners
        .iter()
        .map(|listener| listener.local_addr().expect("an address").port())
        .collect();
    ports.try_into().expect("one port per listener")
}

impl Deployment {
    pub fn new(seeds: &[u8]) -> Deployment {
        Deployment::in_folder(seeds, tempfile::tempdir().expect("a folder"))
    }

    /// Like [`Self::new`], with all files in `folder`.
    pub fn in_folder(seeds: &[u8], folder: tempfile::TempDir) -> Deployment {
        Deployment {
            network: Network::acquire(),
            ports: free_ports(),
            seeds: seeds.to_vec(),
            folder,
            nodes: BTreeMap::new(),
            http: reqwest::Client::builder()
                .timeout(Duration::from_secs(3))
                // Connections to a stopped node stay open, since it ran in this process.
                .pool_max_idle_per_host(0)
                .build()
                .expect("a client"),
        }
    }

    pub fn ip(&self, host: u8) -> IpAddr {
        ip_in(self.network.number, host)
    }

    /// Returns an address at which a process of this host can listen behind a relay at its own one.
    pub fn hidden_ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, 79, self.network.number, host))
    }

    fn address(&self, host: u8, port: usize) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.ports[port])
    }

    pub fn data_folder(&self, host: u8) -> PathBuf {
        self.folder.path().join(host.to_string())
    }

    fn settings(&self, host: u8, bootstrap: bool) -> FleetSettings {
        FleetSettings {
            name: format!("node-{host}"),
            zone: ZoneId::from("z-1"),
            region: RegionId::from("z"),
            zones: BTreeMap::from([(ZoneId::from("z-1"), RegionId::from("z"))]),
            ip: self.ip(host),
            listen_ip: None,
            internal_ports: (self.ports[INTERNAL], self.ports[INTERNAL]),
            seeds: self
                .seeds
                .iter()
                .map(|seed| self.address(*seed, CONTROL))
                .collect(),
            link_mbps: None,
            memory_mb: None,
            bootstrap,
            admin_listen: self.address(host, ADMIN),
            log_level: "info".to_owned(),
            control: None,
            edge: None,
            bounds: FleetBounds {
                lost_disks: 2,
                heartbeat: Span(1_500),
                stop: Span(4_000),
                lookup_ttl: Span(5_000),
                retry_ratio: 0.2,
                retry_extra: 64.0,
                retry_window: Span(10_000),
                cold_overage: 1.5,
                cold_slack: 5.0,
            },
            balance: BalanceSettings::default(),
        }
    }

    pub fn control_settings(&self, host: u8, bootstrap: bool) -> FleetSettings {
        std::fs::create_dir_all(self.data_folder(host)).expect("a folder");
        let mut settings = self.settings(host, bootstrap);
        settings.control = Some(FleetControlSettings {
            listen: self.address(host, CONTROL),
            lookup_listen: self.address(host, LOOKUP),
            data_folder: self.data_folder(host),
        });
        settings
    }

    pub fn edge_settings(&self, host: u8) -> FleetSettings {
        let mut settings = self.settings(host, false);
        settings.edge = Some(FleetEdgeSettings {
            listen: self.address(host, FRONT),
            ready_listen: self.address(host, READY),
        });
        settings
    }

    pub async fn start_control(&mut self, host: u8, bootstrap: bool) {
        let settings = self.control_settings(host, bootstrap);
        self.start(host, settings).await;
    }

    pub async fn start_edge(&mut self, host: u8) {
        let settings = self.edge_settings(host);
        self.start(host, settings).await;
    }

    pub async fn start(&mut self, host: u8, settings: FleetSettings) {
        // The sockets of the node's previous run may still be closing.
        let started = std::time::Instant::now();
        let node = loop {
            match Node::start(&settings, None, Arc::new(Native)).await {
                Ok(node) => break node,
                Err(error) if started.elapsed() < TEST_TIMEOUT => {
                    log::debug!("the node can't start: {error}");
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                Err(error) => panic!("node {host} does not start in time: {error}"),
            }
        };
        self.nodes.insert(host, node);
    }

    /// Stops a node abruptly, as a crash would.
    pub async fn stop(&mut self, host: u8) {
        let node = self.nodes.remove(&host).expect("the node runs");
        node.stop().await;
    }

    /// Stops a node abruptly and deletes its data.
    pub async fn wipe(&mut self, host: u8) {
        self.stop(host).await;
        std::fs::remove_dir_all(self.data_folder(host)).expect("removed");
    }

    /// Returns the addresses of the voters according to `host`; none while it has no leader or
    /// is not a voter under its current identity.
    pub fn voters(&self, host: u8) -> Vec<String> {
        let dump = self.nodes[&host].kernel().dump();
        let replica = &dump["hub"]["replica"];
        if replica["leader"].is_null() {
            return Vec::new();
        }
        let members = replica["members"].as_array().cloned().unwrap_or_default();
        let replica_id = &replica["identity"]["replica"];
        let is_voter = members
            .iter()
            .any(|member| member["replica"] == *replica_id && member["voter"] == true);
        if !is_voter {
            return Vec::new();
        }
        let mut voters: Vec<String> = members
            .iter()
            .filter(|member| member["voter"] == true)
            .filter_map(|member| member["address"].as_str().map(str::to_owned))
            .collect();
        voters.sort();
        voters
    }

    /// Returns the host that leads, if one does.
    pub fn leader(&self) -> Option<u8> {
        let leads = |node: &Node| !node.kernel().dump()["hub"]["leading_term"].is_null();
        let nodes = self.nodes.iter();
        nodes
            .filter(|(_, node)| leads(node))
            .map(|(host, _)| *host)
            .next()
    }

    /// Waits until each of these hosts reports exactly these hosts as voters.
    pub async fn wait_for_voters(&self, hosts: &[u8]) {
        let mut expected: Vec<String> = hosts
            .iter()
            .map(|host| self.address(*host, INTERNAL).to_string())
            .collect();
        expected.sort();
        self.wait_until(&format!("voters {hosts:?}"), || {
            hosts.iter().all(|host| self.voters(*host) == expected)
        })
        .await;
    }

    pub async fn wait_until(&self, description: &str, condition: impl Fn() -> bool) {
        let started = std::time::Instant::now();
        while !condition() {
            if started.elapsed() > TEST_TIMEOUT {
                let dumps: Vec<Value> = self
                    .nodes
                    .values()
                    .map(|node| node.kernel().dump())
                    .collect();
                panic!("timed out waiting for: {description}; {dumps:#?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends a change to one host after another until one answers with a status other than
    /// 503, and returns that status.
    pub async fn patch(&self, hosts: &[u8], patch: &Patch) -> u16 {
        let started = std::time::Instant::now();
        for host in hosts.iter().cycle() {
            let url = format!("{}/v1/catalog", self.control_url(*host));
            let body = serde_json::to_string(patch).expect("JSON");
            if let Ok(answer) = self.http.post(url).body(body).send().await
                && answer.status() != 503
            {
                return answer.status().as_u16();
            }
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "no answer other than 503 in time"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        0
    }

    /// Sends a body as a change once. Returns the status, or 0 if there is no answer.
    pub async fn try_patch(&self, host: u8, body: &str) -> u16 {
        let url = format!("{}/v1/catalog", self.control_url(host));
        let answer = self.http.post(url).body(body.to_owned()).send().await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    /// Returns the keys and versions of the catalog's items as read from `host`, and retries
    /// until it answers.
    pub async fn read(&self, host: u8) -> BTreeMap<String, u64> {
        let started = std::time::Instant::now();
        loop {
            let url = format!("{}/v1/catalog", self.control_url(host));
            if let Ok(answer) = self.http.get(url).send().await
                && answer.status() == 200
            {
                let value: Value =
                    serde_json::from_str(&answer.text().await.expect("a body")).expect("JSON");
                let items = value["items"].as_array().cloned().unwrap_or_default();
                return items
                    .iter()
                    .map(|item| {
                        let version = item["version"].as_u64().unwrap_or_default();
                        (item["key"].to_string(), version)
                    })
                    .collect();
            }
            if started.elapsed() > TEST_TIMEOUT {
                let dumps: Vec<Value> = self
                    .nodes
                    .values()
                    .map(|node| node.kernel().dump()["hub"]["replica"].clone())
                    .collect();
                panic!("the catalog can't be read at {host}; {dumps:#?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub async fn heartbeat(&self, host: u8, update: &InstanceUpdate) -> u16 {
        let id = &update.instance.id;
        let url = format!("{}/v1/backends/{id}", self.control_url(host));
        let mut body = serde_json::to_value(update).expect("JSON");
        if let Some(born) = update.instance.born {
            body["born"] = born.into();
        }
        let answer = self.http.post(url).body(body.to_string()).send().await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    /// Sends a heartbeat a second after its connection was opened. Returns the status line.
    pub async fn deliver_on_old_connection(&self, host: u8, update: &InstanceUpdate) -> String {
        let address = self.address(host, CONTROL);
        let mut stream = TcpStream::connect(address).await.expect("connected");
        tokio::time::sleep(Duration::from_secs(1)).await;
        let mut body = serde_json::to_value(update).expect("JSON");
        body["born"] = update.instance.born.into();
        let (id, body) = (&update.instance.id, body.to_string());
        let length = body.len();
        let call = format!(
            "POST /v1/backends/{id} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
        );
        stream.write_all(call.as_bytes()).await.expect("sent");
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.expect("read");
        answer.lines().next().unwrap_or_default().to_owned()
    }

    pub async fn deregister(&self, host: u8, id: &str) -> u16 {
        let url = format!("{}/v1/backends/{id}", self.control_url(host));
        let answer = self.http.delete(url).send().await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    pub async fn evacuate(&self, host: u8, zone: &str) -> u16 {
        let url = format!("{}/v1/closed-zones/{zone}", self.control_url(host));
        let answer = self.http.put(url).send().await;
        answer.map_or(0, |answer| answer.status().as_u16())
    }

    /// Returns the URL of look-ups without the client's place.
    pub fn lookup_url(&self, host: u8) -> String {
        format!("http://{}/v1/entry-daemons", self.address(host, LOOKUP))
    }

    pub async fn lookup(&self, host: u8) -> Vec<String> {
        let url = format!("{}?region=z&zone=z-1", self.lookup_url(host));
        let Ok(answer) = self.http.get(url).send().await else {
            return Vec::new();
        };
        let text = answer.text().await.unwrap_or_default();
        let value: Value = serde_json::from_str(&text).unwrap_or_default();
        let addresses = value["addresses"].as_array().cloned().unwrap_or_default();
        addresses
            .iter()
            .filter_map(|address| address.as_str().map(str::to_owned))
            .collect()
    }

    /// Waits until the addresses of a look-up at `host` meet the condition.
    pub async fn wait_for_lookup(
        &self,
        host: u8,
        description: &str,
        condition: impl Fn(&[String]) -> bool,
    ) {
        let started = std::time::Instant::now();
        while !condition(&self.lookup(host).await) {
            assert!(
                started.elapsed() < TEST_TIMEOUT,
                "timed out waiting for: {description}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the address at which a host accepts connections of other processes.
    pub fn internal(&self, host: u8) -> SocketAddr {
        self.address(host, INTERNAL)
    }

    pub async fn metrics(&self, host: u8) -> String {
        let url = format!("http://{}/metrics", self.address(host, ADMIN));
        let answer = self.http.get(url).send().await.expect("an answer");
        answer.text().await.expect("a body")
    }

    pub fn control_url(&self, host: u8) -> String {
        format!("http://{}", self.address(host, CONTROL))
    }

    pub fn front(&self, host: u8) -> SocketAddr {
        self.address(host, FRONT)
    }

    pub async fn request(&self, host: u8, path: &str, id: &str) -> u16 {
        let url = format!("http://{}{path}", self.front(host));
        let request = self
            .http
            .get(url)
            .header("host", "h.example")
            .header("x-request-id", id)
            .header("x-object-key", "k");
        request
            .send()
            .await
            .map_or(0, |answer| answer.status().as_u16())
    }

    /// Sends a request that names no object, so that any back end may get it. The task returns
    /// the status, or 0 if there is no answer.
    pub fn spawn_request_without_object(&self, host: u8, path: &str) -> JoinHandle<u16> {
        let url = format!("http://{}{path}", self.front(host));
        let request = self.http.get(url).header("host", "h.example").send();
        tokio::spawn(async move {
            let answer = request.await;
            answer.map_or(0, |answer| answer.status().as_u16())
        })
    }

    /// Returns the phase of a back end according to an entry daemon.
    pub fn phase_at(&self, host: u8, id: &str) -> Option<String> {
        let dump = self.nodes[&host].kernel().dump();
        let backends = dump["edge"]["backends"].as_array()?.clone();
        let backend = backends.iter().find(|backend| backend["id"] == id)?;
        backend["phase"].as_str().map(str::to_owned)
    }

    pub fn catalog_version_at(&self, host: u8) -> u64 {
        let dump = self.nodes[&host].kernel().dump();
        dump["edge"]["catalog_version"].as_u64().unwrap_or_default()
    }
}

fn route(name: &str, version: u64) -> Upsert {
    let route = items::route(name, "s", RouteKind::Repeatable, 2_000);
    items::route_item(name, version, route)
}

/// Returns a change that adds a service, limits and a route `a`.
pub fn first_items() -> Patch {
    Patch {
        upserts: vec![items::service("s"), items::limits(), route("a", 1)],
        removals: Vec::new(),
    }
}

/// Returns a change that sets one route.
pub fn one_route(name: &str, version: u64) -> Patch {
    Patch {
        upserts: vec![route(name, version)],
        removals: Vec::new(),
    }
}

/// Returns the key of a route in the JSON of the catalog.
pub fn key_of(name: &str) -> String {
    format!("{{\"Route\":\"{name}\"}}")
}

pub fn heartbeat_of(
    id: &str,
    address: SocketAddr,
    sequence: u64,
    phase: InstancePhase,
) -> InstanceUpdate {
    InstanceUpdate {
        instance: Instance {
            id: BackendId::from(id),
            born: None,
            service: ServiceId::from("s"),
            address,
            zone: ZoneId::from("z-1"),
            capacity: 4,
            software: "v1".to_owned(),
            sequence,
            phase,
        },
        cold_ms: 0,
    }
}
