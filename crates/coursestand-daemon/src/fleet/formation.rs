//! Forms the control group from the seed addresses and maintains its membership.
//!
//! At the first start of a deployment the processes at the seed addresses become the first
//! voters; their identities are derived from their addresses, so they need no coordination. All
//! other processes, and every process that lost its disk, have the leader add them under a
//! new identity: first as learners and, once they have caught up, as voters in place of the
//! earlier replica at their address.
//!
//! A voter that stops as planned asks the leader to remove it first, if the others tolerate the
//! loss of as many disks as the group has to without it. Otherwise the group would count a replica
//! that does not come back until it has been silent for [`LOST_AFTER_MS`].

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use coursestand_consensus::{Member, Membership};
use coursestand_kernel::MonotonicClock;
use coursestand_model::Millis;
use coursestand_routing::hash::{combine, hash_of};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use log::{info, warn};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use crate::control::handle::ControlHandle;
use crate::control::identity::Identity;
use crate::control::shared::ReplicaStatus;
use crate::fleet::group_watch::GroupWatch;
use crate::fleet::hub::Hub;
use crate::fleet::peer_links::PeerLinks;
use crate::fleet::wire::{Answer, ControlGroup, LeaveAnswer, Question};

const LOG: &str = "formation";
/// Time between two checks of the group.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two checks while a replica joins or learns.
const CHANGING_INTERVAL: Duration = Duration::from_millis(50);
/// Time for which the driver may not have published a change that it has confirmed.
const PUBLICATION_TIME: Duration = Duration::from_millis(5);
/// Timeout for an answer to a request to join, longer than a round trip between any two regions. A
/// process that does not answer must not delay the next request for long.
const JOIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout for an answer or a membership change.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a request to leave is sent again.
const LEAVE_RETRY_DELAY: Duration = Duration::from_millis(50);
/// How long a request to join is valid.
const JOIN_REQUEST_TTL_MS: Millis = 4_000;
/// A voter that was silent for longer than this may be removed if enough others are alive.
const LOST_AFTER_MS: Millis = 3_000;
/// A replica without a leader for longer than this requests to rejoin, in case it was removed.
const LEADERLESS_LIMIT_MS: Millis = 2_000;

/// Settings of the group's formation.
#[derive(Clone, Debug)]
pub struct FormationRules {
    /// This process's internal address.
    pub local_address: SocketAddr,
    /// Whether the deployment starts for the first time.
    pub bootstrap: bool,
    /// Number of control disks that may be lost at once.
    pub lost_disks: usize,
}

struct JoinRequest {
    replica: u64,
    received_at: Millis,
}

/// Forms the control group and maintains its membership.
pub struct Formation {
    rules: FormationRules,
    clock: MonotonicClock,
    control: Arc<ControlHandle>,
    hub: Arc<Hub>,
    links: OnceLock<Arc<PeerLinks>>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    joins: Mutex<BTreeMap<SocketAddr, JoinRequest>>,
    /// Identity under which this process requests to join while it has none.
    new_replica: u64,
    /// Wakes a leader when a replica requests to join.
    new_join: Notify,
    /// Log index of the last membership change that this process made.
    confirmed_change: AtomicU64,
    /// Whether this process stops as planned, and must not join again.
    is_leaving: AtomicBool,
}

impl Formation {
    /// Creates a formation with `rules`; `seeds` may change later.
    pub fn new(
        rules: FormationRules,
        clock: MonotonicClock,
        control: Arc<ControlHandle>,
        hub: Arc<Hub>,
        seeds: watch::Receiver<Vec<SocketAddr>>,
    ) -> Formation {
        Formation {
            rules,
            clock,
            control,
            hub,
            links: OnceLock::new(),
            seeds,
            joins: Mutex::default(),
            new_replica: rand::random(),
            new_join: Notify::new(),
            confirmed_change: AtomicU64::new(0),
            is_leaving: AtomicBool::new(false),
        }
    }

    /// Sets the connections to the other control processes; called once.
    pub fn set_links(&self, links: Arc<PeerLinks>) {
        // Fails only if they are set already.
        let _ = self.links.set(links);
    }

    /// Connections to the other control processes.
    pub fn links(&self) -> Option<&Arc<PeerLinks>> {
        self.links.get()
    }

