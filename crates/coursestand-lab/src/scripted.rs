//! A scripted back end on raw sockets, which can misbehave: truncated, mismatched,
//! duplicate, early or missing answers, and refusals with or without the statement that the
//! request was not run. It records what it ran.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use coursestand_proxy::HeaderNames;
use http::HeaderName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::repeats::Arrival;

/// Length of the answer of [`Behaviour::Trickle`]; larger than what a daemon buffers.
const TRICKLED_BYTES: usize = 4 * 1024 * 1024;
const TRICKLE_CHUNK: [u8; 4096] = [b'x'; 4096];
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// How the back end handles a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers with this status.
    Answer(u16),
    /// Runs it and answers with a body of this length in bytes.
    AnswerOfSize(usize),
    /// Runs it and answers after this time.
    Slow(Duration),
    /// Refuses it with 503 and the header that states that it was not run.
    Shed,
    /// As `Shed`, with a header that reports this load: `running,waiting,slots`.
    ShedWithLoad(&'static str),
    /// As `Shed`, with these header lines.
    ShedWithHeaders(&'static str),
    /// Runs it and answers with this status and these header lines.
    AnswerWithHeaders(u16, &'static str),
    /// Runs it and answers 503 with these header lines, without the header that states that
    /// it was not run.
    UnprovenRefusalWithHeaders(&'static str),
    /// Answers 421 without running it: the request is addressed to another instance.
    Misdirected,
    /// Runs it and answers 503 without the header that states that it was not run.
    UnprovenRefusal,
    /// Runs it and closes the connection without an answer.
    CloseWithoutAnswer,
    /// Runs it and never answers.
    NeverAnswer,
    /// Runs it; the answer ends before its content length.
    TruncatedAnswer,
    /// Runs it; the answer has these header lines and ends before its content length.
    TruncatedAnswerWithHeaders(&'static str),
    /// Runs it; a chunked answer ends before its last chunk.
    TruncatedChunks,
    /// Runs it; the answer has no content length and its connection is reset.
    UnframedReset,
    /// Runs it and sends bytes that are not a valid HTTP response.
    Garbage,
    /// Runs it and answers with another request's identity.
    WrongId,
    /// Runs it and answers 200 without a signature.
    Unsigned,
    /// Runs it and answers with a content encoding that was not requested.
    UnrequestedEncoding,
    /// Runs it and answers twice.
    DuplicateAnswer,
    /// Crashes with all its connections on a request whose path contains this text; runs
    /// and answers any other.
    CrashOn(&'static str),
    /// Crashes with all its connections this long after a request whose path contains this text,
    /// unless the caller closes the connection earlier; runs and answers any other.
    CrashAfter(&'static str, Duration),
    /// Answers 400 before the body has arrived, then reads the body.
    EarlyAnswer,
    /// Runs it and sends a long answer in chunks with pauses between them.
    Trickle,
}

/// A request that the back end ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// Identity of the request.
    pub id: String,
    /// Method and path.
    pub target: String,
    /// Instance that it is addressed to.
    pub instance: String,
    /// Time in milliseconds that the back end had for it.
    pub deadline_ms: Option<u64>,
    /// Body.
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Script {
    next: VecDeque<Behaviour>,
    fallback: Option<Behaviour>,
    runs: Vec<Run>,
    arrivals: Vec<Arrival>,
}

/// A back end that follows a script.
pub struct ScriptedBackend {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    abandoned: watch::Receiver<usize>,
    crashed: watch::Receiver<bool>,
    suspended: watch::Sender<bool>,
    task: JoinHandle<()>,
}

impl Drop for ScriptedBackend {
    fn drop(&mut self) {
        self.task.abort();
    }
}

fn lock(script: &Mutex<Script>) -> MutexGuard<'_, Script> {
    script.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ScriptedBackend {
    /// Starts a back end that handles its first requests by `script` in turn, and all later
    /// ones by `fallback`.
    pub async fn start(
        script: Vec<Behaviour>,
        fallback: Behaviour,
    ) -> std::io::Result<ScriptedBackend> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let script = Arc::new(Mutex::new(Script {
            next: script.into(),
            fallback: Some(fallback),
            ..Script::default()
        }));
        let (abandoned_sender, abandoned) = watch::channel(0);
        let (crash_sender, crashed) = watch::channel(false);
        let suspended = watch::Sender::new(false);
        let task = tokio::spawn(accept(
            listener,
            Arc::clone(&script),
            abandoned_sender,
            crash_sender,
            suspended.subscribe(),
        ));
        Ok(ScriptedBackend {
            address,
            script,
            abandoned,
            crashed,
            suspended,
            task,
        })
    }

    /// Returns its listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the requests that it ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.script).runs.clone()
    }

    /// Returns the number of requests that reached it, run or not.
    pub fn arrival_count(&self) -> usize {
        lock(&self.script).arrivals.len()
    }

    /// Returns the arrivals of the requests that reached it, run or not.
    pub fn recorded_arrivals(&self) -> Vec<Arrival> {
        lock(&self.script).arrivals.clone()
    }

    /// Stops reading requests, as a suspended process does: the operating system continues
    /// to accept connections and buffers what is written to them. Requests that were read
    /// before are still answered.
    pub fn suspend(&self) {
        self.suspended.send_replace(true);
    }

    /// Resumes reading, beginning with what was buffered.
    pub fn resume(&self) {
        self.suspended.send_replace(false);
    }

    /// Returns whether it has crashed on a request.
    pub fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Waits until `count` connections were closed by their callers while a request on them
    /// was unanswered.
    pub async fn wait_for_abandoned(&self, count: usize) {
        let mut abandoned = self.abandoned.clone();
        // Fails if the back end has crashed, which drops the sender.
        let _ = abandoned.wait_for(|abandoned| *abandoned >= count).await;
    }
}

async fn accept(
    listener: TcpListener,
    script: Arc<Mutex<Script>>,
    abandoned_sender: watch::Sender<usize>,
    crash_sender: watch::Sender<bool>,
    suspended: watch::Receiver<bool>,
) {
    let abandoned_sender = Arc::new(abandoned_sender);
    let mut crashed = crash_sender.subscribe();
    let crash_sender = Arc::new(crash_sender);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // Drops the listener, so that further connections are refused.
            _ = crashed.wait_for(|crashed| *crashed) => return,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        let suspended = suspended.clone();
        let script = Arc::clone(&script);
        let abandoned_sender = Arc::clone(&abandoned_sender);
        let crash_sender = Arc::clone(&crash_sender);
        let mut crashed = crash_sender.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                // A connection error ends the connection's task.
                served = serve(stream, &script, &abandoned_sender, suspended) => {
                    if matches!(served, Ok(Served::Crashed)) {
                        crash_sender.send_replace(true);
                    }
                }
                _ = crashed.wait_for(|crashed| *crashed) => {}
            }
        });
    }
}

