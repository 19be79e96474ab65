//! The phases of a request, in order. A deployment's rules are one implementation of
//! [`RequestPhases`]; the exchange calls them and does the I/O between them, so that an
//! implementation never blocks or uses a socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_discovery::{Incarnation, Instance};
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use coursestand_routing::backends::ProbeOutcome;
use coursestand_routing::picker::SentRequest;
use coursestand_routing::{
    BackendReport, ConnectionAge, Fingerprint, PathProbeOutcome, PathScope, PathUse, RouteEntry,
    SendToken, SentCopy,
};
use http::Method;
use tokio::sync::{oneshot, watch};
use tokio::time::Instant;

use crate::answer::Reason;
use crate::retry::RetryVerdict;
use crate::tokens::TokenAnswer;

/// The head of a request, before its body is read.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Id that the caller set.
    pub id: Option<String>,
    /// Method.
    pub method: Method,
    /// Host without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// The query, if present.
    pub query: Option<String>,
    /// The object that the request concerns.
    pub affinity_key: Option<String>,
    /// How long the caller waits for the answer.
    pub caller_timeout: Option<Duration>,
}

/// Route and service of a request.
#[derive(Clone, Debug)]
pub struct Matched {
    /// The route.
    pub route: Arc<RouteEntry>,
    /// The service, chosen among those of the route.
    pub service: ServiceId,
    /// Hash of the object that the request concerns, or a random number.
    pub key: u64,
    /// Whether the request names an object, so that a back end that has it warm is faster.
    pub has_object: bool,
    /// Fingerprint that the request shares with requests that have the same effect on a back
    /// end; none if its head does not determine that.
    pub fingerprint: Option<Fingerprint>,
    /// Time limit of the request.
    pub limit: Duration,
}

/// A back end chosen for an attempt.
#[derive(Clone, Debug)]
pub struct Target {
    /// The back end and the values that the choice was based on.
    pub sent_request: SentRequest,
    /// When it was chosen, on the daemon's clock.
    pub chosen_at: Millis,
    /// Its address.
    pub address: SocketAddr,
    /// Its service.
    pub service: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Fingerprint of the request.
    pub fingerprint: Option<Fingerprint>,
    /// Identifies the back end's incarnation.
    pub incarnation_hash: u64,
    /// Whether the request has reached a back end before.
    pub is_retry: bool,
    /// Revision of the request's crash record when the back end was chosen.
    pub crash_revision: u64,
    /// Whether the request may be sent again although it may have run.
    pub is_repeatable: bool,
    /// Whether control granted this attempt as the one trial of a suspect request.
    pub is_trial: bool,
    /// Until when the request may be sent, if the back end has a rate limit.
    pub admitted_until: Option<Millis>,
    /// How the request may use the path to the back end.
    pub path_use: PathUse,
    /// Whether the back end was chosen although this daemon is partitioned from it.
    pub ignores_partition: bool,
    /// Whether the request is the trial of a path that returns after a partition.
    pub is_path_trial: bool,
}

impl Target {
    /// Returns the copy of the request that is sent to this back end.
    pub fn sent_copy(&self) -> SentCopy {
        SentCopy {
            backend: self.incarnation_hash,
            sent_at: self.chosen_at,
        }
    }

    /// Returns the id of the back end.
    pub fn id(&self) -> &BackendId {
        &self.sent_request.pick.id
    }
}

/// How an attempt at a back end failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// The back end's address refused the connection: nothing was sent.
    Refused,
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// No connection could be made in time while the machine's own link was congested, which
    /// says nothing about the back end: nothing was sent.
    Congested,
    /// This daemon is partitioned from the back end, and has no connection to it that still
    /// works: nothing was sent.
    Partitioned,
    /// Since it was chosen, the back end asked for a back-off, started to drain or crashed:
    /// nothing was sent.
    Withdrawn,
    /// The back end reported that it did not run the request.
    Shed,
    /// Another instance has the address and did not run the request.
    Misdirected,
    /// The answer was lost, incomplete or invalid: the request may have run.
    Lost,
    /// No answer was received in time: the request may have run.
    TimedOut,
    /// Nothing was received on the connection for far longer than usual, and the request may
    /// be repeated: it may have run.
    Silent,
    /// The back end answered with a server error, which may be forwarded.
    Failed,
    /// The run was closed because such requests turned out to crash back ends: it may have run.
    Recalled,
}

/// State of a copy of a request once no answer to it is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// The back end read it, or never will.
    Resolved,
    /// It was sent without an answer: the back end may still read it.
    Unresolved,
}

