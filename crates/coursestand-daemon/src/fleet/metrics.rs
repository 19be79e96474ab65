//! Gauges of the state of fleet processes, updated every second.

use coursestand_discovery::InstancePhase;
use prometheus::{GaugeVec, IntCounter, IntGauge, IntGaugeVec, Opts, Registry};

use crate::control::shared::ReplicaStatus;
use crate::fleet::group_watch::tolerated_losses;
use crate::fleet::orders::OrderOutcome;

/// Metrics of a control process.
pub struct ControlMetrics {
    is_leader: IntGauge,
    term: IntGauge,
    committed: IntGauge,
    members: IntGauge,
    tolerated_losses: IntGauge,
    unaddressed_messages: IntGauge,
    catalog: IntGauge,
    evacuated_zones: IntGauge,
    log_bytes: IntGauge,
    snapshot_bytes: IntGauge,
    instances: IntGaugeVec,
    edges: IntGauge,
    edges_named_without_connection: IntGauge,
    rate_limited_backends: IntGauge,
    departures: IntGauge,
    calls: IntGaugeVec,
    peer_queue_bytes: IntGauge,
    /// Heartbeats of back ends received by this process.
    pub heartbeats: IntCounter,
    /// Operators' orders answered with success.
    orders: IntCounter,
    abandoned_orders: IntCounter,
    unconfirmed_orders: IntCounter,
    /// Calls that could not be parsed; none of them took effect.
    pub refused: IntCounter,
    /// Calls refused because of others in progress; none of them took effect.
    pub overloaded: IntCounter,
}

/// A call in progress, which is counted until this value is dropped.
pub struct CallInProgress(IntGauge);

impl Drop for CallInProgress {
    fn drop(&mut self) {
        self.0.dec();
    }
}

/// Current counts of a control process.
pub struct ControlCounts {
    /// Status of the replica.
    pub status: ReplicaStatus,
    /// Whether the replica leads with a lease.
    pub is_leader: bool,
    /// Newest catalog version.
    pub catalog: u64,
    /// Zones that are evacuated according to this replica.
    pub evacuated_zones: usize,
    /// Back ends that are ready.
    pub ready: usize,
    /// Back ends that are draining.
    pub draining: usize,
    /// Bytes in the queues to other control processes.
    pub peer_queue_bytes: usize,
    /// Connected entry daemons.
    pub edges: usize,
    /// Entry daemons that look-ups name although this process is not connected with them.
    pub edges_named_without_connection: usize,
    /// Back ends that reported a rate limit.
    pub rate_limited_backends: usize,
    /// Recorded departures of back ends.
    pub departures: usize,
}

