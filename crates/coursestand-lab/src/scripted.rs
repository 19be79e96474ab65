//! A back end that misbehaves on order, on raw sockets: answers that are cut,
//! foreign, doubled, early or missing, and refusals with and without proof. It
//! records what it ran.

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

/// Length of an answer that comes in pieces: more than a daemon holds.
const TRICKLED_BYTES: usize = 4 * 1024 * 1024;
const TRICKLED_PIECE: [u8; 4096] = [b'x'; 4096];
const TRICKLE_PAUSE: Duration = Duration::from_millis(20);

/// What the back end does with one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers properly with this status.
    Answer(u16),
    /// Runs it and answers properly with a body of this many bytes.
    Sized(usize),
    /// Runs it and answers properly after this time.
    Slow(Duration),
    /// Refuses it, with the proof that it was not run.
    Shed,
    /// Refuses it with the proof that it was not run, and tells this load:
    /// `running,waiting,slots`.
    ShedTelling(&'static str),
    /// Refuses it with the proof that it was not run, and these header lines.
    ShedWith(&'static str),
    /// Runs it and answers properly with this status and these header lines.
    AnswerWith(u16, &'static str),
    /// Runs it and answers 503 with these header lines, without the proof that it was
    /// not run.
    UnprovenRefusalWith(&'static str),
    /// Is another instance than the one that was meant; does not run it.
    Misdirected,
    /// Runs it and answers 503 without the proof that it was not run.
    UnprovenRefusal,
    /// Runs it and closes without an answer.
    Lose,
    /// Runs it and never answers.
    Silence,
    /// Runs it; the answer ends before its length.
    Cut,
    /// Runs it; the answer has these header lines and ends before its length.
    CutWith(&'static str),
    /// Runs it; a chunked answer ends before its last chunk.
    CutChunks,
    /// Runs it; the answer has no length and its connection is reset.
    UnframedReset,
    /// Runs it and sends bytes that are no answer.
    Garbage,
    /// Runs it and answers with another request's identity.
    WrongId,
    /// Runs it and answers a success without signature.
    Unsigned,
    /// Runs it and answers with an encoding nobody asked for.
    Encoded,
    /// Runs it and answers twice.
    Double,
    /// Ends with all its connections under a request whose path holds this text; runs and
    /// answers any other properly.
    EndUnder(&'static str),
    /// Answers before the body is in, then reads on.
    Early,
    /// Runs it and sends a long answer in pieces with pauses between them.
    Trickle,
}

/// A request that the back end ran.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Run {
    /// Identity of the request.
    pub id: String,
    /// Method and path.
    pub target: String,
    /// The instance that it was meant for.
    pub instance: String,
    /// Milliseconds that the back end was given.
    pub deadline_ms: Option<u64>,
    /// Its body.
    pub body: Vec<u8>,
}

#[derive(Default)]
struct Script {
    next: VecDeque<Behaviour>,
    otherwise: Option<Behaviour>,
    runs: Vec<Run>,
    arrivals: Vec<Arrival>,
}

/// A back end that follows a script.
pub struct ScriptedBackend {
    address: SocketAddr,
    script: Arc<Mutex<Script>>,
    closed: watch::Receiver<usize>,
    ended: watch::Receiver<bool>,
    stands_still: watch::Sender<bool>,
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
    /// Does `script` in turn, and `otherwise` from then on.
    pub async fn start(
        script: Vec<Behaviour>,
        otherwise: Behaviour,
    ) -> std::io::Result<ScriptedBackend> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let script = Arc::new(Mutex::new(Script {
            next: script.into(),
            otherwise: Some(otherwise),
            ..Script::default()
        }));
        let (closing, closed) = watch::channel(0);
        let (ending, ended) = watch::channel(false);
        let stands_still = watch::Sender::new(false);
        let task = tokio::spawn(accept(
            listener,
            Arc::clone(&script),
            closing,
            ending,
            stands_still.subscribe(),
        ));
        Ok(ScriptedBackend {
            address,
            script,
            closed,
            ended,
            stands_still,
            task,
        })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it ran.
    pub fn runs(&self) -> Vec<Run> {
        lock(&self.script).runs.clone()
    }

    /// How many requests reached it, run or not.
    pub fn arrivals(&self) -> usize {
        lock(&self.script).arrivals.len()
    }

    /// The requests that reached it, run or not.
    pub fn arrived(&self) -> Vec<Arrival> {
        lock(&self.script).arrivals.clone()
    }

    /// Reads no further request from now on, as a process that is stopped: the system goes
    /// on accepting connections and keeps what is written to them. What was read before
    /// is still answered.
    pub fn stand_still(&self) {
        self.stands_still.send_replace(true);
    }

    /// Goes on, and finds what came in the meantime.
    pub fn go_on(&self) {
        self.stands_still.send_replace(false);
    }

    /// Whether it has ended under a request.
    pub fn has_ended(&self) -> bool {
        *self.ended.borrow()
    }

    /// Returns once so many connections were closed by their callers while a
    /// request on them had no answer.
    pub async fn abandoned(&self, count: usize) {
        let mut closed = self.closed.clone();
        // The sender lives as long as the back end.
        let _ = closed.wait_for(|closed| *closed >= count).await;
    }
}

async fn accept(
    listener: TcpListener,
    script: Arc<Mutex<Script>>,
    closing: watch::Sender<usize>,
    ending: watch::Sender<bool>,
    stands_still: watch::Receiver<bool>,
) {
    let closing = Arc::new(closing);
    let mut ended = ending.subscribe();
    let ending = Arc::new(ending);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            // The listener is dropped: nobody is at the address any more.
            _ = ended.wait_for(|ended| *ended) => return,
        };
        let Ok((stream, _)) = accepted else {
            return;
        };
        let going = stands_still.clone();
        let script = Arc::clone(&script);
        let closing = Arc::clone(&closing);
        let ending = Arc::clone(&ending);
        let mut ended = ending.subscribe();
        tokio::spawn(async move {
            tokio::select! {
                // A caller that breaks off ends the connection's task.
                served = serve(stream, &script, &closing, going) => {
                    if matches!(served, Ok(Served::Ended)) {
                        ending.send_replace(true);
                    }
                }
                _ = ended.wait_for(|ended| *ended) => {}
            }
        });
    }
}

/// How the last request of a connection ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Served {
    /// The connection goes on, or was closed.
    Over,
    /// The back end ended under it.
    Ended,
}

struct Head {
    run: Run,
    length: usize,
    is_chunked: bool,
    rest: Vec<u8>,
}

/// Reads the next head; of a back end that stands still, once it goes on.
async fn read_head(
    stream: &mut TcpStream,
    going: &mut watch::Receiver<bool>,
) -> std::io::Result<Option<Head>> {
    let mut bytes = Vec::new();
    let mut piece = [0; 4096];
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let text = String::from_utf8_lossy(&bytes[..end]).into_owned();
            return Ok(Some(head_of(&text, bytes[end + 4..].to_vec())));
        }
        if bytes.is_empty() {
            stream.readable().await?;
            // The sender lives as long as the back end.
            let _ = going.wait_for(|stands_still| !stands_still).await;
        }
        let count = stream.read(&mut piece).await?;
        if count == 0 {
            return Ok(None);
        }
        bytes.extend_from_slice(&piece[..count]);
    }
}

