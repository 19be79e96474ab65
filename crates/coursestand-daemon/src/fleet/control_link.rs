//! Persistent connection of an entry daemon to one control process.
//!
//! A silent connection may be dead or delayed by a saturated link, and the two look alike. So a
//! connection whose answer is overdue is kept while a second one is opened, and the first that
//! delivers a message is used from then on. Each attempt without a message increases the
//! timeout of the next one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_discovery::EdgePhase;
use coursestand_model::Millis;
use coursestand_proxy::tokens::RateLimitMessage;
use coursestand_proxy::trials::CrashRecordMessage;
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
/// Delay before a failed connection is opened again.
const RECONNECT_DELAY: Duration = Duration::from_millis(200);
/// Minimum timeout for the answer to a ping. As the pings are spread over a second, the loss of
/// all connections at once is detected within 1.2 s.
const MIN_ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for an answer in round trips, if that is longer.
const ANSWER_TIMEOUT_ROUND_TRIPS: u32 = 3;
/// Maximum timeout for an answer, regardless of the last round trip.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(8_000);
/// Failed attempts after which the timeout stops doubling: it has reached its maximum.
const MAX_DOUBLINGS: u32 = 3;
/// First and longest time between two requests for the daemons to which requests may be relayed.
/// A daemon needs them when it finds that it is partitioned, so it requests them in advance; just
/// after a start of the whole fleet, few daemons are known.
const FIRST_RELAY_REQUEST_INTERVAL: Duration = Duration::from_secs(1);
const MAX_RELAY_REQUEST_INTERVAL: Duration = Duration::from_secs(32);
/// A connection whose bytes are not acknowledged for this long is closed.
const CONNECTION_TIMEOUT: Duration = Duration::from_millis(10_000);

/// Timeout for the answer to a ping, which adapts to the link.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerTimeout {
    /// The last round trip.
    round_trip: Duration,
    /// Consecutive attempts without a message.
    failed_attempts: u32,
}

impl AnswerTimeout {
    fn timeout(&self) -> Duration {
        let usual = MIN_ANSWER_TIMEOUT.max(self.round_trip * ANSWER_TIMEOUT_ROUND_TRIPS);
        let doublings = self.failed_attempts.min(MAX_DOUBLINGS);
        (usual * 2_u32.pow(doublings)).min(MAX_ANSWER_TIMEOUT)
    }
}

/// A ping that was sent.
#[derive(Clone, Copy, Debug)]
struct SentPing {
    sent_at: Instant,
    /// Send time on the lease clock, which counts suspensions: what the answer proves is as
    /// old as this.
    sent_at_ms: Millis,
}

/// An established connection to a control process.
struct Session {
    receiver: Receiver<ToEdge>,
    sender: Sender<ToControl>,
    phases: watch::Receiver<EdgePhase>,
    /// Unanswered pings, oldest first.
    unanswered: VecDeque<SentPing>,
    next_ping: Instant,
    last_received_at: Instant,
    /// Catalog changes that are being received in parts.
    parts: CatalogParts,
    /// Newest catalog version that was reported to the control process.
    reported_version: u64,
    /// This daemon's findings about back ends.
    findings: broadcast::Receiver<SharedFinding>,
    /// Whether the control process relays findings.
    reads_findings: bool,
    /// Crash records and trial requests of this daemon.
    crash_record_messages: broadcast::Receiver<CrashRecordMessage>,
    /// Whether the control process accepts crash records.
    reads_crash_records: bool,
    /// Rate limits and token requests of this daemon.
    rate_limit_messages: broadcast::Receiver<RateLimitMessage>,
    /// Whether the control process accepts rate limits.
    reads_limits: bool,
    /// Whether this daemon is partitioned from all back ends.
    partitions: watch::Receiver<bool>,
    /// Whether the control process supports relays.
    reads_relays: bool,
    /// When the daemons to which requests may be relayed are requested next.
    next_relay_request: Instant,
    /// Time until the request after that.
    relay_request_interval: Duration,
    /// Messages to send next. A message stays here until it is sent, since sending may be
    /// cancelled; none of these does harm if it is sent twice.
    outgoing: VecDeque<ToControl>,
}

