//! Selects among a key's candidate back ends by expected completion time.
//!
//! The completion time is the wait in the queue plus the work, which takes several times
//! longer where the object is not warm. Choosing another back end than the first in the
//! key's order has additional costs, see `DIVERSION_COST`.

use crate::work_times::Work;

/// Cost of sending an object to another back end than the first in its order, in first runs:
/// that back end has to load the object and evicts one of its own for it, while the other
/// daemons still send to the first.
const DIVERSION_COST: f64 = 3.0;
/// Fraction of the objective that is available to the back end. The rest is reserved for
/// the network latency to the caller, which the daemon can't observe.
const BACKEND_FRACTION: f64 = 0.9;
/// Ratio of load to capacity that only a back end that refused a request reaches.
const REFUSING_LOAD: f64 = 3.0;
/// Minimum retry delay of callers: a shorter queue has drained before the caller retries.
const MIN_RETRY_DELAY_MS: f64 = 100.0;
/// Maximum retry delay: callers wait only a fraction of their time-out, so with longer delays
/// they retry before the delay is over.
const MAX_RETRY_DELAY_MS: f64 = 600.0;
/// Retry delay of callers while no work times are known.
const DEFAULT_RETRY_DELAY_MS: f64 = 150.0;

/// Estimated state of one back end for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that it has, including those in its queue.
    pub load: f64,
    /// Requests that it processes concurrently.
    pub slots: f64,
    /// Whether it is the first in the key's order, to which all daemons send.
    pub is_first: bool,
    /// Whether it counts as warm for the object.
    pub is_warm: bool,
}

impl Candidate {
    /// Returns the ratio of load to capacity.
    pub fn ratio(&self) -> f64 {
        self.load / self.slots
    }

    /// Returns whether the request would find a free slot.
    pub fn is_free(&self) -> bool {
        self.load + 1.0 <= self.slots
    }

    /// Returns the expected wait in its queue, in milliseconds.
    pub fn wait_ms(&self, work: &Work) -> f64 {
        let ahead = (self.load + 1.0 - self.slots).max(0.0);
        ahead / self.slots * work.mean_ms
    }

    /// Returns the completion time of a request for a warm object, in milliseconds.
    fn warm_completion_ms(&self, work: &Work) -> f64 {
        self.wait_ms(work) + work.warm_ms
    }

    /// Returns the expected completion time of this request, in milliseconds.
    pub fn completion_ms(&self, work: &Work) -> f64 {
        self.warm_completion_ms(work) + self.first_run_ms(work)
    }

    /// Returns the cost of choosing it for this request and the next ones for the object, in
    /// milliseconds.
    fn cost_ms(&self, work: &Work) -> f64 {
        let diversion_ms = if self.is_first {
            0.0
        } else {
            DIVERSION_COST * work.first_run_ms
        };
        self.warm_completion_ms(work) + diversion_ms
    }

    fn first_run_ms(&self, work: &Work) -> f64 {
        if self.is_warm { 0.0 } else { work.first_run_ms }
    }
}

/// No candidate can complete the request within its objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllBusy {
    /// Time after which the candidate with the lowest cost can serve the request in time, in
    /// milliseconds.
    pub drained_in_ms: f64,
}

/// Returns the index of the candidate to which a request should be sent. `candidates` are in
/// the order of the key; of those with equal cost the first is chosen. If the chosen one
/// can't complete the request within `objective_ms`, the request is admitted only while the
/// ratio of its load to its capacity is below `hard_load`, and otherwise refused.
///
/// While no work times are known, the first candidate that does not itself refuse requests is
/// chosen, up to the same load: loading objects into several back ends while none is warm
/// costs more than a short wait.
pub fn choose(
    candidates: &[Candidate],
    work: Option<&Work>,
    objective_ms: f64,
    hard_load: f64,
) -> Result<usize, AllBusy> {
    let Some(work) = work else {
        let refuses = |candidate: &&Candidate| candidate.ratio() >= REFUSING_LOAD;
        let refusing = candidates.iter().take_while(refuses).count();
        let next = candidates.get(refusing);
        return next
            .filter(|candidate| candidate.ratio() < hard_load)
            .map(|_| refusing)
            .ok_or(AllBusy {
                drained_in_ms: DEFAULT_RETRY_DELAY_MS,
            });
    };
    let cheapest = candidates
        .iter()
        .enumerate()
        .min_by(|left, right| left.1.cost_ms(work).total_cmp(&right.1.cost_ms(work)));
    let Some((index, candidate)) = cheapest else {
        return Err(AllBusy {
            drained_in_ms: DEFAULT_RETRY_DELAY_MS,
        });
    };
    let in_time_ms = objective_ms * BACKEND_FRACTION;
    let completion_ms = candidate.completion_ms(work);
    if completion_ms <= in_time_ms || candidate.ratio() < hard_load {
        return Ok(index);
    }
    let excess_ms = completion_ms - in_time_ms;
    Err(AllBusy {
        drained_in_ms: excess_ms.clamp(MIN_RETRY_DELAY_MS, MAX_RETRY_DELAY_MS),
    })
}
