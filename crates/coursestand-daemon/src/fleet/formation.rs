//! Forms the control group from seeds alone and keeps it whole.
//!
//! At the first start of a deployment the processes at the seeds are the first
//! voters; their identities follow from their addresses, so they need no talk.
//! All others, and every process that lost its disk, ask the leader to take them
//! in under a new identity: first as learners, then, once they have caught up, as
//! voters in place of what stood at their address.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;

use coursestand_consensus::{Member, Membership};
use coursestand_kernel::MonotonicClock;
use coursestand_model::Millis;
use coursestand_routing::hash::{combine, hash_of};
use log::{info, warn};
use tokio::sync::watch;

use crate::control::handle::ControlHandle;
use crate::control::identity::Identity;
use crate::control::shared::{MemberStatus, ReplicaStatus};
use crate::fleet::hub::Hub;
use crate::fleet::peer_links::PeerLinks;
use crate::fleet::wire::{Answer, ControlGroup, Question};

const LOG: &str = "formation";
/// Time between two looks at the group.
const ROUND: Duration = Duration::from_millis(200);
/// Longest wait for an answer or a change.
const LIMIT: Duration = Duration::from_millis(1_500);
/// A request to join counts for this long.
const JOIN_LIFETIME_MS: Millis = 4_000;
/// A member heard within this time is alive.
const ALIVE_MS: Millis = 1_000;
/// A voter silent for this long may be removed when enough others are alive.
const LOST_MS: Millis = 3_000;
/// A replica that knows no leader for this long asks whether it still belongs.
const LEADERLESS_MS: Millis = 2_000;
/// Entries that a learner may lack when it becomes a voter.
const CAUGHT_UP: u64 = 16;

/// What the formation of a group depends on.
#[derive(Clone, Debug)]
pub struct FormationRules {
    /// This process's internal address.
    pub own: SocketAddr,
    /// Whether the deployment starts for the first time.
    pub bootstrap: bool,
    /// Control disks that may be lost at once.
    pub lost_disks: usize,
}

struct JoinRequest {
    replica: u64,
    at: Millis,
}

/// Forms the group and keeps it whole.
pub struct Formation {
    rules: FormationRules,
    clock: MonotonicClock,
    control: Arc<ControlHandle>,
    hub: Arc<Hub>,
    links: OnceLock<Arc<PeerLinks>>,
    seeds: watch::Receiver<Vec<SocketAddr>>,
    joins: Mutex<BTreeMap<SocketAddr, JoinRequest>>,
    /// Identity under which this process asks to join while it has none.
    new_replica: u64,
}