/// Condition at which an exchange of messages stops.
#[derive(Clone, Copy, PartialEq, Eq)]
enum StopAt {
    /// The answer to a ping is overdue.
    AnswerOverdue,
    /// A message was received.
    MessageReceived,
}

/// Follows `control` until it is dropped.
pub(super) async fn follow_control(follower: Arc<EdgeFollower>, control: SocketAddr) {
    loop {
        let mut answer_timeout = AnswerTimeout::default();
        let error = match Session::open(&follower, control).await {
            Ok(session) => follow(&follower, control, session, &mut answer_timeout).await,
            Err(error) => error,
        };
        follower.note_lost(control, &error);
        tokio::time::sleep(RECONNECT_DELAY).await;
    }
}

/// Follows `control` until no connection is left, and returns the last error.
async fn follow(
    follower: &EdgeFollower,
    control: SocketAddr,
    mut session: Session,
    answer_timeout: &mut AnswerTimeout,
) -> StreamError {
    loop {
        let exchange = session.exchange(follower, control, answer_timeout, StopAt::AnswerOverdue);
        if let Err(error) = exchange.await {
            return error;
        }
        let started = Instant::now();
        let timeout = answer_timeout.timeout();
        tokio::select! {
            // The old connection is polled first, because it needs no full state. It still
            // carries pings and the daemon's phase.
            biased;
            received = session.exchange(follower, control, answer_timeout, StopAt::MessageReceived) => {
                if let Err(error) = received {
                    return error;
                }
            }
            renewed = Session::open_and_receive(follower, control, timeout) => match renewed {
                Ok((renewed, message)) => {
                    info!(target: LOG, control:% = control,
                        silent_ms = session.last_received_at.elapsed().as_millis() as u64,
                        took_ms = started.elapsed().as_millis() as u64;
                        "silent connection replaced");
                    follower.note_renewed(control);
                    // Only the first message has arrived; the first answer to a ping shows
                    // whether the new connection is faster. Without this count, a full state
                    // that takes longer to arrive than the timeout would be restarted
                    // forever.
                    answer_timeout.failed_attempts += 1;
                    session = renewed;
                    if let Err(error) = session.handle(follower, control, message, answer_timeout) {
                        return error;
                    }
                }
                Err(error) => {
                    answer_timeout.failed_attempts += 1;
                    info!(target: LOG, control:% = control,
                        silent_ms = session.last_received_at.elapsed().as_millis() as u64,
                        tries = answer_timeout.failed_attempts;
                        "no message from the control process: {error}");
                    if session.last_received_at.elapsed() > CONNECTION_TIMEOUT {
                        return error;
                    }
                }
            },
        }
    }
}

/// Receives the next message and counts its bytes by kind.
async fn next_message(
    follower: &EdgeFollower,
    receiver: &mut Receiver<ToEdge>,
) -> Result<ToEdge, StreamError> {
    let message = receiver.next().await?;
    let length = receiver.last_message_length();
    follower.metrics().count_received(&message, length);
    Ok(message)
}

/// Returns the message for `control` about a rate limit, or `None` if it is addressed to
/// another control process.
fn rate_limit_message(message: RateLimitMessage, control: SocketAddr) -> Option<ToControl> {
    match message {
        RateLimitMessage::Update(update) => Some(ToControl::Limits(vec![update])),
        RateLimitMessage::Token {
            to,
            number,
            request,
        } => {
            let is_recipient = to.is_none_or(|issuer| issuer == control);
            is_recipient.then_some(ToControl::RequestToken { number, request })
        }
    }
}

impl Session {
    /// Connects and sends the hello message.
    async fn open(follower: &EdgeFollower, control: SocketAddr) -> Result<Session, StreamError> {
        let (receiver, mut sender) = stream::connect::<ToEdge, ToControl>(control).await?;
        sender.set_ack_timeout(CONNECTION_TIMEOUT)?;
        let mut phases = follower.phases();
        phases.mark_unchanged();
        let catalog_version = follower.catalog().version();
        let hello = ToControl::EdgeHello {
            record: follower.record(),
            catalog_version,
            reads_findings: TrailingFlag(true),
            reads_crash_records: TrailingFlag(true),
            reads_limits: TrailingFlag(true),
            reads_relays: TrailingFlag(true),
        };
        sender.send(&hello).await?;
        let now = Instant::now();
        Ok(Session {
            receiver,
            sender,
            phases,
            unanswered: VecDeque::new(),
            next_ping: now,
            last_received_at: now,
            parts: CatalogParts::default(),
            reported_version: catalog_version,
            findings: follower.findings(),
            reads_findings: false,
            crash_record_messages: follower.crash_record_messages(),
            reads_crash_records: false,
            rate_limit_messages: follower.rate_limit_messages(),
            reads_limits: false,
            partitions: follower.state().partitions(),
            reads_relays: false,
            next_relay_request: now,
            relay_request_interval: FIRST_RELAY_REQUEST_INTERVAL,
            outgoing: VecDeque::new(),
        })
    }

