//! Runs the program as operators do: error messages, exit codes, and the committed schemas
//! and examples.
#![allow(missing_docs)]

use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use googletest::prelude::*;

const USAGE: i32 = 2;
const INVALID_FILE: i32 = 3;
const NO_ANSWER: i32 = 4;

fn tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_coursestand"))
        .args(arguments)
        .output()
        .expect("the tool runs")
}

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

fn path(folder: &tempfile::TempDir, name: &str) -> String {
    folder.path().join(name).display().to_string()
}

#[gtest]
fn the_error_of_an_invalid_bundle_names_file_field_and_values() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = path(&folder, "bundle.json");
    let valid =
        std::fs::read_to_string(repository_root().join("examples/hut/bundle.json")).expect("read");
    for (from, to, expected) in [
        (
            "\"share_bp\": 2000",
            "\"share_bp\": 20000",
            ["services[0].shift_cap.share_bp", "found 20000"],
        ),
        (
            "\"version\": 1",
            "\"version\": \"one\"",
            ["`version`", "expected u64"],
        ),
        ("\"links\"", "\"lynx\"", ["lynx", "expected one of"]),
        (
            "\"zone\": \"in-kempton\"",
            "\"zone\": \"nowhere\"",
            ["clients[0].zone", "found nowhere"],
        ),
    ] {
        std::fs::write(&file, valid.replacen(from, to, 1)).expect("written");
        let output = tool(&["bundle", "lint", &file]);
        expect_that!(output.status.code(), eq(Some(INVALID_FILE)));
        expect_that!(stderr(&output), contains_substring(file.as_str()));
        for text in expected {
            expect_that!(stderr(&output), contains_substring(text));
        }
    }
    let missing = tool(&["bundle", "lint", "/not/there.json"]);
    expect_that!(missing.status.code(), eq(Some(INVALID_FILE)));
    expect_that!(stderr(&missing), contains_substring("/not/there.json"));
}

#[gtest]
fn the_error_of_invalid_arguments_names_the_allowed_values() {
    for (arguments, expected) in [
        (
            vec!["demo", "--deployment", "moon"],
            "allowed are hut and coop",
        ),
        (vec!["demo", "--seconds", "0"], "--seconds"),
        (vec!["drain", "kempton", "--key", "k"], "region:NAME"),
        (vec!["bundle", "status"], "--control is needed"),
        (vec!["schema", "moon"], "settings, bundle, signed-bundle"),
        (vec!["lab", "scale", "--steps", "0"], "--steps"),
    ] {
        let output = tool(&arguments);
        expect_that!(output.status.code(), eq(Some(USAGE)), "{arguments:?}");
        expect_that!(stderr(&output), contains_substring(expected));
    }
}

#[gtest]
fn key_files_are_private_and_never_overwritten() {
    let folder = tempfile::tempdir().expect("a folder");
    let file = path(&folder, "ada.key");
    expect_that!(
        tool(&["key", &file, "--operator", "ada"]).status.success(),
        eq(true)
    );
    let mode = std::fs::metadata(&file)
        .expect("metadata")
        .permissions()
        .mode();
    expect_that!(mode & 0o777, eq(0o600));
    let overwriting = tool(&["key", &file, "--operator", "ada"]);
    expect_that!(overwriting.status.code(), eq(Some(INVALID_FILE)));
    std::fs::set_permissions(&file, std::fs::Permissions::from_mode(0o644)).expect("set");
    let bundle = repository_root()
        .join("examples/hut/bundle.json")
        .display()
        .to_string();
    let output = path(&folder, "signed.json");
    let rejected = tool(&[
        "bundle", "sign", &bundle, "--key", &file, "--output", &output,
    ]);
    expect_that!(rejected.status.code(), eq(Some(INVALID_FILE)));
    expect_that!(
        stderr(&rejected),
        contains_substring("found mode 644, allowed: 600")
    );
}

#[gtest]
fn sign_offs_are_added_to_a_signed_bundle() {
    let folder = tempfile::tempdir().expect("a folder");
    let signed = path(&folder, "signed.json");
    let mut source = repository_root()
        .join("examples/coop/bundle.json")
        .display()
        .to_string();
    for operator in ["ada", "bob", "ada"] {
        let key = path(&folder, &format!("{operator}.key"));
        if !Path::new(&key).exists() {
            tool(&["key", &key, "--operator", operator]);
        }
        let output = tool(&[
            "bundle", "sign", &source, "--key", &key, "--output", &signed,
        ]);
        expect_that!(output.status.success(), eq(true), "{}", stderr(&output));
        source = signed.clone();
    }
    let text = std::fs::read_to_string(&signed).expect("read");
    let content: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    expect_that!(content["signatures"].as_array().map(Vec::len), eq(Some(2)));
}

#[gtest]
fn an_unreachable_control_group_is_reported() {
    let output = tool(&["bundle", "status", "--control", "127.0.0.1:9"]);
    expect_that!(output.status.code(), eq(Some(NO_ANSWER)));
    expect_that!(stderr(&output), contains_substring("no leader"));
}

#[gtest]
fn committed_schemas_and_examples_are_up_to_date() {
    for kind in ["settings", "bundle", "signed-bundle"] {
        let printed = tool(&["schema", kind]).stdout;
        let committed = std::fs::read(repository_root().join(format!("schemas/{kind}.json")));
        expect_that!(
            committed.expect("committed") == printed,
            eq(true),
            "run `make examples`"
        );
    }
    for (name, port) in [("hut", "21000"), ("coop", "22000")] {
        let folder = tempfile::tempdir().expect("a folder");
        let folder_path = folder.path().display().to_string();
        let data = format!("fleet-run/{name}/data");
        let prepared = tool(&[
            "lab",
            "prepare",
            name,
            "--folder",
            &folder_path,
            "--data",
            &data,
            "--port",
            port,
        ]);
        expect_that!(prepared.status.success(), eq(true), "{}", stderr(&prepared));
        for entry in std::fs::read_dir(folder.path()).expect("read") {
            let entry = entry.expect("an entry");
            let committed = repository_root()
                .join("examples")
                .join(name)
                .join(entry.file_name());
            let committed = std::fs::read(committed).expect("committed");
            let generated = std::fs::read(entry.path()).expect("read");
            expect_that!(
                committed == generated,
                eq(true),
                "run `make examples`: {:?}",
                entry.file_name()
            );
        }
    }
}
