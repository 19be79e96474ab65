//! A stand-in for an entry daemon that stops sending to control, as in a network partition,
//! while its admin interface keeps answering.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use coursestand_daemon::fleet::wire::{ToControl, ToEdge, TrailingFlag};
use coursestand_discovery::{EdgePhase, EdgeRecord};
use coursestand_model::{RegionId, ZoneId};
use coursestand_transport::stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const PING_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    is_silent: AtomicBool,
    is_unready: AtomicBool,
    /// The incarnation that the admin interface tells, if it tells one.
    told_incarnation: Mutex<Option<u64>>,
}

/// The stand-in; it runs as long as the test.
pub struct SilentEdge {
    record: EdgeRecord,
    state: Arc<State>,
}

impl SilentEdge {
    /// Starts the admin interface and connects with these control processes.
    pub async fn start(controls: impl IntoIterator<Item = SocketAddr>) -> SilentEdge {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let admin_address = listener.local_addr().expect("an address");
        let state = Arc::new(State::default());
        tokio::spawn(serve_health(listener, Arc::clone(&state)));
        let record = EdgeRecord {
            name: "silent".to_owned(),
            incarnation: 1,
            address: SocketAddr::from(([127, 0, 0, 1], 9)),
            admin_address,
            zone: ZoneId::from("z-1"),
            region: RegionId::from("z"),
            phase: EdgePhase::Ready,
        };
        for control in controls {
            tokio::spawn(ping_control(control, record.clone(), Arc::clone(&state)));
        }
        SilentEdge { record, state }
    }

    pub fn record(&self) -> &EdgeRecord {
        &self.record
    }

    /// Stops sending; the connections stay open.
    pub fn fall_silent(&self) {
        self.state.is_silent.store(true, Ordering::Relaxed);
    }

    /// Makes the admin interface tell an incarnation.
    pub fn tell_incarnation(&self, incarnation: u64) {
        *self.state.told_incarnation.lock().expect("no panic") = Some(incarnation);
    }

    pub fn set_ready(&self, is_ready: bool) {
        self.state.is_unready.store(!is_ready, Ordering::Relaxed);
    }
}

/// Connects with a control process and sends pings until the stand-in is silent.
async fn ping_control(control: SocketAddr, record: EdgeRecord, state: Arc<State>) {
    let connecting = stream::connect::<ToEdge, ToControl>(control).await;
    let (mut receiver, mut sender) = connecting.expect("connected");
    let hello = ToControl::EdgeHello {
        record,
        catalog_version: 0,
        reads_findings: TrailingFlag::default(),
        reads_crash_records: TrailingFlag::default(),
        reads_limits: TrailingFlag::default(),
        reads_relays: TrailingFlag::default(),
    };
    sender.send(&hello).await.expect("sent");
    let mut ping = tokio::time::interval(PING_INTERVAL);
    loop {
        tokio::select! {
            message = receiver.next() => if message.is_err() {
                return;
            },
            _ = ping.tick() => {
                let is_silent = state.is_silent.load(Ordering::Relaxed);
                if !is_silent && sender.send(&ToControl::EdgePing(0)).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn serve_health(listener: TcpListener, state: Arc<State>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = [0; 1024];
        // The answer is the same for any request.
        let _ = stream.read(&mut request).await;
        let status = if state.is_unready.load(Ordering::Relaxed) {
            "503 Service Unavailable"
        } else {
            "200 OK"
        };
        let told = *state.told_incarnation.lock().expect("no panic");
        let body = told.map_or_else(String::new, |told| format!("{{\"incarnation\":{told}}}"));
        let answer = format!(
            "HTTP/1.1 {status}\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
            body.len()
        );
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}
