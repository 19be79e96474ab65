//! Derives the status of a replica from its consensus core.

use coursestand_consensus::{Replica, Role};
use coursestand_model::Millis;

use crate::control::identity::Identity;
use crate::control::shared::{MemberStatus, ReplicaStatus};

/// Returns the status of a replica that has joined a group, without what its consensus core does
/// not know.
pub fn status_of(identity: Identity, replica: &Replica, now: Millis) -> ReplicaStatus {
    let role = match replica.role() {
        Role::Leader(_) => "leader",
        Role::Follower { .. } => "follower",
        Role::PreCandidate { .. } | Role::Candidate { .. } => "candidate",
    };
    let progress = replica.progress();
    let members = replica
        .membership()
        .members
        .iter()
        .map(|(id, member)| {
            let known = progress.and_then(|progress| progress.get(id));
            MemberStatus {
                replica: *id,
                address: member.address.clone(),
                voter: member.is_voter,
                matched: known.map(|known| known.matched),
                silent_ms: known.map(|known| now.saturating_sub(known.last_contact_at)),
            }
        })
        .collect();
    ReplicaStatus {
        identity: Some(identity.into()),
        term: replica.term(),
        role,
        leader: replica.leader(),
        commit: replica.commit_index(),
        last: replica.log().last_index(),
        snapshot: replica.log().snapshot().index,
        log_bytes: replica.log().bytes(),
        snapshot_bytes: replica.log().snapshot().data.len(),
        members,
        members_at: replica.log().membership_up_to(replica.log().last_index()).0,
        ..ReplicaStatus::default()
    }
}
