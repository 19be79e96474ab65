//! A daemon whose connections to back ends break while new ones are refused: the back ends have
//! crashed, or the daemon has lost its own links to them.
#![allow(missing_docs)]

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{Caller, Edge, RouteSettings, instance_update};
use coursestand_discovery::InstancePhase;
use coursestand_lab::scripted::{Behaviour, ScriptedBackend};
use coursestand_routing::{Finding, SharedFinding};
use googletest::prelude::*;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;
use tokio::task::{JoinHandle, JoinSet};

const BACKENDS: usize = 4;
const WORK: Duration = Duration::from_secs(3);
/// Time in which a crash is detected and reported.
const DETECTION: Duration = Duration::from_millis(600);

/// A link to a back end. Losing it breaks its connections and refuses new ones.
struct Link {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Link {
    async fn start(target: SocketAddr) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let task = tokio::spawn(async move {
            // Dropped with this task, which ends all connections.
            let mut connections = JoinSet::new();
            while let Ok((mut daemon, _)) = listener.accept().await {
                connections.spawn(async move {
                    let mut backend = TcpStream::connect(target).await?;
                    tokio::io::copy_bidirectional(&mut daemon, &mut backend).await
                });
            }
        });
        Link { address, task }
    }

    fn lose(&self) {
        self.task.abort();
    }
}

struct Fixture {
    edge: Edge,
    links: Vec<Link>,
    findings: broadcast::Receiver<SharedFinding>,
    _callers: Vec<Caller>,
}

impl Fixture {
    /// Starts a daemon with a request in progress at each back end.
    async fn start() -> Fixture {
        let mut edge = Edge::start(RouteSettings::default(), Vec::new()).await;
        let mut links = Vec::new();
        for number in 0..BACKENDS {
            let backend = ScriptedBackend::start(Vec::new(), Behaviour::Slow(WORK)).await;
            let backend = backend.expect("a back end");
            let link = Link::start(backend.address()).await;
            let ready = instance_update(number, link.address, InstancePhase::Ready);
            edge.state.adopt_instances(vec![ready]);
            links.push(link);
            edge.backends.push(backend);
        }
        let findings = edge.state.findings();
        let mut callers = Vec::new();
        let is_busy = |backend: &ScriptedBackend| backend.arrival_count() > 0;
        while !edge.backends.iter().all(is_busy) {
            let mut caller = Caller::connect(edge.server.address()).await;
            let id = format!("r{}", callers.len());
            caller.send_for_object("/once/a", &id, &id).await;
            callers.push(caller);
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Fixture {
            edge,
            links,
            findings,
            _callers: callers,
        }
    }

    /// Returns the number of crashes that the daemon reported.
    async fn reported_crashes(&mut self) -> usize {
        tokio::time::sleep(DETECTION).await;
        let findings = std::iter::from_fn(|| self.findings.try_recv().ok());
        let is_crash = |shared: &SharedFinding| matches!(shared.finding, Finding::Ended { .. });
        findings.filter(is_crash).count()
    }
}

/// Guards against a daemon that reports all its back ends as crashed, with all its requests in
/// flight there, because it has lost its own links.
#[gtest]
#[tokio::test]
async fn lost_links_to_all_back_ends_are_no_crashes() {
    let mut fixture = Fixture::start().await;
    fixture.links.iter().for_each(Link::lose);
    expect_that!(fixture.reported_crashes().await, eq(0));
    let routing = fixture.edge.state.routing();
    let now = fixture.edge.state.now();
    expect_that!(routing.fatal.views(now), is_empty());
}

/// Guards against crashes that are no longer reported, because the daemon suspects itself.
#[gtest]
#[tokio::test]
async fn a_lost_link_to_one_back_end_is_its_crash() {
    let mut fixture = Fixture::start().await;
    fixture.links[0].lose();
    expect_that!(fixture.reported_crashes().await, eq(1));
}

/// Guards against half of the back ends that are taken for crashed or for lost as a whole.
#[gtest]
#[tokio::test]
async fn crashes_of_half_of_the_back_ends_are_reported() {
    let mut fixture = Fixture::start().await;
    let half = &fixture.links[..BACKENDS / 2];
    half.iter().for_each(Link::lose);
    expect_that!(fixture.reported_crashes().await, eq(BACKENDS / 2));
}
