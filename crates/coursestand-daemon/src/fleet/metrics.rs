//! Gauges of what the processes of a fleet believe, brought up to date each second.

use coursestand_discovery::InstancePhase;
use prometheus::{GaugeVec, IntCounter, IntGauge, IntGaugeVec, Opts, Registry};

use crate::control::shared::ReplicaStatus;

/// Metrics of a control process.
pub struct ControlMetrics {
    leads: IntGauge,
    term: IntGauge,
    committed: IntGauge,
    members: IntGauge,
    catalog: IntGauge,
    instances: IntGaugeVec,
    edges: IntGauge,
    limited: IntGauge,
    /// Heartbeats of back ends that came to this process.
    pub heartbeats: IntCounter,
    /// Orders of operators answered with success.
    pub orders: IntCounter,
    /// Calls that could not be understood; nothing of them took effect.
    pub refused: IntCounter,
}

/// What a control process counts at one moment.
pub struct ControlCounts {
    /// The replica.
    pub status: ReplicaStatus,
    /// Whether it leads with a lease.
    pub leads: bool,
    /// Newest change of the catalog.
    pub catalog: u64,
    /// Back ends that are ready and draining.
    pub ready: usize,
    /// Back ends that leave.
    pub draining: usize,
    /// Connected entry daemons.
    pub edges: usize,
    /// Back ends that named a rate limit.
    pub limited: usize,
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
    /// Metrics known to `registry`.
    pub fn new(registry: &Registry) -> Result<ControlMetrics, prometheus::Error> {
        let instances = IntGaugeVec::new(
            Opts::new("coursestand_backends", "Back ends by phase"),
            &["phase"],
        )?;
        registry.register(Box::new(instances.clone()))?;
        let gauge = |name, help| gauge(registry, name, help);
        let counter = |name, help| counter(registry, name, help);
        Ok(ControlMetrics {
            leads: gauge("coursestand_control_leads", "1 while this replica leads")?,
            term: gauge("coursestand_control_term", "Number of the election")?,
            committed: gauge("coursestand_control_committed", "Last committed entry")?,
            members: gauge("coursestand_control_voters", "Voters of the control group")?,
            catalog: gauge(
                "coursestand_catalog_version",
                "Newest change of the catalog",
            )?,
            instances,
            edges: gauge("coursestand_edges", "Entry daemons that are connected")?,
            limited: gauge(
                "coursestand_control_rate_limited_backends",
                "Back ends that named a rate limit",
            )?,
            heartbeats: counter("coursestand_heartbeats_total", "Heartbeats of back ends")?,
            orders: counter("coursestand_orders_total", "Orders acknowledged")?,
            refused: counter(
                "coursestand_calls_refused_total",
                "Calls that could not be understood",
            )?,
        })
    }

    /// Brings the gauges up to date.
    pub fn update(&self, counts: &ControlCounts) {
        let voters = counts.status.members.iter().filter(|member| member.voter);
        self.leads.set(i64::from(counts.leads));
        self.term.set(counts.status.term as i64);
        self.committed.set(counts.status.commit as i64);
        self.members.set(voters.count() as i64);
        self.catalog.set(counts.catalog as i64);
        self.edges.set(counts.edges as i64);
        self.limited.set(counts.limited as i64);
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

/// Metrics of an entry daemon's beliefs.
pub struct EdgeMetrics {
    /// Newest change of the catalog.
    pub catalog: IntGauge,
    /// Back ends that it knows and that have not ended.
    pub backends: IntGauge,
    /// Back ends among them that are cold.
    pub cold: IntGauge,
    /// Back ends among them that are left out for their failures.
    pub ejected: IntGauge,
    /// Back ends among them that asked for a back-off.
    pub backing_off: IntGauge,
    /// Back ends among them that named a rate limit.
    pub rate_limited: IntGauge,
    /// Requests under which back ends ended, that are not rejected.
    pub suspects: IntGauge,
    /// Requests that are rejected because back ends ended under them.
    pub convicted: IntGauge,
    /// Idle connections to back ends.
    pub idle: IntGauge,
    /// Use of the machine's link in percent.
    pub link_use: IntGauge,
    /// Entry daemons among which the fixed allowance for retries is divided.
    pub retry_daemons: IntGauge,
    /// Retries that are left, by service.
    pub retry_budget: GaugeVec,
    /// Retries held back for copies that may still arrive, by service.
    pub held_retries: GaugeVec,
}

impl EdgeMetrics {
    /// Metrics known to `registry`.
    pub fn new(registry: &Registry) -> Result<EdgeMetrics, prometheus::Error> {
        let by_service = |name, help| gauge_by_service(registry, name, help);
        let gauge = |name, help| gauge(registry, name, help);
        Ok(EdgeMetrics {
            catalog: gauge("coursestand_edge_catalog_version", "Change in force here")?,
            backends: gauge("coursestand_edge_backends", "Back ends known")?,
            cold: gauge("coursestand_edge_cold_backends", "Back ends that are cold")?,
            ejected: gauge("coursestand_edge_ejected_backends", "Back ends left out")?,
            backing_off: gauge(
                "coursestand_edge_backing_off_backends",
                "Back ends that asked for a back-off",
            )?,
            rate_limited: gauge(
                "coursestand_edge_rate_limited_backends",
                "Back ends that named a rate limit",
            )?,
            suspects: gauge(
                "coursestand_edge_case_suspects",
                "Requests under which back ends ended, not rejected",
            )?,
            convicted: gauge(
                "coursestand_edge_case_convicted",
                "Requests rejected because back ends ended under them",
            )?,
            idle: gauge("coursestand_edge_idle_connections", "Idle connections kept")?,
            link_use: gauge("coursestand_edge_link_use", "Percent of the link used")?,
            retry_daemons: gauge(
                "coursestand_edge_retry_daemons",
                "Entry daemons among which the allowance for retries is divided",
            )?,
            retry_budget: by_service("coursestand_edge_retry_budget", "Retries that are left")?,
            held_retries: by_service(
                "coursestand_edge_held_retries",
                "Retries held back for copies that may still arrive",
            )?,
        })
    }
}
