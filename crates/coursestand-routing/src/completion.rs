//! Chooses among a key's back ends by when each would have the request done.
//!
//! Completion is the queue ahead, plus the work, which is several times longer
//! where the object is not known. A run at another back end than the first of the
//! key's order costs more than itself: see `FIRST_RUNS_ELSEWHERE`.

use crate::work_times::Work;

/// First runs that it costs to send an object to another back end than the first of
/// its order: that back end has to learn it, keeps one less of its own, and the
/// other daemons still send to the first.
const FIRST_RUNS_ELSEWHERE: f64 = 3.0;
/// Part of the objective that is left for the back end: the rest is the caller's
/// way, which the daemon does not see.
const BACKEND_PART: f64 = 0.9;
/// Load over capacity that is only believed of a back end that refused a request.
const REFUSING_LOAD: f64 = 3.0;
/// A queue that lasts shorter than this is over when the caller is back.
const LEAST_PAUSE_MS: f64 = 100.0;
/// Callers wait a part of their time only: with longer pauses they come earlier
/// than told.
const LONGEST_PAUSE_MS: f64 = 600.0;
/// Pause of callers while nothing is learned about the work.
const FIRST_PAUSE_MS: f64 = 150.0;

/// What is believed of one back end for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that it has, those in its queue among them.
    pub load: f64,
    /// Requests that it works on at once.
    pub slots: f64,
    /// Whether it is the first of the key's order, to which all daemons send.
    pub is_first: bool,
    /// Whether it is taken to know the object.
    pub knows: bool,
}

impl Candidate {
    /// Load over capacity.
    pub fn ratio(&self) -> f64 {
        self.load / self.slots
    }

    /// Whether the request would find a free slot.
    pub fn is_free(&self) -> bool {
        self.load + 1.0 <= self.slots
    }

    /// Time in its queue.
    pub fn wait_ms(&self, work: &Work) -> f64 {
        let ahead = (self.load + 1.0 - self.slots).max(0.0);
        ahead / self.slots * work.mean_ms
    }

    /// What a request takes here once the object is known.
    fn lasting_ms(&self, work: &Work) -> f64 {
        self.wait_ms(work) + work.known_ms
    }

    /// What this request takes here.
    pub fn completion_ms(&self, work: &Work) -> f64 {
        self.lasting_ms(work) + self.first_run_ms(work)
    }

    /// What choosing it costs this request and the next ones for the object.
    fn cost_ms(&self, work: &Work) -> f64 {
        let elsewhere_ms = if self.is_first {
            0.0
        } else {
            FIRST_RUNS_ELSEWHERE * work.first_run_ms
        };
        self.lasting_ms(work) + elsewhere_ms
    }

    fn first_run_ms(&self, work: &Work) -> f64 {
        if self.knows { 0.0 } else { work.first_run_ms }
    }
}

/// No candidate is worth waiting for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllBusy {
    /// After which the least loaded one can serve the request in time.
    pub drained_in_ms: f64,
}

/// Index of the candidate that a request should go to. `candidates` stand in the
/// order of the key; of equal ones the first is taken. A request that no candidate
/// can serve within `objective_ms` is taken where the load is below `hard_load`
/// over capacity, and else refused. With nothing learned, the first that does not
/// refuse requests itself is taken, up to that load: objects that several back ends
/// learn while none knows any cost more than a short wait.
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
                drained_in_ms: FIRST_PAUSE_MS,
            });
    };
    let cheapest = candidates
        .iter()
        .enumerate()
        .min_by(|left, right| left.1.cost_ms(work).total_cmp(&right.1.cost_ms(work)));
    let Some((index, candidate)) = cheapest else {
        return Err(AllBusy {
            drained_in_ms: FIRST_PAUSE_MS,
        });
    };
    let in_time_ms = objective_ms * BACKEND_PART;
    let completion_ms = candidate.completion_ms(work);
    if completion_ms <= in_time_ms || candidate.ratio() < hard_load {
        return Ok(index);
    }
    let excess_ms = completion_ms - in_time_ms;
    Err(AllBusy {
        drained_in_ms: excess_ms.clamp(LEAST_PAUSE_MS, LONGEST_PAUSE_MS),
    })
}
