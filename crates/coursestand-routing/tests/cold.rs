//! Limits on the requests to cold back ends, summed over all daemons.
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
    /// Two daemons that both consider themselves the owner of a cold back end stay within its
    /// limit in any second.
    #[test]
    fn two_concurrent_owners_stay_within_the_limit_of_a_cold_back_end(
        per_second in 1.0..200.0_f64,
        times in proptest::collection::vec(0..5_000_u64, 1..800),
    ) {
        let limits = ColdLimits { overage: 1.5, slack: 5.0 };
        let share = limits.owner_share(per_second);
        let id = BackendId::from("i");
        let mut times = times;
        times.sort_unstable();
        let mut gates = [ColdGate::default(), ColdGate::default()];
        let mut sent = Vec::new();
        for (number, at) in times.into_iter().enumerate() {
            let gate = &mut gates[number % 2];
            if gate.has_capacity(at, &id, share) {
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

/// Simulates that five of twelve daemons lose their connections to control in succession
/// within a second, and each keeps its last view for two and a half seconds. Returns the
/// times at which requests were sent to a cold back end.
fn times_sent_to_a_cold_back_end(hand_over_ms: u64, share: usize) -> Vec<u64> {
    const DETECTION_MS: u64 = 2_500;
    let id = BackendId::from("cold");
    let names: Vec<String> = daemons().into_iter().collect();
    let mut views = vec![OwnerViews::new(hand_over_ms); names.len()];
    let mut gates = vec![ColdGate::default(); names.len()];
    // The owners by rendezvous hashing are disconnected in the order of their rank.
    let mut remaining = daemons();
    let mut disconnected_at = BTreeMap::new();
    for number in 0..5 {
        let first = owner(&id, remaining.iter().map(String::as_str))
            .expect("an owner")
            .to_owned();
        remaining.remove(&first);
        disconnected_at.insert(first, 10_000 + number * 200);
    }
    let mut sent = Vec::new();
    for now in (0..20_000_u64).step_by(10) {
        let connected: BTreeSet<String> = names
            .iter()
            .filter(|name| disconnected_at.get(*name).is_none_or(|at| now < *at))
            .cloned()
            .collect();
        for (number, name) in names.iter().enumerate() {
            let view = match disconnected_at.get(name) {
                Some(at) if now >= at + DETECTION_MS => None,
                // It receives no updates and keeps its last view.
                Some(at) if now >= *at => views[number].current().cloned(),
                _ => Some(connected.clone()),
            };
            views[number].set(now, view);
            let may_send = views[number].is_owner(now, name, &id);
            if may_send && gates[number].has_capacity(now, &id, share) {
                gates[number].note(now, &id);
                sent.push(now);
            }
        }
    }
    sent
}

fn max_in_a_second(sent: &[u64]) -> usize {
    let from = |start: u64| {
        let window = start..start + 1_000;
        sent.iter().filter(|at| window.contains(*at)).count()
    };
    sent.iter().map(|start| from(*start)).max().unwrap_or(0)
}

#[gtest]
fn a_daemon_with_too_many_recent_views_owns_nothing_until_they_expire() {
    const HAND_OVER_MS: u64 = 3_500;
    let id = BackendId::from("cold");
    let names = daemons();
    let local_daemon = owner(&id, names.iter().map(String::as_str)).expect("an owner");
    let mut views = OwnerViews::new(HAND_OVER_MS);
    views.set(0, Some(names.clone()));
    expect_that!(views.is_owner(10_000, local_daemon, &id), eq(true));
    // Daemons that are never the owner leave and join repeatedly.
    let mut only_owner = names.clone();
    only_owner.retain(|name| name == local_daemon);
    for number in 0..40 {
        let view = if number % 2 == 0 { &only_owner } else { &names };
        views.set(10_000 + number, Some(view.clone()));
    }
    expect_that!(views.is_owner(10_100, local_daemon, &id), eq(false));
    expect_that!(views.is_owner(14_000, local_daemon, &id), eq(true));
}

#[gtest]
fn daemons_disconnected_in_succession_do_not_exceed_the_limit_of_a_cold_back_end() {
    const HAND_OVER_MS: u64 = 3_500;
    const PER_SECOND: f64 = 9.9;
    let limits = ColdLimits {
        overage: 1.5,
        slack: 5.0,
    };
    let share = limits.owner_share(PER_SECOND);
    let bound = PER_SECOND * limits.overage + limits.slack;
    let sent = times_sent_to_a_cold_back_end(HAND_OVER_MS, share);
    expect_that!(max_in_a_second(&sent) as f64, le(bound));
    // Another daemon takes over once the last of them must have detected it.
    expect_that!(sent.last(), some(ge(&19_000)));
    // Without the hand-over time they exceed the limit.
    let sent = times_sent_to_a_cold_back_end(0, share);
    expect_that!(max_in_a_second(&sent) as f64, gt(bound));
}
