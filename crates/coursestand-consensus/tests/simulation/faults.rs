//! Faults, and sequences of them.

use proptest::prelude::*;

/// Most disks that a group may lose at once.
const MAX_LOST_DISKS: usize = 2;

#[derive(Clone, Debug)]
pub enum Fault {
    Wait {
        steps: u8,
    },
    Propose {
        node: u8,
    },
    /// Proposes commands to whichever replica leads.
    ProposeMany {
        commands: u16,
    },
    Cut {
        from: u8,
        to: u8,
    },
    Isolate {
        node: u8,
    },
    Heal,
    Crash {
        node: u8,
        before_sync: bool,
    },
    Restart {
        node: u8,
    },
    Pause {
        node: u8,
    },
    Resume {
        node: u8,
    },
    Compact {
        node: u8,
    },
    /// Empties as many disks as the group may lose at once, if the replacements of those that
    /// were lost before vote.
    LoseDisks {
        nodes: Vec<u8>,
    },
    /// Crashes and restarts all replicas; some of them lose their disks as well.
    LosePower {
        lost: Vec<u8>,
    },
    /// Ends all faults until the group has recovered.
    CatchUp,
    Transfer {
        node: u8,
    },
    /// Makes each further sync take this many steps.
    SlowDisk {
        node: u8,
        steps: u8,
    },
}

fn node() -> impl Strategy<Value = u8> + Clone {
    0..60_u8
}

fn nodes(min: usize) -> impl Strategy<Value = Vec<u8>> {
    prop::collection::vec(node(), min..=MAX_LOST_DISKS)
}

/// Generates a fault, a proposal or a wait.
pub fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        16 => (1..80_u8).prop_map(|steps| Fault::Wait { steps }),
        12 => node().prop_map(|node| Fault::Propose { node }),
        1 => (1..100_u16).prop_map(|commands| Fault::ProposeMany { commands }),
        2 => (node(), node()).prop_map(|(from, to)| Fault::Cut { from, to }),
        2 => node().prop_map(|node| Fault::Isolate { node }),
        4 => Just(Fault::Heal),
        4 => (node(), any::<bool>())
            .prop_map(|(node, before_sync)| Fault::Crash { node, before_sync }),
        6 => node().prop_map(|node| Fault::Restart { node }),
        2 => node().prop_map(|node| Fault::Pause { node }),
        4 => node().prop_map(|node| Fault::Resume { node }),
        2 => node().prop_map(|node| Fault::Compact { node }),
        2 => nodes(1).prop_map(|nodes| Fault::LoseDisks { nodes }),
        1 => nodes(0).prop_map(|lost| Fault::LosePower { lost }),
        2 => node().prop_map(|node| Fault::Transfer { node }),
        4 => (node(), prop_oneof![Just(0), 1..10_u8, 50..200_u8])
            .prop_map(|(node, steps)| Fault::SlowDisk { node, steps }),
    ]
}

/// One replica stops receiving another's messages and campaigns; then the other one is
/// isolated. An old and a new leader could both serve at that moment.
pub fn one_way_partition() -> impl Strategy<Value = Vec<Fault>> {
    (0..3_u8, 0..3_u8, 50..150_u8).prop_map(|(from, to, steps)| {
        vec![
            Fault::Wait { steps: 250 },
            Fault::Cut { from, to },
            Fault::Wait { steps },
            Fault::Isolate { node: from },
            Fault::Wait { steps: 60 },
        ]
    })
}

/// Loses disks several times, each time after the group has recovered and some other replica
/// may lead; the last time all replicas crash as well.
pub fn repeated_losses() -> impl Strategy<Value = Vec<Fault>> {
    let rounds = prop::collection::vec(loss(), 1..4);
    (rounds, 0..400_u16, node(), nodes(0)).prop_map(|(rounds, commands, leader, lost)| {
        let mut faults = vec![Fault::Wait { steps: 100 }];
        faults.extend(rounds.into_iter().flatten());
        faults.extend([
            Fault::Transfer { node: leader },
            Fault::Wait { steps: 50 },
            Fault::ProposeMany { commands },
            Fault::Wait { steps: 50 },
            Fault::LosePower { lost },
        ]);
        faults
    })
}

fn loss() -> impl Strategy<Value = Vec<Fault>> {
    (0..400_u16, node(), nodes(1)).prop_flat_map(|(commands, leader, lost)| {
        let during = prop_oneof![
            3 => prop::collection::vec(fault(), 0..4),
            2 => silence(lost[0]),
        ];
        during.prop_map(move |during| {
            let mut faults = vec![
                Fault::Transfer { node: leader },
                Fault::Wait { steps: 20 },
                Fault::ProposeMany { commands },
                Fault::Wait { steps: 50 },
                Fault::LoseDisks {
                    nodes: lost.clone(),
                },
            ];
            faults.extend(during);
            faults.push(Fault::CatchUp);
            faults
        })
    })
}

/// Silences a replica for as long as it takes until the leader removes it.
fn silence(node: u8) -> impl Strategy<Value = Vec<Fault>> {
    (20..120_u8, any::<bool>()).prop_map(move |(steps, is_paused)| {
        let silence = if is_paused {
            Fault::Pause { node }
        } else {
            Fault::Isolate { node }
        };
        vec![
            Fault::Wait { steps },
            silence,
            Fault::Wait { steps: 200 },
            Fault::Wait { steps: 200 },
        ]
    })
}
