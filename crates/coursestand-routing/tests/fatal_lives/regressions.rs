//! Schedules found to violate the limits in [`crate::limits`], stored by value so that they are
//! still tested after a change to the generator.

use googletest::prelude::*;

use crate::limits::{
    MOST_ENDS, MOST_INNOCENT_CONVICTIONS, MOST_SENDS_AFTER_THIRD_END, has_few_preventable_ends,
};
use crate::schedule::{Outcome, Schedule, Sharing};
use crate::world::World;

/// The seed of a [`World`] and its schedule.
type SeededSchedule = (u64, Schedule);

/// Formerly more than five ends (the first schedule), or more than one conviction of an
/// innocent request (the others).
const WITHIN_LIMITS: [SeededSchedule; 3] = [
    (
        217,
        Schedule {
            daemons: 12,
            controls: 3,
            rate: 0.5447168840203741,
            kills_ms: 3998.512160603674,
            control_kills_ms: 5512.101207722419,
            cuts_ms: 3205.208347273295,
            stops_ms: 15909.038273075737,
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
            cuts_ms: 0.0,
            stops_ms: 8371.253884756065,
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
            cuts_ms: 0.0,
            stops_ms: 7096.4458019254025,
            loss: 0.1,
        },
    ),
];

/// More than five ends.
const TOO_MANY_ENDS: [SeededSchedule; 10] = [
    (
        333,
        Schedule {
            daemons: 4,
            controls: 3,
            rate: 1.50488168088856,
            kills_ms: 3632.786308551092,
            control_kills_ms: 0.0,
            cuts_ms: 19700.645881229873,
            stops_ms: 8315.62894471584,
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
            cuts_ms: 13293.27634033392,
            stops_ms: 14415.229843622728,
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
            cuts_ms: 3945.0699054007396,
            stops_ms: 7072.285312009444,
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
            cuts_ms: 11941.920614731349,
            stops_ms: 0.0,
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
            cuts_ms: 0.0,
            stops_ms: 15926.249192537873,
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
            cuts_ms: 3600.0231869434856,
            stops_ms: 16454.675088294625,
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
            cuts_ms: 10271.113466379567,
            stops_ms: 4940.646667757914,
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
            cuts_ms: 14249.055808306515,
            stops_ms: 14174.48877829349,
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
            cuts_ms: 13515.463658817913,
            stops_ms: 0.0,
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
            cuts_ms: 0.0,
            stops_ms: 19594.436360076415,
            loss: 0.1,
        },
    ),
];

/// More than three sends after the third end.
const TOO_MANY_SENDS: [SeededSchedule; 8] = [
    (
        574,
        Schedule {
            daemons: 7,
            controls: 3,
            rate: 1.1554673558326052,
            kills_ms: 2899.2785295830427,
            control_kills_ms: 6920.4112648342225,
            cuts_ms: 0.0,
            stops_ms: 5064.155906685087,
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
            cuts_ms: 0.0,
            stops_ms: 9074.329020035344,
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
            cuts_ms: 3036.1013815064775,
            stops_ms: 8224.284834809547,
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
            cuts_ms: 0.0,
            stops_ms: 12813.035821109062,
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
            cuts_ms: 9770.368091575181,
            stops_ms: 11582.412206892626,
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
            cuts_ms: 13296.2239809847,
            stops_ms: 0.0,
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
            cuts_ms: 0.0,
            stops_ms: 0.0,
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
            cuts_ms: 12679.884623729142,
            stops_ms: 0.0,
            loss: 0.1,
        },
    ),
];

/// More than one conviction of an innocent request.
const TOO_MANY_CONVICTIONS: [SeededSchedule; 1] = [(
    1152,
    Schedule {
        daemons: 19,
        controls: 3,
        rate: 3.431823964855987,
        kills_ms: 3704.66614929236,
        control_kills_ms: 12657.82165030757,
        cuts_ms: 5307.057723667011,
        stops_ms: 0.0,
        loss: 0.1,
    },
)];

/// More preventable ends than [`has_few_preventable_ends`] allows.
const TOO_MANY_PREVENTABLE_ENDS: [SeededSchedule; 4] = [
    (
        1786,
        Schedule {
            daemons: 3,
            controls: 5,
            rate: 6.394942375376334,
            kills_ms: 0.0,
            control_kills_ms: 0.0,
            cuts_ms: 19265.12621715705,
            stops_ms: 3058.1209020143046,
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
            cuts_ms: 0.0,
            stops_ms: 17736.006230123145,
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
            cuts_ms: 0.0,
            stops_ms: 0.0,
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
            cuts_ms: 17340.332076430925,
            stops_ms: 0.0,
            loss: 0.2,
        },
    ),
];

fn expect_within_limit(schedules: &[SeededSchedule], is_within_limit: impl Fn(&Outcome) -> bool) {
    for (seed, schedule) in schedules {
        let outcome = World::new(*schedule, Sharing::Cases, *seed).play();
        expect_that!(
            is_within_limit(&outcome),
            eq(true),
            "seed {seed}:\n{}",
            outcome.trace()
        );
    }
}

#[gtest]
fn listed_schedules_that_stay_within_the_limits() {
    let [for_ends, for_convictions @ ..] = &WITHIN_LIMITS;
    expect_within_limit(std::slice::from_ref(for_ends), |outcome| {
        outcome.ends.len() <= MOST_ENDS
    });
    expect_within_limit(for_convictions, |outcome| {
        outcome.innocent_convictions <= MOST_INNOCENT_CONVICTIONS
    });
}

#[gtest]
fn listed_schedules_end_five_back_ends_at_most() {
    expect_within_limit(&TOO_MANY_ENDS, |outcome| outcome.ends.len() <= MOST_ENDS);
}

#[gtest]
fn listed_schedules_send_three_times_at_most_after_the_third_end() {
    expect_within_limit(&TOO_MANY_SENDS, |outcome| {
        outcome.sends_after_third_end() <= MOST_SENDS_AFTER_THIRD_END
    });
}

#[gtest]
fn listed_schedules_convict_an_innocent_request_once_at_most() {
    expect_within_limit(&TOO_MANY_CONVICTIONS, |outcome| {
        outcome.innocent_convictions <= MOST_INNOCENT_CONVICTIONS
    });
}

#[gtest]
fn listed_schedules_have_few_preventable_ends() {
    expect_within_limit(&TOO_MANY_PREVENTABLE_ENDS, has_few_preventable_ends);
}
