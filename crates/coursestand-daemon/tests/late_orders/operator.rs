//! An operator that gives each order a second, and then closes the connection and orders the same
//! at another process. Speaks HTTP over plain sockets, so that a test decides when the bytes of an
//! order and the close of its connection arrive.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that the operator waits for an answer.
pub const PATIENCE: Duration = Duration::from_secs(1);
/// Time for which the operator repeats an order until it is acknowledged.
const MAX_TIME_TO_ACKNOWLEDGE: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(100);

/// The answer to an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OrderAnswer {
    /// 0 if there was no answer.
    pub status: u16,
    /// Where a redirection leads: address and path.
    pub location: Option<(SocketAddr, String)>,
}

/// A call: method, path and body.
#[derive(Clone, Debug)]
pub struct Call {
    method: &'static str,
    path: String,
    body: String,
}

impl Call {
    /// Returns the order to evacuate a zone, or to end its evacuation.
    pub fn evacuate(zone: &str, is_active: bool) -> Call {
        Call {
            method: if is_active { "PUT" } else { "DELETE" },
            path: format!("/v1/closed-zones/{zone}"),
            body: String::new(),
        }
    }

    /// Returns a change of the catalog.
    pub fn patch(patch: &coursestand_catalog::Patch) -> Call {
        Call {
            method: "POST",
            path: "/v1/catalog".to_owned(),
            body: serde_json::to_string(patch).expect("JSON"),
        }
    }

    /// Returns the same order at the path of a redirection.
    pub fn redirected(&self, path: &str) -> Call {
        Call {
            path: path.to_owned(),
            ..self.clone()
        }
    }

    fn bytes(&self) -> Vec<u8> {
        let head = format!(
            "{} {} HTTP/1.1\r\nhost: control\r\ncontent-length: {}\r\n\r\n{}",
            self.method,
            self.path,
            self.body.len(),
            self.body
        );
        head.into_bytes()
    }
}

/// Writes a call to an open connection.
pub async fn write_call(stream: &mut TcpStream, call: &Call) {
    stream.write_all(&call.bytes()).await.expect("written");
}

/// Reads an answer for at most `limit`.
pub async fn read_answer(stream: &mut TcpStream, limit: Duration) -> OrderAnswer {
    let mut text = Vec::new();
    let reading = async {
        let mut chunk = [0; 4096];
        while !text.windows(4).any(|end| end == b"\r\n\r\n") {
            match stream.read(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(length) => text.extend_from_slice(&chunk[..length]),
            }
        }
    };
    // Without a complete head there is no answer.
    let _ = tokio::time::timeout(limit, reading).await;
    parse_head(&String::from_utf8_lossy(&text))
}

fn parse_head(head: &str) -> OrderAnswer {
    let status = head.split_whitespace().nth(1);
    let location = head.lines().find_map(|line| {
        let (name, value) = line.split_once(": ")?;
        let target = value.strip_prefix("http://")?;
        let (address, path) = target.split_once('/')?;
        let is_location = name.eq_ignore_ascii_case("location");
        is_location.then(|| Some((address.parse().ok()?, format!("/{path}"))))?
    });
    OrderAnswer {
        status: status
            .and_then(|status| status.parse().ok())
            .unwrap_or_default(),
        location,
    }
}

/// Sends a call once on a new connection, and closes it after the answer or [`PATIENCE`].
pub async fn call_once(address: SocketAddr, call: &Call) -> OrderAnswer {
    let started = Instant::now();
    let connecting = tokio::time::timeout(PATIENCE, TcpStream::connect(address));
    let Ok(Ok(mut stream)) = connecting.await else {
        return OrderAnswer::default();
    };
    write_call(&mut stream, call).await;
    read_answer(&mut stream, PATIENCE.saturating_sub(started.elapsed())).await
}

/// Sends a call to the addresses in turn until one answers with anything but a 5xx. Does not follow
/// redirections.
pub async fn call_until_answered(addresses: &[SocketAddr], call: &Call) -> u16 {
    let started = Instant::now();
    for address in addresses.iter().cycle() {
        let answer = call_once(*address, call).await;
        if (200..300).contains(&answer.status) || (400..500).contains(&answer.status) {
            return answer.status;
        }
        assert!(
            started.elapsed() < MAX_TIME_TO_ACKNOWLEDGE,
            "not answered in time: {call:?}, last: {answer:?}"
        );
        tokio::time::sleep(PAUSE).await;
    }
    0
}
