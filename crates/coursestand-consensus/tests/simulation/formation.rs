//! Membership of the group: the rules by which the daemon's leader changes it.

use coursestand_consensus::{Member, Membership, Payload, Replica, ReplicaId};

use crate::group::Group;

/// Time between two checks of the group.
const CHECK_INTERVAL_MS: u64 = 200;
/// How long a request to join is valid.
const JOIN_REQUEST_TTL_MS: u64 = 4_000;
/// Silence after which a replica is removed, if the group can spare it.
const LOST_AFTER_MS: u64 = 3_000;
/// Silence up to which a replica counts as alive.
const ALIVE_WITHIN_MS: u64 = 1_000;
/// A replica without a leader for longer than this requests to rejoin.
const LEADERLESS_LIMIT_MS: u64 = 2_000;
/// Entries that a learner may lack and be promoted.
const MAX_LAG_ENTRIES: u64 = 16;

/// A request to join, as the leader holds it.
#[derive(Clone, Copy, Debug)]
pub struct JoinRequest {
    replica: ReplicaId,
    received_at: u64,
}

/// A member, as the leader sees it.
struct MemberStatus {
    replica: ReplicaId,
    member: Member,
    matched: u64,
    /// `None` for the leader itself.
    silent_ms: Option<u64>,
}

impl MemberStatus {
    fn is_alive(&self) -> bool {
        self.silent_ms.is_none_or(|silent| silent < ALIVE_WITHIN_MS)
    }

    fn is_lost(&self) -> bool {
        self.silent_ms.is_some_and(|silent| silent > LOST_AFTER_MS)
    }

    fn has_caught_up(&self, commit: u64) -> bool {
        self.matched > 0 && self.matched + MAX_LAG_ENTRIES >= commit
    }
}

impl Group {
    /// Joins, rejoins and changes of the membership that are due.
    pub fn maintain_membership(&mut self) {
        let is_due = self.now.is_multiple_of(CHECK_INTERVAL_MS);
        for place in 0..self.nodes.len() {
            self.note_leader(place);
            let node = &self.nodes[place];
            if !is_due || !node.answers() {
                continue;
            }
            let is_leader = node.replica.as_ref().is_some_and(Replica::is_leader);
            let is_leaderless = node
                .leaderless_since
                .is_some_and(|since| self.now > since + LEADERLESS_LIMIT_MS);
            if is_leader {
                self.change_membership(place);
            } else if !node.has_joined || is_leaderless {
                self.request_join(place);
            }
        }
    }

    fn note_leader(&mut self, place: usize) {
        let now = self.now;
        let node = &mut self.nodes[place];
        let replica = node.replica.as_ref();
        let has_leader = replica.is_some_and(|replica| replica.leader().is_some());
        if has_leader {
            node.leaderless_since = None;
        } else {
            node.leaderless_since.get_or_insert(now);
        }
    }

    /// Asks all processes; the leader answers with the voters once this replica is a member.
    fn request_join(&mut self, place: usize) {
        let mut joined = None;
        for other in (0..self.nodes.len()).filter(|other| *other != place) {
            if self.is_asked(place, other) {
                joined = self.admit(other, place).or(joined);
            }
        }
        if let Some(voters) = joined
            && !self.nodes[place].has_joined
        {
            self.nodes[place].join(voters);
            self.start_replica(place);
        }
    }

    /// Handles the request of the process at `from`. Returns the voters if it is a member.
    fn admit(&mut self, leader: usize, from: usize) -> Option<Membership> {
        let requester = self.nodes[from].id;
        let now = self.now;
        let node = &mut self.nodes[leader];
        let replica = node
            .replica
            .as_ref()
            .filter(|replica| replica.is_leader())?;
        let membership = replica.membership();
        if !membership.members.contains_key(&requester) {
            let request = JoinRequest {
                replica: requester,
                received_at: now,
            };
            node.joins.insert(from, request);
            return None;
        }
        let voters = membership
            .members
            .iter()
            .filter(|(id, member)| **id != requester && member.is_voter)
            .map(|(id, member)| (*id, member.address.clone()));
        Some(Membership::of_voters(voters))
    }

    /// Makes one membership change, if one is due.
    fn change_membership(&mut self, place: usize) {
        let clock = self.nodes[place].clock(self.now);
        let Some(replica) = &self.nodes[place].replica else {
            return;
        };
        let status = status_of(replica, clock);
        let commit = replica.commit_index();
        let membership = replica.membership().clone();
        let next = promote_or_replace(&status, commit, &membership)
            .or_else(|| self.add_learner(place, &membership))
            .or_else(|| remove_lost(&status, self.lost_disks, &membership));
        if let (Some(next), Some(replica)) = (next, &mut self.nodes[place].replica) {
            // Refused while another change is under way; the next check makes it.
            let _ = replica.propose(clock, Payload::Membership(next));
        }
    }

    fn add_learner(&mut self, place: usize, membership: &Membership) -> Option<Membership> {
        let now = self.now;
        let joins = &mut self.nodes[place].joins;
        joins.retain(|_, request| {
            let is_fresh = now < request.received_at + JOIN_REQUEST_TTL_MS;
            is_fresh && !membership.members.contains_key(&request.replica)
        });
        let (from, request) = joins
            .iter()
            .next()
            .map(|(from, request)| (*from, *request))?;
        let member = Member {
            address: self.nodes[from].address.to_string(),
            is_voter: false,
        };
        let mut next = membership.clone();
        next.members.insert(request.replica, member);
        Some(next)
    }
}

fn status_of(leader: &Replica, clock: u64) -> Vec<MemberStatus> {
    let progress = leader.progress();
    let members = &leader.membership().members;
    let status = members.iter().map(|(id, member)| {
        let known = progress.and_then(|progress| progress.get(id));
        MemberStatus {
            replica: *id,
            member: member.clone(),
            matched: known.map_or(0, |known| known.matched),
            silent_ms: known.map(|known| clock.saturating_sub(known.last_contact_at)),
        }
    });
    status.collect()
}

/// Promotes a learner that has caught up; before that, removes the earlier replica at its address.
fn promote_or_replace(
    status: &[MemberStatus],
    commit: u64,
    membership: &Membership,
) -> Option<Membership> {
    let learner = status.iter().find(|status| {
        !status.member.is_voter && status.is_alive() && status.has_caught_up(commit)
    })?;
    let predecessor = status.iter().find(|status| {
        status.member.address == learner.member.address && status.replica != learner.replica
    });
    let mut next = membership.clone();
    match predecessor {
        Some(predecessor) => {
            next.members.remove(&predecessor.replica);
        }
        None => next.members.get_mut(&learner.replica)?.is_voter = true,
    }
    Some(next)
}

/// Removes a silent learner, or a silent voter if the others can lose `lost_disks` disks
/// without it.
fn remove_lost(
    status: &[MemberStatus],
    lost_disks: usize,
    membership: &Membership,
) -> Option<Membership> {
    let is_dispensable = |replica: ReplicaId| {
        let others = status
            .iter()
            .filter(|other| other.member.is_voter && other.replica != replica);
        others.filter(|other| other.is_alive()).count() > 2 * lost_disks
    };
    let lost = status.iter().find(|status| {
        status.is_lost() && (!status.member.is_voter || is_dispensable(status.replica))
    })?;
    let mut next = membership.clone();
    next.members.remove(&lost.replica);
    Some(next)
}
