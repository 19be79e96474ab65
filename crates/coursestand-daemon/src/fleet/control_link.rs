//! A kept connection of an entry daemon with one control process.
//!
//! A connection may be dead without a sign, or alive behind a link that is full, and
//! neither tells which. So one whose answer is overdue is kept while a second one is
//! tried, and whichever says something first is used on. Each try that hears nothing
//! lets the next one wait longer.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_discovery::EdgePhase;
use coursestand_model::Millis;
use coursestand_proxy::tokens::LimitNote;
use coursestand_proxy::trials::CaseNote;
use coursestand_routing::SharedFinding;
use coursestand_transport::stream::{self, Receiver, Sender, StreamError};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::info;
use tokio::sync::{broadcast, watch};
use tokio::time::Instant;

use crate::fleet::catalog_parts::CatalogParts;
use crate::fleet::edge_follower::EdgeFollower;
use crate::fleet::wire::{CatalogPart, ToControl, ToEdge, TrailingFlag};

const LOG: &str = "follower";
/// Pause before a connection that failed is made again.
const PAUSE: Duration = Duration::from_millis(200);
/// An answer to a sign of life is overdue after this time where round trips are short.
/// With signs of life spread over the second, connections that fall silent together are
/// noticed after 1.2 s at most.
const OVERDUE: Duration = Duration::from_millis(1_000);
/// Round trips after which an answer is overdue, where that is longer.
const OVERDUE_ROUND_TRIPS: u32 = 3;
/// Longest wait for an answer, whatever the link took before.
const LONGEST_OVERDUE: Duration = Duration::from_millis(8_000);
/// Tries after which the limit grows no more: it is the longest by then.
const MOST_DOUBLINGS: u32 = 3;
/// A connection whose bytes are not confirmed for this long has ended.
const LINK_SILENCE: Duration = Duration::from_millis(10_000);

/// How long an answer may take.
#[derive(Clone, Copy, Debug, Default)]
struct Patience {
    /// Newest round trip.
    round_trip: Duration,
    /// Tries in a row that heard nothing.
    silent_tries: u32,
}

impl Patience {
    fn limit(&self) -> Duration {
        let usual = OVERDUE.max(self.round_trip * OVERDUE_ROUND_TRIPS);
        let doublings = self.silent_tries.min(MOST_DOUBLINGS);
        (usual * 2_u32.pow(doublings)).min(LONGEST_OVERDUE)
    }
}

/// A sign of life that was sent.
#[derive(Clone, Copy, Debug)]
struct SignOfLife {
    sent_at: Instant,
    /// The same on the clock of promises, which counts suspensions: what its answer proves
    /// is as old as this.
    promised_from: Millis,
}

/// A connection on which a control process was greeted.
struct Session {
    receiver: Receiver<ToEdge>,
    sender: Sender<ToControl>,
    phases: watch::Receiver<EdgePhase>,
    /// Signs of life that were not answered yet.
    unanswered: VecDeque<SignOfLife>,
    next_ping: Instant,
    heard_at: Instant,
    /// Changes of the catalog that are on their way in parts.
    parts: CatalogParts,
    /// Newest change of the catalog that the control process knows the daemon has.
    told_have: u64,
    /// What this daemon finds out of back ends.
    findings: broadcast::Receiver<SharedFinding>,
    /// Whether the control process passes that on.
    passes_findings: bool,
    /// What this daemon tells of requests under which back ends ended.
    case_notes: broadcast::Receiver<CaseNote>,
    /// Whether the control process reads that.
    reads_cases: bool,
    /// What this daemon tells of rate limits of back ends.
    limit_notes: broadcast::Receiver<LimitNote>,
    /// Whether the control process reads that.
    reads_limits: bool,
    /// What is sent next. It stays here until it is, since sending may be broken off: what
    /// is here does no harm when it is sent twice.
    outgoing: VecDeque<ToControl>,
}

/// What a session is run for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Until {
    /// An answer is overdue.
    Overdue,
    /// Something is heard.
    Heard,
}

/// Keeps following `control` until it is dropped.
pub(super) async fn keep_following(follower: Arc<EdgeFollower>, control: SocketAddr) {
    loop {
        let mut patience = Patience::default();
        let error = match Session::open(&follower, control).await {
            Ok(session) => follow(&follower, control, session, &mut patience).await,
            Err(error) => error,
        };
        follower.note_lost(control, &error);
        tokio::time::sleep(PAUSE).await;
    }
}

