//! Tests of the judge.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use super::judge::{Vote, judge_questions, judge_votes};
use super::questions::Question;
use super::watch::Sample;
use crate::evacuations::CONTROLS;
use crate::evacuations::record::ProcessEvent;
use crate::process_history::ProcessHistory;

const HOST: u8 = 4;
const LEADER: u8 = 1;

fn at(begin: Instant, seconds: f64) -> Instant {
    begin + Duration::from_secs_f64(seconds)
}

fn event(begin: Instant, host: u8, seconds: f64, runs: bool) -> ProcessEvent {
    let at = at(begin, seconds);
    ProcessEvent { host, at, runs }
}

/// Returns a history in which all start at 0 s and [`HOST`] is down from 10 to 11 s.
fn history(begin: Instant, more: &[ProcessEvent]) -> ProcessHistory {
    let mut events = CONTROLS.map(|host| event(begin, host, 0.0, true)).to_vec();
    events.push(event(begin, HOST, 10.0, false));
    events.push(event(begin, HOST, 11.0, true));
    events.extend(more);
    events.sort_by_key(|event| event.at);
    ProcessHistory::new(events)
}

/// Returns samples until 20 s: [`LEADER`] leads, if anyone does, and [`HOST`] votes from a moment.
fn samples(begin: Instant, has_leader: bool, votes_from: f64) -> Vec<Sample> {
    let moments = (0..200).map(|step| f64::from(step) / 10.0);
    moments
        .flat_map(|seconds| {
            let asked_at = at(begin, seconds);
            let sample = |host, votes, leads| Sample {
                host,
                asked_at,
                answered_at: asked_at + Duration::from_millis(1),
                votes,
                leads,
            };
            [
                sample(LEADER, true, has_leader),
                sample(HOST, seconds >= votes_from, false),
            ]
        })
        .collect()
}

fn judge(more: impl Fn(Instant) -> Vec<ProcessEvent>, has_leader: bool, votes_from: f64) -> Vote {
    let begin = Instant::now();
    let starts = [(HOST, at(begin, 10.999))];
    let history = history(begin, &more(begin));
    let samples = samples(begin, has_leader, votes_from);
    judge_votes(&starts, &samples, &history).remove(0)
}

/// Guards against a process without its disk that votes late and is passed over.
#[gtest]
fn a_process_that_votes_late_or_never_is_reported() {
    let nothing = |_| Vec::new();
    let in_time = judge(nothing, true, 14.0);
    expect_that!((in_time.is_judged, in_time.is_late), eq((true, false)));
    expect_that!(in_time.after, some(gt(Duration::from_secs(3))));
    let late = judge(nothing, true, 15.2);
    expect_that!((late.is_judged, late.is_late), eq((true, true)));
    expect_that!(late.after, some(gt(Duration::from_secs(4))));
    let never = judge(nothing, true, 100.0);
    expect_that!((never.is_late, never.after), eq((true, None)));
}

/// Guards against a process that is judged although another fault delayed it.
#[gtest]
fn a_process_is_judged_only_beside_an_undisturbed_group() {
    expect_that!(judge(|_| Vec::new(), false, 100.0).is_judged, eq(false));
    let another_is_down = |begin| vec![event(begin, 2, 13.0, false)];
    expect_that!(judge(another_is_down, true, 100.0).is_judged, eq(false));
    // It has its time once the other one is back.
    let another_is_back = |begin| vec![event(begin, 2, 12.0, false), event(begin, 2, 13.0, true)];
    let vote = judge(another_is_back, true, 16.5);
    expect_that!((vote.is_judged, vote.is_late), eq((true, false)));
    expect_that!(judge(another_is_back, true, 17.2).is_late, eq(true));
}

/// Guards against a vote that is taken for that of a process that lost its disk again.
#[gtest]
fn only_votes_since_the_last_start_count() {
    let begin = Instant::now();
    let starts = [(HOST, at(begin, 5.0)), (HOST, at(begin, 10.999))];
    let again = [
        event(begin, HOST, 4.5, false),
        event(begin, HOST, 5.0, true),
    ];
    let history = history(begin, &again);
    let votes = judge_votes(&starts, &samples(begin, true, 12.0), &history);
    let after: Vec<bool> = votes.iter().map(|vote| vote.after.is_some()).collect();
    expect_that!(after, eq(&vec![false, true]));
    expect_that!(votes[0].is_late, eq(true));
}

fn judge_one(sent: f64, is_answered: bool, is_held: bool) -> usize {
    let begin = Instant::now();
    let question = Question {
        host: HOST,
        what: "read",
        sent_at: at(begin, sent),
        ended_at: at(begin, sent + 3.0),
        is_answered,
        is_held,
    };
    judge_questions(&[question], &history(begin, &[]), |_| 0.0).len()
}

/// Guards against silence of a process that runs, and against one that is judged while it starts.
#[gtest]
fn questions_without_an_answer_are_reported() {
    expect_that!(judge_one(14.0, false, true), eq(1));
    expect_that!(judge_one(14.0, false, false), eq(1));
    expect_that!(judge_one(14.0, true, false), eq(0));
    // It has just started; it may not listen yet, but it may not hold a call.
    expect_that!(judge_one(11.5, false, false), eq(0));
    expect_that!(judge_one(11.5, false, true), eq(1));
    // It ends meanwhile, or is down.
    expect_that!(judge_one(8.0, false, true), eq(0));
    expect_that!(judge_one(10.5, false, false), eq(0));
}
