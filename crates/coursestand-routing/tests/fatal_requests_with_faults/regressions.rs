//! Schedules that violate or have violated the limits in [`crate::limits`], stored by value so
//! that they are still tested after a change to the generator.

use googletest::prelude::*;

use crate::limits::{
    MAX_CRASHES, MAX_HARMLESS_QUARANTINES, MAX_SENDS_AFTER_THIRD_CRASH, has_few_preventable_crashes,
};
use crate::schedule::{Outcome, Schedule, Sharing};
use crate::simulation::Simulation;

/// The seed of a [`Simulation`] and its schedule.
type SeededSchedule = (u64, Schedule);

/// Schedules within the limits. Guards against more than five crashes (the first schedule) and
/// more than one quarantine of a harmless request (the others).
const WITHIN_LIMITS: [SeededSchedule; 3] = [
    (
        217,
        Schedule {
            daemons: 12,
            controls: 3,
            rate: 0.5447168840203741,
            kills_ms: 3998.512160603674,
            control_kills_ms: 5512.101207722419,
            disconnects_ms: 3205.208347273295,
            freezes_ms: 15909.038273075737,
            loss: 0.1,
        },
    ),
    (
        4165,
        Schedule {
            daemons: 4,
            controls: 5,
            rate: 3.75915227291999,
            kills_ms: 734.3371621103724,
            control_kills_ms: 6813.585813887964,
            disconnects_ms: 0.0,
            freezes_ms: 8371.253884756065,
            loss: 0.1,
        },
    ),
    (
        4195,
        Schedule {
            daemons: 9,
            controls: 5,
            rate: 2.4114078693295498,
            kills_ms: 3896.0385461826104,
            control_kills_ms: 14109.272997413855,
            disconnects_ms: 0.0,
            freezes_ms: 7096.4458019254025,
            loss: 0.1,
        },
    ),
];

/// More than five crashes.
const TOO_MANY_CRASHES: [SeededSchedule; 10] = [
    (
        333,
        Schedule {
            daemons: 4,
            controls: 3,
            rate: 1.50488168088856,
            kills_ms: 3632.786308551092,
            control_kills_ms: 0.0,
            disconnects_ms: 19700.645881229873,
            freezes_ms: 8315.62894471584,
            loss: 0.1,
        },
    ),
    (
        445,
        Schedule {
            daemons: 15,
            controls: 3,
            rate: 2.858456432227456,
            kills_ms: 2265.0358993141117,
            control_kills_ms: 5837.844032448432,
            disconnects_ms: 13293.27634033392,
            freezes_ms: 14415.229843622728,
            loss: 0.0,
        },
    ),
    (
        648,
        Schedule {
            daemons: 20,
            controls: 5,
            rate: 3.8954540715862067,
            kills_ms: 3566.4919856878905,
            control_kills_ms: 9685.906925268408,
            disconnects_ms: 3945.0699054007396,
            freezes_ms: 7072.285312009444,
            loss: 0.0,
        },
    ),
    (
        712,
        Schedule {
            daemons: 12,
            controls: 3,
            rate: 3.873395385280104,
            kills_ms: 3174.684692002338,
            control_kills_ms: 0.0,
            disconnects_ms: 11941.920614731349,
            freezes_ms: 0.0,
            loss: 0.1,
        },
    ),
    (
        748,
        Schedule {
            daemons: 7,
            controls: 3,
            rate: 1.811754646939641,
            kills_ms: 2427.017486577108,
            control_kills_ms: 0.0,
            disconnects_ms: 0.0,
            freezes_ms: 15926.249192537873,
            loss: 0.1,
        },
    ),
    (
        854,
        Schedule {
            daemons: 14,
            controls: 3,
            rate: 3.633971729800056,
            kills_ms: 889.1085391847496,
            control_kills_ms: 0.0,
            disconnects_ms: 3600.0231869434856,
            freezes_ms: 16454.675088294625,
            loss: 0.1,
        },
    ),
    (
        869,
        Schedule {
            daemons: 11,
            controls: 5,
            rate: 3.8460070139254507,
            kills_ms: 0.0,
            control_kills_ms: 12595.796143088077,
            disconnects_ms: 10271.113466379567,
            freezes_ms: 4940.646667757914,
            loss: 0.1,
        },
    ),
    (
        1033,
        Schedule {
            daemons: 9,
            controls: 3,
            rate: 2.439231775623404,
            kills_ms: 0.0,
            control_kills_ms: 4473.17199759479,
            disconnects_ms: 14249.055808306515,
            freezes_ms: 14174.48877829349,
            loss: 0.1,
        },
    ),
    (
        1106,
        Schedule {
            daemons: 19,
            controls: 3,
            rate: 3.056035693543755,
            kills_ms: 0.0,
            control_kills_ms: 12209.413835385114,
            disconnects_ms: 13515.463658817913,
            freezes_ms: 0.0,
            loss: 0.1,
        },
    ),
    (
        1135,
        Schedule {
            daemons: 19,
            controls: 3,
            rate: 3.2985754617752066,
            kills_ms: 0.0,
            control_kills_ms: 0.0,
            disconnects_ms: 0.0,
            freezes_ms: 19594.436360076415,
            loss: 0.1,
        },
    ),
];