impl Formation {
    /// A formation by `rules`; `seeds` may change.
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
        }
    }

    /// Tells the formation its connections; called once.
    pub fn connect(&self, links: Arc<PeerLinks>) {
        // A second call would change nothing.
        let _ = self.links.set(links);
    }

    /// Connections to the other control processes.
    pub fn links(&self) -> Option<&Arc<PeerLinks>> {
        self.links.get()
    }

    /// A replica asks to be taken in. It asks again until it is.
    pub fn admit(&self, address: SocketAddr, replica: u64) -> Answer {
        if self.control.shared.leading_term().is_none() {
            // The seeds of the one that asks may not hold the leader.
            return Answer::AskThese(self.member_addresses().into_iter().collect());
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
            at: self.clock.now(),
        };
        self.joins
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(address, request);
        Answer::AskThese(Vec::new())
    }

    /// Works until it is dropped.
    pub async fn run(self: Arc<Self>) {
        let mut leaderless_since = self.clock.now();
        loop {
            self.keep_links();
            let status = self.control.shared.status();
            if status.leader.is_some() {
                leaderless_since = self.clock.now();
            }
            let leaderless_ms = self.clock.now().saturating_sub(leaderless_since);
            match status.role {
                "blank" => self.join_as_blank().await,
                "leader" => self.maintain(&status).await,
                "failed" => {}
                _ if leaderless_ms > LEADERLESS_MS => self.ask_to_return(&status).await,
                _ => {}
            }
            tokio::time::sleep(ROUND).await;
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
                warn!(target: LOG, address = member.address; "a member has no address");
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
    fn keep_links(&self) {
        let group = self.group();
        if let Some(links) = self.links() {
            for seed in self.seeds.borrow().iter() {
                links.keep(*seed);
            }
            for member in &group.members {
                links.keep(*member);
            }
        }
        if !group.members.is_empty() {
            self.hub.set_controls(group);
        }
    }

    async fn join_as_blank(&self) {
        let seeds = self.seeds.borrow().clone();
        let is_founder = self.rules.bootstrap && seeds.contains(&self.rules.own);
        if is_founder {
            self.found(&seeds).await;
            return;
        }
        let Some((cluster, voters)) = self.ask_to_join(self.new_replica).await else {
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

    /// The first start of the deployment: the seeds are the first voters.
    async fn found(&self, seeds: &[SocketAddr]) {
        let voters: Vec<(u64, String)> = seeds
            .iter()
            .map(|seed| (replica_of(*seed), seed.to_string()))
            .collect();
        let identity = Identity {
            cluster: cluster_of(seeds),
            replica: replica_of(self.rules.own),
        };
        match self.control.join(identity, voters).await {
            Ok(()) => info!(target: LOG, replica = identity.replica; "founded the control group"),
            Err(error) => warn!(target: LOG, "cannot found the control group: {error}"),
        }
    }

    /// A replica that was removed while it was cut off comes back with its log.
    async fn ask_to_return(&self, status: &ReplicaStatus) {
        if let Some(identity) = &status.identity {
            // The leader sends the log once it has taken the replica in.
            let _ = self.ask_to_join(identity.replica).await;
        }
    }

    async fn ask_to_join(&self, replica: u64) -> Option<(u64, Vec<(u64, String)>)> {
        let links = self.links()?;
        let question = Question::Join {
            address: self.rules.own,
            replica,
        };
        let asked = links
            .addresses()
            .into_iter()
            .map(|address| links.ask(address, question.clone(), LIMIT));
        let answers = futures::future::join_all(asked).await;
        let mut joined = None;
        for answer in answers.into_iter().flatten() {
            match answer {
                Answer::Joined { cluster, voters } => joined = Some((cluster, voters)),
                Answer::AskThese(members) => {
                    for member in members {
                        links.keep(member);
                    }
                }
                _ => {}
            }
        }
        joined
    }

    /// Makes one change of the group, if one is due.
    async fn maintain(&self, status: &ReplicaStatus) {
        let membership = self.control.shared.membership();
        let Some(next) = self.next_change(status, &membership) else {
            return;
        };
        let change = self.control.change_members(next);
        match tokio::time::timeout(LIMIT, change).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => info!(target: LOG, "the group was not changed: {error}"),
            Err(_) => info!(target: LOG, "a change of the group takes long"),
        }
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
            let is_fresh = now.saturating_sub(request.at) < JOIN_LIFETIME_MS;
            is_fresh && !membership.members.contains_key(&request.replica)
        });
        let (address, request) = joins.iter().next()?;
        info!(target: LOG, replica = request.replica, address:% = address; "a learner joins");
        let member = Member {
            address: address.to_string(),
            is_voter: false,
        };
        let mut next = membership.clone();
        next.members.insert(request.replica, member);
        Some(next)
    }
}

/// Identity of the first replica at an address.
pub fn replica_of(address: SocketAddr) -> u64 {
    hash_of(&address.to_string()).max(1)
}

/// Identity of the group that these seeds found.
pub fn cluster_of(seeds: &[SocketAddr]) -> u64 {
    let seeds: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
    seeds
        .into_iter()
        .fold(0, |hash, seed| combine(hash, replica_of(seed)))
}

fn is_alive(member: &MemberStatus) -> bool {
    // The leader has no silence of itself.
    member.silent_ms.is_none_or(|silent| silent < ALIVE_MS)
}

/// A learner that has caught up becomes a voter, after the earlier replica at its
/// address is removed: that one lost its disk and can't come back.
pub fn promote_or_replace(status: &ReplicaStatus, membership: &Membership) -> Option<Membership> {
    let learner = status.members.iter().find(|member| {
        let has_caught_up = member
            .matched
            .is_some_and(|matched| matched > 0 && matched + CAUGHT_UP >= status.commit);
        !member.voter && is_alive(member) && has_caught_up
    })?;
    let mut next = membership.clone();
    let predecessor = status
        .members
        .iter()
        .find(|member| member.address == learner.address && member.replica != learner.replica);
    if let Some(predecessor) = predecessor {
        info!(target: LOG, replica = predecessor.replica, address = predecessor.address;
            "a replica that lost its disk is removed");
        next.members.remove(&predecessor.replica);
    } else {
        info!(target: LOG, replica = learner.replica, address = learner.address;
            "a learner becomes a voter");
        next.members.get_mut(&learner.replica)?.is_voter = true;
    }
    Some(next)
}

/// A silent voter is removed when the others alone bear the loss of as many disks
/// as may be lost: else it may be the one that is needed when it comes back.
pub fn remove_lost(
    status: &ReplicaStatus,
    membership: &Membership,
    lost_disks: usize,
) -> Option<Membership> {
    let alive = status
        .members
        .iter()
        .filter(|member| member.voter && is_alive(member))
        .count();
    let lost = status.members.iter().find(|member| {
        let is_lost = member.silent_ms.is_some_and(|silent| silent > LOST_MS);
        let may_go = !member.voter || alive > 2 * lost_disks;
        is_lost && may_go
    })?;
    info!(target: LOG, replica = lost.replica, address = lost.address; "a lost replica is removed");
    let mut next = membership.clone();
    next.members.remove(&lost.replica);
    Some(next)
}