impl AttemptFailure {
    /// Returns whether the back end may still read what was sent.
    pub fn ending(self) -> AttemptEnding {
        match self {
            AttemptFailure::TimedOut | AttemptFailure::Silent | AttemptFailure::Recalled => {
                AttemptEnding::Unresolved
            }
            _ => AttemptEnding::Resolved,
        }
    }

    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AttemptFailure::Refused => "refused",
            AttemptFailure::Unreachable => "unreachable",
            AttemptFailure::Congested => "congested",
            AttemptFailure::Partitioned => "partitioned",
            AttemptFailure::Withdrawn => "withdrawn",
            AttemptFailure::Shed => "shed",
            AttemptFailure::Misdirected => "misdirected",
            AttemptFailure::Lost => "lost",
            AttemptFailure::TimedOut => "timed-out",
            AttemptFailure::Silent => "silent",
            AttemptFailure::Failed => "failed",
            AttemptFailure::Recalled => "recalled",
        }
    }

    /// Returns whether the request was sent to the back end.
    pub fn reached_back_end(self) -> bool {
        !matches!(
            self,
            AttemptFailure::Refused
                | AttemptFailure::Unreachable
                | AttemptFailure::Congested
                | AttemptFailure::Partitioned
                | AttemptFailure::Withdrawn
        )
    }

    /// Returns whether the request certainly did not run.
    pub fn did_not_run(self) -> bool {
        matches!(
            self,
            AttemptFailure::Refused
                | AttemptFailure::Unreachable
                | AttemptFailure::Congested
                | AttemptFailure::Partitioned
                | AttemptFailure::Withdrawn
                | AttemptFailure::Shed
                | AttemptFailure::Misdirected
        )
    }

    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            AttemptFailure::Lost
                | AttemptFailure::TimedOut
                | AttemptFailure::Silent
                | AttemptFailure::Failed
                | AttemptFailure::Recalled
        )
    }
}

/// A connection on which nothing was received for far longer than usual.
#[derive(Clone, Debug)]
pub struct SilentConnection {
    /// The back end at its other end.
    pub backend: Incarnation,
    /// When the unanswered request was sent.
    pub sent_at: Instant,
    /// The decision to send it again.
    pub retry: RetryVerdict,
}

/// The attempts made for a request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Back ends that must not get the request again.
    pub excluded: Vec<BackendId>,
    /// Attempts that reached a back end.
    pub arrived: u32,
    /// Attempts that reached none, except those counted in `refused`.
    pub unreachable: u32,
    /// Attempts at back ends in service that refused the connection. They take one round trip
    /// and eject the back end, so that their number needs no limit.
    pub refused: u32,
    /// Whether the request may have run at any of them.
    pub may_have_run: bool,
    /// Whether a run of it was closed because of a crash.
    pub is_recalled: bool,
    /// [`Target::incarnation_hash`] of the back ends to which the connection broke during an
    /// attempt.
    pub broken_backends: Vec<u64>,
    /// The silent connection of an earlier attempt.
    pub silent_connection: Option<SilentConnection>,
    /// Token issued for the next attempt at a rate-limited back end.
    pub token: Option<SendToken>,
    /// Whether back ends are chosen although this daemon is partitioned from them, because no
    /// other daemon can be asked.
    pub ignores_partition: bool,
    /// Whether the last attempt found no connection that still works on a partitioned path.
    pub is_path_lost: bool,
}

/// A token request that control has not answered yet.
#[derive(Debug)]
pub struct PendingToken {
    /// The rate-limited back end.
    pub instance: BackendId,
    /// Resolves with the answer.
    pub answer: oneshot::Receiver<TokenAnswer>,
}

/// Back ends of a scope that have to be probed to find out whether this daemon is partitioned from
/// them.
#[derive(Clone, Debug)]
pub struct PathProbe {
    /// The scope.
    pub scope: PathScope,
    /// The back ends.
    pub instances: Vec<Instance>,
}

/// Back ends that are probed when one seems to have crashed: if none of them can be reached
/// either, this daemon has lost its own path.
#[derive(Clone, Debug, Default)]
pub struct CrashReferences {
    /// Of the same service and zone.
    pub near: Vec<Instance>,
    /// Of the same service in other zones.
    pub service: Vec<Instance>,
    /// Of other services in the same zone.
    pub zone: Vec<Instance>,
}

/// The decisions about a request, in the order in which they are made.
pub trait RequestPhases: Send + Sync {
    /// Finds the route and the service, or refuses the request.
    fn match_request(&self, head: &RequestHead) -> Result<Matched, Reason>;