/// More than three sends after the third crash.
const TOO_MANY_SENDS: [SeededSchedule; 8] = [
    (
        574,
        Schedule {
            daemons: 7,
            controls: 3,
            rate: 1.1554673558326052,
            kills_ms: 2899.2785295830427,
            control_kills_ms: 6920.4112648342225,
            disconnects_ms: 0.0,
            freezes_ms: 5064.155906685087,
            loss: 0.0,
        },
    ),
    (
        1506,
        Schedule {
            daemons: 3,
            controls: 3,
            rate: 2.733159120859986,
            kills_ms: 921.6984025810339,
            control_kills_ms: 8049.995080394116,
            disconnects_ms: 0.0,
            freezes_ms: 9074.329020035344,
            loss: 0.1,
        },
    ),
    (
        2949,
        Schedule {
            daemons: 4,
            controls: 5,
            rate: 1.791554237274895,
            kills_ms: 956.0412439089525,
            control_kills_ms: 0.0,
            disconnects_ms: 3036.1013815064775,
            freezes_ms: 8224.284834809547,
            loss: 0.1,
        },
    ),
    (
        3089,
        Schedule {
            daemons: 3,
            controls: 3,
            rate: 0.4967178124185041,
            kills_ms: 1058.550360599089,
            control_kills_ms: 8703.947767364778,
            disconnects_ms: 0.0,
            freezes_ms: 12813.035821109062,
            loss: 0.0,
        },
    ),
    (
        3768,
        Schedule {
            daemons: 3,
            controls: 5,
            rate: 3.7658872349330457,
            kills_ms: 0.0,
            control_kills_ms: 14223.498536472138,
            disconnects_ms: 9770.368091575181,
            freezes_ms: 11582.412206892626,
            loss: 0.0,
        },
    ),
    (
        4031,
        Schedule {
            daemons: 3,
            controls: 5,
            rate: 3.9385470737726624,
            kills_ms: 1274.0654926120742,
            control_kills_ms: 0.0,
            disconnects_ms: 13296.2239809847,
            freezes_ms: 0.0,
            loss: 0.1,
        },
    ),
    (
        4076,
        Schedule {
            daemons: 20,
            controls: 3,
            rate: 1.07751415907115,
            kills_ms: 3294.653136470933,
            control_kills_ms: 4023.435529066812,
            disconnects_ms: 0.0,
            freezes_ms: 0.0,
            loss: 0.1,
        },
    ),
    (
        4301,
        Schedule {
            daemons: 8,
            controls: 3,
            rate: 3.21033657521456,
            kills_ms: 2332.5902937402616,
            control_kills_ms: 9217.219715338051,
            disconnects_ms: 12679.884623729142,
            freezes_ms: 0.0,
            loss: 0.1,
        },
    ),
];

