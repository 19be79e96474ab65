//! The phases of a request, in their order. A deployment's rules are one
//! implementation of [`RequestPhases`]; the exchange calls them and does the I/O
//! between them, so that no rule ever waits or sees a socket.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coursestand_discovery::Incarnation;
use coursestand_model::{BackendId, Millis, ServiceId, ZoneId};
use coursestand_routing::picker::SentRequest;
use coursestand_routing::{BackendReport, Fingerprint, RouteEntry, SendToken, SentCopy};
use http::Method;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::answer::Reason;
use crate::retry::RetryVerdict;
use crate::tokens::TokenAnswer;

/// What is known of a request before its body is read.
#[derive(Clone, Debug)]
pub struct RequestHead {
    /// Identity that the caller gave it.
    pub id: Option<String>,
    /// Method.
    pub method: Method,
    /// Host without a port.
    pub host: String,
    /// Path without the query.
    pub path: String,
    /// The query, if there is one.
    pub query: Option<String>,
    /// The object that it concerns.
    pub affinity_key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Matched {
    /// The route.
    pub route: Arc<RouteEntry>,
    /// The service, chosen among those of the route.
    pub service: ServiceId,
    /// Hash of the object that the request concerns, or any number.
    pub key: u64,
    /// Whether a back end that saw the object recently is quicker.
    pub has_object: bool,
    /// What it has in common with requests that do the same to a back end; none where its
    /// head doesn't tell.
    pub fingerprint: Option<Fingerprint>,
    /// How long it is held at most.
    pub limit: Duration,
}

/// A back end to send to.
#[derive(Clone, Debug)]
pub struct Target {
    /// The back end and what decided.
    pub asked: SentRequest,
    /// When it was chosen, on the daemon's clock.
    pub chosen_at: Millis,
    /// Where it is reached.
    pub address: SocketAddr,
    /// Its service.
    pub service: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// That of the request.
    pub fingerprint: Option<Fingerprint>,
    /// Tells the back end's incarnation from others.
    pub memory: u64,
    /// Whether the request has reached a back end before.
    pub is_repeat: bool,
    /// Whether control granted this sending, as the one trial of a request under which
    /// back ends ended.
    pub is_trial: bool,
    /// Until when it may be sent, where the back end has a rate limit.
    pub admitted_until: Option<Millis>,
}

impl Target {
    /// The copy of the request that goes there.
    pub fn copy(&self) -> SentCopy {
        SentCopy {
            backend: self.memory,
            sent_at: self.chosen_at,
        }
    }

    /// The back end.
    pub fn id(&self) -> &BackendId {
        &self.asked.pick.id
    }
}

/// How an attempt at a back end ended without a proper answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No connection could be made: nothing was sent.
    Unreachable,
    /// The back end backs off, drains or has ended since it was chosen: nothing was sent.
    Withdrawn,
    /// The back end said that it did not run the request.
    Shed,
    /// Another instance has the address and did not run the request.
    Misdirected,
    /// The answer was lost, broken or foreign: the request may have run.
    Lost,
    /// No answer came in time: the request may have run.
    TimedOut,
    /// Nothing came on the connection for far longer than usual, and the request may
    /// be repeated: it may have run.
    Silent,
    /// The back end failed at the request; its answer may be passed on.
    Failed,
}

/// What is known of a copy of a request once nobody waits for its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnding {
    /// It was read, or never will be.
    Settled,
    /// It was sent, and nothing came back: it may still be read.
    InDoubt,
}

