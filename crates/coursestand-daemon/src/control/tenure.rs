//! The state that a leader collects from daemons during one term. A new leader starts with
//! empty state and waits until all leases of its predecessor have expired.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_coordination::allocator::Demand;
use coursestand_coordination::command::BackendEpoch;
use coursestand_coordination::followers::FollowerRegistry;
use coursestand_coordination::tables::{Member, MemberPhase, Tables};
use coursestand_coordination::wire::{FollowRequest, ReportRequest};
use coursestand_model::{BackendId, DaemonId, Millis};

/// Reports older than this are ignored.
const REPORT_LIFETIME_MS: Millis = 4_000;

struct Report {
    received_at: Millis,
    request: ReportRequest,
}

/// State of the daemons as the leader of one term sees it.
pub struct Tenure {
    /// The term.
    pub term: u64,
    /// Leases and progress of the daemons.
    pub registry: FollowerRegistry,
    observed: BTreeMap<DaemonId, Member>,
    stopped: BTreeSet<DaemonId>,
    /// Daemons whose slots are being freed by a proposed command.
    freeing_slots: BTreeSet<DaemonId>,
    reports: BTreeMap<DaemonId, Report>,
}

impl Tenure {
    /// Returns the state of a leader whose term `term` begins at `now`.
    pub fn new(term: u64, now: Millis) -> Tenure {
        Tenure {
            term,
            registry: FollowerRegistry::new(now),
            observed: BTreeMap::new(),
            stopped: BTreeSet::new(),
            freeing_slots: BTreeSet::new(),
            reports: BTreeMap::new(),
        }
    }

    /// Records the membership state that a daemon reports of itself.
    pub fn record_follower(&mut self, request: &FollowRequest) {
        let member = Member {
            incarnation: request.daemon.incarnation,
            zone: request.zone.clone(),
            address: request.address.clone(),
            phase: request.phase,
        };
        if request.phase == MemberPhase::Gone {
            // The daemon has stopped routing and has no requests in flight.
            self.registry.end_lease(&request.daemon);
            self.stopped.insert(request.daemon.clone());
        }
        // A long poll may be older than a request that was answered before it.
        let observed = self.observed.get(&request.daemon);
        if observed.is_none_or(|observed| observed.is_superseded_by(&member)) {
            self.observed.insert(request.daemon.clone(), member);
        }
    }

    /// Records a long poll on arrival: its progress and phase count immediately, not only
    /// when the poll is answered. A daemon without a lease is recorded when it is granted
    /// one.
    pub fn record_poll(&mut self, request: &FollowRequest) {
        if self
            .registry
            .note_progress(&request.daemon, request.progress)
        {
            self.record_follower(request);
        }
    }

    /// Whether the daemon has announced its stop.
    pub fn has_stopped(&self, daemon: &DaemonId) -> bool {
        self.stopped.contains(daemon)
    }

    /// Refuses leases to these daemons, whose leases have expired, and to no others. Called
    /// before the command that frees their slots is proposed: until it is applied, the
    /// state still assigns the slots to them, and a new lease would cover slots that are
    /// about to be reassigned.
    pub fn set_freeing_slots(&mut self, daemons: &[DaemonId]) {
        self.freeing_slots = daemons.iter().cloned().collect();
    }

    /// Whether the daemon may be granted a lease: not while its slots are being freed.
    pub fn may_grant_lease(&self, daemon: &DaemonId) -> bool {
        !self.freeing_slots.contains(daemon)
    }

    /// Records a daemon's report. Returns whether it differs from the previous one.
    pub fn record_report(&mut self, now: Millis, request: ReportRequest) -> bool {
        let known = self.reports.get(&request.daemon);
        let is_new = known.is_none_or(|known| known.request != request);
        let report = Report {
            received_at: now,
            request,
        };
        self.reports.insert(report.request.daemon.clone(), report);
        is_new
    }

    /// Returns the members that differ from the tables: daemons that appeared or announced a
    /// new phase, and daemons whose lease expired.
    pub fn member_updates(&self, now: Millis, tables: &Tables) -> Vec<(String, Member)> {
        let mut current: BTreeMap<String, Member> = tables
            .members
            .iter()
            .map(|(name, member)| (name.clone(), member.clone()))
            .collect();
        for (daemon, member) in &self.observed {
            let known = current.get(&daemon.name);
            if known.is_none_or(|known| known.is_superseded_by(member)) {
                current.insert(daemon.name.clone(), member.clone());
            }
        }
        current
            .into_iter()
            .map(|(name, member)| self.with_lease_state(now, name, member))
            .filter(|(name, member)| tables.members.get(name) != Some(member))
            .collect()
    }

    fn with_lease_state(&self, now: Millis, name: String, mut member: Member) -> (String, Member) {
        let daemon = DaemonId {
            name,
            incarnation: member.incarnation,
        };
        let is_serving = member.phase == MemberPhase::Serving;
        if is_serving && !self.registry.may_decide(now, &daemon) {
            member.phase = MemberPhase::Silent;
        }
        (daemon.name, member)
    }

    /// Whether no request that this daemon dispatched can be in flight.
    pub fn has_ended(&self, now: Millis, daemon: &DaemonId, grace: Millis) -> bool {
        self.stopped.contains(daemon) || self.registry.has_lease_expired(now, daemon, grace)
    }

    /// Removes daemons whose leases and requests have ended, and expired reports.
    pub fn remove_ended(&mut self, now: Millis, grace: Millis) {
        self.registry.remove_expired(now, grace);
        self.reports
            .retain(|_, report| now < report.received_at + REPORT_LIFETIME_MS);
        let registry = &self.registry;
        self.observed
            .retain(|daemon, _| !registry.has_lease_expired(now, daemon, grace));
    }

    /// Returns the demand in unexpired reports.
    pub fn demand(&self, now: Millis) -> Demand {
        let mut demand = Demand::new();
        for report in self.fresh_reports(now) {
            for row in &report.demand {
                let key = (report.daemon.clone(), row.service.clone(), row.zone.clone());
                demand.insert(key, row.wanted);
            }
        }
        demand
    }

    /// Returns the back ends that at least one daemon reports as unreachable and none as
    /// reachable.
    pub fn unreachable_backends(&self, now: Millis) -> BTreeSet<BackendId> {
        let mut unreachable = BTreeSet::new();
        let mut reachable = BTreeSet::new();
        for report in self.fresh_reports(now) {
            unreachable.extend(report.unreachable.iter().cloned());
            reachable.extend(report.reachable.iter().cloned());
        }
        unreachable.difference(&reachable).cloned().collect()
    }

    /// Returns the back ends that announced that they are leaving.
    pub fn leaving_backends(&self, now: Millis) -> BTreeSet<BackendEpoch> {
        self.fresh_reports(now)
            .flat_map(|report| report.leaving.iter().cloned())
            .collect()
    }

    fn fresh_reports(&self, now: Millis) -> impl Iterator<Item = &ReportRequest> {
        self.reports
            .values()
            .filter(move |report| now < report.received_at + REPORT_LIFETIME_MS)
            .map(|report| &report.request)
    }
}
