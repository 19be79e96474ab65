//! The shift ledger: what moved between zones, and when it stops counting.
//!
//! **Definition.** The moved quantity is the share, in basis points, of the
//! requests of one service from one client zone that is assigned to another zone
//! than before. A move counts against the cap from the moment it is committed
//! until one window after every deciding daemon has confirmed it: the traffic
//! moves at an unknown point between the two, so both ends are covered. The
//! ledger is part of the replicated state, so leader changes, rollouts and
//! rollbacks keep it.

use std::collections::BTreeMap;

use coursestand_model::Millis;
use coursestand_model::bundle::ShiftCap;
use serde::{Deserialize, Serialize};

use crate::shares::ShareKey;
use crate::tables::ControlVersion;

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Move {
    amount_bp: u32,
    version: ControlVersion,
    /// Replicated clock when every daemon had confirmed the move.
    confirmed_at: Option<Millis>,
}

/// Moves that still count against the caps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShiftLedger {
    moves: BTreeMap<ShareKey, Vec<Move>>,
}

impl ShiftLedger {
    /// Basis points that may still move now. Zero while a move is unconfirmed:
    /// two neighbouring steps are the most that ever mix.
    pub fn budget(&self, key: &ShareKey, cap: ShiftCap, clock: Millis) -> u32 {
        let Some(moves) = self.moves.get(key) else {
            return cap.share_bp;
        };
        if moves.iter().any(|one| one.confirmed_at.is_none()) {
            return 0;
        }
        let spent: u32 = moves
            .iter()
            .filter(|one| one.counts(cap.window_ms, clock))
            .map(|one| one.amount_bp)
            .sum();
        cap.share_bp.saturating_sub(spent)
    }

    /// Records a committed move.
    pub fn record(&mut self, key: ShareKey, amount_bp: u32, version: ControlVersion) {
        self.moves.entry(key).or_default().push(Move {
            amount_bp,
            version,
            confirmed_at: None,
        });
    }

    /// Notes that every daemon decides on `version` or a later one.
    pub fn confirm(&mut self, version: ControlVersion, clock: Millis) {
        let unconfirmed = self
            .moves
            .values_mut()
            .flatten()
            .filter(|one| one.confirmed_at.is_none() && one.version <= version);
        for one in unconfirmed {
            one.confirmed_at = Some(clock);
        }
    }

    /// The oldest version that waits for confirmation.
    pub fn oldest_unconfirmed(&self) -> Option<ControlVersion> {
        self.moves
            .values()
            .flatten()
            .filter(|one| one.confirmed_at.is_none())
            .map(|one| one.version)
            .min()
    }

    /// Drops moves that are older than the longest window any bundle may state,
    /// so that a later bundle with a longer window still sees what it covers.
    pub fn forget_before(&mut self, longest_window_ms: Millis, clock: Millis) {
        for moves in self.moves.values_mut() {
            moves.retain(|one| one.counts(longest_window_ms, clock));
        }
        self.moves.retain(|_, moves| !moves.is_empty());
    }
}

impl Move {
    fn counts(&self, window_ms: Millis, clock: Millis) -> bool {
        self.confirmed_at
            .is_none_or(|confirmed_at| clock < confirmed_at + window_ms)
    }
}