    /// Opens a session and waits up to `timeout` for its first message.
    async fn open_and_receive(
        follower: &EdgeFollower,
        control: SocketAddr,
        timeout: Duration,
    ) -> Result<(Session, ToEdge), StreamError> {
        let mut session = Session::open(follower, control).await?;
        let receiving = next_message(follower, &mut session.receiver);
        let message = match tokio::time::timeout(timeout, receiving).await {
            Ok(message) => message?,
            Err(_) => {
                let limit_ms = timeout.as_millis();
                return Err(StreamError::ReceiveTimeout { limit_ms });
            }
        };
        Ok((session, message))
    }

    /// Sends and receives messages until the condition `stop_at` or until the connection fails.
    async fn exchange(
        &mut self,
        follower: &EdgeFollower,
        control: SocketAddr,
        answer_timeout: &mut AnswerTimeout,
        stop_at: StopAt,
    ) -> Result<(), StreamError> {
        let mut probes = FuturesUnordered::new();
        loop {
            self.send_outgoing().await?;
            let overdue_at = match stop_at {
                StopAt::AnswerOverdue => self.overdue_at(answer_timeout.timeout()),
                StopAt::MessageReceived => None,
            };
            tokio::select! {
                // A message that was received counts before the time that passed without one,
                // as after a suspension of this process.
                biased;
                message = next_message(follower, &mut self.receiver) => match message? {
                    ToEdge::Probe(suspect) => probes.push(follower.prober().find_ready(suspect)),
                    message => {
                        self.handle(follower, control, message, answer_timeout)?;
                        if stop_at == StopAt::MessageReceived {
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
                finding = self.findings.recv(), if self.reads_findings => {
                    // Findings that a slow connection misses are sent on the other connections.
                    if let Ok(finding) = finding {
                        self.outgoing.push_back(ToControl::Findings(vec![finding]));
                    }
                }
                message = self.crash_record_messages.recv(), if self.reads_crash_records => match message {
                    Ok(CrashRecordMessage::Trial(record)) => {
                        self.outgoing.push_back(ToControl::RequestTrial(record));
                    }
                    Ok(CrashRecordMessage::Report(record)) => {
                        self.outgoing.push_back(ToControl::CrashRecords(vec![record]));
                    }
                    // A slow connection missed messages: the requests that need a trial are
                    // rejected for the time being.
                    Err(_) => {}
                },
                message = self.rate_limit_messages.recv(), if self.reads_limits => {
                    // A slow connection missed messages: the requests that need a token go
                    // without one.
                    if let Ok(message) = message {
                        self.outgoing.extend(rate_limit_message(message, control));
                    }
                }
                changed = self.partitions.changed(), if self.reads_relays => {
                    if changed.is_err() {
                        return Err(StreamError::Ended);
                    }
                    let is_partitioned = *self.partitions.borrow_and_update();
                    self.outgoing.push_back(ToControl::Partitioned(is_partitioned));
                    self.outgoing.push_back(ToControl::FindRelays);
                    self.relay_request_interval = FIRST_RELAY_REQUEST_INTERVAL;
                    self.next_relay_request = Instant::now() + FIRST_RELAY_REQUEST_INTERVAL;
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

    /// Returns when the oldest answer is overdue, or `None` if no ping is unanswered.
    fn overdue_at(&self, timeout: Duration) -> Option<Instant> {
        let oldest = self.unanswered.front()?;
        Some(oldest.sent_at.max(self.last_received_at) + timeout)
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
        self.unanswered.push_back(SentPing {
            sent_at: now,
            sent_at_ms: follower.now(),
        });
        self.next_ping = now + Duration::from_millis(follower.next_ping_in_ms(control));
        let version = follower.catalog().version();
        if version > self.reported_version {
            self.reported_version = version;
            self.outgoing.push_back(ToControl::HaveCatalog(version));
        }
        self.send_outgoing().await?;
        if self.reads_relays && now >= self.next_relay_request {
            self.next_relay_request = now + self.relay_request_interval;
            self.relay_request_interval = match *self.partitions.borrow() {
                true => FIRST_RELAY_REQUEST_INTERVAL,
                false => (self.relay_request_interval * 2).min(MAX_RELAY_REQUEST_INTERVAL),
            };
            self.sender.send(&ToControl::FindRelays).await?;
        }
        // Never sent twice: a surplus answer would be matched to a later ping and prove the
        // catalog newer than it is.
        let ping = ToControl::EdgePing(follower.link_use());
        self.sender.send(&ping).await
    }

    fn handle(
        &mut self,
        follower: &EdgeFollower,
        control: SocketAddr,
        message: ToEdge,
        answer_timeout: &mut AnswerTimeout,
    ) -> Result<(), StreamError> {
        self.last_received_at = Instant::now();
        let version_before = follower.catalog().version();
        match message {
            ToEdge::Pong { reach, catalog } => {
                if let Some(answered) = self.unanswered.pop_front() {
                    answer_timeout.failed_attempts = 0;
                    answer_timeout.round_trip = answered.sent_at.elapsed();
                    let ping_sent_at = answered.sent_at_ms;
                    follower.note_pong(
                        control,
                        answer_timeout.round_trip,
                        ping_sent_at,
                        reach,
                        catalog,
                    );
                }
            }
            ToEdge::CatalogPart(part) => self.handle_catalog_part(follower, control, part)?,
            ToEdge::Findings(findings) => {
                self.reads_findings = true;
                follower.apply_findings(&findings);
            }
            ToEdge::CrashRecords(records) => {
                follower.apply_crash_records(&records);
                if !self.reads_crash_records {
                    self.reads_crash_records = true;
                    // A control process that has restarted has only the crash records that
                    // daemons send it.
                    let records = follower.crash_records();
                    self.outgoing.push_back(ToControl::CrashRecords(records));
                }
            }
            ToEdge::Trial(verdict) => follower.apply_trial_verdict(verdict),
            ToEdge::Limits(limits) => {
                follower.state().adopt_rate_limits(&limits);
                if !self.reads_limits {
                    self.reads_limits = true;
                    let limits = follower.state().local_rate_limits();
                    self.outgoing.push_back(ToControl::Limits(limits));
                }
            }
            ToEdge::Relays(peers) => {
                if !self.reads_relays {
                    self.reads_relays = true;
                    let endpoint = follower.state().relay_endpoint();
                    self.outgoing.extend(endpoint.map(ToControl::RelayEndpoint));
                    let is_partitioned = *self.partitions.borrow_and_update();
                    if is_partitioned {
                        self.outgoing.push_back(ToControl::Partitioned(true));
                    }
                }
                if !peers.is_empty() {
                    follower.state().relay_peers().set(control, peers);
                }
            }
            ToEdge::Token { number, verdict } => {
                let state = follower.state();
                state.handle_token_verdict(control, number, &verdict);
            }
            message => follower.apply(control, message),
        }
        let version_after = follower.catalog().version();
        if follower.phase() == EdgePhase::Starting && version_after > version_before {
            // The daemon waits for the answer, which says whether there are newer changes.
            self.next_ping = self.last_received_at;
        }
        if follower
            .catalog()
            .should_fetch(control, answer_timeout.timeout())
        {
            self.outgoing
                .push_back(ToControl::FetchCatalog(version_after));
        }
        Ok(())
    }

    /// Adds a part of catalog changes and requests the next one, unless another control process
    /// has already delivered these changes.
    fn handle_catalog_part(
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
        let message = self.parts.add(part);
        match message.map_err(|source| StreamError::Message { source })? {
            Some(message) => follower.apply(control, message),
            None => self.outgoing.push_back(ToControl::PartReceived(version)),
        }
        Ok(())
    }
}