/// How serving a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Served {
    /// The connection was closed.
    Closed,
    /// The back end crashed on a request.
    Crashed,
}

struct Head {
    run: Run,
    length: usize,
    is_chunked: bool,
    /// Bytes of the body that were read with the head.
    body_start: Vec<u8>,
}

/// Reads the next request head; waits while the back end is suspended. Returns `None` if the
/// caller closes the connection.
async fn read_head(
    stream: &mut TcpStream,
    suspended: &mut watch::Receiver<bool>,
) -> std::io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            return Ok(Some(parse_head(&text, bytes[end + 4..].to_vec())));
        }
        if bytes.is_empty() {
            stream.readable().await?;
            // Fails if the back end was dropped.
            let _ = suspended.wait_for(|suspended| !suspended).await;
        }
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

fn parse_head(text: &str, body_start: Vec<u8>) -> Head {
    let names = HeaderNames::default();
    let header = |name: &HeaderName| {
        text.lines()
            .filter_map(|line| line.split_once(':'))
            .find(|(key, _)| key.eq_ignore_ascii_case(name.as_str()))
            .map(|(_, value)| value.trim().to_owned())
    };
    let target = text.lines().next().unwrap_or_default();
    let target = target.rsplit_once(' ').map_or(target, |(start, _)| start);
    let length = header(&http::header::CONTENT_LENGTH);
    let is_chunked = header(&http::header::TRANSFER_ENCODING).is_some();
    Head {
        run: Run {
            id: header(&names.request_id).unwrap_or_default(),
            target: target.to_owned(),
            instance: header(&names.target_instance).unwrap_or_default(),
            deadline_ms: header(&names.deadline).and_then(|text| text.parse().ok()),
            body: Vec::new(),
        },
        length: length.and_then(|text| text.parse().ok()).unwrap_or(0),
        is_chunked,
        body_start,
    }
}

