//! The completion time estimate, and the selection of a back end by it.
#![allow(missing_docs)]

use coursestand_routing::completion::{Candidate, choose};
use coursestand_routing::ranking::{first_ranked, score};
use coursestand_routing::warm_objects::WarmObjects;
use coursestand_routing::work_times::{Average, Quantile, Work, WorkTimes};
use googletest::prelude::*;
use proptest::prelude::*;

const HARD_LOAD: f64 = 1.6;

fn candidate(load: f64, is_first: bool, is_warm: bool) -> Candidate {
    Candidate {
        load,
        slots: 5.0,
        is_first,
        is_warm,
    }
}

fn work(warm_ms: f64, first_run_ms: f64) -> Work {
    Work {
        warm_ms,
        first_run_ms,
        mean_ms: warm_ms,
    }
}

#[gtest]
fn a_short_queue_at_the_first_back_end_beats_a_first_run_elsewhere() {
    let candidates = [candidate(7.0, true, true), candidate(0.0, false, false)];
    let chosen = choose(&candidates, Some(&work(100.0, 250.0)), 400.0, HARD_LOAD);
    expect_that!(chosen, ok(eq(0)));
}

#[gtest]
fn without_a_first_run_cost_the_shortest_queue_is_chosen() {
    let candidates = [candidate(7.0, true, true), candidate(0.0, false, false)];
    let chosen = choose(&candidates, Some(&work(100.0, 0.0)), 400.0, HARD_LOAD);
    expect_that!(chosen, ok(eq(1)));
}

#[gtest]
fn a_request_is_admitted_above_the_hard_load_if_it_meets_its_objective() {
    let candidates = [candidate(12.0, true, true)];
    let work = work(100.0, 250.0);
    expect_that!(
        choose(&candidates, Some(&work), 400.0, HARD_LOAD),
        ok(eq(0))
    );
    let refused = choose(&candidates, Some(&work), 200.0, HARD_LOAD);
    let drained_in_ms = refused.expect_err("busy").drained_in_ms;
    // A queue of eight at five slots takes 160 ms, followed by 100 ms of work; the limit is
    // 180 ms.
    expect_that!(drained_in_ms, near(100.0, 0.01));
}

#[gtest]
fn without_known_work_times_the_first_that_does_not_refuse_is_chosen_up_to_the_hard_load() {
    let below = [candidate(7.9, true, true), candidate(0.0, false, false)];
    expect_that!(choose(&below, None, 400.0, HARD_LOAD), ok(eq(0)));
    let above = [candidate(8.0, true, true), candidate(0.0, false, false)];
    expect_that!(choose(&above, None, 400.0, HARD_LOAD), err(anything()));
    let refusing = [candidate(20.0, true, true), candidate(0.0, false, false)];
    expect_that!(choose(&refusing, None, 400.0, HARD_LOAD), ok(eq(1)));
    expect_that!(choose(&[], None, 400.0, HARD_LOAD), err(anything()));
    let without_candidates = choose(&[], Some(&work(1.0, 1.0)), 400.0, HARD_LOAD);
    expect_that!(without_candidates, err(anything()));
}

#[gtest]
fn some_evicted_objects_do_not_distort_the_first_run_cost() {
    let mut times = WorkTimes::default();
    for number in 0..400 {
        // A third of the objects that count as warm have been evicted.
        times.record(true, if number % 3 == 0 { 400.0 } else { 100.0 });
        // A third of the others are warm through other daemons.
        times.record(false, if number % 3 == 0 { 100.0 } else { 400.0 });
    }
    let first_run_ms = times.work().expect("known").first_run_ms;
    expect_that!(first_run_ms, all![ge(250.0), le(350.0)]);
}

#[gtest]
fn a_back_end_stays_warm_for_an_object_for_some_seconds() {
    let mut warm_objects = WarmObjects::default();
    warm_objects.record(1_000, 7, 1);
    expect_that!(warm_objects.is_warm(20_000, 7, 1), eq(true));
    expect_that!(warm_objects.is_warm(20_000, 7, 2), eq(false));
    expect_that!(warm_objects.is_warm(20_000, 8, 1), eq(false));
    expect_that!(warm_objects.is_warm(21_000, 7, 1), eq(false));
}

