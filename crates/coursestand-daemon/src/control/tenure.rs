//! What a leader learns from daemons while it leads. A new leader starts with
//! nothing and waits until leases of its predecessor have ended.

use std::collections::{BTreeMap, BTreeSet};

use coursestand_coordination::allocator::Demand;
use coursestand_coordination::command::BackendEpoch;
use coursestand_coordination::followers::FollowerRegistry;
use coursestand_coordination::tables::{Member, MemberPhase, Tables};
use coursestand_coordination::wire::{FollowRequest, ReportRequest};
use coursestand_model::{BackendId, DaemonId, Millis};

/// Reports older than this are not heeded.
const REPORT_LIFETIME_MS: Millis = 4_000;

struct Report {
    at: Millis,
    request: ReportRequest,
}

/// What the leader of one term knows of the daemons.
pub struct Tenure {
    /// The term.
    pub term: u64,
    /// Leases of the daemons.
    pub registry: FollowerRegistry,
    seen: BTreeMap<DaemonId, Member>,
    stopped: BTreeSet<DaemonId>,
    /// Daemons whose slots are being freed by a proposed command.
    freeing_slots: BTreeSet<DaemonId>,
    reports: BTreeMap<DaemonId, Report>,
}

impl Tenure {
    /// The tenure of the leader of `term` that begins at `now`.
    pub fn new(term: u64, now: Millis) -> Tenure {
        Tenure {
            term,
            registry: FollowerRegistry::new(now),
            seen: BTreeMap::new(),
            stopped: BTreeSet::new(),
            freeing_slots: BTreeSet::new(),
            reports: BTreeMap::new(),
        }
    }

    /// Notes what a daemon says of itself.
    pub fn note_follower(&mut self, request: &FollowRequest) {
        let member = Member {
            incarnation: request.daemon.incarnation,
            zone: request.zone.clone(),
            address: request.address.clone(),
            phase: request.phase,
        };
        if request.phase == MemberPhase::Gone {
            // It has stopped deciding and nothing of it is in flight.
            self.registry.end_lease(&request.daemon);
            self.stopped.insert(request.daemon.clone());
        }
        // A request that was held may be older than one answered before it.
        let seen = self.seen.get(&request.daemon);
        if seen.is_none_or(|seen| seen.is_superseded_by(&member)) {
            self.seen.insert(request.daemon.clone(), member);
        }
    }

    /// Notes a request for news as it arrives: what it says counts from now on,
    /// however long the request is then held. A daemon without a lease is noted
    /// when it is granted one.
    pub fn note_arrival(&mut self, request: &FollowRequest) {
        if self
            .registry
            .note_progress(&request.daemon, request.progress)
        {
            self.note_follower(request);
        }
    }

    /// Whether the daemon announced that it has stopped.
    pub fn has_stopped(&self, daemon: &DaemonId) -> bool {
        self.stopped.contains(daemon)
    }

    /// Refuses leases to these daemons, whose leases have ended, and to no others. Called
    /// before the command that frees their slots is proposed: until it is applied, the
    /// state still assigns the slots to them, and a new lease would cover slots that are
    /// about to be reassigned.
    pub fn set_freeing_slots(&mut self, daemons: &[DaemonId]) {
        self.freeing_slots = daemons.iter().cloned().collect();
    }

    /// Whether the daemon may be granted a lease: not while its slots are being
    /// freed.
    pub fn may_grant_lease(&self, daemon: &DaemonId) -> bool {
        !self.freeing_slots.contains(daemon)
    }

    /// Notes a daemon's report. Returns whether it says anything new.
    pub fn note_report(&mut self, now: Millis, request: ReportRequest) -> bool {
        let known = self.reports.get(&request.daemon);
        let is_news = known.is_none_or(|known| known.request != request);
        let report = Report { at: now, request };
        self.reports.insert(report.request.daemon.clone(), report);
        is_news
    }

    /// What is new about daemons against the tables: those that appeared or
    /// announced something, and those whose lease ended.
    pub fn member_news(&self, now: Millis, tables: &Tables) -> Vec<(String, Member)> {
        let mut current: BTreeMap<String, Member> = tables
            .members
            .iter()
            .map(|(name, member)| (name.clone(), member.clone()))
            .collect();
        for (daemon, member) in &self.seen {
            let known = current.get(&daemon.name);
            if known.is_none_or(|known| known.is_superseded_by(member)) {
                current.insert(daemon.name.clone(), member.clone());
            }
        }
        current
            .into_iter()
            .map(|(name, member)| self.with_lease(now, name, member))
            .filter(|(name, member)| tables.members.get(name) != Some(member))
            .collect()
    }

    fn with_lease(&self, now: Millis, name: String, mut member: Member) -> (String, Member) {
        let daemon = DaemonId {
            name,
            incarnation: member.incarnation,
        };
        let serves = member.phase == MemberPhase::Serving;
        if serves && !self.registry.may_decide(now, &daemon) {
            member.phase = MemberPhase::Silent;
        }
        (daemon.name, member)
    }

    /// Whether nothing that this daemon dispatched can be in flight.
    pub fn is_over(&self, now: Millis, daemon: &DaemonId, grace: Millis) -> bool {
        self.stopped.contains(daemon) || self.registry.has_lease_expired(now, daemon, grace)
    }

    /// Forgets daemons whose leases and requests have ended.
    pub fn forget_ended(&mut self, now: Millis, grace: Millis) {
        self.registry.remove_expired(now, grace);
        self.reports
            .retain(|_, report| now < report.at + REPORT_LIFETIME_MS);
        let registry = &self.registry;
        self.seen
            .retain(|daemon, _| !registry.has_lease_expired(now, daemon, grace));
    }

    /// Demand by the reports that still count.
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

    /// Back ends that some daemon can't reach and none can.
    pub fn down(&self, now: Millis) -> BTreeSet<BackendId> {
        let mut down = BTreeSet::new();
        let mut up = BTreeSet::new();
        for report in self.fresh_reports(now) {
            down.extend(report.unreachable.iter().cloned());
            up.extend(report.reachable.iter().cloned());
        }
        down.difference(&up).cloned().collect()
    }

    /// Back ends that said they are leaving.
    pub fn leaving(&self, now: Millis) -> BTreeSet<BackendEpoch> {
        self.fresh_reports(now)
            .flat_map(|report| report.leaving.iter().cloned())
            .collect()
    }

    fn fresh_reports(&self, now: Millis) -> impl Iterator<Item = &ReportRequest> {
        self.reports
            .values()
            .filter(move |report| now < report.at + REPORT_LIFETIME_MS)
            .map(|report| &report.request)
    }
}
