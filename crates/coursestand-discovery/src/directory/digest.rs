//! Digest of the entry daemons that one control process is connected with. Two processes compare
//! it to find that a report between them was lost.

use coursestand_model::hash::{combine, hash_of};
use serde::{Deserialize, Serialize};

use super::{Directory, EdgePhase, EdgeRecord, Observer};

/// Digest of a set of incarnations and their phases. It does not depend on their order, and is the
/// same in all processes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionDigest(u64);

impl ConnectionDigest {
    /// Returns the digest of these incarnations.
    pub fn of<'a>(connected: impl IntoIterator<Item = &'a EdgeRecord>) -> ConnectionDigest {
        let sum = connected
            .into_iter()
            .map(hash_of_record)
            .fold(0, u64::wrapping_add);
        ConnectionDigest(sum)
    }
}

fn hash_of_record(record: &EdgeRecord) -> u64 {
    let phase = match record.phase {
        EdgePhase::Starting => 0,
        EdgePhase::Ready => 1,
        EdgePhase::Draining => 2,
    };
    combine(combine(hash_of(&record.name), record.incarnation), phase)
}

impl Directory {
    /// Returns the digest of the incarnations that `observer` is connected with.
    pub fn digest_of(&self, observer: Observer) -> ConnectionDigest {
        ConnectionDigest::of(self.connected_with(observer))
    }
}