    /// Handles a request to join, which the replica repeats until it is a member.
    pub fn admit(&self, address: SocketAddr, replica: u64) -> Answer {
        if self.control.shared.leading_term().is_none() {
            // The seeds of the joining process may not include the leader.
            let mut known = self.member_addresses();
            known.extend(self.control.shared.leader_address());
            return Answer::AskThese(known.into_iter().collect());
        }
        let membership = self.control.shared.membership();
        let identity = self.control.shared.status().identity;
        if let (Some(identity), true) = (identity, membership.members.contains_key(&replica)) {
            let voters = membership
                .members
                .iter()
                .filter(|(id, member)| **id != replica && member.is_voter)
                .map(|(id, member)| (*id, member.address.clone()))
                .collect();
            return Answer::Joined {
                cluster: identity.cluster,
                voters,
            };
        }
        let request = JoinRequest {
            replica,
            received_at: self.clock.now(),
        };
        let mut joins = self.joins.lock().unwrap_or_else(PoisonError::into_inner);
        let earlier = joins.insert(address, request);
        if earlier.is_none_or(|earlier| earlier.replica != replica) {
            self.new_join.notify_one();
        }
        Answer::AskThese(Vec::new())
    }

    /// Removes a replica that stops as planned, if this process leads and the others tolerate the
    /// loss of enough disks without it.
    pub async fn release(&self, replica: u64) -> Answer {
        if self.control.shared.leading_term().is_none() {
            return Answer::NotLeader;
        }
        let status = self.control.shared.status();
        let mut next = self.control.shared.membership();
        if !next.members.contains_key(&replica) {
            return Answer::Leave(LeaveAnswer::Removed);
        }
        if next.is_voter(replica) && !is_dispensable(&status, replica, self.rules.lost_disks) {
            return Answer::Leave(LeaveAnswer::Needed);
        }
        next.members.remove(&replica);
        info!(target: LOG, replica = replica; "removing a replica that stops as planned");
        match tokio::time::timeout(REQUEST_TIMEOUT, self.control.change_members(next)).await {
            Ok(Ok(_)) => Answer::Leave(LeaveAnswer::Removed),
            Ok(Err(error)) => Answer::Unknown(error.to_string()),
            Err(_) => Answer::Unknown("not committed before the deadline".to_owned()),
        }
    }

    /// Asks the leader to remove this replica before a planned stop, for `timeout` at most. From
    /// then on this process does not join again.
    pub async fn leave(&self, timeout: Duration) {
        self.is_leaving.store(true, Ordering::Relaxed);
        let deadline = Instant::now() + timeout;
        let Some(identity) = self.control.shared.status().identity else {
            return;
        };
        let replica = identity.replica;
        loop {
            match self.ask_to_leave(replica, deadline).await {
                Some(LeaveAnswer::Removed) => {
                    info!(target: LOG, replica = replica; "left the control group");
                    return;
                }
                Some(LeaveAnswer::Needed) => {
                    info!(target: LOG, replica = replica;
                        "remains a member of the control group, which has no replica to spare");
                    return;
                }
                None if Instant::now() + LEAVE_RETRY_DELAY >= deadline => {
                    info!(target: LOG, replica = replica;
                        "remains a member of the control group: no leader removed it in time");
                    return;
                }
                None => tokio::time::sleep(LEAVE_RETRY_DELAY).await,
            }
        }
    }

    async fn ask_to_leave(&self, replica: u64, deadline: Instant) -> Option<LeaveAnswer> {
        let leader = self.control.shared.leader_address()?;
        let links = self.links()?;
        let timeout = deadline.saturating_duration_since(Instant::now());
        let question = Question::Leave { replica };
        match links
            .ask(leader, question, timeout.min(REQUEST_TIMEOUT))
            .await
        {
            Ok(Answer::Leave(answer)) => Some(answer),
            _ => None,
        }
    }

    /// Runs until it is dropped.
    pub async fn run(self: Arc<Self>) {
        let rules = &self.rules;
        let mut watch = GroupWatch::new(self.clock.now(), rules.local_address, rules.lost_disks);
        loop {
            self.maintain_links();
            let status = self.control.shared.status();
            let links = self.links().map(Arc::as_ref);
            let leaderless_ms = watch.note(self.clock.now(), &status, links);
            let is_leaving = self.is_leaving.load(Ordering::Relaxed);
            let mut interval = interval_of(&status);
            match status.role {
                "leader" if self.change_group_if_due(&status).await => interval = PUBLICATION_TIME,
                "leader" | "failed" => {}
                _ if is_leaving => {}
                "blank" => self.join_as_blank().await,
                _ if leaderless_ms > LEADERLESS_LIMIT_MS => self.request_rejoin(&status).await,
                _ => {}
            }
            tokio::select! {
                () = tokio::time::sleep(interval) => {}
                () = self.new_join.notified() => {}
            }
        }
    }

