//! What a soak leaves behind that is told to end.

use std::io::{BufRead, BufReader};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use googletest::prelude::*;

use crate::deployment::{Deployment, TEST_TIMEOUT};
use crate::processes::Processes;

/// Set in the process that is hung up.
const HOLD: &str = "COURSESTAND_SOAK_HOLD";
const STARTED: &str = "started process ";

fn runs(id: u32) -> bool {
    std::path::Path::new(&format!("/proc/{id}")).exists()
}

/// Plays the soak that is hung up: it starts a daemon and waits. Nothing unless it is asked
/// for.
#[gtest]
#[tokio::test]
async fn holds_a_process_until_it_is_hung_up() {
    if std::env::var_os(HOLD).is_none() {
        return;
    }
    let deployment = Deployment::new(&[1]);
    let mut processes = Processes::new(&deployment.data_folder(0));
    processes.start(1, &deployment.control_settings(1, true));
    println!("{STARTED}{}", processes.id(1));
    tokio::time::sleep(TEST_TIMEOUT).await;
}

/// Guards against daemons that run on for ever after their soak was hung up.
#[gtest]
#[tokio::test]
async fn a_soak_that_is_hung_up_ends_its_processes() {
    let mut soak = Command::new(std::env::current_exe().expect("this program"))
        .args(["holds_a_process_until_it_is_hung_up", "--nocapture"])
        .env(HOLD, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .spawn()
        .expect("started");
    let output = BufReader::new(soak.stdout.take().expect("its output"));
    let started = output
        .lines()
        .map_while(std::result::Result::ok)
        .find_map(|line| {
            let (_, id) = line.split_once(STARTED)?;
            id.trim().parse::<u32>().ok()
        });
    let id = started.expect("a process was started");
    expect_that!(runs(id), eq(true));
    let hung_up = Command::new("kill")
        .args(["-HUP", &soak.id().to_string()])
        .status();
    assert!(hung_up.is_ok_and(|status| status.success()), "no signal");
    soak.wait().expect("it ended");
    let begin = Instant::now();
    while runs(id) && begin.elapsed() < TEST_TIMEOUT {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    expect_that!(runs(id), eq(false));
}