/// More than one quarantine of a harmless request.
const TOO_MANY_QUARANTINES: [SeededSchedule; 1] = [(
    1152,
    Schedule {
        daemons: 19,
        controls: 3,
        rate: 3.431823964855987,
        kills_ms: 3704.66614929236,
        control_kills_ms: 12657.82165030757,
        disconnects_ms: 5307.057723667011,
        freezes_ms: 0.0,
        loss: 0.1,
    },
)];

/// More preventable crashes than [`has_few_preventable_crashes`] allows.
const TOO_MANY_PREVENTABLE_CRASHES: [SeededSchedule; 4] = [
    (
        1786,
        Schedule {
            daemons: 3,
            controls: 5,
            rate: 6.394942375376334,
            kills_ms: 0.0,
            control_kills_ms: 0.0,
            disconnects_ms: 19265.12621715705,
            freezes_ms: 3058.1209020143046,
            loss: 0.2,
        },
    ),
    (
        3784,
        Schedule {
            daemons: 9,
            controls: 5,
            rate: 8.605930913796744,
            kills_ms: 2116.8560304157454,
            control_kills_ms: 0.0,
            disconnects_ms: 0.0,
            freezes_ms: 17736.006230123145,
            loss: 0.1,
        },
    ),
    (
        6618,
        Schedule {
            daemons: 3,
            controls: 3,
            rate: 7.9555215406318,
            kills_ms: 0.0,
            control_kills_ms: 0.0,
            disconnects_ms: 0.0,
            freezes_ms: 0.0,
            loss: 0.2,
        },
    ),
    (
        8542,
        Schedule {
            daemons: 11,
            controls: 3,
            rate: 4.7937198759515365,
            kills_ms: 0.0,
            control_kills_ms: 3834.9443647327425,
            disconnects_ms: 17340.332076430925,
            freezes_ms: 0.0,
            loss: 0.2,
        },
    ),
];

fn expect_within_limit(schedules: &[SeededSchedule], is_within_limit: impl Fn(&Outcome) -> bool) {
    for (seed, schedule) in schedules {
        let outcome = Simulation::new(*schedule, Sharing::CrashRecords, *seed).run();
        expect_that!(
            is_within_limit(&outcome),
            eq(true),
            "seed {seed}:\n{}",
            outcome.trace()
        );
    }
}

#[gtest]
fn listed_schedules_stay_within_the_limits() {
    let [for_crashes, for_quarantines @ ..] = &WITHIN_LIMITS;
    expect_within_limit(std::slice::from_ref(for_crashes), |outcome| {
        outcome.crashes.len() <= MAX_CRASHES
    });
    expect_within_limit(for_quarantines, |outcome| {
        outcome.max_harmless_quarantines <= MAX_HARMLESS_QUARANTINES
    });
}

#[gtest]
fn listed_schedules_crash_at_most_five_back_ends() {
    expect_within_limit(&TOO_MANY_CRASHES, |outcome| {
        outcome.crashes.len() <= MAX_CRASHES
    });
}

#[gtest]
fn listed_schedules_send_at_most_three_times_after_the_third_crash() {
    expect_within_limit(&TOO_MANY_SENDS, |outcome| {
        outcome.sends_after_third_crash() <= MAX_SENDS_AFTER_THIRD_CRASH
    });
}

#[gtest]
fn listed_schedules_quarantine_a_harmless_request_at_most_once() {
    expect_within_limit(&TOO_MANY_QUARANTINES, |outcome| {
        outcome.max_harmless_quarantines <= MAX_HARMLESS_QUARANTINES
    });
}

#[gtest]
fn listed_schedules_have_few_preventable_crashes() {
    expect_within_limit(&TOO_MANY_PREVENTABLE_CRASHES, has_few_preventable_crashes);
}
