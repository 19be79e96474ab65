//! What is checked after every step, and after the last fault.

use coursestand_consensus::{Entry, Payload};
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::group::Group;
use crate::node::Node;

/// Time after the last fault within which the group must recover.
const RECOVERY_MS: u64 = 20_000;

impl Group {
    /// Returns whether the voters are exactly the replicas that run at the places, so that as many
    /// disks may be lost as the group is made for.
    pub fn is_complete(&self) -> bool {
        let members = &self.committed_membership.members;
        members.len() == self.nodes.len()
            && self
                .nodes
                .iter()
                .all(|node| node.has_joined && self.committed_membership.is_voter(node.id))
    }

    /// Checks that the applied log of every replica is a prefix of the reference model.
    pub fn record_committed(&mut self, place: usize, entry: Entry) -> Result<(), TestCaseError> {
        let position = entry.index as usize - 1;
        if let Some(existing) = self.committed.get(position) {
            let id = self.nodes[place].id;
            prop_assert_eq!(existing, &entry, "replica {} applied another log", id);
            return Ok(());
        }
        prop_assert_eq!(position, self.committed.len(), "an entry was skipped");
        match &entry.payload {
            Payload::Command(command) => {
                let mut bytes = [0; 8];
                bytes.copy_from_slice(command);
                self.acknowledged.insert(u64::from_le_bytes(bytes));
            }
            Payload::Membership(membership) => self.committed_membership = membership.clone(),
            Payload::Empty => {}
        }
        self.committed.push(entry);
        Ok(())
    }

    pub fn check(&mut self) -> Result<(), TestCaseError> {
        for node in &self.nodes {
            let id = node.id;
            let Some(replica) = &node.replica else {
                continue;
            };
            if !replica.is_leader() {
                continue;
            }
            let first = *self.leaders.entry(replica.term()).or_insert(id);
            prop_assert_eq!(first, id, "two leaders in term {}", replica.term());
            if replica.holds_lease(node.clock(self.now)) {
                prop_assert!(
                    replica.commit_index() >= self.committed.len() as u64,
                    "replica {} holds the lease and misses committed entries",
                    id
                );
            }
        }
        Ok(())
    }

    fn end_faults(&mut self) {
        self.has_faults = false;
        self.blocked_links.clear();
        for place in 0..self.nodes.len() {
            let node = &mut self.nodes[place];
            node.is_paused = false;
            node.crash_before_sync = false;
            node.sync_ms = 0;
            self.start(place);
        }
    }

    /// Returns whether every process has applied all but `lag` of the committed entries.
    fn have_applied_all_but(&self, lag: usize) -> bool {
        self.nodes
            .iter()
            .all(|node| node.applied.len() + lag >= self.committed.len() && node.replica.is_some())
    }

    /// Ends all faults; the group must accept commands again, converge, and have a voter at each
    /// place.
    pub fn recover(&mut self) -> Result<(), TestCaseError> {
        self.end_faults();
        let before = self.acknowledged.len();
        let end = self.now + RECOVERY_MS;
        while self.now < end {
            self.propose_at_all();
            self.step()?;
            let accepts_commands = self.acknowledged.len() > before + 5;
            if accepts_commands && self.have_applied_all_but(4) && self.is_complete() {
                return self.settle(end);
            }
        }
        Err(self.failure("the group did not recover"))
    }

    /// Without further commands, every process must apply all committed entries.
    fn settle(&mut self, end: u64) -> Result<(), TestCaseError> {
        while self.now < end {
            self.step()?;
            if self.have_applied_all_but(0) {
                return Ok(());
            }
        }
        Err(self.failure("the group did not converge"))
    }

    /// Returns a failure that tells the state of each process.
    pub fn failure(&self, reason: &str) -> TestCaseError {
        let nodes: Vec<String> = self.nodes.iter().map(Node::describe).collect();
        let committed = self.committed.len();
        TestCaseError::fail(format!(
            "{reason}: {committed} entries committed\n{}",
            nodes.join("\n")
        ))
    }
}
