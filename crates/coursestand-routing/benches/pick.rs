//! Measures the selection of a back end among 20 and among 400 of a service.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::hint::black_box;
use std::net::SocketAddr;

use coursestand_catalog::Catalog;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, RegionId, ServiceId, ZoneId};
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::cold::{ColdLimits, OwnerViews};
use coursestand_routing::picker::{Balance, PickerConfig};
use coursestand_routing::{Backends, LimitAccess, PickRequest, Picker};
use criterion::{Criterion, criterion_group, criterion_main};

const ZONE: &str = "zone";
const SERVICE: &str = "service";
const COUNTS: [usize; 2] = [20, 400];

fn config() -> PickerConfig {
    PickerConfig {
        daemon: "edge-1".to_owned(),
        region: RegionId::from("region"),
        zones: BTreeMap::from([(ZoneId::from(ZONE), RegionId::from("region"))]),
        cold: ColdLimits {
            overage: 1.5,
            slack: 5.0,
        },
        balance: Balance {
            hard_load: 1.6,
            report_decay: ReportDecay {
                hold_ms: 250,
                half_life_ms: 400,
            },
        },
    }
}

fn backends(count: usize) -> Backends {
    let mut backends = Backends::default();
    for number in 0..count {
        let instance = Instance {
            id: BackendId(format!("i-{number}")),
            born: None,
            service: ServiceId::from(SERVICE),
            address: SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 80)),
            zone: ZoneId::from(ZONE),
            capacity: 4,
            software: "v1".to_owned(),
            sequence: 1,
            phase: InstancePhase::Ready,
        };
        backends.merge(
            0,
            InstanceUpdate {
                instance,
                cold_ms: 0,
            },
        );
    }
    backends
}

fn pick(criterion: &mut Criterion) {
    let catalog = Catalog::default();
    let service = ServiceId::from(SERVICE);
    let owners = OwnerViews::new(0);
    for count in COUNTS {
        let backends = backends(count);
        let mut picker = Picker::new(config());
        let mut key = 0_u64;
        criterion.bench_function(&format!("pick among {count}"), |bencher| {
            bencher.iter(|| {
                key = key.wrapping_add(0x9E37_79B9_7F4A_7C15);
                let request = PickRequest {
                    service: &service,
                    key,
                    has_object: true,
                    objective_ms: 300,
                    allowed_regions: &[],
                    excluded: &[],
                    limits: LimitAccess::default(),
                    now: 1_000,
                };
                let picked = picker.pick(&backends, &catalog, &owners, &request);
                assert!(picked.is_ok(), "a back end is picked");
                black_box(picked)
            });
        });
    }
}

criterion_group!(benches, pick);
criterion_main!(benches);
