//! Bounds on what cold back ends get, summed over all daemons.
#![allow(missing_docs)]

use std::collections::{BTreeMap, BTreeSet};

use coursestand_model::BackendId;
use coursestand_routing::cold::{ColdGate, ColdLimits, OwnerViews, owner};
use googletest::prelude::*;
use proptest::prelude::*;

fn daemons() -> BTreeSet<String> {
    (1..=12).map(|number| format!("edge-{number}")).collect()
}

proptest! {
    /// Two daemons that both believe to own a cold back end stay within what it
    /// bears in any second.
    #[test]
    fn two_owners_stay_within_what_a_cold_back_end_bears(
        per_second in 1.0..200.0_f64,
        times in proptest::collection::vec(0..5_000_u64, 1..800),
    ) {
        let limits = ColdLimits { overage: 1.5, slack: 5.0 };
        let share = limits.share_of_owner(per_second);
        let id = BackendId::from("i");
        let mut times = times;
        times.sort_unstable();
        let mut gates = [ColdGate::default(), ColdGate::default()];
        let mut sent = Vec::new();
        for (number, at) in times.into_iter().enumerate() {
            let gate = &mut gates[number % 2];
            if gate.has_room(at, &id, share) {
                gate.note(at, &id);
                sent.push(at);
            }
        }
        for from in &sent {
            let window = sent.iter().filter(|at| **at >= *from && **at < from + 1_000).count();
            prop_assert!(window as f64 <= per_second * limits.overage + limits.slack);
        }
    }
}

/// Five of twelve daemons lose control one after the other within a second, and
/// each goes on to believe in the view that it had for two and a half seconds.
/// Returns when requests were sent to a cold back end.
fn sent_to_a_cold_back_end(hand_over_ms: u64, share: usize) -> Vec<u64> {
    const SILENCE_MS: u64 = 2_500;
    let id = BackendId::from("cold");
    let names: Vec<String> = daemons().into_iter().collect();
    let mut views = vec![OwnerViews::new(hand_over_ms); names.len()];
    let mut gates = vec![ColdGate::default(); names.len()];
    // The owners by rendezvous, in their order, go in a row.
    let mut left = daemons();
    let mut cut_at = BTreeMap::new();
    for number in 0..5 {
        let first = owner(&id, left.iter().map(String::as_str))
            .expect("an owner")
            .to_owned();
        left.remove(&first);
        cut_at.insert(first, 10_000 + number * 200);
    }
    let mut sent = Vec::new();
    for now in (0..20_000_u64).step_by(10) {
        let connected: BTreeSet<String> = names
            .iter()
            .filter(|name| cut_at.get(*name).is_none_or(|at| now < *at))
            .cloned()
            .collect();
        for (number, name) in names.iter().enumerate() {
            let view = match cut_at.get(name) {
                Some(at) if now >= at + SILENCE_MS => None,
                // It hears nothing new, and believes what it knew last.
                Some(at) if now >= *at => views[number].current().cloned(),
                _ => Some(connected.clone()),
            };
            views[number].set(now, view);
            let may_send = views[number].is_owner(now, name, &id);
            if may_send && gates[number].has_room(now, &id, share) {
                gates[number].note(now, &id);
                sent.push(now);
            }
        }
    }
    sent
}

fn most_in_a_second(sent: &[u64]) -> usize {
    let from = |start: u64| {
        let window = start..start + 1_000;
        sent.iter().filter(|at| window.contains(*at)).count()
    };
    sent.iter().map(|start| from(*start)).max().unwrap_or(0)
}

#[gtest]
fn a_daemon_that_saw_too_many_views_owns_nothing_until_they_are_past() {
    const HAND_OVER_MS: u64 = 3_500;
    let id = BackendId::from("cold");
    let names = daemons();
    let own = owner(&id, names.iter().map(String::as_str)).expect("an owner");
    let mut views = OwnerViews::new(HAND_OVER_MS);
    views.set(0, Some(names.clone()));
    expect_that!(views.is_owner(10_000, own, &id), eq(true));
    // One that is never the owner comes and goes.
    let mut others = names.clone();
    others.retain(|name| name == own);
    for number in 0..40 {
        let view = if number % 2 == 0 { &others } else { &names };
        views.set(10_000 + number, Some(view.clone()));
    }
    expect_that!(views.is_owner(10_100, own, &id), eq(false));
    expect_that!(views.is_owner(14_000, own, &id), eq(true));
}

#[gtest]
fn daemons_that_go_in_a_row_do_not_add_up_at_a_cold_back_end() {
    const HAND_OVER_MS: u64 = 3_500;
    const PER_SECOND: f64 = 9.9;
    let limits = ColdLimits {
        overage: 1.5,
        slack: 5.0,
    };
    let share = limits.share_of_owner(PER_SECOND);
    let bound = PER_SECOND * limits.overage + limits.slack;
    let sent = sent_to_a_cold_back_end(HAND_OVER_MS, share);
    expect_that!(most_in_a_second(&sent) as f64, le(bound));
    // Once the last of them must have noticed, another one takes over.
    expect_that!(sent.last(), some(ge(&19_000)));
    // Without the hand-over time they add up.
    let sent = sent_to_a_cold_back_end(0, share);
    expect_that!(most_in_a_second(&sent) as f64, gt(bound));
}