    fn member_addresses(&self) -> BTreeSet<SocketAddr> {
        self.group().members
    }

    fn group(&self) -> ControlGroup {
        let (changed_at, membership) = self.control.shared.membership_and_index();
        let mut group = ControlGroup {
            changed_at,
            ..ControlGroup::default()
        };
        for member in membership.members.values() {
            let Ok(address) = member.address.parse() else {
                warn!(target: LOG, address = member.address; "a member's address is invalid");
                continue;
            };
            group.members.insert(address);
            if member.is_voter {
                group.voters.insert(address);
            }
        }
        group
    }

    /// Keeps connections to the seeds and to all members.
    fn maintain_links(&self) {
        let group = self.group();
        if let Some(links) = self.links() {
            for seed in self.seeds.borrow().iter() {
                links.ensure_link(*seed);
            }
            for member in &group.members {
                links.ensure_link(*member);
            }
        }
        if !group.members.is_empty() {
            self.hub.set_controls(group);
        }
    }

    async fn join_as_blank(&self) {
        let seeds = self.seeds.borrow().clone();
        let is_founder = self.rules.bootstrap && seeds.contains(&self.rules.local_address);
        if is_founder {
            self.found_group(&seeds).await;
            return;
        }
        let Some((cluster, voters)) = self.request_join(self.new_replica).await else {
            return;
        };
        let identity = Identity {
            cluster,
            replica: self.new_replica,
        };
        match self.control.join(identity, voters).await {
            Ok(()) => info!(target: LOG, replica = identity.replica; "joined the control group"),
            Err(error) => warn!(target: LOG, "cannot join the control group: {error}"),
        }
    }

    /// Founds the group at the first start of the deployment, with the seeds as first voters.
    async fn found_group(&self, seeds: &[SocketAddr]) {
        let voters: Vec<(u64, String)> = seeds
            .iter()
            .map(|seed| (replica_of(*seed), seed.to_string()))
            .collect();
        let identity = Identity {
            cluster: cluster_of(seeds),
            replica: replica_of(self.rules.local_address),
        };
        match self.control.join(identity, voters).await {
            Ok(()) => info!(target: LOG, replica = identity.replica; "founded the control group"),
            Err(error) => warn!(target: LOG, "cannot found the control group: {error}"),
        }
    }

    /// Requests to rejoin, with its log, after the replica was removed while it was partitioned.
    async fn request_rejoin(&self, status: &ReplicaStatus) {
        if let Some(identity) = &status.identity {
            // The leader replicates the log to it once the replica is a member again.
            let _ = self.request_join(identity.replica).await;
        }
    }

    async fn request_join(&self, replica: u64) -> Option<(u64, Vec<(u64, String)>)> {
        let links = self.links()?;
        let question = Question::Join {
            address: self.rules.local_address,
            replica,
        };
        let mut answers: FuturesUnordered<_> = links
            .addresses()
            .into_iter()
            .map(|address| links.ask(address, question.clone(), JOIN_TIMEOUT))
            .collect();
        // A process that did not answer is asked again in the next round.
        while let Some(answer) = answers.next().await {
            match answer {
                Ok(Answer::Joined { cluster, voters }) => return Some((cluster, voters)),
                Ok(Answer::AskThese(members)) => {
                    for member in members {
                        links.ensure_link(member);
                    }
                }
                _ => {}
            }
        }
        None
    }

    /// Makes one membership change, if one is due. Returns whether it was committed, so that the
    /// next one may be due.
    async fn change_group_if_due(&self, status: &ReplicaStatus) -> bool {
        let (changed_at, membership) = self.control.shared.membership_and_index();
        // The driver publishes them one after the other, and an earlier change may have been
        // confirmed before both.
        let is_current = status.members_at == changed_at
            && changed_at >= self.confirmed_change.load(Ordering::Relaxed);
        if !is_current {
            return false;
        }
        let Some(next) = self.next_change(status, &membership) else {
            return false;
        };
        let change = self.control.change_members(next);
        match tokio::time::timeout(REQUEST_TIMEOUT, change).await {
            Ok(Ok(committed)) => {
                let index = committed.index.unwrap_or_default();
                self.confirmed_change.store(index, Ordering::Relaxed);
                return true;
            }
            Ok(Err(error)) => info!(target: LOG, "membership change failed: {error}"),
            Err(_) => info!(target: LOG, "membership change was not committed within the timeout"),
        }
        false
    }

