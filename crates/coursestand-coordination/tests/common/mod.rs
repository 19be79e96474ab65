//! Helpers shared by the tests of this crate.
#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;

use coursestand_coordination::command::StampedCommand;
use coursestand_coordination::signing::{SignoffPolicy, public_key_text, sign};
use coursestand_coordination::tables::{Member, MemberPhase};
use coursestand_coordination::{Command, CommandAnswer, ControlState};
use coursestand_model::bundle::{
    Bundle, Latency, Link, Lookup, Once, Policy, Region, Service, ShiftCap,
};
use coursestand_model::platform::{BackendState, PlatformBackend};
use coursestand_model::{DaemonId, SignedBundle, ZoneId};
use ed25519_dalek::SigningKey;
use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

pub const SHIFT_CAP: ShiftCap = ShiftCap {
    share_bp: 1_500,
    window_ms: 1_000,
};
pub const REGION_CAPACITY: u32 = 14;
pub const LINK_CAPACITY: u32 = 5;
pub const SLOTS_PER_BACKEND: u32 = 4;

/// Property test settings with a fixed seed, so that every run tests the same cases.
pub fn deterministic_config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

pub fn zone(index: usize) -> ZoneId {
    ZoneId(format!("zone-{index}"))
}

pub fn key() -> SigningKey {
    SigningKey::from_bytes(&[9; 32])
}

pub fn policy() -> SignoffPolicy {
    SignoffPolicy {
        operators: BTreeMap::from([("ada".to_owned(), public_key_text(&key()))]),
        required: 1,
    }
}

/// A bundle with two regions of two zones each and one service.
pub fn bundle(version: u64) -> Bundle {
    let region = |id: &str, zones: [usize; 2]| Region {
        id: id.into(),
        zones: zones.into_iter().map(zone).collect(),
        capacity: REGION_CAPACITY,
    };
    Bundle {
        name: "test".to_owned(),
        version,
        regions: vec![region("east", [0, 1]), region("west", [2, 3])],
        links: vec![Link {
            from: "east".into(),
            to: "west".into(),
            capacity: LINK_CAPACITY,
        }],
        latency_ms: Latency {
            between_zones: 1.0,
            between_regions: 10.0,
            to_clients: 1.0,
        },
        services: vec![Service {
            id: "desk".into(),
            repeatable: false,
            policy: Policy::Headroom {},
            shift_cap: SHIFT_CAP,
            deadline_ms: 2_000,
            queue_ms: 10,
            max_body_bytes: 1_000,
        }],
        clients: Vec::new(),
        lookup: Lookup {
            lifetime_ms: 1_000,
            answers: 2,
        },
        once: Once {
            retention_ms: 500,
            clock_skew_ms: 100,
        },
    }
}

pub fn signed(bundle: &Bundle) -> SignedBundle {
    let content = serde_json::to_string(bundle).expect("a bundle is JSON");
    let signatures = vec![sign("ada", &key(), content.as_bytes())];
    SignedBundle {
        content,
        signatures,
    }
}

pub fn backend(index: usize, epoch: u64, state: BackendState) -> PlatformBackend {
    PlatformBackend {
        id: format!("backend-{index}").as_str().into(),
        service: "desk".into(),
        zone: zone(index % 4),
        address: format!("127.0.0.1:{}", 1_000 + index),
        slots: SLOTS_PER_BACKEND,
        connections: 100,
        epoch,
        state,
    }
}

pub fn daemon(index: usize) -> DaemonId {
    DaemonId {
        name: format!("daemon-{index}"),
        incarnation: 1,
    }
}

pub fn member(index: usize) -> (String, Member) {
    let member = Member {
        incarnation: 1,
        zone: zone(index % 4),
        address: Some("127.0.0.1:1".to_owned()),
        phase: MemberPhase::Serving,
    };
    (daemon(index).name, member)
}

/// A control state with its log index and clocks.
pub struct Machine {
    pub state: ControlState,
    pub index: u64,
    pub clock: u64,
    pub wall_ms: u64,
}

impl Machine {
    /// Creates a machine with a bundle in force, back ends and daemons.
    pub fn started(backends: usize, daemons: usize) -> Machine {
        let mut machine = Machine {
            state: ControlState::default(),
            index: 0,
            clock: 0,
            wall_ms: 1_000_000,
        };
        machine.apply(Command::Initialize(policy()));
        machine.apply(Command::SubmitBundle {
            bundle: signed(&bundle(1)),
            expected_revision: 0,
            submission: "first".to_owned(),
        });
        let rows = (0..backends).map(|index| backend(index, 1, BackendState::Live));
        machine.apply(Command::UpdateBackends(rows.collect()));
        machine.apply(Command::UpdateMembers((0..daemons).map(member).collect()));
        machine
    }

    pub fn apply(&mut self, command: Command) -> CommandAnswer {
        self.index += 1;
        let stamped = StampedCommand {
            clock: self.clock,
            wall_ms: self.wall_ms,
            command,
        };
        self.state.apply(self.index, &stamped)
    }
}
