//! Commands of the replicated control state and their answers.

use coursestand_catalog::Patch;
use coursestand_model::platform::PlatformBackend;
use coursestand_model::{DaemonId, Millis, SignedBundle, ZoneId};
use serde::{Deserialize, Serialize};

use crate::bundles::{SignedOrder, SubmitAnswer};
use crate::once::{ClaimAnswer, OnceCommand};
use crate::shares::{ShareKey, ShareVector};
use crate::signing::SignoffPolicy;
use crate::slots::SlotChange;
use crate::tables::{ControlVersion, Member};

/// A command with the leader's clocks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Replicated clock in milliseconds. A leader starts it at the value that
    /// its predecessor's last entry carried and moves it by its own monotonic
    /// clock, so it never runs ahead of real time and leases never end early.
    pub clock: Millis,
    /// Wall clock of the leader in Unix milliseconds.
    pub wall_ms: u64,
    /// The command.
    pub command: Command,
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sets who may sign; accepted once, when the control group is formed.
    Initialize(SignoffPolicy),
    /// Submits a bundle.
    SubmitBundle {
        /// The bundle with its sign-offs.
        bundle: SignedBundle,
        /// Revision against which it was made.
        expected_revision: u64,
        /// Names the submit.
        submission: String,
    },
    /// Submits an order.
    SubmitOrder {
        /// The order with its sign-offs.
        order: SignedOrder,
        /// Names the submit.
        submission: String,
    },
    /// Takes over rows of the platform list.
    UpdateBackends(Vec<PlatformBackend>),
    /// Notes that back ends are leaving: `(name and epoch)`.
    MarkLeaving(Vec<BackendEpoch>),
    /// Notes daemons that joined, are leaving or are gone.
    UpdateMembers(Vec<(String, Member)>),
    /// Moves traffic between zones.
    AdvanceShares(Vec<(ShareKey, ShareVector)>),
    /// Gives slots to daemons and takes them away.
    AdjustSlots(Vec<SlotChange>),
    /// Notes what daemons confirmed.
    Confirm {
        /// Version that every deciding daemon has reached.
        all: ControlVersion,
        /// Version that each of these daemons has reached.
        daemons: Vec<(DaemonId, ControlVersion)>,
    },
    /// Frees the slots of daemons whose leases and requests have ended.
    ForgetDaemons(Vec<DaemonId>),
    /// A command for the once ledger.
    Once(OnceCommand),
    /// Changes items of the catalog.
    PatchCatalog(Patch),
    /// Evacuates a zone, or takes that back.
    Evacuate {
        /// The zone.
        zone: ZoneId,
        /// Whether nothing may be sent to its back ends.
        is_active: bool,
    },
}

/// One start of a back end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BackendEpoch {
    /// Name of the back end.
    pub backend: coursestand_model::BackendId,
    /// Its epoch.
    pub epoch: u64,
}

/// Answer to a command.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CommandAnswer {
    /// Applied.
    Done,
    /// Refused, and nothing changed.
    Refused(String),
    /// Answer to a submit.
    Submit(SubmitAnswer),
    /// Answer to a claim.
    Claim(ClaimAnswer),
}