    fn next_change(&self, status: &ReplicaStatus, membership: &Membership) -> Option<Membership> {
        promote_or_replace(status, membership)
            .or_else(|| self.add_learner(membership))
            .or_else(|| remove_lost(status, membership, self.rules.lost_disks))
    }

    fn add_learner(&self, membership: &Membership) -> Option<Membership> {
        let now = self.clock.now();
        let mut joins = self.joins.lock().unwrap_or_else(PoisonError::into_inner);
        joins.retain(|_, request| {
            let is_fresh = now.saturating_sub(request.received_at) < JOIN_REQUEST_TTL_MS;
            is_fresh && !membership.members.contains_key(&request.replica)
        });
        let (address, request) = joins.iter().next()?;
        info!(target: LOG, replica = request.replica, address:% = address; "adding a learner");
        let member = Member {
            address: address.to_string(),
            is_voter: false,
        };
        let mut next = membership.clone();
        next.members.insert(request.replica, member);
        Some(next)
    }
}

/// Returns the time until the next check of a group with this status.
fn interval_of(status: &ReplicaStatus) -> Duration {
    let has_learner = status.members.iter().any(|member| !member.voter);
    if status.role == "blank" || (status.role == "leader" && has_learner) {
        CHANGING_INTERVAL
    } else {
        CHECK_INTERVAL
    }
}

/// Returns the identity of the first replica at an address.
pub fn replica_of(address: SocketAddr) -> u64 {
    hash_of(&address.to_string()).max(1)
}

/// Returns the identity of the group that these seeds found.
pub fn cluster_of(seeds: &[SocketAddr]) -> u64 {
    let seeds: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
    seeds
        .into_iter()
        .fold(0, |hash, seed| combine(hash, replica_of(seed)))
}

/// Promotes a learner that has caught up to voter; before that, removes the earlier replica at
/// its address, which lost its disk and can't return.
pub fn promote_or_replace(status: &ReplicaStatus, membership: &Membership) -> Option<Membership> {
    let learner = status
        .members
        .iter()
        .find(|member| !member.voter && member.is_alive() && member.has_caught_up(status.commit))?;
    let mut next = membership.clone();
    let predecessor = status
        .members
        .iter()
        .find(|member| member.address == learner.address && member.replica != learner.replica);
    if let Some(predecessor) = predecessor {
        info!(target: LOG, replica = predecessor.replica, address = predecessor.address;
            "removing a replica that lost its disk");
        next.members.remove(&predecessor.replica);
    } else {
        info!(target: LOG, replica = learner.replica, address = learner.address;
            "promoting a learner to voter");
        next.members.get_mut(&learner.replica)?.is_voter = true;
    }
    Some(next)
}

/// Returns whether the group tolerates the loss of `lost_disks` disks without this voter.
fn is_dispensable(status: &ReplicaStatus, replica: u64, lost_disks: usize) -> bool {
    let others = status
        .members
        .iter()
        .filter(|member| member.voter && member.replica != replica);
    others.filter(|member| member.is_alive()).count() > 2 * lost_disks
}

/// Removes a silent voter if the remaining ones tolerate the loss of `lost_disks` disks without
/// it. Otherwise its data may be needed when it returns.
pub fn remove_lost(
    status: &ReplicaStatus,
    membership: &Membership,
    lost_disks: usize,
) -> Option<Membership> {
    let lost = status.members.iter().find(|member| {
        let is_lost = member
            .silent_ms
            .is_some_and(|silent| silent > LOST_AFTER_MS);
        let is_removable = !member.voter || is_dispensable(status, member.replica, lost_disks);
        is_lost && is_removable
    })?;
    info!(target: LOG, replica = lost.replica, address = lost.address, voter = lost.voter,
        matched = lost.matched, silent_ms = lost.silent_ms, commit = status.commit;
        "removing a lost replica");
    let mut next = membership.clone();
    next.members.remove(&lost.replica);
    Some(next)
}
