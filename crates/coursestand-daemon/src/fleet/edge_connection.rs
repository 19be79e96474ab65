//! Connection of an entry daemon to this control process.

use std::sync::Arc;
use std::time::Duration;

use coursestand_catalog::CatalogDelta;
use coursestand_discovery::EdgeRecord;
use coursestand_routing::SharedCrashRecord;
use coursestand_routing::rate_limit::TokenRequest;
use coursestand_transport::TransportError;
use coursestand_transport::stream::{Receiver, Sender, StreamError};
use log::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::control::shared::{ControlShared, LogExtent};
use crate::fleet::catalog_updates::{CatalogDistribution, CatalogMessage};
use crate::fleet::hub::{EdgeNames, EdgeSubscriptions, Hub};
use crate::fleet::listener::ConnectionContext;
use crate::fleet::report_limit::ReportLimit;
use crate::fleet::wire::{EdgeChanges, StartTimes, ToControl, ToEdge};

const LOG: &str = "mesh";
/// An entry daemon that was silent for this long, two ping intervals, is left out of look-ups
/// unless another daemon reaches it.
const EDGE_SUSPECT_AFTER: Duration = Duration::from_millis(2_000);
/// An entry daemon that was silent for this long is disconnected. The limit is high because a
/// saturated link delays its messages, and a new connection starts with the full state.
pub(super) const EDGE_TIMEOUT: Duration = Duration::from_millis(10_000);
/// Shortest time between two messages about changes of the connected entry daemons.
const EDGE_CHANGES_INTERVAL: Duration = Duration::from_millis(200);

/// Serves a connection of an entry daemon until it fails.
pub(super) async fn serve_edge(
    record: EdgeRecord,
    catalog_version: u64,
    subscriptions: EdgeSubscriptions,
    mut receiver: Receiver<ToControl>,
    mut sender: Sender<ToEdge>,
    context: &Arc<ConnectionContext>,
) -> Result<(), StreamError> {
    let hub = &context.hub;
    sender.set_ack_timeout(EDGE_TIMEOUT)?;
    if subscriptions.findings {
        sender.send(&ToEdge::Findings(Vec::new())).await?;
    }
    let (number, queue, instances) = hub.subscribe(subscriptions);
    let mut registration = Registration {
        hub,
        number,
        record,
    };
    if subscriptions.crash_records {
        sender
            .send(&ToEdge::CrashRecords(hub.shared_crash_records()))
            .await?;
    }
    hub.note_edge(number, &registration.record, true);
    if subscriptions.relays {
        sender.send(&ToEdge::Relays(Vec::new())).await?;
    }
    let mut connection = EdgeConnection {
        context,
        number,
        queue,
        catalog: CatalogDistribution::new(catalog_version),
        next_push_at: Instant::now(),
        accepts_rate_limits: subscriptions.rate_limits,
        findings: ReportLimit::default(),
        crash_records: ReportLimit::default(),
        rate_limits: ReportLimit::default(),
        tokens: ReportLimit::default(),
    };
    let result = connection
        .run(
            &mut registration.record,
            instances,
            &mut receiver,
            &mut sender,
        )
        .await;
    if let Err(error) = &result {
        let record = &registration.record;
        info!(target: LOG, edge = record.name, incarnation = record.incarnation,
            connection = number, catalog = connection.catalog.version_sent();
            "connection of an entry daemon closed: {error}");
    }
    result
}

/// The entries of a connection in the hub, which are removed on drop: a connection may fail at
/// any message.
struct Registration<'a> {
    hub: &'a Hub,
    /// Number of the connection in the hub.
    number: u64,
    /// The daemon, in its latest phase.
    record: EdgeRecord,
}

impl Drop for Registration<'_> {
    fn drop(&mut self) {
        self.hub.unsubscribe(self.number);
        self.hub.note_edge(self.number, &self.record, false);
    }
}

fn edge_changes(before: &EdgeNames, now: &EdgeNames) -> EdgeChanges {
    EdgeChanges {
        added: now.difference(before).cloned().collect(),
        removed: before.difference(now).cloned().collect(),
    }
}

struct EdgeConnection<'a> {
    context: &'a ConnectionContext,
    /// Number of this subscriber in the hub.
    number: u64,
    queue: mpsc::Receiver<bytes::Bytes>,
    /// State of the catalog distribution to the daemon.
    catalog: CatalogDistribution,
    /// When the next catalog change may be pushed.
    next_push_at: Instant,
    accepts_rate_limits: bool,
    findings: ReportLimit,
    crash_records: ReportLimit,
    rate_limits: ReportLimit,
    tokens: ReportLimit,
}

