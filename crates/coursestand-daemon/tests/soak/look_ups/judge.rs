//! Judges by the answers to look-ups whether daemons that have ended are left out.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use super::clients::Answer;
use crate::evacuations::record::{ProcessEvent, Record};
use crate::process_history::{CONTACT, ProcessHistory};

/// Time after the end of a daemon, beyond [`CONTACT`], until no answer names it.
const REMOVAL_BOUND: Duration = Duration::from_secs(3);
/// Number of answers of a run that may name a daemon which has ended.
pub const TOLERATED_ANSWERS: usize = 3;

/// Judges the answers of a run.
pub struct Judge<'a> {
    record: &'a Record,
    history: ProcessHistory,
    /// Events of each host, in order.
    by_host: BTreeMap<u8, Vec<ProcessEvent>>,
}

impl<'a> Judge<'a> {
    pub fn new(record: &'a Record) -> Judge<'a> {
        let events = record.processes();
        let mut by_host: BTreeMap<u8, Vec<ProcessEvent>> = BTreeMap::new();
        for event in &events {
            by_host.entry(event.host).or_default().push(*event);
        }
        Judge {
            record,
            history: ProcessHistory::new(events),
            by_host,
        }
    }

    /// Describes the answers that name, next to a live daemon, one that ended too long ago.
    pub fn violations(&self, answers: &[Answer]) -> Vec<String> {
        answers
            .iter()
            .filter_map(|answer| {
                let ended = self.ended_daemon(answer)?;
                self.is_judged(answer).then(|| self.describe(answer, ended))
            })
            .collect()
    }

    fn describe(&self, answer: &Answer, (host, ended_at): (u8, Instant)) -> String {
        format!(
            "{} named {host} at {:.3} s, which ended at {:.3} s",
            answer.control,
            self.record.seconds(answer.at),
            self.record.seconds(ended_at)
        )
    }

    /// Whether the control process and the group ran undisturbed for [`CONTACT`] before the
    /// answer, and no link between processes was disturbed.
    fn is_judged(&self, answer: &Answer) -> bool {
        let asked_at = answer.at - answer.took;
        [asked_at, answer.at].into_iter().all(|at| {
            self.history.runs_undisturbed(answer.control, at)
                && self.history.is_group_stable(at)
                && self.record.are_links_undisturbed(at - CONTACT, at)
        })
    }

    /// Returns a daemon in the answer that ended too long before it, with the time of its end, if
    /// the answer names a running daemon as well.
    fn ended_daemon(&self, answer: &Answer) -> Option<(u8, Instant)> {
        let asked_at = answer.at - answer.took;
        let has_live = || {
            let mut named = answer.named.iter();
            named.any(|host| self.history.runs_at(*host, answer.at))
        };
        let is_late = |host: &u8| {
            let ended_at = self.ended_at(*host, answer.at)?;
            let age = asked_at.saturating_duration_since(ended_at);
            (age > CONTACT + REMOVAL_BOUND).then_some((*host, ended_at))
        };
        answer.named.iter().find_map(is_late).filter(|_| has_live())
    }

    /// Returns when a daemon that does not run at this time ended.
    fn ended_at(&self, host: u8, at: Instant) -> Option<Instant> {
        let events = self.by_host.get(&host)?;
        let before = events.iter().take_while(|event| event.at <= at);
        let mut ended_at = None;
        for event in before {
            ended_at = match event.runs {
                true => None,
                false => ended_at.or(Some(event.at)),
            };
        }
        ended_at
    }
}