fn gauge(registry: &Registry, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn gauge_by_service(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<GaugeVec, prometheus::Error> {
    let gauge = GaugeVec::new(Opts::new(name, help), &["service"])?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

impl ControlMetrics {
    /// Creates the metrics and registers them with `registry`; fails if a name is taken.
    pub fn new(registry: &Registry) -> Result<ControlMetrics, prometheus::Error> {
        let instances = IntGaugeVec::new(
            Opts::new("coursestand_backends", "Back ends by phase"),
            &["phase"],
        )?;
        registry.register(Box::new(instances.clone()))?;
        let calls = IntGaugeVec::new(
            Opts::new("coursestand_control_calls", "Calls in progress by kind"),
            &["kind"],
        )?;
        registry.register(Box::new(calls.clone()))?;
        let gauge = |name, help| gauge(registry, name, help);
        let counter = |name, help| counter(registry, name, help);
        Ok(ControlMetrics {
            is_leader: gauge("coursestand_control_leads", "1 while this replica leads")?,
            term: gauge("coursestand_control_term", "Consensus term")?,
            committed: gauge(
                "coursestand_control_committed",
                "Index of the last committed log entry",
            )?,
            members: gauge("coursestand_control_voters", "Voters of the control group")?,
            tolerated_losses: gauge(
                "coursestand_control_tolerated_losses",
                "Disks that the group can lose now, as the leader sees it; -1 elsewhere",
            )?,
            unaddressed_messages: gauge(
                "coursestand_control_unaddressed_messages",
                "Consensus messages since the replica began whose receiver has no known address",
            )?,
            catalog: gauge("coursestand_catalog_version", "Newest catalog version")?,
            evacuated_zones: gauge("coursestand_evacuated_zones", "Evacuated zones")?,
            log_bytes: gauge(
                "coursestand_control_log_bytes",
                "Size of the log entries after the newest snapshot",
            )?,
            snapshot_bytes: gauge(
                "coursestand_control_snapshot_bytes",
                "Size of the state in the newest snapshot",
            )?,
            calls,
            peer_queue_bytes: gauge(
                "coursestand_control_peer_queue_bytes",
                "Messages queued for other control processes",
            )?,
            instances,
            edges: gauge("coursestand_edges", "Connected entry daemons")?,
            edges_named_without_connection: gauge(
                "coursestand_edges_named_without_connection",
                "Entry daemons in look-ups that this process is not connected with",
            )?,
            departures: gauge(
                "coursestand_control_departures",
                "Back ends whose order to leave is recorded in the replicated state",
            )?,
            rate_limited_backends: gauge(
                "coursestand_control_rate_limited_backends",
                "Back ends that reported a rate limit",
            )?,
            heartbeats: counter("coursestand_heartbeats_total", "Heartbeats of back ends")?,
            orders: counter("coursestand_orders_total", "Orders acknowledged")?,
            abandoned_orders: counter(
                "coursestand_orders_abandoned_total",
                "Orders not carried out because their callers had left",
            )?,
            unconfirmed_orders: counter(
                "coursestand_orders_unconfirmed_total",
                "Orders whose callers were asked to confirm them",
            )?,
            refused: counter(
                "coursestand_calls_refused_total",
                "Calls that could not be parsed",
            )?,
            overloaded: counter(
                "coursestand_calls_overloaded_total",
                "Calls refused because of others in progress",
            )?,
        })
    }

    /// Counts a call of this kind as in progress until the returned guard is dropped.
    pub fn start_call(&self, kind: &str) -> CallInProgress {
        let gauge = self.calls.with_label_values(&[kind]);
        gauge.inc();
        CallInProgress(gauge)
    }

    /// Counts an order by its outcome.
    pub fn count_order(&self, outcome: &OrderOutcome) {
        match outcome {
            OrderOutcome::Done { .. } => self.orders.inc(),
            OrderOutcome::CallerLeft => self.abandoned_orders.inc(),
            OrderOutcome::Unconfirmed(_) => self.unconfirmed_orders.inc(),
            OrderOutcome::Refused(_) | OrderOutcome::NoLeader | OrderOutcome::Unavailable(_) => {}
        }
    }

    /// Updates the gauges.
    pub fn update(&self, counts: &ControlCounts) {
        let voters = counts.status.members.iter().filter(|member| member.voter);
        self.is_leader.set(i64::from(counts.is_leader));
        self.term.set(counts.status.term as i64);
        self.committed.set(counts.status.commit as i64);
        self.members.set(voters.count() as i64);
        let tolerated = tolerated_losses(&counts.status);
        self.tolerated_losses
            .set(tolerated.map_or(-1, |tolerated| tolerated as i64));
        self.unaddressed_messages
            .set(counts.status.unaddressed_messages as i64);
        self.catalog.set(counts.catalog as i64);
        self.evacuated_zones.set(counts.evacuated_zones as i64);
        self.log_bytes.set(counts.status.log_bytes as i64);
        self.snapshot_bytes.set(counts.status.snapshot_bytes as i64);
        self.peer_queue_bytes.set(counts.peer_queue_bytes as i64);
        self.edges.set(counts.edges as i64);
        self.edges_named_without_connection
            .set(counts.edges_named_without_connection as i64);
        self.departures.set(counts.departures as i64);
        self.rate_limited_backends
            .set(counts.rate_limited_backends as i64);
        for (phase, count) in [
            (InstancePhase::Ready, counts.ready),
            (InstancePhase::Draining, counts.draining),
        ] {
            let phase = format!("{phase:?}").to_lowercase();
            self.instances
                .with_label_values(&[phase.as_str()])
                .set(count as i64);
        }
    }
}

/// Metrics of an entry daemon's state.
pub struct EdgeMetrics {
    /// Newest catalog version in force.
    pub catalog: IntGauge,
    /// Zones that are evacuated according to this daemon's copy of the catalog.
    pub evacuated_zones: IntGauge,
    /// Known back ends that have not stopped.
    pub backends: IntGauge,
    /// Known back ends that are cold.
    pub cold: IntGauge,
    /// Known back ends that are ejected for their failures.
    pub ejected: IntGauge,
    /// Known back ends that requested a back-off.
    pub backing_off: IntGauge,
    /// Known back ends that reported a rate limit.
    pub rate_limited: IntGauge,
    /// Whether this daemon is partitioned from all back ends, or returns after that.
    pub partitioned: IntGauge,
    /// Suspect requests: back ends crashed while they were in flight, but they are not
    /// quarantined.
    pub suspects: IntGauge,
    /// Quarantined requests: rejected because back ends crashed while they were in flight.
    pub quarantined: IntGauge,
    /// Idle connections to back ends.
    pub idle: IntGauge,
    /// Utilization of the machine's link in percent.
    pub link_use: IntGauge,
    /// Entry daemons that share the fixed allowance for retries.
    pub retry_daemons: IntGauge,
    /// Remaining retries by service.
    pub retry_budget: GaugeVec,
    /// Retries withheld for copies that may still arrive, by service.
    pub withheld_retries: GaugeVec,
}

impl EdgeMetrics {
    /// Creates the metrics and registers them with `registry`; fails if a name is taken.
    pub fn new(registry: &Registry) -> Result<EdgeMetrics, prometheus::Error> {
        let by_service = |name, help| gauge_by_service(registry, name, help);
        let gauge = |name, help| gauge(registry, name, help);
        Ok(EdgeMetrics {
            catalog: gauge(
                "coursestand_edge_catalog_version",
                "Catalog version in force",
            )?,
            evacuated_zones: gauge(
                "coursestand_edge_evacuated_zones",
                "Evacuated zones in the catalog in force",
            )?,
            backends: gauge("coursestand_edge_backends", "Known back ends")?,
            cold: gauge("coursestand_edge_cold_backends", "Back ends that are cold")?,
            ejected: gauge(
                "coursestand_edge_ejected_backends",
                "Back ends ejected for their failures",
            )?,
            backing_off: gauge(
                "coursestand_edge_backing_off_backends",
                "Back ends that asked for a back-off",
            )?,
            rate_limited: gauge(
                "coursestand_edge_rate_limited_backends",
                "Back ends that reported a rate limit",
            )?,
            partitioned: gauge(
                "coursestand_edge_partitioned",
                "Whether this daemon is partitioned from all back ends",
            )?,
            suspects: gauge(
                "coursestand_edge_case_suspects",
                "Requests suspected to crash back ends, not quarantined",
            )?,
            quarantined: gauge(
                "coursestand_edge_case_convicted",
                "Requests quarantined because back ends crashed while they were in flight",
            )?,
            idle: gauge(
                "coursestand_edge_idle_connections",
                "Idle connections to back ends",
            )?,
            link_use: gauge("coursestand_edge_link_use", "Link utilization in percent")?,
            retry_daemons: gauge(
                "coursestand_edge_retry_daemons",
                "Entry daemons that share the allowance for retries",
            )?,
            retry_budget: by_service("coursestand_edge_retry_budget", "Remaining retries")?,
            withheld_retries: by_service(
                "coursestand_edge_held_retries",
                "Retries withheld for copies that may still arrive",
            )?,
        })
    }
}