#[gtest]
fn the_number_of_warm_objects_is_bounded() {
    let mut warm_objects = WarmObjects::default();
    for backend in 0..10 {
        warm_objects.record(0, 7, backend);
    }
    let warm = (0..10).filter(|backend| warm_objects.is_warm(1, 7, *backend));
    expect_that!(warm.collect::<Vec<u64>>(), elements_are![&6, &7, &8, &9]);
    for object in 0..20_000 {
        warm_objects.record(0, object, 1);
    }
    expect_that!(warm_objects.is_warm(1, 0, 1), eq(false));
    expect_that!(warm_objects.is_warm(1, 19_999, 1), eq(true));
}

#[gtest]
fn one_slow_back_end_does_not_distort_the_average() {
    let mut average = Average::default();
    for number in 0..1_000 {
        average.record(if number % 10 == 0 { 2_000.0 } else { 100.0 });
    }
    expect_that!(average.get(), some(le(130.0)));
}

proptest! {
    /// Compares the choice with that of a naive search with each cost written out.
    #[test]
    fn the_cheapest_candidate_is_chosen_or_all_are_busy(
        loads in proptest::collection::vec(0.0..40.0_f64, 1..4),
        is_warm in proptest::collection::vec(any::<bool>(), 4),
        slots in 1.0..8.0_f64,
        warm_ms in 5.0..500.0_f64,
        gain in 1.0..10.0_f64,
        objective_ms in 50.0..2_000.0_f64,
    ) {
        let work = work(warm_ms, warm_ms * (gain - 1.0));
        let candidates: Vec<Candidate> = loads
            .iter()
            .enumerate()
            .map(|(rank, load)| Candidate {
                load: *load,
                slots,
                is_first: rank == 0,
                is_warm: rank == 0 || is_warm[rank],
            })
            .collect();
        let cost = |index: usize| {
            let queue = if loads[index] + 1.0 > slots { loads[index] + 1.0 - slots } else { 0.0 };
            let waiting = queue * warm_ms / slots;
            let diversion = if index == 0 { 0.0 } else { 3.0 * warm_ms * (gain - 1.0) };
            waiting + warm_ms + diversion
        };
        match choose(&candidates, Some(&work), objective_ms, HARD_LOAD) {
            Ok(chosen) => {
                for other in 0..candidates.len() {
                    prop_assert!(cost(chosen) <= cost(other) + 1e-6);
                }
            }
            Err(busy) => {
                prop_assert!(busy.drained_in_ms >= 100.0 && busy.drained_in_ms <= 600.0);
                let cheapest = (0..candidates.len())
                    .min_by(|left, right| cost(*left).total_cmp(&cost(*right)))
                    .expect("at least one");
                prop_assert!(loads[cheapest] / slots >= HARD_LOAD);
                prop_assert!(candidates[cheapest].completion_ms(&work) > 0.9 * objective_ms);
            }
        }
    }

    /// Compares the ranking with that of a full sort.
    #[test]
    fn the_highest_ranks_equal_those_of_a_full_sort(
        key in any::<u64>(),
        hashes in proptest::collection::vec(any::<u64>(), 0..60),
        count in 1..5_usize,
    ) {
        let candidates = || hashes.iter().map(|hash| (*hash, *hash, 1.0));
        let mut sorted: Vec<u64> = hashes.clone();
        sorted.sort_by(|left, right| score(key, *right, 1.0).total_cmp(&score(key, *left, 1.0)));
        sorted.truncate(count);
        prop_assert_eq!(first_ranked(key, candidates(), count), sorted);
    }

    /// The fraction of times below the estimate is close to the quantile's share.
    #[test]
    fn a_quantile_converges(
        share in 0.1..0.9_f64,
        min_ms in 10.0..500.0_f64,
        spread in 0.1..5.0_f64,
    ) {
        const TIMES: usize = 101;
        // Coprime to the number of times, so that each round visits each time once.
        const STEP: usize = 37;
        let time_of = |number: usize| min_ms * (1.0 + spread * number as f64 / TIMES as f64);
        let mut quantile = Quantile::new(share);
        for number in 0..20 * TIMES {
            quantile.record(time_of(number * STEP % TIMES));
        }
        let value = quantile.get().expect("some");
        let below = (0..TIMES).filter(|number| time_of(*number) < value).count();
        let below = below as f64 / TIMES as f64;
        // One step is a sixteenth of the value, converted to a fraction of the spread.
        let step = (1.0 + spread) / spread / 16.0;
        prop_assert!((below - share).abs() < 0.1 + step, "{} of {}", below, share);
    }
}
