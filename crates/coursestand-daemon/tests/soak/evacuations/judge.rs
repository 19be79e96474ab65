//! Judges by what back ends saw whether acknowledged orders for zones were in force.

use std::time::{Duration, Instant};

use super::record::{Record, ZoneOrder};
use super::traffic::ZoneArrival;
use super::{CONTROLS, ZONES};
use crate::process_history::ProcessHistory;

/// Time after the acknowledgement within which an evacuation is in force at every daemon.
const EVACUATE_BOUND: Duration = Duration::from_secs(5);
/// Addition to the bound while the control group is not stable, if most of it ran all the time.
const MAX_STRETCH: Duration = Duration::from_secs(5);
/// Time after the end of an evacuation within which the zone gets requests.
const RETURN_BOUND: Duration = Duration::from_secs(10);
/// A zone gets none of this many requests with a probability of less than one in a million.
const MIN_REQUESTS_ELSEWHERE: usize = 50;
/// Violations that are named.
const MAX_NAMED: usize = 5;

/// A period in which a zone's last order was the same acknowledged one.
#[derive(Clone, Copy, Debug)]
struct Period {
    zone: &'static str,
    is_active: bool,
    acknowledged_at: Instant,
    /// When the next order for the zone was sent; `None` if there was none.
    next_sent_at: Option<Instant>,
}

impl Period {
    fn contains(&self, at: Instant) -> bool {
        at > self.acknowledged_at && self.next_sent_at.is_none_or(|next| at < next)
    }
}

/// Judges the arrivals of a run.
pub struct Judge<'a> {
    record: &'a Record,
    history: ProcessHistory,
    periods: Vec<Period>,
}

impl<'a> Judge<'a> {
    pub fn new(record: &'a Record) -> Judge<'a> {
        let orders = record.orders();
        let periods = orders.iter().filter_map(|order| period(order, &orders));
        Judge {
            record,
            history: ProcessHistory::new(record.processes()),
            periods: periods.collect(),
        }
    }

    /// Returns an error if a request reached an evacuated zone, or a zone whose evacuation was
    /// taken back got none.
    pub fn check(&self, arrivals: &[ZoneArrival]) -> Result<(), String> {
        let evacuated = self.periods.iter().filter(|period| period.is_active);
        let late: Vec<String> = evacuated
            .flat_map(|period| {
                let arrivals = arrivals.iter();
                arrivals.filter(|arrival| self.is_violation(period, arrival))
            })
            .map(|arrival| self.describe(arrival))
            .collect();
        if !late.is_empty() {
            let named = &late[..late.len().min(MAX_NAMED)];
            return Err(format!(
                "{} requests reached an evacuated zone: {}",
                late.len(),
                named.join("; ")
            ));
        }
        let closed = self.periods.iter().filter(|period| !period.is_active);
        for period in closed {
            self.check_return(period, arrivals)?;
        }
        Ok(())
    }

    fn describe(&self, arrival: &ZoneArrival) -> String {
        let seconds = self.record.seconds(arrival.at);
        format!(
            "{} through daemon {} in {} at {seconds:.3} s",
            arrival.id, arrival.edge, arrival.zone
        )
    }

    fn is_violation(&self, period: &Period, arrival: &ZoneArrival) -> bool {
        if arrival.zone != period.zone || !period.contains(arrival.at) {
            return false;
        }
        let age = arrival.at - period.acknowledged_at;
        if age <= EVACUATE_BOUND || !self.history.runs_undisturbed(arrival.edge, arrival.at) {
            return false;
        }
        self.history.is_group_stable(arrival.at)
            || age > EVACUATE_BOUND + MAX_STRETCH
                && self.has_majority_run(period.acknowledged_at, arrival.at)
    }

    /// Returns whether most control processes ran at each moment of a period.
    fn has_majority_run(&self, from: Instant, to: Instant) -> bool {
        let events = self.history.events().iter().map(|event| event.at);
        let moments = events.filter(|at| *at >= from && *at <= to);
        std::iter::once(from).chain(moments).all(|at| {
            let running = CONTROLS
                .into_iter()
                .filter(|host| self.history.runs_at(*host, at));
            running.count() > CONTROLS.len() / 2
        })
    }

    /// Returns an error if a zone got no request in the stable part of a period after its
    /// evacuation was taken back, while others got many.
    fn check_return(&self, period: &Period, arrivals: &[ZoneArrival]) -> Result<(), String> {
        let is_judged = |arrival: &&ZoneArrival| {
            period.contains(arrival.at)
                && arrival.at - period.acknowledged_at > RETURN_BOUND
                && self.history.runs_undisturbed(arrival.edge, arrival.at)
                && self.history.is_group_stable(arrival.at)
        };
        let judged: Vec<&ZoneArrival> = arrivals.iter().filter(is_judged).collect();
        let elsewhere = judged.iter().filter(|arrival| arrival.zone == ZONES[0]);
        let has_returned = judged.iter().any(|arrival| arrival.zone == period.zone);
        if has_returned || elsewhere.count() < MIN_REQUESTS_ELSEWHERE {
            return Ok(());
        }
        let seconds = self.record.seconds(period.acknowledged_at);
        Err(format!(
            "{} gets no requests although its evacuation was taken back at {seconds:.3} s",
            period.zone
        ))
    }
}

/// Returns the period in which an acknowledged order was the zone's last one, or `None` if an
/// order to the opposite was under way at the same time.
fn period(order: &ZoneOrder, orders: &[ZoneOrder]) -> Option<Period> {
    if !order.is_acknowledged {
        return None;
    }
    let opposite = || {
        let others = orders.iter();
        others.filter(|other| other.zone == order.zone && other.is_active != order.is_active)
    };
    let overlaps =
        |other: &ZoneOrder| other.sent_at <= order.ended_at && other.ended_at >= order.sent_at;
    if opposite().any(overlaps) {
        return None;
    }
    let later = opposite().filter(|other| other.sent_at > order.ended_at);
    Some(Period {
        zone: order.zone,
        is_active: order.is_active,
        acknowledged_at: order.ended_at,
        next_sent_at: later.map(|other| other.sent_at).min(),
    })
}