impl AttemptFailure {
    /// Whether what was sent may still be read by the back end.
    pub fn ending(self) -> AttemptEnding {
        match self {
            AttemptFailure::TimedOut | AttemptFailure::Silent => AttemptEnding::InDoubt,
            _ => AttemptEnding::Settled,
        }
    }

    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AttemptFailure::Unreachable => "unreachable",
            AttemptFailure::Withdrawn => "withdrawn",
            AttemptFailure::Shed => "shed",
            AttemptFailure::Misdirected => "misdirected",
            AttemptFailure::Lost => "lost",
            AttemptFailure::TimedOut => "timed-out",
            AttemptFailure::Silent => "silent",
            AttemptFailure::Failed => "failed",
        }
    }

    /// Whether the request was sent to the back end.
    pub fn reached_back_end(self) -> bool {
        !matches!(
            self,
            AttemptFailure::Unreachable | AttemptFailure::Withdrawn
        )
    }

    /// Whether it is sure that the request did not run.
    pub fn did_not_run(self) -> bool {
        matches!(
            self,
            AttemptFailure::Unreachable
                | AttemptFailure::Withdrawn
                | AttemptFailure::Shed
                | AttemptFailure::Misdirected
        )
    }

    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(
            self,
            AttemptFailure::Lost
                | AttemptFailure::TimedOut
                | AttemptFailure::Silent
                | AttemptFailure::Failed
        )
    }
}

/// A connection on which nothing came for far longer than usual.
#[derive(Clone, Debug)]
pub struct Silence {
    /// The back end that it led to.
    pub backend: Incarnation,
    /// When the request was sent that got no answer.
    pub sent_at: Instant,
    /// The decision to send it again.
    pub retry: RetryVerdict,
}

/// What has been tried for a request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    /// Back ends that are not to get it again.
    pub tried: Vec<BackendId>,
    /// Attempts that reached a back end.
    pub arrived: u32,
    /// Attempts that reached none.
    pub unreachable: u32,
    /// Whether any of them may have run.
    pub may_have_run: bool,
    /// [`Target::memory`] of the back ends to which the connection broke during an attempt.
    pub broken_backends: Vec<u64>,
    /// The connection of an attempt that fell silent.
    pub silence: Option<Silence>,
    /// What was issued for the next attempt at a rate-limited back end.
    pub token: Option<SendToken>,
}

/// A request for a token that control has not answered yet.
#[derive(Debug)]
pub struct TokenWait {
    /// The rate-limited back end.
    pub instance: BackendId,
    /// Resolves with the answer.
    pub answer: oneshot::Receiver<TokenAnswer>,
}

/// The decisions about a request, in the order in which they are taken.
pub trait RequestPhases: Send + Sync {
    /// Finds the route and the service, or refuses the request.
    fn match_request(&self, head: &RequestHead) -> Result<Matched, Reason>;

    /// Asks for leave to try a request that is sent only as a trial. What is returned ends
    /// with the answer; [`Self::choose`] knows it then.
    fn ask_for_trial(&self, matched: &Matched) -> Option<oneshot::Receiver<()>>;

    /// Asks control for a token if the next attempt would go to a back end that named a rate
    /// limit. What is issued is handed to [`Self::choose`] with the attempts.
    fn ask_for_token(&self, matched: &Matched, attempts: &Attempts) -> Option<TokenWait>;

    /// Chooses a back end. From here until [`Self::finished`] it counts as having
    /// the request.
    fn choose(&self, matched: &Matched, attempts: &Attempts) -> Result<Target, Reason>;

    /// Whether the back end may still be sent the request for which it was chosen: a
    /// connection takes time, and it may have asked for a back-off meanwhile.
    fn is_open(&self, target: &Target) -> bool;

    /// The head of an answer came, whatever becomes of the rest of it: the back end may
    /// have asked for a back-off, or said that it drains.
    fn told(&self, target: &Target, report: &BackendReport);

    /// A back end answered, and what it said of itself.
    fn answered(&self, target: &Target, report: &BackendReport);

    /// An attempt failed. `report` is what the back end said of itself, if it answered.
    fn failed(&self, target: &Target, failure: AttemptFailure, report: &BackendReport);

    /// The back end has ended: connections to it broke, and nobody is at its address.
    /// `witnesses` were under way there.
    fn ended(&self, target: &Target, witnesses: Vec<Fingerprint>);

    /// The back end no longer has the request, as far as this daemon can tell.
    fn finished(&self, target: &Target, ending: AttemptEnding);

    /// Whether the request may be sent again after `failure`, with `left` of its
    /// time. Takes what the attempt costs from the budget.
    fn may_retry(
        &self,
        matched: &Matched,
        attempts: &Attempts,
        failure: AttemptFailure,
        left: Duration,
    ) -> RetryVerdict;
}
