//! Commands of the replicated control state and their answers.

use coursestand_catalog::Patch;
use coursestand_model::platform::PlatformBackend;
use coursestand_model::{DaemonId, Millis, SignedBundle, ZoneId};
use serde::{Deserialize, Serialize};

use crate::bundles::{SignedOrder, SubmitAnswer};
use crate::departures::Departure;
use crate::once::{ClaimAnswer, OnceCommand};
use crate::shares::{ShareKey, ShareVector};
use crate::signing::SignoffPolicy;
use crate::slots::SlotChange;
use crate::tables::{ControlVersion, Member};

/// A command with the leader's clocks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedCommand {
    /// Replicated clock in milliseconds. A leader starts it at the value in its
    /// predecessor's last entry and advances it by its monotonic clock, so it never
    /// runs ahead of real time and leases never expire early.
    pub clock: Millis,
    /// Wall clock of the leader in Unix milliseconds.
    pub wall_ms: u64,
    /// The command.
    pub command: Command,
}

/// A change of the control state.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Sets the sign-off policy. Accepted once, when the control group is formed.
    Initialize(SignoffPolicy),
    /// Submits a bundle.
    SubmitBundle {
        /// The bundle with its sign-offs.
        bundle: SignedBundle,
        /// Revision against which it was made.
        expected_revision: u64,
        /// Identifies the submission, for deduplication.
        submission: String,
    },
    /// Submits an order.
    SubmitOrder {
        /// The order with its sign-offs.
        order: SignedOrder,
        /// Identifies the submission, for deduplication.
        submission: String,
    },
    /// Applies rows of the platform list.
    UpdateBackends(Vec<PlatformBackend>),
    /// Marks back ends as leaving, by name and epoch.
    MarkLeaving(Vec<BackendEpoch>),
    /// Records daemons that joined, are leaving or are gone.
    UpdateMembers(Vec<(String, Member)>),
    /// Moves traffic between zones.
    AdvanceShares(Vec<(ShareKey, ShareVector)>),
    /// Grants slots to daemons and revokes them.
    AdjustSlots(Vec<SlotChange>),
    /// Records the versions that daemons confirmed.
    Confirm {
        /// Version that every deciding daemon has reached.
        all: ControlVersion,
        /// Version that each of these daemons has reached.
        daemons: Vec<(DaemonId, ControlVersion)>,
    },
    /// Frees the slots of daemons whose leases have expired and whose requests have
    /// ended.
    ForgetDaemons(Vec<DaemonId>),
    /// A command for the once ledger.
    Once(OnceCommand),
    /// Changes catalog items.
    PatchCatalog(Patch),
    /// Evacuates a zone, or ends the evacuation.
    Evacuate {
        /// The zone.
        zone: ZoneId,
        /// Whether requests to its back ends are forbidden.
        is_active: bool,
    },
    /// Records that a back end leaves. A process of an older version refuses it.
    RecordDeparture(Departure),
}

/// One start of a back end, identified by its epoch.
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
    /// Refused with this reason; the state is unchanged.
    Refused(String),
    /// Answer to a submission.
    Submit(SubmitAnswer),
    /// Answer to a claim.
    Claim(ClaimAnswer),
}
