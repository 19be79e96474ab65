//! The daemon as a program: validation of settings and reported failures to start.
#![allow(missing_docs)]

use std::net::TcpListener;
use std::path::Path;
use std::process::{Command, Output};

use googletest::prelude::*;

const EXIT_INVALID_SETTINGS: i32 = 2;
const EXIT_NOT_STARTED: i32 = 1;

const FLEET_SETTINGS: &str = r#"{
    "name": "n-1", "zone": "z-1", "region": "r", "zones": {"z-1": "r"}, "ip": "127.0.0.1",
    "internal_ports": [7540, 7555], "seeds": ["127.0.0.1:8544"], "bootstrap": true,
    "admin_listen": "127.0.0.1:9464",
    "edge": {"listen": "127.0.0.1:8548", "ready_listen": "127.0.0.1:8542"},
    "bounds": {
        "lost_disks": 2, "heartbeat": "1500ms", "stop": "6s", "lookup_ttl": "5s",
        "retry_ratio": 0.2, "retry_extra": 64, "retry_window": "10s",
        "cold_overage": 1.5, "cold_slack": 5
    }
}"#;

fn daemon(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_coursestandd"))
        .args(arguments)
        .output()
        .expect("the daemon runs")
}

fn example() -> String {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/hut/hut-05.json");
    std::fs::read_to_string(file).expect("read")
}

#[gtest]
fn settings_errors_name_file_field_value_and_allowed_values() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.json").display().to_string();
    std::fs::write(&file, example()).expect("written");
    expect_that!(
        daemon(&["--settings", &file, "--check"]).status.code(),
        eq(Some(0))
    );
    for (from, to, fragments) in [
        ("\"info\"", "\"loud\"", ["log_level", "found loud"]),
        (
            "\"stop_ms\"",
            "\"stop_msec\"",
            ["stop_msec", "expected one of"],
        ),
        (
            "\"probe_ms\": 500",
            "\"probe_ms\": 0",
            ["entry_role.probe_ms", "found 0"],
        ),
        (
            "\"127.0.0.1:",
            "\"localhost:",
            ["admin_listen", "invalid socket address"],
        ),
    ] {
        std::fs::write(&file, example().replacen(from, to, 1)).expect("written");
        let output = daemon(&["--settings", &file, "--check"]);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output.status.code(), eq(Some(EXIT_INVALID_SETTINGS)));
        expect_that!(text, contains_substring(file.as_str()));
        for fragment in fragments {
            expect_that!(text, contains_substring(fragment));
        }
    }
}

#[gtest]
fn a_port_in_use_is_reported_and_nothing_starts() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address").to_string();
    let mut settings: serde_json::Value = serde_json::from_str(&example()).expect("JSON");
    settings["entry_role"]["listen"] = address.clone().into();
    settings["admin_listen"] = "127.0.0.1:0".into();
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("settings.json").display().to_string();
    std::fs::write(&file, settings.to_string()).expect("written");
    let output = daemon(&["--settings", &file]);
    expect_that!(output.status.code(), eq(Some(EXIT_NOT_STARTED)));
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    expect_that!(
        text,
        contains_substring(format!("cannot listen on {address}"))
    );
}

fn fleet_settings() -> serde_json::Value {
    serde_json::json!({
        "name": "edge-1", "zone": "z-1", "region": "z", "zones": {"z-1": "z"},
        "ip": "127.0.0.1", "internal_ports": [7540, 7555],
        "seeds": ["127.0.0.1:8544"], "bootstrap": true, "admin_listen": "127.0.0.1:0",
        "edge": {"listen": "127.0.0.1:0", "ready_listen": "127.0.0.1:0"},
        "bounds": {
            "lost_disks": 2, "heartbeat": "1500ms", "stop": "6s", "lookup_ttl": "5s",
            "retry_ratio": 0.2, "retry_extra": 64, "retry_window": "10s",
            "cold_overage": 1.5, "cold_slack": 5
        }
    })
}

#[gtest]
fn fleet_settings_errors_name_file_field_value_and_allowed_values() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("fleet.json").display().to_string();
    let valid = fleet_settings().to_string();
    std::fs::write(&file, &valid).expect("written");
    let check = |file: &str| daemon(&["--fleet", file, "--check"]);
    expect_that!(check(&file).status.code(), eq(Some(0)));
    for (from, to, fragments) in [
        (
            "\"1500ms\"",
            "\"1500\"",
            ["bounds.heartbeat", "allowed: a number followed by"],
        ),
        (
            "\"zone\":\"z-1\"",
            "\"zone\":\"z-2\"",
            ["zone", "found z-2"],
        ),
        ("[\"127.0.0.1:8544\"]", "[]", ["seeds", "found no address"]),
        ("\"edge\":", "\"edgy\":", ["edgy", "expected one of"]),
    ] {
        std::fs::write(&file, valid.replacen(from, to, 1)).expect("written");
        let output = check(&file);
        let text = String::from_utf8_lossy(&output.stderr).into_owned();
        expect_that!(output.status.code(), eq(Some(EXIT_INVALID_SETTINGS)));
        expect_that!(text, contains_substring(file.as_str()));
        for fragment in fragments {
            expect_that!(text, contains_substring(fragment));
        }
    }
    let missing = daemon(&["--fleet", "/not/there.json"]);
    expect_that!(missing.status.code(), eq(Some(EXIT_INVALID_SETTINGS)));
    let text = String::from_utf8_lossy(&missing.stderr).into_owned();
    expect_that!(text, contains_substring("/not/there.json"));
}

/// Guards against a process that starts with a memory limit other than the one that it was given.
#[gtest]
fn the_memory_limit_of_a_fleet_process_is_checked() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("fleet.json").display().to_string();
    std::fs::write(&file, FLEET_SETTINGS).expect("written");
    for (limit, code) in [
        ("--memory-mb=260", 0),
        ("--memory-mb=", 0),
        ("--memory-mb=0", EXIT_INVALID_SETTINGS),
        ("--memory-mb=lots", EXIT_INVALID_SETTINGS),
    ] {
        let output = daemon(&["--fleet", &file, "--check", limit]);
        expect_that!(output.status.code(), eq(Some(code)), "{limit}");
    }
}