    /// Asks control for a trial of a request that is sent only as a trial. The returned
    /// receiver resolves with the answer, which [`Self::choose`] then takes into account.
    fn ask_for_trial(&self, matched: &Matched) -> Option<oneshot::Receiver<()>>;

    /// Requests a token from control if the next attempt would go to a back end that announced
    /// a rate limit. An issued token is passed to [`Self::choose`] with the attempts.
    fn ask_for_token(&self, matched: &Matched, attempts: &Attempts) -> Option<PendingToken>;

    /// Chooses a back end. The request counts as in flight there until [`Self::finished`] is
    /// called.
    fn choose(&self, matched: &Matched, attempts: &Attempts) -> Result<Target, Reason>;

    /// Returns the back ends of the service that could not be reached and have to be probed
    /// now. [`Self::probed`] must be called for each of them.
    fn take_due_probes(&self, service: &ServiceId) -> Vec<Instance>;

    /// Called when a back end was probed with a connection that carries no request.
    fn probed(&self, instance: &Instance, outcome: ProbeOutcome);

    /// Subscribes to changes of crash records.
    fn crash_record_changes(&self) -> watch::Receiver<u64>;

    /// Returns whether the attempt has to be closed, because the crash of a back end that ran
    /// the same request has become known since it began.
    fn is_recalled(&self, target: &Target) -> bool;

    /// Returns whether the request may still be sent to the chosen back end: connecting takes
    /// time, and the back end may have asked for a back-off in the meantime.
    fn may_still_send(&self, target: &Target) -> bool;

    /// Called when the head of an answer was received, whether or not the answer turns out to
    /// be valid: the back end may ask for a back-off or report that it is draining.
    fn head_received(&self, target: &Target, report: &BackendReport);

    /// Called when a back end answered; `report` is what it reported about itself.
    fn answered(&self, target: &Target, report: &BackendReport);

    /// Called when an attempt failed. `report` is what the back end reported about itself, if
    /// it answered.
    fn failed(&self, target: &Target, failure: AttemptFailure, report: &BackendReport);

    /// Called when the back end crashed: connections to it broke, and its address refuses new
    /// ones. `in_flight_requests` are those that were in flight there.
    fn crashed(&self, target: &Target, in_flight_requests: Vec<Fingerprint>);

    /// Called when the attempt has ended, so that the request stops counting as in flight at the
    /// back end.
    fn finished(&self, target: &Target, ending: AttemptEnding);

    /// Called when the request is sent to the back end.
    fn request_sent(&self, _target: &Target) {}

    /// Called when the back end answered on a connection of this age.
    fn path_answered(&self, _target: &Target, _connection: ConnectionAge) {}

    /// Called when the back end could not be reached, or a connection to it broke or was silent.
    fn path_failed(&self, _target: &Target, _connection: ConnectionAge) {}

    /// Suspects a partition if no back end has answered for far too long. `usual_time` returns how
    /// long answers take at most, if that is known.
    fn check_silence(&self, _usual_time: &dyn Fn() -> Option<Duration>) {}

    /// Returns whether this daemon can use the paths to all back ends.
    fn are_paths_open(&self) -> bool {
        true
    }

    /// Returns whether this daemon is partitioned from all back ends.
    fn is_partitioned(&self) -> bool {
        false
    }

    /// Subscribes to changes of the paths to back ends; none if they do not change.
    fn path_changes(&self) -> Option<watch::Receiver<u64>> {
        None
    }

    /// Returns whether an attempt at the back end has no chance, because this daemon has become
    /// partitioned from it.
    fn is_path_closed(&self, _target: &Target) -> bool {
        false
    }

    /// Returns the probes that are due. [`Self::path_probed`] must be called for each.
    fn take_due_path_probes(&self) -> Vec<PathProbe> {
        Vec::new()
    }

    /// Called when the back ends of a scope were probed.
    fn path_probed(&self, _scope: &PathScope, _outcome: PathProbeOutcome) {}

    /// Returns back ends to probe when `target` seems to have crashed.
    fn crash_references(&self, _target: &Target) -> CrashReferences {
        CrashReferences::default()
    }

    /// Called when another daemon handles the request and counts it.
    fn relayed(&self, _matched: &Matched) {}

    /// Returns the version of the catalog that decisions are based on.
    fn catalog_version(&self) -> u64 {
        0
    }

    /// Decides whether the request may be sent again after `failure`, with `time_left` until its
    /// deadline. Takes the cost of the attempt from the budget.
    fn may_retry(
        &self,
        matched: &Matched,
        attempts: &Attempts,
        failure: AttemptFailure,
        time_left: Duration,
    ) -> RetryVerdict;
}
