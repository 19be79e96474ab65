//! Benchmarks of one decision (admission and release of the slot) with 400 back ends in
//! 41 zones, and of one look-up in a table of 350,000 client blocks.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::IpAddr;

use coursestand_coordination::shares::{ShareKey, ShareVector};
use coursestand_coordination::tables::{BundleInForce, Tables};
use coursestand_model::bundle::{
    ClientBlock, Latency, Lookup, Once, Policy, Region, Service, ShiftCap,
};
use coursestand_model::platform::{BackendState, PlatformBackend};
use coursestand_model::{BackendId, Bundle, DaemonId, ServiceId, ZoneId};
use coursestand_steering::clients::ClientBlocks;
use coursestand_steering::{Admission, Steering};
use criterion::{Criterion, criterion_group, criterion_main};

const ZONES: usize = 41;
const BACKENDS: usize = 400;
const CLIENT_BLOCKS: u32 = 350_000;

fn zone(index: usize) -> ZoneId {
    ZoneId(format!("zone-{index:02}"))
}

fn bundle() -> Bundle {
    Bundle {
        name: "bench".to_owned(),
        version: 1,
        regions: vec![Region {
            id: "region".into(),
            zones: (0..ZONES).map(zone).collect(),
            capacity: u32::MAX,
        }],
        links: Vec::new(),
        latency_ms: Latency {
            between_zones: 1.0,
            between_regions: 10.0,
            to_clients: 3.0,
        },
        services: vec![Service {
            id: "service".into(),
            repeatable: true,
            policy: Policy::Headroom {},
            shift_cap: ShiftCap {
                share_bp: 1000,
                window_ms: 5000,
            },
            deadline_ms: 1000,
            queue_ms: 10,
            max_body_bytes: 1024,
        }],
        clients: Vec::new(),
        lookup: Lookup {
            lifetime_ms: 5000,
            answers: 3,
        },
        once: Once {
            retention_ms: 1000,
            clock_skew_ms: 1000,
        },
    }
}

fn steering() -> Steering {
    let daemon = DaemonId::default();
    let mut tables = Tables {
        version: 1,
        ..Tables::default()
    };
    let content = serde_json::to_string(&bundle()).expect("a bundle is JSON");
    let in_force = BundleInForce {
        revision: 1,
        content,
    };
    tables.bundle.set((), in_force, 1);
    let mut slots = BTreeMap::new();
    for index in 0..BACKENDS {
        let id = BackendId(format!("site-{index:03}"));
        let record = PlatformBackend {
            id: id.clone(),
            service: "service".into(),
            zone: zone(index % ZONES),
            address: "127.0.0.1:1".to_owned(),
            slots: 4,
            connections: 130,
            epoch: 1,
            state: BackendState::Live,
        };
        tables.backends.set(id.clone(), record, 1);
        slots.insert(id, 4);
    }
    tables.slots.set(daemon.clone(), slots, 1);
    let weights = (0..ZONES).map(|index| (zone(index), 1)).collect();
    let shares = ShareVector::in_proportion(&weights).expect("weights are above 0");
    let key = ShareKey {
        service: "service".into(),
        origin: zone(0),
    };
    tables.shares.set(key, shares, 1);
    let mut steering = Steering::new(daemon);
    steering.apply(&tables).expect("the bundle is valid");
    steering
}

fn decision(criterion: &mut Criterion) {
    let mut steering = steering();
    let (service, origin) = (ServiceId::from("service"), zone(0));
    criterion.bench_function("decision/400-sites-41-zones", |bencher| {
        bencher.iter(|| {
            let admission = steering.admit(black_box(&service), black_box(&origin));
            if let Admission::Dispatch(ticket) = &admission {
                steering.release_slot(ticket);
            }
            admission
        });
    });
}

fn client_blocks(criterion: &mut Criterion) {
    let blocks: Vec<ClientBlock> = (0..CLIENT_BLOCKS)
        .map(|index| {
            let address = std::net::Ipv4Addr::from((10 << 24) | (index << 4));
            ClientBlock {
                block: ipnet::Ipv4Net::new(address, 28)
                    .expect("28 bits fit")
                    .into(),
                zone: zone(index as usize % ZONES),
            }
        })
        .collect();
    let table = ClientBlocks::new(&blocks);
    let mut index = 0_u32;
    criterion.bench_function("client-block/350000-blocks", |bencher| {
        bencher.iter(|| {
            index = index.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let address = (10 << 24) | (index % (CLIENT_BLOCKS << 4));
            table
                .zone_of(black_box(IpAddr::V4(address.into())))
                .is_some()
        });
    });
}

criterion_group!(benches, decision, client_blocks);
criterion_main!(benches);
