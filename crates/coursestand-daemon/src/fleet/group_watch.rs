//! Logs what keeps the control group from being complete, as this process sees it: no known
//! leader, a learner that has not caught up, and fewer voters than the group has to be able to lose.

use std::net::SocketAddr;

use coursestand_model::Millis;
use log::{info, warn};

use crate::control::shared::{MemberStatus, ReplicaStatus};
use crate::fleet::peer_links::PeerLinks;

const LOG: &str = "formation";
/// Time for which there is no leader, or too few voters, until that is logged, and logged again.
const WARNING_INTERVAL_MS: Millis = 5_000;
/// Time between two lines of a learner about its progress.
const LEARNER_INTERVAL_MS: Millis = 1_000;

/// A condition that is logged while it lasts.
struct LastingCondition {
    interval_ms: Millis,
    since: Millis,
    logged_at: Millis,
}

impl LastingCondition {
    fn new(now: Millis, interval_ms: Millis) -> LastingCondition {
        LastingCondition {
            interval_ms,
            since: now,
            logged_at: now,
        }
    }

    /// Records whether the condition holds, and returns for how long it has in milliseconds.
    fn note(&mut self, now: Millis, holds: bool) -> Millis {
        if !holds {
            self.since = now;
            self.logged_at = now;
        }
        now.saturating_sub(self.since)
    }

    /// Returns whether the condition has to be logged now.
    fn is_log_due(&mut self, now: Millis) -> bool {
        let is_due = now.saturating_sub(self.logged_at) >= self.interval_ms;
        if is_due {
            self.logged_at = now;
        }
        is_due
    }
}

/// Watches the control group from one process.
pub struct GroupWatch {
    local_address: SocketAddr,
    /// Number of control disks that may be lost at once.
    lost_disks: usize,
    leaderless: LastingCondition,
    learning: LastingCondition,
    vulnerable: LastingCondition,
}

impl GroupWatch {
    /// Begins to watch the group at `now`.
    pub fn new(now: Millis, local_address: SocketAddr, lost_disks: usize) -> GroupWatch {
        GroupWatch {
            local_address,
            lost_disks,
            leaderless: LastingCondition::new(now, WARNING_INTERVAL_MS),
            learning: LastingCondition::new(now, LEARNER_INTERVAL_MS),
            vulnerable: LastingCondition::new(now, WARNING_INTERVAL_MS),
        }
    }

    /// Records the status of this replica. Returns for how long it has known no leader, in
    /// milliseconds.
    pub fn note(
        &mut self,
        now: Millis,
        status: &ReplicaStatus,
        links: Option<&PeerLinks>,
    ) -> Millis {
        let leaderless_ms = self.leaderless.note(now, status.leader.is_none());
        if self.leaderless.is_log_due(now) {
            self.log_missing_leader(status, leaderless_ms, links);
        }
        let learning_ms = self
            .learning
            .note(now, status.leader.is_some() && !votes(status));
        if self.learning.is_log_due(now) {
            log_learner(status, learning_ms);
        }
        let tolerated = tolerated_losses(status);
        let is_vulnerable = tolerated.is_some_and(|tolerated| tolerated < self.lost_disks);
        let vulnerable_ms = self.vulnerable.note(now, is_vulnerable);
        if self.vulnerable.is_log_due(now) {
            log_vulnerable_group(status, tolerated, self.lost_disks, vulnerable_ms);
        }
        leaderless_ms
    }

    /// Logs which voters this process is connected with: a group with too few of them can't elect
    /// a leader. A voter at this process's own address under another identity is one whose disk
    /// was lost here.
    fn log_missing_leader(
        &self,
        status: &ReplicaStatus,
        leaderless_ms: Millis,
        links: Option<&PeerLinks>,
    ) {
        let mut reachable = 0;
        let mut unreachable = Vec::new();
        let mut lost_here = 0;
        let voters: Vec<&MemberStatus> = voters(status).collect();
        for voter in &voters {
            let address = voter.address.parse();
            let is_local = address.as_ref() == Ok(&self.local_address);
            if Some(voter.replica) == own_replica(status) {
                reachable += 1;
            } else if is_local {
                lost_here += 1;
            } else if let (Ok(address), Some(links)) = (address, links)
                && links.is_connected(address)
            {
                reachable += 1;
            } else {
                unreachable.push(voter.address.as_str());
            }
        }
        warn!(target: LOG, leaderless_ms = leaderless_ms, role = status.role, term = status.term,
            last = status.last, votes = votes(status), members_at = status.members_at,
            voters = voters.len(), reachable = reachable, needed = voters.len() / 2 + 1,
            lost_here = lost_here, unreachable:? = unreachable;
            "this replica knows no leader");
    }
}

fn own_replica(status: &ReplicaStatus) -> Option<u64> {
    status.identity.as_ref().map(|identity| identity.replica)
}

fn voters(status: &ReplicaStatus) -> impl Iterator<Item = &MemberStatus> {
    status.members.iter().filter(|member| member.voter)
}

/// Returns whether this replica votes according to its own log.
fn votes(status: &ReplicaStatus) -> bool {
    voters(status).any(|voter| Some(voter.replica) == own_replica(status))
}

fn log_learner(status: &ReplicaStatus, learning_ms: Millis) {
    info!(target: LOG, learning_ms = learning_ms, leader = status.leader, term = status.term,
        last = status.last, commit = status.commit, members_at = status.members_at;
        "this replica does not vote yet");
}

/// Returns how many disks the group can lose now without the loss of its majority, if this replica
/// leads: voters that were silent lately, or lack committed entries, count as lost already.
pub fn tolerated_losses(status: &ReplicaStatus) -> Option<usize> {
    if status.role != "leader" {
        return None;
    }
    let complete = voters(status).filter(|voter| voter.is_complete(status.commit));
    let needed = voters(status).count() / 2 + 1;
    Some(complete.count().saturating_sub(needed))
}

fn log_vulnerable_group(
    status: &ReplicaStatus,
    tolerated: Option<usize>,
    required: usize,
    vulnerable_ms: Millis,
) {
    let incomplete = status
        .members
        .iter()
        .filter(|member| !member.voter || !member.is_complete(status.commit));
    let incomplete: Vec<String> = incomplete.map(MemberStatus::describe).collect();
    warn!(target: LOG, vulnerable_ms = vulnerable_ms, tolerated = tolerated, required = required,
        voters = voters(status).count(), commit = status.commit, incomplete:? = incomplete;
        "the control group tolerates the loss of too few disks");
}
