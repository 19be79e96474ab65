//! Takes connections of other control processes and of entry daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_catalog::{Catalog, CatalogDelta};
use coursestand_coordination::Command;
use coursestand_discovery::EdgeRecord;
use coursestand_kernel::Tasks;
use coursestand_routing::SharedCrashRecord;
use coursestand_routing::rate_limit::TokenRequest;
use coursestand_transport::TransportError;
use coursestand_transport::stream::{self, Receiver, Sender, StreamError};
use log::{debug, info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::error::ControlError;
use crate::control::event::Event;
use crate::control::handle::ControlHandle;
use crate::control::peers::Envelope;
use crate::control::shared::{ControlShared, LogExtent};
use crate::fleet::catalog_news::{CatalogTelling, Telling};
use crate::fleet::formation::Formation;
use crate::fleet::hub::{EdgeNames, Hub, Reads};
use crate::fleet::report_limit::ReportLimit;
use crate::fleet::wire::{
    Answer, EdgeChange, PeerMessage, PeerReply, Question, Starts, ToControl, ToEdge, TrailingFlag,
};

const LOG: &str = "mesh";
/// A peer that sends nothing for this long is lost.
const SILENCE: Duration = Duration::from_millis(3_000);
/// An entry daemon that gave no sign of life for this long, twice the time between two,
/// is not named in look-ups unless another daemon reaches it.
const EDGE_SUSPICION: Duration = Duration::from_millis(2_000);
/// An entry daemon's connection is given up after this silence. Behind a full link what
/// it says comes late, and a new connection would begin with all there is to tell.
const EDGE_SILENCE: Duration = Duration::from_millis(10_000);
/// Replies that wait to be sent.
const REPLY_QUEUE: usize = 1_024;
/// Changes of the connected entry daemons are told at most this often.
const EDGES_PAUSE: Duration = Duration::from_millis(200);

/// What connections are served with.
pub struct Serving {
    /// The replica of the control group.
    pub control: Arc<ControlHandle>,
    /// The soft state.
    pub hub: Arc<Hub>,
    /// Takes replicas into the group.
    pub formation: Arc<Formation>,
}

/// Accepts connections until it is dropped; they live as long as `tasks`.
pub async fn accept(listener: TcpListener, serving: Arc<Serving>, tasks: Arc<Tasks>) {
    loop {
        match listener.accept().await {
            Ok((connection, _)) => {
                let serving = Arc::clone(&serving);
                tasks.start(async move {
                    if let Err(error) = serve(connection, &serving).await {
                        debug!(target: LOG, "a connection ended: {error}");
                    }
                });
            }
            Err(error) => {
                warn!(target: LOG, "no connection was accepted: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve(connection: TcpStream, serving: &Arc<Serving>) -> Result<(), StreamError> {
    // The first message tells what is sent back on the connection.
    let (mut receiver, sender) = stream::split::<ToControl, ()>(connection)?;
    match receiver.next_within(EDGE_SILENCE).await? {
        ToControl::PeerHello(peer) => serve_peer(peer, receiver, sender.retyped(), serving).await,
        ToControl::EdgeHello {
            record,
            have,
            reads_findings: TrailingFlag(findings),
            reads_cases: TrailingFlag(cases),
            reads_limits: TrailingFlag(limits),
        } => {
            let reads = Reads {
                findings,
                cases,
                limits,
            };
            serve_edge(record, have, reads, receiver, sender.retyped(), serving).await
        }
        _ => Err(StreamError::Ended),
    }
}

async fn serve_peer(
    peer: SocketAddr,
    mut receiver: Receiver<ToControl>,
    mut sender: Sender<PeerReply>,
    serving: &Arc<Serving>,
) -> Result<(), StreamError> {
    let (replies, mut queue) = mpsc::channel::<PeerReply>(REPLY_QUEUE);
    if let Some(links) = serving.formation.links() {
        links.keep(peer);
    }
    let mut heard_at = Instant::now();
    loop {
        tokio::select! {
            message = receiver.next() => {
                heard_at = Instant::now();
                serving.hub.heard_peer(peer);
                match message? {
                    ToControl::Ping => sender.send(&PeerReply::Pong).await?,
                    ToControl::Peer(message) => take_peer(peer, message, serving, &replies),
                    _ => return Err(StreamError::Ended),
                }
            }
            Some(reply) = queue.recv() => sender.send(&reply).await?,
            () = tokio::time::sleep_until(heard_at + SILENCE) => {
                return Err(StreamError::Silent { limit_ms: SILENCE.as_millis() });
            }
        }
    }
}

fn take_peer(
    peer: SocketAddr,
    message: PeerMessage,
    serving: &Arc<Serving>,
    replies: &mpsc::Sender<PeerReply>,
) {
    match message {
        PeerMessage::Consensus(bytes) => take_consensus(&serving.control, &bytes),
        PeerMessage::Instances {
            news,
            receipt,
            starts,
        } => {
            serving.hub.take_peer_news(starts.join(news));
            if let Some(receipt) = receipt {
                // A lost receipt is like a lost message: the sender tries again.
                let _ = replies.try_send(PeerReply::Taken(receipt));
            }
        }
        PeerMessage::Heard(ids) => serving.hub.take_heard(&ids),
        PeerMessage::Edge {
            record,
            is_connected,
        } => serving.hub.take_peer_edge(peer, &record, is_connected),
        PeerMessage::Ask { number, question } => {
            let serving = Arc::clone(serving);
            let replies = replies.clone();
            tokio::spawn(async move {
                let answer = answer(&serving, *question).await;
                let _ = replies.send(PeerReply::Answer { number, answer }).await;
            });
        }
    }
}

fn take_consensus(control: &ControlHandle, bytes: &[u8]) {
    let Ok(envelope) = postcard::from_bytes::<Envelope>(bytes) else {
        return;
    };
    let own = control.shared.status().identity;
    let is_for_us =
        own.is_some_and(|own| own.cluster == envelope.cluster && own.replica == envelope.to);
    if is_for_us {
        // A driver that stopped takes nothing.
        let _ = control.deliver(Event::Message {
            from: envelope.from,
            message: envelope.message,
        });
    }
}

async fn answer(serving: &Serving, question: Question) -> Answer {
    match question {
        Question::Propose(command) => propose(&serving.control, command).await,
        Question::ReadCatalog => match read_catalog(&serving.control) {
            Some(catalog) => Answer::Catalog(catalog.delta(0)),
            None => Answer::NotLeader,
        },
        Question::Join { address, replica } => serving.formation.admit(address, replica),
    }
}

/// Commits a command on this replica, if it leads.
pub async fn propose(control: &ControlHandle, command: Command) -> Answer {
    match control.propose(command).await {
        Ok(answer) => Answer::Command(answer),
        Err(ControlError::NotLeader | ControlError::NotJoined) => Answer::NotLeader,
        Err(error) => Answer::Unknown(error.to_string()),
    }
}

/// The newest catalog there is, if this replica leads.
pub fn read_catalog(control: &ControlHandle) -> Option<Catalog> {
    let catalog = control.shared.state().catalog().clone();
    // Checked after the copy: nobody else can have committed before it.
    control.shared.leading_term().map(|_| catalog)
}

async fn serve_edge(
    mut record: EdgeRecord,
    have: u64,
    reads: Reads,
    mut receiver: Receiver<ToControl>,
    mut sender: Sender<ToEdge>,
    serving: &Arc<Serving>,
) -> Result<(), StreamError> {
    let hub = &serving.hub;
    sender.bear_silence(EDGE_SILENCE)?;
    if reads.findings {
        sender.send(&ToEdge::Findings(Vec::new())).await?;
    }
    let (number, queue, instances) = hub.follow(reads);
    if reads.cases {
        sender.send(&ToEdge::Cases(hub.told_cases())).await?;
    }
    hub.note_edge(number, &record, true);
    let mut follower = EdgeConnection {
        serving,
        number,
        queue,
        catalog: CatalogTelling::new(have),
        catalog_at: Instant::now(),
        reads_limits: reads.limits,
        findings: ReportLimit::default(),
        cases: ReportLimit::default(),
        limits: ReportLimit::default(),
        tokens: ReportLimit::default(),
    };
    let result = follower
        .run(&mut record, instances, &mut receiver, &mut sender)
        .await;
    hub.unfollow(number);
    hub.note_edge(number, &record, false);
    if let Err(error) = &result {
        info!(target: LOG, edge = record.name, incarnation = record.incarnation,
            catalog = follower.catalog.have(); "an entry daemon's connection ended: {error}");
    }
    result
}

fn change_between(before: &EdgeNames, now: &EdgeNames) -> EdgeChange {
    EdgeChange {
        came: now.difference(before).cloned().collect(),
        went: before.difference(now).cloned().collect(),
    }
}

struct EdgeConnection<'a> {
    serving: &'a Serving,
    /// Of this connection among the hub's.
    number: u64,
    queue: mpsc::Receiver<bytes::Bytes>,
    /// What the daemon was told of the catalog.
    catalog: CatalogTelling,
    /// When it may be told the next change unasked.
    catalog_at: Instant,
    reads_limits: bool,
    findings: ReportLimit,
    cases: ReportLimit,
    limits: ReportLimit,
    tokens: ReportLimit,
}

impl EdgeConnection<'_> {
    async fn run(
        &mut self,
        record: &mut EdgeRecord,
        instances: Vec<coursestand_discovery::InstanceNews>,
        receiver: &mut Receiver<ToControl>,
        sender: &mut Sender<ToEdge>,
    ) -> Result<(), StreamError> {
        let hub = &self.serving.hub;
        let mut catalog = self.serving.control.shared.catalog_versions();
        let mut controls = hub.controls();
        let mut edges = hub.edges();
        // The catalog comes before the many back ends: it must be in force soon. The
        // first answer to a sign of life follows all of this: with it the daemon counts
        // as connected, and must know the others by then.
        let group = controls.borrow_and_update().clone();
        sender.send(&ToEdge::Controls(group)).await?;
        catalog.borrow_and_update();
        self.send_catalog(sender).await?;
        let mut told = Arc::clone(&edges.borrow_and_update());
        let all = change_between(&EdgeNames::default(), &told);
        sender.send(&ToEdge::Edges(all)).await?;
        let starts = Starts::of(&instances);
        sender.send(&ToEdge::Instances(instances, starts)).await?;
        if self.reads_limits {
            // Named by incarnation, so that the back ends go first.
            sender.send(&ToEdge::Limits(hub.told_limits())).await?;
        }
        let mut heard_at = Instant::now();
        let mut is_suspect = false;
        let mut edges_at = Instant::now() + EDGES_PAUSE;
        let mut tells_edges = false;
        let mut tells_catalog = false;
        loop {
            tokio::select! {
                // What the daemon says counts before its silence, and the catalog goes
                // before the news of back ends.
                biased;
                message = receiver.next() => {
                    let message = message?;
                    heard_at = Instant::now();
                    if is_suspect {
                        is_suspect = false;
                        hub.note_edge(self.number, record, true);
                    }
                    match message {
                        ToControl::FoundReady { name, incarnation } => {
                            hub.vouch_for_edge(&name, incarnation);
                        }
                        ToControl::EdgePing(link_use) => {
                            hub.note_link_use(record, link_use);
                            self.answer_ping(sender).await?;
                        }
                        ToControl::Findings(findings) => {
                            let taken = self.findings.take(findings);
                            hub.pass_findings(self.number, taken);
                        }
                        ToControl::Cases(cases) => {
                            let taken = self.cases.take(cases);
                            hub.take_cases(self.number, &taken);
                        }
                        ToControl::AskForTrial(case) => {
                            self.answer_trial(case, sender).await?;
                        }
                        ToControl::Limits(limits) => {
                            let taken = self.limits.take(limits);
                            hub.take_limits(self.number, taken);
                        }
                        ToControl::AskForToken { number, request } => {
                            self.answer_token(number, request, sender).await?;
                        }
                        ToControl::Have(have) => self.catalog.note_have(have),
                        ToControl::FetchCatalog(have) => {
                            self.send_fetched(have, sender).await?;
                        }
                        ToControl::PartTaken(version) => {
                            if let Some(part) = self.catalog.part_taken(version) {
                                send_telling(part, sender).await?;
                            }
                        }
                        ToControl::Edge(next) => {
                            *record = next;
                            hub.note_edge(self.number, record, true);
                        }
                        _ => return Err(StreamError::Ended),
                    }
                }
                changed = catalog.changed(), if !tells_catalog => {
                    if changed.is_err() {
                        return Err(StreamError::Ended);
                    }
                    tells_catalog = true;
                }
                () = tokio::time::sleep_until(self.catalog_at), if tells_catalog => {
                    tells_catalog = false;
                    catalog.borrow_and_update();
                    self.send_catalog(sender).await?;
                }
                changed = controls.changed() => {
                    if changed.is_err() {
                        return Err(StreamError::Ended);
                    }
                    let group = controls.borrow_and_update().clone();
                    sender.send(&ToEdge::Controls(group)).await?;
                }
                changed = edges.changed(), if !tells_edges => {
                    if changed.is_err() {
                        return Err(StreamError::Ended);
                    }
                    tells_edges = true;
                }
                () = tokio::time::sleep_until(edges_at), if tells_edges => {
                    tells_edges = false;
                    edges_at = Instant::now() + EDGES_PAUSE;
                    let now = Arc::clone(&edges.borrow_and_update());
                    sender.send(&ToEdge::Edges(change_between(&told, &now))).await?;
                    told = now;
                }
                frame = self.queue.recv() => match frame {
                    Some(frame) => sender.send_frame(frame).await?,
                    None => return Err(StreamError::Ended),
                },
                () = tokio::time::sleep_until(heard_at + EDGE_SUSPICION), if !is_suspect => {
                    is_suspect = true;
                    hub.note_silent_edge(self.number, record);
                }
                () = tokio::time::sleep_until(heard_at + EDGE_SILENCE) => {
                    let limit_ms = EDGE_SILENCE.as_millis();
                    return Err(StreamError::Silent { limit_ms });
                }
            }
        }
    }

    /// The same, unless the replica began anew from its disk meanwhile: what was sent
    /// may then be older.
    fn still_applied(&self, reach: Option<LogExtent>) -> Option<LogExtent> {
        let now = self.serving.control.shared.log_extent()?;
        reach.filter(|reach| now.applied >= reach.applied)
    }

    async fn answer_ping(&mut self, sender: &mut Sender<ToEdge>) -> Result<(), StreamError> {
        // Read first: what it says is applied is then told.
        let reach = self.shared().log_extent();
        self.send_catalog(sender).await?;
        let reach = self.still_applied(reach);
        let catalog = self.shared().state().catalog().version();
        sender.send(&ToEdge::Pong { reach, catalog }).await
    }

    /// Answers a daemon that wants to try a request, if this replica leads: one process
    /// decides for all.
    async fn answer_trial(
        &mut self,
        case: SharedCrashRecord,
        sender: &mut Sender<ToEdge>,
    ) -> Result<(), StreamError> {
        for case in self.cases.take(vec![case]) {
            let term = self.shared().leading_term();
            let verdict = self.serving.hub.answer_trial(self.number, &case, term);
            if let Some(verdict) = verdict {
                sender.send(&ToEdge::Trial(verdict)).await?;
            }
        }
        Ok(())
    }

    /// Answers a daemon that wants a token for a rate-limited back end, if this replica leads.
    async fn answer_token(
        &mut self,
        number: u64,
        request: TokenRequest,
        sender: &mut Sender<ToEdge>,
    ) -> Result<(), StreamError> {
        for request in self.tokens.take(vec![request]) {
            let term = self.shared().leading_term();
            if let Some(verdict) = self.serving.hub.answer_token(&request, term) {
                sender.send(&ToEdge::Token { number, verdict }).await?;
            }
        }
        Ok(())
    }

    async fn send_catalog(&mut self, sender: &mut Sender<ToEdge>) -> Result<(), StreamError> {
        let shared = &self.serving.control.shared;
        let version = shared.state().catalog().version();
        let news = shared.catalog_news();
        let telling = self
            .catalog
            .tell(version, news, |since| read_changes(shared, since));
        match telling.map_err(unreadable)? {
            Some(telling) => {
                self.catalog_at = Instant::now() + self.catalog.pause();
                send_telling(telling, sender).await
            }
            None => Ok(()),
        }
    }

    /// Sends what the daemon, which has the catalog up to `have`, asks for.
    async fn send_fetched(
        &mut self,
        have: u64,
        sender: &mut Sender<ToEdge>,
    ) -> Result<(), StreamError> {
        let shared = &self.serving.control.shared;
        let version = shared.state().catalog().version();
        let news = shared.catalog_news();
        let fetched = self
            .catalog
            .fetch(have, version, news, |since| read_changes(shared, since));
        for telling in fetched.map_err(unreadable)? {
            send_telling(telling, sender).await?;
        }
        Ok(())
    }

    fn shared(&self) -> &ControlShared {
        &self.serving.control.shared
    }
}

fn read_changes(shared: &ControlShared, since: u64) -> CatalogDelta {
    shared.state().catalog().steering_delta(since)
}

fn unreadable(source: TransportError) -> StreamError {
    StreamError::Message { source }
}

async fn send_telling(telling: Telling, sender: &mut Sender<ToEdge>) -> Result<(), StreamError> {
    match telling {
        Telling::Frame(frame) => sender.send_frame(frame).await,
        Telling::Message(message) => sender.send(&message).await,
    }
}