/// Follows until no connection is left.
async fn follow(
    follower: &EdgeFollower,
    control: SocketAddr,
    mut session: Session,
    patience: &mut Patience,
) -> StreamError {
    loop {
        let overdue = session.exchange(follower, control, patience, Until::Overdue);
        if let Err(error) = overdue.await {
            return error;
        }
        let started = Instant::now();
        let limit = patience.limit();
        tokio::select! {
            // The old connection knows all that it was told: it goes first. It still
            // carries signs of life and the daemon's phase.
            biased;
            heard = session.exchange(follower, control, patience, Until::Heard) => {
                if let Err(error) = heard {
                    return error;
                }
            }
            renewed = Session::open_and_hear(follower, control, limit) => match renewed {
                Ok((renewed, message)) => {
                    info!(target: LOG, control:% = control,
                        silent_ms = session.heard_at.elapsed().as_millis() as u64,
                        took_ms = started.elapsed().as_millis() as u64;
                        "a connection that fell silent was replaced");
                    follower.note_renewed(control);
                    // It has told its first words; whether it is quicker shows at its
                    // first answer. Without this, a table that takes longer to arrive
                    // than an answer may is begun anew for ever.
                    patience.silent_tries += 1;
                    session = renewed;
                    if let Err(error) = session.take(follower, control, message, patience) {
                        return error;
                    }
                }
                Err(error) => {
                    patience.silent_tries += 1;
                    info!(target: LOG, control:% = control,
                        silent_ms = session.heard_at.elapsed().as_millis() as u64,
                        tries = patience.silent_tries;
                        "control is silent: {error}");
                    if session.heard_at.elapsed() > LINK_SILENCE {
                        return error;
                    }
                }
            },
        }
    }
}

/// The next message, counted by what it tells.
async fn next_message(
    follower: &EdgeFollower,
    receiver: &mut Receiver<ToEdge>,
) -> Result<ToEdge, StreamError> {
    let message = receiver.next().await?;
    let length = receiver.last_message_length();
    follower.metrics().count_received(&message, length);
    Ok(message)
}

/// The message that tells `control` of a rate limit, if it is to hear it.
fn message_of(note: LimitNote, control: SocketAddr) -> Option<ToControl> {
    match note {
        LimitNote::News(news) => Some(ToControl::Limits(vec![news])),
        LimitNote::Token {
            to,
            number,
            request,
        } => {
            let is_meant = to.is_none_or(|issuer| issuer == control);
            is_meant.then_some(ToControl::AskForToken { number, request })
        }
    }
}

impl Session {
    /// Connects and greets.
    async fn open(follower: &EdgeFollower, control: SocketAddr) -> Result<Session, StreamError> {
        let (receiver, mut sender) = stream::connect::<ToEdge, ToControl>(control).await?;
        sender.set_ack_timeout(LINK_SILENCE)?;
        let mut phases = follower.phases();
        phases.mark_unchanged();
        let have = follower.catalog().version();
        let hello = ToControl::EdgeHello {
            record: follower.record(),
            have,
            reads_findings: TrailingFlag(true),
            reads_cases: TrailingFlag(true),
            reads_limits: TrailingFlag(true),
        };
        sender.send(&hello).await?;
        let now = Instant::now();
        Ok(Session {
            receiver,
            sender,
            phases,
            unanswered: VecDeque::new(),
            next_ping: now,
            heard_at: now,
            parts: CatalogParts::default(),
            told_have: have,
            findings: follower.findings(),
            passes_findings: false,
            case_notes: follower.case_notes(),
            reads_cases: false,
            limit_notes: follower.limit_notes(),
            reads_limits: false,
            outgoing: VecDeque::new(),
        })
    }

    /// Connects, greets, and waits `limit` for a first message.
    async fn open_and_hear(
        follower: &EdgeFollower,
        control: SocketAddr,
        limit: Duration,
    ) -> Result<(Session, ToEdge), StreamError> {
        let mut session = Session::open(follower, control).await?;
        let hearing = next_message(follower, &mut session.receiver);
        let message = match tokio::time::timeout(limit, hearing).await {
            Ok(message) => message?,
            Err(_) => {
                let limit_ms = limit.as_millis();
                return Err(StreamError::ReceiveTimeout { limit_ms });
            }
        };
        Ok((session, message))
    }

    /// Carries messages both ways until what it is run for, or until the connection
    /// fails.
    async fn exchange(
        &mut self,
        follower: &EdgeFollower,
        control: SocketAddr,
        patience: &mut Patience,
        until: Until,
    ) -> Result<(), StreamError> {
        let mut probes = FuturesUnordered::new();
        loop {
            self.send_outgoing().await?;
            let overdue_at = match until {
                Until::Overdue => self.overdue_at(patience.limit()),
                Until::Heard => None,
            };
            tokio::select! {
                // A message that waits counts before the time that went by without it,
                // as when this process stood still.
                biased;
                message = next_message(follower, &mut self.receiver) => match message? {
                    ToEdge::Probe(suspect) => probes.push(follower.prober().find_ready(suspect)),
                    message => {
                        self.take(follower, control, message, patience)?;
                        if until == Until::Heard {
                            return Ok(());
                        }
                    }
                },
                changed = self.phases.changed() => {
                    if changed.is_err() {
                        return Err(StreamError::Ended);
                    }
                    self.sender.send(&ToControl::Edge(follower.record())).await?;
                }
                found = self.findings.recv(), if self.passes_findings => {
                    // What a slow connection missed goes by the others.
                    if let Ok(found) = found {
                        self.outgoing.push_back(ToControl::Findings(vec![found]));
                    }
                }
                note = self.case_notes.recv(), if self.reads_cases => match note {
                    Ok(CaseNote::Trial(case)) => {
                        self.outgoing.push_back(ToControl::AskForTrial(case));
                    }
                    Ok(CaseNote::Known(case)) => {
                        self.outgoing.push_back(ToControl::Cases(vec![case]));
                    }
                    // A slow connection missed some: whoever asked is refused for now.
                    Err(_) => {}
                },
                note = self.limit_notes.recv(), if self.reads_limits => {
                    // A slow connection missed some: whoever asked goes without a token.
                    if let Ok(note) = note {
                        self.outgoing.extend(message_of(note, control));
                    }
                }
                Some(found) = probes.next(), if !probes.is_empty() => {
                    if let Some(found) = found {
                        self.sender.send(&found).await?;
                    }
                }
                () = tokio::time::sleep_until(self.next_ping) => {
                    self.ping(follower, control).await?;
                }
                () = tokio::time::sleep_until(overdue_at.unwrap_or(self.next_ping)),
                    if overdue_at.is_some() => return Ok(()),
            }
        }
    }

