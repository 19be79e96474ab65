//! A stand-in for an entry daemon that falls silent towards control, as behind a cut,
//! while its admin interface answers on.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use coursestand_daemon::fleet::wire::{ToControl, ToEdge, TrailingFlag};
use coursestand_discovery::{EdgePhase, EdgeRecord};
use coursestand_model::{RegionId, ZoneId};
use coursestand_transport::stream;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const PING: Duration = Duration::from_millis(500);

#[derive(Default)]
struct State {
    is_silent: AtomicBool,
    is_unready: AtomicBool,
}

/// The stand-in; it lives as long as the test.
pub struct SilentEdge {
    record: EdgeRecord,
    state: Arc<State>,
}

impl SilentEdge {
    /// Connects with these control processes.
    pub async fn start(controls: impl IntoIterator<Item = SocketAddr>) -> SilentEdge {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let admin_address = listener.local_addr().expect("an address");
        let state = Arc::new(State::default());
        tokio::spawn(tell_health(listener, Arc::clone(&state)));
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
            tokio::spawn(follow(control, record.clone(), Arc::clone(&state)));
        }
        SilentEdge { record, state }
    }

    pub fn record(&self) -> &EdgeRecord {
        &self.record
    }

    /// Sends nothing more; its connections stay open.
    pub fn fall_silent(&self) {
        self.state.is_silent.store(true, Ordering::Relaxed);
    }

    pub fn set_ready(&self, is_ready: bool) {
        self.state.is_unready.store(!is_ready, Ordering::Relaxed);
    }
}

async fn follow(control: SocketAddr, record: EdgeRecord, state: Arc<State>) {
    let connecting = stream::connect::<ToEdge, ToControl>(control).await;
    let (mut receiver, mut sender) = connecting.expect("connected");
    let hello = ToControl::EdgeHello {
        record,
        catalog_version: 0,
        reads_findings: TrailingFlag::default(),
        reads_crash_records: TrailingFlag::default(),
        reads_limits: TrailingFlag::default(),
    };
    sender.send(&hello).await.expect("sent");
    let mut ping = tokio::time::interval(PING);
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

async fn tell_health(listener: TcpListener, state: Arc<State>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut request = [0; 1024];
        // Whatever is asked, the answer is the same.
        let _ = stream.read(&mut request).await;
        let status = if state.is_unready.load(Ordering::Relaxed) {
            "503 Service Unavailable"
        } else {
            "200 OK"
        };
        let answer = format!("HTTP/1.1 {status}\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
        let _ = stream.write_all(answer.as_bytes()).await;
    }
}