async fn read_body(stream: &mut TcpStream, head: &mut Head) -> std::io::Result<()> {
    let mut body = std::mem::take(&mut head.body_start);
    let mut buffer = [0; 4096];
    if head.is_chunked {
        while !body.ends_with(b"0\r\n\r\n") {
            let count = stream.read(&mut buffer).await?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&buffer[..count]);
        }
        head.run.body = decode_chunks(&body);
        return Ok(());
    }
    while body.len() < head.length {
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&buffer[..count]);
    }
    head.run.body = body;
    Ok(())
}

/// Returns the data of a complete chunked body.
fn decode_chunks(mut bytes: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    while let Some(end) = bytes.windows(2).position(|window| window == b"\r\n") {
        let size = std::str::from_utf8(&bytes[..end]).unwrap_or_default();
        let size = usize::from_str_radix(size, 16).unwrap_or(0);
        let start = end + 2;
        if size == 0 || bytes.len() < start + size + 2 {
            break;
        }
        data.extend_from_slice(&bytes[start..start + size]);
        bytes = &bytes[start + size + 2..];
    }
    data
}

/// Returns a valid answer to the request with identity `id`, which its body contains.
fn answer(id: &str, status: u16, extra: &str) -> String {
    answer_with(id, status, extra, &format!("body of {id}"))
}

fn answer_with(id: &str, status: u16, extra: &str, body: &str) -> String {
    let names = HeaderNames::default();
    format!(
        "HTTP/1.1 {status} X\r\n{}: {id}\r\n{}: signed-{id}\r\n{extra}content-length: {}\r\n\r\n{body}",
        names.request_id,
        names.signature,
        body.len()
    )
}

async fn serve(
    mut stream: TcpStream,
    script: &Mutex<Script>,
    abandoned_sender: &watch::Sender<usize>,
    mut suspended: watch::Receiver<bool>,
) -> std::io::Result<Served> {
    while let Some(mut head) = read_head(&mut stream, &mut suspended).await? {
        let behaviour = {
            let mut script = lock(script);
            script.arrivals.push(Arrival {
                id: head.run.id.clone(),
                at: Instant::now(),
            });
            let next = script.next.pop_front();
            next.or_else(|| script.fallback.clone())
                .unwrap_or(Behaviour::CloseWithoutAnswer)
        };
        if behaviour != Behaviour::EarlyAnswer {
            read_body(&mut stream, &mut head).await?;
        }
        if let Behaviour::CrashOn(text) = behaviour
            && head.run.target.contains(text)
        {
            return Ok(Served::Crashed);
        }
        if let Behaviour::CrashAfter(text, pause) = behaviour
            && head.run.target.contains(text)
        {
            if stays_open_for(&mut stream, pause).await {
                return Ok(Served::Crashed);
            }
            abandoned_sender.send_modify(|abandoned| *abandoned += 1);
            return Ok(Served::Closed);
        }
        let runs = !matches!(
            behaviour,
            Behaviour::Shed
                | Behaviour::ShedWithLoad(_)
                | Behaviour::ShedWithHeaders(_)
                | Behaviour::Misdirected
                | Behaviour::EarlyAnswer
        );
        if runs {
            lock(script).runs.push(head.run.clone());
        }
        if !respond(&mut stream, &mut head, &behaviour, abandoned_sender).await? {
            return Ok(Served::Closed);
        }
    }
    Ok(Served::Closed)
}

