//! Merging of items compared with a reference model, and the validation of patches.
#![allow(missing_docs)]

use std::collections::BTreeMap;

use coursestand_catalog::item::WeightedService;
use coursestand_catalog::patch::{Removal, Upsert};
use coursestand_catalog::{
    Catalog, InvalidPatch, Item, ItemKey, Patch, Route, RouteKind, RouteTarget, ServiceItem,
};
use coursestand_model::{ServiceId, ZoneId};
use googletest::prelude::*;
use proptest::prelude::*;

fn service(name: &str) -> Upsert {
    Upsert {
        key: ItemKey::Service(ServiceId::from(name)),
        version: 1,
        item: Item::Service(ServiceItem {
            health_path: "/health".to_owned(),
            max_connections: 10,
            cold_start_ms: 0,
            cold_per_second: 1.0,
            notation: String::new(),
        }),
    }
}

fn route(timeout_ms: u64) -> Route {
    Route {
        host: "a.example".to_owned(),
        path_prefix: "/a/".to_owned(),
        kind: RouteKind::Repeatable,
        timeout_ms,
        target_latency_ms: 100,
        priority: 0,
        target: RouteTarget::Service(ServiceId::from("s")),
        max_attempts: 2,
        affinity: true,
        allowed_regions: Vec::new(),
        notation: timeout_ms.to_string(),
    }
}

fn upsert(name: &str, version: u64, route: Route) -> Patch {
    Patch {
        upserts: vec![Upsert {
            key: ItemKey::Route(name.to_owned()),
            version,
            item: Item::Route(route),
        }],
        removals: Vec::new(),
    }
}

fn removal(name: &str, version: u64) -> Patch {
    Patch {
        upserts: Vec::new(),
        removals: vec![Removal {
            key: ItemKey::Route(name.to_owned()),
            version,
        }],
    }
}

fn with_service() -> Catalog {
    let mut catalog = Catalog::default();
    let patch = Patch {
        upserts: vec![service("s")],
        removals: Vec::new(),
    };
    catalog.merge(&patch, 1).expect("valid");
    catalog
}

/// Reference model: a map from names to versions and contents.
#[derive(Default)]
struct ReferenceMap {
    items: BTreeMap<String, (u64, Option<u64>)>,
}

impl ReferenceMap {
    /// Applies a change; returns whether it is accepted.
    fn set(&mut self, name: &str, version: u64, content: Option<u64>) -> bool {
        match self.items.get(name) {
            Some((current, existing)) if *current == version && content.is_some() => {
                *existing == content
            }
            Some((current, _)) if *current >= version => true,
            _ => {
                self.items.insert(name.to_owned(), (version, content));
                true
            }
        }
    }
}

#[derive(Clone, Debug)]
struct Change {
    name: String,
    version: u64,
    /// The time-out of the route; `None` removes it.
    content: Option<u64>,
}

fn changes() -> impl Strategy<Value = Vec<Change>> {
    let fields = (0..4_u8, 1..8_u64, proptest::option::weighted(0.8, 1..4_u64));
    proptest::collection::vec(fields, 1..40).prop_map(|all| {
        all.into_iter()
            .map(|(name, version, content)| Change {
                name: format!("r{name}"),
                version,
                content,
            })
            .collect()
    })
}

fn patch_of(change: &Change) -> Patch {
    match change.content {
        Some(content) => upsert(&change.name, change.version, route(content)),
        None => removal(&change.name, change.version),
    }
}

fn contents(catalog: &Catalog) -> BTreeMap<String, (u64, u64)> {
    catalog
        .routes()
        .map(|(name, version, route)| (name.to_owned(), (version, route.timeout_ms)))
        .collect()
}