fn head_of(text: &str, rest: Vec<u8>) -> Head {
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
        rest,
    }
}

async fn read_body(stream: &mut TcpStream, head: &mut Head) -> std::io::Result<()> {
    let mut body = std::mem::take(&mut head.rest);
    let mut piece = [0; 4096];
    if head.is_chunked {
        while !body.ends_with(b"0\r\n\r\n") {
            let count = stream.read(&mut piece).await?;
            if count == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            body.extend_from_slice(&piece[..count]);
        }
        head.run.body = without_chunks(&body);
        return Ok(());
    }
    while body.len() < head.length {
        let count = stream.read(&mut piece).await?;
        if count == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&piece[..count]);
    }
    head.run.body = body;
    Ok(())
}

/// The data of a chunked body that has ended.
fn without_chunks(mut bytes: &[u8]) -> Vec<u8> {
    let mut data = Vec::new();
    while let Some(end) = bytes.windows(2).position(|two| two == b"\r\n") {
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

/// A proper answer to the request with identity `id`; its body names it.
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
    closing: &watch::Sender<usize>,
    mut going: watch::Receiver<bool>,
) -> std::io::Result<Served> {
    while let Some(mut head) = read_head(&mut stream, &mut going).await? {
        let behaviour = {
            let mut script = lock(script);
            script.arrivals.push(Arrival {
                id: head.run.id.clone(),
                at: Instant::now(),
            });
            let next = script.next.pop_front();
            next.or_else(|| script.otherwise.clone())
                .unwrap_or(Behaviour::Lose)
        };
        if behaviour != Behaviour::Early {
            read_body(&mut stream, &mut head).await?;
        }
        if let Behaviour::EndUnder(text) = behaviour
            && head.run.target.contains(text)
        {
            return Ok(Served::Ended);
        }
        let runs = !matches!(
            behaviour,
            Behaviour::Shed
                | Behaviour::ShedTelling(_)
                | Behaviour::ShedWith(_)
                | Behaviour::Misdirected
                | Behaviour::Early
        );
        if runs {
            lock(script).runs.push(head.run.clone());
        }
        if !act(&mut stream, &mut head, &behaviour, closing).await? {
            return Ok(Served::Over);
        }
    }
    Ok(Served::Over)
}

/// Returns whether the connection goes on.
async fn act(
    stream: &mut TcpStream,
    head: &mut Head,
    behaviour: &Behaviour,
    closing: &watch::Sender<usize>,
) -> std::io::Result<bool> {
    let names = HeaderNames::default();
    let id = head.run.id.clone();
    let proof = format!("{}: 1\r\n", names.not_executed);
    let text = match behaviour {
        Behaviour::Answer(status) => answer(&id, *status, ""),
        Behaviour::EndUnder(_) => answer(&id, 200, ""),
        Behaviour::Sized(bytes) => answer_with(&id, 200, "", &"x".repeat(*bytes)),
        Behaviour::Shed => {
            format!("HTTP/1.1 503 X\r\n{proof}content-length: 0\r\n\r\n")
        }
        Behaviour::ShedTelling(load) => {
            let told = format!("{}: {load}\r\n", names.server_load);
            format!("HTTP/1.1 503 X\r\n{proof}{told}content-length: 0\r\n\r\n")
        }
        Behaviour::ShedWith(lines) => {
            format!("HTTP/1.1 503 X\r\n{proof}{lines}content-length: 0\r\n\r\n")
        }
        Behaviour::AnswerWith(status, lines) => answer(&id, *status, lines),
        Behaviour::UnprovenRefusalWith(lines) => {
            format!("HTTP/1.1 503 X\r\n{lines}content-length: 0\r\n\r\n")
        }
        Behaviour::Misdirected => "HTTP/1.1 421 X\r\ncontent-length: 0\r\n\r\n".to_owned(),
        Behaviour::UnprovenRefusal => "HTTP/1.1 503 X\r\ncontent-length: 0\r\n\r\n".to_owned(),
        Behaviour::Slow(pause) => {
            if !waits_for(stream, *pause).await {
                closing.send_modify(|closed| *closed += 1);
                return Ok(false);
            }
            answer(&id, 200, "")
        }
        Behaviour::Silence => {
            waits_for(stream, Duration::MAX).await;
            closing.send_modify(|closed| *closed += 1);
            return Ok(false);
        }
        Behaviour::Lose => return Ok(false),
        Behaviour::Cut | Behaviour::CutWith(_) => {
            let lines = match behaviour {
                Behaviour::CutWith(lines) => *lines,
                _ => "",
            };
            let whole = answer(&id, 200, lines);
            stream
                .write_all(&whole.as_bytes()[..whole.len() - 3])
                .await?;
            return Ok(false);
        }
        Behaviour::CutChunks => {
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
            // Long enough for the bytes to arrive before the reset.
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
        Behaviour::Encoded => answer(&id, 200, "content-encoding: gzip\r\n"),
        Behaviour::Double => format!("{}{}", answer(&id, 200, ""), answer(&id, 200, "")),
        Behaviour::Trickle => {
            if trickle(stream, &id).await.is_err() {
                closing.send_modify(|closed| *closed += 1);
            }
            return Ok(false);
        }
        Behaviour::Early => {
            stream.write_all(answer(&id, 400, "").as_bytes()).await?;
            read_body(stream, head).await?;
            return Ok(true);
        }
    };
    stream.write_all(text.as_bytes()).await?;
    Ok(true)
}

/// Sends pieces until the caller closes.
async fn trickle(stream: &mut TcpStream, id: &str) -> std::io::Result<()> {
    let names = HeaderNames::default();
    let head = format!(
        "HTTP/1.1 200 X\r\n{}: {id}\r\n{}: s\r\ncontent-length: {TRICKLED_BYTES}\r\n\r\n",
        names.request_id, names.signature
    );
    stream.write_all(head.as_bytes()).await?;
    for _ in 0..TRICKLED_BYTES / TRICKLED_PIECE.len() {
        stream.write_all(&TRICKLED_PIECE).await?;
        tokio::time::sleep(TRICKLE_PAUSE).await;
    }
    Ok(())
}

/// Waits this long; false when the caller closes before.
async fn waits_for(stream: &mut TcpStream, pause: Duration) -> bool {
    let mut piece = [0; 1];
    let read = tokio::time::timeout(pause, stream.read(&mut piece)).await;
    read.is_err()
}
