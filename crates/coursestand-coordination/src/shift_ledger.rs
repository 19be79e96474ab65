//! The shift ledger: traffic shares that moved between zones, and until when each move
//! counts against the shift cap.
//!
//! **Definition.** The moved quantity is the share, in basis points, of the
//! requests of one service from one client zone that is assigned to a different zone.
//! A move counts against the cap from its commit until one window after every
//! deciding daemon has confirmed it: the traffic moves at an unknown point between
//! commit and confirmation, so both are covered. The ledger is part of the replicated
//! state and survives leader changes, rollouts and rollbacks.

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
    /// Returns the basis points that may still move at `clock`. Zero while a move is
    /// unconfirmed, so that daemons use at most two consecutive sets of shares at a time.
    pub fn budget(&self, key: &ShareKey, cap: ShiftCap, clock: Millis) -> u32 {
        let Some(moves) = self.moves.get(key) else {
            return cap.share_bp;
        };
        if moves.iter().any(|shift| shift.confirmed_at.is_none()) {
            return 0;
        }
        let spent: u32 = moves
            .iter()
            .filter(|shift| shift.counts_against_cap(cap.window_ms, clock))
            .map(|shift| shift.amount_bp)
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

    /// Records that every daemon decides on `version` or a later one.
    pub fn confirm(&mut self, version: ControlVersion, clock: Millis) {
        let unconfirmed = self
            .moves
            .values_mut()
            .flatten()
            .filter(|shift| shift.confirmed_at.is_none() && shift.version <= version);
        for shift in unconfirmed {
            shift.confirmed_at = Some(clock);
        }
    }

    /// Returns the oldest version with an unconfirmed move.
    pub fn oldest_unconfirmed(&self) -> Option<ControlVersion> {
        self.moves
            .values()
            .flatten()
            .filter(|shift| shift.confirmed_at.is_none())
            .map(|shift| shift.version)
            .min()
    }

    /// Drops moves that are older than the longest window that any bundle may set, so
    /// that a later bundle with a longer window still finds every move in it.
    pub fn drop_expired(&mut self, longest_window_ms: Millis, clock: Millis) {
        for moves in self.moves.values_mut() {
            moves.retain(|shift| shift.counts_against_cap(longest_window_ms, clock));
        }
        self.moves.retain(|_, moves| !moves.is_empty());
    }
}

impl Move {
    fn counts_against_cap(&self, window_ms: Millis, clock: Millis) -> bool {
        self.confirmed_at
            .is_none_or(|confirmed_at| clock < confirmed_at + window_ms)
    }
}