    /// When an answer is overdue, if one is waited for.
    fn overdue_at(&self, limit: Duration) -> Option<Instant> {
        let oldest = self.unanswered.front()?;
        Some(oldest.sent_at.max(self.heard_at) + limit)
    }

    async fn send_outgoing(&mut self) -> Result<(), StreamError> {
        while let Some(message) = self.outgoing.front() {
            self.sender.send(message).await?;
            self.outgoing.pop_front();
        }
        Ok(())
    }

    async fn ping(
        &mut self,
        follower: &EdgeFollower,
        control: SocketAddr,
    ) -> Result<(), StreamError> {
        let now = Instant::now();
        self.unanswered.push_back(SignOfLife {
            sent_at: now,
            promised_from: follower.now(),
        });
        self.next_ping = now + Duration::from_millis(follower.next_ping_in_ms(control));
        let have = follower.catalog().version();
        if have > self.told_have {
            self.told_have = have;
            self.outgoing.push_back(ToControl::Have(have));
        }
        self.send_outgoing().await?;
        // Never sent twice: an answer too many would pass for that to a later one, and
        // the catalog for newer than it is proven to be.
        let ping = ToControl::EdgePing(follower.link_use());
        self.sender.send(&ping).await
    }

    fn take(
        &mut self,
        follower: &EdgeFollower,
        control: SocketAddr,
        message: ToEdge,
        patience: &mut Patience,
    ) -> Result<(), StreamError> {
        self.heard_at = Instant::now();
        let had = follower.catalog().version();
        match message {
            ToEdge::Pong { reach, catalog } => {
                if let Some(answered) = self.unanswered.pop_front() {
                    patience.silent_tries = 0;
                    patience.round_trip = answered.sent_at.elapsed();
                    let asked_at = answered.promised_from;
                    follower.note_pong(control, patience.round_trip, asked_at, reach, catalog);
                }
            }
            ToEdge::CatalogPart(part) => self.take_part(follower, control, part)?,
            ToEdge::Findings(findings) => {
                self.passes_findings = true;
                follower.take_findings(&findings);
            }
            ToEdge::Cases(cases) => {
                follower.take_cases(&cases);
                if !self.reads_cases {
                    self.reads_cases = true;
                    // A control process that has started knows nothing but by its daemons.
                    let known = follower.told_cases();
                    self.outgoing.push_back(ToControl::Cases(known));
                }
            }
            ToEdge::Trial(verdict) => follower.take_verdict(verdict),
            ToEdge::Limits(limits) => {
                follower.state().adopt_limits(&limits);
                if !self.reads_limits {
                    self.reads_limits = true;
                    let known = follower.state().told_limits();
                    self.outgoing.push_back(ToControl::Limits(known));
                }
            }
            ToEdge::Token { number, verdict } => {
                let state = follower.state();
                state.take_token_verdict(control, number, &verdict);
            }
            message => follower.take(control, message),
        }
        let has = follower.catalog().version();
        if follower.phase() == EdgePhase::Starting && has > had {
            // The answer tells whether there is anything newer: the daemon waits for it.
            self.next_ping = self.heard_at;
        }
        if follower.catalog().should_fetch(control, patience.limit()) {
            self.outgoing.push_back(ToControl::FetchCatalog(has));
        }
        Ok(())
    }

    /// Takes a part of the catalog in, and asks for the next one. What another control
    /// process has told meanwhile is asked for no further.
    fn take_part(
        &mut self,
        follower: &EdgeFollower,
        control: SocketAddr,
        part: CatalogPart,
    ) -> Result<(), StreamError> {
        let version = part.version;
        if version <= follower.catalog().version() {
            return Ok(());
        }
        follower.catalog().note_part(control);
        let whole = self.parts.take(part);
        match whole.map_err(|source| StreamError::Message { source })? {
            Some(message) => follower.take(control, message),
            None => self.outgoing.push_back(ToControl::PartTaken(version)),
        }
        Ok(())
    }
}
