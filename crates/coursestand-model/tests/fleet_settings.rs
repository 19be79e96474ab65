//! Settings of a process of a fleet.
#![allow(missing_docs)]

use coursestand_model::fleet::FleetSettings;
use coursestand_model::load::{LoadError, parse};
use googletest::prelude::*;
use serde_json::{Value, json};

fn read(balance: Value) -> std::result::Result<FleetSettings, LoadError> {
    read_with_memory(balance, Value::Null)
}

fn read_with_memory(
    balance: Value,
    memory_mb: Value,
) -> std::result::Result<FleetSettings, LoadError> {
    let settings = json!({
        "memory_mb": memory_mb,
        "name": "edge-1",
        "zone": "z",
        "region": "r",
        "zones": { "z": "r" },
        "ip": "10.0.0.1",
        "internal_ports": [7_540, 7_555],
        "seeds": ["10.0.0.2:8544"],
        "bootstrap": false,
        "admin_listen": "10.0.0.1:9464",
        "edge": { "listen": "10.0.0.1:8548", "ready_listen": "10.0.0.1:8542" },
        "bounds": {
            "lost_disks": 2,
            "heartbeat": "1500ms",
            "stop": "6s",
            "lookup_ttl": "5s",
            "retry_ratio": 0.2,
            "retry_extra": 64.0,
            "retry_window": "10s",
            "cold_overage": 1.5,
            "cold_slack": 5.0
        },
        "balance": balance
    });
    parse("edge.json", &settings.to_string())
}

#[gtest]
fn settings_without_balance_are_valid() {
    expect_that!(read(json!({})).is_ok(), eq(true));
}

#[gtest]
fn a_removed_setting_is_rejected_with_its_replacement() {
    let error = read(json!({ "soft_load": 1.2 })).expect_err("rejected");
    let text = error.to_string();
    expect_that!(text, contains_substring("edge.json"));
    expect_that!(text, contains_substring("balance.soft_load"));
    expect_that!(text, contains_substring("balance.hard_load"));
}

#[gtest]
fn hard_load_must_be_positive() {
    for hard_load in [0.0, -1.0] {
        let result = read(json!({ "hard_load": hard_load }));
        expect_that!(result.is_err(), eq(true));
    }
}

/// Guards against a process that may use no memory, and against a size in another unit.
#[gtest]
fn the_memory_is_set_in_megabytes_and_must_be_positive() {
    let memory = |memory_mb| read_with_memory(json!({}), memory_mb);
    expect_that!(memory(json!(0)).is_err(), eq(true));
    let bytes = memory(json!(260)).map(|settings| settings.memory_bytes());
    expect_that!(bytes.ok(), some(some(eq(260_000_000))));
    let unset = memory(Value::Null).map(|settings| settings.memory_bytes());
    expect_that!(unset.ok(), some(none()));
}
