//! Guards against work times that are distorted by other requests to the same service. Short
//! requests without an object, such as those of monitors, were measured together with requests
//! of half a second, so that queues of the latter appeared to drain within milliseconds.
#![allow(missing_docs)]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coursestand_catalog::Catalog;
use coursestand_discovery::{Instance, InstancePhase, InstanceUpdate};
use coursestand_model::{BackendId, Millis, RegionId, ServiceId, ZoneId};
use coursestand_routing::backends::ReportDecay;
use coursestand_routing::cold::{ColdLimits, OwnerViews};
use coursestand_routing::picker::{Balance, PickerConfig, SentRequest};
use coursestand_routing::{Backends, LimitAccess, Pick, PickRequest, Picker};
use googletest::prelude::*;

const MONITOR_MS: f64 = 3.0;
const OBJECT_WORK_MS: f64 = 400.0;
const MONITOR_REQUESTS: u64 = 40;
const OBJECT: u64 = 7;

struct Daemon {
    backends: Backends,
    picker: Picker,
    owners: OwnerViews,
    now: Millis,
}

impl Daemon {
    fn new() -> Daemon {
        let picker = Picker::new(PickerConfig {
            daemon: "edge-1".to_owned(),
            region: RegionId::from("r"),
            zones: BTreeMap::from([(ZoneId::from("z"), RegionId::from("r"))]),
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
        });
        let mut backends = Backends::default();
        let instance = Instance {
            id: BackendId::from("i"),
            born: None,
            service: ServiceId::from("s"),
            address: SocketAddr::from(([10, 0, 0, 1], 80)),
            zone: ZoneId::from("z"),
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
        Daemon {
            backends,
            picker,
            owners: OwnerViews::new(0),
            now: 0,
        }
    }

    fn pick(&mut self, object: Option<u64>) -> Pick {
        let service = ServiceId::from("s");
        let request = PickRequest {
            service: &service,
            key: object.unwrap_or(self.now),
            has_object: object.is_some(),
            objective_ms: 800,
            allowed_regions: &[],
            excluded: &[],
            limits: LimitAccess::default(),
            now: self.now,
        };
        let picked = self
            .picker
            .pick(&self.backends, &Catalog::default(), &self.owners, &request);
        picked.expect("a back end")
    }

    /// Sends a request, which is answered after `took_ms`.
    fn serve(&mut self, object: Option<u64>, took_ms: f64) {
        let pick = self.pick(object);
        let sent = SentRequest { object, pick };
        self.now += took_ms as Millis;
        let backend = self.backends.get(&sent.pick.id).expect("a back end");
        self.picker.note_answer(self.now, backend, &sent, took_ms);
    }
}

#[gtest]
fn short_requests_without_an_object_do_not_shorten_the_expected_time_of_objects() {
    let mut daemon = Daemon::new();
    for _ in 0..MONITOR_REQUESTS {
        daemon.serve(None, MONITOR_MS);
    }
    expect_that!(daemon.pick(Some(OBJECT)).expected_ms, none());
    for _ in 0..3 {
        daemon.serve(Some(OBJECT), OBJECT_WORK_MS);
        for _ in 0..MONITOR_REQUESTS {
            daemon.serve(None, MONITOR_MS);
        }
    }
    let expected_ms = daemon.pick(Some(OBJECT)).expected_ms;
    expect_that!(expected_ms, some(near(OBJECT_WORK_MS, 1.0)));
    expect_that!(daemon.pick(None).expected_ms, some(near(MONITOR_MS, 1.0)));
}