proptest! {
    #[test]
    fn items_merge_like_the_reference_model(all in changes()) {
        let mut catalog = with_service();
        let mut reference = ReferenceMap::default();
        for (index, change) in all.iter().enumerate() {
            let is_accepted = catalog.merge(&patch_of(change), index as u64 + 2).is_ok();
            prop_assert_eq!(is_accepted, reference.set(&change.name, change.version, change.content));
            // A resent change gets the same answer.
            let is_resend_accepted = catalog.merge(&patch_of(change), index as u64 + 2).is_ok();
            prop_assert_eq!(is_resend_accepted, is_accepted);
        }
        let expected: BTreeMap<String, (u64, u64)> = reference
            .items
            .into_iter()
            .filter_map(|(name, (version, content))| Some((name, (version, content?))))
            .collect();
        prop_assert_eq!(contents(&catalog), expected);
    }

    /// A follower that receives delayed, duplicated and reordered deltas converges to the
    /// source, and none of its items ever returns to an older version.
    #[test]
    fn items_of_a_follower_never_return_to_an_older_version(all in changes(), order in proptest::collection::vec(0..40_usize, 1..60)) {
        let mut source = with_service();
        let mut deltas = vec![source.delta(0)];
        for (index, change) in all.iter().enumerate() {
            let before = source.version();
            let _ = source.merge(&patch_of(change), index as u64 + 2);
            deltas.push(source.delta(before));
        }
        let mut follower = Catalog::default();
        let mut newest: BTreeMap<ItemKey, u64> = BTreeMap::new();
        for pick in order {
            follower.adopt(deltas[pick % deltas.len()].clone());
            for (key, version, _) in follower.live_items() {
                let highest = newest.entry(key.clone()).or_default();
                prop_assert!(version >= *highest);
                *highest = version;
            }
        }
        follower.adopt(source.delta(0));
        prop_assert_eq!(contents(&follower), contents(&source));
    }
}

#[gtest]
fn an_older_change_does_not_restore_a_removed_item() {
    let mut catalog = with_service();
    catalog.merge(&upsert("r", 3, route(5)), 2).expect("valid");
    catalog.merge(&removal("r", 7), 3).expect("valid");
    catalog
        .merge(&upsert("r", 3, route(5)), 4)
        .expect("acknowledged again");
    expect_that!(catalog.routes().count(), eq(0));
    catalog.merge(&upsert("r", 8, route(5)), 5).expect("valid");
    expect_that!(catalog.routes().count(), eq(1));
}

#[gtest]
fn an_invalid_patch_is_rejected_as_a_whole() {
    let unweighted = RouteTarget::Split(vec![WeightedService {
        service: ServiceId::from("s"),
        weight: 0,
    }]);
    let invalid_routes = [
        (
            "host",
            Route {
                host: String::new(),
                ..route(5)
            },
        ),
        (
            "path_prefix",
            Route {
                path_prefix: "a/".to_owned(),
                ..route(5)
            },
        ),
        ("timeout", route(600_001)),
        ("timeout", route(0)),
        (
            "target_latency",
            Route {
                target_latency_ms: 60_005,
                ..route(5)
            },
        ),
        (
            "target",
            Route {
                target: unweighted,
                ..route(5)
            },
        ),
        (
            "target",
            Route {
                target: RouteTarget::Service(ServiceId::from("nobody")),
                ..route(5)
            },
        ),
    ];
    for (invalid_field, invalid_route) in invalid_routes {
        let mut catalog = with_service();
        let mut patch = upsert("good", 1, route(5));
        patch
            .upserts
            .extend(upsert("bad", 1, invalid_route).upserts);
        let refused = catalog.merge(&patch, 2).expect_err("invalid");
        match refused {
            InvalidPatch::Field { route, field, .. } => {
                expect_that!(route.as_str(), eq("bad"));
                expect_that!(field.as_str(), eq(invalid_field));
            }
            InvalidPatch::Conflict { .. } => panic!("another reason: {refused}"),
        }
        expect_that!(catalog.routes().count(), eq(0));
    }
}

#[gtest]
fn a_resent_change_may_refer_to_a_service_removed_since() {
    let mut catalog = with_service();
    catalog.merge(&upsert("r", 3, route(5)), 2).expect("valid");
    let drop_service = Patch {
        upserts: Vec::new(),
        removals: vec![Removal {
            key: ItemKey::Service(ServiceId::from("s")),
            version: 9,
        }],
    };
    catalog.merge(&drop_service, 3).expect("valid");
    expect_that!(catalog.merge(&upsert("r", 3, route(5)), 4), ok(anything()));
}

#[gtest]
fn a_delayed_delta_does_not_restore_an_older_evacuation_state() {
    let zone = ZoneId::from("z");
    let mut source = Catalog::default();
    source.set_evacuation(&zone, true, 4);
    let first = source.delta(0);
    source.set_evacuation(&zone, true, 5);
    expect_that!(source.version(), eq(4));
    source.set_evacuation(&zone, false, 6);
    let mut follower = Catalog::default();
    follower.adopt(source.delta(0));
    follower.adopt(first);
    expect_that!(follower.is_evacuated(&zone), eq(false));
}
