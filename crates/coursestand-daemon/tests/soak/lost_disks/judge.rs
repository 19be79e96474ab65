//! Judges whether processes that lost their disks vote again in time, and whether processes that
//! run answer.

use std::time::{Duration, Instant};

use super::questions::{ANSWER_LIMIT, Question};
use super::watch::Sample;
use crate::evacuations::CONTROLS;
use crate::power_losses::service::CATCH_UP;
use crate::process_history::ProcessHistory;

/// Maximum time from a process's start until it accepts connections.
const STARTUP_TIME: Duration = Duration::from_secs(2);
/// Age of the newest sign of a leader.
const MAX_AGE_OF_LEADER: Duration = Duration::from_millis(500);

/// When a process that had lost its disk voted again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Vote {
    pub host: u8,
    pub started_at: Instant,
    /// Time from its start; `None` if it was not seen to vote before it lost its disk again.
    pub after: Option<Duration>,
    /// Whether all control processes ran undisturbed for [`CATCH_UP`] and one of them led.
    pub is_judged: bool,
    /// Whether it did not vote within that time.
    pub is_late: bool,
}

impl Vote {
    pub fn describe_late(&self, seconds: impl Fn(Instant) -> f64) -> String {
        format!(
            "process {}, which lost its disk and was started at {:.3} s, does not vote although all \
             have run undisturbed for {CATCH_UP:?} beside a leader; it voted after {:?}",
            self.host,
            seconds(self.started_at),
            self.after
        )
    }
}

/// Returns the times in seconds; those in brackets were not judged.
pub fn describe_votes(votes: &[Vote]) -> String {
    let times = votes.iter().map(|vote| {
        let time = match vote.after {
            Some(after) => format!("{:.1}", after.as_secs_f64()),
            None => "-".to_owned(),
        };
        match vote.is_judged {
            true => time,
            false => format!("({time})"),
        }
    });
    let times: Vec<String> = times.collect();
    format!("{} s", times.join(" "))
}

/// Judges each start of a process without its disk.
pub fn judge_votes(
    blank_starts: &[(u8, Instant)],
    samples: &[Sample],
    history: &ProcessHistory,
) -> Vec<Vote> {
    let votes = blank_starts.iter().map(|(host, started_at)| {
        let is_next = |(other, at): &&(u8, Instant)| other == host && at > started_at;
        let end = blank_starts.iter().find(is_next).map(|(_, at)| *at);
        let own = samples.iter().filter(|sample| {
            let is_before_end = end.is_none_or(|end| sample.answered_at < end);
            sample.host == *host && sample.asked_at > *started_at && is_before_end
        });
        let voted: Vec<&Sample> = own.filter(|sample| sample.votes).collect();
        let calm_from = calm_period(*started_at, end, samples, history);
        let is_in_time =
            |sample: &&Sample| calm_from.is_some_and(|from| sample.answered_at <= from + CATCH_UP);
        Vote {
            host: *host,
            started_at: *started_at,
            after: voted.first().map(|first| first.answered_at - *started_at),
            is_judged: calm_from.is_some(),
            is_late: calm_from.is_some() && !voted.iter().any(is_in_time),
        }
    });
    votes.collect()
}

/// Returns the first moment from which all control processes run undisturbed for [`CATCH_UP`] while
/// one of them already leads.
fn calm_period(
    from: Instant,
    end: Option<Instant>,
    samples: &[Sample],
    history: &ProcessHistory,
) -> Option<Instant> {
    let events = history.events().iter();
    let mut moments = events
        .filter(|event| CONTROLS.contains(&event.host) && event.at >= from)
        .map(|event| event.at);
    let last_sample = samples.iter().map(|sample| sample.answered_at).max()?;
    moments.find(|moment| {
        let until = *moment + CATCH_UP;
        let is_over = end.is_some_and(|end| until > end) || until > last_sample;
        !is_over && is_calm(*moment, until, history) && has_leader(*moment, until, samples, history)
    })
}

/// Whether all control processes run from a moment until another one without an event.
fn is_calm(from: Instant, until: Instant, history: &ProcessHistory) -> bool {
    let just_after = from + Duration::from_nanos(1);
    CONTROLS
        .into_iter()
        .all(|host| history.runs_at(host, from) && !history.has_event_in(host, just_after, until))
}

/// Whether a process led shortly before a moment that ran undisturbed until a later one.
fn has_leader(
    moment: Instant,
    until: Instant,
    samples: &[Sample],
    history: &ProcessHistory,
) -> bool {
    let oldest = moment - MAX_AGE_OF_LEADER;
    samples.iter().any(|sample| {
        let is_recent = sample.asked_at >= oldest && sample.answered_at <= moment;
        sample.leads && is_recent && !history.has_event_in(sample.host, oldest, until)
    })
}

/// Returns the questions that a process left without an answer although it ran.
pub fn judge_questions(
    questions: &[Question],
    history: &ProcessHistory,
    seconds: impl Fn(Instant) -> f64,
) -> Vec<String> {
    let unanswered = questions.iter().filter(|question| {
        let host = question.host;
        let runs = history.runs_at(host, question.sent_at)
            && !history.has_event_in(host, question.sent_at, question.ended_at);
        let first = question.sent_at - STARTUP_TIME;
        let has_started = !history.has_event_in(host, first, question.sent_at);
        !question.is_answered && runs && (question.is_held || has_started)
    });
    let described = unanswered.map(|question| {
        format!(
            "the {} at {} at {:.3} s was not answered within {ANSWER_LIMIT:?}",
            question.what,
            question.host,
            seconds(question.sent_at)
        )
    });
    described.collect()
}
