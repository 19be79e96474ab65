//! Who belongs to the group.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::ids::ReplicaId;

/// One member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where it is reached; the consensus core does not read it.
    pub address: String,
    /// Whether it votes; a learner only receives the log.
    pub is_voter: bool,
}

/// All members by identity.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Members.
    pub members: BTreeMap<ReplicaId, Member>,
}

impl Membership {
    /// A group of voters.
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

    /// Whether the replica votes.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.members
            .get(&replica)
            .is_some_and(|member| member.is_voter)
    }

    /// All voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members
            .iter()
            .filter(|(_, member)| member.is_voter)
            .map(|(replica, _)| *replica)
    }

    /// Voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// The highest value that a majority of voters has reached.
    pub fn reached_by_quorum(&self, value_of: impl Fn(ReplicaId) -> u64) -> u64 {
        let mut values: Vec<u64> = self.voters().map(value_of).collect();
        values.sort_unstable_by(|left, right| right.cmp(left));
        values.get(self.quorum() - 1).copied().unwrap_or(0)
    }

    /// Whether `next` differs by one voter or one learner at most. Majorities of
    /// two such groups always overlap.
    pub fn differs_by_one(&self, next: &Membership) -> bool {
        let replicas: std::collections::BTreeSet<_> =
            self.members.keys().chain(next.members.keys()).collect();
        let changed = replicas
            .into_iter()
            .filter(|replica| self.members.get(replica) != next.members.get(replica))
            .count();
        changed <= 1 && next.voters().next().is_some()
    }
}