impl EdgeConnection<'_> {
    async fn run(
        &mut self,
        record: &mut EdgeRecord,
        instances: Vec<coursestand_discovery::InstanceUpdate>,
        receiver: &mut Receiver<ToControl>,
        sender: &mut Sender<ToEdge>,
    ) -> Result<(), StreamError> {
        let hub = &self.context.hub;
        let mut catalog = self.context.control.shared.catalog_versions();
        let mut controls = hub.controls();
        let mut edges = hub.edges();
        // The catalog precedes the back ends, of which there are many, because it has to be in
        // force soon. The first answer to a ping follows all of this: it makes the daemon count
        // as connected, and by then the daemon must have the list of the others.
        let group = controls.borrow_and_update().clone();
        sender.send(&ToEdge::Controls(group)).await?;
        catalog.borrow_and_update();
        self.send_catalog(sender).await?;
        let mut known_edges = Arc::clone(&edges.borrow_and_update());
        let all = edge_changes(&EdgeNames::default(), &known_edges);
        sender.send(&ToEdge::Edges(all)).await?;
        let starts = StartTimes::of(&instances);
        sender.send(&ToEdge::Instances(instances, starts)).await?;
        if self.accepts_rate_limits {
            // Limits refer to incarnations, so the back ends come first.
            sender
                .send(&ToEdge::Limits(hub.shared_rate_limits()))
                .await?;
        }
        let mut last_received_at = Instant::now();
        let mut is_suspect = false;
        let mut next_edges_at = Instant::now() + EDGE_CHANGES_INTERVAL;
        let mut has_edge_changes = false;
        let mut has_catalog_changes = false;
        loop {
            tokio::select! {
                // Messages of the daemon are handled before its timeouts, and the catalog is
                // sent before updates of back ends.
                biased;
                message = receiver.next() => {
                    let message = message?;
                    last_received_at = Instant::now();
                    if is_suspect {
                        is_suspect = false;
                        hub.note_edge(self.number, record, true);
                    }
                    match message {
                        ToControl::ProbeSucceeded { name, incarnation } => {
                            hub.confirm_edge_ready(&name, incarnation);
                        }
                        ToControl::EdgePing(link_use) => {
                            hub.note_link_use(record, link_use);
                            self.answer_ping(sender).await?;
                        }
                        ToControl::Findings(findings) => {
                            let accepted = self.findings.accept_within_limit(findings);
                            hub.relay_findings(self.number, accepted);
                        }
                        ToControl::CrashRecords(crash_records) => {
                            let accepted = self.crash_records.accept_within_limit(crash_records);
                            hub.merge_crash_records(self.number, &accepted);
                        }
                        ToControl::RequestTrial(crash_record) => {
                            self.answer_trial(crash_record, sender).await?;
                        }
                        ToControl::Limits(rate_limits) => {
                            let accepted = self.rate_limits.accept_within_limit(rate_limits);
                            hub.merge_rate_limits(self.number, accepted);
                        }
                        ToControl::RequestToken { number, request } => {
                            self.answer_token(number, request, sender).await?;
                        }
                        ToControl::RelayEndpoint(endpoint) => hub.note_relay(record, endpoint),
                        ToControl::FindRelays => {
                            sender.send(&ToEdge::Relays(hub.relay_peers(record))).await?;
                        }
                        ToControl::Partitioned(is_partitioned) => {
                            hub.note_partitioned(record, is_partitioned);
                        }
                        ToControl::HaveCatalog(catalog_version) => self.catalog.note_version(catalog_version),
                        ToControl::FetchCatalog(catalog_version) => {
                            self.send_fetched(catalog_version, sender).await?;
                        }
                        ToControl::PartReceived(version) => {
                            if let Some(part) = self.catalog.part_received(version) {
                                send_catalog_message(part, sender).await?;
                            }
                        }
                        ToControl::Edge(next) => {
                            *record = next;
                            hub.note_edge(self.number, record, true);
                        }
                        _ => return Err(StreamError::Ended),
                    }
                }
                changed = catalog.changed(), if !has_catalog_changes => {
                    if changed.is_err() {
                        return Err(StreamError::Ended);
                    }
                    has_catalog_changes = true;
                }
                () = tokio::time::sleep_until(self.next_push_at), if has_catalog_changes => {
                    has_catalog_changes = false;
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
                changed = edges.changed(), if !has_edge_changes => {
                    if changed.is_err() {
                        return Err(StreamError::Ended);
                    }
                    has_edge_changes = true;
                }
                () = tokio::time::sleep_until(next_edges_at), if has_edge_changes => {
                    has_edge_changes = false;
                    next_edges_at = Instant::now() + EDGE_CHANGES_INTERVAL;
                    let now = Arc::clone(&edges.borrow_and_update());
                    sender.send(&ToEdge::Edges(edge_changes(&known_edges, &now))).await?;
                    known_edges = now;
                }
                frame = self.queue.recv() => match frame {
                    Some(frame) => sender.send_frame(frame).await?,
                    None => return Err(StreamError::Ended),
                },
                () = tokio::time::sleep_until(last_received_at + EDGE_SUSPECT_AFTER), if !is_suspect => {
                    is_suspect = true;
                    hub.mark_edge_silent(self.number, record);
                }
                () = tokio::time::sleep_until(last_received_at + EDGE_TIMEOUT) => {
                    let limit_ms = EDGE_TIMEOUT.as_millis();
                    return Err(StreamError::ReceiveTimeout { limit_ms });
                }
            }
        }
    }

    /// Returns `log_extent` unless the replica has since restarted from its disk: what was sent
    /// may then be older than `log_extent`.
    fn extent_unless_restarted(&self, log_extent: Option<LogExtent>) -> Option<LogExtent> {
        let now = self.context.control.shared.log_extent()?;
        log_extent.filter(|log_extent| now.applied >= log_extent.applied)
    }

    async fn answer_ping(&mut self, sender: &mut Sender<ToEdge>) -> Result<(), StreamError> {
        // Read first, so that all that it reports as applied is sent before the answer.
        let reach = self.shared().log_extent();
        self.send_catalog(sender).await?;
        let reach = self.extent_unless_restarted(reach);
        let catalog = self.shared().state().catalog().version();
        sender.send(&ToEdge::Pong { reach, catalog }).await
    }

    /// Answers a daemon's trial request if this replica is the leader, so that a single process
    /// decides for all daemons.
    async fn answer_trial(
        &mut self,
        crash_record: SharedCrashRecord,
        sender: &mut Sender<ToEdge>,
    ) -> Result<(), StreamError> {
        for crash_record in self.crash_records.accept_within_limit(vec![crash_record]) {
            let term = self.shared().leading_term();
            let verdict = self
                .context
                .hub
                .answer_trial(self.number, &crash_record, term);
            if let Some(verdict) = verdict {
                sender.send(&ToEdge::Trial(verdict)).await?;
            }
        }
        Ok(())
    }

    /// Answers a daemon's token request if this replica is the leader.
    async fn answer_token(
        &mut self,
        number: u64,
        request: TokenRequest,
        sender: &mut Sender<ToEdge>,
    ) -> Result<(), StreamError> {
        for request in self.tokens.accept_within_limit(vec![request]) {
            let term = self.shared().leading_term();
            if let Some(verdict) = self.context.hub.answer_token(&request, term) {
                sender.send(&ToEdge::Token { number, verdict }).await?;
            }
        }
        Ok(())
    }

    async fn send_catalog(&mut self, sender: &mut Sender<ToEdge>) -> Result<(), StreamError> {
        let shared = &self.context.control.shared;
        let version = shared.state().catalog().version();
        let updates = shared.catalog_updates();
        let message = self
            .catalog
            .next_message(version, updates, |since| read_changes(shared, since));
        match message.map_err(message_error)? {
            Some(message) => {
                self.next_push_at = Instant::now() + self.catalog.pause();
                send_catalog_message(message, sender).await
            }
            None => Ok(()),
        }
    }

    /// Sends the changes after `catalog_version` that the daemon requested.
    async fn send_fetched(
        &mut self,
        catalog_version: u64,
        sender: &mut Sender<ToEdge>,
    ) -> Result<(), StreamError> {
        let shared = &self.context.control.shared;
        let version = shared.state().catalog().version();
        let updates = shared.catalog_updates();
        let messages = self
            .catalog
            .fetch(catalog_version, version, updates, |since| {
                read_changes(shared, since)
            });
        for message in messages.map_err(message_error)? {
            send_catalog_message(message, sender).await?;
        }
        Ok(())
    }

    fn shared(&self) -> &ControlShared {
        &self.context.control.shared
    }
}

fn read_changes(shared: &ControlShared, since: u64) -> CatalogDelta {
    shared.state().catalog().steering_delta(since)
}

fn message_error(source: TransportError) -> StreamError {
    StreamError::Message { source }
}

async fn send_catalog_message(
    message: CatalogMessage,
    sender: &mut Sender<ToEdge>,
) -> Result<(), StreamError> {
    match message {
        CatalogMessage::Frame(frame) => sender.send_frame(frame).await,
        CatalogMessage::Message(message) => sender.send(&message).await,
    }
}
