//! Membership of the replication group.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::ReplicaId;

/// A member of the group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Network address; only [`PeerAddresses`](crate::PeerAddresses) interprets it.
    pub address: String,
    /// Whether the member votes; a learner only receives the log.
    pub is_voter: bool,
}

/// All members of the group.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members by identity.
    pub members: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// Returns a membership that consists of voters only.
    pub fn of_voters(voters: impl IntoIterator<Item = (ReplicaId, String)>) -> Membership {
        let members = voters
            .into_iter()
            .map(|(replica, address)| {
                let member = Member {
                    address,
                    is_voter: true,
                };
                (replica, member)
            })
            .collect();
        Membership { members }
    }

    /// Returns whether the replica is a voter.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.members
            .get(&replica)
            .is_some_and(|member| member.is_voter)
    }

    /// Iterates over the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.is_voter)
            .map(|(replica, _)| *replica)
    }

    /// Returns the number of voters that form a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the highest value that a majority of the voters has reached.
    pub fn quorum_value(&self, value_of: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Returns whether `next` has a voter and differs in at most one member. Majorities
    /// of two such memberships always overlap.
    pub fn is_single_change(&self, next: &Membership) -> bool {
        let replicas: std::collections::BTreeSet<_> =
            self.members.keys().chain(next.members.keys()).collect();
        let changed = replicas
            .into_iter()
            .filter(|replica| self.members.get(replica) != next.members.get(replica))
            .count();
        changed <= 1 && next.voters().next().is_some()
    }
}