/// Responds to a request by `behaviour`. Returns whether the connection stays open.
async fn respond(
    stream: &mut TcpStream,
    head: &mut Head,
    behaviour: &Behaviour,
    abandoned_sender: &watch::Sender<usize>,
) -> std::io::Result<bool> {
    let names = HeaderNames::default();
    let id = head.run.id.clone();
    let id_line = format!("{}: {id}\r\n", names.request_id);
    let not_executed = format!("{id_line}{}: 1\r\n", names.not_executed);
    let text = match behaviour {
        Behaviour::Answer(status) => answer(&id, *status, ""),
        Behaviour::CrashOn(_) | Behaviour::CrashAfter(..) => answer(&id, 200, ""),
        Behaviour::AnswerOfSize(bytes) => answer_with(&id, 200, "", &"x".repeat(*bytes)),
        Behaviour::Shed => {
            format!("HTTP/1.1 503 X\r\n{not_executed}content-length: 0\r\n\r\n")
        }
        Behaviour::ShedWithLoad(load) => {
            let load_line = format!("{}: {load}\r\n", names.server_load);
            format!("HTTP/1.1 503 X\r\n{not_executed}{load_line}content-length: 0\r\n\r\n")
        }
        Behaviour::ShedWithHeaders(lines) => {
            format!("HTTP/1.1 503 X\r\n{not_executed}{lines}content-length: 0\r\n\r\n")
        }
        Behaviour::AnswerWithHeaders(status, lines) => answer(&id, *status, lines),
        Behaviour::UnprovenRefusalWithHeaders(lines) => {
            format!("HTTP/1.1 503 X\r\n{id_line}{lines}content-length: 0\r\n\r\n")
        }
        Behaviour::Misdirected => {
            format!("HTTP/1.1 421 X\r\n{id_line}content-length: 0\r\n\r\n")
        }
        Behaviour::UnprovenRefusal => {
            format!("HTTP/1.1 503 X\r\n{id_line}content-length: 0\r\n\r\n")
        }
        Behaviour::Slow(pause) => {
            if !stays_open_for(stream, *pause).await {
                abandoned_sender.send_modify(|abandoned| *abandoned += 1);
                return Ok(false);
            }
            answer(&id, 200, "")
        }
        Behaviour::NeverAnswer => {
            stays_open_for(stream, Duration::MAX).await;
            abandoned_sender.send_modify(|abandoned| *abandoned += 1);
            return Ok(false);
        }
        Behaviour::CloseWithoutAnswer => return Ok(false),
        Behaviour::TruncatedAnswer | Behaviour::TruncatedAnswerWithHeaders(_) => {
            let lines = match behaviour {
                Behaviour::TruncatedAnswerWithHeaders(lines) => *lines,
                _ => "",
            };
            let complete = answer(&id, 200, lines);
            stream
                .write_all(&complete.as_bytes()[..complete.len() - 3])
                .await?;
            return Ok(false);
        }
        Behaviour::TruncatedChunks => {
            let text = format!(
                "HTTP/1.1 200 X\r\n{}: {id}\r\n{}: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n",
                names.request_id, names.signature
            );
            stream.write_all(text.as_bytes()).await?;
            return Ok(false);
        }
        Behaviour::UnframedReset => {
            let text = format!(
                "HTTP/1.1 200 X\r\n{}: {id}\r\n{}: s\r\nconnection: close\r\n\r\nbody",
                names.request_id, names.signature
            );
            stream.write_all(text.as_bytes()).await?;
            // Lets the bytes arrive before the reset.
            tokio::time::sleep(Duration::from_millis(50)).await;
            stream.set_zero_linger()?;
            return Ok(false);
        }
        Behaviour::Garbage => "220 not an answer\r\n\r\n".to_owned(),
        Behaviour::WrongId => answer("another", 200, ""),
        Behaviour::Unsigned => format!(
            "HTTP/1.1 200 X\r\n{}: {id}\r\ncontent-length: 4\r\n\r\nbody",
            names.request_id
        ),
        Behaviour::UnrequestedEncoding => answer(&id, 200, "content-encoding: gzip\r\n"),
        Behaviour::DuplicateAnswer => format!("{}{}", answer(&id, 200, ""), answer(&id, 200, "")),
        Behaviour::Trickle => {
            if trickle(stream, &id).await.is_err() {
                abandoned_sender.send_modify(|abandoned| *abandoned += 1);
            }
            return Ok(false);
        }
        Behaviour::EarlyAnswer => {
            stream.write_all(answer(&id, 400, "").as_bytes()).await?;
            read_body(stream, head).await?;
            return Ok(true);
        }
    };
    stream.write_all(text.as_bytes()).await?;
    Ok(true)
}

/// Sends a long answer in chunks. Fails if the caller closes the connection.
async fn trickle(stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
    let names = HeaderNames::default();
    let head = format!(
        "HTTP/1.1 200 X\r\n{}: {id}\r\n{}: s\r\ncontent-length: {TRICKLED_BYTES}\r\n\r\n",
        names.request_id, names.signature
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..TRICKLED_BYTES / TRICKLE_CHUNK.len() {
        stream.write_all(&TRICKLE_CHUNK).await?;
        tokio::time::sleep(TRICKLE_PAUSE).await;
    }
    Ok(())
}

/// Waits for `pause`. Returns false if the caller closes the connection earlier.
async fn stays_open_for(stream: &mut TcpStream, pause: Duration) -> bool {
    let mut buffer = [0; 1];
    let read = tokio::time::timeout(pause, stream.read(&mut buffer)).await;
    read.is_err()
}
